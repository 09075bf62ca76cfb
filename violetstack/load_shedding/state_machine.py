"""Which level is in force. Time is handed in, in milliseconds.

Levels are ordered as in the file; before the first stands `normal`, which has no conditions. What moves:

    up     a level's `enter` has held for `enter_after`: it is entered, from any lower one, several at a time
    down   the current level's `leave` has held for `leave_after`, and it was in force for `stay`: one down
    pin    the pinned level is in force until the pin's end, whatever the signals say

An `enter` that is not known does not hold. A `leave` that is not known does not hold either, except when all
it asks for has been unknown for IDLE_MS: a dispatcher without traffic has nothing to reduce. A level that is
entered again within FLAP_MS of being left doubles its `leave_after`, up to eight times. Past `most_changes`
in a minute nothing goes down; going up is never held back, and each way up needs one down before.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from violetstack.load_shedding.rules import Rule, crossings, text, truth
from violetstack.load_shedding.signals import Reading

NORMAL = "normal"
IDLE_MS = 30_000.0
FLAP_MS = 60_000.0
MAX_DOUBLINGS = 3
MINUTE_MS = 60_000.0
# after a start that knows nothing, entry times are this part
CAUTIOUS_MS = 30_000.0
CAUTIOUS_PART = 0.25
SETTLE_MS = 10_000.0  # a level that a restart took over is kept at least so long


@dataclass(frozen=True, slots=True)
class Measures:
    """What a level does. Shares as parts of one; None leaves a matter to the settings."""

    admit: float | None = None  # of the work that the fleet has shown it can do
    worth: float = 0.0  # least worth of a unit of work, beside the dearest class
    within_share: bool = False
    prompt: int | None = None
    retries: float | None = None  # repeated attempts, as a part of requests; 0 is none
    hold_ahead: bool = True
    retry_after_ms: float = 1_000.0
    by_cell: tuple[tuple[str, str, float], ...] = ()  # class, tenant (empty is any), most of its demand


@dataclass(frozen=True, slots=True)
class LevelSpec:
    name: str
    enter: Rule
    leave: Rule
    enter_after_ms: float = 2_000.0
    leave_after_ms: float = 10_000.0
    stay_ms: float = 15_000.0
    measures: Measures = Measures()
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Pin:
    level: str
    until: float
    by: str


@dataclass(frozen=True, slots=True)
class Moved:
    """One change of level, with its cause and the signals at that moment."""

    old: str
    new: str
    cause: str
    readings: dict[str, float]


class Machine:
    def __init__(self, specs: tuple[LevelSpec, ...], most_changes: int = 6) -> None:
        self.specs = specs
        self.most_changes = most_changes
        self.rank = 0  # 0 is normal, n the n-th of the specs
        self.since = 0.0
        self.pin: Pin | None = None
        self.held: dict[str, float] = {}  # since when each level's `enter` has held
        self.leaving: float | None = None  # since when the current level's `leave` has held
        self.known_at: dict[str, float] = {}  # when each signal was last known
        self.left: dict[str, float] = {}
        self.flaps: dict[str, int] = {}
        self.changes: list[float] = []
        self.started = 0.0
        self.cautious_until = 0.0
        self.settled_from = 0.0  # nothing goes down before

    @property
    def name(self) -> str:
        return self.name_of(self.rank)

    def name_of(self, rank: int) -> str:
        return NORMAL if rank == 0 else self.specs[rank - 1].name

    def rank_of(self, name: str) -> int | None:
        return next((n for n in range(len(self.specs) + 1) if self.name_of(n) == name), None)

    def start(self, now: float, rank: int, since: float, *, cautious: bool = False) -> None:
        """At a level that a journal or the peers told, or at normal and `cautious`."""
        self.rank = min(rank, len(self.specs))
        self.since = since
        self.started = now
        self.settled_from = now + SETTLE_MS if rank else now
        self.cautious_until = now + CAUTIOUS_MS if cautious else 0.0

    def replace(self, specs: tuple[LevelSpec, ...], most_changes: int, now: float) -> Moved | None:
        """A new file. A level that it still names stays in force; one that is gone gives way to the next
        lower one that is still there, so that a renamed level does not end in normal if there is another."""
        old = self.name
        kept = next(
            (
                n
                for rank in range(self.rank, -1, -1)
                for n in range(len(specs) + 1)
                if (NORMAL if n == 0 else specs[n - 1].name) == self.name_of(rank)
            ),
            0,
        )
        self.specs = specs
        self.most_changes = most_changes
        self.rank = kept
        self.held = {}
        self.leaving = None
        if self.pin is not None and self.rank_of(self.pin.level) is None:
            self.pin = None
        if self.name == old:
            return None
        return self._to(now, kept, f"{old} is no more in the file", {}, old=old)

    def set_pin(self, now: float, pin: Pin | None) -> Moved | None:
        self.pin = pin
        if pin is None:
            return None
        rank = self.rank_of(pin.level)
        assert rank is not None
        if rank == self.rank:
            return None
        return self._to(now, rank, f"pinned by {pin.by}", {})

    def tick(self, now: float, readings: Mapping[str, Reading]) -> Moved | None:
        values = {name: reading.value for name, reading in readings.items()}
        for name, value in values.items():
            if value is not None:
                self.known_at[name] = now
        self._watch(now, values)
        if self.pin is not None:
            if now < self.pin.until:
                return None
            # its own evidence decides from here
            self.pin = None
            self.settled_from = now + SETTLE_MS
        return self._up(now, values) or self._down(now, values)

    def _watch(self, now: float, values: Mapping[str, float | None]) -> None:
        for spec in self.specs:
            if truth(spec.enter, values):
                self.held.setdefault(spec.name, now)
            else:
                self.held.pop(spec.name, None)
        if self.rank == 0 or not self._may_leave(now, self.specs[self.rank - 1].leave, values):
            self.leaving = None
        elif self.leaving is None:
            self.leaving = now

    def _may_leave(self, now: float, rule: Rule, values: Mapping[str, float | None]) -> bool:
        found = truth(rule, values)
        if found is not None:
            return found
        asked = {crossing.signal for crossing in crossings(rule)}
        known = max(self.known_at.get(name, self.started) for name in asked if values.get(name) is None)
        if now < known + IDLE_MS:
            return False
        rest = {name: value for name, value in values.items() if name in asked and value is not None}
        return truth(rule, {**dict.fromkeys(asked, None), **rest}) is not False

    def _up(self, now: float, values: Mapping[str, float | None]) -> Moved | None:
        part = CAUTIOUS_PART if now < self.cautious_until else 1.0
        for rank in range(len(self.specs), self.rank, -1):
            spec = self.specs[rank - 1]
            since = self.held.get(spec.name)
            if since is not None and now - since >= spec.enter_after_ms * part:
                soon = now < self.left.get(spec.name, -FLAP_MS) + FLAP_MS
                self.flaps[spec.name] = self.flaps.get(spec.name, 0) + 1 if soon else 0
                cause = f"{text(spec.enter)} for {(now - since) / 1000:g} s ({spec.where})"
                return self._to(now, rank, cause, values)
        return None

    def leave_after_ms(self, spec: LevelSpec) -> float:
        return spec.leave_after_ms * 2.0 ** min(MAX_DOUBLINGS, self.flaps.get(spec.name, 0))

    def _down(self, now: float, values: Mapping[str, float | None]) -> Moved | None:
        if self.rank == 0 or self.leaving is None or now < self.settled_from:
            return None
        spec = self.specs[self.rank - 1]
        if now - self.leaving < self.leave_after_ms(spec) or now - self.since < spec.stay_ms:
            return None
        self.changes = [at for at in self.changes if at > now - MINUTE_MS]
        if len(self.changes) >= self.most_changes:
            return None
        cause = f"{text(spec.leave)} for {(now - self.leaving) / 1000:g} s ({spec.where})"
        self.left[spec.name] = now
        return self._to(now, self.rank - 1, cause, values)

    def _to(
        self, now: float, rank: int, cause: str, values: Mapping[str, float | None], old: str = ""
    ) -> Moved:
        moved = Moved(
            old or self.name,
            self.name_of(rank),
            cause,
            {name: round(value, 3) for name, value in values.items() if value is not None},
        )
        self.rank = rank
        self.since = now
        self.leaving = None
        self.changes = [at for at in self.changes if at > now - MINUTE_MS] + [now]
        return moved

    def outlook(self, now: float, readings: Mapping[str, Reading]) -> list[dict[str, object]]:
        """What would change the level: each condition, whether it holds, and how far each signal is."""
        values = {name: reading.value for name, reading in readings.items()}
        rows: list[dict[str, object]] = []
        for rank, spec in enumerate(self.specs, 1):
            if rank <= self.rank - 1:
                continue
            rule = spec.leave if rank == self.rank else spec.enter
            since = self.leaving if rank == self.rank else self.held.get(spec.name)
            rows.append(
                {
                    "level": spec.name,
                    "would": "leave" if rank == self.rank else "enter",
                    "if": text(rule),
                    "holds": truth(rule, values),
                    "for_s": None if since is None else round((now - since) / 1000, 1),
                    "signals": {
                        c.signal: {"value": values.get(c.signal), "bound": c.bound} for c in crossings(rule)
                    },
                }
            )
        return rows
