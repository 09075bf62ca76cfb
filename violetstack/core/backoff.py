"""When to ask a shared service again."""

from __future__ import annotations

import random

# the window of a first and of the latest further try
FIRST_S = 0.25
MOST_S = 4.0
A_CALL_S = 0.025  # of the service's time, for each dispatcher that asks when all of them do
SOON_S = 2.0  # the first try after a watch has ended: what it misses counts as told after 6 s
# further tries where an agent on this machine has what was pushed
AGENT_FIRST_S = 0.05
AGENT_MOST_S = 0.2


class Backoff:
    """How long to wait before discovery is asked again: in the later half of a window that doubles.

    Guards discovery against its own clients. When it falters, every dispatcher of the fleet loses its watch
    in the same instant, and tries in step each quarter of a second keep it too busy to answer any of them.
    So the first window grows with the fleet, and the place in it comes from the dispatcher's own seed.

    `agent`: lists are pushed to an agent on this machine. It answers at no cost, and what it has counts as
    told, whether or not a watch is open: any wait before the first try is taken from a drain's grace. So only
    an agent that turns callers away, or tells what can't be read, is left alone for longer.
    """

    def __init__(self, fleet_size: int, seed: int, *, agent: bool = False) -> None:
        self.agent = agent
        self._first = max(FIRST_S, fleet_size * A_CALL_S)
        self._random = random.Random(seed)
        self._failures = 0

    def answered(self) -> None:
        self._failures = 0

    def next_s(self, *, turned_away: bool = True, bad: bool = False) -> float:
        """Seconds. `turned_away`: it answered, and not with a list; `bad`: with one that can't be read."""
        tries = self._failures
        self._failures = self._failures + 1
        window = min(max(MOST_S, self._first), self._first * 2.0 ** min(tries, 10))
        if self.agent and (bad or not turned_away):
            first, most = (FIRST_S, MOST_S) if bad else (AGENT_FIRST_S, AGENT_MOST_S)
            window = min(most, first * 2.0 ** min(tries - 1, 10)) if tries else 0.0
        elif not turned_away and not tries:
            window = min(window, SOON_S)
        return window * (0.5 + 0.5 * self._random.random())
