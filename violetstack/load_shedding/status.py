"""What `violetstack level show` prints; the JSON names are those of its `--json` output."""

from __future__ import annotations

import msgspec

from violetstack.load_shedding.state_machine import Transition


class PinStatus(msgspec.Struct, frozen=True):
    """The pin in force: who asked for it, and for how long it will last."""

    by: str
    remaining_s: int = msgspec.field(name="for_s")


class SignalStatus(msgspec.Struct, frozen=True):
    """A signal with the number of events that it is computed from, and its age."""

    value: float | None
    count: int
    age_s: float


class LevelStatus(msgspec.Struct, frozen=True):
    """The level in force and what would change it.

    Attributes:
        level: Its name.
        levels: Names of all levels, normal first.
        since_s: When it was entered, in Unix seconds.
        duration_s: How long ago that was.
        pin: The pin in force.
        cautious_for_s: For how long levels will be entered sooner.
        shed_count: Requests shed since the start.
        signals: All signals.
        transitions: The changes of level that are possible now.
    """

    level: str
    levels: list[str]
    since_s: float = msgspec.field(name="since")
    duration_s: float = msgspec.field(name="for_s")
    pin: PinStatus | None
    cautious_for_s: float
    shed_count: int = msgspec.field(name="shed")
    signals: dict[str, SignalStatus]
    transitions: list[Transition] = msgspec.field(name="outlook")
