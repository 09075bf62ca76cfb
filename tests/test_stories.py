"""Stories over loopback sockets: a whole dispatcher between scripted peers, one for each failure met."""

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

LIMIT_S = 15.0


def play(*hosts: ModelHost, story: Callable[[Stage], Awaitable[None]], **changes: object) -> None:
    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with stage(*hosts, **changes) as on:  # type: ignore[arg-type]
                await story(on)

    trio.run(main)


def pair(*acts: Act, reads: tuple[Act, ...] = ()) -> tuple[ModelHost, ModelHost]:
    return ModelHost("r", "prefill", *reads), ModelHost("w", "decode", *acts)


def test_a_request_is_read_then_written_and_its_events_pass_unchanged() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "consulta")
        assert (answer.status, answer.whole, answer.events[-1]) == (200, True, b"[DONE]")
        assert answer.body.startswith(b'data: {"choices":[{"index":0,"delta":{"content":"')
        assert (reader.received_ids, writer.received_ids) == (["q1"], ["q1"])
        assert reader.bodies == writer.bodies
        assert writer.calls == [("POST", "q1")]

    play(reader, writer, story=story)


def test_a_stream_that_breaks_ends_without_the_last_chunk_and_is_not_sent_again() -> None:
    reader, writer = pair(CUT)

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "consulta")
        assert (answer.status, answer.whole, len(answer.events)) == (200, False, 2)
        assert writer.received_ids == ["q1"]

    play(reader, writer, story=story)


@pytest.mark.parametrize("act", [ERROR, RESET], ids=["error", "reset"])
def test_an_order_that_may_have_run_fails_and_is_not_sent_again(act: Act) -> None:
    reader, writer = pair(act)

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "orden")
        assert answer.status == 500
        assert writer.received_ids == ["q1"]

    play(reader, writer, story=story)


def test_an_order_turned_away_by_every_writer_is_refused_and_its_state_released() -> None:
    reader, writer = pair(DECLINE, DECLINE, DECLINE, DECLINE, DECLINE)

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "orden")
        assert answer.outcome == "refused"
        assert 0 < float(answer.headers["retry-after"]) <= 0.5
        await trio.testing.wait_all_tasks_blocked()
        await reader.until(lambda: ("DELETE", "q1") in reader.calls + writer.calls)

    play(reader, writer, story=story)


def test_a_withdrawn_read_is_closed_before_the_refusal_reaches_the_client() -> None:
    """Else an order is refused while an attempt of it is still out (seen on a fleet day)."""
    reader, writer = pair(reads=(SILENT,))

    async def story(on: Stage) -> None:
        core = on.daemon.core
        closed = []
        abort = core.driver.abort_attempt

        def watched(attempt: Attempt) -> None:
            using = on.daemon.upstream_driver.attempts.connection_of(attempt)
            assert using is not None
            abort(attempt)
            closed.append(using.sock.fileno())

        core.driver.abort_attempt = watched  # type: ignore[method-assign]
        answer = await ask_platform(on.platform, "q1", "orden", Req_Deadline="400m")
        assert answer.outcome == "refused"
        assert closed == [-1]

    play(reader, writer, story=story)


def test_a_client_gone_in_the_middle_of_a_stream_ends_the_attempt() -> None:
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), BODY)
        await call.receive(events=3)
        await call.stream.aclose()
        # the place was asked for on a connection of its own
        idle = on.daemon.upstream_driver.pool.hosts["w"].idle
        while len(writer.connections) > len(idle):
            await trio.testing.wait_all_tasks_blocked()
            hold.set()
        assert len(idle) == 1 and not on.daemon.core.open_requests

    play(reader, writer, story=story)


def test_a_host_that_closed_an_idle_connection_costs_no_attempt() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        reader.hang_up()
        writer.hang_up()
        await trio.testing.wait_all_tasks_blocked()
        answer = await ask_platform(on.platform, "q2", "orden")
        assert (answer.outcome, writer.received_ids) == ("served", ["q1", "q2"])

    play(reader, writer, story=story)


def test_a_drain_told_before_the_first_byte_keeps_the_send_from_going_out() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        core = on.daemon.core
        core.draining.add("w")  # told before the module heard of it
        answer = await ask_platform(on.platform, "q1", "orden")
        assert answer.outcome == "refused"
        assert (writer.received_ids, writer.calls) == ([], [])

    play(reader, writer, story=story)


def test_a_place_of_which_nothing_is_known_is_released() -> None:
    reader, writer = pair(DECLINE, DECLINE, DECLINE, DECLINE, DECLINE)
    writer.on_call = lambda method, _: 204

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "consulta")
        await writer.until(lambda: ("DELETE", "q1") in reader.calls + writer.calls)

    play(reader, writer, story=story)


