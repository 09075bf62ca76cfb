"""Tests of the dispatcher's core with a scripted policy, a recording driver and a simulated clock."""

from __future__ import annotations

import math
from typing import Any

import pytest
from msgspec.structs import replace

from tests.router_harness import DECODE_HOSTS, PREFILL_HOSTS, SETTINGS, make_endpoint
from violetstack.core.attempts import MIN_CONNECT_TIMEOUT_MS
from violetstack.core.dispatcher import Dispatcher
from violetstack.core.errors import DuplicateRequestError
from violetstack.core.hold_manager import MAX_DELIVERY_MS
from violetstack.core.records import Attempt, OpenRequest, ReleaseCall, ReservationCall
from violetstack.core.remote_hold import HoldEvent
from violetstack.policy_api import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    Event,
    FailRequest,
    Idempotency,
    RejectRequest,
    ReleaseState,
    Request,
    ReserveDecodeSlot,
    SendAttempt,
    TimerFired,
    UpdateScope,
)
from violetstack.protocol.answer_events import AnswerEvent


class RecordingPorts:
    """Policy, driver and sink in one: returns scripted actions and records all calls."""

    def __init__(self) -> None:
        self.scripted_actions: list[Action] = []
        self.events: list[Event] = []
        self.attempts: list[Attempt] = []
        self.aborted: list[Attempt] = []
        self.reservations: list[ReservationCall] = []
        self.releases: list[ReleaseCall] = []
        self.answers: list[str] = []
        self.client_disconnected = False
        self.unacknowledged: list[Attempt] = []
        self.logged: list[tuple[str, dict[str, Any]]] = []

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        self.events += events
        actions = self.scripted_actions
        self.scripted_actions = []
        return actions

    def start_attempt(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    def is_fully_sent(self, attempt: Attempt) -> bool:
        return attempt not in self.unacknowledged

    def is_acknowledged(self, attempt: Attempt) -> bool:
        return attempt not in self.unacknowledged

    def abort_attempt(self, attempt: Attempt) -> None:
        self.aborted.append(attempt)

    def reserve_decode_slot(self, call: ReservationCall) -> None:
        self.reservations.append(call)

    def release_state(self, call: ReleaseCall) -> None:
        self.releases.append(call)

    def check_health(self, server: str) -> None:
        pass

    def send_gossip(self, payload: bytes, /) -> None:
        pass

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append((event, fields))

    def stream_started(self) -> None:
        self.answers.append("stream_started")

    def why_unforwardable(self, event: AnswerEvent) -> str:
        return ""

    def event(self, event: AnswerEvent) -> None:
        self.answers.append("event")

    def finished(self) -> None:
        self.answers.append("finished")

    def stream_broken(self) -> None:
        self.answers.append("stream_broken")

    def is_client_disconnected(self) -> bool:
        return self.client_disconnected

    def rejected(self, retry_after_ms: float, may_have_run: bool) -> None:
        self.answers.append("rejected")

    def failed(self, may_have_run: bool) -> None:
        self.answers.append(f"failed {may_have_run}")

    @property
    def statuses(self) -> list[AttemptStatus]:
        return [event.status for event in self.events if isinstance(event, AttemptFinished)]


class CoreHarness:
    """A dispatcher with one open request, `q`, and a clock that only `run` advances.

    Attributes:
        settings: `SETTINGS` with the changes that the test passes.
    """

    def __init__(self, **changes: Any) -> None:
        self.ports = RecordingPorts()
        self.now = 1000.0
        self.settings = replace(SETTINGS, **changes)
        self.core = Dispatcher(self.settings, self.ports, self.ports, 250.0)
        self.core.update_endpoints(
            self.now, EndpointUpdate(UpdateScope.CACHED, PREFILL_HOSTS + DECODE_HOSTS, 1)
        )
        self.request = self.accept("q")
        self.run()

    def accept(self, request_id: str) -> OpenRequest:
        request = Request(
            id=request_id,
            class_index=1,
            tenant_index=0,
            session=None,
            expires_in_ms=3000.0,
            expected_answer_ms=None,
            prefix_id=None,
            prompt_tokens=100.0,
            prefix_tokens=0.0,
            max_tokens=50.0,
            is_retry=False,
            is_resumed=False,
        )
        return self.core.accept(self.now, request, self.ports, None)

    def run(self, *actions: Action, after_ms: float = 0.0) -> None:
        """Advances the clock by `after_ms`, and has the policy return the actions."""
        self.now += after_ms
        self.ports.scripted_actions += actions
        if actions:
            self.core.pending_events.append(TimerFired("go"))
        self.core.run(self.now)

    def send(self, server: str, timeout_ms: float = 500.0) -> Attempt:
        self.run(SendAttempt("q", server, self.now + timeout_ms))
        return self.ports.attempts[-1]


@pytest.mark.parametrize(
    ("written", "status"), [(False, AttemptStatus.CONNECT_FAILED), (True, AttemptStatus.TIMEOUT)]
)
def test_timed_out_attempt_counts_as_possibly_executed_only_if_written(
    written: bool, status: AttemptStatus
) -> None:
    harness = CoreHarness()
    harness.send("w1").request_written = written
    harness.run(after_ms=501.0)
    assert harness.ports.statuses == [status]
    assert harness.request.may_have_run is written


@pytest.mark.parametrize(
    ("written", "status"), [(False, AttemptStatus.ALREADY_FINISHED), (True, AttemptStatus.CANCELLED)]
)
def test_cancelled_attempt_ends_as_cancelled_only_if_written(written: bool, status: AttemptStatus) -> None:
    harness = CoreHarness()
    harness.send("w1").request_written = written
    harness.run(CancelAttempt("q", 0))
    assert harness.ports.statuses == [status]


def test_request_gets_one_final_response_despite_later_actions() -> None:
    harness = CoreHarness()
    harness.run(RejectRequest("q", 100.0), FailRequest("q"), SendAttempt("q", "w1", 0.0))
    harness.run(after_ms=4000.0)
    assert harness.ports.answers == ["rejected"]
    assert harness.ports.statuses == [AttemptStatus.ALREADY_FINISHED]
    assert not harness.core.open_requests


def test_request_left_open_by_the_policy_fails_at_its_deadline() -> None:
    harness = CoreHarness()
    harness.send("w1", timeout_ms=9000.0).request_written = True
    harness.run(after_ms=3001.0)
    assert len(harness.ports.answers) == 1
    assert ClientDisconnected("q") in harness.ports.events or harness.ports.statuses == [
        AttemptStatus.TIMEOUT
    ]


def test_stream_has_no_deadline_and_breaking_it_is_the_final_response() -> None:
    harness = CoreHarness()
    attempt = harness.send("w1")
    assert harness.core.stream_started(harness.now, attempt)
    harness.run(after_ms=9000.0)
    assert harness.ports.answers == ["stream_started"]
    harness.core.attempt_finished(harness.now, attempt, AttemptStatus.RESET)
    harness.run(RejectRequest("q", 0.0))
    assert harness.ports.answers == ["stream_started", "stream_broken"]


@pytest.mark.parametrize(
    ("reserved", "nothing_reserved", "releases"), [(None, False, 1), (True, False, 1), (False, True, 0)]
)
def test_reservation_is_released_after_the_request_unless_nothing_was_reserved(
    reserved: bool | None, nothing_reserved: bool, releases: int
) -> None:
    harness = CoreHarness()
    prefill = harness.send("r1")
    harness.run(ReserveDecodeSlot("q", "w1"))
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.CONNECT_FAILED)
    harness.run(RejectRequest("q", 0.0))
    harness.core.reservation_finished(harness.now, harness.ports.reservations[0], reserved, nothing_reserved)
    harness.run()
    assert len(harness.ports.releases) == releases


