"""Time in which this process ran, for limits that hold while other programs take the cores as well."""

from __future__ import annotations

from collections.abc import Callable

import trio

STEP_S = 0.02  # what counts at most of one look to the next


class Steady:
    """Seconds since it was made, without those in which the machine ran others.

    Guards tests of time limits against a verdict on the machine; only whoever looks every few milliseconds
    may count so.
    """

    def __init__(self) -> None:
        self.spent = 0.0
        self._last = trio.current_time()

    def look(self) -> float:
        now = trio.current_time()
        self.spent += min(STEP_S, now - self._last)
        self._last = now
        return self.spent


async def until(condition: Callable[[], bool], within_s: float = 3.0) -> None:
    time = Steady()
    while not condition():
        assert time.look() < within_s, "not in time"
        await trio.sleep(0.001)