def test_a_release_goes_to_another_host_when_the_first_does_not_answer() -> None:
    reader, writer = pair(reads=(SILENT,))

    async def story(on: Stage) -> None:
        request = trio.Event()

        async def ask() -> None:
            await ask_platform(on.platform, "q1", "orden", Req_Deadline="300m")
            request.set()

        on.nursery.start_soon(ask)
        await reader.until(lambda: bool(reader.received_ids))
        reader.die()
        await request.wait()
        await writer.until(lambda: ("DELETE", "q1") in writer.calls)

    play(reader, writer, story=story)


def test_the_watch_reconnects_from_its_index() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        on.discovery.publish(writer.row(state="leaving"))
        while "w" not in on.daemon.core.draining:
            await trio.sleep(0.001)
        on.discovery.hang_up()
        while len(on.discovery.request_targets) < 2:
            await trio.sleep(0.001)
        assert on.discovery.request_targets[-1].endswith("index=2")

    play(reader, writer, story=story)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"Req_Kind": "unknown"}, 400),
        ({"Req_Owner": "nobody"}, 400),
        ({"Req_Id": ""}, 400),
        ({"Req_Deadline": "soon"}, 400),
    ],
)
def test_bad_headers_get_a_4xx_and_a_log_line(
    changes: dict[str, str], status: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta", **changes)).status == status

    play(*pair(), story=story)
    assert '"event":"client_rejected"' in capfd.readouterr().out


def test_a_body_over_the_limit_gets_413() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "consulta", text="x" * 300_000)
        assert answer.status == 413

    play(*pair(), story=story)


def test_sigterm_serves_on_and_finishes_what_was_taken() -> None:
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), BODY)
        await call.receive(events=3)
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        late = await ask_platform(on.platform, "q2", "consulta")
        assert (late.outcome, late.headers["connection"]) == ("served", "close")
        hold.set()
        assert (await call.receive()).whole

    play(reader, writer, story=story)


def test_bodies_beyond_the_memory_kept_for_them_are_refused() -> None:
    async def story(on: Stage) -> None:
        large = await ask_platform(on.platform, "q1", "consulta", text="x" * 200_000)
        assert (large.outcome, large.status) == ("refused", 503)
        assert (await ask_platform(on.platform, "q2", "consulta")).outcome == "served"

    play(*pair(), story=story, memory_mb=1.0)


def test_a_module_that_raises_ends_neither_the_program_nor_the_one_answer() -> None:
    async def story(on: Stage) -> None:
        decider = on.daemon.core.policy
        decide = on.daemon.core.policy.handle

        def broken(now: float, events: list[Event]) -> list[Action]:
            decider.handle = decide  # type: ignore[method-assign]
            raise ZeroDivisionError

        decider.handle = broken  # type: ignore[method-assign]
        assert (await ask_platform(on.platform, "q1", "orden", Req_Deadline="200m")).status == 500
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"

    play(*pair(), story=story)


def test_a_failure_over_the_end_of_one_attempt_ends_no_other_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(on: Stage) -> None:
        finish = on.daemon.core.attempt_finished

        def fail_for_one(now: float, attempt: Attempt, *outcome: Any) -> None:
            if attempt.request.id == "q1":
                raise RuntimeError("broken")
            finish(now, attempt, *outcome)

        monkeypatch.setattr(on.daemon.core, "attempt_finished", fail_for_one)
        answers: list[str] = []

        async def ask(request: str, wait_ms: str) -> None:
            answer = await ask_platform(on.platform, request, "consulta", Req_Deadline=wait_ms)
            answers.append(answer.outcome)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "q1", "400m")
            nursery.start_soon(ask, "q2", "4000m")
        assert sorted(answers) in (["failed", "served"], ["refused", "served"])

    play(*pair(), story=story)


def test_an_entry_of_an_unknown_kind_does_not_stop_the_list() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        on.discovery.publish({**writer.row(), "id": "x", "kind": "new"}, writer.row(state="leaving"))
        while "w" not in on.daemon.core.draining:
            await trio.sleep(0.001)
        assert "x" not in on.daemon.core.endpoints

    play(reader, writer, story=story)


def test_a_watch_that_falls_silent_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "STALL_TIMEOUT_S", 0.05)

    async def story(on: Stage) -> None:
        while len(on.discovery.request_targets) < 2:
            await trio.sleep(0.001)

    play(*pair(), story=story)


def test_one_of_200_opens_a_silent_watch_again_within_a_drains_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its agent's news count as told, watch or not; it waited 2.5 to 5 s, as one that was turned away."""
    monkeypatch.setattr(watch, "STALL_TIMEOUT_S", 0.05)

    async def story(on: Stage) -> None:
        for calls in range(2, 7):
            began = trio.current_time()
            while len(on.discovery.request_targets) < calls:
                await trio.sleep(0.001)
            assert trio.current_time() - began < 0.05 + 0.25

    play(*pair(), story=story, settings={"fleet_size": 200})


