"""A rate of events that decays exponentially."""

from __future__ import annotations

from math import exp


class DecayingRate:
    """Amount per millisecond, averaged over the time constant.

    Unlike `violetstack.estimation.DecayingSum` it is not corrected for the time before the first event, and
    it has slots: there is one for each class and tenant with demand.
    """

    __slots__ = ("_as_of_ms", "_tau_ms", "_total")

    def __init__(self, tau_ms: float, now: float) -> None:
        """Starts at zero."""
        self._tau_ms = tau_ms
        self._total = 0.0
        self._as_of_ms = now

    def add(self, now: float, amount: float) -> None:
        """Adds an amount observed at a time."""
        self._total = self._decayed(now) + amount
        self._as_of_ms = now

    def per_ms(self, now: float) -> float:
        """Returns the rate, decayed to a time."""
        return self._decayed(now) / self._tau_ms

    def _decayed(self, now: float) -> float:
        return self._total * exp(min(0.0, self._as_of_ms - now) / self._tau_ms)
