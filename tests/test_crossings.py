"""Two events that cross at a connection, forced on real sockets; `docs/crossings.md` lists them."""

from __future__ import annotations

import json
import signal
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from tests.steady import Steady, until
from tests.test_chat import with_idempotency_store
from tests.test_program import start
from tests.test_stories import pair, play
from violetstack.core.records import AttemptLogEntry
from violetstack.net.downstream import connection as connection_module
from violetstack.net.downstream.connection import DownstreamConnection
from violetstack.net.upstream import connection_pool, state_release
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.protocol.host_side import Body, End, Head
from violetstack.protocol.server_side import Inbound
from violetstack.rehearsal.clients import (
    BODY,
    Call,
    ask_chat,
    ask_platform,
    chat_body,
    chat_headers,
    connect,
    platform_headers,
)
from violetstack.rehearsal.hosts import DECLINE, SILENT, Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import SETTINGS, Stage

LIMITS = SETTINGS["limits"]
EXTRA = b"HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n" + b'{"cached_tokens":99}'


class Late:
    """The next connections to one host come up when told to, as over a slow network."""

    def __init__(self, on: Stage, name: str) -> None:
        self.asked = trio.Event()
        self.up = trio.Event()
        self._open = on.daemon.hosts.pool.open
        self._name = name
        on.daemon.hosts.pool.open = self.open  # type: ignore[method-assign]

    async def open(self, server: str, timeout_s: float) -> UpstreamConnection:
        connection = await self._open(server, timeout_s)
        if server == self._name:
            self.asked.set()
            await self.up.wait()
        return connection


async def asked_by(on: Stage, request: str, kind: str = "orden", **more: str) -> Call:
    call = await connect(on.platform)
    await call.send("POST", "/v1/chat/completions", platform_headers(request, kind, **more), BODY)
    return call


# --- a host told as leaving or gone, and the first byte ---


@pytest.mark.parametrize("state", ["leaving", "left"])
@pytest.mark.parametrize("role", ["r", "w"])
def test_nothing_is_sent_to_a_host_that_was_told_off_while_its_connection_came_up(
    role: str, state: str
) -> None:
    """It went out for 170 ms more, counted from when the news was read; they count from when they were told.

    At the writer this holds for the place and for the state's move; without a place the move is the first.
    """
    reader, writer = pair()
    host = reader if role == "r" else writer

    async def story(on: Stage) -> None:
        late = Late(on, role)
        call = await asked_by(on, "q1")
        await late.asked.wait()
        on.discovery.tell(host.row(state=state))
        core = on.daemon.core
        await until(lambda: role in core.draining or role not in core.endpoints)
        late.up.set()
        answer = await call.receive()
        assert (answer.outcome, host.begun) == ("refused", [])
        assert [what for what in host.calls if what[0] == "POST"] == []

    play(reader, writer, story=story)


def test_the_other_order_a_host_told_off_after_the_first_byte_ends_what_it_has() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        hold = trio.Event()
        writer.acts.append(Act(pause=hold))
        call = await asked_by(on, "q1")
        await call.receive(events=1)
        on.discovery.tell(writer.row(state="leaving"))
        await until(lambda: "w" in on.daemon.core.draining)
        hold.set()
        assert (await call.receive()).outcome == "served"

    play(reader, writer, story=story)


def test_a_retry_does_not_go_to_a_host_told_off_after_it_was_chosen_for_it() -> None:
    reader, writer = pair(DECLINE)
    other = ModelHost("w2", "decode", DECLINE)

    async def story(on: Stage) -> None:
        late = Late(on, "w2")
        call = await asked_by(on, "q1")
        await late.asked.wait()  # for the place, or for the write that the other one turned away
        on.discovery.tell(other.row(state="leaving"))
        await until(lambda: "w2" in on.daemon.core.draining)
        late.up.set()
        await call.receive()
        assert (other.begun, [what for what in other.calls if what[0] == "POST"]) == ([], [])

    play(reader, writer, other, story=story)


