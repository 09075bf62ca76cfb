"""Helpers for tests that force races on real sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing

from violetstack.core.records import AttemptLogEntry
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.rehearsal.clients import (
    BODY,
    Call,
    connect,
    platform_headers,
)
from violetstack.rehearsal.stage import SETTINGS, Stage

LIMITS = SETTINGS["limits"]
SECOND_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n" + b'{"cached_tokens":99}'


class DelayedConnects:
    """Delays connections to one host until `may_complete` is set, as on a slow network."""

    def __init__(self, on: Stage, name: str) -> None:
        self.requested = trio.Event()
        self.may_complete = trio.Event()
        self._open = on.daemon.upstream_driver.pool.open
        self._name = name
        on.daemon.upstream_driver.pool.open = self.open  # type: ignore[method-assign]

    async def open(self, server: str, timeout_s: float, *, for_release: bool = False) -> UpstreamConnection:
        connection = await self._open(server, timeout_s, for_release=for_release)
        if server == self._name:
            self.requested.set()
            await self.may_complete.wait()
        return connection


async def send_request(
    on: Stage, request: str, kind: str = "orden", *, call: Call | None = None, **headers: str
) -> Call:
    """Sends a request, on the connection of `call` if that is given."""
    call = call or await connect(on.platform)
    await call.send("POST", "/v1/chat/completions", platform_headers(request, kind, **headers), BODY)
    return call


def recording_attempt_logs(
    story: Callable[[Stage], Awaitable[None]], attempt_logs: dict[str, list[AttemptLogEntry]]
) -> Callable[[Stage], Awaitable[None]]:
    async def recorded(on: Stage) -> None:
        accept = on.daemon.core.accept

        def accept_and_record(*args: Any, **headers: Any) -> Any:
            request = accept(*args, **headers)
            attempt_logs[request.id] = request.attempt_log
            return request

        on.daemon.core.accept = accept_and_record  # type: ignore[method-assign]
        await story(on)

    return recorded
