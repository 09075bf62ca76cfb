"""What the limits of the machine leave for whom: descriptors, and memory that others can fill."""

from __future__ import annotations

import msgspec

from violetstack.net.downstream.listener import MAX_CONCURRENT_REJECTIONS

OWN = 28  # streams 3, poller 3, listeners 4, watch 2, peers 1, files and heirs 5, and what just ends
ADMIN_API_DESCRIPTORS = 17  # its listener and connections
LEAST = 4  # of clients and of hosts, however little there is
# of the memory, and of one client's connection
CONNECTION_SHARE = 0.2
CONNECTION_BYTES = 32 * 1024
BODY_SHARE = 0.2  # of the memory: request bodies held at once; each may be held twice for a moment


class Budget(msgspec.Struct, frozen=True):
    """`clients` and `bodies` (bytes) are those of each front; `hosts` are connections to model hosts."""

    hosts: int
    clients: int
    bodies: int


def budget(sockets: int, memory_mb: float, *, fronts: int, admin_api: bool, processes: int) -> Budget:
    """Half of what is left goes to hosts, half to clients; processes side by side share all limits alike.

    Guards the memory limit where descriptors abound; a third of them clients may hold for requests.
    """
    sockets = sockets // processes
    memory = memory_mb * 2**20 / processes
    left = max(
        2 * LEAST, sockets - OWN - MAX_CONCURRENT_REJECTIONS - (ADMIN_API_DESCRIPTORS if admin_api else 0)
    )
    by_memory = max(sockets // 3, int(memory * CONNECTION_SHARE) // CONNECTION_BYTES)
    return Budget(
        hosts=left // 2,
        clients=max(1, min(left - left // 2, by_memory) // fronts),
        bodies=int(memory * BODY_SHARE) // fronts,
    )
