"""Tests of the transition table of holds, of their clock, and of the audit of the hosts' records."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from violetstack.core.remote_hold import (
    TRANSITIONS,
    ClockEffect,
    HoldEvent,
    HoldState,
    RemoteHold,
    summarize,
)
from violetstack.policy_api import Role
from violetstack.rehearsal.fleet.hold_audit import RULE_SLACK_S, HoldEvidence, HostRecord, audit_holds
from violetstack.rehearsal.fleet.host_holds import HoldRecorder
from violetstack.rehearsal.fleet.socket_audit import HostAttempt

ARCHITECTURE = Path(__file__).parent.parent / "docs" / "architecture.md"
RETENTION_S = 0.3
LIMIT_S = RETENTION_S + RULE_SLACK_S
SLOT = HostRecord.SLOT_RESERVED
STATE = HostRecord.STATE_LEFT
BEGUN = HostRecord.ATTEMPT_BEGUN
ENDED = HostRecord.ATTEMPT_ENDED
RELEASE = HostRecord.RELEASE_TAKEN
STREAM = HostRecord.TAKEN_OVER


def hold_after(*events: HoldEvent) -> RemoteHold:
    """Returns a hold after the events, which are 100 ms apart and start at 100 ms."""
    hold = RemoteHold()
    for n, event in enumerate(events, 1):
        hold.apply(100.0 * n, event)
    return hold


def test_transition_table_covers_every_event_in_every_state() -> None:
    assert set(TRANSITIONS) == set(HoldEvent)
    assert all(set(row) == set(HoldState) for row in TRANSITIONS.values())


def test_every_state_is_reachable_and_a_release_ends_it() -> None:
    reached = {HoldState.NOTHING}
    for _ in HoldState:
        reached |= {row[state].state for state in reached for row in TRANSITIONS.values()}
    assert reached == set(HoldState)
    assert all(TRANSITIONS[HoldEvent.RELEASED][state].state is HoldState.NOTHING for state in HoldState)


def test_clock_runs_exactly_in_states_in_which_something_may_be_unclaimed() -> None:
    for row in TRANSITIONS.values():
        for transition in row.values():
            stops = transition.clock is ClockEffect.STOPS
            assert stops is (transition.state in (HoldState.NOTHING, HoldState.CLAIMED))


def test_architecture_page_shows_the_transition_table() -> None:
    row = re.compile(r"^\| `([a-z ]+)` \| (.+) \|$", re.MULTILINE)
    documented = dict(row.findall(ARCHITECTURE.read_text().partition("## What hosts hold")[2]))
    table = {
        event.value: " | ".join(
            f"`{TRANSITIONS[event][state].state.value}`, {TRANSITIONS[event][state].clock.value}"
            for state in HoldState
        )
        for event in HoldEvent
    }
    assert {name: documented.get(name) for name in table} == table


@pytest.mark.parametrize(
    ("events", "state", "unclaimed_since"),
    [
        ((HoldEvent.RESERVATION_WRITTEN,), HoldState.RESERVATION_UNANSWERED, 100.0),
        ((HoldEvent.RESERVATION_WRITTEN, HoldEvent.SLOT_CONFIRMED), HoldState.CLAIMED, None),
        ((HoldEvent.RESERVATION_WRITTEN, HoldEvent.SLOT_UNCERTAIN), HoldState.UNCLAIMED, 100.0),
        ((HoldEvent.RESERVATION_WRITTEN, HoldEvent.SLOT_REFUSED), HoldState.NOTHING, None),
        ((HoldEvent.STATE_LEFT, HoldEvent.ATTEMPT_GIVEN_UP), HoldState.UNCLAIMED, 100.0),
        ((HoldEvent.STATE_LEFT, HoldEvent.ATTEMPT_ENDED), HoldState.UNCLAIMED, 200.0),
        ((HoldEvent.STATE_LEFT, HoldEvent.STREAM_STARTED), HoldState.NOTHING, None),
        ((HoldEvent.STATE_LEFT, HoldEvent.RELEASED_EARLY), HoldState.SETTLING, 200.0),
    ],
)
def test_clock_starts_when_something_may_be_held_for_the_first_time(
    events: tuple[HoldEvent, ...], state: HoldState, unclaimed_since: float | None
) -> None:
    hold = hold_after(*events)
    assert (hold.state, hold.unclaimed_since) == (state, unclaimed_since)


def test_summary_counts_holds_and_has_the_age_of_the_oldest_unclaimed_one() -> None:
    holds = [
        hold_after(),
        hold_after(HoldEvent.STATE_LEFT),
        hold_after(HoldEvent.RESERVATION_WRITTEN, HoldEvent.SLOT_CONFIRMED),
    ]
    summary = summarize(holds, 350.0)
    assert (summary.requests, summary.unclaimed, summary.oldest_unclaimed_ms) == (2, 1, 250)


@pytest.mark.parametrize(
    ("records", "violated"),
    [
        ([(0.0, SLOT), (LIMIT_S - 0.01, RELEASE)], False),
        ([(0.0, SLOT), (LIMIT_S + 0.01, RELEASE)], True),
        ([(0.0, SLOT)], True),
        ([(0.0, SLOT), (0.1, BEGUN), (5.0, ENDED), (5.1, STATE), (5.2, RELEASE)], False),
        ([(0.0, SLOT), (0.1, BEGUN), (5.0, RELEASE), (5.1, ENDED)], True),
        ([(0.0, STATE), (LIMIT_S + 0.1, BEGUN), (LIMIT_S + 0.2, STREAM)], True),
        ([(0.0, STATE), (0.2, BEGUN), (3.0, STREAM), (4.0, ENDED)], False),
    ],
    ids=["in time", "late", "never", "claimed", "release before the end", "begun late", "stream"],
)
def test_hold_audit_reports_state_that_is_neither_claimed_nor_released_in_time(
    records: list[tuple[float, HostRecord]], violated: bool
) -> None:
    evidence = HoldEvidence(ended_at=10.0)
    for at, record in records:
        evidence.record(at, record, "q1", "w1")
    assert bool(audit_holds(evidence, RETENTION_S)) is violated


def test_hold_audit_excuses_the_time_in_which_the_dispatcher_did_not_run() -> None:
    evidence = HoldEvidence(ended_at=10.0)
    evidence.record(0.0, SLOT, "q1", "w1")
    evidence.record(3.2, RELEASE, "q1", "r1")
    assert audit_holds(evidence, RETENTION_S)
    evidence.excuse(["q1"], 3.0)
    assert not audit_holds(evidence, RETENTION_S)


# Guards against soak seeds that fail beside other work: the rig noticed closes after the releases behind them
@pytest.mark.parametrize("closed_before_release", [True, False])
def test_a_release_counts_after_the_close_that_came_before_it(closed_before_release: bool) -> None:
    evidence = HoldEvidence(ended_at=10.0)
    times = iter([0.0, 0.1, 0.2, 0.3, 0.4])
    recorder = HoldRecorder(evidence, "r1", lambda: next(times))
    attempt = HostAttempt("q1", "r1", Role.PREFILL, "z0", 0, 0.0)
    recorder.slot_reserved("q1")
    recorder.attempt_begun(attempt, lambda: closed_before_release)
    recorder.release_taken("q1")
    recorder.attempt_ended(attempt, leaves_state=False)  # when the rig notices the close
    assert bool(audit_holds(evidence, RETENTION_S)) is not closed_before_release
    assert evidence.close_checks["q1"] == {}
