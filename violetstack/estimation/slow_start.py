"""Slow start: the capacity of an endpoint that started recently, and a limit on its requests."""

from __future__ import annotations

from violetstack.policy_api import Settings
from violetstack.shared.rate_limit import TokenBucket

RAMP_SHARE = 0.5  # share of the missing capacity that is assumed to return during the warm-up
TOKEN_RATE_SHARE = 2 / 3  # of the rate of the limit, since a token may be saved for a window


def capacity_fraction(started_ms: float | None, settings: Settings, now: float) -> float:
    """Returns the assumed share of capacity: 1 after `slow_start_ms`, or if the start is not known."""
    if started_ms is None or now >= started_ms + settings.slow_start_ms:
        return 1.0
    share = settings.slow_start_capacity
    return share + (1.0 - share) * RAMP_SHARE * max(0.0, now - started_ms) / settings.slow_start_ms


class SlowStartBucket(TokenBucket):
    """A token bucket that keeps a dispatcher within its part of a limit over any window.

    If a token could be saved for any time, each of many dispatchers could send a request at the same moment.
    Here a token expires after a window, and tokens are added at TOKEN_RATE_SHARE of the limit's rate: tokens
    that can be taken in a window were added in it or in the one before. A dispatcher whose part of the limit
    is three requests or more saves one token, and gets one less in a window.

    Attributes:
        window_ms: The window of the limit, after which a token expires.
    """

    __slots__ = ("_is_reserved", "window_ms")

    def __init__(self, level: float, now: float) -> None:
        """Starts without a limit; `level`, 0 to 1, is random, which staggers the dispatchers' tokens."""
        super().__init__(0.0, 1.0, level, now)
        self.window_ms = 0.0
        self._is_reserved = False

    def set_limit(self, requests: float, window_ms: float) -> None:
        """Limits requests in any window; many dispatchers with few requests each may exceed it by a third."""
        self.window_ms = window_ms
        self.rate = max(requests * TOKEN_RATE_SHARE, requests - 1.0) / window_ms

    def available(self, now: float) -> float:
        """Returns the level; a token can be taken at 1 or more."""
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
        """Takes a token, if there is one, for a request that is sent later."""
        self._is_reserved = self.level >= 1.0
        self.take()

    def take_reserved(self) -> None:
        """Uses the reserved token, or takes another one if none is reserved."""
        if not self._is_reserved:
            self.take()
        self._is_reserved = False

    def cancel_reservation(self) -> None:
        """Returns the reserved token to the bucket, where it expires as if it had not been reserved."""
        if self._is_reserved:
            self.level += 1.0
        self._is_reserved = False
