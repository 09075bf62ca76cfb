"""Signals of overload: a sliding window over request events, and gauges, each with its age and count.

A share or a quantile of fewer than `MIN_EVENTS` events is no reading, so an idle dispatcher does not change
its level. What a level sheds is not counted as refused: shedding would keep the level up. A request that
waits past its objective counts as late before it is answered, otherwise a tier that answers nothing would
look punctual.

Quantiles come from t-digests (Dunning and Ertl), one for each second of the window; their size is bounded
for any rate.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from fastdigest import TDigest, merge_all

from violetstack.core.records import RequestOutcome

MIN_EVENTS = 20
WINDOW_SLOTS = 10
SLOT_MS = 1_000.0
GAUGE_MAX_AGE_MS = 3_000.0
QUANTILE = 0.9
MAX_CENTROIDS = 100
PEAK_WINDOW_MS = 60_000.0  # `gone` is measured against the most endpoints seen in this time
COUNTED_OUTCOMES = (
    RequestOutcome.COMPLETED,
    RequestOutcome.REJECTED,
    RequestOutcome.FAILED,
    RequestOutcome.TRUNCATED,
)


@dataclass(frozen=True, slots=True)
class Reading:
    """The value of a signal.

    Attributes:
        value: None where too little is known.
        count: Events that it is computed from.
        age_ms: Time since the last of them.
    """

    value: float | None
    count: int = 0
    age_ms: float = 0.0


class EndpointCounts(NamedTuple):
    """How many endpoints are listed, and how many of them are in slow start."""

    listed: int
    in_slow_start: int


class _Gauge(NamedTuple):
    value: float
    at_ms: float


class _ListedAt(NamedTuple):
    at_ms: float
    listed: int


class SlidingWindow:
    """Outcome counts and a digest of lateness for each of the last `WINDOW_SLOTS` seconds.

    Attributes:
        outcomes: By slot, how often each outcome occurred.
        lateness: By slot, time to first token over its objective.
        last_event_ms: Time of the last event; negative before the first.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.outcomes: list[dict[RequestOutcome, int]] = [{} for _ in range(WINDOW_SLOTS)]
        self.lateness = [_new_digest() for _ in range(WINDOW_SLOTS)]
        self.last_event_ms = -1.0
        self._latest_slot = 0

    def slot_at(self, now: float) -> int:
        """Returns the index of the slot of a time, after clearing the slots that time has passed into."""
        slot = int(now // SLOT_MS)
        for passed in range(max(self._latest_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
            self.outcomes[passed % WINDOW_SLOTS] = {}
            self.lateness[passed % WINDOW_SLOTS] = _new_digest()
        self._latest_slot = max(self._latest_slot, slot)
        return self._latest_slot % WINDOW_SLOTS


class Signals:
    """The signals of one dispatcher: the core reports events, the driver samples gauges before each tick."""

    def __init__(self) -> None:
        """Starts with nothing known."""
        self.window = SlidingWindow()
        self._gauges: dict[str, _Gauge] = {}
        self._listed_peaks: list[_ListedAt] = []  # each followed by smaller counts only

    def stream_started(self, now: float, lateness: float) -> None:
        """Records a first token; `lateness` is the time to it over its objective."""
        slot = self.window.slot_at(now)
        self.window.lateness[slot].update(lateness)
        self.window.last_event_ms = now

    def request_finished(self, now: float, outcome: RequestOutcome) -> None:
        """Records the outcome of a request, if it is one of `COUNTED_OUTCOMES`."""
        if outcome in COUNTED_OUTCOMES:
            counts = self.window.outcomes[self.window.slot_at(now)]
            counts[outcome] = counts.get(outcome, 0) + 1
            self.window.last_event_ms = now

    def set_gauge(self, now: float, name: str, value: float | None) -> None:
        """Records a sample of a gauge; None leaves the last one to age."""
        if value is not None:
            self._gauges[name] = _Gauge(value, now)

    def set_endpoint_counts(self, now: float, counts: EndpointCounts) -> None:
        """Records a sample of the endpoint list: the gauges `gone` and `cold`."""
        oldest = now - PEAK_WINDOW_MS
        larger = [peak for peak in self._listed_peaks if peak.at_ms > oldest and peak.listed > counts.listed]
        self._listed_peaks = [*larger, _ListedAt(now, counts.listed)]
        most = self._listed_peaks[0].listed
        if most:
            self.set_gauge(now, "gone", 1.0 - counts.listed / most)
        if counts.listed:
            self.set_gauge(now, "cold", counts.in_slow_start / counts.listed)

    def readings(self, now: float, waiting: Iterable[float] = ()) -> dict[str, Reading]:
        """Returns all signals.

        Args:
            now: Milliseconds of the caller's clock.
            waiting: For each request without a first token, its age over its objective.
        """
        self.window.slot_at(now)
        age_ms = now - self.window.last_event_ms if self.window.last_event_ms >= 0 else 0.0
        readings = {"lateness": self._lateness(waiting, age_ms)}
        totals = {
            outcome: sum(slot.get(outcome, 0) for slot in self.window.outcomes)
            for outcome in COUNTED_OUTCOMES
        }
        count = sum(totals.values())
        failed = totals[RequestOutcome.FAILED] + totals[RequestOutcome.TRUNCATED]
        for name, part in (("refused", totals[RequestOutcome.REJECTED]), ("failed", failed)):
            readings[name] = Reading(part / count if count >= MIN_EVENTS else None, count, age_ms)
        for name, gauge in self._gauges.items():
            is_fresh = now - gauge.at_ms <= GAUGE_MAX_AGE_MS
            readings[name] = Reading(gauge.value if is_fresh else None, 1, now - gauge.at_ms)
        return readings

    def _lateness(self, waiting: Iterable[float], age_ms: float) -> Reading:
        late = [lateness for lateness in waiting if lateness > 1.0]
        merged = merge_all([slot for slot in self.window.lateness if slot.n_values])
        count = merged.n_values + len(late)
        if count < MIN_EVENTS:
            return Reading(None, count, age_ms)
        merged = merged.copy()
        if late:
            merged.batch_update(late)
        return Reading(merged.quantile(QUANTILE), count, age_ms)


def _new_digest() -> TDigest:
    return TDigest(max_centroids=MAX_CENTROIDS)
