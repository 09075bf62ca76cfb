"""File descriptors reserved for essential connections when the process has no others left.

The limits of client and host connections leave room for the descriptors of the program itself, but cannot
account for all of them: inherited ones, files, connections that are being closed. Without a reserve, the
accept loops would take every descriptor that becomes free before the watch of the endpoint list reconnects.
"""

from __future__ import annotations

import errno
import os
import socket

import trio

from violetstack.config import Address

DESCRIPTORS_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE})


class DescriptorReserve:
    """Spare descriptors, each open on the null device until a socket needs it.

    A spare is replaced by a socket, and a closed socket by a spare, without a checkpoint of the event loop,
    so that no other task can take the descriptor in between.
    """

    def __init__(self, size: int) -> None:
        """Creates an empty reserve for `size` descriptors; `refill` opens them."""
        self._size = size
        self._spares: list[int] = []

    @property
    def spare_count(self) -> int:
        """Number of spare descriptors that are open."""
        return len(self._spares)

    def refill(self) -> None:
        """Opens spare descriptors up to the size of the reserve, or as many as the system allows."""
        while len(self._spares) < self._size:
            try:
                self._spares.append(os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC))
            except OSError:
                return

    def close(self) -> None:
        """Closes all spare descriptors."""
        while self._spares:
            os.close(self._spares.pop())

    def open_socket(self, family: int) -> socket.socket:
        """Opens a TCP socket; uses a spare descriptor if the process has no other left.

        Raises:
            OSError: No descriptor is left, or the address family is not supported.
        """
        try:
            return socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in DESCRIPTORS_EXHAUSTED or not self._spares:
                raise
        os.close(self._spares.pop())
        return socket.socket(family, socket.SOCK_STREAM)

    def close_socket(self, sock: trio.socket.SocketType) -> None:
        """Closes a socket; its descriptor becomes a spare if the reserve is not full."""
        sock.close()
        self.refill()


async def open_tcp_connection(address: Address, reserve: DescriptorReserve) -> trio.SocketStream:
    """Tries the addresses of a host one after another until one accepts a connection.

    Unlike `trio.open_tcp_stream`, this never holds more than one socket. The caller closes the socket with
    `reserve.close_socket`.

    Raises:
        OSError: The host has no address, no address accepts the connection, or no descriptor is left for it.
    """
    last_error: OSError | None = None
    try:
        candidates = await trio.socket.getaddrinfo(*address, type=socket.SOCK_STREAM)
    except UnicodeError as error:
        raise OSError(f"{address[0]!r} is not a valid host name: {error}") from None
    for family, _, _, _, target in candidates:
        try:
            return await _connect(family, target, reserve)
        except OSError as error:
            last_error = error
    raise last_error if last_error is not None else OSError(f"{address[0]} has no address")


async def _connect(
    family: int, target: tuple[str | int, ...] | tuple[int, bytes], reserve: DescriptorReserve
) -> trio.SocketStream:
    sock = trio.socket.from_stdlib_socket(reserve.open_socket(family))
    connected = False
    try:
        await sock.connect(target)
        connected = True
    finally:
        if not connected:
            reserve.close_socket(sock)
    return trio.SocketStream(sock)
