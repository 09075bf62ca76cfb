"""The orderly end of a client connection: nothing that the client has yet to receive is lost to a reset.

A socket that is closed answers whatever still comes with a reset, and so does a close over unread input; the
reset destroys what the kernels on the way, or the client, have not delivered. See RFC 9112, section 9.6.
"""

from __future__ import annotations

from typing import Protocol

import trio

from violetstack.net.downstream.closing import unacknowledged_bytes
from violetstack.net.downstream.socket_state import tcp_stream

READ_RESPONSE_S = 0.1
"""After a stream's last byte its client gets this long to read it, and to close first."""
LINGERING_CLOSE_S = 0.5
"""After the last response the client gets this long to close, counted from the last bytes it has sent."""
MAX_LINGERING_CLOSE_S = 2.2
STALLED_CLIENT_S = 2.2
"""A client that acknowledges nothing for this long reads no more."""
POLL_S = 0.05
"""How often the kernel is asked whether the client's machine has acknowledged more."""


class LingeringConnection(Protocol):
    """What an orderly end needs of its connection."""

    stream: trio.abc.Stream
    progress_at: float
    """When the client last sent something, on trio's clock."""

    @property
    def client_ended(self) -> trio.Event:
        """Set once the client has ended its sending."""


class LingeringClose:
    """Ends the sending, and waits until the client has received everything and has had time to close."""

    def __init__(self, connection: LingeringConnection) -> None:
        """All output has been handed to the kernel."""
        self._connection = connection
        self._unacknowledged = 0
        self._acknowledged_at = 0.0

    async def run(self, *, client_closes_first: bool) -> None:
        """Returns when the socket may be closed.

        Args:
            client_closes_first: The client knows where the response ends, so the end of the sending may wait
                until it has read that.

        Raises:
            trio.BrokenResourceError: The connection broke.
        """
        transport = tcp_stream(self._connection.stream)
        if transport is None:
            return
        if client_closes_first:
            with trio.move_on_after(READ_RESPONSE_S):
                await self._connection.client_ended.wait()
        await transport.send_eof()
        began_at = trio.current_time()
        self._connection.progress_at = began_at
        self._acknowledged_at = began_at
        self._unacknowledged = unacknowledged_bytes(transport)
        while (wait_s := self._remaining_s(transport, began_at)) > 0.0:
            await self._wait(wait_s)

    def _remaining_s(self, transport: trio.SocketStream, began_at: float) -> float:
        now = trio.current_time()
        unacknowledged = unacknowledged_bytes(transport)
        if unacknowledged < self._unacknowledged:
            self._acknowledged_at = now
        self._unacknowledged = unacknowledged
        if unacknowledged > 1:  # the end of the sending counts as one
            return self._acknowledged_at + STALLED_CLIENT_S - now
        if self._connection.client_ended.is_set():
            return 0.0
        active_at = max(self._connection.progress_at, self._acknowledged_at)
        latest = max(began_at, self._acknowledged_at) + MAX_LINGERING_CLOSE_S
        return min(latest, active_at + LINGERING_CLOSE_S) - now

    async def _wait(self, wait_s: float) -> None:
        if self._unacknowledged > 1:
            await trio.sleep(min(wait_s, POLL_S))
            return
        with trio.move_on_after(wait_s):
            await self._connection.client_ended.wait()