def test_reservation_that_ends_during_a_release_is_released_again() -> None:
    """The release may have reached the host before the reservation did."""
    harness = CoreHarness()
    prefill = harness.send("r1")
    harness.run(ReserveDecodeSlot("q", "w1"))
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.PREFILLED)
    harness.run(RejectRequest("q", 0.0), ReleaseState("q"))
    harness.core.reservation_finished(harness.now, harness.ports.reservations[0], None, False)
    harness.core.release_finished(harness.now, harness.ports.releases[0], True)
    harness.run()
    assert len(harness.ports.releases) == 2


def test_reservation_that_ends_during_a_release_is_released_again_while_the_request_is_open() -> None:
    """Guards against a slot that stays reserved until the request ends, since the release is not repeated."""
    harness = CoreHarness()
    prefill = harness.send("r1")
    harness.run(ReserveDecodeSlot("q", "w1"))
    prefill.request_written = True
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.RESET)
    harness.run(ReleaseState("q"))
    harness.core.reservation_finished(harness.now, harness.ports.reservations[0], True, False)
    assert [call.superseded for call in harness.ports.releases] == [True, False]
    harness.core.release_finished(harness.now, harness.ports.releases[0], True)
    assert harness.request.hold.may_be_held
    harness.core.release_finished(harness.now, harness.ports.releases[1], True)
    harness.run(after_ms=MAX_DELIVERY_MS)
    assert (
        len(harness.ports.releases) == 3
    )  # the second may have reached a host before the end of the prefill did
    harness.core.release_finished(harness.now, harness.ports.releases[2], True)
    assert not harness.request.hold.may_be_held


