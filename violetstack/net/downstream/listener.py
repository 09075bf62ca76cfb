"""Accepts client connections and limits their number."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.fronts.reply import Front
from violetstack.log import log_rate_limited
from violetstack.net.downstream.accept_queue import MAX_ACCEPTED_AT_ONCE, accept_waiting
from violetstack.net.downstream.closing import CloseMonitor
from violetstack.net.downstream.connection import DownstreamConnection
from violetstack.net.downstream.connection_reader import REQUEST_TIMEOUT_S
from violetstack.net.downstream.connection_table import ConnectionTable
from violetstack.net.downstream.input_turns import InputTurns
from violetstack.net.downstream.response_handle import ResponseHandle
from violetstack.net.transient_errors import is_readable
from violetstack.protocol.http_server import HttpServerConnection

FIRST_ACCEPT_RETRY_S = 0.005
MAX_ACCEPT_RETRY_S = 0.1
"""First and longest pause after the system had no descriptor or memory; each pause is twice the last."""
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.ETIMEDOUT,
    }
)
"""Errors that concern only the connection that accept(2) took off the queue: the next is accepted at once."""
MAX_CONNECTION_ERRORS = 16
"""After this many consecutive ones each is followed by a pause: the cause may not be a single connection."""
MIN_NOTED_PAUSE_MS = 50.0
"""Shorter pauses are ignored: a third of the error that a forwarded deadline may have (0.15 s)."""
QUEUED_SINCE_VALID_S = 1.0
"""For this long after a pause or failed accept, queued connections count as waiting since its start."""
MAX_CONCURRENT_REJECTIONS = 12
"""Connections over the limit that are kept until they are answered; further ones are closed unread."""
TlsHandshake = Callable[[trio.SocketStream], Awaitable[trio.abc.Stream]]
"""Performs the TLS handshake."""


class AcceptFailures:
    """Chooses the pause after a failed accept, which also delays the connections behind the failed one."""

    def __init__(self) -> None:
        self._connection_errors = 0
        self._pause_s = FIRST_ACCEPT_RETRY_S

    def accepted(self) -> None:
        """Resets the pauses after a successful accept."""
        self._connection_errors = 0
        self._pause_s = FIRST_ACCEPT_RETRY_S

    def pause_s(self, error: OSError) -> float:
        """Returns the pause after one more failure."""
        if error.errno in CONNECTION_ERRORS and self._connection_errors < MAX_CONNECTION_ERRORS:
            self._connection_errors += 1
            return 0.0
        pause_s = self._pause_s
        self._pause_s = min(MAX_ACCEPT_RETRY_S, 2.0 * pause_s)
        return pause_s


class Listener:
    """Accepts and serves the connections of one front.

    All connections are accepted, so that none waits unnoticed in the kernel's queue. The limit on descriptors
    is kept by closing the least useful connection or, if all are in use, the new one.
    """

    def __init__(self, core: Dispatcher, front: Front) -> None:
        self.core = core
        self.front = front
        self.table = ConnectionTable(MAX_CONCURRENT_REJECTIONS)
        self.input_turns = InputTurns()
        self.closes = CloseMonitor(log_rate_limited)
        self.draining = False
        """Whether responses announce the end of their connection, because this process shuts down."""
        self.rejecting_requests = False
        """Whether requests are rejected, because the shutdown would cut off their responses."""
        self._queued_since = 0.0
        """Queued connections may have waited since this time, on trio's clock; 0 if that is not known."""
        self._queue_seen_at = 0.0
        self._nursery: trio.Nursery

    async def run(
        self, listeners: list[trio.SocketListener], tls_handshake: TlsHandshake | None = None
    ) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for listener in listeners:
                nursery.start_soon(self._accept_all, listener, tls_handshake)

    def adopt(self, raw: socket.socket, closing: bool) -> ResponseHandle:
        """Takes over a connection whose streamed response another process has begun.

        `closing`: whether the head of the response announced the end of the connection.
        """
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
        connection = DownstreamConnection(stream, self)
        connection.start_parsing(HttpServerConnection.resumed(closing))
        response = connection.adopt_response()
        self.table.add_in_use(connection)
        self._nursery.start_soon(connection.serve)
        return response

    async def _accept_all(self, listener: trio.SocketListener, tls_handshake: TlsHandshake | None) -> None:
        failures = AcceptFailures()
        while True:
            if _queue_is_empty(listener):
                self._queued_since = 0.0
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return  # closed by the shutdown
            except OSError as error:  # one connection failed, or no descriptor or memory is left
                log_rate_limited("accept_failed", error=str(error))
                self._note_queued_since(trio.current_time())
                await trio.sleep(failures.pause_s(error))
                continue
            failures.accepted()
            unread_ms = self.core.max_unread_ms()
            if unread_ms > MIN_NOTED_PAUSE_MS:
                self._note_queued_since(trio.current_time() - unread_ms / 1000.0)
            await self._handle_accepted(stream, tls_handshake)
            for stream in accept_waiting(listener, self._room_for_waiting()):
                await self._handle_accepted(stream, tls_handshake)

    def _room_for_waiting(self) -> int:
        """How many more connections may be accepted in this pass without closing others for them.

        While many are open, each one that is accepted is served before the next.
        """
        return 0 if self.table.crowded else MAX_ACCEPTED_AT_ONCE - 1

    def _note_queued_since(self, since: float) -> None:
        """Notes that connections accepted before the queue is empty may have waited since `since`."""
        if not self._queued_since:
            self._queued_since = since
            self._queue_seen_at = trio.current_time()

    def _accepted_unread_since(self) -> float:
        """Earliest time at which the input of a new connection may have arrived, on trio's clock."""
        now = trio.current_time()
        recent = now - self._queue_seen_at < QUEUED_SINCE_VALID_S
        return self._queued_since if self._queued_since and recent else now

    async def _handle_accepted(self, stream: trio.SocketStream, tls_handshake: TlsHandshake | None) -> None:
        try:
            has_room = self.table.has_room()
        except Exception as error:  # a failure with one connection must not end the listener
            log_rate_limited("accept_failed", error=repr(error))
            has_room = False
        if has_room:
            unread_since = 0.0
            if tls_handshake is None and is_readable(stream.socket, if_unknown=True):
                unread_since = self._accepted_unread_since()
            self._nursery.start_soon(self._serve, stream, tls_handshake, unread_since)
        elif self.table.may_serve_over_limit():
            log_rate_limited("connection_rejected", status=503)
            self.table.over_limit_handshakes += 1
            self._nursery.start_soon(self._serve_over_limit, stream, tls_handshake)
        else:
            log_rate_limited("connection_rejected")
            await trio.aclose_forcefully(stream)

    async def _serve_over_limit(self, raw: trio.SocketStream, tls_handshake: TlsHandshake | None) -> None:
        """Reads the requests of a connection over the limit and answers them with 503."""
        try:
            stream: trio.abc.Stream | None = (
                raw if tls_handshake is None else await self._handshake(raw, tls_handshake)
            )
        finally:
            self.table.over_limit_handshakes -= 1
        if stream is not None:
            connection = DownstreamConnection(stream, self, over_limit=True)
            self.table.add_over_limit(connection)
            await connection.serve()

    async def _serve(
        self, raw: trio.SocketStream, tls_handshake: TlsHandshake | None, unread_since: float
    ) -> None:
        stream: trio.abc.Stream | None = (
            raw if tls_handshake is None else await self._handshake(raw, tls_handshake)
        )
        if stream is None:
            return
        connection = DownstreamConnection(stream, self)
        connection.unread_since = unread_since
        self.table.add(connection)
        await connection.serve()

    async def _handshake(self, raw: trio.SocketStream, tls_handshake: TlsHandshake) -> trio.abc.Stream | None:
        self.table.handshakes += 1
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                return await tls_handshake(raw)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
            log_rate_limited("tls_handshake_failed", error=repr(error))
            await trio.aclose_forcefully(raw)
            return None
        finally:
            self.table.handshakes -= 1


def _queue_is_empty(listener: trio.SocketListener) -> bool:
    """Whether no connection waits to be accepted; True if the listener was closed."""
    return listener.socket.fileno() < 0 or not is_readable(listener.socket, if_unknown=True)
