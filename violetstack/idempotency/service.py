"""Runs the blocking calls of the idempotency store on a thread, one at a time."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TypeVar

import trio

from violetstack.idempotency.store import (
    ClaimResult,
    ClaimStatus,
    IdempotencyStore,
    IdempotencyStoreError,
    KeyedRequest,
    Outcome,
)
from violetstack.log import log, log_rate_limited

T = TypeVar("T")


def _ignore_late_result(_: object) -> None:
    """Does nothing: for a call whose result needs no clean-up after a cancellation."""


MAX_QUEUED_CALLS = 512
RENEWALS_PER_LEASE = 4
RETRY_DELAY_S = 0.2


class IdempotencyService:
    """Claims requests, records their outcomes, and renews the lease on claimed requests.

    Attributes:
        pending_calls: Number of calls that are queued or running; the shutdown waits until there are none.
    """

    def __init__(self, store: IdempotencyStore, lease_s: float) -> None:
        """Creates the service of a store.

        Args:
            store: The store; nothing but the service may use it from now on.
            lease_s: Duration of the store's lease in seconds.
        """
        self.pending_calls = 0
        self._store = store
        self._renewal_interval_s = lease_s / RENEWALS_PER_LEASE
        self._retries_stopped = False
        self._send_call, self._receive_call = trio.open_memory_channel[Callable[[], bool]](math.inf)

    async def run(self) -> None:
        """Runs queued calls until cancelled.

        Calls run in the order in which they were queued, so the outcome of a request is recorded before a
        retry of the request looks it up. A call that has to be repeated goes to the end of the queue: until
        then its request counts as running, and other calls do not wait for it.
        """
        try:
            await trio.to_thread.run_sync(self._renew_lease)
        except IdempotencyStoreError as error:
            log("idempotency_store_failed", error=error.reason)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_lease_periodically)
            async for call in self._receive_call:
                if await self._run_call(call):
                    self.pending_calls -= 1
                else:
                    nursery.start_soon(self._requeue_after_delay, call)

    async def _run_call(self, call: Callable[[], bool]) -> bool:
        """Runs a call on a thread; returns False if it has to be repeated."""
        try:
            return await trio.to_thread.run_sync(call)
        except Exception as error:  # an exception of one call must not end the service
            log_rate_limited("idempotency_store_failed", error=repr(error))
            return True

    async def _requeue_after_delay(self, call: Callable[[], bool]) -> None:
        await trio.sleep(RETRY_DELAY_S)
        self._send_call.send_nowait(call)

    def holds_lease(self) -> bool:
        """Returns whether a request that this process claimed may still be sent."""
        return self._store.holds_lease()

    async def claim(self, request: KeyedRequest, timeout_s: float = math.inf) -> ClaimResult:
        """Records a request as running, or returns the existing record.

        A claim that is committed only after `timeout_s` is released again.

        Raises:
            IdempotencyStoreError: MAX_QUEUED_CALLS calls are queued already, the file cannot be written, or
                the claim took longer than `timeout_s`.
        """
        if self.pending_calls >= MAX_QUEUED_CALLS:
            raise IdempotencyStoreError(
                f"{self.pending_calls} calls are queued, the limit is {MAX_QUEUED_CALLS}"
            )

        def release(late: ClaimResult) -> None:
            if late.status is ClaimStatus.ACQUIRED:
                self.record_outcome(request, Outcome.RELEASED, b"")

        with trio.move_on_after(timeout_s):
            return await self._call(lambda: self._store.claim(request), release)
        raise IdempotencyStoreError(f"the claim took longer than {timeout_s:.1f} s")

    def record_outcome(self, request: KeyedRequest, outcome: Outcome, response: bytes) -> None:
        """Records how a claimed request ended.

        Returns at once. The write is retried until it succeeds or `stop_retrying` is called, since a request
        without a recorded outcome would count as running until its owner's lease expires.
        """

        def record() -> bool:
            """Runs on a thread."""
            if self._retries_stopped:
                return True
            try:
                self._store.record_outcome(request, outcome, response)
            except IdempotencyStoreError as error:
                log_rate_limited("idempotency_store_failed", error=error.reason)
                return False
            return True

        self._enqueue(record)

    def stop_retrying(self) -> None:
        """Stops the retries of `record_outcome`, so that the process can exit."""
        self._retries_stopped = True

    def _renew_lease(self) -> None:
        self._store.renew_lease()

    async def _renew_lease_periodically(self) -> None:
        while True:
            await trio.sleep(self._renewal_interval_s)
            try:
                await self._call(self._renew_lease, _ignore_late_result)
            except IdempotencyStoreError as error:
                log("idempotency_store_failed", error=error.reason)

    async def _call(self, operation: Callable[[], T], on_late_result: Callable[[T], None]) -> T:
        """Runs `operation` on a thread and returns its result.

        If the caller is cancelled before that, `on_late_result` is called with the result.

        Raises:
            IdempotencyStoreError: Raised by `operation`, or it ended by an unexpected exception.
        """
        done = trio.Event()
        token = trio.lowlevel.current_trio_token()
        results: list[T] = []
        errors: list[IdempotencyStoreError] = []
        waiting = True

        def finish() -> None:
            """Runs in the event loop, so that a result is either returned or passed to `on_late_result`."""
            if not waiting and results:
                on_late_result(results[0])
            done.set()

        def call() -> bool:
            """Runs on a thread."""
            try:
                results.append(operation())
            except IdempotencyStoreError as error:
                errors.append(error)
            finally:
                token.run_sync_soon(finish)
            return True

        self._enqueue(call)
        try:
            await done.wait()
        except trio.Cancelled:
            waiting = False
            if done.is_set() and results:
                on_late_result(results[0])
            raise
        if errors:
            raise errors[0]
        if not results:
            raise IdempotencyStoreError("the call ended by an unexpected exception")
        return results[0]

    def _enqueue(self, call: Callable[[], bool]) -> None:
        self.pending_calls += 1
        self._send_call.send_nowait(call)