def test_state_is_released_twice_after_a_prefill_whose_connection_broke() -> None:
    """Another host may take the first release before the prefill host notices the broken connection."""
    harness = CoreHarness()
    prefill = harness.send("r1")
    prefill.request_written = True
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.RESET)
    harness.run(RejectRequest("q", 0.0))
    assert len(harness.ports.releases) == 1
    harness.core.release_finished(harness.now, harness.ports.releases[0], True)
    harness.run(after_ms=MAX_DELIVERY_MS - 1.0)
    assert len(harness.ports.releases) == 1
    assert harness.core.open_requests
    harness.run(after_ms=1.0)
    assert len(harness.ports.releases) == 2
    harness.core.release_finished(harness.now, harness.ports.releases[1], True)
    harness.run()
    assert not harness.core.open_requests


def test_attempt_supersedes_a_release_once_it_is_written_and_needs_another_after_its_end() -> None:
    """Only starting it does not supersede the release: it may never connect while the held state expires."""
    harness = CoreHarness()
    harness.core.attempt_finished(harness.now, harness.send("r1"), AttemptStatus.PREFILLED)
    harness.run(ReleaseState("q"))
    prefill = harness.send("r2")
    assert not harness.ports.releases[0].superseded
    harness.core.request_started(harness.now, prefill)
    assert harness.ports.releases[0].superseded
    harness.core.release_finished(harness.now, harness.ports.releases[0], False)
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.ERROR)
    harness.run(RejectRequest("q", 0.0))
    assert len(harness.ports.releases) == 2


def test_unanswered_reservation_does_not_delay_the_release_of_state() -> None:
    """Guards against a release that waits 0.6 s for the reservation, longer than the retention of 0.5 s."""
    harness = CoreHarness()
    prefill = harness.send("r1")
    harness.run(ReserveDecodeSlot("q", "w1"))
    prefill.request_written = True
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.PREFILLED)
    harness.run(RejectRequest("q", 0.0))
    assert len(harness.ports.releases) == 1
    harness.core.release_finished(harness.now, harness.ports.releases[0], True)
    harness.run()
    assert harness.core.open_requests  # the slot may be reserved after that release
    harness.core.reservation_finished(harness.now, harness.ports.reservations[0], None, False)
    harness.run()
    assert len(harness.ports.releases) == 2
    harness.core.release_finished(harness.now, harness.ports.releases[1], True)
    harness.run()
    assert not harness.core.open_requests


