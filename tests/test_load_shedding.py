"""Load shedding on a virtual clock: signals, admission, and a level in force."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from tests.levels import CRISIS, NAMES, STRAINED, TICK_MS, load_shedder, records
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
        on.tick(5_000.0 + n * TICK_MS, 1_010.0 + n / 4, {}, EndpointCounts(3, 0), [])
    assert on.state_machine.name == "strained"


def test_a_start_without_a_journal_enters_levels_four_times_as_fast() -> None:
    on, lines = load_shedder()
    on.start(0.0, 1_000.0, restore_level(Journal(()), NAMES, 1_000.0, 60.0))
    assert lines[0][1]["cautious"] is True
    for n in range(30):
        on.stream_started(n * 10.0, 2.0, 100.0)
    for n in range(4):
        on.tick(500.0 + n * TICK_MS, 1_000.0 + n, {}, EndpointCounts(3, 0), [])
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
        on.tick(n * TICK_MS, 1_000.0 + n / 4, {}, EndpointCounts(3, 0), [])
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
