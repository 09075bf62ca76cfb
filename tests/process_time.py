"""Time limits that do not count while other programs occupy the machine's cores."""

from __future__ import annotations

from collections.abc import Callable

import trio

STEP_S = 0.02  # longest time that counts between two samples


class ProcessTimer:
    """Measures the seconds in which this process ran since the timer was created.

    Without it, tests of time limits would fail on a busy machine. `sample` must be called every few
    milliseconds, since a longer gap counts as `STEP_S`.
    """

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        self._last = trio.current_time()

    def sample(self) -> float:
        """Counts the time since the last sample, and returns the sum."""
        now = trio.current_time()
        self.elapsed_s += min(STEP_S, now - self._last)
        self._last = now
        return self.elapsed_s


async def wait_until(condition: Callable[[], bool], within_s: float = 3.0) -> None:
    timer = ProcessTimer()
    while not condition():
        assert timer.sample() < within_s, f"condition did not hold within {within_s} s"
        await trio.sleep(0.001)
