"""Races between the dispatcher and hosts, forced on real sockets; `docs/crossings.md` lists them."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from tests.process_time import wait_until
from tests.race_helpers import SECOND_RESPONSE, DelayedConnects, recording_attempts, send_request
from tests.test_stories import pair, play
from violetstack.core.records import AttemptLogEntry
from violetstack.core.remote_hold import HoldEvent
from violetstack.net.upstream import connection_pool, state_release
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import (
    ask_platform,
)
from violetstack.rehearsal.hosts import DECLINE, Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import SETTINGS, Stage

# --- a host that drains, and the first byte ---


@pytest.mark.parametrize("state", ["leaving", "left"])
@pytest.mark.parametrize("role", ["r", "w"])
def test_nothing_is_sent_to_a_host_that_drains_while_its_connection_comes_up(role: str, state: str) -> None:
    """It was sent for another 170 ms, since a drain counted from the moment at which it was read.

    At the decode host this holds for the reservation and for the attempt, whichever comes first.
    """
    reader, writer = pair()
    host = reader if role == "r" else writer

    async def story(on: Stage) -> None:
        late = DelayedConnects(on, role)
        call = await send_request(on, "q1")
        await late.requested.wait()
        on.discovery.tell(host.row(state=state))
        core = on.daemon.core
        await wait_until(lambda: role in core.draining or role not in core.endpoints)
        late.may_complete.set()
        answer = await call.receive()
        assert (answer.outcome, host.begun) == ("refused", [])
        assert [what for what in host.calls if what[0] == "POST"] == []

    play(reader, writer, story=story)


def test_a_host_that_drains_after_the_first_byte_finishes_the_request() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        hold = trio.Event()
        writer.acts.append(Act(pause=hold))
        call = await send_request(on, "q1")
        await call.receive(events=1)
        on.discovery.tell(writer.row(state="leaving"))
        await wait_until(lambda: "w" in on.daemon.core.draining)
        hold.set()
        assert (await call.receive()).outcome == "served"

    play(reader, writer, story=story)


def test_a_retry_does_not_go_to_a_host_that_drains_after_it_was_chosen() -> None:
    reader, writer = pair(DECLINE)
    other = ModelHost("w2", "decode", DECLINE)

    async def story(on: Stage) -> None:
        late = DelayedConnects(on, "w2")
        call = await send_request(on, "q1")
        await late.requested.wait()  # for the reservation, or for the attempt that the other host rejected
        on.discovery.tell(other.row(state="leaving"))
        await wait_until(lambda: "w2" in on.daemon.core.draining)
        late.may_complete.set()
        await call.receive()
        assert (other.begun, [what for what in other.calls if what[0] == "POST"]) == ([], [])

    play(reader, writer, other, story=story)


def test_a_health_check_does_not_go_to_a_host_that_drains_while_its_connection_comes_up() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        late = DelayedConnects(on, "w")
        on.daemon.hosts.check_health("w")
        await late.requested.wait()
        on.discovery.tell(writer.row(state="leaving"))
        await wait_until(lambda: "w" in on.daemon.core.draining)
        late.may_complete.set()
        await wait_until(
            lambda: len(on.daemon.hosts.pool.hosts["w"].idle) == 1
        )  # what came up unused is kept
        assert (writer.calls, writer.bodies) == ([], [])

    play(reader, writer, story=story)


def test_a_connection_to_a_former_address_of_a_host_is_not_used() -> None:
    reader, writer = pair()
    moved = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await on.nursery.start(moved.serve)
        late = DelayedConnects(on, "w")
        call = await send_request(on, "q1")
        await late.requested.wait()
        on.discovery.tell(moved.row())
        await wait_until(
            lambda: on.daemon.hosts.pool.hosts["w"].address[1] == int(moved.address.rpartition(":")[2])
        )
        late.may_complete.set()
        assert (await call.receive()).outcome == "served"
        assert (writer.begun, moved.begun) == ([], ["q1"])

    play(reader, writer, story=story)


KEYED = {**SETTINGS["classes"][1], "idempotency": "idempotency_key", "group": "all", "window": 5000.0}


@pytest.mark.parametrize("late", [True, False])
def test_no_retry_is_sent_once_the_deduplication_window_ends_while_its_connection_comes_up(
    late: bool,
) -> None:
    """The retry was decided on in time, and was written whenever its connection was up."""
    gate = trio.Event()
    reader, writer = pair(Act(before=gate, events=0, breaks=True))

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1")
        await wait_until(lambda: writer.begun == ["q1"])
        again = DelayedConnects(on, "w")
        gate.set()  # it breaks after the request's last byte
        await again.requested.wait()
        if late:
            on.daemon.core.open_requests[
                "q1"
            ].first_execution_at -= 5000.0  # as if the connection had taken that long
        again.may_complete.set()
        answer = await call.receive()
        assert (answer.outcome, len(writer.begun)) == (("refused", 1) if late else ("served", 2))

    family = {**SETTINGS["family_info"], "ahead": False}
    settings = {"classes": [SETTINGS["classes"][0], KEYED], "family_info": family}
    play(reader, writer, story=story, settings=settings)


# --- an idle connection that its host closes or writes on ---


def test_a_pooled_connection_closed_before_the_first_byte_fails_no_request() -> None:
    """The attempt ended as a reset, so a request failed that no host had seen."""
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
            """Stands in for the last wait before the first byte."""
            if not closed and "q2" in core.open_requests:
                closed.append("q2")
                reader.hang_up()
                writer.hang_up()
                await trio.testing.wait_all_tasks_blocked()

        pool.wait_caught_up = fresh
        answer = await ask_platform(on.platform, "q2", "orden")
        assert (answer.outcome, reader.begun, writer.begun) == ("served", ["q1", "q2"], ["q1", "q2"])
        assert [each.status.value for each in attempt_logs["q2"]] == ["read", "ok"]

    attempt_logs: dict[str, list[AttemptLogEntry]] = {}
    play(reader, writer, story=recording_attempts(story, attempt_logs))


@pytest.mark.parametrize("kind", ["consulta", "orden"])
def test_a_request_is_not_retried_after_its_last_byte_where_the_class_forbids_it(
    kind: str,
) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        writer.acts.append(Act(events=0, breaks=True))  # the request's last byte has come; then it closes
        answer = await ask_platform(on.platform, "q1", kind)
        assert (answer.status, writer.begun) == ((500, ["q1"]) if kind == "orden" else (200, ["q1", "q1"]))

    play(reader, writer, story=story)


class ClosesHalfway(ModelHost):
    """Resets its first connection after a part of the request; serves on the next ones."""

    async def _connection(self, raw: trio.SocketStream) -> None:
        if self.opened:
            await super()._connection(raw)
            return
        self.opened += 1
        raw.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
        assert await raw.receive_some(100)
        await trio.testing.wait_all_tasks_blocked()  # the other side waits to write on
        await trio.aclose_forcefully(raw)  # over what it has not read: a reset


def test_a_connection_closed_before_the_last_byte_fails_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No host has received a complete request, so nothing has run, whatever the class allows."""
    reader = ModelHost("r", "prefill")
    writer = ClosesHalfway("w", "decode")
    begin = UpstreamConnection.__init__

    def small(self: UpstreamConnection, raw: Any, *args: Any) -> None:
        raw.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, 4096)
        begin(self, raw, *args)

    monkeypatch.setattr(UpstreamConnection, "__init__", small)

    async def story(on: Stage) -> None:
        writer._sockets[0].socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
        answer = await ask_platform(on.platform, "q1", "orden", text="x" * 200_000)
        assert (answer.outcome, writer.begun, writer.opened) == ("served", ["q1"], 2)
        assert [each.status.value for each in attempt_logs["q1"]] == ["read", "connect_failed", "ok"]

    attempt_logs: dict[str, list[AttemptLogEntry]] = {}
    family = {**SETTINGS["family_info"], "ahead": False}
    play(reader, writer, story=recording_attempts(story, attempt_logs), settings={"family_info": family})


