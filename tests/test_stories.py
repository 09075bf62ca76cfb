"""A complete dispatcher between scripted peers on loopback sockets: one test for each known failure."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from violetstack.config import parse_address
from violetstack.core.records import Attempt
from violetstack.daemon.daemon import Daemon
from violetstack.net import gossip, watch
from violetstack.net.gossip import DatagramDemultiplexer, GossipTransport
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.policy_api import Action, Event, GossipReceived
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import BODY, ask_platform, connect, platform_headers
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import CUT, DECLINE, ERROR, RESET, SILENT, Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import Stage, stage

TIMEOUT_S = 15.0


def play(*hosts: ModelHost, story: Callable[[Stage], Awaitable[None]], **changes: object) -> None:
    """Run a test's steps with a dispatcher between these hosts; `changes` are parameters of `stage`."""

    async def main() -> None:
        with trio.fail_after(TIMEOUT_S):
            async with stage(*hosts, **changes) as on:  # type: ignore[arg-type]
                await story(on)

    trio.run(main)


def pair(*acts: Act, prefill_acts: tuple[Act, ...] = ()) -> tuple[ModelHost, ModelHost]:
    """Return a prefill host that follows the script `prefill_acts`, and a decode host that follows `acts`."""
    return ModelHost("r", "prefill", *prefill_acts), ModelHost("w", "decode", *acts)


def test_a_request_is_prefilled_and_decoded_and_its_events_are_forwarded_unchanged() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "consulta")
        assert (answer.status, answer.whole, answer.events[-1]) == (200, True, b"[DONE]")
        assert answer.body.startswith(b'data: {"choices":[{"index":0,"delta":{"content":"')
        assert (prefill_host.received_ids, decode_host.received_ids) == (["q1"], ["q1"])
        assert prefill_host.bodies == decode_host.bodies
        assert decode_host.calls == [("POST", "q1")]

    play(prefill_host, decode_host, story=story)


def test_a_stream_that_breaks_ends_without_the_last_chunk_and_is_not_retried() -> None:
    prefill_host, decode_host = pair(CUT)

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "consulta")
        assert (answer.status, answer.whole, len(answer.events)) == (200, False, 2)
        assert decode_host.received_ids == ["q1"]

    play(prefill_host, decode_host, story=story)


@pytest.mark.parametrize("act", [ERROR, RESET], ids=["error", "reset"])
def test_an_order_that_may_have_run_fails_and_is_not_retried(act: Act) -> None:
    prefill_host, decode_host = pair(act)

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "orden")
        assert answer.status == 500
        assert decode_host.received_ids == ["q1"]

    play(prefill_host, decode_host, story=story)


def test_an_order_declined_by_every_decode_host_is_rejected_and_its_state_released() -> None:
    prefill_host, decode_host = pair(DECLINE, DECLINE, DECLINE, DECLINE, DECLINE)

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "orden")
        assert answer.outcome == "refused"
        assert 0 < float(answer.headers["retry-after"]) <= 0.5
        await trio.testing.wait_all_tasks_blocked()
        await prefill_host.until(lambda: ("DELETE", "q1") in prefill_host.calls + decode_host.calls)

    play(prefill_host, decode_host, story=story)


def test_a_cancelled_prefill_is_closed_before_the_rejection_is_sent() -> None:
    """Regression: an order was rejected while one of its attempts was still at a host."""
    prefill_host, decode_host = pair(prefill_acts=(SILENT,))

    async def story(on: Stage) -> None:
        core = on.daemon.core
        descriptors_after_abort = []
        abort = core.driver.abort_attempt

        def abort_and_record(attempt: Attempt) -> None:
            connection = on.daemon.upstream_driver.attempts.connection_of(attempt)
            assert connection is not None
            abort(attempt)
            descriptors_after_abort.append(connection.sock.fileno())

        core.driver.abort_attempt = abort_and_record  # type: ignore[method-assign]
        answer = await ask_platform(on.platform, "q1", "orden", Req_Deadline="400m")
        assert answer.outcome == "refused"
        assert descriptors_after_abort == [-1]

    play(prefill_host, decode_host, story=story)


