"""Calls to model hosts that have no body and a short answer."""

from __future__ import annotations

from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.protocol.host_side import End, Head

CALL_TIMEOUT_S = 0.6
"""Reservations and health checks are answered by then."""


async def short_call(pool: ConnectionPool, connection: UpstreamConnection, method: str, target: str) -> Head:
    """Makes one call; the connection is kept only after a complete response. Raises Broken, OSError."""
    complete = False
    try:
        await connection.write(
            connection.http.request(method, target, [("Host", "app.svc")]), written=lambda: None
        )
        head: Head | None = None
        while True:
            for event in await connection.receive():
                if isinstance(event, Head):
                    head = event
                elif isinstance(event, End) and head is not None:
                    complete = True
                    return head
    finally:
        if complete:
            pool.put_back(connection)
        else:
            pool.close(connection)
