"""Behaviour that is harmless in one dispatcher and harmful if all of them show it at once."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import pairwise

from violetstack.core.backoff import Backoff

DISPATCHERS = 40


def reconnected_count(next_delay_s: list[Callable[[], float]], until_s: float) -> int:
    """Returns how many dispatchers reopen their watch at a discovery that takes 50 ms for each call.

    Rejected calls take as long. A call is rejected if more than 0.2 s of work is queued.
    """
    free_at = 0.0
    count = 0
    calls = [(0.0, n) for n in range(len(next_delay_s))]
    while calls:
        now, n = heapq.heappop(calls)
        if now > until_s:
            break
        wait_s = max(0.0, free_at - now)
        free_at = max(free_at, now) + 0.05
        if wait_s <= 0.2:
            count += 1
        else:
            heapq.heappush(calls, (now + next_delay_s[n](), n))
    return count


def test_with_backoff_all_dispatchers_reopen_their_watch_after_an_outage_of_discovery() -> None:
    delays_with_backoff: list[Callable[[], float]] = [
        Backoff(DISPATCHERS, seed).next_delay_s for seed in range(DISPATCHERS)
    ]
    assert reconnected_count(delays_with_backoff, 15.0) == DISPATCHERS
    # Without backoff, discovery stays overloaded.
    assert reconnected_count([lambda: 0.25] * DISPATCHERS, 15.0) < DISPATCHERS // 2


def test_delays_differ_by_seed_grow_and_are_reset_after_a_success() -> None:
    first = [Backoff(DISPATCHERS, seed).next_delay_s() for seed in range(DISPATCHERS)]
    assert max(first) - min(first) > 0.4 and len(set(first)) == DISPATCHERS
    backoff_of_three = Backoff(3, 7)
    delays = [backoff_of_three.next_delay_s() for _ in range(12)]
    assert all(later > earlier for earlier, later in pairwise(delays[::2][:3]))
    assert 0.125 <= delays[0] <= 0.25 and all(2.0 <= delay <= 4.0 for delay in delays[-4:])
    backoff_of_three.reset()
    assert backoff_of_three.next_delay_s() <= 0.25
    agent_backoff = Backoff(200, 7, agent=True)  # on this machine: long delays only if it rejects calls
    assert agent_backoff.next_delay_s(rejected=False) == 0.0  # a delay would use up the grace time of a drain
    assert all(0.025 <= agent_backoff.next_delay_s(rejected=False) <= 0.2 for _ in range(20))
    assert agent_backoff.next_delay_s() > 2.0
    agent_backoff.reset()
    # After an invalid list, the next one may be valid, or none ever.
    invalid = [agent_backoff.next_delay_s(invalid=True) for _ in range(12)]
    assert invalid[0] == 0.0 and invalid[1] <= 0.25 and all(2.0 <= delay <= 4.0 for delay in invalid[-4:])
    # The first delay leaves time to learn of missed changes within the 6 s after the end of a watch.
    backoff = Backoff(200, 7)
    assert backoff.next_delay_s(rejected=False) <= 2.0 < backoff.next_delay_s(rejected=False)
    assert [Backoff(3, 7).next_delay_s() for _ in range(2)] == [
        Backoff(3, 7).next_delay_s() for _ in range(2)
    ]
