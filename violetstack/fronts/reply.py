"""The interfaces between fronts and client connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from violetstack.core.records import OpenRequest
from violetstack.protocol.http_server import Headers, HttpRequest, HttpServerConnection


class Client(Protocol):
    """A connection with a response under way, as it is migrated to another process."""

    http: HttpServerConnection

    async def pause_for_migration(self) -> bool:
        """Stops reading and writing between two events; False, with no effect, if not possible now."""

    @property
    def descriptor(self) -> int | None:
        """The socket's file descriptor, if the connection can be migrated."""

    def resume(self) -> None:
        """Goes on after a migration that did not take place."""

    def detach(self) -> None:
        """Another process has the connection: closes this end without shutting it down."""


class Reply(Protocol):
    """Answers one request; calls after its final answer have no effect."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """A complete response."""

    def stream(self, status: int, headers: Headers) -> None:
        """The head of a streamed response."""

    def data(self, data: memoryview | bytes) -> None:
        """A part of a streamed response's body."""

    def end(self) -> None:
        """The regular end of a streamed response."""

    def cut(self) -> None:
        """Ends the connection without the last chunk."""

    def attach(self, request: OpenRequest) -> None:
        """From here on the core is notified when this client disconnects."""

    @property
    def gone(self) -> bool:
        """Whether the request is answered, or the client has closed its connection."""

    @property
    def client(self) -> Client | None:
        """The connection, for a stream that another process goes on with."""

    async def wait_writable(self) -> None:
        """Returns once the client has read enough of what was written."""


class Payload(msgspec.Struct, frozen=True):
    """What is forwarded to a model host unchanged, and the client's backpressure."""

    method: str
    target: str
    content_type: str
    body: memoryview
    wait_writable: Callable[[], Awaitable[None]]
    headers: Headers = []
    """Header fields beside those that each attempt has of its own."""


class Front(Protocol):
    """A client-facing API."""

    def handle(self, inbound: HttpRequest, reply: Reply) -> None:
        """Answers a request, at once or later."""

    def rejected(self, status: int, reason: str, reply: Reply) -> None:
        """Answers bytes that are no acceptable request."""


TEXT: Headers = [("Content-Type", "text/plain; charset=utf-8")]
EVENTS: Headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
