"""Calls to model hosts that have no body and a short answer."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.protocol.http_client import ResponseEnd, ResponseHead

CALL_TIMEOUT_S = 0.6
"""Reservations and health checks are answered by then."""


def _ignore_written() -> None:
    """For calls of which nobody needs to know when they were written."""


async def short_call(
    pool: ConnectionPool,
    connection: UpstreamConnection,
    method: str,
    target: str,
    on_written: Callable[[], None] = _ignore_written,
) -> ResponseHead:
    """Makes one call; the connection is kept only after a complete response.

    `written` is called in the step that hands the last byte to the kernel.

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
