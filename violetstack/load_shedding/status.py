"""The status that `violetstack level show` prints; the JSON names are those of its `--json` output."""

from __future__ import annotations

import msgspec

from violetstack.load_shedding.state_machine import Transition


class PinStatus(msgspec.Struct, frozen=True):
    """The pin in force: the operator who set it, and the time until it expires."""

    by: str
    remaining_s: int = msgspec.field(name="for_s")


class SignalStatus(msgspec.Struct, frozen=True):
    """The value of a signal, the number of events that it is computed from, and its age."""

    value: float | None
    count: int
    age_s: float


class LevelStatus(msgspec.Struct, frozen=True):
    """The level in force and the conditions that would change it.

    Attributes:
        level: Name of the level in force.
        levels: Names of all levels, normal first.
        since_s: Time at which the level was entered, in Unix seconds.
        duration_s: Time for which it has been in force.
        pin: The pin in force; None without one.
        cautious_for_s: Time for which levels are still entered sooner, after a start without a known level.
        shed_count: Number of requests shed since the start.
        signals: The values of all signals, by name.
        transitions: The possible changes of level.
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
