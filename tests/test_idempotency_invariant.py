"""The core keeps the rules on repeated execution whatever the policy asks for, in virtual time."""

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
ENDS_AFTER_WRITING = (AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.REJECTED, AttemptStatus.OK)
ENDS_BEFORE = (AttemptStatus.CONNECT_FAILED,)


class Written(NamedTuple):
    """An attempt whose last byte went out, and when."""

    at: float
    attempt: Attempt


class Play(CoreHarness):
    """A core whose policy asks for anything, and a driver that acts as the real one; both are scripted.

    Attributes:
        written: Attempts that hosts have received whole, in order.
        rejected: Numbers of those that their host rejected, and so never ran.
        ended: Numbers of those whose end the driver reported, with their connection closed or free.
        broken: Rules that were broken.
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
        self.written: list[Written] = []
        self.rejected: set[int] = set()
        self.ended: set[int] = set()
        self.broken: list[str] = []
        self.client_left_at: float | None = None

    def ask_for(self, action: Action) -> None:
        self.run(action)

    def pick(self, number: int) -> Attempt | None:
        """One of the attempts that the driver still runs."""
        running = [each for each in self.ports.attempts if not each.finished]
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
            self.written.append(Written(self.now, attempt))

    def end(self, attempt: Attempt, status: AttemptStatus) -> None:
        if attempt.request_written:
            wanted = status is not AttemptStatus.OK or self.core.stream_started(self.now, attempt)
            if status is AttemptStatus.CONNECT_FAILED or not wanted:
                status = AttemptStatus.RESET
            if status is AttemptStatus.REJECTED:
                self.rejected.add(attempt.number)
        elif status is not AttemptStatus.CONNECT_FAILED:
            return
        self.ended.add(attempt.number)
        self.core.attempt_finished(self.now, attempt, status)

    def leave(self) -> None:
        self.client_left_at = self.client_left_at or self.now
        self.core.client_disconnected(self.now, self.request)

    # --- the auditor ---

    def audit(self, attempt: Attempt) -> None:
        """Called as an attempt's last byte goes out."""
        if self.ports.answers:
            self.broken.append("after the answer")
        if self.client_left_at is not None:
            self.broken.append("after the client's end")
        if len(self.written) >= self.settings.max_attempts:
            self.broken.append("too many attempts")
        if self.now >= attempt.deadline or attempt.deadline > self.request.deadline:
            self.broken.append("after the deadline")
        others = [each for each in self.ports.attempts if each is not attempt]
        if any(not each.finished for each in others) and not self.settings.hedging_allowed:
            self.broken.append("beside another")
        closed = [each for each in others if each in self.ports.aborted or each.number in self.ended]
        if any(each.finished and each not in closed for each in others):
            self.broken.append("beside an open connection")
        if not attempt.is_prefill:
            self.audit_execution(attempt)

    def audit_execution(self, attempt: Attempt) -> None:
        runs = [each for each in self.written if not each.attempt.is_prefill]
        runs = [each for each in runs if each.attempt.number not in self.rejected]
        if not runs or self.spec.idempotency is Idempotency.IDEMPOTENT:
            return
        first = runs[0]
        if self.spec.idempotency is Idempotency.NON_IDEMPOTENT:
            self.broken.append("executed twice")
        elif self.now >= first.at + self.spec.deduplication_window_ms:
            self.broken.append("repeated after the window")
        elif not self.shares_records(first.attempt.server, attempt.server):
            self.broken.append("repeated outside the group")

    def shares_records(self, first: str, second: str) -> bool:
        hosts = {host.server: host for host in HOSTS}
        match self.spec.deduplication_scope:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return hosts[first].zone == hosts[second].zone
            case DeduplicationScope.CELL:
                return hosts[first].cell == hosts[second].cell


class Case(NamedTuple):
    """The settings of one play."""

    idempotency: Idempotency
    scope: DeduplicationScope
    hedging: bool
    cancel: bool
    survives: bool
    max_attempts: int

    @property
    def spec(self) -> ClassSettings:
        """The class of its request."""
        return replace(KEYED, idempotency=self.idempotency, deduplication_scope=self.scope)


class Step(NamedTuple):
    """What happens next; `what` names it and the other fields are used by those that need them."""

    what: str
    number: int
    server: str
    ms: float
    status: AttemptStatus


