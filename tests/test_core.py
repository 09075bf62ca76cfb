"""The core by itself: a scripted module, a driver that only notes, and a clock that is handed in."""

from __future__ import annotations

import math
from typing import Any

import pytest

from tests.front import READERS, SETTINGS, WRITERS
from violetstack.core.attempts import MIN_CONNECT_TIMEOUT_MS
from violetstack.core.dispatcher import Dispatcher
from violetstack.core.errors import DuplicateRequestError
from violetstack.core.records import Attempt, OpenRequest, ReleaseCall, ReservationCall
from violetstack.policy_api import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    FailRequest,
    RejectRequest,
    ReleaseState,
    Request,
    ReserveDecodeSlot,
    SendAttempt,
    TimerFired,
    UpdateScope,
)


class Noted:
    """Policy, driver and sink in one: acts as told, and notes what it is asked."""

    def __init__(self) -> None:
        self.next: list[Action] = []
        self.events: list[Event] = []
        self.attempts: list[Attempt] = []
        self.aborted: list[Attempt] = []
        self.places: list[ReservationCall] = []
        self.releases: list[ReleaseCall] = []
        self.answers: list[str] = []
        self.gone = False

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        self.events += events
        actions = self.next
        self.next = []
        return actions

    def start_attempt(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    def abort_attempt(self, attempt: Attempt) -> None:
        self.aborted.append(attempt)

    def reserve_decode_slot(self, call: ReservationCall) -> None:
        self.places.append(call)

    def release_state(self, call: ReleaseCall) -> None:
        self.releases.append(call)

    def check_health(self, server: str) -> None:
        pass

    def send_gossip(self, payload: bytes, /) -> None:
        pass

    def log(self, event: str, **fields: Any) -> None:
        pass

    def stream_started(self) -> None:
        self.answers.append("begun")

    def event(self, data: memoryview) -> None:
        self.answers.append("event")

    def finished(self) -> None:
        self.answers.append("finished")

    def stream_broken(self) -> None:
        self.answers.append("cut")

    def client_gone(self) -> bool:
        return self.gone

    def rejected(self, retry_after_ms: float) -> None:
        self.answers.append("refused")

    def failed(self, may_have_run: bool) -> None:
        self.answers.append(f"failed {may_have_run}")

    @property
    def statuses(self) -> list[AttemptStatus]:
        return [event.status for event in self.events if isinstance(event, AttemptFinished)]


class Scene:
    def __init__(self) -> None:
        self.noted = Noted()
        self.now = 1000.0
        self.core = Dispatcher(SETTINGS, self.noted, self.noted, 250.0)
        self.core.update_endpoints(self.now, EndpointUpdate(UpdateScope.CACHED, READERS + WRITERS, 1))
        self.request = self.take("q")
        self.run()

    def take(self, name: str) -> OpenRequest:
        asked = Request(name, 1, 0, None, 3000.0, None, None, 100.0, 0.0, 50.0, False, False)
        return self.core.accept(self.now, asked, self.noted, None)

    def run(self, *actions: Action, after: float = 0.0) -> None:
        self.now += after
        self.noted.next += actions
        if actions:
            self.core.pending_events.append(TimerFired("go"))
        self.core.run(self.now)

    def send(self, server: str, stop_after: float = 500.0) -> Attempt:
        self.run(SendAttempt("q", server, self.now + stop_after))
        return self.noted.attempts[-1]


@pytest.mark.parametrize(
    ("written", "status"), [(False, AttemptStatus.CONNECT_FAILED), (True, AttemptStatus.TIMEOUT)]
)
def test_only_what_was_written_may_have_run_at_its_time_limit(written: bool, status: AttemptStatus) -> None:
    scene = Scene()
    scene.send("w1").request_written = written
    scene.run(after=501.0)
    assert scene.noted.statuses == [status]
    assert scene.request.may_have_run is written


@pytest.mark.parametrize(
    ("written", "status"), [(False, AttemptStatus.ALREADY_FINISHED), (True, AttemptStatus.CANCELLED)]
)
def test_only_what_was_written_may_have_run_when_withdrawn(written: bool, status: AttemptStatus) -> None:
    scene = Scene()
    scene.send("w1").request_written = written
    scene.run(CancelAttempt("q", 0))
    assert scene.noted.statuses == [status]


def test_one_final_answer_whatever_is_decided_after_it() -> None:
    scene = Scene()
    scene.run(RejectRequest("q", 100.0), FailRequest("q"), SendAttempt("q", "w1", 0.0))
    scene.run(after=4000.0)
    assert scene.noted.answers == ["refused"]
    assert scene.noted.statuses == [AttemptStatus.ALREADY_FINISHED]
    assert not scene.core.open_requests


def test_a_request_left_open_is_failed_at_its_deadline() -> None:
    scene = Scene()
    scene.send("w1", stop_after=9000.0).request_written = True
    scene.run(after=3001.0)
    assert len(scene.noted.answers) == 1
    assert ClientDisconnected("q") in scene.noted.events or scene.noted.statuses == [AttemptStatus.TIMEOUT]


def test_a_begun_stream_has_no_deadline_and_its_break_is_the_answer() -> None:
    scene = Scene()
    attempt = scene.send("w1")
    assert scene.core.stream_started(scene.now, attempt)
    scene.run(after=9000.0)
    assert scene.noted.answers == ["begun"]
    scene.core.attempt_finished(scene.now, attempt, AttemptStatus.RESET)
    scene.run(RejectRequest("q", 0.0))
    assert scene.noted.answers == ["begun", "cut"]


@pytest.mark.parametrize(
    ("held", "nothing", "released"), [(None, False, 1), (True, False, 1), (False, True, 0)]
)
def test_a_place_is_released_after_the_end_unless_nothing_was_done(
    held: bool | None, nothing: bool, released: int
) -> None:
    scene = Scene()
    read = scene.send("r1")
    scene.run(ReserveDecodeSlot("q", "w1"))
    scene.core.attempt_finished(scene.now, read, AttemptStatus.CONNECT_FAILED)
    scene.run(RejectRequest("q", 0.0))
    scene.core.reservation_finished(scene.noted.places[0], held, nothing)
    scene.run()
    assert len(scene.noted.releases) == released


def test_a_place_answered_while_a_release_is_out_is_released_again() -> None:
    """The release may have come first."""
    scene = Scene()
    read = scene.send("r1")
    scene.run(ReserveDecodeSlot("q", "w1"))
    scene.core.attempt_finished(scene.now, read, AttemptStatus.PREFILLED)
    scene.run(RejectRequest("q", 0.0), ReleaseState("q"))
    scene.core.reservation_finished(scene.noted.places[0], None, False)
    scene.core.release_finished(scene.noted.releases[0], True)
    scene.run()
    assert len(scene.noted.releases) == 2


def test_the_same_while_the_request_goes_on() -> None:
    """The release was dropped and not made again, so that the place stayed held until the request's end."""
    scene = Scene()
    read = scene.send("r1")
    scene.run(ReserveDecodeSlot("q", "w1"))
    read.request_written = True
    scene.core.attempt_finished(scene.now, read, AttemptStatus.RESET)
    scene.run(ReleaseState("q"))
    scene.core.reservation_finished(scene.noted.places[0], True, False)
    assert [call.superseded for call in scene.noted.releases] == [True, False]
    scene.core.release_finished(scene.noted.releases[0], True)
    assert scene.request.holds_remote_state
    scene.core.release_finished(scene.noted.releases[1], True)
    assert not scene.request.holds_remote_state


def test_a_read_that_broke_is_released_since_it_may_have_ended_well() -> None:
    scene = Scene()
    read = scene.send("r1")
    read.request_written = True
    scene.core.attempt_finished(scene.now, read, AttemptStatus.RESET)
    scene.run(RejectRequest("q", 0.0))
    assert len(scene.noted.releases) == 1
    scene.core.release_finished(scene.noted.releases[0], True)
    scene.run()
    assert not scene.core.open_requests


def test_a_further_send_makes_a_release_pointless_once_it_goes_out_and_its_end_needs_one_again() -> None:
    """Decided on is not enough: its connection may never come up, and what is held has its time."""
    scene = Scene()
    scene.core.attempt_finished(scene.now, scene.send("r1"), AttemptStatus.PREFILLED)
    scene.run(ReleaseState("q"))
    read = scene.send("r2")
    assert not scene.noted.releases[0].superseded
    scene.core.request_started(read)
    assert scene.noted.releases[0].superseded
    scene.core.release_finished(scene.noted.releases[0], False)
    scene.core.attempt_finished(scene.now, read, AttemptStatus.ERROR)
    scene.run(RejectRequest("q", 0.0))
    assert len(scene.noted.releases) == 2


def test_a_place_call_that_is_not_answered_does_not_keep_a_state_from_being_released() -> None:
    """It waited for that call's end, 0.6 s, where half a second may be all that the rule gives."""
    scene = Scene()
    read = scene.send("r1")
    scene.run(ReserveDecodeSlot("q", "w1"))
    read.request_written = True
    scene.core.attempt_finished(scene.now, read, AttemptStatus.PREFILLED)
    scene.run(RejectRequest("q", 0.0))
    assert len(scene.noted.releases) == 1
    scene.core.release_finished(scene.noted.releases[0], True)
    scene.run()
    assert scene.core.open_requests  # the place may be taken after that release
    scene.core.reservation_finished(scene.noted.places[0], None, False)
    scene.run()
    assert len(scene.noted.releases) == 2
    scene.core.release_finished(scene.noted.releases[1], True)
    scene.run()
    assert not scene.core.open_requests


def test_connections_have_as_long_to_come_up_as_what_is_held_may_still_wait() -> None:
    """300 ms from the last outcome of what had reached a host; what never went out changes nothing."""
    scene = Scene()
    read = scene.send("r1")
    assert scene.core.connect_timeout_ms(scene.now, read) == math.inf
    read.request_written = True
    scene.core.attempt_finished(scene.now, read, AttemptStatus.PREFILLED)
    scene.now += 100.0
    write = scene.send("w1")
    assert scene.core.connect_timeout_ms(scene.now, write) == 200.0
    scene.core.attempt_finished(scene.now + 100.0, write, AttemptStatus.CONNECT_FAILED)
    scene.now += 100.0
    again = scene.send("w2")
    assert scene.core.connect_timeout_ms(scene.now, again) == 100.0
    assert scene.core.connect_timeout_ms(scene.now + 400.0, again) == MIN_CONNECT_TIMEOUT_MS
    again.request_written = True
    scene.core.attempt_finished(scene.now, again, AttemptStatus.REJECTED)
    assert scene.core.connect_timeout_ms(scene.now, scene.send("w1")) == 300.0


def test_a_client_that_leaves_ends_the_stream() -> None:
    scene = Scene()
    attempt = scene.send("w1")
    scene.core.stream_started(scene.now, attempt)
    scene.core.client_disconnected(scene.now, scene.request)
    scene.run()
    assert scene.noted.aborted == [attempt]
    assert not scene.core.open_requests


def test_a_front_whose_answer_fails_loses_that_answer_only() -> None:
    scene = Scene()
    scene.request.sink.finished = lambda: 1 / 0  # type: ignore[method-assign, assignment]
    scene.core.attempt_finished(scene.now, scene.send("w1"), AttemptStatus.OK)
    scene.run()
    assert not scene.core.open_requests


def test_an_id_that_is_open_is_not_taken_again() -> None:
    scene = Scene()
    with pytest.raises(DuplicateRequestError):
        scene.take("q")


def test_attempts_beyond_the_cap_are_not_sent() -> None:
    scene = Scene()
    for _ in range(SETTINGS.max_attempts + 1):
        scene.run(SendAttempt("q", "w1", 0.0))
        for attempt in list(scene.request.in_flight.values()):
            scene.core.attempt_finished(scene.now, attempt, AttemptStatus.REJECTED)
    scene.run()
    assert len(scene.noted.attempts) == SETTINGS.max_attempts
    assert scene.noted.statuses[-1] is AttemptStatus.ALREADY_FINISHED
