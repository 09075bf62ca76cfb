"""Tells a waking, and holds what is decided and sent until the sockets have been read up."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.process_pause import Turns

MOST_TURNS = 16  # of reading before a send: a flood on one socket holds sends up for no longer than this
MOST_S = 0.05


class Source(Protocol):
    def pending(self) -> bool:
        """Is there anything unread?"""


class Waking(trio.abc.Instrument):
    """`woke` is called with the gap once all sources are read up, before anything is decided.

    Guards against stale decisions. A process that was stopped finds its time-outs due before it has looked at
    any socket: Linux ends the wait with EINTR, and Python then gives an empty answer if the wait's time is
    over. Without this, attempts end as timed out whose answers lie unread, and sends go to hosts whose
    drain was told seconds ago.
    """

    def __init__(self, waking_ms: float, woke: Callable[[float], None]) -> None:
        self._turns = Turns(now_ms(), waking_ms)
        self._waking_ms = waking_ms
        self._woke = woke
        self._gap = 0.0
        self._begun = trio.Event()
        self._fresh = trio.Event()
        self.sources: list[Source] = []
        self.reading = False
        self._since = 0.0

    # --- the loop's ---

    def before_io_wait(self, timeout: float) -> None:
        self._turns.waiting(now_ms(), timeout * 1000.0)

    def after_io_wait(self, timeout: float) -> None:
        gap = self._turns.looked(now_ms())
        if gap and not self.reading:
            self.reading = True
            self._gap = gap
            self._since = self._turns.since
            self._fresh = trio.Event()
            self._begun.set()

    # --- everybody's ---

    def unseen_ms(self) -> float:
        """For how long at most a request that is read now may have lain; 0 but in a waking."""
        return now_ms() - self._since if self.reading else 0.0

    async def fresh(self) -> None:
        """Returns at once, or once what came in the gap has been read."""
        if self.reading:
            await self._fresh.wait()

    async def run(self) -> None:
        self._turns = Turns(now_ms(), self._waking_ms)  # what a start takes is no waking
        trio.lowlevel.add_instrument(self)
        while True:
            await self._begun.wait()
            self._begun = trio.Event()
            turns = 0
            until = trio.current_time() + MOST_S
            while turns < 2 or any(source.pending() for source in self.sources):
                await trio.lowlevel.checkpoint()
                turns += 1
                if turns >= MOST_TURNS or trio.current_time() >= until:
                    break
            log("woke", gap_ms=round(self._gap), turns=turns)
            self._woke(self._gap)
            self.reading = False
            self._fresh.set()
