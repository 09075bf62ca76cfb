"""Process pauses: knowledge from before a pause is outdated, and unread input is handled first."""

from __future__ import annotations

import socket
import time

import pytest
import trio
import trio.testing

from tests.router_harness import DECODE_HOSTS, SETTINGS, RouterHarness, make_endpoint
from tests.test_core import RecordingPorts
from tests.test_stories import play
from violetstack.core.dispatcher import Dispatcher
from violetstack.core.ports import Shed
from violetstack.gossip.codec import RESET_DATAGRAM, decode_load, encode_datagram, encode_load, endpoint_tag
from violetstack.net.gossip import DatagramDemultiplexer, GossipTransport
from violetstack.net.pause_detector import PauseDetector
from violetstack.policy_api import (
    AttemptFinished,
    AttemptStatus,
    EndpointState,
    EndpointUpdate,
    GossipReceived,
    ProcessPaused,
    Request,
    SendGossip,
    StartTimer,
    TimerFired,
    UpdateScope,
)
from violetstack.process_pause import PauseTracker, UnreadAge
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import BODY, Call, platform_headers
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import SETTINGS as STAGE_SETTINGS
from violetstack.rehearsal.stage import Stage

GRACE_MS = 250.0


def dispatcher_with_ports() -> tuple[Dispatcher, RecordingPorts]:
    ports = RecordingPorts()
    dispatcher = Dispatcher(SETTINGS, ports, ports, GRACE_MS)
    dispatcher.update_endpoints(1000.0, EndpointUpdate(UpdateScope.SNAPSHOT, DECODE_HOSTS, 1))
    dispatcher.run(1000.0)
    ports.events.clear()
    return dispatcher, ports


def request_expiring_in(expires_in_ms: float = 3000.0) -> Request:
    return Request("q1", 0, 0, None, expires_in_ms, None, None, 2000.0, 0.0, 200.0, False, False)


@pytest.mark.parametrize(
    ("timeout_ms", "waited_ms", "busy_ms", "pause_ms", "earliest_arrival"),
    [
        (100.0, 60.0, 5.0, 0.0, 1065.0),  # the wait ended when data arrived, just now
        (100.0, 0.2, 200.0, 0.0, 1000.0),  # a long iteration, in which the data may have arrived at any time
        (100.0, 0.2, 300.0, 300.2, 1000.0),  # an iteration longer than the threshold
        (100.0, 5000.0, 5.0, 5000.0, 1005.0),  # stopped during the wait
        (100.0, 115.0, 5.0, 0.0, 1120.0),  # the wait ended late because the machine was busy
        (100.0, 12.0, 1200.0, 1212.0, 1000.0),  # stopped in an iteration; no processor time right after it
        (100.0, 12.0, 5.0, 0.0, 1017.0),  # the same wait after a short iteration: the data had not waited
        (100.0, 60.0, 1200.0, 0.0, 2260.0),  # a long iteration, but no data was waiting after it
    ],
)
def test_a_pause_is_distinguished_from_a_wait(
    timeout_ms: float, waited_ms: float, busy_ms: float, pause_ms: float, earliest_arrival: float
) -> None:
    tracker = PauseTracker(1000.0, GRACE_MS)
    tracker.wait_started(1000.0 + busy_ms, timeout_ms)
    assert tracker.wait_ended(1000.0 + busy_ms + waited_ms) == pytest.approx(pause_ms)
    assert tracker.earliest_arrival == pytest.approx(earliest_arrival)


def pause_process(pause_ms: float) -> None:
    """Blocks the event loop, as if the process were stopped."""
    time.sleep(pause_ms / 1000.0)


class UnreadSource:
    """An input source with a number of unread messages; each query for unread input takes one of them."""

    def __init__(self, unread: int) -> None:
        self.unread = unread

    def has_unread_input(self) -> bool:
        self.unread -= 1
        return self.unread >= 0