class RespondsTwice(ModelHost):
    """Writes `SECOND_RESPONSE` on the connection of its first request as soon as its second is complete."""

    first: PeerConnection | None = None

    async def play(self, act: Act, inbound: HttpRequest, connection: PeerConnection) -> None:
        if self.first is None:
            self.first = connection
        elif self.begun.count("q2") == 1 and not act.silent:
            await self.first.raw(SECOND_RESPONSE)
        await super().play(act, inbound, connection)


def test_a_second_response_is_not_taken_for_that_of_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next request had been written by then, and its prompt counted as prefilled."""
    # However long this machine takes from one request to the next.
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 60.0)
    gate = trio.Event()
    reader = RespondsTwice("r", "prefill", Act(), Act(before=gate))
    writer = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        call = await send_request(on, "q2")
        await wait_until(lambda: reader.begun == ["q1", "q2"])
        await trio.testing.wait_all_tasks_blocked()
        assert writer.begun == ["q1"]  # q2 is not read yet
        gate.set()
        assert (await call.receive()).outcome == "served"

    play(reader, writer, story=story)


def test_a_second_response_on_an_idle_connection_closes_it() -> None:
    reader = ModelHost("r", "prefill", Act(behind=SECOND_RESPONSE))
    writer = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        for connection in on.daemon.hosts.pool.hosts["r"].idle:
            connection.usable_from = 0.0
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"
        assert reader.opened == 2

    play(reader, writer, story=story)


def test_an_idle_connection_is_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    reader, writer = pair()

    async def story(on: Stage) -> None:
        for n in range(4):
            assert (await ask_platform(on.platform, f"q{n}", "orden")).outcome == "served"
        assert (reader.opened, writer.opened) == (1, 1)

    play(reader, writer, story=story)


# --- a release, and the attempt that supersedes it ---


def test_a_release_that_an_attempt_superseded_is_not_written() -> None:
    """It would release the state of the attempt that superseded it."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        core = on.daemon.core
        gate = trio.Event()
        reader.acts.append(Act(before=gate))
        call = await send_request(on, "q1")
        await wait_until(lambda: reader.begun == ["q1"])
        late = DelayedConnects(on, "r")
        on.daemon.hosts.pool.hosts.pop("w")  # the release has but one host to go to
        request = core.open_requests["q1"]
        request.hold.apply(0.0, HoldEvent.STATE_LEFT)
        core._hold_manager.release(0.0, request)
        await late.requested.wait()
        assert request.release is not None
        request.release.superseded = True  # as by a send
        late.may_complete.set()
        await wait_until(lambda: request.release is None)
        assert reader.calls == []
        gate.set()
        await call.receive()

    play(reader, writer, story=story)


