"""Measures how late the processes of a rehearsal run because the machine has no processor time for them."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Sequence

import trio

from violetstack.rehearsal.fleet.programs import Program

SAMPLE_INTERVAL_S = 0.02
PROCESSOR_WAIT_WINDOW_S = 1.0


class ProcessDelays:
    """The longest delays so far.

    Attributes:
        lag_s: Delay of a timer in this process, which simulates hosts and clients.
        starved_s: Mean time that a dispatcher waited for a processor within PROCESSOR_WAIT_WINDOW_S.
    """

    def __init__(self) -> None:
        """Starts with no delay."""
        self.lag_s = 0.0
        self.starved_s = 0.0

    def __repr__(self) -> str:
        return f"lag {self.lag_s:.3f} s, dispatchers waited {self.starved_s:.3f} s for a processor"

    def reset(self) -> None:
        """Forgets the delays so far."""
        self.lag_s = 0.0
        self.starved_s = 0.0

    async def samples(self, programs: Sequence[Program] = ()) -> AsyncIterator[None]:
        """Measures until cancelled, and yields after each sample.

        `programs` are the dispatchers whose waits for a processor are measured.
        """
        waits: deque[tuple[float, float]] = deque()
        while True:
            measured_from = trio.current_time()
            waited_before_s = _processor_wait_s(programs)
            await trio.sleep(SAMPLE_INTERVAL_S)
            self.lag_s = max(self.lag_s, trio.current_time() - measured_from - SAMPLE_INTERVAL_S)
            added_wait_s = _processor_wait_s(programs) - waited_before_s
            waits.append((measured_from, added_wait_s / max(1, len(programs))))
            while waits[0][0] < measured_from - PROCESSOR_WAIT_WINDOW_S:
                waits.popleft()
            self.starved_s = max(self.starved_s, sum(wait_s for _, wait_s in waits))
            yield


def _processor_wait_s(programs: Sequence[Program]) -> float:
    return sum(program.processor_wait_s() for program in programs)
