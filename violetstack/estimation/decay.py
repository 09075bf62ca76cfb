"""Estimators over recent observations: a sum that decays exponentially and a bounded window of samples.

All times are milliseconds of one clock of the caller.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import exp
from typing import NamedTuple

MIN_SAMPLES = 5  # with fewer samples, one outlier could determine the median
PRIOR_DIVISOR = 6  # of the time constant: the weight of a prior, and the shortest span of a rate


class DecayingSum:
    """A sum in which an amount has the weight exp(-age / tau_ms), as in an exponential moving average.

    Attributes:
        total: The sum as it was at `as_of_ms`.
        as_of_ms: The time of the last addition.
        since_ms: The time of the first addition; None before it.
    """

    __slots__ = ("_tau_ms", "as_of_ms", "since_ms", "total")

    def __init__(self, tau_ms: float) -> None:
        """Starts at zero; `tau_ms` is the time constant of the decay."""
        self._tau_ms = tau_ms
        self.total = 0.0
        self.as_of_ms = 0.0
        self.since_ms: float | None = None

    def value_at(self, now: float) -> float:
        """Returns the sum, decayed to `now`."""
        return self.total * exp((self.as_of_ms - now) / self._tau_ms) if self.total else 0.0

    def add(self, now: float, amount: float) -> None:
        """Adds an amount observed at `now`."""
        self.total = self.value_at(now) + amount
        self.as_of_ms = now
        self.since_ms = now if self.since_ms is None else self.since_ms

    def rate_per_ms(self, now: float) -> float:
        """Returns the recent rate of additions, corrected for the time before the first one."""
        observed_ms = now - (now if self.since_ms is None else self.since_ms)
        span_ms = max(observed_ms, self._tau_ms / PRIOR_DIVISOR)
        return self.value_at(now) / (self._tau_ms * (1.0 - exp(-span_ms / self._tau_ms)))

    def rate_per_ms_with_prior(self, now: float, prior_per_ms: float) -> float:
        """Returns the recent rate of additions, blended with a prior that observations outweigh.

        The prior weighs as much as observations of tau_ms / PRIOR_DIVISOR, so that a burst right after a
        start is not taken for the steady rate.
        """
        observed_ms = 0.0
        if self.since_ms is not None:
            observed_ms = self._tau_ms * (1.0 - exp((self.since_ms - now) / self._tau_ms))
        prior = prior_per_ms * self._tau_ms / PRIOR_DIVISOR
        return (self.value_at(now) + prior) / (observed_ms + self._tau_ms / PRIOR_DIVISOR)


class Sample(NamedTuple):
    """One observation: when it was made, and its value."""

    at_ms: float
    value: float


class RecentSamples:
    """The most recent samples of one quantity, with order statistics that a few outliers do not move."""

    def __init__(self, max_samples: int, max_age_ms: float) -> None:
        """Keeps at most `max_samples` samples; those older than `max_age_ms` do not count."""
        self.samples = deque[Sample](maxlen=max_samples)
        self._max_age_ms = max_age_ms

    def add(self, now: float, value: float) -> None:
        """Adds a sample observed at `now`; drops the oldest one if the window is full."""
        self.samples.append(Sample(now, value))

    def median(self, now: float) -> float:
        """Returns the median of the recent samples, or 0 with fewer than `MIN_SAMPLES` of them."""
        return self._order_statistic(now, 2, ())

    def lower_tercile(self, now: float, unfinished: Iterable[float]) -> float:
        """Returns the value below which a third of the recent samples lie, or 0 with too few of them.

        `unfinished` has the ages of work that has not ended. An age counts as a sample once it exceeds the
        tercile of finished work, since its final value can only be larger.
        """
        return self._order_statistic(now, 3, unfinished)

    def _order_statistic(self, now: float, divisor: int, unfinished: Iterable[float]) -> float:
        values = [sample.value for sample in self.samples if sample.at_ms > now - self._max_age_ms]
        quantile = sorted(values)[len(values) // divisor] if values else 0.0
        values += [age for age in unfinished if age > quantile]
        return sorted(values)[len(values) // divisor] if len(values) >= MIN_SAMPLES else 0.0
