"""The state machine that moves between levels. All times are milliseconds and passed in.

Levels are ordered as in the file; before the first is `normal`, which has no conditions. What moves:

    up     a level's `enter` has held for `enter_after`: it is entered, from any lower one, several at a time
    down   the current level's `leave` has held for `leave_after`, and the level lasted `stay`: one down
    pin    the pinned level is in force until the pin expires, whatever the signals are

An `enter` that depends on unknown signals does not hold. A `leave` that does holds only after its unknown
signals have been unknown for `IDLE_MS`: a dispatcher without traffic has nothing to shed. A level that is
entered again within `FLAP_WINDOW_MS` of being left doubles its `leave_after`, up to `MAX_DOUBLINGS` times.
Beyond the most changes in a minute no level is left; entering is never held back, and each entry needs a
descent before it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from violetstack.load_shedding.errors import UnknownLevelError
from violetstack.load_shedding.levels import NORMAL, LevelSpec
from violetstack.load_shedding.signal_conditions import SignalCondition, describe, evaluate, thresholds
from violetstack.load_shedding.signals import Reading

IDLE_MS = 30_000.0
FLAP_WINDOW_MS = 60_000.0
MAX_DOUBLINGS = 3
MINUTE_MS = 60_000.0
CAUTIOUS_MS = 30_000.0  # after a start without a known level, levels are entered sooner for so long
CAUTIOUS_ENTER_FACTOR = 0.25
SETTLE_MS = 10_000.0  # a level that was restored or pinned is kept at least so long, to gather evidence
READING_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Pin:
    """A level that an operator keeps in force until a time, with who asked for it."""

    level: str
    until_ms: float
    by: str


@dataclass(frozen=True, slots=True)
class LevelChange:
    """One change of level, with its cause and the known signals at that moment."""

    old: str
    new: str
    cause: str
    readings: dict[str, float]


class SignalDistance(msgspec.Struct, frozen=True):
    """The value of a signal beside the bound that it is compared with."""

    value: float | None
    bound: float


class Transition(msgspec.Struct, frozen=True):
    """A change of level that is possible now. The JSON names are those of `violetstack level show --json`.

    Attributes:
        level: The level to be entered or left.
        action: `enter` or `leave`.
        condition: As text.
        holds: Whether the condition holds; None if it is not known.
        held_for_s: For how long it has held.
        signals: The signals in the condition.
    """

    level: str
    action: str = msgspec.field(name="would")
    condition: str = msgspec.field(name="if")
    holds: bool | None
    held_for_s: float | None = msgspec.field(name="for_s")
    signals: dict[str, SignalDistance]


class LevelStateMachine:
    """Decides which level is in force.

    Attributes:
        specs: The levels, mildest first.
        max_changes_per_minute: Beyond it no level is left.
        rank: The level in force: 0 is normal, n the n-th of `specs`.
        since_ms: When it was entered.
        pin: The pin in force.
        cautious_until_ms: Until when levels are entered sooner.
    """

    def __init__(self, specs: Sequence[LevelSpec], max_changes_per_minute: int = 6) -> None:
        """Starts at normal."""
        self.specs = tuple(specs)
        self.max_changes_per_minute = max_changes_per_minute
        self.rank = 0
        self.since_ms = 0.0
        self.pin: Pin | None = None
        self.cautious_until_ms = 0.0
        self._enter_held_since: dict[str, float] = {}  # by level
        self._leave_held_since: float | None = None  # of the level in force
        self._signal_known_at: dict[str, float] = {}  # by signal
        self._left_at: dict[str, float] = {}  # by level
        self._flap_counts: dict[str, int] = {}  # by level: entries in a row soon after it was left
        self._changed_at: list[float] = []  # within the last minute
        self._started_ms = 0.0
        self._no_descent_before_ms = 0.0

    @property
    def name(self) -> str:
        """Name of the level in force."""
        return self.name_of(self.rank)

    @property
    def names(self) -> list[str]:
        """Names of all levels by rank, normal first."""
        return [NORMAL, *(spec.name for spec in self.specs)]

    def name_of(self, rank: int) -> str:
        """Returns the name of a level."""
        return NORMAL if rank == 0 else self.specs[rank - 1].name

    def rank_of(self, name: str) -> int:
        """Returns the rank of a level.

        Raises:
            UnknownLevelError: There is no such level.
        """
        try:
            return self.names.index(name)
        except ValueError:
            raise UnknownLevelError(name) from None

    def start(self, now: float, rank: int, since_ms: float, *, cautious: bool = False) -> None:
        """Starts at a restored level, or at normal and `cautious` if no level is known."""
        self.rank = min(rank, len(self.specs))
        self.since_ms = since_ms
        self._started_ms = now
        self._no_descent_before_ms = now + SETTLE_MS if rank else now
        self.cautious_until_ms = now + CAUTIOUS_MS if cautious else 0.0

    def replace_specs(
        self, specs: Sequence[LevelSpec], max_changes_per_minute: int, now: float
    ) -> LevelChange | None:
        """Takes the levels of a new file; returns the change if the level in force is no longer defined.

        The next lower level that is still defined replaces it, so that a renamed level does not end in normal
        if there is another.
        """
        old = self.name
        lower_names = [self.name_of(rank) for rank in range(self.rank, -1, -1)]
        names = [NORMAL, *(spec.name for spec in specs)]
        self.specs = tuple(specs)
        self.max_changes_per_minute = max_changes_per_minute
        self.rank = names.index(next(name for name in lower_names if name in names))
        self._enter_held_since = {}
        self._leave_held_since = None
        if self.pin is not None and self.pin.level not in names:
            self.pin = None
        if self.name == old:
            return None
        return self._change(now, self.rank, f"{old} is no more in the file", {}, old=old)

    def set_pin(self, now: float, pin: Pin) -> LevelChange | None:
        """Pins a level; returns the change if it was not in force.

        Raises:
            UnknownLevelError: There is no such level; nothing has changed.
        """
        rank = self.rank_of(pin.level)
        self.pin = pin
        if rank == self.rank:
            return None
        return self._change(now, rank, f"pinned by {pin.by}", {})

    def tick(self, now: float, readings: Mapping[str, Reading]) -> LevelChange | None:
        """Takes the signals as they are now; returns the change of level that follows, if any."""
        values = {name: reading.value for name, reading in readings.items()}
        self._observe(now, values)
        if self.pin is not None:
            if now < self.pin.until_ms:
                return None
            self.pin = None
            self._no_descent_before_ms = now + SETTLE_MS
        return self._ascend(now, values) or self._descend(now, values)

    def transitions(self, now: float, readings: Mapping[str, Reading]) -> list[Transition]:
        """Returns the changes of level that are possible from here."""
        values = {name: reading.value for name, reading in readings.items()}
        found: list[Transition] = []
        for rank, spec in enumerate(self.specs, 1):
            if rank < self.rank:
                continue
            leaves = rank == self.rank
            condition = spec.leave if leaves else spec.enter
            since = self._leave_held_since if leaves else self._enter_held_since.get(spec.name)
            found.append(
                Transition(
                    level=spec.name,
                    action="leave" if leaves else "enter",
                    condition=describe(condition),
                    holds=evaluate(condition, values),
                    held_for_s=None if since is None else round((now - since) / 1000, 1),
                    signals={
                        threshold.signal: SignalDistance(values.get(threshold.signal), threshold.bound)
                        for threshold in thresholds(condition)
                    },
                )
            )
        return found

    # --- conditions ---

    def _observe(self, now: float, values: Mapping[str, float | None]) -> None:
        """Notes since when each condition has held."""
        for name, value in values.items():
            if value is not None:
                self._signal_known_at[name] = now
        for spec in self.specs:
            if evaluate(spec.enter, values):
                self._enter_held_since.setdefault(spec.name, now)
            else:
                self._enter_held_since.pop(spec.name, None)
        if self.rank == 0 or not self._may_leave(now, self.specs[self.rank - 1].leave, values):
            self._leave_held_since = None
        elif self._leave_held_since is None:
            self._leave_held_since = now

    def _may_leave(self, now: float, condition: SignalCondition, values: Mapping[str, float | None]) -> bool:
        holds = evaluate(condition, values)
        if holds is not None:
            return holds
        signals = {threshold.signal for threshold in thresholds(condition)}
        unknown = [signal for signal in signals if values.get(signal) is None]
        last_known_ms = max(self._signal_known_at.get(signal, self._started_ms) for signal in unknown)
        return now >= last_known_ms + IDLE_MS

    # --- changes ---

    def _ascend(self, now: float, values: Mapping[str, float | None]) -> LevelChange | None:
        """Enters the highest level whose condition has held for long enough."""
        factor = CAUTIOUS_ENTER_FACTOR if now < self.cautious_until_ms else 1.0
        for rank in range(len(self.specs), self.rank, -1):
            spec = self.specs[rank - 1]
            since = self._enter_held_since.get(spec.name)
            if since is not None and now - since >= spec.enter_after_ms * factor:
                flaps = now < self._left_at.get(spec.name, -FLAP_WINDOW_MS) + FLAP_WINDOW_MS
                self._flap_counts[spec.name] = self._flap_counts.get(spec.name, 0) + 1 if flaps else 0
                cause = f"{describe(spec.enter)} for {(now - since) / 1000:g} s ({spec.where})"
                return self._change(now, rank, cause, values)
        return None

    def _descend(self, now: float, values: Mapping[str, float | None]) -> LevelChange | None:
        """Leaves the level in force for the next lower one if it is time."""
        since = self._leave_held_since
        if self.rank == 0 or since is None or now < self._no_descent_before_ms:
            return None
        spec = self.specs[self.rank - 1]
        if now - since < self._leave_after_ms(spec) or now - self.since_ms < spec.min_duration_ms:
            return None
        if len(self._changes_within_minute(now)) >= self.max_changes_per_minute:
            return None
        cause = f"{describe(spec.leave)} for {(now - since) / 1000:g} s ({spec.where})"
        self._left_at[spec.name] = now
        return self._change(now, self.rank - 1, cause, values)

    def _leave_after_ms(self, spec: LevelSpec) -> float:
        doublings = min(MAX_DOUBLINGS, self._flap_counts.get(spec.name, 0))
        return float(spec.leave_after_ms * 2.0**doublings)

    def _changes_within_minute(self, now: float) -> list[float]:
        return [at for at in self._changed_at if at > now - MINUTE_MS]

    def _change(
        self, now: float, rank: int, cause: str, values: Mapping[str, float | None], old: str | None = None
    ) -> LevelChange:
        readings = {name: round(value, READING_DIGITS) for name, value in values.items() if value is not None}
        change = LevelChange(old or self.name, self.name_of(rank), cause, readings)
        self.rank = rank
        self.since_ms = now
        self._leave_held_since = None
        self._changed_at = [*self._changes_within_minute(now), now]
        return change
