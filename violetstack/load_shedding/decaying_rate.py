"""An exponentially decaying rate."""

from __future__ import annotations

from math import exp


class DecayingRate:
    """Amount per millisecond, as an exponential average with a time constant.

    Unlike `violetstack.estimation.DecayingSum`, it is not corrected for the time before the first event. It
    has slots to save memory, since there is an instance for every class and tenant with demand.
    """

    __slots__ = ("_as_of_ms", "_tau_ms", "_total")

    def __init__(self, tau_ms: float, now: float) -> None:
        """Starts at a rate of zero; `tau_ms` is the time constant."""
        self._tau_ms = tau_ms
        self._total = 0.0
        self._as_of_ms = now

    def add(self, now: float, amount: float) -> None:
        """Adds an amount at the time `now`."""
        self._total = self._decayed(now) + amount
        self._as_of_ms = now

    def per_ms(self, now: float) -> float:
        """Returns the rate at the time `now`."""
        return self._decayed(now) / self._tau_ms

    def _decayed(self, now: float) -> float:
        return self._total * exp(min(0.0, self._as_of_ms - now) / self._tau_ms)
