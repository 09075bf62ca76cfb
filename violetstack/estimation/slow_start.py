"""Slow start: how much of its capacity an endpoint has that started a short time ago, and what it is sent."""

from __future__ import annotations

from violetstack.policy_api import Settings
from violetstack.shared.rate_limit import TokenBucket

RAMP = 0.5  # the part of the missing capacity that is taken to have come back by the end of the warm-up
TOKEN_RATE_PART = 2 / 3  # of the rate that a limit allows, where a token may wait for a window


def capacity_fraction(started_ms: float | None, settings: Settings, now: float) -> float:
    """From `slow_start_capacity` at the start up to 1 after `slow_start_ms`; 1 if the start is not known."""
    if started_ms is None or now >= started_ms + settings.slow_start_ms:
        return 1.0
    share = settings.slow_start_capacity
    return share + (1.0 - share) * RAMP * max(0.0, now - started_ms) / settings.slow_start_ms


class SlowStartBucket(TokenBucket):
    """A token bucket that keeps a dispatcher within its part of a limit over any window.

    A bucket that saves a token for any time lets each of many dispatchers send a request at the same moment.
    Here a token is lost that is not taken within a window, and tokens come at a part of the rate that the
    limit allows: those that can be taken in a window came in it or in the one before. A dispatcher whose part
    of the limit is three requests or more saves one token, and gets one less in a window.

    Attributes:
        window_ms: The window of the limit; for so long a token can be taken.
    """

    def __init__(self, level: float, now: float) -> None:
        """Start without a limit; `level`, 0 to 1, is random so that the dispatchers' tokens come spread."""
        super().__init__(0.0, 1.0, level, now)
        self.window_ms = 0.0
        self._is_reserved = False

    def set_limit(self, requests: float, window_ms: float) -> None:
        """Keep to so many requests in any window; at most a third more over many dispatchers of few each."""
        self.window_ms = window_ms
        self.rate = max(requests * TOKEN_RATE_PART, requests - 1.0) / window_ms

    def available(self, now: float) -> float:
        """Return the level: 1 or more with a token that can be taken."""
        level = self.level + self.rate * max(0.0, now - self.refilled_at)
        if level < self.capacity:
            return level
        gained_in_window = self.rate * self.window_ms
        if gained_in_window >= self.capacity:
            return self.capacity
        gained_since_token = level % self.capacity
        is_fresh = gained_since_token <= gained_in_window
        return gained_since_token + (self.capacity if is_fresh else 0.0)

    def reserve(self) -> None:
        """Take a token, if there is one, for a request that is sent later."""
        self._is_reserved = self.level >= 1.0
        self.take()

    def take_reserved(self) -> None:
        """Use the reserved token; without one, take another."""
        if not self._is_reserved:
            self.take()
        self._is_reserved = False

    def cancel_reservation(self) -> None:
        """Return the reserved token, which is lost when it would have been without the reservation."""
        if self._is_reserved:
            self.level += 1.0
        self._is_reserved = False
