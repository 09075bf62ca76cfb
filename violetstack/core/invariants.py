"""Checks of the operators' rules at run time, independent of the code that has to keep them.

Each rule has one check at the place where it would be broken: as the first or the last byte of an attempt is
written, as a request gets its response, as its record is closed. A violation changes nothing; it is counted
by rule for the admin metrics, and logged with the request, the attempt, the host and the request's course.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from violetstack.core.execution import share_deduplication_records
from violetstack.core.records import Attempt, OpenRequest, RequestOutcome, WrittenExecution
from violetstack.policy_api import ClassSettings, Idempotency, Settings

LATE_ANSWER_MS = 500.0
"""An answer that comes later than this after the deadline counts as none."""
DEADLINE_SLACK_MS = 150.0
"""What a host is told may exceed what is left to the client by this much."""
MAX_SCHEDULING_DELAY_MS = 150.0
"""The system may hold a process up for so long between reading its clock and writing."""
HELD_STATE_SLACK_MS = 300.0
"""State that hosts hold has to be released this long after the settings' time at the latest."""
MAX_LOGGED = 20
"""Violations of one rule that are logged in full; all are counted."""
OWN_RESPONSE_OUTCOMES = frozenset(
    {
        RequestOutcome.REJECTED,
        RequestOutcome.FAILED,
        RequestOutcome.INVALID,
        RequestOutcome.DEADLINE_EXCEEDED,
    }
)
"""Responses that the dispatcher makes itself, and that are due by the deadline."""


class Rule(StrEnum):
    """The operators' rules; the values are their names in the protocol page."""

    LOST = "lost"
    """Every request gets its final answer in time, and nothing is sent for a client that has gone."""
    FINAL_ANSWER = "final_answer"
    """It gets one."""
    DUPLICATE = "duplicate"
    """What may not be repeated is executed once."""
    DRAIN = "drain"
    """Nothing is sent to a host that is draining or removed."""
    DEADLINE = "deadline"
    """No host is told more time than the client has left."""
    HELD_STATE = "held"
    """What hosts hold for a request is taken or released in time."""


class InvariantChecker:
    """Counts and logs violations.

    Attributes:
        violations: Number of violations by rule, since the start.
    """

    def __init__(self, settings: Settings, log: Callable[..., None]) -> None:
        """Creates a checker without violations; `log` writes a log line."""
        self.violations: Counter[Rule] = Counter()
        self._settings = settings
        self._log = log
        self._paused_until = float("-inf")

    def process_paused(self, now: float) -> None:
        """The process did not run until now: answers that were due meanwhile are late by no fault of its."""
        self._paused_until = now

    # --- sending ---

    def check_first_byte(self, now: float, attempt: Attempt, *, host_accepts_requests: bool) -> None:
        """The first byte of an attempt is written in this step."""
        request = attempt.request
        if not host_accepts_requests:
            self._record_violation(Rule.DRAIN, request, attempt, "the host is draining or removed")
        if not request.accepts_attempts:
            self._record_violation(Rule.LOST, request, attempt, "sent for a request that is over")
        if attempt.deadline > request.deadline + DEADLINE_SLACK_MS:
            self._record_violation(Rule.DEADLINE, request, attempt, "told more than the client has left")
        attempt.first_byte_at = now

    def check_last_byte(self, now: float, attempt: Attempt) -> None:
        """The last byte of an attempt is written in this step, and a host may execute it from now on."""
        request = attempt.request
        if now - attempt.first_byte_at > DEADLINE_SLACK_MS + MAX_SCHEDULING_DELAY_MS:
            self._record_violation(Rule.DEADLINE, request, attempt, "what was told is out of date")
        if attempt.is_prefill:
            return
        spec = self._settings.classes[request.policy_request.class_index]
        if not _may_execute_again(now, attempt, spec):
            self._record_violation(Rule.DUPLICATE, request, attempt, "executed more than once")
        request.executions.append(WrittenExecution(attempt.number, now, attempt.endpoint))

    def discard_execution(self, attempt: Attempt) -> None:
        """A host says that it has not executed the attempt, or the attempt never reached it."""
        request = attempt.request
        request.executions = [each for each in request.executions if each.attempt_number != attempt.number]

    # --- answers and ends ---

    def check_final_response(self, now: float, request: OpenRequest, outcome: RequestOutcome) -> None:
        """The request gets its final response, or its client is gone; called before that is recorded."""
        if request.done:
            self._record_violation(Rule.FINAL_ANSWER, request, None, f"{outcome.value} after another answer")
        late_ms = now - request.deadline
        paused = self._paused_until >= request.arrived_at
        if outcome in OWN_RESPONSE_OUTCOMES and late_ms > LATE_ANSWER_MS and not paused:
            self._record_violation(Rule.LOST, request, None, f"answered {late_ms:.0f} ms after its deadline")

    def record_release_overdue(self, now: float, request: OpenRequest) -> None:
        """Called while something is held that should have been taken over or released by now."""
        since = request.hold.unclaimed_since
        if since is not None and self._paused_until < since:
            held_ms = now - since
            detail = f"{request.hold.state.value} for {held_ms:.0f} ms after '{request.hold.cause}'"
            self._record_violation(Rule.HELD_STATE, request, None, detail)

    def record_release_abandoned(self, request: OpenRequest) -> None:
        """No host took the release."""
        self._record_violation(Rule.HELD_STATE, request, None, "no host took the release")

    def check_closed(self, request: OpenRequest) -> None:
        """The request's record is closed."""
        if request.outcome is None:
            self._record_violation(Rule.LOST, request, None, "closed without an answer")
        if request.hold.may_be_held:
            self._record_violation(Rule.HELD_STATE, request, None, "closed while hosts may hold its state")

    def _record_violation(
        self, rule: Rule, request: OpenRequest, attempt: Attempt | None, detail: str
    ) -> None:
        self.violations[rule] += 1
        if self.violations[rule] > MAX_LOGGED:
            return
        self._log("invariant_violated", rule=rule.value, detail=detail, **_log_fields(request, attempt))


def _may_execute_again(now: float, attempt: Attempt, spec: ClassSettings) -> bool:
    """Whether the class allows one more execution now, after those that were written before."""
    executions = attempt.request.executions
    if not executions or spec.idempotency is Idempotency.IDEMPOTENT:
        return True
    first = executions[0]
    if (
        spec.idempotency is Idempotency.NON_IDEMPOTENT
        or now >= first.written_at + spec.deduplication_window_ms
    ):
        return False
    return share_deduplication_records(first.endpoint, attempt.endpoint, spec.deduplication_scope)


def _log_fields(request: OpenRequest, attempt: Attempt | None) -> dict[str, Any]:
    """What led to a violation, for the log."""
    return {
        "id": request.id,
        "cls": request.policy_request.class_index,
        "attempt": attempt.number if attempt is not None else None,
        "server": attempt.server if attempt is not None else None,
        "answer": request.outcome.value if request.outcome is not None else None,
        "attempts": [each.as_row() for each in request.attempt_log],
        "in_flight": [(each.server, each.request_written) for each in request.in_flight.values()],
        "places": [(each.server, each.outcome.value) for each in request.reservation_log],
    }
