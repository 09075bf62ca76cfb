"""Divides the machine's limits: file descriptors, and the memory that clients can fill."""

from __future__ import annotations

import msgspec

from violetstack.net.downstream.listener import MAX_CONCURRENT_REJECTIONS

# Descriptors of the program itself: 3 standard streams, 3 of the poller, 4 listeners, 2 watch connections and
# 4 spare ones for more of them, 1 gossip socket, 5 for files and another process, and those of connections
# that are being closed.
RESERVED_DESCRIPTORS = 28
ADMIN_API_DESCRIPTORS = 17  # the admin listener and its connections
MIN_CONNECTIONS = 4  # to hosts, and of clients, however few descriptors there are
CONNECTION_MEMORY_SHARE = 0.2  # of the memory, for client connections
REFUSED_MEMORY_SHARE = 0.05  # for more connections that are refused than the descriptors reserved for them
CONNECTION_BYTES = 32 * 1024  # of one client connection
BODY_MEMORY_SHARE = 0.2  # of the memory, for buffered request bodies; each may be held twice for a moment
DESCRIPTORS_PER_CLIENT = 3  # with little memory, clients still get one descriptor of so many
BYTES_PER_MB = 2**20


class ConnectionLimits(msgspec.Struct, frozen=True):
    """`upstream` connections of the process; `clients` and buffered `body_bytes` of each listener.

    `refused` connections beyond the `clients` of a listener are kept until they are answered.
    """

    upstream: int
    clients: int
    refused: int
    body_bytes: int


def divide_limits(
    sockets: int, memory_mb: float, *, fronts: int, admin_api: bool, processes: int
) -> ConnectionLimits:
    """Half of the descriptors that are left goes to upstream connections, half to clients.

    Each of `processes` takes the same part of all limits. Where descriptors abound, the memory limits the
    number of clients, but never to less than a third of the descriptors. What clients may not have for the
    memory's sake goes to connections that are refused, which hold none for long.
    """
    sockets = sockets // processes
    memory_bytes = memory_mb * BYTES_PER_MB / processes
    reserved = RESERVED_DESCRIPTORS + MAX_CONCURRENT_REJECTIONS + (ADMIN_API_DESCRIPTORS if admin_api else 0)
    left = max(2 * MIN_CONNECTIONS, sockets - reserved)
    upstream = left // 2
    clients_by_memory = max(
        sockets // DESCRIPTORS_PER_CLIENT,
        int(memory_bytes * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES,
    )
    clients = max(1, min(left - upstream, clients_by_memory) // fronts)
    surplus = min(
        max(0, left - upstream - clients * fronts),
        int(memory_bytes * REFUSED_MEMORY_SHARE) // CONNECTION_BYTES,
    )
    return ConnectionLimits(
        upstream=upstream,
        clients=clients,
        refused=(MAX_CONCURRENT_REJECTIONS + surplus) // fronts,
        body_bytes=int(memory_bytes * BODY_MEMORY_SHARE) // fronts,
    )
