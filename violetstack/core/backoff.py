"""Backoff between requests to the discovery service."""

from __future__ import annotations

import random

# Backoff windows in seconds.
FIRST_WINDOW_S = 0.25
# A change counts as received 6 s after discovery had it and could be reached, whatever calls have failed. So
# no window is longer, however large the fleet; the rest of the 6 s is for the answer.
MAX_WINDOW_S = 4.0
DISCOVERY_CALL_COST_S = 0.025  # what a call costs the service; all dispatchers ask at the same time
FIRST_WINDOW_AFTER_WATCH_S = 2.0  # updates missed after a watch ended count as received 6 s later
# The same for an agent on this machine, to which updates are pushed.
AGENT_FIRST_WINDOW_S = 0.05
AGENT_MAX_WINDOW_S = 0.2
MAX_DOUBLINGS = 10


class Backoff:
    """Exponential backoff with jitter: the wait is drawn from the later half of a window that doubles.

    When discovery falters, every dispatcher loses its watch at the same moment. Retries in step each quarter
    of a second would keep it too busy to answer any of them, so the first window grows with the number of
    dispatchers, up to the longest window, and the jitter comes from the dispatcher's own seed.

    An agent on this machine answers at no cost, and what is pushed to it counts as received by this process
    whether or not a watch is open: a wait before the first retry would be taken from a draining host's grace
    period. So only an agent that rejects callers, or sends a list that can't be decoded, gets longer windows.
    """

    def __init__(self, dispatcher_count: int, seed: int, *, agent: bool = False) -> None:
        """Creates a backoff without failures.

        Args:
            dispatcher_count: Number of dispatchers that share the discovery service.
            seed: Seed of the jitter.
            agent: Whether an agent on this machine is asked.
        """
        self.agent = agent
        fleet_window_s = dispatcher_count * DISCOVERY_CALL_COST_S
        self._first_window_s = min(MAX_WINDOW_S, max(FIRST_WINDOW_S, fleet_window_s))
        self._random = random.Random(seed)
        self._failures = 0

    def reset(self) -> None:
        """Resets the window after a successful request."""
        self._failures = 0

    def next_delay_s(
        self, *, rejected: bool = True, invalid: bool = False, max_s: float = MAX_WINDOW_S
    ) -> float:
        """Returns how many seconds to wait after one more failure.

        Args:
            turned_away: The service answered, but not with a list.
            bad: It answered with a list that can't be decoded.
            longest_s: What the failed call has left of the longest window.
        """
        failures = self._failures
        self._failures += 1
        window_s = min(max_s, self._window_s(failures, rejected=rejected, invalid=invalid))
        return window_s * (0.5 + 0.5 * self._random.random())

    def _window_s(self, failures: int, *, rejected: bool, invalid: bool) -> float:
        if self.agent and (invalid or not rejected):
            return _agent_window_s(failures, invalid=invalid)
        window_s = min(MAX_WINDOW_S, self._first_window_s * _growth_factor(failures))
        if not rejected and not failures:
            return min(window_s, FIRST_WINDOW_AFTER_WATCH_S)
        return window_s


def _agent_window_s(failures: int, *, invalid: bool) -> float:
    if not failures:
        return 0.0
    first_s = FIRST_WINDOW_S if invalid else AGENT_FIRST_WINDOW_S
    max_s = MAX_WINDOW_S if invalid else AGENT_MAX_WINDOW_S
    return min(max_s, first_s * _growth_factor(failures - 1))


def _growth_factor(failures: int) -> float:
    return 2.0 ** min(failures, MAX_DOUBLINGS)
