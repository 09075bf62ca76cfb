"""Divides the limits of the machine: file descriptors, and the memory that clients may use."""

from __future__ import annotations

import msgspec

from violetstack.net.downstream.listener import MAX_CONCURRENT_REJECTIONS

# Descriptors of the program itself: 3 standard streams, 3 of the poller, 4 listeners, 2 watch connections, 4
# spare ones for further watch connections, 1 gossip socket, 5 for files and another process; the rest is for
# connections that are being closed.
RESERVED_DESCRIPTORS = 28
ADMIN_API_DESCRIPTORS = 17  # the admin listener and its connections
MIN_CONNECTIONS = 4  # upstream connections and client connections each have at least this many descriptors
CONNECTION_MEMORY_SHARE = 0.2  # share of the memory for client connections
REFUSED_MEMORY_SHARE = 0.05  # for refused connections beyond MAX_CONCURRENT_REJECTIONS
CONNECTION_BYTES = 32 * 1024  # memory of one client connection
BODY_MEMORY_SHARE = 0.2  # share of the memory for buffered request bodies; each may briefly be held twice
DESCRIPTORS_PER_CLIENT = 3  # with little memory, clients still get one in three descriptors
BYTES_PER_MB = 2**20


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limits of a process and of each of its listeners.

    Attributes:
        upstream: Upstream connections of the process.
        clients: Client connections of each listener.
        refused: Connections of each listener beyond `clients`, kept open until their rejection is sent.
        body_bytes: Buffered request bodies of each listener.
    """

    upstream: int
    clients: int
    refused: int
    body_bytes: int


def divide_limits(
    sockets: int, memory_mb: float, *, fronts: int, admin_api: bool, processes: int
) -> ConnectionLimits:
    """Gives half of the available descriptors to upstream connections and half to clients.

    Each of `processes` gets an equal part of all limits. With many descriptors, the memory limits the number
    of clients, but not below a third of the descriptors. Descriptors that clients cannot use for lack of
    memory go to refused connections, which hold memory only briefly.
    """
    sockets = sockets // processes
    memory_bytes = memory_mb * BYTES_PER_MB / processes
    reserved = RESERVED_DESCRIPTORS + MAX_CONCURRENT_REJECTIONS + (ADMIN_API_DESCRIPTORS if admin_api else 0)
    available = max(2 * MIN_CONNECTIONS, sockets - reserved)
    upstream = available // 2
    clients_by_memory = max(
        sockets // DESCRIPTORS_PER_CLIENT,
        int(memory_bytes * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES,
    )
    clients = max(1, min(available - upstream, clients_by_memory) // fronts)
    surplus = min(
        max(0, available - upstream - clients * fronts),
        int(memory_bytes * REFUSED_MEMORY_SHARE) // CONNECTION_BYTES,
    )
    return ConnectionLimits(
        upstream=upstream,
        clients=clients,
        refused=(MAX_CONCURRENT_REJECTIONS + surplus) // fronts,
        body_bytes=int(memory_bytes * BODY_MEMORY_SHARE) // fronts,
    )
