"""A front's access to the client connection of one request."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import h11

from violetstack.core.records import OpenRequest
from violetstack.fronts.reply import MigratableConnection
from violetstack.log import log_rate_limited
from violetstack.protocol.http_server import Headers

if TYPE_CHECKING:
    from violetstack.net.downstream.connection import DownstreamConnection


class ResponseHandle:
    """Answers one request; calls after the final answer, or after the client is gone, have no effect.

    It drops its reference to the connection with the final answer, so that a request that is kept longer does
    not keep the connection in memory.
    """

    def __init__(self, connection: DownstreamConnection) -> None:
        self._connection: DownstreamConnection | None = connection

    @property
    def is_closed(self) -> bool:
        """Whether the request was answered or its client has closed the connection."""
        return self._connection is None or self._connection.client_has_closed()

    @property
    def client(self) -> MigratableConnection | None:
        """The connection, to migrate its stream to another process; None once the request was answered."""
        return self._connection

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""
        self._finish(lambda connection: connection.answer(status, headers, body))

    def stream(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed response."""
        if self._connection is not None:
            self._connection.stream_head(status, headers)

    def data(self, data: memoryview | bytes) -> None:
        """Sends a part of a streamed response's body."""
        if self._connection is not None:
            self._connection.data(data)

    def end(self) -> None:
        """Ends a streamed response regularly."""
        self._finish(lambda connection: connection.end())

    def cut(self) -> None:
        """Ends the connection without the last chunk, so that the client sees an incomplete response."""
        self._finish(lambda connection: connection.cut())

    def attach(self, request: OpenRequest) -> None:
        """From now on the core is notified if this client disconnects."""
        if self._connection is not None:
            self._connection.request = request

    def connection_lost(self) -> None:
        """Called when the connection is closed: further calls have no effect."""
        self._connection = None

    async def wait_writable(self) -> None:
        """Returns once the client has read enough of the output."""
        if self._connection is not None:
            await self._connection.wait_writable()

    def _finish(self, action: Callable[[DownstreamConnection], None]) -> None:
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        try:
            action(connection)
        except h11.LocalProtocolError as error:
            log_rate_limited("response_dropped", error=str(error))
            connection.cut()
