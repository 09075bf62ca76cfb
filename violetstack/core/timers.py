"""Timers that call functions at a given time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import msgspec

NEVER = float("inf")
MIN_CANCELLED_TO_COMPACT = 16  # below this, rebuilding the heap costs more than it frees


class Timer(msgspec.Struct, order=True):
    """A scheduled callback; `callback` is None once it has run or was cancelled.

    `order` makes timers that are due at the same time run in the order in which they were scheduled, and
    avoids comparisons of callbacks.
    """

    due_at: float
    order: int
    callback: Callable[[float], None] | None = None


class Timers:
    """A heap of timers, ordered by due time and then by the order in which they were scheduled.

    Most requests end long before their deadline, so cancelled timers outnumber the others. A cancelled timer
    drops its callback at once, and the heap is rebuilt when more than half of it is cancelled.
    """

    def __init__(self) -> None:
        """Creates an empty heap."""
        self._heap: list[Timer] = []
        self._scheduled = 0
        self._cancelled = 0

    def __len__(self) -> int:
        """Returns the size of the heap, including cancelled timers that were not removed yet."""
        return len(self._heap)

    def schedule(self, due_at: float, callback: Callable[[float], None]) -> Timer:
        """Schedules `callback`, which is called with the current time; times are in milliseconds."""
        timer = Timer(due_at, self._scheduled, callback)
        self._scheduled += 1
        heapq.heappush(self._heap, timer)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer; has no effect on a timer that has run or was cancelled before."""
        if timer is None or timer.callback is None:
            return
        timer.callback = None
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_COMPACT + len(self._heap) // 2:
            self._heap = [other for other in self._heap if other.callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def next_due(self) -> float:
        """Returns when the next timer is due; `NEVER` if there is none."""
        while self._heap and self._heap[0].callback is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0].due_at if self._heap else NEVER

    def run(self, now: float) -> None:
        """Runs all due timers, including those that their callbacks schedule for `now` or earlier."""
        while self.next_due() <= now:
            timer = heapq.heappop(self._heap)
            callback = timer.callback
            timer.callback = None
            if callback is not None:
                callback(now)
