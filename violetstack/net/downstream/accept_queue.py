"""Accepts the connections that wait in the kernel's queue, several in one pass of the event loop.

trio's accept lets all other tasks run after each connection. While one pass takes long, a client behind many
others in the queue would wait for as many passes.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator

import trio

MAX_ACCEPTED_AT_ONCE = 16


def accept_waiting(listener: trio.SocketListener, limit: int) -> Iterator[trio.SocketStream]:
    """Yields up to `limit` connections that are waiting now; ends at the first error.

    The next regular accept reports an error that lasts.
    """
    for _ in range(limit):
        connection = _accept_now(listener)
        if connection is None:
            return
        yield trio.SocketStream(trio.socket.from_stdlib_socket(connection))


def _accept_now(listener: trio.SocketListener) -> socket.socket | None:
    descriptor = listener.socket.fileno()
    if descriptor < 0:
        return None  # closed by the shutdown
    listening = socket.socket(fileno=descriptor)
    try:
        return listening.accept()[0]
    except OSError:
        return None
    finally:
        listening.detach()  # the descriptor stays with the listener
