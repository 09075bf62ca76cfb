"""The state machine of levels in virtual time: varying signals, pins and reloads; and signal conditions."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.levels import CRISIS, LATENESS_HIGH, LATENESS_LOW, SPECS, STRAINED, TICK_MS
from violetstack.load_shedding.levels import NORMAL
from violetstack.load_shedding.signal_conditions import (
    Conjunction,
    Disjunction,
    Threshold,
    describe,
    evaluate,
    negate,
    overlap,
    regions,
)
from violetstack.load_shedding.signals import Reading
from violetstack.load_shedding.state_machine import LevelChange, LevelStateMachine, Pin


def readings_of(value: float | None, signal: str = "lateness") -> dict[str, Reading]:
    return {signal: Reading(value, 100)}


def level_changes(
    lateness_at: Callable[[float], float | None], minutes: float, machine: LevelStateMachine | None = None
) -> list[LevelChange]:
    """Runs ticks with the lateness that `lateness_at` returns for a time in seconds; returns the changes."""
    state_machine = machine or LevelStateMachine(SPECS)
    changes = []
    for n in range(int(minutes * 60_000 / TICK_MS)):
        now = n * TICK_MS
        change = state_machine.tick(now, readings_of(lateness_at(now / 1000.0)))
        if change is not None:
            changes.append(change)
    return changes


# --- signals that vary around each threshold ---

THRESHOLDS = [1.0, 1.5, 2.0, 3.0]


@pytest.mark.parametrize("threshold", THRESHOLDS)
@pytest.mark.parametrize("period_s", [0.5, 4.0, 20.0, 90.0])
def test_a_sine_around_a_threshold_changes_the_level_at_most_twice(threshold: float, period_s: float) -> None:
    changes = level_changes(lambda s: threshold * (1.0 + 0.1 * math.sin(2 * math.pi * s / period_s)), 5)
    assert len(changes) <= 2


@pytest.mark.parametrize("threshold", THRESHOLDS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_noise_around_a_threshold_changes_the_level_at_most_twice(threshold: float, seed: int) -> None:
    rng = random.Random(seed)
    assert len(level_changes(lambda _: threshold * rng.uniform(0.9, 1.1), 5)) <= 2


def test_a_fast_square_wave_enters_a_level_at_most_once() -> None:
    for high, low in ((1.6, 0.5), (3.5, 0.5), (3.5, 1.2)):
        changes = level_changes(lambda s, h=high, lo=low: h if s % 4.0 < 2.0 else lo, 5)  # type: ignore[misc]
        assert sum(1 for change in changes if change.new != NORMAL) <= 1


def test_flapping_doubles_the_time_to_leave() -> None:
    """In each minute the lateness is high for 20 s and low for 40 s."""
    changes = level_changes(lambda s: 2.0 if s % 60.0 < 20.0 else 0.2, 20)
    entries = [change for change in changes if change.new == "strained"]
    assert 2 <= len(entries) <= 4


def test_a_slow_rise_and_fall_passes_each_level_once() -> None:
    changes = level_changes(lambda s: 4.0 * (1.0 - abs(s - 300.0) / 300.0), 10)
    assert [change.new for change in changes] == ["strained", "crisis", "strained", NORMAL]


def test_a_severe_overload_skips_a_level() -> None:
    machine = LevelStateMachine(SPECS)
    changes = [m for n in range(40) if (m := machine.tick(n * TICK_MS, readings_of(5.0))) is not None]
    assert [(m.old, m.new) for m in changes] == [(NORMAL, "crisis")]
    assert machine.since_ms == CRISIS.enter_after_ms
    assert "lateness >= 300% for 2 s (a:5)" in changes[0].cause
    assert changes[0].readings == {"lateness": 5.0}


def test_the_limit_of_changes_delays_leaving_a_level_but_not_entering_one() -> None:
    fast_specs = tuple(replace(s, enter_after_ms=0.0, leave_after_ms=0.0, min_duration_ms=0.0) for s in SPECS)
    machine = LevelStateMachine(fast_specs, max_changes_per_minute=4)
    changes = level_changes(lambda s: 2.0 if s % 1.0 < 0.5 else 0.2, 1, machine)
    assert len(changes) <= 5
    assert machine.tick(200_000.0, readings_of(5.0)) is not None  # entering a level is never delayed


def test_unknown_signals_change_the_level_only_after_the_idle_time() -> None:
    machine = LevelStateMachine(SPECS)
    assert level_changes(lambda _: None, 2, machine) == []
    machine = LevelStateMachine(SPECS)
    changes = level_changes(lambda s: 2.0 if s < 10 else None, 2, machine)
    assert [change.new for change in changes] == ["strained", NORMAL]
    assert machine.since_ms >= 10_000.0 + 30_000.0


def test_a_pin_lasts_until_it_expires_and_then_the_signals_determine_the_level() -> None:
    machine = LevelStateMachine(SPECS)
    change = machine.set_pin(0.0, Pin("crisis", 20_000.0, "ana"))
    assert change is not None
    assert change.cause == "pinned by ana"
    for n in range(1, 80):
        assert machine.tick(n * TICK_MS, readings_of(0.1)) is None
    changes = [m for n in range(80, 400) if (m := machine.tick(n * TICK_MS, readings_of(0.1))) is not None]
    assert [m.new for m in changes] == ["strained", NORMAL]


def test_a_level_that_a_reload_removes_is_replaced_by_the_next_lower_one() -> None:
    machine = LevelStateMachine(SPECS)
    machine.start(0.0, 2, 0.0)
    assert machine.replace_specs((STRAINED, replace(CRISIS, min_duration_ms=1.0)), 6, 0.0) is None
    assert machine.name == "crisis"
    change = machine.replace_specs((STRAINED, replace(CRISIS, name="emergency")), 6, 0.0)
    assert change is not None
    assert (change.old, change.new) == ("crisis", "strained")
    assert machine.replace_specs((), 6, 0.0) is not None
    assert machine.name == NORMAL


# --- signal conditions ---


def test_conditions_have_three_values_and_their_overlap_is_computed() -> None:
    overloaded = Disjunction((LATENESS_HIGH, Threshold("refused", True, 0.1)))
    assert evaluate(overloaded, {"refused": 0.2}) is True
    assert evaluate(overloaded, {"refused": 0.0}) is None
    assert evaluate(negate(overloaded), {"refused": 0.2}) is False
    assert evaluate(Conjunction((LATENESS_LOW, Threshold("refused", False, 0.1))), {"lateness": 2.0}) is False
    assert overlap(LATENESS_HIGH, LATENESS_LOW) is None
    assert overlap(overloaded, LATENESS_LOW) == {
        "refused": (0.1, math.inf),
        "lateness": (-math.inf, 1.0),
    }
    assert regions(Conjunction((LATENESS_HIGH, LATENESS_LOW))) == []
    assert describe(negate(overloaded)) == "lateness < 150% and refused < 10%"
