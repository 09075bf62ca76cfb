"""What the levels go by: windows over what crosses the sockets, each reading with its age and confidence.

A share or a quantile of fewer than FEW events is no reading: an idle dispatcher does not move. What levels
themselves drop is not counted as refused, or dropping would keep the level up. Requests that wait past their
aim count as late before they are answered, or a fleet that answers nothing would look punctual.

Quantiles are t-digests of fastdigest, one for each second of the window, bounded in size for any rate
(`docs/levels.md` has the figures beside DDSketch and HdrHistogram).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from fastdigest import TDigest, merge_all

FEW = 20  # events that make a share or a quantile
WINDOW = 10  # slots, of a second each
SLOT_MS = 1_000.0
GAUGE_MS = 3_000.0  # an older gauge is not known
QUANTILE = 0.9
CENTROIDS = 100
PEAK_MS = 60_000.0  # the most hosts seen in this time make the whole of `gone`
ANSWERS = ("served", "refused", "failed", "cut")


@dataclass(frozen=True, slots=True)
class Reading:
    """`value` is None where too little is known; `count` events made it, the last `age_ms` ago."""

    value: float | None
    count: int = 0
    age_ms: float = 0.0


class Ring:
    """Counts and a digest a second; the oldest slot is cleared as the clock enters it."""

    def __init__(self) -> None:
        self.counts: list[dict[str, int]] = [{} for _ in range(WINDOW)]
        self.late = [TDigest(max_centroids=CENTROIDS) for _ in range(WINDOW)]
        self.slot = 0
        self.last = -1.0  # the last event's time

    def at(self, now: float) -> int:
        slot = int(now // SLOT_MS)
        for passed in range(max(self.slot + 1, slot - WINDOW + 1), slot + 1):
            self.counts[passed % WINDOW] = {}
            self.late[passed % WINDOW] = TDigest(max_centroids=CENTROIDS)
        self.slot = max(self.slot, slot)
        return self.slot % WINDOW


class Signals:
    """Fed by the core's events and a gauge sample a tick; read once a tick."""

    def __init__(self) -> None:
        self.ring = Ring()
        self.gauges: dict[str, tuple[float, float]] = {}  # value, since when
        self.peak: list[tuple[float, int]] = []  # hosts seen

    def begun(self, now: float, ratio: float) -> None:
        """A first token came, after so many times its aim."""
        slot = self.ring.at(now)
        self.ring.late[slot].update(ratio)
        self.ring.last = now

    def ended(self, now: float, answer: str) -> None:
        if answer in ANSWERS:
            counts = self.ring.counts[self.ring.at(now)]
            counts[answer] = counts.get(answer, 0) + 1
            self.ring.last = now

    def gauge(self, now: float, name: str, value: float | None) -> None:
        if value is not None:
            self.gauges[name] = (value, now)

    def hosts(self, now: float, here: int, cold: int) -> None:
        self.peak = [(at, n) for at, n in self.peak if at > now - PEAK_MS and n > here] + [(now, here)]
        most = max(n for _, n in self.peak)
        if most:
            self.gauge(now, "gone", 1.0 - here / most)
        if here:
            self.gauge(now, "cold", cold / here)

    def readings(self, now: float, waiting: Iterable[float] = ()) -> dict[str, Reading]:
        """`waiting`: ages of requests without a first token, as parts of their aims."""
        self.ring.at(now)
        age = now - self.ring.last if self.ring.last >= 0 else 0.0
        found = {"lateness": self._lateness(waiting, age)}
        totals = {name: sum(slot.get(name, 0) for slot in self.ring.counts) for name in ANSWERS}
        count = sum(totals.values())
        for name, part in (("refused", totals["refused"]), ("failed", totals["failed"] + totals["cut"])):
            found[name] = Reading(part / count if count >= FEW else None, count, age)
        for name, (value, since) in self.gauges.items():
            fresh = now - since <= GAUGE_MS
            found[name] = Reading(value if fresh else None, 1, now - since)
        return found

    def _lateness(self, waiting: Iterable[float], age: float) -> Reading:
        late = [ratio for ratio in waiting if ratio > 1.0]
        merged = merge_all([slot for slot in self.ring.late if slot.n_values])
        count = merged.n_values + len(late)
        if count < FEW:
            return Reading(None, count, age)
        merged = merged.copy()
        if late:
            merged.batch_update(late)
        return Reading(merged.quantile(QUANTILE), count, age)
