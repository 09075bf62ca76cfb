"""What is harmless in one dispatcher and harmful when all of them do it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import pairwise

from violetstack.core.backoff import Backoff

FLEET = 40


def subscribed(next_s: list[Callable[[], float]], until_s: float) -> int:
    """How many of a fleet get their watch back from a discovery at 50 ms a call, refused ones too.

    A call that finds more than 0.2 s of work waiting is refused after that work's time.
    """
    free_at = 0.0
    through = 0
    calls = [(0.0, n) for n in range(len(next_s))]
    while calls:
        now, n = heapq.heappop(calls)
        if now > until_s:
            break
        waits = max(0.0, free_at - now)
        free_at = max(free_at, now) + 0.05
        if waits <= 0.2:
            through += 1
        else:
            heapq.heappush(calls, (now + next_s[n](), n))
    return through


def test_a_whole_fleet_gets_its_watch_back_from_a_discovery_that_faltered() -> None:
    backing_off: list[Callable[[], float]] = [Backoff(FLEET, seed).next_delay_s for seed in range(FLEET)]
    assert subscribed(backing_off, 15.0) == FLEET
    assert subscribed([lambda: 0.25] * FLEET, 15.0) < FLEET // 2  # the service is one that this matters to


def test_tries_at_discovery_are_spread_by_seed_grow_and_begin_anew_after_an_answer() -> None:
    first = [Backoff(FLEET, seed).next_delay_s() for seed in range(FLEET)]
    assert max(first) - min(first) > 0.4 and len(set(first)) == FLEET
    again = Backoff(3, 7)
    waits = [again.next_delay_s() for _ in range(12)]
    assert all(later > sooner for sooner, later in pairwise(waits[::2][:3]))
    assert 0.125 <= waits[0] <= 0.25 and all(2.0 <= wait <= 4.0 for wait in waits[-4:])
    again.reset()
    assert again.next_delay_s() <= 0.25
    agent = Backoff(200, 7, agent=True)  # on this machine: left alone only where it turns callers away
    assert agent.next_delay_s(rejected=False) == 0.0  # a wait would be taken from a drain's grace
    assert all(0.025 <= agent.next_delay_s(rejected=False) <= 0.2 for _ in range(20))
    assert agent.next_delay_s() > 2.0
    agent.reset()
    bad = [agent.next_delay_s(invalid=True) for _ in range(12)]  # it may be right the next time, or never
    assert bad[0] == 0.0 and bad[1] <= 0.25 and all(2.0 <= wait <= 4.0 for wait in bad[-4:])
    asked = Backoff(200, 7)  # a list that is asked for: before what is missed counts as told
    assert asked.next_delay_s(rejected=False) <= 2.0 < asked.next_delay_s(rejected=False)
    assert [Backoff(3, 7).next_delay_s() for _ in range(2)] == [
        Backoff(3, 7).next_delay_s() for _ in range(2)
    ]
