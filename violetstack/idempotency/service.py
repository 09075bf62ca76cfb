"""The ledger on a thread of its own, one call after the other."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import TypeVar

import trio

from violetstack.idempotency.store import Claim, Ledger, LedgerError, Order
from violetstack.log import log

T = TypeVar("T")
MAX_WAITING = 512
BEAT_SHARE = 0.25  # of the lease: how often this owner says that it lives
AGAIN_S = 0.2


class OrderBook:
    def __init__(self, ledger: Ledger, lease_s: float) -> None:
        self._ledger = ledger
        self._lease_s = lease_s
        self._send, self._calls = trio.open_memory_channel[Callable[[], None]](math.inf)
        self.pending = 0
        self.stopping = False

    async def run(self) -> None:
        """Calls in the order in which they came, so that an order's end is recorded before its retry asks."""
        await self._thread(self._mark)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat)
            async for call in self._calls:
                await trio.to_thread.run_sync(call)
                self.pending -= 1

    async def _thread(self, call: Callable[[], None]) -> None:
        try:
            await trio.to_thread.run_sync(call)
        except LedgerError as error:
            log("idempotency_store_failed", error=str(error))

    def _mark(self) -> None:
        self._ledger.beat(time.time())

    def holds(self) -> bool:
        """May what was claimed here still be sent?"""
        return self._ledger.holds()

    async def _beat(self) -> None:
        while True:
            await trio.sleep(self._lease_s * BEAT_SHARE)
            await self._call(self._mark)

    async def _call(self, act: Callable[[], T]) -> T | None:
        try:
            return await self._result(act)
        except LedgerError as error:
            log("idempotency_store_failed", error=str(error))
            return None

    async def _result(self, act: Callable[[], T]) -> T:
        done = trio.Event()
        token = trio.lowlevel.current_trio_token()
        result: list[T] = []
        failure: list[LedgerError] = []

        def call() -> None:
            try:
                result.append(act())
            except LedgerError as error:
                failure.append(error)
            finally:
                token.run_sync_soon(done.set)

        self.pending += 1
        self._send.send_nowait(call)
        await done.wait()
        if failure:
            raise failure[0]
        if not result:
            raise LedgerError("the ledger's call failed")
        return result[0]

    async def claim(self, order: Order) -> tuple[Claim, bytes]:
        if self.pending >= MAX_WAITING:
            raise LedgerError("too many calls wait")
        return await self._result(lambda: self._ledger.claim(order, time.time()))

    def settle(self, order: Order, state: Claim | None, outcome: bytes) -> None:
        """Guards against an order that stays `running` for ever: tried until the file takes it."""

        def call() -> None:
            while not self.stopping:
                try:
                    self._ledger.settle(order, state, outcome, time.time())
                    return
                except LedgerError as error:
                    log("idempotency_store_failed", error=str(error))
                    time.sleep(AGAIN_S)

        self.pending += 1
        self._send.send_nowait(call)