def test_connect_timeout_is_the_rest_of_the_state_retention() -> None:
    """The retention is 300 ms from the end of the last attempt that was written; others do not count."""
    harness = CoreHarness()
    prefill = harness.send("r1")
    assert harness.core.connect_timeout_ms(harness.now, prefill) == math.inf
    prefill.request_written = True
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.PREFILLED)
    harness.now += 100.0
    decode = harness.send("w1")
    assert harness.core.connect_timeout_ms(harness.now, decode) == 200.0
    harness.core.attempt_finished(harness.now + 100.0, decode, AttemptStatus.CONNECT_FAILED)
    harness.now += 100.0
    again = harness.send("w2")
    assert harness.core.connect_timeout_ms(harness.now, again) == 100.0
    assert harness.core.connect_timeout_ms(harness.now + 400.0, again) == MIN_CONNECT_TIMEOUT_MS
    again.request_written = True
    harness.core.attempt_finished(harness.now, again, AttemptStatus.REJECTED)
    assert harness.core.connect_timeout_ms(harness.now, harness.send("w1")) == 300.0


def test_stream_is_aborted_when_its_client_disconnects() -> None:
    harness = CoreHarness()
    attempt = harness.send("w1")
    harness.core.stream_started(harness.now, attempt)
    harness.core.client_disconnected(harness.now, harness.request)
    harness.run()
    assert harness.ports.aborted == [attempt]
    assert not harness.core.open_requests


def test_exception_of_a_sink_only_loses_its_own_response() -> None:
    harness = CoreHarness()
    harness.request.sink.finished = lambda: 1 / 0  # type: ignore[method-assign, assignment]
    harness.core.attempt_finished(harness.now, harness.send("w1"), AttemptStatus.OK)
    harness.run()
    assert not harness.core.open_requests


def test_request_with_the_id_of_an_open_request_is_not_accepted() -> None:
    harness = CoreHarness()
    with pytest.raises(DuplicateRequestError):
        harness.accept("q")


def test_attempts_beyond_the_limit_are_not_sent() -> None:
    harness = CoreHarness()
    for _ in range(SETTINGS.max_attempts + 1):
        harness.run(SendAttempt("q", "w1", 0.0))
        for attempt in list(harness.request.in_flight.values()):
            harness.core.attempt_finished(harness.now, attempt, AttemptStatus.REJECTED)
    harness.run()
    assert len(harness.ports.attempts) == SETTINGS.max_attempts
    assert harness.ports.statuses[-1] is AttemptStatus.ALREADY_FINISHED


def test_failed_clean_up_does_not_prevent_the_clean_up_of_other_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = CoreHarness()
    other = harness.accept("other")
    harness.run()

    def fail(_call: ReleaseCall) -> None:
        raise RuntimeError("the driver fails")

    monkeypatch.setattr(harness.ports, "release_state", fail)
    harness.request.hold.apply(harness.now, HoldEvent.STATE_LEFT)
    for request in (harness.request, other):
        harness.core.client_disconnected(harness.now, request)
    harness.run()
    assert list(harness.core.open_requests) == ["q"]


@pytest.mark.parametrize("acknowledged", [True, False])
def test_unacknowledged_attempt_does_not_hold_state_beyond_its_retention(acknowledged: bool) -> None:
    """Guards against state that is held until the timeout of an attempt which its host never received."""
    harness = CoreHarness()
    prefill = harness.send("r1")
    harness.core.request_written(harness.now, prefill)
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.PREFILLED)
    decode = harness.send("w1", timeout_ms=2500.0)
    harness.core.request_written(harness.now, decode)
    if not acknowledged:
        harness.ports.unacknowledged.append(decode)
    harness.run(after_ms=SETTINGS.state_retention_ms)
    assert len(harness.ports.releases) == 1
    assert harness.ports.aborted == ([] if acknowledged else [decode])
    assert decode.finished is not acknowledged
    if not acknowledged:
        # The retention counts from the end of the prefill, not from that of the attempt that was never
        # received.
        assert harness.core.connect_timeout_ms(harness.now, harness.send("w2")) == MIN_CONNECT_TIMEOUT_MS
    harness.core.release_finished(harness.now, harness.ports.releases[0], True)
    if not acknowledged:
        assert harness.core.connect_timeout_ms(harness.now, harness.send("w1")) == math.inf
        harness.run(RejectRequest("q", 0.0))
    harness.core.attempt_finished(harness.now, decode, AttemptStatus.OK)


