"""Holds a scripted model host's work up while it is frozen: what comes is taken, and nothing is begun."""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

import trio

from violetstack.rehearsal.fleet.minimal_http import Ended, Wire

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(sock: trio.socket.SocketType) -> None:
    """Closes with a TCP reset, whatever is unsent."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def peer_has_closed(sock: trio.socket.SocketType) -> bool:
    """Whether the other side has closed the connection, as it is at this moment."""
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


class FreezeGate:
    """Open, unless its host is frozen."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._frozen_since: float | None = None
        self._thawed = trio.Event()
        self._resets = False

    def freeze(self) -> None:
        if self._frozen_since is None:
            self._frozen_since = self._clock()
            self._thawed = trio.Event()

    def thaw(self, *, resets: bool) -> None:
        """`resets`: the connections on which something has come are reset, and nothing of it is begun."""
        self._frozen_since = None
        self._resets = resets
        self._thawed.set()

    async def wait(self, wire: Wire) -> float | None:
        """Returns since when the host was frozen, once it goes on; None if it was not.

        What was given up meanwhile is not begun: its connection has ended.
        """
        since = self._frozen_since
        if since is None:
            return None
        await self._thawed.wait()
        if self._resets:
            reset_connection(wire.stream.socket)
            raise Ended
        if peer_has_closed(wire.stream.socket):
            raise Ended
        return since
