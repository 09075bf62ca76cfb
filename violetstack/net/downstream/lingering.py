"""Lingering close: ends a client connection without losing output to a reset.

A closed socket answers further input with a reset, and closing a socket with unread input sends one, too. The
reset destroys output that was not delivered to the client yet. See RFC 9112, section 9.6.
"""

from __future__ import annotations

from typing import Protocol

import trio

from violetstack.net.downstream.closing import unacknowledged_bytes
from violetstack.net.downstream.socket_state import tcp_stream

READ_RESPONSE_S = 0.1
"""After a stream's last byte the client has this long to read it and to close the connection first."""
LINGERING_CLOSE_S = 0.5
"""After the last response the client has this long to close, counted from the last bytes that it sent."""
MAX_LINGERING_CLOSE_S = 2.2  # the same, however often the client sends bytes
STALLED_CLIENT_S = 2.2
"""A client that acknowledges no output for this long is assumed not to read any more."""
POLL_S = 0.05
"""Interval at which the kernel is asked how much output is unacknowledged."""


class LingeringConnection(Protocol):
    """The parts of a connection that a lingering close uses."""

    stream: trio.abc.Stream
    progress_at: float
    """When the client last sent something, on trio's clock."""

    @property
    def client_ended(self) -> trio.Event:
        """Set once the client has closed its sending side."""


class LingeringClose:
    """Closes the sending side, then waits until the client has all output and had time to close."""

    def __init__(self, connection: LingeringConnection) -> None:
        """Must be called once the kernel has accepted all output."""
        self._connection = connection
        self._unacknowledged = 0
        self._acknowledged_at = 0.0

    async def run(self, *, client_closes_first: bool) -> None:
        """Returns when the socket may be closed.

        Args:
            client_closes_first: Whether the client can tell where the response ends. It then has time to read
                the response and close, before the sending side is closed.

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
        if unacknowledged > 1:  # the end of the sending side (FIN) counts as one
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
