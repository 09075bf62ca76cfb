"""Signals of overload: gauges, and shares and quantiles of request events in a sliding window.

A share or quantile of fewer than `MIN_EVENTS` events is unknown, so an idle dispatcher does not change its
level because of it. Requests that a level sheds do not count as refused; otherwise shedding would keep the
level in force. A request that has waited longer than its objective counts as late before its first token;
otherwise a tier that answers no requests would seem to be on time.

Quantiles are computed from t-digests (Dunning and Ertl), one for each second of the window, whose size is
bounded at any request rate.
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
PEAK_WINDOW_MS = 60_000.0  # `gone` is relative to the largest number of endpoints in this time
COUNTED_OUTCOMES = (
    RequestOutcome.COMPLETED,
    RequestOutcome.REJECTED,
    RequestOutcome.FAILED,
    RequestOutcome.TRUNCATED,
)


@dataclass(frozen=True, slots=True)
class Reading:
    """The value of a signal at one time.

    Attributes:
        value: The value; None if it is unknown.
        count: Number of events or samples that the value is computed from.
        age_ms: Time since the last of these.
    """

    value: float | None
    count: int = 0
    age_ms: float = 0.0


class EndpointCounts(NamedTuple):
    """Number of listed endpoints, and of those in slow start."""

    listed: int
    in_slow_start: int


class _Gauge(NamedTuple):
    value: float
    at_ms: float


class _ListedAt(NamedTuple):
    at_ms: float
    listed: int


class SlidingWindow:
    """Counts of outcomes and a digest of lateness for each of the last `WINDOW_SLOTS` seconds.

    Attributes:
        outcomes: Number of requests with each outcome, by slot.
        lateness: Digest of the times to first token over their objectives, by slot.
        last_event_ms: Time of the last event; negative before the first.
    """

    def __init__(self) -> None:
        """Creates an empty window."""
        self.outcomes: list[dict[RequestOutcome, int]] = [{} for _ in range(WINDOW_SLOTS)]
        self.lateness = [_new_digest() for _ in range(WINDOW_SLOTS)]
        self.last_event_ms = -1.0
        self._latest_slot = 0

    def slot_at(self, now: float) -> int:
        """Returns the index of the slot for a time, after clearing the slots that begin by then."""
        slot = int(now // SLOT_MS)
        for new_slot in range(max(self._latest_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
            self.outcomes[new_slot % WINDOW_SLOTS] = {}
            self.lateness[new_slot % WINDOW_SLOTS] = _new_digest()
        self._latest_slot = max(self._latest_slot, slot)
        return self._latest_slot % WINDOW_SLOTS


class Signals:
    """The signals of one dispatcher: events from the core, and gauges that are sampled before each tick."""

    def __init__(self) -> None:
        """Creates signals without events and samples."""
        self.window = SlidingWindow()
        self._gauges: dict[str, _Gauge] = {}
        self._listed_peaks: list[_ListedAt] = []  # in the order of time; the counts decrease

    def stream_started(self, now: float, lateness: float) -> None:
        """Records a first token; `lateness` is the time to the first token over its objective."""
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
        """Records a sample of a gauge; None keeps the previous sample, which becomes unknown with age."""
        if value is not None:
            self._gauges[name] = _Gauge(value, now)

    def set_endpoint_counts(self, now: float, counts: EndpointCounts) -> None:
        """Updates the gauges `gone` and `cold` from the number of endpoints."""
        oldest = now - PEAK_WINDOW_MS
        larger = [peak for peak in self._listed_peaks if peak.at_ms > oldest and peak.listed > counts.listed]
        self._listed_peaks = [*larger, _ListedAt(now, counts.listed)]
        peak_count = self._listed_peaks[0].listed
        if peak_count:
            self.set_gauge(now, "gone", 1.0 - counts.listed / peak_count)
        if counts.listed:
            self.set_gauge(now, "cold", counts.in_slow_start / counts.listed)

    def readings(self, now: float, waiting: Iterable[float] = ()) -> dict[str, Reading]:
        """Returns the readings of all signals, by name.

        Args:
            now: Time in milliseconds.
            waiting: Age of each request without a first token, over its latency objective.
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
