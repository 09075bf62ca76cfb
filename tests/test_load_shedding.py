"""Load shedding in virtual time: signals, admission, and the load shedder at a level."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from tests.levels import CRISIS, LEVEL_NAMES, STRAINED, TICK_MS, journal_bytes, load_shedder
from tests.test_routing import request
from violetstack.core.ports import Shed
from violetstack.core.records import RequestOutcome
from violetstack.load_shedding.admission import AdmissionController, AdmissionWeights
from violetstack.load_shedding.errors import UnknownLevelError
from violetstack.load_shedding.fair_share import weighted_fair_shares
from violetstack.load_shedding.journal import (
    Journal,
    RestoredLevel,
    decode_journal,
    restore_level,
)
from violetstack.load_shedding.levels import NORMAL, LevelActions, LevelPlan
from violetstack.load_shedding.signals import MIN_EVENTS, EndpointCounts, Signals

# --- signals ---


def test_a_signal_of_few_events_is_unknown_and_waiting_requests_count_as_late() -> None:
    signals = Signals()
    for n in range(MIN_EVENTS - 1):
        signals.stream_started(n * 10.0, 5.0)
        signals.request_finished(n * 10.0, RequestOutcome.REJECTED)
    readings = signals.readings(500.0)
    assert readings["lateness"].value is None
    assert readings["refused"].value is None
    assert signals.readings(500.0, [0.5, 0.9])["lateness"].value is None
    readings = signals.readings(500.0, [2.0, 8.0])
    assert readings["lateness"].value == pytest.approx(5.0, rel=0.2)
    assert readings["lateness"].count == 21
    assert signals.readings(20_000.0)["lateness"].count == 0


def test_readings_cover_the_sliding_window_and_its_memory_is_bounded() -> None:
    signals = Signals()
    rng = random.Random(3)
    values = [rng.lognormvariate(0.0, 0.5) for _ in range(20_000)]
    for n, value in enumerate(values):
        signals.stream_started(n * 1.0, value)
        outcome = RequestOutcome.SHED if n % 2 else RequestOutcome.COMPLETED
        signals.request_finished(n * 1.0, RequestOutcome.FAILED if n % 10 == 0 else outcome)
    readings = signals.readings(20_000.0)
    recent = sorted(values[11_000:])
    assert readings["lateness"].value == pytest.approx(recent[int(0.9 * len(recent))], rel=0.02)
    assert readings["failed"].value == pytest.approx(1 / 5, rel=0.1)  # shed requests are not counted
    assert all(slot.n_centroids <= 100 for slot in signals.window.lateness)
    signals.set_gauge(0.0, "lag", 5.0)
    assert signals.readings(20_000.0)["lag"].value is None
    signals.set_endpoint_counts(20_000.0, EndpointCounts(10, 2))
    signals.set_endpoint_counts(21_000.0, EndpointCounts(8, 4))
    readings = signals.readings(21_000.0)
    assert readings["gone"].value == pytest.approx(0.2)
    assert readings["cold"].value == 0.5


# --- admission ---

WEIGHTS = AdmissionWeights((1.0, 0.6), ("consulta", "orden"), (0.36, 0.34, 0.30), ("app", "kiosks", "desk"))


def count_admitted(
    admission: AdmissionController, rates: dict[tuple[int, int], int], seconds: float, start: float = 0.0
) -> Counter[tuple[int, int]]:
    """Offers requests at a rate for each class and tenant; returns the number of admitted ones by cell."""
    admitted: Counter[tuple[int, int]] = Counter()
    now = start
    for step in range(int(seconds * 20)):
        now = start + step * 50.0
        for (cls, tenant), rate in rates.items():
            for n in range(rate // 20):
                admission.record_demand(now, cls, tenant, 1000.0)
                name = f"{cls}/{tenant}/{(step * 7 + n) % 500}"
                if admission.decide(now, cls, tenant, name, 1000.0, is_session=True) is None:
                    admitted[cls, tenant] += 1
        if step % 5 == 0:
            admission.tick(now)
    return admitted


def saturated_controller(actions: LevelActions, capacity: float) -> AdmissionController:
    """A controller after 20 s with `capacity` requests of 1,000 tokens per second, and 20% more rejected."""
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
    """Regression: shedding lowered the work done, which lowered the estimate, which increased shedding."""
    admission = saturated_controller(LevelActions(admitted_share=0.5), 100.0)
    now = 20_000.0
    for _ in range(600):  # one minute in which half of the capacity is used and nothing is rejected
        for _ in range(5):
            admission.record_started(now, 1000.0, 0.5)
            now += 20.0
        admission.tick(now)
    assert admission.capacity.work_per_ms is not None
    assert 90.0 <= admission.capacity.work_per_ms <= 140.0
    # At full admission the estimate rises faster, up to three times the work done.
    admission.set_actions(LevelActions(admitted_share=1.0))
    for _ in range(100):
        for _ in range(10):
            admission.record_started(now, 1000.0, 0.5)
            now += 10.0
        admission.tick(now)
    assert 250.0 <= admission.capacity.work_per_ms <= 320.0


def test_water_filling_follows_the_weights_and_redistributes_unused_shares() -> None:
    assert weighted_fair_shares(100.0, {0: 10.0, 1: 200.0, 2: 200.0}, {0: 1.0, 1: 1.0, 2: 2.0}) == {
        0: 10.0,
        1: 30.0,
        2: 60.0,
    }
    assert weighted_fair_shares(100.0, {0: 10.0}, {0: 1.0}) == {0: 10.0}
    assert weighted_fair_shares(100.0, {0: 50.0}, {}) == {0: 0.0}


def test_a_session_is_admitted_or_shed_as_a_whole_and_active_sessions_are_preferred() -> None:
    admission = saturated_controller(LevelActions(admitted_share=0.5), 100.0)
    rates = {(0, 0): 100}
    count_admitted(admission, rates, 3.0, 20_000.0)
    names = [f"s{n}" for n in range(400)]
    rounds = [
        [admission.decide(23_000.0, 0, 0, name, 1000.0, is_session=True) is None for name in names]
        for _ in range(5)
    ]
    assert all(row == rounds[0] for row in rounds[1:])
    assert 100 < sum(rounds[0]) < 350
    # With a lower share, a larger part of the active sessions than of new ones is admitted.
    admission.admitted_shares[0, 0] *= 0.6
    active_admitted = sum(
        admission.decide(24_000.0, 0, 0, n, 1.0, is_session=True) is None
        for n, was_admitted in zip(names, rounds[0], strict=True)
        if was_admitted
    )
    new_admitted = sum(
        admission.decide(24_000.0, 0, 0, f"new{n}", 1.0, is_session=True) is None for n in range(400)
    )
    assert active_admitted / sum(rounds[0]) > 0.9 > 2 * new_admitted / 400


def test_a_shed_request_has_a_reason_and_its_retry_after_time_is_spread() -> None:
    admission = AdmissionController(WEIGHTS)
    admission.set_actions(LevelActions(min_class_weight=0.8, max_prompt_tokens=5_000, retry_after_ms=1_000.0))
    assert admission.decide(0.0, 0, 0, "a", 100.0, is_session=False) is None
    decisions = [admission.decide(0.0, 1, 0, f"q{n}", 100.0, is_session=False) for n in range(300)]
    assert {shed.reason for shed in decisions if shed is not None} == {"worth"}
    retry_after_ms = sorted(shed.retry_after_ms for shed in decisions if shed is not None)
    assert retry_after_ms[0] < 1_050
    assert retry_after_ms[-1] > 2_900
    assert 1_700 < retry_after_ms[150] < 2_300
    shed = admission.decide(0.0, 0, 0, "a", 6_000.0, is_session=False)
    assert shed is not None
    assert shed.reason == "prompt"


def test_the_first_decision_after_a_crash_uses_the_restored_level() -> None:
    shedder, lines = load_shedder(LevelPlan((replace(STRAINED, actions=LevelActions(min_class_weight=0.9)),)))
    journal = decode_journal(journal_bytes("strained"))
    shedder.start(5_000.0, 1_010.0, restore_level(journal, [NORMAL, "strained"], 1_010.0, 60.0))
    # Before the first tick, the class with half the largest weight is shed.
    assert isinstance(shedder.admit(5_000.0, request(class_index=0)), Shed)
    assert shedder.admit(5_000.0, request(class_index=1)) is None
    assert lines == [
        ("level_started", {"level": "strained", "why": "strained was in force 10.0 s ago", "cautious": False})
    ]
    for n in range(39):  # the level is not left before the new process has signals of its own
        shedder.tick(5_000.0 + n * TICK_MS, 1_010.0 + n / 4, {}, EndpointCounts(3, 0), [])
    assert shedder.state_machine.name == "strained"


def test_a_start_without_a_journal_enters_levels_four_times_as_fast() -> None:
    shedder, lines = load_shedder()
    shedder.start(0.0, 1_000.0, restore_level(Journal(()), LEVEL_NAMES, 1_000.0, 60.0))
    assert lines[0][1]["cautious"] is True
    for n in range(30):
        shedder.stream_started(n * 10.0, 2.0, 100.0)
    for n in range(4):
        shedder.tick(500.0 + n * TICK_MS, 1_000.0 + n, {}, EndpointCounts(3, 0), [])
    assert shedder.state_machine.name == "strained"
    assert lines[-1][0] == "level_changed"
    assert "lateness >= 150% for 0.5 s (a:1)" in str(lines[-1][1]["cause"])


def test_a_level_limits_retries_and_reservations_and_records_heartbeats() -> None:
    shedder, _ = load_shedder()
    shedder.start(0.0, 1_000.0, RestoredLevel(2, 990.0, True, ""))
    admitted = request(prompt_tokens=10.0)
    assert shedder.admit(0.0, admitted) is None
    assert admitted.route is not None
    assert not admitted.route.reservation_allowed(0.0)
    assert not admitted.route.take_retry(0.0)
    assert admitted.route.contains("x", 0.0)
    for n in range(40):
        shedder.tick(n * TICK_MS, 1_000.0 + n / 4, {}, EndpointCounts(3, 0), [])
    records = shedder.take_records()
    assert {(record.level, record.is_heartbeat) for record in records} == {("crisis", True)}
    assert len(records) == 5
    status = shedder.status(10_000.0, 1_010.0)
    assert status.level == "crisis"
    assert status.duration_s == 20.0
    shedder.pin(10_000.0, 1_010.0, "strained", 1_000.0, "ana")
    assert shedder.state_machine.name == "strained"
    with pytest.raises(UnknownLevelError):
        shedder.pin(0.0, 0.0, "nothing", 1.0, "ana")
    shedder.reload(10_000.0, 1_010.0, LevelPlan((CRISIS,)))
    assert shedder.state_machine.name == NORMAL
    assert shedder.take_records()[-1].cause == "strained is no more in the file"
