"""Load shedding on a virtual clock: state machine, conditions, signals, admission, journal and socket."""

from __future__ import annotations

import math
import os
import random
import stat
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any
from zlib import crc32

import msgspec
import pytest
import trio
from click.testing import CliRunner, Result

from tests.front import SETTINGS
from tests.test_routing import request
from violetstack.commands.main import main
from violetstack.core.ports import Shed
from violetstack.core.records import RequestOutcome
from violetstack.load_shedding.admission import AdmissionController, AdmissionWeights
from violetstack.load_shedding.errors import UnknownLevelError
from violetstack.load_shedding.fair_share import weighted_fair_shares
from violetstack.load_shedding.journal import (
    Journal,
    JournalRecord,
    RestoredLevel,
    decode_journal,
    encode_record,
    restore_level,
)
from violetstack.load_shedding.levels import NORMAL, LevelActions, LevelPlan, LevelSpec
from violetstack.load_shedding.load_shedder import LoadShedder, admission_weights
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
from violetstack.load_shedding.signals import MIN_EVENTS, EndpointCounts, Reading, Signals
from violetstack.load_shedding.state_machine import LevelChange, LevelStateMachine, Pin
from violetstack.load_shedding.status import LevelStatus
from violetstack.net.level_socket import LevelSocket

HIGH = Threshold("lateness", True, 1.5)
LOW = Threshold("lateness", False, 1.0)
STRAINED = LevelSpec("strained", HIGH, LOW, actions=LevelActions(admitted_share=0.9), where="a:1")
CRISIS = LevelSpec(
    "crisis",
    Threshold("lateness", True, 3.0),
    Threshold("lateness", False, 2.0),
    actions=LevelActions(admitted_share=0.5, retry_share=0.0, reserve_ahead=False),
    where="a:5",
)
SPECS = (STRAINED, CRISIS)
TICK = 250.0


def read(value: float | None, signal: str = "lateness") -> dict[str, Reading]:
    return {signal: Reading(value, 100)}


def changes(
    load: Callable[[float], float | None], minutes: float, machine: LevelStateMachine | None = None
) -> list[LevelChange]:
    """Ticks with the lateness that `load` gives for each second; returns the changes."""
    on = machine or LevelStateMachine(SPECS)
    found = []
    for n in range(int(minutes * 60_000 / TICK)):
        now = n * TICK
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
    assert len(changes(lambda s: at * rng.uniform(0.9, 1.1), 5)) <= 2


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
    found = [m for n in range(40) if (m := machine.tick(n * TICK, read(5.0))) is not None]
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
    assert changes(lambda s: None, 2, machine) == []
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
        assert machine.tick(n * TICK, read(0.1)) is None
    found = [m for n in range(80, 400) if (m := machine.tick(n * TICK, read(0.1))) is not None]
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


# --- signals ---


def test_few_events_give_no_reading_and_waiting_requests_count_as_late() -> None:
    signals = Signals()
    for n in range(MIN_EVENTS - 1):
        signals.stream_started(n * 10.0, 5.0)
        signals.request_finished(n * 10.0, RequestOutcome.REJECTED)
    found = signals.readings(500.0)
    assert found["lateness"].value is None
    assert found["refused"].value is None
    assert signals.readings(500.0, [0.5, 0.9])["lateness"].value is None
    found = signals.readings(500.0, [2.0, 8.0])
    assert found["lateness"].value == pytest.approx(5.0, rel=0.2)
    assert found["lateness"].count == 21
    assert signals.readings(20_000.0)["lateness"].count == 0


def test_the_window_slides_and_its_memory_is_bounded() -> None:
    signals = Signals()
    rng = random.Random(3)
    values = [rng.lognormvariate(0.0, 0.5) for _ in range(20_000)]
    for n, value in enumerate(values):
        signals.stream_started(n * 1.0, value)
        outcome = RequestOutcome.SHED if n % 2 else RequestOutcome.COMPLETED
        signals.request_finished(n * 1.0, RequestOutcome.FAILED if n % 10 == 0 else outcome)
    found = signals.readings(20_000.0)
    recent = sorted(values[11_000:])
    assert found["lateness"].value == pytest.approx(recent[int(0.9 * len(recent))], rel=0.02)
    assert found["failed"].value == pytest.approx(1 / 5, rel=0.1)  # what levels shed is not counted
    assert all(slot.n_centroids <= 100 for slot in signals.window.lateness)
    signals.set_gauge(0.0, "lag", 5.0)
    assert signals.readings(20_000.0)["lag"].value is None
    signals.set_endpoint_counts(20_000.0, EndpointCounts(10, 2))
    signals.set_endpoint_counts(21_000.0, EndpointCounts(8, 4))
    found = signals.readings(21_000.0)
    assert found["gone"].value == pytest.approx(0.2)
    assert found["cold"].value == 0.5


