"""The socket auditor: a run without faults passes, and each planted fault is found by its rule."""

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
    """One request, sent at 1.0 with a deadline of 2 s, prefilled at 1.1, decoded at 1.2, served by 1.5."""

    evidence: Evidence
    exchange: ClientExchange
    prefill: HostAttempt
    decode: HostAttempt

    def add(self, attempt: HostAttempt) -> None:
        self.evidence.attempts.append(attempt)


def attempt(host: str, role: Role, at: float, until: float, told_s: float) -> HostAttempt:
    return HostAttempt("q", host, role, "z0", 0, at, told_s, closed_at=until)


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
    """The same, but the decode failed with no event, and the client got this status at 1.5."""
    run = served(class_index)
    run.decode.events = bytearray()
    run.decode.stream_ended_at = None
    run.exchange.status = status
    run.exchange.body = bytearray(b"text")
    return run


def rules(run: Run, **changes: bool | int) -> list[Rule]:
    with_settings = settings(**changes)  # type: ignore[arg-type]
    return [each.rule for each in audit(with_settings, DRAIN_GRACE_S, run.evidence)]


def repeated(class_index: int, after_s: float, zone: str = "z0", cell: int = 0) -> Run:
    """The first decode failed, and another one served the request so much later."""
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
def test_a_run_without_faults_passes(class_index: int) -> None:
    assert rules(served(class_index)) == []


@pytest.mark.parametrize("status", [429, 500, 503])
def test_an_answer_without_a_stream_passes(status: int) -> None:
    assert rules(answered(status)) == []


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


def late(run: Run) -> None:
    run.exchange.first_byte_at = 3.7
    run.exchange.answered_at = 3.8
    run.decode.stream_ended_at = 3.75
    run.decode.last_event_at = 3.75
    run.decode.closed_at = 3.75


def answered_twice(run: Run) -> None:
    run.exchange.trailing_bytes = b"HTTP/1.1 503"


def read_and_resent(run: Run) -> None:
    run.exchange.resent_at = 1.12


# --- streams ---


def other_stream(run: Run) -> None:
    run.exchange.body = bytearray(b"data: other\n\n")


def spliced_stream(run: Run) -> None:
    run.add(attempt("d1", Role.DECODE, 1.16, 1.19, 1.7))
    run.evidence.attempts[-1].events = bytearray(b"data: one\n\ndata: 2\n\n")
    run.exchange.body = bytearray(b"data: one\n\ndata: 2\n\ndata: two\n\n")


def ended_for_the_host(run: Run) -> None:
    run.decode.stream_ended_at = None
    run.decode.stream_faulty = True


def ended_early(run: Run) -> None:
    run.exchange.body = bytearray(b"data: one\n\n")


def cut(run: Run) -> None:
    run.exchange.complete = False
    run.exchange.answered_at = None
    run.exchange.server_closed_at = 1.45


def cut_while_events_come(run: Run) -> None:
    cut(run)
    run.decode.stream_ended_at = None


def left_waiting(run: Run) -> None:
    cut(run)
    run.decode.stream_faulty = True
    run.exchange.server_closed_at = 6.8


def ended_late(run: Run) -> None:
    run.exchange.answered_at = 2.7


# --- what was forwarded ---


def forwarded_incomplete(run: Run) -> None:
    unanswered(run)
    run.exchange.sent_at = None


def forwarded_unknown(run: Run) -> None:
    stray = attempt("d1", Role.DECODE, 1.2, 1.3, 1.0)
    stray.request_id = "other"
    run.add(stray)


def forwarded_after_disconnect(run: Run) -> None:
    unanswered(run)
    run.exchange.client_closed_at = 1.08


def forwarded_after_answer(run: Run) -> None:
    run.add(attempt("p1", Role.PREFILL, 1.6, 1.7, 1.3))


def rest_delivered_late(run: Run) -> None:
    unanswered(run)
    run.exchange.client_closed_at = 1.08
    run.prefill.head_at = 1.07
    run.decode.head_at = 1.17


def told_too_much(run: Run) -> None:
    run.decode.received_deadline_s = 2.0


def forwarded_after_drain(run: Run) -> None:
    run.evidence.drains[(0, "d0")] = [0.8]


def hedged(run: Run) -> None:
    run.add(attempt("p1", Role.PREFILL, 1.05, 1.3, 1.9))