def test_only_peers_are_heard() -> None:
    async def story(on: Stage) -> None:
        core = on.daemon.core
        heard = trio.Event()
        told: list[GossipReceived] = []

        def note(message: GossipReceived) -> None:
            told.append(message)
            heard.set()

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
            while not heard.is_set():
                await stranger.sendto(b"no", at)
                await peer.sendto(b"hi", at)
                with trio.move_on_after(0.01):
                    await heard.wait()
            transport.broadcast(b"ho")
            with trio.fail_after(2.0):
                assert await peer.recvfrom(16) == (b"ho", at)
        assert told[0] == GossipReceived(1, b"hi")

    play(*pair(), story=story)


def test_a_place_is_asked_for_after_the_read_is_written() -> None:
    """Else the writer knows of no read and says 204 (13% of the calls on a calm day)."""
    reader, writer = pair()
    order: list[str] = []

    def note(method: str, _: str) -> int:
        order.append(method)
        return 200

    writer.on_call = note

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "consulta")  # opens the connections
        exchange = on.daemon.upstream_driver.pool.open

        async def slow(server: str, timeout_s: float, *, for_release: bool = False) -> UpstreamConnection:
            if server == "r":
                await trio.testing.wait_all_tasks_blocked()
                order.append("read")
            return await exchange(server, timeout_s, for_release=for_release)

        on.daemon.upstream_driver.pool.open = slow  # type: ignore[method-assign]
        order.clear()
        await ask_platform(on.platform, "q2", "consulta")
        assert order == ["read", "POST"]

    play(reader, writer, story=story)


def test_a_host_that_never_comes_up_has_run_nothing() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        with contextlib.ExitStack() as stack:
            full = stack.enter_context(socket.socket())
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            for _ in range(3):  # more than its queue holds: a further connection gets no answer
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            on.daemon.upstream_driver.pool.hosts["w"].address = full.getsockname()
            assert (await ask_platform(on.platform, "q1", "orden")).outcome == "refused"
            assert writer.received_ids == []

    play(reader, writer, story=story)


class Odd(Discovery):
    """Says the given lines on its first watch, then what it knows."""

    def __init__(self, *rows: dict[str, object], says: bytes = b"", status: int = 200) -> None:
        super().__init__(*rows)
        self.says = says
        self.status = status

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if self.status != 200:
            self.request_targets.append(inbound.target)
            await connection.answer(self.status, [])
            return
        if not self.says:
            await super().handle(inbound, connection)
            return
        self.request_targets.append(inbound.target)
        await connection.start(200, [])
        await connection.data(self.says)
        self.says = b""
        await connection.until_closed()


GONE = b'{"id":"w","addr":"","kind":"decode","state":"left"}'
ODD = {
    "noise": (b"what\n", "watch_closed"),
    "cut": (b'{"version":9,"servers":[{"id"\n', "watch_closed"),
    "older": (b'{"version":4,"full":false,"servers":[%b]}\n' % GONE, "endpoint_list_stale"),
    "an unknown state": (
        b'{"version":9,"servers":[{"id":"w","kind":"decode","state":"odd"}]}\n',
        "endpoint_list_updated",
    ),
    "a host that nobody knows": (
        b'{"version":9,"servers":[{"id":"x","state":"left"}]}\n',
        "endpoint_list_updated",
    ),
}


@pytest.mark.parametrize("name", ODD)
def test_a_list_that_can_not_be_right_changes_nothing_and_leaves_a_line(
    name: str, capfd: pytest.CaptureFixture[str]
) -> None:
    says, event = ODD[name]
    reader, writer = pair()

    async def story(on: Stage) -> None:
        capfd.readouterr()
        discovery = Odd(reader.row(), writer.row(), says=says)
        discovery.version = 7
        await on.nursery.start(discovery.serve)
        watch_on = on.daemon.watch
        assert watch_on is not None
        watch_on.version = 7
        watch_on.address = parse_address(discovery.address)
        on.discovery.hang_up()
        heard = ""
        while f'"event":"{event}"' not in heard:
            heard += capfd.readouterr().out
            await trio.sleep(0.001)
        assert set(on.daemon.core.endpoints) == {"r", "w"}
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"

    play(reader, writer, story=story)


def test_a_start_while_discovery_fails_serves_from_what_the_configuration_knows() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        discovery = Odd(status=503)
        await on.nursery.start(discovery.serve)
        again = Daemon(on.config(discovery=discovery.address))
        serving = await on.nursery.start(again.serve)
        while len(discovery.request_targets) < 2:  # it goes on asking
            answer = await ask_platform(serving.platform, f"q{len(reader.received_ids)}", "consulta")
            assert answer.outcome == "served"
        assert set(again.core.endpoints) == {"r", "w"}

    play(reader, writer, story=story)


def test_a_peers_address_that_is_taken_is_tried_again_and_stops_nobody(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """A new version beside one that does not share the address would not have started."""
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
