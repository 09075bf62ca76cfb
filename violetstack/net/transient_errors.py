"""Retries sends and reads that fail temporarily, because the system lacks memory or buffers.

Such an error does not affect the connection (see send(2) and recv(2)), so the call is repeated as after
EAGAIN.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

TRANSIENT_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
RETRY_S = 0.005


def is_transient(error: BaseException | None) -> bool:
    """Whether the call that raised this error may be repeated."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRORS


def is_readable(open_socket: trio.socket.SocketType, *, if_unknown: bool) -> bool:
    """Whether the socket has something to read or to accept; `if_unknown` if poll(2) lacks memory.

    Callers that close a socket that is not readable pass True; callers that read until nothing is left pass
    False.
    """
    try:
        return bool(open_socket.is_readable())
    except OSError:
        return if_unknown


async def send_all(stream: trio.abc.Stream, data: bytes | memoryview) -> None:
    """Sends all of `data`.

    Raises:
        trio.BrokenResourceError: The connection broke.
        trio.ClosedResourceError: This process has closed it.
    """
    if not isinstance(
        stream, trio.SocketStream
    ):  # a TLS stream retains its encrypted bytes, so a send cannot be repeated
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
                raise trio.ClosedResourceError("this process has closed the connection") from None
            else:
                raise trio.BrokenResourceError(f"socket connection broken: {error}") from error


def _ignore_retry() -> None:
    """Default of `on_retry`: does nothing."""


async def receive_some(
    stream: trio.abc.Stream, max_bytes: int, on_retry: Callable[[], None] = _ignore_retry
) -> bytes | bytearray:
    """Receives up to `max_bytes`; empty at the end of the stream. Raises as `trio.abc.ReceiveStream` does.

    `on_retry` is called when a read has failed and will be repeated, before any other task runs.
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
    """Receives up to `max_bytes`; empty at the end of the connection. Raises OSError."""
    while True:
        try:
            return await sock.recv(max_bytes)
        except OSError as error:
            if not is_transient(error):
                raise
        await trio.sleep(RETRY_S)


def send_some(raw: socket.socket, data: memoryview) -> int:
    """Sends as much of `data` as the socket accepts without waiting; returns the number of bytes.

    Raises:
        BlockingIOError: Nothing can be sent now, because of a full buffer or a transient error.
        OSError: The connection broke.
    """
    try:
        return raw.send(data)
    except OSError as error:
        if is_transient(error):
            raise BlockingIOError(error.errno, error.strerror) from None
        raise