def test_a_probe_does_not_go_to_a_host_told_off_while_its_connection_came_up() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        late = Late(on, "w")
        on.daemon.hosts.check_health("w")
        await late.asked.wait()
        on.discovery.tell(writer.row(state="leaving"))
        await until(lambda: "w" in on.daemon.core.draining)
        late.up.set()
        await until(lambda: len(on.daemon.hosts.pool.hosts["w"].idle) == 1)  # what came up unused is kept
        assert (writer.calls, writer.bodies) == ([], [])

    play(reader, writer, story=story)


def test_a_connection_that_came_up_at_an_address_the_host_has_left_is_not_used() -> None:
    reader, writer = pair()
    moved = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await on.nursery.start(moved.serve)
        late = Late(on, "w")
        call = await asked_by(on, "q1")
        await late.asked.wait()
        on.discovery.tell(moved.row())
        await until(
            lambda: on.daemon.hosts.pool.hosts["w"].address[1] == int(moved.address.rpartition(":")[2])
        )
        late.up.set()
        assert (await call.receive()).outcome == "served"
        assert (writer.begun, moved.begun) == ([], ["q1"])

    play(reader, writer, story=story)


KEYED = {**SETTINGS["classes"][1], "idempotency": "idempotency_key", "group": "all", "window": 5000.0}


@pytest.mark.parametrize("late", [True, False])
def test_what_may_have_run_is_not_repeated_once_its_window_ends_while_the_connection_comes_up(
    late: bool,
) -> None:
    """The repeat was decided on in time, and went out whenever its connection was up."""
    gate = trio.Event()
    reader, writer = pair(Act(before=gate, events=0, breaks=True))

    async def story(on: Stage) -> None:
        call = await asked_by(on, "q1")
        await until(lambda: writer.begun == ["q1"])
        again = Late(on, "w")
        gate.set()  # it breaks after the request's last byte
        await again.asked.wait()
        if late:
            on.daemon.core.open_requests[
                "q1"
            ].first_run_at -= 5000.0  # as if the connection had taken that long
        again.up.set()
        answer = await call.receive()
        assert (answer.outcome, len(writer.begun)) == (("refused", 1) if late else ("served", 2))

    family = {**SETTINGS["family_info"], "ahead": False}
    settings = {"classes": [SETTINGS["classes"][0], KEYED], "family_info": family}
    play(reader, writer, story=story, settings=settings)


# --- an idle connection that its host closes, or says more on ---


def test_a_pooled_connection_closed_between_choice_and_first_byte_costs_no_order() -> None:
    """It ended as a reset, so that an order failed which no host had seen."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        pool = on.daemon.hosts.pool
        core = on.daemon.core
        await ask_platform(on.platform, "q1", "orden")
        for host in pool.hosts.values():
            for connection in host.idle:
                connection.usable_from = 0.0
        closed: list[str] = []

        async def fresh() -> None:
            """The last wait before the first byte."""
            if not closed and "q2" in core.open_requests:
                closed.append("q2")
                reader.hang_up()
                writer.hang_up()
                await trio.testing.wait_all_tasks_blocked()

        pool.wait_caught_up = fresh
        answer = await ask_platform(on.platform, "q2", "orden")
        assert (answer.outcome, reader.begun, writer.begun) == ("served", ["q1", "q2"], ["q1", "q2"])
        assert [each.status.value for each in trails["q2"]] == ["read", "ok"]

    trails: dict[str, list[AttemptLogEntry]] = {}
    play(reader, writer, story=recording(story, trails))


def recording(
    story: Callable[[Stage], Awaitable[None]], trails: dict[str, list[AttemptLogEntry]]
) -> Callable[[Stage], Awaitable[None]]:
    async def recorded(on: Stage) -> None:
        take = on.daemon.core.accept

        def taking(*args: Any, **more: Any) -> Any:
            request = take(*args, **more)
            trails[request.id] = request.attempt_log
            return request

        on.daemon.core.accept = taking  # type: ignore[method-assign]
        await story(on)

    return recorded


@pytest.mark.parametrize("kind", ["consulta", "orden"])
def test_a_connection_closed_after_the_last_byte_is_never_repeated_where_the_class_forbids_it(
    kind: str,
) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        writer.acts.append(Act(events=0, breaks=True))  # the request's last byte has come; then it closes
        answer = await ask_platform(on.platform, "q1", kind)
        assert (answer.status, writer.begun) == ((500, ["q1"]) if kind == "orden" else (200, ["q1", "q1"]))

    play(reader, writer, story=story)


class Halving(ModelHost):
    """Reads a little of what comes on its first connection and breaks it; serves on the next ones."""

    async def _connection(self, raw: trio.SocketStream) -> None:
        if self.opened:
            await super()._connection(raw)
            return
        self.opened += 1
        raw.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
        assert await raw.receive_some(100)
        await trio.testing.wait_all_tasks_blocked()  # the other side waits to write on
        await trio.aclose_forcefully(raw)  # over what it has not read: a reset


def test_a_connection_closed_between_the_first_and_the_last_byte_costs_no_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The host has got no whole request, so that nothing has run, whatever the class allows."""
    reader = ModelHost("r", "prefill")
    writer = Halving("w", "decode")
    begin = UpstreamConnection.__init__

    def small(self: UpstreamConnection, raw: Any, *args: Any) -> None:
        raw.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, 4096)
        begin(self, raw, *args)

    monkeypatch.setattr(UpstreamConnection, "__init__", small)

    async def story(on: Stage) -> None:
        writer._sockets[0].socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
        answer = await ask_platform(on.platform, "q1", "orden", text="x" * 200_000)
        assert (answer.outcome, writer.begun, writer.opened) == ("served", ["q1"], 2)
        assert [each.status.value for each in trails["q1"]] == ["read", "connect_failed", "ok"]

    trails: dict[str, list[AttemptLogEntry]] = {}
    family = {**SETTINGS["family_info"], "ahead": False}
    play(reader, writer, story=recording(story, trails), settings={"family_info": family})