def test_undelivered_attempt_counts_as_possibly_executed() -> None:
    """Only its acknowledgement may have been lost, so a non-idempotent request is not sent again."""
    harness = CoreHarness()
    harness.core.attempt_finished(harness.now, harness.send("r1"), AttemptStatus.PREFILLED)
    decode = harness.send("w1", timeout_ms=2500.0)
    harness.core.request_written(harness.now, decode)
    harness.ports.unacknowledged.append(decode)
    harness.run(after_ms=SETTINGS.state_retention_ms)
    assert harness.request.may_have_run
    attempts_before = len(harness.ports.attempts)
    harness.run(SendAttempt("q", "w2", harness.now + 500.0))
    assert len(harness.ports.attempts) == attempts_before


def test_log_contains_the_reason_why_an_attempt_was_withheld() -> None:
    harness = CoreHarness()
    attempt = harness.send("w1")
    draining = make_endpoint("w1", 1, state=EndpointState.DRAINING)
    harness.core.update_endpoints(harness.now, EndpointUpdate(UpdateScope.DELTA, (draining,), 2))
    assert not harness.core.may_send(harness.now, attempt)
    harness.core.attempt_finished(harness.now, attempt, AttemptStatus.ALREADY_FINISHED)
    harness.run(RejectRequest("q", 0.0))
    (line,) = [fields for event, fields in harness.ports.logged if event == "request"]
    assert line["attempts"] == [("w1", "moot", 0, "host drains")]


@pytest.mark.parametrize("spoilt", [False, True])
def test_an_answer_that_cannot_be_read_counts_as_its_hosts_failure_after_the_first_event(
    spoilt: bool,
) -> None:
    """A broken connection does not: hosts close them for other reasons, too."""
    harness = CoreHarness()
    observed: list[tuple[str, bool]] = []

    class Observer:
        def endpoints_updated(self, now: float, update: EndpointUpdate) -> None: ...

        def attempt_observed(self, now: float, host: str, succeeded: bool) -> None:
            observed.append((host, succeeded))

    harness.core.use_outlier_observer(Observer())
    attempt = harness.send("w1")
    harness.core.request_written(harness.now, attempt)
    assert harness.core.stream_started(harness.now, attempt)
    if spoilt:
        harness.core.answer_spoilt(harness.now, attempt)
        harness.core.answer_spoilt(harness.now, attempt)
    harness.core.attempt_finished(harness.now, attempt, AttemptStatus.RESET)
    harness.run()
    (finished,) = [event for event in harness.ports.events if isinstance(event, AttemptFinished)]
    assert finished.answer_spoilt is spoilt
    assert observed == [("w1", True)] + [("w1", False)] * spoilt


def test_a_response_that_the_front_cannot_end_is_broken_instead() -> None:
    """Guards against requests without an answer after an exception in the front."""
    harness = CoreHarness()
    attempt = harness.send("w1")
    harness.core.request_written(harness.now, attempt)
    assert harness.core.stream_started(harness.now, attempt)

    def fail() -> None:
        raise ValueError("cannot be assembled")

    harness.ports.finished = fail  # type: ignore[method-assign]
    harness.core.attempt_finished(harness.now, attempt, AttemptStatus.OK)
    assert harness.ports.answers == ["stream_started", "stream_broken"]


def test_the_log_tells_which_attempts_were_repeats() -> None:
    keyed = replace(
        SETTINGS.classes[1], idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_window_ms=5000.0
    )
    harness = CoreHarness(classes=(SETTINGS.classes[0], keyed))
    harness.request.host_key = "key"
    prefill = harness.send("r1")
    harness.core.request_written(harness.now, prefill)
    harness.core.attempt_finished(harness.now, prefill, AttemptStatus.PREFILLED)
    for status in (AttemptStatus.REJECTED, AttemptStatus.RESET, AttemptStatus.RESET):
        decode = harness.send("w1")
        harness.core.request_written(harness.now, decode)
        harness.core.attempt_finished(harness.now, decode, status)
    harness.run(RejectRequest("q", 0.0))
    for number in range(2):
        harness.core.release_finished(harness.now, harness.ports.releases[number], True)
        harness.run(after_ms=SETTINGS.state_retention_ms)
    (line,) = [fields for event, fields in harness.ports.logged if event == "request"]
    assert (line["repeats"], line["key"]) == ([False, False, False, True], "key")
