"""Backoff between requests to the discovery service."""

from __future__ import annotations

import random

# Backoff windows in seconds.
FIRST_WINDOW_S = 0.25
# A dispatcher must have a change of the endpoint list 6 s after a reachable discovery service had it, however
# many requests failed before. So no window is longer than 4 s, whatever the size of the fleet; the other 2 s
# are for the response.
MAX_WINDOW_S = 4.0
DISCOVERY_CALL_COST_S = 0.025  # time that the service spends on one request; all dispatchers ask at once
FIRST_WINDOW_AFTER_WATCH_S = 2.0  # the 6 s for updates that were missed begin when the watch ends
# Windows for an agent on this machine, which is sent the updates and passes them on.
AGENT_FIRST_WINDOW_S = 0.05
AGENT_MAX_WINDOW_S = 0.2
MAX_DOUBLINGS = 10


class Backoff:
    """Exponential backoff with jitter: the delay is drawn from the upper half of a window that doubles.

    When the discovery service fails, every dispatcher loses its watch at the same moment. If all of them
    retried every 0.25 s, the service would be too busy to answer any of them. So the first window grows with
    the number of dispatchers, up to the longest window, and each dispatcher's jitter has its own seed.

    A discovery agent on this machine answers at no cost to the service. The updates that it is sent count as
    received by this process whether or not a watch is open, so each delay before a retry shortens the time
    that is left for a draining host. Therefore only an agent that rejects requests, or sends a list that
    can't be decoded, gets the longer windows.
    """

    def __init__(self, dispatcher_count: int, seed: int, *, agent: bool = False) -> None:
        """Creates a backoff without failures.

        Args:
            dispatcher_count: Number of dispatchers that use the discovery service.
            seed: Seed of the jitter.
            agent: Whether requests go to a discovery agent on this machine.
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
        """Counts one more failure, and returns the delay before the next request in seconds.

        Args:
            rejected: The service answered, but not with a list.
            invalid: The service answered with a list that can't be decoded.
            max_s: Upper limit of the delay: the longest window less the time that the failed call took.
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
