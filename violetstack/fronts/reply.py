"""What a front may do with the connection of one request; the net's listener is behind it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from violetstack.core.records import OpenRequest
from violetstack.protocol.server_side import Headers, Inbound, ServerSide


class Client(Protocol):
    """A connection with an answer under way, as it is passed on to another process."""

    http: ServerSide

    async def pause_for_migration(self) -> bool:
        """Stops reading and writing between two events; False, with no effect, if not possible now."""

    @property
    def descriptor(self) -> int | None: ...

    def resume(self) -> None:
        """Goes on after a migration that did not take place."""

    def detach(self) -> None:
        """Another process has the connection: closes this end without shutting it down."""


class Reply(Protocol):
    def answer(self, status: int, headers: Headers, body: bytes) -> None: ...

    def stream(self, status: int, headers: Headers) -> None: ...

    def data(self, data: memoryview | bytes) -> None: ...

    def end(self) -> None: ...

    def cut(self) -> None:
        """End the connection without the last chunk."""

    def attach(self, request: OpenRequest) -> None:
        """From here on the core is told if this client goes away."""

    @property
    def gone(self) -> bool:
        """Answered, or the client has gone away."""

    @property
    def client(self) -> Client | None:
        """The connection, for another process that goes on with its answer."""

    async def wait_writable(self) -> None:
        """Returns once the client has read enough of what waits for it."""


class Payload(msgspec.Struct, frozen=True):
    """What of a request goes to a model host as it is, and how the host's side waits for a slow client."""

    method: str
    target: str
    content_type: str
    body: memoryview
    wait_writable: Callable[[], Awaitable[None]]


class Front(Protocol):
    def handle(self, inbound: Inbound, reply: Reply) -> None:
        """Takes a request, or answers it at once or later."""

    def rejected(self, status: int, reason: str, reply: Reply) -> None:
        """Answers bytes that are no request."""


TEXT: Headers = [("Content-Type", "text/plain; charset=utf-8")]
EVENTS: Headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
