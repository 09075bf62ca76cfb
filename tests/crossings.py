"""Helpers of the tests that force races on real sockets."""

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
EXTRA = b"HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n" + b'{"cached_tokens":99}'


class SlowConnects:
    """Connections to one host come up when `up` is set, as over a slow network."""

    def __init__(self, on: Stage, name: str) -> None:
        self.asked = trio.Event()
        self.up = trio.Event()
        self._open = on.daemon.hosts.pool.open
        self._name = name
        on.daemon.hosts.pool.open = self.open  # type: ignore[method-assign]

    async def open(self, server: str, timeout_s: float) -> UpstreamConnection:
        connection = await self._open(server, timeout_s)
        if server == self._name:
            self.asked.set()
            await self.up.wait()
        return connection


async def send_request(on: Stage, request: str, kind: str = "orden", **more: str) -> Call:
    call = await connect(on.platform)
    await call.send("POST", "/v1/chat/completions", platform_headers(request, kind, **more), BODY)
    return call


def recording_attempts(
    story: Callable[[Stage], Awaitable[None]], attempt_logs: dict[str, list[AttemptLogEntry]]
) -> Callable[[Stage], Awaitable[None]]:
    async def recorded(on: Stage) -> None:
        take = on.daemon.core.accept

        def taking(*args: Any, **more: Any) -> Any:
            request = take(*args, **more)
            attempt_logs[request.id] = request.attempt_log
            return request

        on.daemon.core.accept = taking  # type: ignore[method-assign]
        await story(on)

    return recorded
