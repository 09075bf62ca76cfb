"""One connection to a model host; one request at a time travels on it."""

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
"""Linux: bytes of the send queue that were not sent, unlike TIOCOUTQ's, which were not acknowledged."""
READ_SIZE = 32 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER for no time: the kernel drops what it has not sent, and resets the connection."""


class UpstreamError(Exception):
    """Base of the errors of connections to model hosts."""


class NotConnectedError(UpstreamError):
    """No connection came up, or it broke before the last byte was written: the request has not run."""


class LocalFaultError(NotConnectedError):
    """This machine lacks what a connection takes: a descriptor, memory, a port. The host is not to blame."""


class ProcessDelayedError(LocalFaultError):
    """This process was held up while it wrote, and what it tells is out of date. The rest is unsent."""


class SendTimeoutError(UpstreamError):
    """The host did not take the request in time; it has not received all of it."""


class SendWithheldError(UpstreamError):
    """The request may no longer be sent; the host has not received all of it."""


class UpstreamConnection:
    """A connection to `server`. `address` is None for one that another process opened."""

    def __init__(self, raw: socket.socket, server: str, address: Address | None = None) -> None:
        self._raw = raw
        self.server = server
        self.sock = trio.socket.from_stdlib_socket(raw)
        self.address = address
        self.closed = False
        self.from_pool = False
        """It was idle before, so its host may have closed it for that."""
        self.http = HttpClientConnection()
        self.idle_since = 0.0
        """When it came up, or its last response ended; on trio's clock."""
        self.usable_from = 0.0
        """Not to be used before this time, on trio's clock."""

    async def write(
        self,
        parts: list[bytes | memoryview],
        on_written: Callable[[], None],
        may_continue: Callable[[], bool] = always_allowed,
        timeout_s: float = math.inf,
    ) -> None:
        """Writes a request; `written` is called in the same step as the system call for its last byte.

        trio's own send lets other tasks run between the system call and its return: a deadline in between
        would count an attempt as not sent that the host has received.

        Raises SendWithheldError as soon as `allowed` returns False, SendTimeoutError if the host does not
        take the request within `timeout_s`, and HeldUpError if it is this process that took longer; each with
        the last byte unsent.
        """
        deadline = trio.current_time() + timeout_s
        for n, part in enumerate(parts):
            unsent = memoryview(part)
            while unsent:
                if not may_continue():
                    raise SendWithheldError
                if trio.current_time() >= deadline:
                    raise ProcessDelayedError("held up while writing")
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
        """Reads once and returns what is complete; raises InvalidResponseError, OSError."""
        self.http.check()
        data = await receive(self.sock, READ_SIZE)
        if self.closed:
            raise InvalidResponseError("aborted")
        return self.http.feed(data)

    def has_input(self) -> bool:
        """Whether there is something to read. On an idle connection that is its end."""
        return is_readable(self.sock, if_unknown=False)

    def abort(self) -> None:
        """Closes the socket at once, so that no further byte reaches the host.

        After a plain close the kernel still delivers what it holds: a host whose receive window was full
        would get the rest of a request that is over, and begin it.
        """
        if self.unacknowledged_bytes():
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def unacknowledged_bytes(self) -> int:
        """Bytes in the kernel that the host has not acknowledged; 0 where the system does not tell."""
        return self._queued_bytes(termios.TIOCOUTQ)

    def unsent_bytes(self) -> int:
        """Bytes in the kernel that have not left this machine yet; 0 where the system does not tell.

        A host that does not read, or a network that is cut, stops them.
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