class Echoing(ModelHost):
    """Says `EXTRA` on the connection of its first request, as soon as its second has come whole."""

    first: PeerConnection | None = None

    async def play(self, act: Act, inbound: Inbound, connection: PeerConnection) -> None:
        if self.first is None:
            self.first = connection
        elif self.begun.count("q2") == 1 and not act.silent:
            await self.first.raw(EXTRA)
        await super().play(act, inbound, connection)


def test_a_late_second_answer_is_not_taken_for_the_next_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next request had been written on the connection by then, and its prompt counted as read."""
    # However long this machine takes from one request to the next.
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 60.0)
    gate = trio.Event()
    reader = Echoing("r", "prefill", Act(), Act(before=gate))
    writer = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        call = await asked_by(on, "q2")
        await until(lambda: reader.begun == ["q1", "q2"])
        await trio.testing.wait_all_tasks_blocked()
        assert writer.begun == ["q1"]  # q2 is not read yet
        gate.set()
        assert (await call.receive()).outcome == "served"

    play(reader, writer, story=story)


def test_the_other_order_a_second_answer_that_comes_first_ends_the_connection() -> None:
    reader = ModelHost("r", "prefill", Act(behind=EXTRA))
    writer = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        for connection in on.daemon.hosts.pool.hosts["r"].idle:
            connection.usable_from = 0.0
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"
        assert reader.opened == 2

    play(reader, writer, story=story)


def test_a_connection_that_has_rested_is_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    reader, writer = pair()

    async def story(on: Stage) -> None:
        for n in range(4):
            assert (await ask_platform(on.platform, f"q{n}", "orden")).outcome == "served"
        assert (reader.opened, writer.opened) == (1, 1)

    play(reader, writer, story=story)


# --- a client's first bytes, and the room that is made for another ---


class Reading:
    """Calls `between` once bytes have left the kernel's buffer, before the connection's task has them.

    trio lets other tasks run there whenever the bytes were there before they were asked for.
    """

    def __init__(self, stream: Any, between: Callable[[], object]) -> None:
        self._receive = stream.receive_some
        self._between = between
        stream.receive_some = self.receive_some

    async def receive_some(self, most: int | None = None) -> bytes | bytearray:
        data: bytes | bytearray = await self._receive(most)
        self._between()
        return data


async def silent_since_long(on: Stage) -> tuple[Call, DownstreamConnection]:
    call = await connect(on.platform)
    listener = on.daemon.listeners[0]
    await until(lambda: len(listener.table.awaiting_first_request) == 1)
    connection = next(iter(listener.table.awaiting_first_request))
    connection.progress_at -= 1.0  # it may be closed to make room
    return call, connection


def test_a_first_request_that_is_being_read_does_not_make_room_for_another_connection() -> None:
    """Read from the socket and not yet looked at, it counted as never sent."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        call, connection = await silent_since_long(on)
        made: list[bool] = []
        Reading(connection.stream, lambda: made.append(on.daemon.listeners[0].table.evict_one()))
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        assert (await call.receive()).outcome == "served"
        assert made[0] is False

    play(reader, writer, story=story)


