"""The state machine of levels on a virtual clock: swings, pins and reloads; and conditions."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.levels import CRISIS, HIGH, LOW, SPECS, STRAINED, TICK_MS
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


def read(value: float | None, signal: str = "lateness") -> dict[str, Reading]:
    return {signal: Reading(value, 100)}


def changes(
    load: Callable[[float], float | None], minutes: float, machine: LevelStateMachine | None = None
) -> list[LevelChange]:
    """Ticks with the lateness that `load` gives for each second; returns the changes."""
    on = machine or LevelStateMachine(SPECS)
    found = []
    for n in range(int(minutes * 60_000 / TICK_MS)):
        now = n * TICK_MS
        moved = on.tick(now, read(load(now / 1000.0)))
        if moved is not None:
            found.append(moved)
    return found


# --- swings around each threshold ---

THRESHOLDS = [1.0, 1.5, 2.0, 3.0]


@pytest.mark.parametrize("at", THRESHOLDS)
@pytest.mark.parametrize("period", [0.5, 4.0, 20.0, 90.0])
def test_a_sine_around_a_threshold_changes_the_level_twice_at_most(at: float, period: float) -> None:
    found = changes(lambda s: at * (1.0 + 0.1 * math.sin(2 * math.pi * s / period)), 5)
    assert len(found) <= 2


@pytest.mark.parametrize("at", THRESHOLDS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_noise_around_a_threshold_changes_the_level_twice_at_most(at: float, seed: int) -> None:
    rng = random.Random(seed)
    assert len(changes(lambda _: at * rng.uniform(0.9, 1.1), 5)) <= 2


def test_a_fast_square_wave_enters_a_level_once_at_most() -> None:
    for high, low in ((1.6, 0.5), (3.5, 0.5), (3.5, 1.2)):
        found = changes(lambda s, h=high, lo=low: h if s % 4.0 < 2.0 else lo, 5)  # type: ignore[misc]
        assert sum(1 for move in found if move.new != NORMAL) <= 1


def test_flapping_doubles_the_time_to_leave() -> None:
    """Twenty seconds high, forty low."""
    found = changes(lambda s: 2.0 if s % 60.0 < 20.0 else 0.2, 20)
    entries = [move for move in found if move.new == "strained"]
    assert 2 <= len(entries) <= 4


def test_a_slow_rise_and_fall_passes_each_level_once() -> None:
    found = changes(lambda s: 4.0 * (1.0 - abs(s - 300.0) / 300.0), 10)
    assert [move.new for move in found] == ["strained", "crisis", "strained", NORMAL]


def test_a_severe_overload_enters_several_levels_at_once() -> None:
    machine = LevelStateMachine(SPECS)
    found = [m for n in range(40) if (m := machine.tick(n * TICK_MS, read(5.0))) is not None]
    assert [(m.old, m.new) for m in found] == [(NORMAL, "crisis")]
    assert machine.since_ms == CRISIS.enter_after_ms
    assert "lateness >= 300% for 2 s (a:5)" in found[0].cause
    assert found[0].readings == {"lateness": 5.0}


def test_the_limit_of_changes_holds_back_leaving_but_not_entering() -> None:
    quick = tuple(replace(s, enter_after_ms=0.0, leave_after_ms=0.0, min_duration_ms=0.0) for s in SPECS)
    machine = LevelStateMachine(quick, max_changes_per_minute=4)
    found = changes(lambda s: 2.0 if s % 1.0 < 0.5 else 0.2, 1, machine)
    assert len(found) <= 5
    assert machine.tick(200_000.0, read(5.0)) is not None  # up is never held back


def test_unknown_signals_change_nothing_until_the_dispatcher_is_idle() -> None:
    machine = LevelStateMachine(SPECS)
    assert changes(lambda _: None, 2, machine) == []
    machine = LevelStateMachine(SPECS)
    found = changes(lambda s: 2.0 if s < 10 else None, 2, machine)
    assert [move.new for move in found] == ["strained", NORMAL]
    assert machine.since_ms >= 10_000.0 + 30_000.0


def test_a_pin_holds_until_it_expires_and_then_new_evidence_decides() -> None:
    machine = LevelStateMachine(SPECS)
    moved = machine.set_pin(0.0, Pin("crisis", 20_000.0, "ana"))
    assert moved is not None
    assert moved.cause == "pinned by ana"
    for n in range(1, 80):
        assert machine.tick(n * TICK_MS, read(0.1)) is None
    found = [m for n in range(80, 400) if (m := machine.tick(n * TICK_MS, read(0.1))) is not None]
    assert [m.new for m in found] == ["strained", NORMAL]


def test_a_level_that_a_reload_removes_is_replaced_by_the_next_lower_one() -> None:
    machine = LevelStateMachine(SPECS)
    machine.start(0.0, 2, 0.0)
    assert machine.replace_specs((STRAINED, replace(CRISIS, min_duration_ms=1.0)), 6, 0.0) is None
    assert machine.name == "crisis"
    moved = machine.replace_specs((STRAINED, replace(CRISIS, name="emergency")), 6, 0.0)
    assert moved is not None
    assert (moved.old, moved.new) == ("crisis", "strained")
    assert machine.replace_specs((), 6, 0.0) is not None
    assert machine.name == NORMAL


# --- conditions ---


def test_conditions_are_three_valued_and_their_overlap_is_found() -> None:
    busy = Disjunction((HIGH, Threshold("refused", True, 0.1)))
    assert evaluate(busy, {"refused": 0.2}) is True
    assert evaluate(busy, {"refused": 0.0}) is None
    assert evaluate(negate(busy), {"refused": 0.2}) is False
    assert evaluate(Conjunction((LOW, Threshold("refused", False, 0.1))), {"lateness": 2.0}) is False
    assert overlap(HIGH, LOW) is None
    assert overlap(busy, LOW) == {
        "refused": (0.1, math.inf),
        "lateness": (-math.inf, 1.0),
    }
    assert regions(Conjunction((HIGH, LOW))) == []
    assert describe(negate(busy)) == "lateness < 150% and refused < 10%"