def test_a_client_that_disconnects_during_a_stream_ends_the_attempt() -> None:
    resume_stream = trio.Event()
    prefill_host, decode_host = pair(Act(pause=resume_stream))

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), BODY)
        await call.receive(events=3)
        await call.stream.aclose()
        # The reservation was sent on a connection of its own.
        idle = on.daemon.upstream_driver.pool.hosts["w"].idle
        while len(decode_host.connections) > len(idle):
            await trio.testing.wait_all_tasks_blocked()
            resume_stream.set()
        assert len(idle) == 1 and not on.daemon.core.open_requests

    play(prefill_host, decode_host, story=story)


def test_a_host_that_closed_an_idle_connection_costs_no_attempt() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        prefill_host.hang_up()
        decode_host.hang_up()
        await trio.testing.wait_all_tasks_blocked()
        answer = await ask_platform(on.platform, "q2", "orden")
        assert (answer.outcome, decode_host.received_ids) == ("served", ["q1", "q2"])

    play(prefill_host, decode_host, story=story)


def test_a_drain_received_before_the_first_byte_is_sent_prevents_the_send() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        core = on.daemon.core
        core.draining.add("w")  # before the policy has the update
        answer = await ask_platform(on.platform, "q1", "orden")
        assert answer.outcome == "refused"
        assert (decode_host.received_ids, decode_host.calls) == ([], [])

    play(prefill_host, decode_host, story=story)


def test_an_uncertain_reservation_is_released() -> None:
    prefill_host, decode_host = pair(DECLINE, DECLINE, DECLINE, DECLINE, DECLINE)
    decode_host.on_call = lambda method, _: 204

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "consulta")
        await decode_host.until(lambda: ("DELETE", "q1") in prefill_host.calls + decode_host.calls)

    play(prefill_host, decode_host, story=story)


def test_a_release_goes_to_another_host_when_the_first_does_not_answer() -> None:
    prefill_host, decode_host = pair(prefill_acts=(SILENT,))

    async def story(on: Stage) -> None:
        answered = trio.Event()

        async def ask() -> None:
            await ask_platform(on.platform, "q1", "orden", Req_Deadline="300m")
            answered.set()

        on.nursery.start_soon(ask)
        await prefill_host.until(lambda: bool(prefill_host.received_ids))
        prefill_host.die()
        await answered.wait()
        await decode_host.until(lambda: ("DELETE", "q1") in decode_host.calls)

    play(prefill_host, decode_host, story=story)


def test_the_watch_reconnects_with_its_last_version() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        on.discovery.publish(decode_host.row(state="leaving"))
        while "w" not in on.daemon.core.draining:
            await trio.sleep(0.001)
        on.discovery.hang_up()
        while len(on.discovery.request_targets) < 2:
            await trio.sleep(0.001)
        assert on.discovery.request_targets[-1].endswith("index=2")

    play(prefill_host, decode_host, story=story)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"Req_Kind": "unknown"}, 400),
        ({"Req_Owner": "nobody"}, 400),
        ({"Req_Id": ""}, 400),
        ({"Req_Deadline": "soon"}, 400),
    ],
)
def test_invalid_headers_get_status_400_and_a_log_line(
    changes: dict[str, str], status: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta", **changes)).status == status

    play(*pair(), story=story)
    assert '"event":"client_rejected"' in capfd.readouterr().out


def test_a_body_over_the_limit_gets_status_413() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "consulta", text="x" * 300_000)
        assert answer.status == 413

    play(*pair(), story=story)


def test_during_shutdown_requests_are_served_and_streams_completed() -> None:
    resume_stream = trio.Event()
    prefill_host, decode_host = pair(Act(pause=resume_stream))

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), BODY)
        await call.receive(events=3)
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        during_shutdown = await ask_platform(on.platform, "q2", "consulta")
        assert (during_shutdown.outcome, during_shutdown.headers["connection"]) == ("served", "close")
        resume_stream.set()
        assert (await call.receive()).whole

    play(prefill_host, decode_host, story=story)


def test_a_body_beyond_the_memory_reserved_for_bodies_is_rejected() -> None:
    async def story(on: Stage) -> None:
        large = await ask_platform(on.platform, "q1", "consulta", text="x" * 200_000)
        assert (large.outcome, large.status) == ("refused", 503)
        assert (await ask_platform(on.platform, "q2", "consulta")).outcome == "served"

    play(*pair(), story=story, memory_mb=1.0)