def test_a_request_read_from_a_connection_that_was_dropped_just_then_is_not_sent_on() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        call, connection = await silent_since_long(on)
        Reading(connection.stream, lambda: on.daemon.listeners[0].table.evict(connection))
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        assert await call.stream.receive_some(100) == b""  # closed, so that its client asks once more
        await trio.testing.wait_all_tasks_blocked()
        assert (reader.begun, on.daemon.core.open_requests) == ([], {})

    play(reader, writer, story=story)


# --- a release, and the send that makes it pointless ---


def test_a_release_that_a_further_send_overtook_is_not_written() -> None:
    """It would let go of what the further send has just left there."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        core = on.daemon.core
        gate = trio.Event()
        reader.acts.append(Act(before=gate))
        call = await asked_by(on, "q1")
        await until(lambda: reader.begun == ["q1"])
        late = Late(on, "r")
        on.daemon.hosts.pool.hosts.pop("w")  # the release has but one host to go to
        request = core.open_requests["q1"]
        request.holds_remote_state = True
        core._reservations.release(0.0, request)
        await late.asked.wait()
        assert request.release is not None
        request.release.superseded = True  # as by a send
        late.up.set()
        await until(lambda: request.release is None)
        assert reader.calls == []
        gate.set()
        await call.receive()

    play(reader, writer, story=story)


def test_what_a_failed_read_left_is_released_while_the_next_ones_connection_does_not_come_up() -> None:
    """The further send dropped the release as soon as it was decided on, and then never went out."""
    reader, writer = pair(reads=(Act(events=0, breaks=True),))
    other = ModelHost("r2", "prefill", Act(events=0, breaks=True))

    async def story(on: Stage) -> None:
        late = {name: Late(on, name) for name in ("r", "r2")}
        call = await asked_by(on, "q1")
        await until(lambda: any(each.asked.is_set() for each in late.values()))
        next(each for each in late.values() if each.asked.is_set()).up.set()
        released = ("DELETE", "q1")
        await until(lambda: released in reader.calls + other.calls + writer.calls)
        assert len(reader.begun) + len(other.begun) == 1  # the next is not sent yet
        for each in late.values():
            each.up.set()
        assert (await call.receive()).outcome == "served"

    play(reader, writer, other, story=story)


def test_a_release_is_asked_of_another_host_beside_one_that_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One after the other, 0.3 s each, three hosts that are cut off outlasted what the rule gives."""
    monkeypatch.setattr(state_release, "TRY_TIMEOUT_S", 60.0)
    reader, writer = pair(DECLINE, DECLINE, DECLINE, DECLINE, DECLINE)
    more = [ModelHost(f"r{n}", "prefill") for n in range(2, 6)]
    gate = trio.Event()
    asked = []

    async def cut_off(inbound: Inbound, connection: PeerConnection) -> None:
        asked.append(inbound.method)
        if len(asked) < 4:
            await gate.wait()
        else:
            gate.set()
        await connection.answer(204, [])

    for host in (reader, writer, *more):
        handle = host.handle

        async def handled(inbound: Inbound, connection: PeerConnection, handle: Any = handle) -> None:
            await (cut_off if inbound.method == "DELETE" else handle)(inbound, connection)

        host.handle = handled  # type: ignore[method-assign]

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "refused"
        await until(lambda: not on.daemon.core.open_requests)
        assert len(asked) == 4

    play(reader, writer, *more, story=story)