def test_state_of_a_failed_prefill_is_released_while_the_next_connection_does_not_come_up() -> None:
    """The decision for the next attempt cancelled the release, and the attempt was never written."""
    reader, writer = pair(reads=(Act(events=0, breaks=True),))
    other = ModelHost("r2", "prefill", Act(events=0, breaks=True))

    async def story(on: Stage) -> None:
        late = {name: DelayedConnects(on, name) for name in ("r", "r2")}
        call = await send_request(on, "q1")
        await wait_until(lambda: any(each.requested.is_set() for each in late.values()))
        next(each for each in late.values() if each.requested.is_set()).may_complete.set()
        released = ("DELETE", "q1")
        await wait_until(lambda: released in reader.calls + other.calls + writer.calls)
        assert len(reader.begun) + len(other.begun) == 1  # the next is not sent yet
        for each in late.values():
            each.may_complete.set()
        assert (await call.receive()).outcome == "served"

    play(reader, writer, other, story=story)


def test_a_release_is_sent_to_another_host_beside_one_that_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One after the other, at 0.3 s each, three unreachable hosts took longer than the state retention."""
    monkeypatch.setattr(state_release, "HOST_TIMEOUT_S", 60.0)
    reader, writer = pair(DECLINE, DECLINE, DECLINE, DECLINE, DECLINE)
    more = [ModelHost(f"r{n}", "prefill") for n in range(2, 6)]
    gate = trio.Event()
    asked = []

    async def cut_off(inbound: HttpRequest, connection: PeerConnection) -> None:
        asked.append(inbound.method)
        if len(asked) < 4:
            await gate.wait()
        else:
            gate.set()
        await connection.answer(204, [])

    for host in (reader, writer, *more):
        handle = host.handle

        async def handled(inbound: HttpRequest, connection: PeerConnection, handle: Any = handle) -> None:
            await (cut_off if inbound.method == "DELETE" else handle)(inbound, connection)

        host.handle = handled  # type: ignore[method-assign]

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "refused"
        await wait_until(lambda: not on.daemon.core.open_requests)
        assert len(asked) == 4

    play(reader, writer, *more, story=story)