def test_after_an_error_in_the_policy_the_request_is_answered_and_the_next_served() -> None:
    async def story(on: Stage) -> None:
        policy = on.daemon.core.policy
        handle = on.daemon.core.policy.handle

        def fail_once(now: float, events: list[Event]) -> list[Action]:
            policy.handle = handle  # type: ignore[method-assign]
            raise ZeroDivisionError

        policy.handle = fail_once  # type: ignore[method-assign]
        assert (await ask_platform(on.platform, "q1", "orden", Req_Deadline="200m")).status == 500
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"

    play(*pair(), story=story)


def test_an_error_while_one_attempt_ends_fails_no_other_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(on: Stage) -> None:
        finish = on.daemon.core.attempt_finished

        def fail_for_one(now: float, attempt: Attempt, *outcome: Any) -> None:
            if attempt.request.id == "q1":
                raise RuntimeError("broken")
            finish(now, attempt, *outcome)

        monkeypatch.setattr(on.daemon.core, "attempt_finished", fail_for_one)
        outcomes: list[str] = []

        async def ask(request_id: str, deadline: str) -> None:
            answer = await ask_platform(on.platform, request_id, "consulta", Req_Deadline=deadline)
            outcomes.append(answer.outcome)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "q1", "400m")
            nursery.start_soon(ask, "q2", "4000m")
        assert sorted(outcomes) in (["failed", "served"], ["refused", "served"])

    play(*pair(), story=story)


def test_an_entry_of_an_unknown_kind_does_not_invalidate_the_list() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        on.discovery.publish(
            {**decode_host.row(), "id": "x", "kind": "new"}, decode_host.row(state="leaving")
        )
        while "w" not in on.daemon.core.draining:
            await trio.sleep(0.001)
        assert "x" not in on.daemon.core.endpoints

    play(prefill_host, decode_host, story=story)


def test_a_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "STALL_TIMEOUT_S", 0.05)

    async def story(on: Stage) -> None:
        while len(on.discovery.request_targets) < 2:
            await trio.sleep(0.001)

    play(*pair(), story=story)