# --- a client that goes away ---


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("role", ["r", "w"])
def test_nothing_is_sent_on_for_a_client_that_left_while_it_waited(role: str, cancel: bool) -> None:
    """Of 20 that leave while a connection comes up; a fourth of such cases would fail a day.

    Where attempts may not be withdrawn, those not written went out all the same.
    """
    reader, writer = pair()
    host = reader if role == "r" else writer
    left = [f"q{n}" for n in range(20)]

    async def story(on: Stage) -> None:
        late = Late(on, role)
        calls = [await asked_by(on, name) for name in left]
        await late.asked.wait()
        await trio.testing.wait_all_tasks_blocked()
        for call in calls:
            await call.stream.aclose()
        core = on.daemon.core
        await until(lambda: all(request.done for request in core.open_requests.values()), 0.3)
        late.up.set()
        await until(lambda: not core.open_requests)
        sent = [name for name in left if name in host.begun]
        assert (sent, [what for what in host.calls if what[0] == "POST"]) == ([], [])

    play(reader, writer, story=story, settings={"limits": {**LIMITS, "cancel": cancel}})


@pytest.mark.parametrize("chat", [False, True])
def test_a_request_whose_clients_close_lies_right_behind_it_is_not_taken(
    chat: bool, capfd: pytest.CaptureFixture[str]
) -> None:
    """As after a wait in the kernel's queue, for want of descriptors or while the process was busy."""
    reader, writer = pair()
    body = chat_body("consulta") if chat else BODY
    lines = chat_headers() if chat else platform_headers("q1", "consulta")
    head = "".join(f"{name}: {value}\r\n" for name, value in [*lines, ("Content-Length", str(len(body)))])

    async def story(on: Stage) -> None:
        client = socket.create_connection(on.chat if chat else on.platform)
        client.sendall(f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{head}\r\n".encode() + body)
        client.close()  # all in one step: the dispatcher has not run since the connection was made
        assert (await ask_platform(on.platform, "q2", "consulta")).status == 200
        await until(lambda: not on.daemon.core.open_requests)
        assert reader.begun == ["q2"]

    play(reader, writer, story=story)
    assert capfd.readouterr().out.count('"event":"request"') == 1


def test_nothing_is_sent_on_for_a_client_whose_close_has_not_been_read_yet() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        late = Late(on, "r")
        call = await connect(on.platform)
        listener = on.daemon.listeners[0]
        await until(lambda: bool(listener.table.connections))
        connection = next(iter(listener.table.connections))
        receive = connection.stream.receive_some

        async def receive_nothing(max_bytes: int | None = None) -> bytes:
            await trio.sleep_forever()
            return b""

        async def receive_once(max_bytes: int | None = None) -> bytes | bytearray:
            connection.stream.receive_some = receive_nothing  # type: ignore[method-assign]
            return await receive(max_bytes)

        connection.stream.receive_some = receive_once  # type: ignore[method-assign]
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        await late.asked.wait()
        call.stream.socket.close()  # type: ignore[attr-defined]
        late.up.set()
        await until(lambda: not on.daemon.core.open_requests)
        assert (reader.begun, writer.begun) == ([], [])
        assert not connection.closed

    play(reader, writer, story=story)


def test_a_client_that_sends_much_at_once_and_goes_is_noticed() -> None:
    """Past 64 KiB of what it sent behind its request nothing was read, its end neither."""
    reader, writer = pair(reads=(SILENT,))

    async def story(on: Stage) -> None:
        call = await asked_by(on, "q1")
        await until(lambda: reader.begun == ["q1"])
        await call.stream.send_all(b"x" * 300_000)
        await call.stream.aclose()
        await until(lambda: not on.daemon.core.open_requests, 0.3)

    play(reader, writer, story=story)


def test_a_client_that_sends_without_end_behind_its_request_is_answered_and_costs_no_memory() -> None:
    gate = trio.Event()
    reader, writer = pair(reads=(Act(before=gate),))

    async def story(on: Stage) -> None:
        call = await asked_by(on, "q1")
        await until(lambda: reader.begun == ["q1"])
        await call.stream.send_all(b"x" * 3_000_000)
        connection = next(iter(c for c in on.daemon.listeners[0].table.connections if c.answering))
        assert connection.http.unread <= connection_module.MAX_UNREAD_BYTES + connection_module.READ_SIZE
        gate.set()
        assert (await call.receive()).outcome == "served"
        await until(lambda: not on.daemon.listeners[0].table.connections)

    play(reader, writer, story=story)


# --- an event, and the next ---


class Pacing(ModelHost):
    """Writes an event once the client has had the one before: whoever holds one back stops it for ever."""

    had = 0
    gaps: list[float]

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        self.gaps = []
        await connection.start(200, [("Content-Type", "text/event-stream")])
        for n in range(20):
            time = Steady()
            await connection.data(b'data: {"choices":[{"index":0,"delta":{"content":"%d "}}]}\n\n' % n)
            while self.had <= n:
                time.look()
                await trio.sleep(0.0005)
            self.gaps.append(time.look())
        await connection.data(b"data: [DONE]\n\n")
        await connection.end()


@pytest.mark.parametrize("front", ["platform", "chat"])
def test_each_event_is_passed_on_before_the_next_and_within_300_ms(front: str) -> None:
    reader = ModelHost("r", "prefill")
    writer = Pacing("w", "decode")

    async def story(on: Stage) -> None:
        if front == "platform":
            call = await asked_by(on, "q1")
        else:
            call = await connect(on.chat)
            await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
        for n in range(20):
            await call.receive(events=n + 1)
            writer.had = n + 1
        assert (await call.receive()).outcome == "served"
        assert len(writer.gaps) == 20 and max(writer.gaps) < 0.3

    play(reader, writer, story=story)


# --- the end of the process ---


class Large(ModelHost):
    """More than fits into the buffers on the way."""

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [("Content-Type", "text/event-stream")])
        for _ in range(120):
            await connection.data(b'data: {"choices":[],"x":"%b"}\n\n' % (b"x" * 60_000))
        await connection.data(b"data: [DONE]\n\n")
        await connection.end()


