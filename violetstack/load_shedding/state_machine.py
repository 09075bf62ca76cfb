"""The state machine that enters and leaves levels. All times are in milliseconds and are passed in.

The levels have the order of the operator's file. Below the first is `normal`, which has no conditions. The
level changes as follows:

    up     A level is entered from any lower level once its `enter` has held for `enter_after`. This may skip
           levels.
    down   The level in force is left for the next lower level once its `leave` has held for `leave_after` and
           the level has been in force for `stay`.
    pin    The pinned level is in force until the pin expires, whatever the signals are.

An `enter` condition that depends on unknown signals does not hold. A `leave` condition that does holds only
after these signals have been unknown for `IDLE_MS`, since a dispatcher without traffic has nothing to shed.
Each time a level is entered within `FLAP_WINDOW_MS` of being left, its `leave_after` doubles, up to
`MAX_DOUBLINGS` times. After the largest number of changes in a minute, no level is left. Entering a level is
never delayed; this bounds the changes too, since a level has to be left before it can be entered again.
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
CAUTIOUS_MS = 30_000.0  # for this long after a start without a known level, levels are entered sooner
CAUTIOUS_ENTER_FACTOR = 0.25
SETTLE_MS = 10_000.0  # a level is not left for this long after a restart or a pin, to collect events first
READING_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Pin:
    """A level that an operator (`by`) has put in force until a time."""

    level: str
    until_ms: float
    by: str


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A change of level, with its cause and the known signals at that time."""

    old: str
    new: str
    cause: str
    readings: dict[str, float]


class SignalDistance(msgspec.Struct, frozen=True):
    """The value of a signal and the bound with which it is compared."""

    value: float | None
    bound: float


class Transition(msgspec.Struct, frozen=True):
    """A possible change from the level in force, as `violetstack level show --json` prints it.

    Attributes:
        level: The level that would be entered or left.
        action: `enter` or `leave`.
        condition: The condition of the change, in the syntax of the operator's file.
        holds: Whether the condition holds; None if that is unknown.
        held_for_s: Time for which it has held; None if it does not hold.
        signals: The signals in the condition, by name.
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
        max_changes_per_minute: After this many changes within a minute, no level is left.
        rank: Rank of the level in force: 0 is normal, n is the n-th of `specs`.
        since_ms: Time at which it was entered.
        pin: The pin in force; None without one.
        cautious_until_ms: Time until which levels are entered sooner.
    """

    def __init__(self, specs: Sequence[LevelSpec], max_changes_per_minute: int = 6) -> None:
        """Creates a state machine at level normal."""
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
        self._flap_counts: dict[str, int] = {}  # by level: entries in a row soon after leaving it
        self._changed_at: list[float] = []  # times within the last minute
        self._started_ms = 0.0
        self._no_descent_before_ms = 0.0

    @property
    def name(self) -> str:
        """The name of the level in force."""
        return self.name_of(self.rank)

    @property
    def names(self) -> list[str]:
        """The names of all levels by rank, normal first."""
        return [NORMAL, *(spec.name for spec in self.specs)]

    def name_of(self, rank: int) -> str:
        """Returns the name of the level with a rank."""
        return NORMAL if rank == 0 else self.specs[rank - 1].name

    def rank_of(self, name: str) -> int:
        """Returns the rank of the level with a name.

        Raises:
            UnknownLevelError: There is no such level.
        """
        try:
            return self.names.index(name)
        except ValueError:
            raise UnknownLevelError(name) from None

    def start(self, now: float, rank: int, since_ms: float, *, cautious: bool = False) -> None:
        """Starts at a restored level; `cautious` if the level is unknown and normal is assumed."""
        self.rank = min(rank, len(self.specs))
        self.since_ms = since_ms
        self._started_ms = now
        self._no_descent_before_ms = now + SETTLE_MS if rank else now
        self.cautious_until_ms = now + CAUTIOUS_MS if cautious else 0.0

    def replace_specs(
        self, specs: Sequence[LevelSpec], max_changes_per_minute: int, now: float
    ) -> LevelChange | None:
        """Replaces the levels; returns the change of level if the one in force is no longer defined.

        In this case the next lower level that is still defined is put in force, so that removing or renaming
        a level does not lead straight to normal if a level between them remains.
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
        """Pins a level; returns the change of level if another one was in force.

        Raises:
            UnknownLevelError: There is no such level. The state is unchanged.
        """
        rank = self.rank_of(pin.level)
        self.pin = pin
        if rank == self.rank:
            return None
        return self._change(now, rank, f"pinned by {pin.by}", {})

    def tick(self, now: float, readings: Mapping[str, Reading]) -> LevelChange | None:
        """Evaluates the current signals; returns the resulting change of level, None without one."""
        values = {name: reading.value for name, reading in readings.items()}
        self._observe(now, values)
        if self.pin is not None:
            if now < self.pin.until_ms:
                return None
            self.pin = None
            self._no_descent_before_ms = now + SETTLE_MS
        return self._ascend(now, values) or self._descend(now, values)

    def transitions(self, now: float, readings: Mapping[str, Reading]) -> list[Transition]:
        """Returns the possible changes from the level in force: leaving it, or entering a higher one."""
        values = {name: reading.value for name, reading in readings.items()}
        transitions: list[Transition] = []
        for rank, spec in enumerate(self.specs, 1):
            if rank < self.rank:
                continue
            is_current = rank == self.rank
            condition = spec.leave if is_current else spec.enter
            since = self._leave_held_since if is_current else self._enter_held_since.get(spec.name)
            transitions.append(
                Transition(
                    level=spec.name,
                    action="leave" if is_current else "enter",
                    condition=describe(condition),
                    holds=evaluate(condition, values),
                    held_for_s=None if since is None else round((now - since) / 1000, 1),
                    signals={
                        threshold.signal: SignalDistance(values.get(threshold.signal), threshold.bound)
                        for threshold in thresholds(condition)
                    },
                )
            )
        return transitions

    # --- conditions ---

    def _observe(self, now: float, values: Mapping[str, float | None]) -> None:
        """Records the time since which each condition has held."""
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
        """Enters the highest level whose condition has held for its `enter_after`."""
        factor = CAUTIOUS_ENTER_FACTOR if now < self.cautious_until_ms else 1.0
        for rank in range(len(self.specs), self.rank, -1):
            spec = self.specs[rank - 1]
            since = self._enter_held_since.get(spec.name)
            if since is not None and now - since >= spec.enter_after_ms * factor:
                is_flapping = now < self._left_at.get(spec.name, -FLAP_WINDOW_MS) + FLAP_WINDOW_MS
                self._flap_counts[spec.name] = self._flap_counts.get(spec.name, 0) + 1 if is_flapping else 0
                cause = f"{describe(spec.enter)} for {(now - since) / 1000:g} s ({spec.where})"
                return self._change(now, rank, cause, values)
        return None

    def _descend(self, now: float, values: Mapping[str, float | None]) -> LevelChange | None:
        """Leaves the level in force for the next lower one if all conditions for that are met."""
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
        return [changed_ms for changed_ms in self._changed_at if changed_ms > now - MINUTE_MS]

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