def test_one_of_200_dispatchers_reopens_a_silent_watch_within_the_grace_time_of_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: it waited 2.5 to 5 s, as after a rejection, though drains count as announced meanwhile."""
    monkeypatch.setattr(watch, "STALL_TIMEOUT_S", 0.05)

    async def story(on: Stage) -> None:
        for count in range(2, 7):
            started_at = trio.current_time()
            while len(on.discovery.request_targets) < count:
                await trio.sleep(0.001)
            assert trio.current_time() - started_at < 0.05 + 0.25

    play(*pair(), story=story, settings={"fleet_size": 200})


def test_only_datagrams_of_peers_are_accepted() -> None:
    async def story(on: Stage) -> None:
        core = on.daemon.core
        has_received = trio.Event()
        received: list[GossipReceived] = []

        def note(message: GossipReceived) -> None:
            received.append(message)
            has_received.set()

        core.gossip_received = note  # type: ignore[method-assign]
        peer, stranger = (trio.socket.socket(type=trio.socket.SOCK_DGRAM) for _ in range(2))
        with peer, stranger:
            await peer.bind(("127.0.0.1", 0))
            sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            await sock.bind(("127.0.0.1", 0))
            at = sock.getsockname()
            sock.close()
            transport = GossipTransport(at, [at, peer.getsockname()], peer.getsockname())
            on.nursery.start_soon(transport.run, DatagramDemultiplexer(core).receive)
            while not has_received.is_set():
                await stranger.sendto(b"no", at)
                await peer.sendto(b"hi", at)
                with trio.move_on_after(0.01):
                    await has_received.wait()
            transport.broadcast(b"ho")
            with trio.fail_after(2.0):
                assert await peer.recvfrom(16) == (b"ho", at)
        assert received[0] == GossipReceived(1, b"hi")

    play(*pair(), story=story)


def test_a_reservation_is_sent_after_the_prefill_request() -> None:
    """Regression: the decode host did not know the prefill yet and responded 204 (13% of calls)."""
    prefill_host, decode_host = pair()
    order: list[str] = []

    def note(method: str, _: str) -> int:
        order.append(method)
        return 200

    decode_host.on_call = note

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "consulta")  # opens the connections
        open_connection = on.daemon.upstream_driver.pool.open

        async def open_slowly(
            server: str, timeout_s: float, *, for_release: bool = False
        ) -> UpstreamConnection:
            if server == "r":
                await trio.testing.wait_all_tasks_blocked()
                order.append("prefill")
            return await open_connection(server, timeout_s, for_release=for_release)

        on.daemon.upstream_driver.pool.open = open_slowly  # type: ignore[method-assign]
        order.clear()
        await ask_platform(on.platform, "q2", "consulta")
        assert order == ["prefill", "POST"]

    play(prefill_host, decode_host, story=story)


def test_a_request_to_a_host_that_never_accepts_is_rejected_as_not_run() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(3):  # more than its backlog, so that further connections hang
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            on.daemon.upstream_driver.pool.hosts["w"].address = listener.getsockname()
            assert (await ask_platform(on.platform, "q1", "orden")).outcome == "refused"
            assert decode_host.received_ids == []

    play(prefill_host, decode_host, story=story)


class FaultyDiscovery(Discovery):
    """Sends invalid data on its first watch and the list afterwards, or always an error status."""

    def __init__(self, *rows: dict[str, object], first_data: bytes = b"", status: int = 200) -> None:
        super().__init__(*rows)
        self.first_data = first_data
        self.status = status

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if self.status != 200:
            self.request_targets.append(inbound.target)
            await connection.answer(self.status, [])
            return
        if not self.first_data:
            await super().handle(inbound, connection)
            return
        self.request_targets.append(inbound.target)
        await connection.start(200, [])
        await connection.data(self.first_data)
        self.first_data = b""
        await connection.until_closed()


GONE = b'{"id":"w","addr":"","kind":"decode","state":"left"}'
INVALID_DATA = {
    "invalid JSON": (b"what\n", "watch_closed"),
    "truncated JSON": (b'{"version":9,"servers":[{"id"\n', "watch_closed"),
    "older version": (b'{"version":4,"full":false,"servers":[%b]}\n' % GONE, "endpoint_list_stale"),
    "unknown state": (
        b'{"version":9,"servers":[{"id":"w","kind":"decode","state":"odd"}]}\n',
        "endpoint_list_updated",
    ),
    "unknown host": (
        b'{"version":9,"servers":[{"id":"x","state":"left"}]}\n',
        "endpoint_list_updated",
    ),
}


@pytest.mark.parametrize("name", INVALID_DATA)
def test_an_invalid_list_changes_nothing_and_is_logged(name: str, capfd: pytest.CaptureFixture[str]) -> None:
    data, event = INVALID_DATA[name]
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        capfd.readouterr()
        discovery = FaultyDiscovery(prefill_host.row(), decode_host.row(), first_data=data)
        discovery.version = 7
        await on.nursery.start(discovery.serve)
        current_watch = on.daemon.watch
        assert current_watch is not None
        current_watch.version = 7
        current_watch.address = parse_address(discovery.address)
        on.discovery.hang_up()
        output = ""
        while f'"event":"{event}"' not in output:
            output += capfd.readouterr().out
            await trio.sleep(0.001)
        assert set(on.daemon.core.endpoints) == {"r", "w"}
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"

    play(prefill_host, decode_host, story=story)


def test_a_dispatcher_that_starts_while_discovery_fails_serves_from_the_configured_list() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        discovery = FaultyDiscovery(status=503)
        await on.nursery.start(discovery.serve)
        second = Daemon(on.config(discovery=discovery.address))
        serving = await on.nursery.start(second.serve)
        while len(discovery.request_targets) < 2:  # it keeps retrying
            answer = await ask_platform(serving.platform, f"q{len(prefill_host.received_ids)}", "consulta")
            assert answer.outcome == "served"
        assert set(second.core.endpoints) == {"r", "w"}

    play(prefill_host, decode_host, story=story)


def test_an_occupied_gossip_address_is_retried_and_does_not_prevent_the_start(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Regression: a new process did not start beside one that does not share its address."""
    monkeypatch.setattr(gossip, "BIND_RETRY_S", 0.01)

    async def story(on: Stage) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            at = taken.getsockname()
            transport = GossipTransport(at, [at], reuse_address=True)
            on.nursery.start_soon(transport.run, DatagramDemultiplexer(on.daemon.core).receive)
            while "gossip_bind_failed" not in capfd.readouterr().out:
                await trio.sleep(0.001)
            assert not transport.bound
        while not transport.bound:
            await trio.sleep(0.001)
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"

    play(*pair(), story=story)
