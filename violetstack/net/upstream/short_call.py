"""Calls to model hosts without a request body and with a short response."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.protocol.http_client import ResponseEnd, ResponseHead

CALL_TIMEOUT_S = 0.6
"""Time limit for a reservation or health check, including the time to connect."""


def _ignore_written() -> None:
    """Default callback, for calls whose time of writing is not needed."""


async def short_call(
    pool: ConnectionPool,
    connection: UpstreamConnection,
    method: str,
    target: str,
    on_written: Callable[[], None] = _ignore_written,
) -> ResponseHead:
    """Makes one call; returns the connection to the pool only after a complete response.

    `on_written` is called right after the kernel has taken the last byte, before any other task runs.

    Raises:
        InvalidResponseError: The response is not HTTP, or is incomplete.
        OSError: The connection broke.
    """
    complete = False
    try:
        await connection.write(connection.http.request(method, target, [("Host", "app.svc")]), on_written)
        head: ResponseHead | None = None
        while True:
            for event in await connection.receive():
                if isinstance(event, ResponseHead):
                    head = event
                elif isinstance(event, ResponseEnd) and head is not None:
                    complete = True
                    return head
    finally:
        if complete:
            pool.put_back(connection)
        else:
            pool.close(connection)
