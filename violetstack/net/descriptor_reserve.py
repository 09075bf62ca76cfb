"""File descriptors kept back for connections that have to come up when the process has none left.

The count of client and host connections leaves room for the program's own descriptors, but it cannot know of
all: inherited ones, files, connections that are being closed. Without a reserve the accept loops take every
descriptor that becomes free before the watch of the endpoint list tries again.
"""

from __future__ import annotations

import errno
import os
import socket

import trio

from violetstack.config import Address

EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE})


class DescriptorReserve:
    """Spare descriptors, each open on the null device until a socket needs it.

    A descriptor is exchanged for a socket, and a closed socket for a spare, in one step of the event loop: no
    other task can take it in between.
    """

    def __init__(self, size: int) -> None:
        """Keeps nothing back before `refill`."""
        self._size = size
        self._spares: list[int] = []

    @property
    def spares(self) -> int:
        """How many descriptors are kept back now."""
        return len(self._spares)

    def refill(self) -> None:
        """Keeps back as many descriptors as there should be, or as can be had."""
        while len(self._spares) < self._size:
            try:
                self._spares.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
            except OSError:
                return

    def close(self) -> None:
        """Gives up all spare descriptors."""
        while self._spares:
            os.close(self._spares.pop())

    def open_socket(self, family: int) -> socket.socket:
        """Opens a TCP socket, in place of a spare descriptor if there is no other.

        Raises:
            OSError: There is no descriptor at all, or the family is not supported.
        """
        try:
            return socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in EXHAUSTED or not self._spares:
                raise
        os.close(self._spares.pop())
        return socket.socket(family, socket.SOCK_STREAM)

    def close_socket(self, opened: trio.socket.SocketType) -> None:
        """Closes a socket; its descriptor becomes a spare one if any is missing."""
        opened.close()
        self.refill()


async def open_tcp_connection(address: Address, reserve: DescriptorReserve) -> trio.SocketStream:
    """Connects to the first address of a host that accepts, one after another.

    Unlike `trio.open_tcp_stream` this never holds more than one socket. The caller closes the socket with
    `reserve.close_socket`.

    Raises:
        OSError: The host has no address, none accepts the connection, or there is no descriptor for it.
    """
    failure: OSError | None = None
    try:
        found = await trio.socket.getaddrinfo(*address, type=socket.SOCK_STREAM)
    except UnicodeError as error:
        raise OSError(f"{address[0]!r} is no name of a host: {error}") from None
    for family, _, _, _, target in found:
        try:
            return await _connect(family, target, reserve)
        except OSError as error:
            failure = error
    raise failure if failure is not None else OSError(f"{address[0]} has no address")


async def _connect(
    family: int, target: tuple[str | int, ...] | tuple[int, bytes], reserve: DescriptorReserve
) -> trio.SocketStream:
    opened = trio.socket.from_stdlib_socket(reserve.open_socket(family))
    connected = False
    try:
        await opened.connect(target)
        connected = True
    finally:
        if not connected:
            reserve.close_socket(opened)
    return trio.SocketStream(opened)
