"""Interfaces between the fronts and the client connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from violetstack.core.records import OpenRequest
from violetstack.protocol.http_server import Headers, HttpRequest, HttpServerConnection


class MigratableConnection(Protocol):
    """A client connection whose streamed response can be migrated to another process."""

    http: HttpServerConnection

    async def pause_for_migration(self) -> bool:
        """Stops reading and writing between two events.

        Returns False, and changes nothing, if that is not possible now.
        """

    @property
    def descriptor(self) -> int | None:
        """The socket's file descriptor; None if the connection can't be migrated."""

    def resume(self) -> None:
        """Resumes reading and writing after a migration that did not take place."""

    def detach(self) -> None:
        """Closes this process's descriptor without shutting the connection down: another process has it."""


class Reply(Protocol):
    """Responds to one request; calls after the end of the response have no effect."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""

    def stream(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed response."""

    def data(self, data: memoryview | bytes) -> None:
        """Sends a part of a streamed response's body."""

    def end(self) -> None:
        """Ends a streamed response regularly."""

    def cut(self) -> None:
        """Ends the connection without the last chunk, so that the client sees an incomplete response."""

    def attach(self, request: OpenRequest) -> None:
        """From now on the core is notified when this client disconnects."""

    @property
    def is_closed(self) -> bool:
        """Whether the response has ended or the client has closed its connection."""

    @property
    def client(self) -> MigratableConnection | None:
        """The connection, to migrate its stream to another process; None once the response has ended."""

    async def wait_writable(self) -> None:
        """Returns once the client has read enough of what was written."""


class Payload(msgspec.Struct, frozen=True):
    """The parts of a request that are forwarded to a model host unchanged, and the client's backpressure."""

    method: str
    target: str
    content_type: str
    body: memoryview
    wait_writable: Callable[[], Awaitable[None]]
    headers: Headers = []
    """Header fields of the client that every attempt carries beside its own."""


class Front(Protocol):
    """Serves one client-facing API."""

    def handle(self, inbound: HttpRequest, reply: Reply) -> None:
        """Responds to a request, at once or later."""

    def reject(self, status: int, reason: str, reply: Reply) -> None:
        """Responds to a request, or to invalid bytes, with an error that gives the reason."""


TEXT_HEADERS: Headers = [("Content-Type", "text/plain; charset=utf-8")]
EVENT_STREAM_HEADERS: Headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
