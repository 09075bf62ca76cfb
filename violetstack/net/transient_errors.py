"""Sends and reads on sockets that the system refuses for a moment, for lack of memory or of buffers.

The connection is as good as before (send(2), recv(2)), so the call is made again, as after EAGAIN.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
RETRY_S = 0.005


def is_transient(error: BaseException | None) -> bool:
    """Whether the call may be made again."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRORS


def is_readable(open_socket: trio.socket.SocketType, *, if_unknown: bool) -> bool:
    """Whether there is something to read or to accept; `if_unknown` if the system cannot tell.

    poll(2) fails for lack of memory. Whoever closes what is not readable passes True, whoever reads until
    nothing is left passes False.
    """
    try:
        return bool(open_socket.is_readable())
    except OSError:
        return if_unknown


async def send_all(stream: trio.abc.Stream, data: bytes | memoryview) -> None:
    """Sends all of `data`.

    Raises:
        trio.BrokenResourceError: The connection broke.
        trio.ClosedResourceError: It was closed here.
    """
    if not isinstance(stream, trio.SocketStream):  # TLS keeps what it has encrypted to itself
        await stream.send_all(data)
        return
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[await stream.socket.send(rest) :]
        except OSError as error:
            if is_transient(error):
                await trio.sleep(RETRY_S)
            elif stream.socket.fileno() < 0:
                raise trio.ClosedResourceError("closed here") from None
            else:
                raise trio.BrokenResourceError(f"socket connection broken: {error}") from error


def _ignore_retry() -> None:
    """Where it does not matter how often a read is made."""


async def receive_some(
    stream: trio.abc.Stream, max_bytes: int, on_retry: Callable[[], None] = _ignore_retry
) -> bytes | bytearray:
    """Receives up to `max_bytes`; empty at the stream's end. Raises as `trio.abc.ReceiveStream` does.

    `on_retry` is called in the step in which a read has failed that is made again.
    """
    while True:
        try:
            return await stream.receive_some(max_bytes)
        except trio.BrokenResourceError as error:
            if not is_transient(error.__cause__):
                raise
        on_retry()
        await trio.sleep(RETRY_S)


async def receive(sock: trio.socket.SocketType, max_bytes: int) -> bytes:
    """Receives up to `max_bytes`; empty at the connection's end. Raises OSError."""
    while True:
        try:
            return await sock.recv(max_bytes)
        except OSError as error:
            if not is_transient(error):
                raise
        await trio.sleep(RETRY_S)


def send_some(raw: socket.socket, data: memoryview) -> int:
    """Sends as much of `data` as goes out at once, without waiting.

    Raises:
        BlockingIOError: Nothing does now, for whatever reason that passes.
        OSError: The connection broke.
    """
    try:
        return raw.send(data)
    except OSError as error:
        if is_transient(error):
            raise BlockingIOError(error.errno, error.strerror) from None
        raise
