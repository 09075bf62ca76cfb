"""Checks the operators' rules at run time, independently of the code that has to keep them.

Each rule is checked where it would be broken: when the first or the last byte of an attempt is written, when
a request gets its response, and when its record is closed. A violation has no effect on requests; it is
counted by rule for the admin metrics and logged with the request, the attempt, the host and the request's
history.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from violetstack.core.records import Attempt, OpenRequest, RequestOutcome, WrittenExecution
from violetstack.policy_api import ClassSettings, Idempotency, Settings
from violetstack.policy_api.deduplication import share_deduplication_records

LATE_ANSWER_MS = 500.0
"""A response that is sent later than this after the deadline counts as missing."""
DEADLINE_SLACK_MS = 150.0
"""The remaining time that is sent to a host may exceed the client's remaining time by this much."""
MAX_SCHEDULING_DELAY_MS = 150.0
"""The operating system may suspend a process for this long between reading the clock and writing."""
HELD_STATE_SLACK_MS = 300.0
"""State that hosts hold has to be released at the latest this long after the retention time."""
MAX_LOGGED = 20
"""Number of violations of one rule that are logged; further ones are only counted."""
OWN_RESPONSE_OUTCOMES = frozenset(
    {
        RequestOutcome.REJECTED,
        RequestOutcome.FAILED,
        RequestOutcome.INVALID,
        RequestOutcome.DEADLINE_EXCEEDED,
    }
)
"""Outcomes whose response the dispatcher makes itself, so that it is due by the deadline."""


class Rule(StrEnum):
    """The operators' rules; the values are their names in the log, the metrics and the protocol page."""

    LOST = "lost"
    """Requests get their final response in time; nothing is sent for one that is over or lost its client."""
    FINAL_ANSWER = "final_answer"
    """Each request gets exactly one final response."""
    DUPLICATE = "duplicate"
    """A request that may not be repeated is executed once."""
    DRAIN = "drain"
    """No attempt is started at a host that is draining or removed."""
    DEADLINE = "deadline"
    """No host is given more time than the client has left."""
    HELD_STATE = "held"
    """State that hosts hold for a request is claimed or released in time."""


class InvariantChecker:
    """Checks the rules, and counts and logs violations.

    Attributes:
        violations: Number of violations by rule since the process started.
    """

    def __init__(self, settings: Settings, log: Callable[..., None]) -> None:
        """Creates a checker without violations, which logs them by `log`."""
        self.violations: Counter[Rule] = Counter()
        self._settings = settings
        self._log = log
        self._paused_until = float("-inf")

    def process_paused(self, now: float) -> None:
        """Records that the process has not run until now: responses due in the pause may be late."""
        self._paused_until = now

    # --- sending ---

    def check_first_byte(self, now: float, attempt: Attempt, *, host_accepts_requests: bool) -> None:
        """Checks an attempt whose first byte is written in this step."""
        request = attempt.request
        if not host_accepts_requests:
            self._record_violation(Rule.DRAIN, request, attempt, "the host is draining or removed")
        if not request.accepts_attempts:
            self._record_violation(
                Rule.LOST, request, attempt, "sent although the request is over or its client is gone"
            )
        if attempt.deadline > request.deadline + DEADLINE_SLACK_MS:
            self._record_violation(
                Rule.DEADLINE, request, attempt, "the host is given more time than the client has left"
            )
        attempt.first_byte_at = now

    def check_last_byte(self, now: float, attempt: Attempt) -> None:
        """Checks an attempt whose last byte is written in this step; a host may execute it from now on."""
        request = attempt.request
        if now - attempt.first_byte_at > DEADLINE_SLACK_MS + MAX_SCHEDULING_DELAY_MS:
            self._record_violation(
                Rule.DEADLINE, request, attempt, "the deadline given to the host is out of date"
            )
        if attempt.is_prefill:
            return
        spec = self._settings.classes[request.policy_request.class_index]
        if not _may_execute_again(now, attempt, spec):
            self._record_violation(Rule.DUPLICATE, request, attempt, "executed more than once")
        request.executions.append(WrittenExecution(attempt.number, now, attempt.endpoint))

    def discard_execution(self, attempt: Attempt) -> None:
        """Removes a recorded execution that did not happen: the host rejected the attempt or never got it."""
        request = attempt.request
        request.executions = [
            execution for execution in request.executions if execution.attempt_number != attempt.number
        ]

    # --- responses and the end of records ---

    def check_final_response(self, now: float, request: OpenRequest, outcome: RequestOutcome) -> None:
        """Checks a request that gets its final response or lost its client, before this is recorded."""
        if request.done:
            self._record_violation(
                Rule.FINAL_ANSWER, request, None, f"{outcome.value} after another final response"
            )
        late_ms = now - request.deadline
        paused = self._paused_until >= request.arrived_at
        if outcome in OWN_RESPONSE_OUTCOMES and late_ms > LATE_ANSWER_MS and not paused:
            self._record_violation(Rule.LOST, request, None, f"answered {late_ms:.0f} ms after its deadline")

    def record_release_overdue(self, now: float, request: OpenRequest) -> None:
        """Records that hosts may still hold state that should have been claimed or released by now."""
        since = request.hold.unclaimed_since
        if since is not None and self._paused_until < since:
            held_ms = now - since
            detail = f"{request.hold.state.value} for {held_ms:.0f} ms after '{request.hold.cause}'"
            self._record_violation(Rule.HELD_STATE, request, None, detail)

    def record_release_abandoned(self, request: OpenRequest) -> None:
        """Records that no host took the release."""
        self._record_violation(Rule.HELD_STATE, request, None, "no host took the release")

    def check_closed(self, request: OpenRequest) -> None:
        """Checks a request whose record is closed."""
        if request.outcome is None:
            self._record_violation(Rule.LOST, request, None, "closed without a final response")
        if request.hold.may_be_held:
            self._record_violation(Rule.HELD_STATE, request, None, "closed while hosts may hold state for it")

    def _record_violation(
        self, rule: Rule, request: OpenRequest, attempt: Attempt | None, detail: str
    ) -> None:
        self.violations[rule] += 1
        if self.violations[rule] > MAX_LOGGED:
            return
        self._log("invariant_violated", rule=rule.value, detail=detail, **_log_fields(request, attempt))


def _may_execute_again(now: float, attempt: Attempt, spec: ClassSettings) -> bool:
    """Returns whether the class allows one more execution now, given the executions written before."""
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
    """Returns the log fields that show how a violation came about."""
    return {
        "id": request.id,
        "cls": request.policy_request.class_index,
        "attempt": attempt.number if attempt is not None else None,
        "server": attempt.server if attempt is not None else None,
        "answer": request.outcome.value if request.outcome is not None else None,
        "attempts": [entry.as_row() for entry in request.attempt_log],
        "in_flight": [(other.server, other.request_written) for other in request.in_flight.values()],
        "places": [(entry.server, entry.outcome.value) for entry in request.reservation_log],
    }
