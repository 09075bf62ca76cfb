"""The admin API's listener.

It has a small number of connections of its own, so that many clients cannot lock out operators, or the
reverse.
"""

from __future__ import annotations

import errno

import trio

from violetstack.admin.api import AdminConnection, AdminOperations
from violetstack.log import log, log_rate_limited

MAX_CONNECTIONS = 16  # at this number, the connection whose request has been incomplete for longest is closed
REQUEST_TIMEOUT_S = 5.0  # to receive a complete request
RESPONSE_TIMEOUT_S = 2.0  # for the client to read the response
READ_SIZE_BYTES = 2048
ACCEPT_RETRY_S = 0.05
TRANSIENT_ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOMEM)


class AdminServer:
    """Serves the admin API; each connection carries one request."""

    def __init__(self, operations: AdminOperations) -> None:
        """Creates a server of these operations."""
        self._operations = operations
        self._waiting: dict[trio.CancelScope, None] = {}  # with an incomplete request, oldest first
        self._open = 0
        self._closed = trio.Event()

    async def run(self, listener: trio.SocketListener) -> None:
        """Serves until cancelled.

        Raises:
            OSError: Accepting connections failed permanently.
        """
        async with listener, trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    if error.errno not in TRANSIENT_ACCEPT_ERRORS:
                        raise
                    log("accept_failed", error=str(error))
                    await trio.sleep(ACCEPT_RETRY_S)
                    continue
                self._open += 1
                nursery.start_soon(self._serve, stream)
                while self._open >= MAX_CONNECTIONS:
                    self._close_oldest_waiting()
                    self._closed = trio.Event()
                    await self._closed.wait()

    def _close_oldest_waiting(self) -> None:
        if self._waiting:
            oldest = next(iter(self._waiting))
            del self._waiting[oldest]
            oldest.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        scope = trio.CancelScope()
        self._waiting[scope] = None
        try:
            with scope:
                await self._serve_request(stream, scope)
            if scope.cancelled_caught:
                log_rate_limited(
                    "admin_call_rejected",
                    path="",
                    status=0,
                    reason="closed to make room for other connections",
                )
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:  # a bug in serving one connection must not end the server
            log_rate_limited("connection_failed", error=repr(error))
        finally:
            self._waiting.pop(scope, None)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
            self._open -= 1
            self._closed.set()

    async def _serve_request(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        connection = AdminConnection(self._operations, log_rate_limited)
        with trio.move_on_after(REQUEST_TIMEOUT_S) as timeout:
            while not connection.finished:
                data = await stream.receive_some(READ_SIZE_BYTES)
                if not data:
                    return
                response = connection.feed(bytes(data))
                if response is not None:
                    await stream.send_all(response)
        self._waiting.pop(scope, None)
        with trio.move_on_after(RESPONSE_TIMEOUT_S):
            if timeout.cancelled_caught:
                await stream.send_all(connection.time_out())
            # Closing with unread input would reset the connection, which could destroy the response in
            # transit.
            await stream.send_eof()
            while await stream.receive_some(READ_SIZE_BYTES):
                pass
