"""What is to be done at a time to come."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import msgspec

NEVER = float("inf")


class Timer(msgspec.Struct, order=True):
    due_at: float
    order: int
    callback: Callable[[float], None] | None = None  # never compared: no two have one order


class Timers:
    """Equal times keep the order in which they were set.

    Guards the memory: a cancelled timer lets go of what it holds at once, and its place in the heap goes
    when cancelled ones are the greater part. A deadline is far off when most requests are over.
    """

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._set = self._cancelled = 0

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, when: float, then: Callable[[float], None]) -> Timer:
        timer = Timer(when, self._set, then)
        self._set += 1
        heapq.heappush(self._heap, timer)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        if timer is None or timer.callback is None:
            return
        timer.callback = None
        self._cancelled += 1
        if self._cancelled > 16 + len(self._heap) // 2:
            self._heap = [each for each in self._heap if each.callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_due(self) -> float:
        while self._heap and self._heap[0].callback is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0].due_at if self._heap else NEVER

    def run(self, now: float) -> None:
        while self.next_due() <= now:
            timer = heapq.heappop(self._heap)
            then = timer.callback
            timer.callback = None
            if then is not None:
                then(now)
