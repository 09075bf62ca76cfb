"""Tests that the core enforces the rules on repeated execution, whatever the policy decides."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.router_harness import IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, make_endpoint
from tests.test_core import CoreHarness
from violetstack.core.records import Attempt
from violetstack.policy_api import (
    Action,
    AttemptStatus,
    CancelAttempt,
    ClassSettings,
    DeduplicationScope,
    EndpointState,
    EndpointUpdate,
    FailRequest,
    Idempotency,
    RejectRequest,
    SendAttempt,
    UpdateScope,
)

KEYED = replace(NON_IDEMPOTENT_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_window_ms=300.0)
HOSTS = (
    make_endpoint("r1", 0),
    make_endpoint("w1", 1, zone=0, cell=0),
    make_endpoint("w2", 1, zone=0, cell=1),
    make_endpoint("w3", 1, zone=1, cell=2),
    make_endpoint("m1", 2, zone=0, cell=0),
)
HOST_NAMES = [host.server for host in HOSTS]
STATUSES_AFTER_WRITING = (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.REJECTED, AttemptStatus.OK)
STATUSES_BEFORE_WRITING = (AttemptStatus.CONNECT_FAILED,)


class WrittenAttempt(NamedTuple):
    """An attempt whose last byte was written, and when."""

    written_at: float
    attempt: Attempt


class Scenario(CoreHarness):
    """A simulated sequence of steps: a core, a policy that takes any action, and a driver like the real one.

    Attributes:
        written: Attempts that hosts have received completely, in order.
        rejected: Numbers of the attempts that were rejected by their host and so not executed.
        ended: Numbers of the attempts whose end the driver reported; their connection is closed or idle.
        violations: Descriptions of the rule violations that the audit found.
    """

    def __init__(self, spec: ClassSettings, *, hedging: bool, cancel: bool, max_attempts: int) -> None:
        super().__init__(
            classes=(IDEMPOTENT_CLASS, spec),
            hedging_allowed=hedging,
            cancellation_allowed=cancel,
            max_attempts=max_attempts,
        )
        self.spec = spec
        self.core.update_endpoints(self.now, EndpointUpdate(UpdateScope.SNAPSHOT, HOSTS, 2))
        self.run()
        self.started: set[int] = set()
        self.written: list[WrittenAttempt] = []
        self.rejected: set[int] = set()
        self.ended: set[int] = set()
        self.violations: list[str] = []
        self.client_disconnected_at: float | None = None

    def perform(self, action: Action) -> None:
        self.run(action)

    def select_running(self, number: int) -> Attempt | None:
        """Returns one of the unfinished attempts, or None."""
        running = [attempt for attempt in self.ports.attempts if not attempt.finished]
        return running[number % len(running)] if running else None

    def connect(self, attempt: Attempt) -> None:
        if attempt.number not in self.started and self.core.may_send(self.now, attempt):
            self.started.add(attempt.number)
            self.core.request_started(self.now, attempt)

    def write(self, attempt: Attempt) -> None:
        if attempt.number not in self.started or attempt.request_written:
            return
        if self.core.may_continue_sending(self.now, attempt):
            self.audit(attempt)
            self.core.request_written(self.now, attempt)
            self.written.append(WrittenAttempt(self.now, attempt))

    def end(self, attempt: Attempt, status: AttemptStatus) -> None:
        if attempt.request_written:
            response_needed = status is not AttemptStatus.OK or self.core.stream_started(self.now, attempt)
            if status is AttemptStatus.CONNECT_FAILED or not response_needed:
                status = AttemptStatus.RESET
            if status is AttemptStatus.REJECTED:
                self.rejected.add(attempt.number)
        elif status is not AttemptStatus.CONNECT_FAILED:
            return
        self.ended.add(attempt.number)
        self.core.attempt_finished(self.now, attempt, status)

    def disconnect_client(self) -> None:
        self.client_disconnected_at = self.client_disconnected_at or self.now
        self.core.client_disconnected(self.now, self.request)

    # --- audit ---

    def audit(self, attempt: Attempt) -> None:
        """Records the rules that an attempt breaks whose last byte is written now."""
        if self.ports.answers:
            self.violations.append("sent after the final response")
        if self.client_disconnected_at is not None:
            self.violations.append("sent after the client disconnected")
        if len(self.written) >= self.settings.max_attempts:
            self.violations.append("too many attempts")
        if self.now >= attempt.deadline or attempt.deadline > self.request.deadline:
            self.violations.append("sent after the deadline")
        others = [other for other in self.ports.attempts if other is not attempt]
        if any(not other.finished for other in others) and not self.settings.hedging_allowed:
            self.violations.append("sent while another attempt is in flight")
        closed = [other for other in others if other in self.ports.aborted or other.number in self.ended]
        if any(other.finished and other not in closed for other in others):
            self.violations.append("sent while the connection of another attempt is open")
        if not attempt.is_prefill:
            self.audit_execution(attempt)

    def audit_execution(self, attempt: Attempt) -> None:
        executions = [entry for entry in self.written if not entry.attempt.is_prefill]
        executions = [entry for entry in executions if entry.attempt.number not in self.rejected]
        if not executions or self.spec.idempotency is Idempotency.IDEMPOTENT:
            return
        first = executions[0]
        if self.spec.idempotency is Idempotency.NON_IDEMPOTENT:
            self.violations.append("executed twice")
        elif self.now >= first.written_at + self.spec.deduplication_window_ms:
            self.violations.append("repeated after the deduplication window")
        elif not self.share_deduplication_records(first.attempt.server, attempt.server):
            self.violations.append("repeated outside the deduplication scope")

    def share_deduplication_records(self, first: str, second: str) -> bool:
        hosts = {host.server: host for host in HOSTS}
        match self.spec.deduplication_scope:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return hosts[first].zone == hosts[second].zone
            case DeduplicationScope.CELL:
                return hosts[first].cell == hosts[second].cell


class Case(NamedTuple):
    """The settings of one sequence of steps."""

    idempotency: Idempotency
    scope: DeduplicationScope
    hedging: bool
    cancel: bool
    continue_after_disconnect: bool
    max_attempts: int

    @property
    def spec(self) -> ClassSettings:
        """The class of the request."""
        return replace(KEYED, idempotency=self.idempotency, deduplication_scope=self.scope)


class Step(NamedTuple):
    """One step of a sequence; which of the other fields are used depends on its kind."""

    kind: str
    number: int
    server: str
    ms: float
    status: AttemptStatus


STEPS = st.builds(
    Step,
    # Steps that lead to long sequences are more frequent.
    st.sampled_from(["attempt"] * 4 + ["send", "connect", "write", "end", "end", "wait", "rare"]),
    st.integers(0, 5),
    st.sampled_from(HOST_NAMES),
    st.sampled_from([0.0, 0.0, 60.0, 150.0, 299.0, 300.0]),
    st.sampled_from(STATUSES_AFTER_WRITING + STATUSES_BEFORE_WRITING),
)
CASES = st.builds(
    Case,
    st.sampled_from(list(Idempotency)),
    st.sampled_from(list(DeduplicationScope)),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.integers(1, 6),
)
RARE_STEPS = ("disconnect", "cancel", "reject", "fail", "drain", "remove")


def perform_step(scenario: Scenario, step: Step) -> None:
    """Performs one step of a sequence."""
    attempt = scenario.select_running(step.number)
    kind = RARE_STEPS[step.number] if step.kind == "rare" else step.kind
    match kind:
        case "send" | "attempt":
            scenario.perform(SendAttempt("q", step.server, scenario.now + step.ms if step.ms else 0.0))
            if kind == "attempt" and scenario.ports.attempts:
                scenario.connect(scenario.ports.attempts[-1])
                scenario.write(scenario.ports.attempts[-1])
        case "wait":
            scenario.run(after_ms=step.ms)
        case "disconnect":
            scenario.disconnect_client()
        case "cancel":
            scenario.perform(CancelAttempt("q", step.number % 3))
        case "reject":
            scenario.perform(RejectRequest("q", 0.0))
        case "fail":
            scenario.perform(FailRequest("q"))
        case "drain" | "remove":
            state = EndpointState.DRAINING if kind == "drain" else EndpointState.REMOVED
            endpoint = replace(HOSTS[HOST_NAMES.index(step.server)], state=state)
            scenario.core.update_endpoints(scenario.now, EndpointUpdate(UpdateScope.DELTA, (endpoint,), 3))
        case "connect" if attempt is not None:
            scenario.connect(attempt)
        case "write" if attempt is not None:
            scenario.connect(attempt)
            scenario.write(attempt)
        case "end" if attempt is not None:
            scenario.end(attempt, step.status)
    if step.number % 2:
        scenario.run()  # otherwise the event loop runs the core only after the next step


@settings(max_examples=120, derandomize=True, deadline=None)
@given(case=CASES, steps=st.lists(STEPS, min_size=4, max_size=20))
def test_no_sequence_of_steps_of_policy_hosts_and_client_violates_a_rule(
    case: Case, steps: list[Step]
) -> None:
    scenario = Scenario(case.spec, hedging=case.hedging, cancel=case.cancel, max_attempts=case.max_attempts)
    scenario.request.survives_disconnect = case.continue_after_disconnect
    for step in steps:
        perform_step(scenario, step)
    scenario.run(after_ms=5000.0)
    assert scenario.violations == []
    final_responses = [
        answer for answer in scenario.ports.answers if answer not in ("stream_started", "event")
    ]
    abandoned = scenario.client_disconnected_at is not None and not case.continue_after_disconnect
    streaming = scenario.request.committed_attempt is not None and not scenario.request.done
    assert len(final_responses) == (0 if streaming or (abandoned and not final_responses) else 1)


# --- tests of single rules ---


def test_non_idempotent_request_is_not_executed_twice_even_if_hedging_is_allowed() -> None:
    scenario = Scenario(NON_IDEMPOTENT_CLASS, hedging=True, cancel=True, max_attempts=4)
    first = scenario.send("w1")
    scenario.run(SendAttempt("q", "w2", 0.0))
    assert scenario.ports.attempts == [first]  # although the first is not written yet
    scenario.run(SendAttempt("q", "r1", 0.0))
    assert len(scenario.ports.attempts) == 2  # a prefill has no effect
    scenario.write(first)
    scenario.end(first, AttemptStatus.RESET)
    scenario.run(SendAttempt("q", "m1", 0.0))
    assert len(scenario.ports.attempts) == 2  # a mixed host executes what it prefills


def test_non_idempotent_request_is_sent_again_after_a_rejection() -> None:
    scenario = Scenario(NON_IDEMPOTENT_CLASS, hedging=False, cancel=True, max_attempts=4)
    first = scenario.send("w1")
    scenario.connect(first)
    scenario.write(first)
    scenario.end(first, AttemptStatus.REJECTED)
    second = scenario.send("w2")
    scenario.connect(second)
    scenario.write(second)
    assert [entry.attempt for entry in scenario.written] == [first, second]


@pytest.mark.parametrize(("after", "sent"), [(290.0, True), (301.0, False)])
def test_deduplication_window_starts_at_the_first_attempt_even_if_a_later_one_ends_earlier(
    after: float, sent: bool
) -> None:
    """Guards against a window that starts only when the first attempt ends, or at the one that ends first."""
    scenario = Scenario(KEYED, hedging=True, cancel=True, max_attempts=4)
    first = scenario.send("w1", timeout_ms=2000.0)
    scenario.connect(first)
    scenario.write(first)
    scenario.run(after_ms=150.0)
    second = scenario.send("w2", timeout_ms=2000.0)
    scenario.connect(second)
    scenario.write(second)
    scenario.end(second, AttemptStatus.RESET)
    scenario.run(after_ms=after - 150.0)
    scenario.run(SendAttempt("q", "w3", 0.0))
    assert (len(scenario.ports.attempts) == 3) is sent


def test_rest_of_a_repetition_is_withheld_once_the_deduplication_window_is_over() -> None:
    scenario = Scenario(KEYED, hedging=False, cancel=True, max_attempts=4)
    first = scenario.send("w1")
    scenario.connect(first)
    scenario.write(first)
    scenario.end(first, AttemptStatus.RESET)
    scenario.run(after_ms=200.0)
    second = scenario.send("w2")
    scenario.connect(second)
    scenario.run(after_ms=101.0)
    scenario.write(second)
    assert len(scenario.written) == 1


def test_attempt_past_its_deadline_is_not_written_even_if_its_timer_has_not_run() -> None:
    """The event loop may write before it runs timers; the host would be given a deadline of 1 ms."""
    scenario = Scenario(IDEMPOTENT_CLASS, hedging=False, cancel=True, max_attempts=4)
    attempt = scenario.send("w1", timeout_ms=100.0)
    scenario.now += 100.0
    assert not scenario.core.may_send(scenario.now, attempt)