STEPS = st.builds(
    Step,
    # What makes plays long stands here more often.
    st.sampled_from(["attempt"] * 4 + ["send", "connect", "write", "end", "end", "wait", "rare"]),
    st.integers(0, 5),
    st.sampled_from(HOST_NAMES),
    st.sampled_from([0.0, 0.0, 60.0, 150.0, 299.0, 300.0]),
    st.sampled_from(ENDS_AFTER_WRITING + ENDS_BEFORE),
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
RARE = ("leave", "cancel", "reject", "fail", "drain", "gone")


def take(play: Play, step: Step) -> None:
    attempt = play.pick(step.number)
    what = RARE[step.number] if step.what == "rare" else step.what
    match what:
        case "send" | "attempt":
            play.ask_for(SendAttempt("q", step.server, play.now + step.ms if step.ms else 0.0))
            if what == "attempt" and play.ports.attempts:
                play.connect(play.ports.attempts[-1])
                play.write(play.ports.attempts[-1])
        case "wait":
            play.run(after=step.ms)
        case "leave":
            play.leave()
        case "cancel":
            play.ask_for(CancelAttempt("q", step.number % 3))
        case "reject":
            play.ask_for(RejectRequest("q", 0.0))
        case "fail":
            play.ask_for(FailRequest("q"))
        case "drain" | "gone":
            state = EndpointState.DRAINING if what == "drain" else EndpointState.REMOVED
            told = replace(HOSTS[HOST_NAMES.index(step.server)], state=state)
            play.core.update_endpoints(play.now, EndpointUpdate(UpdateScope.DELTA, (told,), 3))
        case "connect" if attempt is not None:
            play.connect(attempt)
        case "write" if attempt is not None:
            play.connect(attempt)
            play.write(attempt)
        case "end" if attempt is not None:
            play.end(attempt, step.status)
    if step.number % 2:
        play.run()  # else the loop comes back to the core only after the next step


@settings(max_examples=120, derandomize=True, deadline=None)
@given(case=CASES, steps=st.lists(STEPS, min_size=4, max_size=20))
def test_no_play_of_policy_hosts_and_client_breaks_a_rule(case: Case, steps: list[Step]) -> None:
    play = Play(case.spec, hedging=case.hedging, cancel=case.cancel, max_attempts=case.max_attempts)
    play.request.survives_disconnect = case.survives
    for step in steps:
        take(play, step)
    play.run(after=5000.0)
    assert play.broken == []
    final = [each for each in play.ports.answers if each not in ("stream_started", "event")]
    left_alone = play.client_left_at is not None and not case.survives
    streaming = play.request.committed_attempt is not None and not play.request.done
    assert len(final) == (0 if streaming or (left_alone and not final) else 1)


# --- each rule on its own ---


def test_a_non_idempotent_request_is_not_executed_twice_even_if_hedging_is_allowed() -> None:
    play = Play(NON_IDEMPOTENT_CLASS, hedging=True, cancel=True, max_attempts=4)
    first = play.send("w1")
    play.run(SendAttempt("q", "w2", 0.0))
    assert play.ports.attempts == [first]  # though the first is not even written
    play.run(SendAttempt("q", "r1", 0.0))
    assert len(play.ports.attempts) == 2  # a prefill has no effect
    play.write(first)
    play.end(first, AttemptStatus.RESET)
    play.run(SendAttempt("q", "m1", 0.0))
    assert len(play.ports.attempts) == 2  # a mixed host executes what it prefills


def test_a_non_idempotent_request_goes_out_again_after_a_rejection() -> None:
    play = Play(NON_IDEMPOTENT_CLASS, hedging=False, cancel=True, max_attempts=4)
    first = play.send("w1")
    play.connect(first)
    play.write(first)
    play.end(first, AttemptStatus.REJECTED)
    second = play.send("w2")
    play.connect(second)
    play.write(second)
    assert [each.attempt for each in play.written] == [first, second]


@pytest.mark.parametrize(("after", "sent"), [(290.0, True), (301.0, False)])
def test_a_deduplication_window_counts_from_the_first_attempt_though_a_later_one_ended_before(
    after: float, sent: bool
) -> None:
    """It counted from the attempt that ended first, and not at all while all were in flight."""
    play = Play(KEYED, hedging=True, cancel=True, max_attempts=4)
    first = play.send("w1", timeout_ms=2000.0)
    play.connect(first)
    play.write(first)
    play.run(after=150.0)
    second = play.send("w2", timeout_ms=2000.0)
    play.connect(second)
    play.write(second)
    play.end(second, AttemptStatus.RESET)
    play.run(after=after - 150.0)
    play.run(SendAttempt("q", "w3", 0.0))
    assert (len(play.ports.attempts) == 3) is sent


def test_the_rest_of_a_repetition_is_withheld_once_the_window_is_over() -> None:
    play = Play(KEYED, hedging=False, cancel=True, max_attempts=4)
    first = play.send("w1")
    play.connect(first)
    play.write(first)
    play.end(first, AttemptStatus.RESET)
    play.run(after=200.0)
    second = play.send("w2")
    play.connect(second)
    play.run(after=101.0)
    play.write(second)
    assert len(play.written) == 1


def test_an_attempt_past_its_own_deadline_is_not_written_before_its_timer_has_run() -> None:
    """The loop may write before it runs timers: the host was told that 1 ms was left."""
    play = Play(IDEMPOTENT_CLASS, hedging=False, cancel=True, max_attempts=4)
    attempt = play.send("w1", timeout_ms=100.0)
    play.now += 100.0
    assert not play.core.may_send(play.now, attempt)
