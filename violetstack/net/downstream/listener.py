"""Accepts client connections and bounds their number."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.fronts.reply import Front
from violetstack.log import log, log_rate_limited
from violetstack.net.downstream.connection import (
    LINGERING_CLOSE_S,
    READ_SIZE,
    REQUEST_TIMEOUT_S,
    DownstreamConnection,
)
from violetstack.net.downstream.connection_table import ConnectionTable
from violetstack.net.downstream.response_handle import ResponseHandle
from violetstack.protocol.http_server import HttpServerConnection

ACCEPT_RETRY_S = 0.1
"""Pause after the system had no descriptor or memory for a connection."""
TRANSIENT_ACCEPT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOMEM})
MAX_CONCURRENT_REJECTIONS = 12
"""Connections over the bound that are answered at the same time; further ones are closed unanswered."""
OVERLOAD_BODY = b"the dispatcher holds too many connections\n"
OVERLOAD_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(OVERLOAD_BODY), OVERLOAD_BODY)
)
Wrap = Callable[[trio.SocketStream], Awaitable[trio.abc.Stream]]
"""Performs the TLS handshake."""


class Listener:
    """The connections of one front.

    All clients are accepted, so that none waits unseen in the kernel's queue; the bound on descriptors is
    kept by closing the connection that is needed least, or else the new one.
    """

    def __init__(self, core: Dispatcher, front: Front) -> None:
        self.core = core
        self.front = front
        self.table = ConnectionTable()
        self.draining = False
        """Responses announce the connection's end, as this process shuts down."""
        self.refusing = False
        """Requests are rejected, as the shutdown would cut their answers off."""
        self._rejections = 0
        self._nursery: trio.Nursery

    async def run(self, listeners: list[trio.SocketListener], wrap: Wrap | None = None) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for listener in listeners:
                nursery.start_soon(self._accept_all, listener, wrap)

    def adopt(self, raw: socket.socket, closing: bool) -> ResponseHandle:
        """Takes over a connection whose streamed response another process has begun.

        `closing`: the response's head has announced the connection's end.
        """
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
        connection = DownstreamConnection(stream, self)
        connection.start_parsing(HttpServerConnection.resumed(closing))
        response = connection.adopt_response()
        self.table.add_engaged(connection)
        self._nursery.start_soon(connection.serve)
        return response

    async def _accept_all(self, listener: trio.SocketListener, wrap: Wrap | None) -> None:
        while True:
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return  # the shutdown has closed the listening socket
            except OSError as error:
                if error.errno not in TRANSIENT_ACCEPT_ERRORS:
                    raise
                log("accept_failed", error=str(error))
                await trio.sleep(ACCEPT_RETRY_S)
                continue
            await self._accepted(stream, wrap)

    async def _accepted(self, stream: trio.SocketStream, wrap: Wrap | None) -> None:
        try:
            has_room = self.table.has_room()
        except Exception as error:  # a failure over one connection must not end the listener
            log_rate_limited("accept_failed", error=repr(error))
            has_room = False
        if has_room:
            self._nursery.start_soon(self._serve, stream, wrap)
        elif self._rejections < MAX_CONCURRENT_REJECTIONS and wrap is None:
            self._nursery.start_soon(self._reject, stream)
        else:
            log_rate_limited("connection_rejected")
            await trio.aclose_forcefully(stream)

    async def _reject(self, stream: trio.SocketStream) -> None:
        log_rate_limited("connection_rejected", status=503)
        self._rejections += 1
        try:
            with trio.move_on_after(LINGERING_CLOSE_S):
                await stream.send_all(OVERLOAD_RESPONSE)
                await stream.send_eof()
                while await stream.receive_some(READ_SIZE):
                    pass
        except (OSError, trio.BrokenResourceError):
            pass
        finally:
            self._rejections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve(self, raw: trio.SocketStream, wrap: Wrap | None) -> None:
        stream: trio.abc.Stream | None = raw if wrap is None else await self._handshake(raw, wrap)
        if stream is None:
            return
        connection = DownstreamConnection(stream, self)
        self.table.add(connection)
        await connection.serve()

    async def _handshake(self, raw: trio.SocketStream, wrap: Wrap) -> trio.abc.Stream | None:
        self.table.handshakes += 1
        try:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                return await wrap(raw)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
            log_rate_limited("tls_handshake_failed", error=repr(error))
            await trio.aclose_forcefully(raw)
            return None
        finally:
            self.table.handshakes -= 1
