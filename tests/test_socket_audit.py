"""Tests of the socket audit: a correct run has no violations, and each violation is reported by its rule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pytest

from violetstack.policy_api import Role, Settings
from violetstack.rehearsal.fleet.socket_audit import (
    ClientExchange,
    Evidence,
    HostAttempt,
    Rule,
    audit,
)
from violetstack.settings import SettingsMessage, decode_settings

IDEMPOTENT, KEYED, NON_IDEMPOTENT, KEYED_ZONE, KEYED_CELL = range(5)
DRAIN_GRACE_S = 0.25
EVENTS = b"data: one\n\ndata: two\n\n"


def settings(*, hedging: bool = False, max_attempts: int = 4) -> Settings:
    keyed = {"aim": 500.0, "give_up": 2000.0, "idempotency": "idempotency_key", "window": 300.0}
    message = {
        "classes": [
            {"aim": 500.0, "give_up": 2000.0, "idempotency": "read_like"},
            {**keyed, "group": "all"},
            {"aim": 500.0, "give_up": 2000.0, "idempotency": "non_idempotent"},
            {**keyed, "group": "zone"},
            {**keyed, "group": "cell"},
        ],
        "limits": {"max_attempts": max_attempts, "may_duplicate": hedging},
    }
    return decode_settings(msgspec.convert(message, SettingsMessage), 1)


@dataclass
class Run:
    """One request: sent at 1.0 with a deadline of 2 s, prefilled at 1.1, decoded at 1.2, served by 1.5."""

    evidence: Evidence
    exchange: ClientExchange
    prefill: HostAttempt
    decode: HostAttempt

    def add(self, attempt: HostAttempt) -> None:
        self.evidence.attempts.append(attempt)


def attempt(host: str, role: Role, at: float, until: float, received_deadline_s: float) -> HostAttempt:
    return HostAttempt("q", host, role, "z0", 0, at, received_deadline_s, closed_at=until)


def served(class_index: int = IDEMPOTENT) -> Run:
    exchange = ClientExchange(
        "q",
        class_index,
        0,
        2.0,
        sent_at=1.0,
        status=200,
        body=bytearray(EVENTS),
        first_byte_at=1.31,
        answered_at=1.5,
        complete=True,
    )
    prefill = attempt("p0", Role.PREFILL, 1.1, 1.15, 1.9)
    decode = attempt("d0", Role.DECODE, 1.2, 1.5, 1.8)
    decode.events = bytearray(EVENTS)
    decode.last_event_at = 1.49
    decode.stream_ended_at = 1.49
    return Run(Evidence({"q": exchange}, [prefill, decode]), exchange, prefill, decode)


def answered(status: int, class_index: int = IDEMPOTENT) -> Run:
    """As `served`, but the decode attempt failed without an event, and the client got this status at 1.5."""
    run = served(class_index)
    run.decode.events = bytearray()
    run.decode.stream_ended_at = None
    run.exchange.status = status
    run.exchange.body = bytearray(b"text")
    return run


def violated_rules(run: Run, **changes: bool | int) -> list[Rule]:
    run_settings = settings(**changes)  # type: ignore[arg-type]
    return [violation.rule for violation in audit(run_settings, DRAIN_GRACE_S, run.evidence)]


def repeated(class_index: int, after_s: float, zone: str = "z0", cell: int = 0) -> Run:
    """The first decode attempt failed, and another one served the request `after_s` later."""
    run = served(class_index)
    first = attempt("d1", Role.DECODE, 1.15, 1.18, 1.8)
    run.add(first)
    run.decode.zone = zone
    run.decode.cell = cell
    run.decode.arrived_at = first.arrived_at + after_s
    run.decode.received_deadline_s = 0.5
    run.exchange.first_byte_at = run.decode.arrived_at + 0.01
    return run


@pytest.mark.parametrize("class_index", [IDEMPOTENT, KEYED, NON_IDEMPOTENT, KEYED_ZONE, KEYED_CELL])
def test_a_run_without_faults_has_no_violations(class_index: int) -> None:
    assert violated_rules(served(class_index)) == []


@pytest.mark.parametrize("status", [429, 500, 503])
def test_an_answer_without_a_stream_has_no_violations(status: int) -> None:
    assert violated_rules(answered(status)) == []


# --- the final answer ---


def unanswered(run: Run) -> None:
    run.exchange.status = 0
    run.exchange.body = bytearray()
    run.exchange.first_byte_at = None
    run.exchange.answered_at = None
    run.exchange.complete = False
    run.exchange.waited_until = 4.0


def closed_unanswered(run: Run) -> None:
    unanswered(run)
    run.exchange.server_closed_at = 1.6


def answered_late(run: Run) -> None:
    run.exchange.first_byte_at = 3.7
    run.exchange.answered_at = 3.8
    run.decode.stream_ended_at = 3.75
    run.decode.last_event_at = 3.75
    run.decode.closed_at = 3.75


def answered_twice(run: Run) -> None:
    run.exchange.trailing_bytes = b"HTTP/1.1 503"


def resent_after_receipt(run: Run) -> None:
    run.exchange.resent_at = 1.12


# --- streams ---


def unmatched_stream(run: Run) -> None:
    run.exchange.body = bytearray(b"data: other\n\n")


def spliced_stream(run: Run) -> None:
    run.add(attempt("d1", Role.DECODE, 1.16, 1.19, 1.7))
    run.evidence.attempts[-1].events = bytearray(b"data: one\n\ndata: 2\n\n")
    run.exchange.body = bytearray(b"data: one\n\ndata: 2\n\ndata: two\n\n")


def completed_without_the_host(run: Run) -> None:
    run.decode.stream_ended_at = None
    run.decode.stream_faulty = True


def completed_early(run: Run) -> None:
    run.exchange.body = bytearray(b"data: one\n\n")


def stream_cut(run: Run) -> None:
    run.exchange.complete = False
    run.exchange.answered_at = None
    run.exchange.server_closed_at = 1.45


def stream_cut_during_events(run: Run) -> None:
    stream_cut(run)
    run.decode.stream_ended_at = None


def client_left_waiting(run: Run) -> None:
    stream_cut(run)
    run.decode.stream_faulty = True
    run.exchange.server_closed_at = 6.8


def stream_ended_late(run: Run) -> None:
    run.exchange.answered_at = 2.7


# --- forwarding ---


def incomplete_request_forwarded(run: Run) -> None:
    unanswered(run)
    run.exchange.sent_at = None


def unknown_request_forwarded(run: Run) -> None:
    stray = attempt("d1", Role.DECODE, 1.2, 1.3, 1.0)
    stray.request_id = "other"
    run.add(stray)


def forwarded_after_disconnect(run: Run) -> None:
    unanswered(run)
    run.exchange.client_closed_at = 1.08


def forwarded_after_answer(run: Run) -> None:
    run.add(attempt("p1", Role.PREFILL, 1.6, 1.7, 1.3))


def rest_of_request_delivered_late(run: Run) -> None:
    unanswered(run)
    run.exchange.client_closed_at = 1.08
    run.prefill.head_at = 1.07
    run.decode.head_at = 1.17


def deadline_too_long(run: Run) -> None:
    run.decode.received_deadline_s = 2.0


def forwarded_after_drain(run: Run) -> None:
    run.evidence.drains[(0, "d0")] = [0.8]


def hedged(run: Run) -> None:
    run.add(attempt("p1", Role.PREFILL, 1.05, 1.3, 1.9))


@pytest.mark.parametrize(
    ("add_violation", "rule"),
    [
        (unanswered, Rule.UNANSWERED),
        (closed_unanswered, Rule.CLOSED_UNANSWERED),
        (answered_late, Rule.LATE_ANSWER),
        (answered_twice, Rule.SECOND_ANSWER),
        (resent_after_receipt, Rule.CLOSED_UNANSWERED),
        (unmatched_stream, Rule.UNMATCHED_STREAM),
        (spliced_stream, Rule.UNMATCHED_STREAM),
        (completed_without_the_host, Rule.FALSE_COMPLETION),
        (completed_early, Rule.FALSE_COMPLETION),
        (stream_cut, Rule.TRUNCATED),
        (stream_cut_during_events, Rule.TRUNCATED),
        (client_left_waiting, Rule.SILENT_STREAM),
        (stream_ended_late, Rule.LATE_END),
        (incomplete_request_forwarded, Rule.INCOMPLETE_REQUEST),
        (unknown_request_forwarded, Rule.UNKNOWN_REQUEST),
        (forwarded_after_disconnect, Rule.AFTER_DISCONNECT),
        (forwarded_after_answer, Rule.AFTER_ANSWER),
        (rest_of_request_delivered_late, Rule.LATE_DELIVERY),
        (deadline_too_long, Rule.DEADLINE_TOO_LONG),
        (forwarded_after_drain, Rule.AFTER_DRAIN),
        (hedged, Rule.HEDGED),
    ],
)
def test_a_violation_is_reported_by_its_rule_alone(add_violation: Callable[[Run], None], rule: Rule) -> None:
    run = served()
    add_violation(run)
    assert set(violated_rules(run)) == {rule}


def test_deviations_within_the_tolerances_are_no_violations() -> None:
    run = served()
    run.decode.received_deadline_s = 1.94
    run.exchange.client_closed_at = 1.11
    run.exchange.waited_until = 1.11
    run.evidence.drains[(0, "d0")] = [0.93]
    assert violated_rules(run) == []


def test_the_lag_of_the_recording_process_is_no_violation() -> None:
    run = served()
    run.decode.received_deadline_s = 2.0
    run.evidence.lag_s = 0.06
    assert violated_rules(run) == []


def test_hedged_attempts_are_allowed_if_the_settings_allow_hedging() -> None:
    run = served()
    hedged(run)
    assert violated_rules(run, hedging=True) == []


def test_an_attempt_that_may_have_been_queued_counts_from_the_time_it_was_read() -> None:
    """It arrived at an unknown earlier time, so only an overlap after the read is certain."""
    run = served()
    run.prefill.closed_at = 1.35
    run.decode.read_at = 1.4
    assert violated_rules(run) == []
    run.decode.read_at = 1.2
    assert violated_rules(run) == [Rule.HEDGED]


def test_the_answer_to_a_pipelined_request_is_due_after_the_previous_answer() -> None:
    run = served()
    answered_late(run)
    first = ClientExchange("first", 0, 0, 2.0, sent_at=0.9, answered_at=run.exchange.answered_at)
    run.exchange.pipelined_after = first
    assert violated_rules(run) == []
    first.answered_at = 1.0
    assert violated_rules(run) == [Rule.LATE_ANSWER]


def test_a_stream_may_end_late_if_the_client_reads_slowly() -> None:
    run = served()
    stream_ended_late(run)
    run.exchange.reads_slowly = True
    assert violated_rules(run) == []


def test_a_drain_counts_from_when_the_forwarding_process_received_it() -> None:
    """Guards against judging a new process that cannot reach its agent by what its predecessor received."""
    run = served()
    run.evidence.process_starts[0] = [0.0, 0.9]
    run.evidence.drains[(0, "d0")] = [0.3]
    assert violated_rules(run) == []
    run.evidence.drains[(0, "d0")] = [0.3, 0.92]
    run.decode.arrived_at = 1.3
    assert violated_rules(run) == [Rule.AFTER_DRAIN]
    run.evidence.process_starts[0] = [0.0]
    assert violated_rules(run) == [Rule.AFTER_DRAIN]


def test_more_attempts_than_the_settings_allow_are_reported() -> None:
    assert violated_rules(served(), max_attempts=1) == [Rule.TOO_MANY_ATTEMPTS]


def test_a_killed_process_need_not_answer() -> None:
    run = served()
    closed_unanswered(run)
    run.exchange.excused = "killed"
    assert violated_rules(run) == []


def test_a_client_that_disconnected_need_not_be_answered() -> None:
    run = served()
    unanswered(run)
    run.exchange.client_closed_at = 1.3
    assert violated_rules(run) == []


def test_a_request_that_no_host_received_may_be_sent_again() -> None:
    run = served()
    run.exchange.resent_at = 1.05
    assert violated_rules(run) == []


def test_a_stopped_process_may_answer_half_a_second_after_it_continued() -> None:
    run = answered(503)
    run.exchange.answered_at = 4.0
    run.exchange.first_byte_at = 4.0
    assert violated_rules(run) == [Rule.LATE_ANSWER]
    run.exchange.paused_until = 3.6
    assert violated_rules(run) == []


@pytest.mark.parametrize(
    ("run", "allowed"),
    [
        (repeated(IDEMPOTENT, 1.0), True),
        (repeated(NON_IDEMPOTENT, 0.05), False),
        (repeated(KEYED, 0.2, zone="z1", cell=1), True),
        (repeated(KEYED, 0.4), False),
        (repeated(KEYED_ZONE, 0.2, cell=1), True),
        (repeated(KEYED_ZONE, 0.2, zone="z1"), False),
        (repeated(KEYED_CELL, 0.2, zone="z1"), True),
        (repeated(KEYED_CELL, 0.2, cell=1), False),
    ],
)
def test_work_may_be_repeated_only_as_its_class_allows(run: Run, allowed: bool) -> None:
    assert (Rule.REPEATED not in violated_rules(run)) is allowed


def test_a_declined_attempt_counts_as_not_run() -> None:
    run = repeated(NON_IDEMPOTENT, 0.05)
    run.evidence.attempts[-1].declined = True
    assert violated_rules(run) == []


@pytest.mark.parametrize(
    ("class_index", "allowed"),
    [(IDEMPOTENT, True), (KEYED, True), (NON_IDEMPOTENT, False), (KEYED_ZONE, False), (KEYED_CELL, False)],
)
def test_a_rejection_is_allowed_only_if_a_retry_is_harmless(class_index: int, allowed: bool) -> None:
    run = answered(503, class_index)
    assert violated_rules(run) == ([] if allowed else [Rule.UNSAFE_REJECTION])
    run.decode.declined = True
    assert violated_rules(run) == []