def test_sigterm_passes_a_stream_on_whose_host_has_finished_and_whose_client_reads_late() -> None:
    """Its connection counted as idle, and was closed over what waited to be written."""
    reader = ModelHost("r", "prefill")
    writer = Large("w", "decode")

    async def story(on: Stage) -> None:
        sock = trio.socket.socket()
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 8192)  # the rest stays unwritten
        await sock.connect(on.platform)
        call = Call(trio.SocketStream(sock))
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        core = on.daemon.core
        connections = on.daemon.listeners[0].table.connections
        told: list[Head | Body | End] = []

        async def read() -> None:
            told.extend(call.http.feed(bytes(await call.stream.receive_some(64 * 1024))))

        await until(lambda: any(c.unwritten_bytes for c in connections))
        while core.open_requests:
            await read()
        assert any(c.unwritten_bytes for c in connections)  # the host has finished, the client reads no more
        assert not on.daemon.listeners[0].table.evict_one()  # nor is it closed for a newcomer
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        on.daemon.stop.set()  # a second signal changes nothing
        await until(lambda: not on.daemon.accepting)
        await trio.sleep(0.1)  # the process has looked for idle connections since
        assert any(c.unwritten_bytes for c in connections)
        while not isinstance(told[-1], End):
            await read()
        bodies = [event for event in told if isinstance(event, Body)]
        assert bytes(bodies[-1].data).endswith(b"data: [DONE]\n\n")

    play(reader, writer, story=story)


def test_sigterm_while_a_request_is_half_read_waits_for_the_rest() -> None:
    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        whole = b"".join(
            bytes(part)
            for part in call.http.request(
                "POST", "/v1/chat/completions", [("Host", "x"), *platform_headers("q1", "orden")], BODY
            )
        )
        await call.stream.send_all(whole[:40])
        await until(lambda: any(c.http.busy for c in on.daemon.listeners[0].table.connections))
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        await call.stream.send_all(whole[40:])
        assert (await call.receive()).outcome == "served"

    play(*pair(), story=story)


def test_sigterm_between_a_read_and_its_write_serves_the_request() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        late = Late(on, "w")
        call = await asked_by(on, "q1")
        await until(lambda: reader.begun == ["q1"])
        await late.asked.wait()
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        late.up.set()
        assert (await call.receive()).outcome == "served"

    play(reader, writer, story=story)


