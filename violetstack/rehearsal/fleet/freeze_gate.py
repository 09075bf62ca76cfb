"""Suspends a scripted model host while it is frozen: it accepts data, but begins no request."""

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
    """Closes the connection with a TCP reset and discards unsent data."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def peer_has_closed(sock: trio.socket.SocketType) -> bool:
    """Returns whether the peer has closed the connection by now."""
    if sock.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


class FreezeGate:
    """Lets requests pass unless the host is frozen."""

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
        """Lets waiting requests begin, or resets their connections if `resets` is set."""
        self._frozen_since = None
        self._resets = resets
        self._thawed.set()

    async def wait(self, wire: Wire) -> float | None:
        """Waits until the host is not frozen; returns since when it was, or None if it was not.

        Raises:
            Ended: The connection was reset by `thaw`, or the peer has closed it meanwhile.
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
