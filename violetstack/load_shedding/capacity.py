"""Estimates how much work the tier can do from how much it does while it is saturated."""

from __future__ import annotations

from violetstack.load_shedding.decaying_rate import DecayingRate

WORK_MEMORY_MS = 1_000.0
SATURATED_FROM = 0.10  # part of the admitted work that is rejected, failed or late
TRACKING_GAIN = 0.05  # of the way to the work done, each tick: about 5 s
PROBE_GROWTH = 1.005  # a tick, while the level sheds on purpose
MAX_PROBE = 1.3  # of the capacity last seen
UNBOUNDED_GROWTH = 1.05  # a tick, while the level means to admit all that the tier can do
MAX_OVER_DONE = 3.0  # of the work done


class CapacityEstimator:
    """The work per millisecond that the tier can do; unknown until it was seen saturated.

    Work done says what could be done only while the tier rejects work. While the level itself sheds, it says
    no more than the level does. So the estimate tracks the work done only while the tier is saturated, and is
    otherwise probed upward: quickly where the level means to admit all that the tier can do, up to
    `MAX_PROBE` times the capacity last seen where it sheds on purpose.

    Attributes:
        work_per_ms: The estimate.
    """

    def __init__(self) -> None:
        """Starts without an estimate."""
        self.work_per_ms: float | None = None
        self._last_seen: float | None = None
        self._done = DecayingRate(WORK_MEMORY_MS, 0.0)
        self._late = DecayingRate(WORK_MEMORY_MS, 0.0)
        self._rejected = DecayingRate(WORK_MEMORY_MS, 0.0)

    def work_done(self, now: float, work: float, lateness: float) -> None:
        """Records work whose first token came; `lateness` is the time to it over its objective."""
        self._done.add(now, work)
        if lateness > 1.0:
            self._late.add(now, work)

    def work_rejected(self, now: float, work: float) -> None:
        """Records work that was admitted, then rejected or failed."""
        self._rejected.add(now, work)

    def tick(self, now: float, admitted_share: float | None) -> None:
        """Updates the estimate under a level that admits a share of the capacity."""
        done = self._done.per_ms(now)
        late = self._late.per_ms(now)
        rejected = self._rejected.per_ms(now)
        tried = done + rejected
        if tried > 0.0 and (rejected + late) / tried > SATURATED_FROM:
            self._track(done)
        elif self.work_per_ms is not None and self._last_seen is not None:
            self._last_seen = max(self._last_seen, done)
            self.work_per_ms = self._probed(self.work_per_ms, self._last_seen, done, admitted_share)

    def _track(self, done: float) -> None:
        if self.work_per_ms is None:
            self.work_per_ms = done
        else:
            self.work_per_ms += TRACKING_GAIN * (done - self.work_per_ms)
        self._last_seen = self.work_per_ms

    @staticmethod
    def _probed(capacity: float, last_seen: float, done: float, admitted_share: float | None) -> float:
        if admitted_share is not None and admitted_share >= 1.0:
            return min(capacity * UNBOUNDED_GROWTH, max(capacity, done * MAX_OVER_DONE))
        return max(capacity, min(capacity * PROBE_GROWTH, last_seen * MAX_PROBE))