def test_after_a_pause_the_sources_are_read_before_waiting_tasks_continue() -> None:
    unread_at_pause: list[int] = []
    pauses_ms: list[float] = []
    source = UnreadSource(5)

    def on_pause(pause_ms: float) -> None:
        unread_at_pause.append(source.unread)
        pauses_ms.append(pause_ms)

    async def block_the_loop() -> None:
        detector = PauseDetector(GRACE_MS, on_pause)
        detector.add_source(source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(detector.run)
            await trio.testing.wait_all_tasks_blocked()
            await detector.wait_caught_up()  # no pause: returns at once
            assert detector.max_unread_ms() == 0.0
            pause_process(1.2 * GRACE_MS)
            await trio.lowlevel.checkpoint()
            assert detector.catching_up
            assert detector.max_unread_ms() >= GRACE_MS
            await detector.wait_caught_up()
            assert not detector.catching_up
            nursery.cancel_scope.cancel()

    trio.run(block_the_loop)
    assert unread_at_pause == [-1]
    assert len(pauses_ms) == 1
    assert pauses_ms[0] >= 1.2 * GRACE_MS


def test_a_process_stopped_in_the_middle_of_an_iteration_reads_before_it_decides() -> None:
    """Regression: until the next wait for I/O, decisions were based on knowledge from before the stop."""
    pauses_ms: list[float] = []
    source = UnreadSource(2)

    async def main() -> None:
        detector = PauseDetector(GRACE_MS, pauses_ms.append)
        detector.add_source(source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(detector.run)
            await trio.testing.wait_all_tasks_blocked()
            pause_process(1.2 * GRACE_MS)
            await detector.wait_caught_up()  # in the same iteration
            assert len(pauses_ms) == 1
            assert source.unread < 0
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_drain_that_was_unread_during_a_pause_is_applied_before_requests() -> None:
    """Regression: attempts went to a draining host for another 170 ms if client sockets were read first.

    A drain is binding as soon as its update is read, whatever its age.
    """
    dispatcher, ports = dispatcher_with_ports()
    dispatcher.accept(5000.0, request_expiring_in(), ports, None)
    dispatcher.update_endpoints(
        5000.0,
        EndpointUpdate(UpdateScope.SNAPSHOT, (make_endpoint("w1", 1, state=EndpointState.DRAINING),), 2),
    )
    dispatcher.process_paused(0.0, 4000.0)
    dispatcher.run(5000.0)
    assert [type(event) for event in ports.events] == [ProcessPaused, EndpointUpdate, Request]
    assert not dispatcher.may_send_to("w1")


def test_a_request_that_was_unread_until_its_deadline_is_rejected_at_once() -> None:
    ports = RecordingPorts()
    dispatcher = Dispatcher(SETTINGS, ports, ports, GRACE_MS, max_unread=lambda: 4000.0)
    rejection = dispatcher.admit(5000.0, request_expiring_in(3000.0))
    request = request_expiring_in(6000.0)
    assert isinstance(rejection, Shed)
    assert rejection.reason == "unread"
    assert dispatcher.admit(5000.0, request) is None
    assert (request.expires_in_ms, request.age_ms) == (2000.0, 4000.0)


def test_a_pause_discards_gossip_and_no_estimator_learns_across_it() -> None:
    harness = RouterHarness(gossip_allowed=True)
    harness.handle(GossipReceived(1, encode_datagram([(endpoint_tag("r1"), encode_load(500.0))])))
    request = harness.submit()
    harness.handle(TimerFired("tell"), after=25.0)
    sent_payload = harness.only_action(SendGossip).payload
    remote_load = harness.state.remote_load
    statistics = harness.state.statistics
    assert remote_load.load_at(endpoint_tag("r1")) == decode_load(encode_load(500.0))
    harness.handle(ProcessPaused(5000.0), after=5000.0)
    assert remote_load.load_at(endpoint_tag("r1")) == 0.0
    assert harness.only_action(SendGossip).payload == RESET_DATAGRAM
    harness.handle(TimerFired("tell"), after=25.0)
    # All attempts in flight are announced again.
    assert harness.only_action(SendGossip).payload == sent_payload
    harness.finish_attempt(request, AttemptStatus.PREFILLED, duration_ms=5050.0)
    assert not statistics.completed_cost.value_at(harness.now)
    assert not statistics.prefill_times_ms.samples
    harness.handle(ProcessPaused(500.0), after=500.0)  # the decode attempt is in flight now
    harness.start_stream(request)
    assert not statistics.first_token_times_ms.samples
    harness.complete_request()
    assert statistics.completed_cost.value_at(harness.now)
    assert statistics.first_token_times_ms.samples


def test_a_load_report_read_after_a_pause_is_dated_before_it() -> None:
    harness = RouterHarness(load_report_fields=("x0",))
    request = harness.submit()
    harness.now += 5000.0
    prefill_host = harness.sent_attempts[request][0].server
    outcome = AttemptFinished(request, prefill_host, 0, AttemptStatus.PREFILLED, 5000.0, False, 0, (0.5,))
    harness.handle(ProcessPaused(5000.0), outcome)
    assert harness.endpoint(prefill_host).statistics.memory.reported_at == harness.now - 5000.0


def test_a_new_dispatcher_is_sent_all_attempts_in_flight() -> None:
    """Regression: it received only changes, so that it took full hosts for idle ones."""
    harness = RouterHarness(gossip_allowed=True)
    harness.submit()
    harness.handle(TimerFired("tell"), after=25.0)
    sent_payload = harness.only_action(SendGossip).payload
    harness.handle(GossipReceived(1, RESET_DATAGRAM), GossipReceived(2, RESET_DATAGRAM))
    assert 20.0 <= harness.actions_of(StartTimer)[0].delay_ms <= 200.0
    harness.handle(TimerFired("tell"), after=250.0)
    assert harness.only_action(SendGossip).payload == sent_payload


async def _first_datagram() -> bytes:
    dispatcher, _ = dispatcher_with_ports()
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as other:
        await other.bind(("127.0.0.1", 0))
        transport = GossipTransport(("127.0.0.1", 0), [], other.getsockname())
        transport.broadcast(RESET_DATAGRAM)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(transport.run, DatagramDemultiplexer(dispatcher).receive)
            with trio.fail_after(5.0):
                received: bytes = await other.recv(256)
            nursery.cancel_scope.cancel()
    return received


def test_a_datagram_broadcast_before_the_socket_is_bound_is_sent() -> None:
    """Regression: it was lost, and peers counted the load of the previous process until it expired."""
    assert trio.run(_first_datagram) == RESET_DATAGRAM


LEFT_MS = 500.0  # time until a request's deadline after the pause


class DeadlineRecorder(ModelHost):
    """Records the deadlines of the requests that it receives, in milliseconds."""

    def __init__(self, name: str, kind: str) -> None:
        super().__init__(name, kind)
        self.deadlines_ms: list[float] = []

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if "req-deadline" in inbound.headers:
            self.deadlines_ms.append(float(inbound.headers["req-deadline"].removesuffix("m")))
        await super().handle(inbound, connection)


def queue_request(on: Stage, name: str, deadline_ms: float) -> Call:
    """Writes a complete request to a new connection that has not been accepted yet."""
    sock = socket.create_connection(on.platform)
    call = Call(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))
    headers = [("Host", "x"), *platform_headers(name, "orden", Req_Deadline=f"{deadline_ms:.0f}m")]
    sock.sendall(
        b"".join(bytes(part) for part in call.http.request("POST", "/v1/chat/completions", headers, BODY))
    )
    sock.setblocking(False)
    return call


@pytest.mark.parametrize("pause_ms", [200.0, 400.0])
def test_a_deadline_sent_after_a_pause_below_the_drain_grace_period_excludes_the_pause(
    pause_ms: float,
) -> None:
    """Regression: unread time counted only in pauses of the grace period, until host sockets were read."""
    prefill_host = DeadlineRecorder("r", "prefill")

    async def story(on: Stage) -> None:
        await trio.testing.wait_all_tasks_blocked()
        calls = [queue_request(on, f"q{number}", pause_ms + LEFT_MS) for number in range(6)]
        pause_process(pause_ms)
        for call in calls:
            assert (await call.receive()).outcome == "served"
        assert len(prefill_host.deadlines_ms) == len(calls)
        # Each deadline was computed when the request was sent to the host, after the end of the pause.
        assert max(prefill_host.deadlines_ms) <= LEFT_MS + 100.0

    rules = {**STAGE_SETTINGS["rules"], "stop_sending_within": 1000.0}
    play(prefill_host, ModelHost("w", "decode"), story=story, settings={"rules": rules})


def test_unread_age_counts_a_gap_until_the_accept_queue_has_been_empty_for_a_while() -> None:
    age = UnreadAge()
    age.wait_ended(1000.0, 1000.0)
    assert age.max_age(1002.0, 1000.0) == 0.0
    age.wait_ended(1200.0, 1020.0)  # a gap of 180 ms
    queue = [True, True, True]  # afterwards it is empty
    for iteration in range(9):
        now = 1201.0 + iteration
        assert age.max_age(now, now) == pytest.approx(now - 1020.0)
        age.iteration_ended(now, lambda: bool(queue) and queue.pop())
        age.wait_ended(now, now)
    assert age.max_age(1210.0, 1210.0) == 0.0
    age.wait_ended(2000.0, 1800.0)
    age.iteration_ended(2900.0, lambda: True)
    assert age.max_age(2900.0, 2900.0) == 1100.0
    age.iteration_ended(3001.0, lambda: True)  # the queue never becomes empty
    assert age.max_age(3001.0, 3001.0) == 0.0


def test_unread_age_does_not_add_up_over_long_iterations() -> None:
    """Regression: each gap prolonged the previous one, until a slow process rejected all requests as old."""
    age = UnreadAge()
    now = 1000.0
    for _ in range(50):
        age.wait_ended(now + 150.0, now)
        now += 150.0
        assert age.max_age(now, now - 150.0) <= 7 * 150.0
        age.iteration_ended(now, lambda: False)