@pytest.mark.parametrize(
    ("plant", "rule"),
    [
        (unanswered, Rule.UNANSWERED),
        (closed_unanswered, Rule.CLOSED_UNANSWERED),
        (late, Rule.LATE_ANSWER),
        (answered_twice, Rule.SECOND_ANSWER),
        (read_and_resent, Rule.CLOSED_UNANSWERED),
        (other_stream, Rule.UNMATCHED_STREAM),
        (spliced_stream, Rule.UNMATCHED_STREAM),
        (ended_for_the_host, Rule.FALSE_COMPLETION),
        (ended_early, Rule.FALSE_COMPLETION),
        (cut, Rule.TRUNCATED),
        (cut_while_events_come, Rule.TRUNCATED),
        (left_waiting, Rule.SILENT_STREAM),
        (ended_late, Rule.LATE_END),
        (forwarded_incomplete, Rule.INCOMPLETE_REQUEST),
        (forwarded_unknown, Rule.UNKNOWN_REQUEST),
        (forwarded_after_disconnect, Rule.AFTER_DISCONNECT),
        (forwarded_after_answer, Rule.AFTER_ANSWER),
        (rest_delivered_late, Rule.LATE_DELIVERY),
        (told_too_much, Rule.DEADLINE_TOO_LONG),
        (forwarded_after_drain, Rule.AFTER_DRAIN),
        (hedged, Rule.HEDGED),
    ],
)
def test_a_planted_fault_is_found(plant: Callable[[Run], None], rule: Rule) -> None:
    run = served()
    plant(run)
    assert set(rules(run)) == {rule}


def test_within_its_slack_nothing_is_broken() -> None:
    run = served()
    run.decode.received_deadline_s = 1.94
    run.exchange.client_closed_at = 1.11
    run.exchange.waited_until = 1.11
    run.evidence.drains[(0, "d0")] = [0.93]
    assert rules(run) == []


def test_the_observers_own_lag_is_no_violation() -> None:
    run = served()
    run.decode.received_deadline_s = 2.0
    run.evidence.lag_s = 0.06
    assert rules(run) == []


def test_a_hedge_is_allowed_where_the_settings_say_so() -> None:
    run = served()
    hedged(run)
    assert rules(run, hedging=True) == []


def test_an_attempt_that_may_have_waited_in_a_queue_counts_from_when_it_was_read() -> None:
    """It came at some time before: whether two were out at once is not known before that."""
    run = served()
    run.prefill.closed_at = 1.35
    run.decode.read_at = 1.4
    assert rules(run) == []
    run.decode.read_at = 1.2
    assert rules(run) == [Rule.HEDGED]


def test_a_request_behind_another_is_due_after_its_answer() -> None:
    run = served()
    late(run)
    first = ClientExchange("first", 0, 0, 2.0, sent_at=0.9, answered_at=run.exchange.answered_at)
    run.exchange.pipelined_after = first
    assert rules(run) == []
    first.answered_at = 1.0
    assert rules(run) == [Rule.LATE_ANSWER]


def test_a_stream_may_end_late_for_a_client_that_reads_slowly() -> None:
    run = served()
    ended_late(run)
    run.exchange.reads_slowly = True
    assert rules(run) == []


def test_a_drain_counts_from_when_the_process_that_forwards_was_told() -> None:
    """A new process that could not reach its agent was judged by what the one before had been told."""
    run = served()
    run.evidence.process_starts[0] = [0.0, 0.9]
    run.evidence.drains[(0, "d0")] = [0.3]
    assert rules(run) == []
    run.evidence.drains[(0, "d0")] = [0.3, 0.92]
    run.decode.arrived_at = 1.3
    assert rules(run) == [Rule.AFTER_DRAIN]
    run.evidence.process_starts[0] = [0.0]
    assert rules(run) == [Rule.AFTER_DRAIN]


def test_attempts_are_counted() -> None:
    assert rules(served(), max_attempts=1) == [Rule.TOO_MANY_ATTEMPTS]


def test_a_killed_process_owes_no_answer() -> None:
    run = served()
    closed_unanswered(run)
    run.exchange.excused = "killed"
    assert rules(run) == []


def test_a_client_that_left_is_owed_no_answer() -> None:
    run = served()
    unanswered(run)
    run.exchange.client_closed_at = 1.3
    assert rules(run) == []


def test_an_unread_request_may_be_sent_once_more() -> None:
    run = served()
    run.exchange.resent_at = 1.05
    assert rules(run) == []


def test_a_stopped_process_may_answer_half_a_second_after_it_went_on() -> None:
    run = answered(503)
    run.exchange.answered_at = 4.0
    run.exchange.first_byte_at = 4.0
    assert rules(run) == [Rule.LATE_ANSWER]
    run.exchange.paused_until = 3.6
    assert rules(run) == []


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
def test_work_is_repeated_only_where_its_class_allows(run: Run, allowed: bool) -> None:
    assert (Rule.REPEATED not in rules(run)) is allowed


def test_what_was_declined_has_not_run() -> None:
    run = repeated(NON_IDEMPOTENT, 0.05)
    run.evidence.attempts[-1].declined = True
    assert rules(run) == []


@pytest.mark.parametrize(
    ("class_index", "allowed"),
    [(IDEMPOTENT, True), (KEYED, True), (NON_IDEMPOTENT, False), (KEYED_ZONE, False), (KEYED_CELL, False)],
)
def test_a_rejection_promises_that_a_retry_is_harmless(class_index: int, allowed: bool) -> None:
    run = answered(503, class_index)
    assert rules(run) == ([] if allowed else [Rule.UNSAFE_REJECTION])
    run.decode.declined = True
    assert rules(run) == []