# --- admission ---

WEIGHTS = AdmissionWeights((1.0, 0.6), ("consulta", "orden"), (0.36, 0.34, 0.30), ("app", "kiosks", "desk"))


def admitted(
    admission: AdmissionController, rates: dict[tuple[int, int], int], seconds: float, start: float = 0.0
) -> Counter[tuple[int, int]]:
    """Offers a rate of requests for each class and tenant; returns how many were admitted, by cell."""
    served: Counter[tuple[int, int]] = Counter()
    now = start
    for step in range(int(seconds * 20)):
        now = start + step * 50.0
        for (cls, tenant), rate in rates.items():
            for n in range(rate // 20):
                admission.record_demand(now, cls, tenant, 1000.0)
                name = f"{cls}/{tenant}/{(step * 7 + n) % 500}"
                if admission.decide(now, cls, tenant, name, 1000.0, is_session=True) is None:
                    served[cls, tenant] += 1
        if step % 5 == 0:
            admission.tick(now)
    return served


def saturated_controller(actions: LevelActions, capacity: float) -> AdmissionController:
    """A controller that saw `capacity` requests of 1,000 tokens a second done, and a fifth more rejected."""
    admission = AdmissionController(WEIGHTS)
    for n in range(int(capacity * 20)):
        admission.record_started(n * 1000.0 / capacity, 1000.0, 0.5)
        if n % 5 == 0:
            admission.record_rejected(n * 1000.0 / capacity, 1000.0)
        if n % (capacity // 4) == 0:
            admission.tick(n * 1000.0 / capacity)
    assert admission.capacity.work_per_ms == pytest.approx(capacity, rel=0.15)
    admission.set_actions(actions)
    return admission


def test_shedding_does_not_lower_the_capacity_estimate() -> None:
    """Regression: work that was shed lowered the work done, which lowered the estimate, down to nothing."""
    admission = saturated_controller(LevelActions(admitted_share=0.5), 100.0)
    now = 20_000.0
    for _ in range(600):  # a minute in which half is done and nothing is refused
        for _ in range(5):
            admission.record_started(now, 1000.0, 0.5)
            now += 20.0
        admission.tick(now)
    assert admission.capacity.work_per_ms is not None
    assert 90.0 <= admission.capacity.work_per_ms <= 140.0
    admission.set_actions(
        LevelActions(admitted_share=1.0)
    )  # nothing held back on purpose: tried upward, at most so far
    for _ in range(100):
        for _ in range(10):
            admission.record_started(now, 1000.0, 0.5)
            now += 10.0
        admission.tick(now)
    assert 250.0 <= admission.capacity.work_per_ms <= 320.0


def test_water_filling_follows_weights_and_redistributes_what_is_not_asked_for() -> None:
    assert weighted_fair_shares(100.0, {0: 10.0, 1: 200.0, 2: 200.0}, {0: 1.0, 1: 1.0, 2: 2.0}) == {
        0: 10.0,
        1: 30.0,
        2: 60.0,
    }
    assert weighted_fair_shares(100.0, {0: 10.0}, {0: 1.0}) == {0: 10.0}
    assert weighted_fair_shares(100.0, {0: 50.0}, {}) == {0: 0.0}


def test_a_session_is_admitted_or_shed_as_a_whole_and_goes_on_once_admitted() -> None:
    admission = saturated_controller(LevelActions(admitted_share=0.5), 100.0)
    rates = {(0, 0): 100}
    admitted(admission, rates, 3.0, 20_000.0)
    names = [f"s{n}" for n in range(400)]
    rounds = [
        [admission.decide(23_000.0, 0, 0, name, 1000.0, is_session=True) is None for name in names]
        for _ in range(5)
    ]
    assert all(row == rounds[0] for row in rounds[1:])
    assert 100 < sum(rounds[0]) < 350
    admission.admitted_shares[0, 0] *= 0.6  # it gets tighter: of those under way more go on than of new ones
    kept = sum(
        admission.decide(24_000.0, 0, 0, n, 1.0, is_session=True) is None
        for n, on in zip(names, rounds[0], strict=True)
        if on
    )
    fresh = sum(admission.decide(24_000.0, 0, 0, f"new{n}", 1.0, is_session=True) is None for n in range(400))
    assert kept / sum(rounds[0]) > 0.9 > 2 * fresh / 400


def test_a_shed_request_has_a_reason_and_retry_advice_is_spread() -> None:
    admission = AdmissionController(WEIGHTS)
    admission.set_actions(LevelActions(min_class_weight=0.8, max_prompt_tokens=5_000, retry_after_ms=1_000.0))
    assert admission.decide(0.0, 0, 0, "a", 100.0, is_session=False) is None
    found = [admission.decide(0.0, 1, 0, f"q{n}", 100.0, is_session=False) for n in range(300)]
    assert {shed.reason for shed in found if shed is not None} == {"worth"}
    advice = sorted(shed.retry_after_ms for shed in found if shed is not None)
    assert advice[0] < 1_050
    assert advice[-1] > 2_900
    assert 1_700 < advice[150] < 2_300
    shed = admission.decide(0.0, 0, 0, "a", 6_000.0, is_session=False)
    assert shed is not None
    assert shed.reason == "prompt"


# --- journal and restart ---


def records(*levels: str, at: float = 1_000.0) -> bytes:
    return b"".join(
        encode_record(JournalRecord(level, at + n, at + n, cause="lateness >= 150%"))
        for n, level in enumerate(levels)
    )


NAMES = (NORMAL, "strained", "crisis")


def test_a_restart_restores_a_recent_level_and_lowers_an_old_one() -> None:
    journal = decode_journal(records("strained", "crisis"))
    ages = {1_002.0: 2, 1_060.0: 2, 1_062.0: 1, 1_130.0: 0, 2_000.0: 0}
    assert {now: restore_level(journal, NAMES, now, 60.0).rank for now in ages} == ages
    assert all(restore_level(journal, NAMES, now, 60.0).is_known for now in ages)
    for now, names in ((900.0, NAMES), (1_002.0, (NORMAL, "other"))):  # the future; a level that is gone
        resumed = restore_level(journal, names, now, 60.0)
        assert (resumed.rank, resumed.is_known) == (0, False)
    assert restore_level(journal, NAMES, 998.0, 60.0).rank == 2  # the clock went back a little


def test_a_journal_truncated_anywhere_gives_its_complete_records() -> None:
    whole = records("strained", "crisis", "strained")
    ends = [n + 1 for n, byte in enumerate(whole) if byte == 10]
    for cut in range(len(whole)):
        journal = decode_journal(whole[:cut])
        before = sum(1 for end in ends if cut >= end - 1)
        assert len(journal.records) == before
        resumed = restore_level(journal, NAMES, 1_003.0, 60.0)
        assert resumed.is_known is (before > 0)
    for at in range(0, len(whole), 7):
        spoilt = bytearray(whole)
        spoilt[at] ^= 0x55
        assert len(decode_journal(bytes(spoilt)).records) <= 3  # and never raises
    newer = encode_record(JournalRecord("crisis", 1.0, 1.0)).replace(b'"format":1', b'"format":9')
    body = newer.partition(b" ")[2].rstrip(b"\n")

    assert decode_journal(b"%08x %s\n" % (crc32(body), body)).newer_records == 1


def load_shedder(plan: LevelPlan | None = None) -> tuple[LoadShedder, list[tuple[str, dict[str, object]]]]:
    lines: list[tuple[str, dict[str, object]]] = []
    weights = admission_weights(SETTINGS, ("safe", "unsafe"), ())
    return LoadShedder(
        plan or LevelPlan(SPECS), weights, lambda event, **fields: lines.append((event, fields))
    ), lines


def test_the_first_decision_after_a_crash_is_under_the_restored_level() -> None:
    on, lines = load_shedder(LevelPlan((replace(STRAINED, actions=LevelActions(min_class_weight=0.9)),)))
    journal = decode_journal(records("strained"))
    on.start(5_000.0, 1_010.0, restore_level(journal, [NORMAL, "strained"], 1_010.0, 60.0))
    assert isinstance(on.admit(5_000.0, request(class_index=0)), Shed)  # worth 1 of 2, before any tick
    assert on.admit(5_000.0, request(class_index=1)) is None
    assert lines == [
        ("level_started", {"level": "strained", "why": "strained was in force 10.0 s ago", "cautious": False})
    ]
    for n in range(39):  # it is not left before it has evidence of its own
        on.tick(5_000.0 + n * TICK, 1_010.0 + n / 4, {}, EndpointCounts(3, 0), [])
    assert on.state_machine.name == "strained"


def test_a_start_without_a_journal_enters_levels_four_times_as_fast() -> None:
    on, lines = load_shedder()
    on.start(0.0, 1_000.0, restore_level(Journal(()), NAMES, 1_000.0, 60.0))
    assert lines[0][1]["cautious"] is True
    for n in range(30):
        on.stream_started(n * 10.0, 2.0, 100.0)
    for n in range(4):
        on.tick(500.0 + n * TICK, 1_000.0 + n, {}, EndpointCounts(3, 0), [])
    assert on.state_machine.name == "strained"
    assert lines[-1][0] == "level_changed"
    assert "lateness >= 150% for 0.5 s (a:1)" in str(lines[-1][1]["cause"])


def test_a_level_limits_retries_and_reservations_and_records_heartbeats() -> None:
    on, _ = load_shedder()
    on.start(0.0, 1_000.0, RestoredLevel(2, 990.0, True, ""))
    served = request(prompt_tokens=10.0)
    assert on.admit(0.0, served) is None
    assert served.route is not None
    assert not served.route.reservation_allowed(0.0)
    assert not served.route.take_retry(0.0)
    assert served.route.contains("x", 0.0)
    for n in range(40):
        on.tick(n * TICK, 1_000.0 + n / 4, {}, EndpointCounts(3, 0), [])
    records = on.take_records()
    assert {(record.level, record.is_heartbeat) for record in records} == {("crisis", True)}
    assert len(records) == 5
    status = on.status(10_000.0, 1_010.0)
    assert status.level == "crisis"
    assert status.duration_s == 20.0
    on.pin(10_000.0, 1_010.0, "strained", 1_000.0, "ana")
    assert on.state_machine.name == "strained"
    with pytest.raises(UnknownLevelError):
        on.pin(0.0, 0.0, "nothing", 1.0, "ana")
    on.reload(10_000.0, 1_010.0, LevelPlan((CRISIS,)))
    assert on.state_machine.name == NORMAL
    assert on.take_records()[-1].cause == "strained is no more in the file"


# --- the socket of `violetstack level` ---


class FakeOperations:
    """One level and a journal of two records; remembers the pin."""

    def __init__(self) -> None:
        self.shedder, _ = load_shedder()
        self.shedder.start(0.0, 1_000.0, RestoredLevel(1, 990.0, True, ""))
        self.has_journal = True

    def status(self) -> LevelStatus:
        return self.shedder.status(10_000.0, 1_010.0)

    def recent_changes(self, limit: int) -> list[JournalRecord] | None:
        return (
            list(decode_journal(records("strained", "crisis")).records)[:limit] if self.has_journal else None
        )

    def pin(self, level: str, duration_ms: float, by: str) -> None:
        self.shedder.pin(10_000.0, 1_010.0, level, duration_ms, by)

    def unpin(self) -> None:
        self.shedder.unpin()


def reply_to(operations: FakeOperations, **request: object) -> dict[str, Any]:
    reply: dict[str, Any] = msgspec.to_builtins(
        LevelSocket(operations).reply_to(msgspec.json.encode(request))
    )
    return reply


def test_the_json_of_a_status_keeps_its_names() -> None:
    operations = FakeOperations()
    operations.shedder.tick(9_000.0, 1_009.0, {"lag": 5.0}, EndpointCounts(4, 1), [])
    assert reply_to(operations, do="show") == {
        "level": "strained",
        "levels": [NORMAL, "strained", "crisis"],
        "since": 990.0,
        "for_s": 20.0,
        "pin": None,
        "cautious_for_s": 0.0,
        "shed": 0,
        "signals": {
            "lateness": {"value": None, "count": 0, "age_s": 0.0},
            "refused": {"value": None, "count": 0, "age_s": 0.0},
            "failed": {"value": None, "count": 0, "age_s": 0.0},
            "lag": {"value": 5.0, "count": 1, "age_s": 0.0},
            "gone": {"value": 0.0, "count": 1, "age_s": 0.0},
            "cold": {"value": 0.25, "count": 1, "age_s": 0.0},
        },
        "outlook": [
            {
                "level": "strained",
                "would": "leave",
                "if": "lateness < 100%",
                "holds": None,
                "for_s": None,
                "signals": {"lateness": {"value": None, "bound": 1.0}},
            },
            {
                "level": "crisis",
                "would": "enter",
                "if": "lateness >= 300%",
                "holds": None,
                "for_s": None,
                "signals": {"lateness": {"value": None, "bound": 3.0}},
            },
        ],
    }


def test_a_pin_and_its_end_are_carried_out_over_the_socket() -> None:
    operations = FakeOperations()
    pinned = reply_to(operations, do="pin", level="crisis", for_ms=60_000, by="ana")
    assert (pinned["level"], pinned["pin"]) == ("crisis", {"by": "ana", "for_s": 60})
    assert reply_to(operations, do="unpin")["pin"] is None


def test_the_json_of_the_history_keeps_its_names() -> None:
    operations = FakeOperations()
    newest = reply_to(operations, do="history")["changes"][0]
    assert newest == {
        "level": "strained",
        "at": 1_000.0,
        "since": 1_000.0,
        "old": "",
        "cause": "lateness >= 150%",
        "still": False,
        "readings": {},
    }
    operations.has_journal = False
    assert reply_to(operations, do="history") == {"error": "no journal is configured"}


@pytest.mark.parametrize(
    ("request_fields", "error"),
    [
        ({}, "ask one of show, history, pin, unpin"),
        ({"do": "dance"}, "ask one of show, history, pin, unpin"),
        ({"do": ["show"]}, "ask one of show, history, pin, unpin"),
        ({"do": "pin"}, "a pin needs a level and a time"),
        ({"do": "pin", "level": "crisis", "for_ms": "1"}, "a pin needs a level and a time"),
        ({"do": "pin", "level": "crisis", "for_ms": -1}, "a pin needs a level and a time"),
        ({"do": "pin", "level": "none", "for_ms": 1}, "there is no level 'none'"),
    ],
)
def test_a_request_that_cannot_be_carried_out_gets_an_error(
    request_fields: dict[str, object], error: str
) -> None:
    assert reply_to(FakeOperations(), **request_fields) == {"error": error}


def test_the_level_command_talks_to_the_socket(tmp_path: Path) -> None:
    path = str(tmp_path / "level")
    operations = FakeOperations()
    outputs: list[Result] = []

    async def invoke(*arguments: str) -> None:
        command = ["level", *arguments, "--socket", path]
        outputs.append(await trio.to_thread.run_sync(partial(CliRunner().invoke, main, command)))

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(LevelSocket(operations).serve, path)
            assert stat.S_IMODE(os.stat(path).st_mode) == 0o600
            await invoke("show")
            await invoke("pin", "crisis", "--for", "2")
            await invoke("history")
            await invoke("unpin")
            await invoke("pin", "nothing")
            nursery.cancel_scope.cancel()

    trio.run(story)
    shown, pinned, history, unpinned, unknown = outputs
    assert shown.output.startswith("strained for 20 s, of normal, strained, crisis; 0 shed\n")
    assert "for another 120 s" in pinned.output
    assert " -> strained: lateness >= 150%" in history.output
    assert "pinned by" not in unpinned.output
    assert (unknown.exit_code, unknown.output) == (2, "there is no level 'nothing'\n")
    assert not Path(path).exists()