def test_an_idle_connection_on_which_a_request_has_come_keeps_the_process_until_it_is_answered() -> None:
    """Unread, it counted as nothing: the last look before the end came first, and the request was lost."""

    async def story(on: Stage) -> None:
        call = await asked_by(on, "q1")
        await call.receive()
        listener = on.daemon.listeners[0]
        await until(lambda: bool(listener.table.idle) and not listener.table.busy)
        again = Call(call.stream)
        sent = again.http.request(
            "POST", "/v1/chat/completions", [("Host", "x"), *platform_headers("q2", "orden")], BODY
        )
        assert isinstance(call.stream, trio.SocketStream)
        await call.stream.socket.send(b"".join(bytes(part) for part in sent))
        assert listener.table.busy  # in this very step: nobody has read it
        listener.table.close_idle()
        assert (await again.receive()).outcome == "served"

    play(*pair(), story=story)


def test_sigterm_before_the_start_is_over_ends_the_program_in_order(tmp_path: Path) -> None:
    told: dict[str, object] = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}
    with start(tmp_path, told) as program:
        assert program.stdout is not None
        events = []
        for line in program.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] == "endpoint_list_updated":  # the first line of a start
                program.send_signal(signal.SIGTERM)
                program.send_signal(signal.SIGHUP)
            elif events[-1] == "shutdown_started":
                program.send_signal(signal.SIGTERM)
        assert program.wait(10) == 0
    assert events[-1] == "stopped" and "shutdown_started" in events


def test_hosts_that_hang_at_sigterm_cost_their_requests_an_answer_and_no_more() -> None:
    reader, writer = pair(SILENT, SILENT, SILENT, SILENT)

    async def story(on: Stage) -> None:
        answers: list[int] = []

        async def ask(name: str, kind: str) -> None:
            answers.append((await ask_platform(on.platform, name, kind, Req_Deadline="60000m")).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(ask, "q1", "orden"))
            nursery.start_soon(partial(ask, "q2", "consulta"))
            await until(lambda: len(writer.begun) >= 2)
            on.daemon.stop.set()
        assert sorted(answers) == [500, 503]

    play(reader, writer, story=story)


def test_an_order_whose_client_left_while_a_write_was_out_is_not_sent_on_once_that_is_turned_away(
    tmp_path: Path,
) -> None:
    """It went on for the retry to find, which it need not do once it is known that nothing has run."""
    gate = trio.Event()
    reader, writer = pair(Act(status=503, headers=DECLINE.headers, before=gate))

    async def story(on: Stage) -> None:
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body("giro-orden"))
        await until(lambda: len(writer.begun) == 1)
        await call.stream.aclose()
        await until(
            lambda: any(request.client_disconnected for request in on.daemon.core.open_requests.values())
        )
        gate.set()
        await until(lambda: not on.daemon.core.open_requests)
        assert (len(reader.begun), len(writer.begun)) == (1, 1)
        while (again := await ask_chat(on.chat, chat_body("giro-orden"), chat_headers("k1"))).status == 409:
            await trio.sleep(0.01)  # the record's change is on its way to the disk
        assert (again.outcome, len(writer.begun)) == ("served", 2)

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path))


def test_an_order_whose_client_leaves_before_it_ran_is_not_sent_on_and_its_retry_runs_it(
    tmp_path: Path,
) -> None:
    """It went on for nobody, so that it was written later than its client had left."""
    gate = trio.Event()
    reader, writer = pair(reads=(Act(before=gate),))

    async def story(on: Stage) -> None:
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body("giro-orden"))
        await until(lambda: len(reader.begun) == 1)
        await call.stream.aclose()
        await until(lambda: all(request.done for request in on.daemon.core.open_requests.values()), 0.3)
        gate.set()
        await until(lambda: not on.daemon.core.open_requests)
        assert (len(writer.begun), [what for what in writer.calls if what[0] == "POST"][1:]) == (0, [])
        while (again := await ask_chat(on.chat, chat_body("giro-orden"), chat_headers("k1"))).status == 409:
            await trio.sleep(0.01)  # the record's change is on its way to the disk
        assert (again.outcome, len(writer.begun)) == ("served", 1)

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path))
