"""Estimates the capacity of the tier from the work that it does while it is saturated."""

from __future__ import annotations

from violetstack.load_shedding.decaying_rate import DecayingRate

WORK_MEMORY_MS = 1_000.0
SATURATION_THRESHOLD = 0.10  # share of the admitted work that is rejected, failed or late
TRACKING_GAIN = 0.05  # share of the difference to the work done per tick: a time constant of about 5 s
PROBE_GROWTH = 1.005  # per tick, while the level admits less than the capacity
MAX_PROBE = 1.3  # limit of probing, as a multiple of the capacity last measured
FULL_ADMISSION_GROWTH = 1.05  # per tick, while the level admits the whole capacity
MAX_RATIO_TO_WORK_DONE = 3.0  # limit of that growth, as a multiple of the work done


class CapacityEstimator:
    """Estimates the capacity of the tier in work per millisecond; it is unknown until the tier was saturated.

    The work done equals the capacity only while the tier is saturated. While the level sheds requests, the
    work done depends on the level instead. So the estimate tracks the work done while the tier is saturated,
    and is raised otherwise to probe for more capacity: quickly if the level admits the whole capacity, slowly
    and up to `MAX_PROBE` times the capacity last measured if the level admits less.

    Attributes:
        work_per_ms: The estimate; None while it is unknown.
    """

    def __init__(self) -> None:
        """Creates an estimator without an estimate."""
        self.work_per_ms: float | None = None
        self._last_measured: float | None = None
        self._done = DecayingRate(WORK_MEMORY_MS, 0.0)
        self._late = DecayingRate(WORK_MEMORY_MS, 0.0)
        self._rejected = DecayingRate(WORK_MEMORY_MS, 0.0)

    def record_work_done(self, now: float, work: float, lateness: float) -> None:
        """Records work that reached its first token; `lateness` is the time to it over its objective."""
        self._done.add(now, work)
        if lateness > 1.0:
            self._late.add(now, work)

    def record_work_rejected(self, now: float, work: float) -> None:
        """Records admitted work that was rejected or failed."""
        self._rejected.add(now, work)

    def tick(self, now: float, admitted_share: float | None) -> None:
        """Updates the estimate; `admitted_share` is the share of the capacity that the level admits."""
        done = self._done.per_ms(now)
        late = self._late.per_ms(now)
        rejected = self._rejected.per_ms(now)
        admitted = done + rejected
        if admitted > 0.0 and (rejected + late) / admitted > SATURATION_THRESHOLD:
            self._track(done)
        elif self.work_per_ms is not None and self._last_measured is not None:
            self._last_measured = max(self._last_measured, done)
            self.work_per_ms = self._probed(self.work_per_ms, self._last_measured, done, admitted_share)

    def _track(self, done: float) -> None:
        if self.work_per_ms is None:
            self.work_per_ms = done
        else:
            self.work_per_ms += TRACKING_GAIN * (done - self.work_per_ms)
        self._last_measured = self.work_per_ms

    @staticmethod
    def _probed(capacity: float, last_measured: float, done: float, admitted_share: float | None) -> float:
        if admitted_share is not None and admitted_share >= 1.0:
            return min(capacity * FULL_ADMISSION_GROWTH, max(capacity, done * MAX_RATIO_TO_WORK_DONE))
        return max(capacity, min(capacity * PROBE_GROWTH, last_measured * MAX_PROBE))
