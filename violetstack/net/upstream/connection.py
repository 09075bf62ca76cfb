"""One connection to a model host; it carries one request at a time."""

from __future__ import annotations

import fcntl
import math
import socket
import struct
import termios
from collections.abc import Callable

import trio

from violetstack.config import Address
from violetstack.core.records import always_allowed
from violetstack.net.transient_errors import RETRY_S, is_readable, is_transient, receive, send_some
from violetstack.protocol.http_client import (
    HttpClientConnection,
    InvalidResponseError,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)

SIOCOUTQNSD = 0x894B
"""Linux ioctl: bytes in the send queue that were not sent yet; TIOCOUTQ counts those not acknowledged."""
READ_SIZE = 32 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a zero timeout: on close the kernel discards unsent data and resets the connection."""


class UpstreamError(Exception):
    """Base class for errors of connections to model hosts."""


class NotConnectedError(UpstreamError):
    """The connection failed before the last byte of the request was written: the request did not run."""


class LocalFaultError(NotConnectedError):
    """This machine lacks a descriptor, memory or a port for the connection: not the host's fault."""


class ProcessDelayedError(LocalFaultError):
    """This process was delayed past the time limit while writing; the rest of the request was not sent.

    The remaining time that the request's head states is out of date by then.
    """


class SendTimeoutError(UpstreamError):
    """The host did not read the request within the time limit; it has not received all of it."""


class SendWithheldError(UpstreamError):
    """The request must not be sent any more, and the host has not received all of it."""


class UpstreamConnection:
    """A connection to `server`. `address` is None for one that another process opened."""

    def __init__(self, raw: socket.socket, server: str, address: Address | None = None) -> None:
        self._raw = raw
        self.server = server
        self.sock = trio.socket.from_stdlib_socket(raw)
        self.address = address
        self.closed = False
        self.from_pool = False
        """Whether the connection was idle in the pool, so that its host may have closed it meanwhile."""
        self.http = HttpClientConnection()
        self.idle_since = 0.0
        """When the connection was established or its last response ended, on trio's clock."""
        self.usable_from = 0.0
        """The connection must not be used before this time, on trio's clock."""

    async def write(
        self,
        parts: list[bytes | memoryview],
        on_written: Callable[[], None],
        may_continue: Callable[[], bool] = always_allowed,
        timeout_s: float = math.inf,
    ) -> None:
        """Writes a request and calls `on_written` right after the system call that takes its last byte.

        No other task runs between the two. trio's own send yields between the system call and its return: if
        a deadline expired there, an attempt would count as not sent although the host has received it.

        Raises:
            SendWithheldError: `may_continue` returned False.
            SendTimeoutError: The host did not read the request within `timeout_s`.
            ProcessDelayedError: This process itself took longer than `timeout_s`.

            After each of these the last byte is still unsent.
        """
        deadline = trio.current_time() + timeout_s
        for n, part in enumerate(parts):
            unsent = memoryview(part)
            while unsent:
                if not may_continue():
                    raise SendWithheldError
                if trio.current_time() >= deadline:
                    raise ProcessDelayedError(
                        f"this process was delayed by more than {timeout_s:g} s while writing a request"
                    )
                try:
                    unsent = unsent[send_some(self._raw, unsent) :]
                except BlockingIOError as error:
                    if is_transient(error):
                        await trio.sleep(RETRY_S)
                    else:
                        await self._wait_writable(deadline)
            if n == len(parts) - 1:
                on_written()

    async def _wait_writable(self, deadline: float) -> None:
        with trio.move_on_at(deadline):
            await trio.lowlevel.wait_writable(self._raw)
        if trio.current_time() >= deadline:
            raise SendTimeoutError

    async def receive(self) -> list[ResponseHead | ResponseData | ResponseEnd]:
        """Reads once and returns the parts of the response that are complete.

        Raises:
            InvalidResponseError: The response is not HTTP, or the connection was aborted meanwhile.
            OSError: The connection broke.
        """
        self.http.check()
        data = await receive(self.sock, READ_SIZE)
        if self.closed:
            raise InvalidResponseError("aborted")
        return self.http.feed(data)

    def has_input(self) -> bool:
        """Whether there is something to read. On an idle connection this means that the host closed it."""
        return is_readable(self.sock, if_unknown=False)

    def abort(self) -> None:
        """Closes the socket at once, so that no further byte reaches the host.

        After a plain close the kernel still delivers the data in its send queue: a host whose receive window
        was full would receive the rest of a request that is over, and start to process it.
        """
        if self.unacknowledged_bytes():
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def unacknowledged_bytes(self) -> int:
        """Written bytes that the host has not acknowledged; 0 if the system does not report them."""
        return self._queued_bytes(termios.TIOCOUTQ)

    def unsent_bytes(self) -> int:
        """Written bytes that have not left this machine yet; 0 if the system does not report them.

        They stay in the kernel while the host does not read or the network is down.
        """
        return self._queued_bytes(SIOCOUTQNSD)

    def _queued_bytes(self, ioctl_request: int) -> int:
        if self.closed:
            return 0
        try:
            result = fcntl.ioctl(self._raw, ioctl_request, bytes(struct.calcsize("i")))
        except OSError:
            return 0
        return int(struct.unpack("i", result)[0])

    def close(self) -> None:
        """Closes the socket at once."""
        self.closed = True
        self.sock.close()
