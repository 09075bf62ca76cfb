"""What was learned, and how it fades: times are milliseconds of the caller's clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import exp

FEW = 5  # as many make evidence


class Fading:
    """A sum that fades with time."""

    def __init__(self, tau_ms: float) -> None:
        self._tau = tau_ms
        self.total = 0.0
        self.as_of = 0.0
        self.since: float | None = None

    def at(self, now: float) -> float:
        return self.total * exp((self.as_of - now) / self._tau) if self.total else 0.0

    def add(self, now: float, amount: float) -> None:
        self.total = self.at(now) + amount
        self.as_of = now
        self.since = now if self.since is None else self.since

    def rate(self, now: float) -> float:
        """What is added in a millisecond, of late."""
        over = max(now - (now if self.since is None else self.since), self._tau / 6)
        return self.at(now) / (self._tau * (1.0 - exp(-over / self._tau)))

    def expected(self, now: float, prior: float) -> float:
        """What is added in a millisecond; `prior` where nothing is known, outweighed by what is seen.

        It weighs as much as a sixth of the memory, so that a surge after a start does not count as the rate.
        """
        seen = self._tau * (1.0 - exp((self.since - now) / self._tau)) if self.since is not None else 0.0
        return (self.at(now) + prior * self._tau / 6) / (seen + self._tau / 6)


class Recent:
    """The last few of a kind of time, and their middle or lower third, which a few lost ones do not move."""

    def __init__(self, most: int, over_ms: float) -> None:
        self.all = deque[tuple[float, float]](maxlen=most)
        self._over_ms = over_ms

    def add(self, now: float, took: float) -> None:
        self.all.append((now, took))

    def middle(self, now: float, part: int = 2, ages: Iterable[float] = ()) -> float:
        """0 if too few are known; work that is out counts by its age once that is past the middle."""
        took = [took for at, took in self.all if at > now - self._over_ms]
        usual = sorted(took)[len(took) // part] if took else 0.0
        took += [age for age in ages if age > usual]
        return sorted(took)[len(took) // part] if len(took) >= FEW else 0.0
