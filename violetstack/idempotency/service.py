"""Runs the blocking calls of the idempotency store on a thread, one after the other."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import TypeVar

import trio

from violetstack.idempotency.store import (
    ClaimResult,
    IdempotencyStore,
    IdempotencyStoreError,
    KeyedRequest,
    Outcome,
)
from violetstack.log import log

T = TypeVar("T")
MAX_QUEUED_CALLS = 512
RENEWALS_PER_LEASE = 4
RETRY_DELAY_S = 0.2


class IdempotencyService:
    """Claims requests, records their outcomes and renews the lease.

    Attributes:
        pending: Number of calls that are queued or run; shutdown waits until there are none.
    """

    def __init__(self, store: IdempotencyStore, lease_s: float) -> None:
        """Create the service of a store.

        Args:
            store: The store; from now on only the service uses it.
            lease_s: Length of the store's lease.
        """
        self.pending = 0
        self._store = store
        self._renewal_interval_s = lease_s / RENEWALS_PER_LEASE
        self._stopped = False
        self._send_call, self._receive_call = trio.open_memory_channel[Callable[[], None]](math.inf)

    async def run(self) -> None:
        """Serves until cancelled.

        Calls run in the order in which they came, so the outcome of a request is recorded before its retry is
        looked up.
        """
        try:
            await trio.to_thread.run_sync(self._renew_lease)
        except IdempotencyStoreError as error:
            log("idempotency_store_failed", error=error.reason)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            async for call in self._receive_call:
                await trio.to_thread.run_sync(call)
                self.pending -= 1

    def holds_lease(self) -> bool:
        """Whether a request that was claimed here may still be sent."""
        return self._store.holds_lease()

    async def claim(self, request: KeyedRequest) -> ClaimResult:
        """Records a request as running, or returns what is recorded of it.

        Raises:
            IdempotencyStoreError: More than MAX_QUEUED_CALLS calls are queued, or the file cannot be written.
        """
        if self.pending >= MAX_QUEUED_CALLS:
            raise IdempotencyStoreError(f"{self.pending} calls are queued, at most {MAX_QUEUED_CALLS}")
        return await self._call(lambda: self._store.claim(request))

    def record_outcome(self, request: KeyedRequest, outcome: Outcome, response: bytes) -> None:
        """Records how a claimed request ended.

        Returns at once. The write is retried until it succeeds or `stop_retrying` is called, since a request
        without an outcome would be running until its owner's lease ends.
        """

        def record() -> None:
            """Runs on the thread."""
            while not self._stopped:
                try:
                    self._store.record_outcome(request, outcome, response)
                except IdempotencyStoreError as error:
                    log("idempotency_store_failed", error=error.reason)
                    time.sleep(RETRY_DELAY_S)
                else:
                    return

        self._enqueue(record)

    def stop_retrying(self) -> None:
        """Ends the retries of `record_outcome`, so that the process can exit."""
        self._stopped = True

    def _renew_lease(self) -> None:
        self._store.renew_lease()

    async def _keep_lease(self) -> None:
        while True:
            await trio.sleep(self._renewal_interval_s)
            try:
                await self._call(self._renew_lease)
            except IdempotencyStoreError as error:
                log("idempotency_store_failed", error=error.reason)

    async def _call(self, act: Callable[[], T]) -> T:
        """Runs `act` on the thread and returns its result; raises IdempotencyStoreError."""
        done = trio.Event()
        token = trio.lowlevel.current_trio_token()
        results: list[T] = []
        errors: list[IdempotencyStoreError] = []

        def call() -> None:
            """Runs on the thread."""
            try:
                results.append(act())
            except IdempotencyStoreError as error:
                errors.append(error)
            finally:
                token.run_sync_soon(done.set)

        self._enqueue(call)
        await done.wait()
        if errors:
            raise errors[0]
        if not results:
            raise IdempotencyStoreError("the call ended by an unexpected exception")
        return results[0]

    def _enqueue(self, call: Callable[[], None]) -> None:
        self.pending += 1
        self._send_call.send_nowait(call)
