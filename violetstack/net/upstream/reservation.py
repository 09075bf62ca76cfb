"""Reserves a decode slot for a request while a prefill host processes its prompt."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt, ReservationCall
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.upstream.connection import NotConnectedError
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.net.upstream.short_call import CALL_TIMEOUT_S, short_call
from violetstack.protocol.http_client import InvalidResponseError

RESERVED_BY_STATUS = {200: True, 409: False}
NOTHING_RESERVED_STATUSES = frozenset({404, 409})
"""Statuses after which the host certainly holds no slot. After a 204 it may hold one."""

RequestSentWaiter = Callable[[Attempt], Callable[[], Awaitable[None]] | None]
"""Returns a function that waits until the attempt's request is written; None if the attempt has ended."""


class ReservationCaller:
    """Makes the core's reservation calls."""

    def __init__(
        self, core: Dispatcher, pool: ConnectionPool, request_sent_waiter: RequestSentWaiter
    ) -> None:
        self._core = core
        self._pool = pool
        self._request_sent_waiter = request_sent_waiter

    async def run(self, call: ReservationCall) -> None:
        """Makes one call and reports its result to the core."""
        reserved: bool | None = None
        nothing_reserved = True
        try:
            with trio.move_on_after(CALL_TIMEOUT_S):
                if call.server in self._core.stateless_hosts:
                    raise NotConnectedError(f"host {call.server} does not support reservations")
                prerequisite = self._request_sent_waiter(call.attempt) if call.attempt is not None else None
                connection = await self._pool.acquire(
                    call.server, lambda: self._core.may_reserve(call), prerequisite
                )
                if connection is not None:
                    nothing_reserved = False
                    head = await short_call(
                        self._pool,
                        connection,
                        "POST",
                        f"/state/{call.request.id}",
                        on_written=lambda: self._core.reservation_written(now_ms(), call),
                    )
                    reserved = RESERVED_BY_STATUS.get(head.status)
                    nothing_reserved = head.status in NOTHING_RESERVED_STATUSES
        except (NotConnectedError, OSError, InvalidResponseError):
            pass
        except Exception as error:  # a failed call must not end the process
            log("reservation_failed", id=call.request.id, error=repr(error))
        self._core.reservation_finished(now_ms(), call, reserved, nothing_reserved)
