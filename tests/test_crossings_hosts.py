"""Races between the dispatcher and hosts, forced on real sockets; `docs/crossings.md` lists them."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from tests.process_time import wait_until
from tests.race_helpers import SECOND_RESPONSE, DelayedConnects, recording_attempt_logs, send_request
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

# --- a host that drains before or after the first byte ---


@pytest.mark.parametrize("state", ["leaving", "left"])
@pytest.mark.parametrize("role", ["r", "w"])
def test_nothing_is_sent_to_a_host_that_drains_during_the_connect(role: str, state: str) -> None:
    """Requests were still sent for 170 ms, since a drain counted from the time at which it was read.

    At the decode host this holds for the reservation and for the attempt, whichever comes first.
    """
    prefill_host, decode_host = pair()
    host = prefill_host if role == "r" else decode_host

    async def story(on: Stage) -> None:
        connects = DelayedConnects(on, role)
        call = await send_request(on, "q1")
        await connects.requested.wait()
        on.discovery.publish(host.row(state=state))
        core = on.daemon.core
        await wait_until(lambda: role in core.draining or role not in core.endpoints)
        connects.may_complete.set()
        answer = await call.receive()
        assert (answer.outcome, host.received_ids) == ("refused", [])
        assert [host_call for host_call in host.calls if host_call[0] == "POST"] == []

    play(prefill_host, decode_host, story=story)


def test_a_host_that_drains_after_the_first_byte_finishes_the_request() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        hold = trio.Event()
        decode_host.acts.append(Act(pause=hold))
        call = await send_request(on, "q1")
        await call.receive(events=1)
        on.discovery.publish(decode_host.row(state="leaving"))
        await wait_until(lambda: "w" in on.daemon.core.draining)
        hold.set()
        assert (await call.receive()).outcome == "served"

    play(prefill_host, decode_host, story=story)


def test_a_retry_is_not_sent_to_a_host_that_drains_after_it_was_chosen() -> None:
    prefill_host, decode_host = pair(DECLINE)
    other = ModelHost("w2", "decode", DECLINE)

    async def story(on: Stage) -> None:
        connects = DelayedConnects(on, "w2")
        call = await send_request(on, "q1")
        # for the reservation, or for the retry of the attempt that the other host rejected
        await connects.requested.wait()
        on.discovery.publish(other.row(state="leaving"))
        await wait_until(lambda: "w2" in on.daemon.core.draining)
        connects.may_complete.set()
        await call.receive()
        assert (other.received_ids, [host_call for host_call in other.calls if host_call[0] == "POST"]) == (
            [],
            [],
        )

    play(prefill_host, decode_host, other, story=story)


def test_no_health_check_is_sent_to_a_host_that_drains_during_the_connect() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        connects = DelayedConnects(on, "w")
        on.daemon.upstream_driver.check_health("w")
        await connects.requested.wait()
        on.discovery.publish(decode_host.row(state="leaving"))
        await wait_until(lambda: "w" in on.daemon.core.draining)
        connects.may_complete.set()
        # the unused connection is kept
        await wait_until(lambda: len(on.daemon.upstream_driver.pool.hosts["w"].idle) == 1)
        assert (decode_host.calls, decode_host.bodies) == ([], [])

    play(prefill_host, decode_host, story=story)


def test_a_connection_to_a_former_address_of_a_host_is_not_used() -> None:
    prefill_host, decode_host = pair()
    host_at_new_address = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await on.nursery.start(host_at_new_address.serve)
        connects = DelayedConnects(on, "w")
        call = await send_request(on, "q1")
        await connects.requested.wait()
        on.discovery.publish(host_at_new_address.row())
        await wait_until(
            lambda: (
                on.daemon.upstream_driver.pool.hosts["w"].address[1]
                == int(host_at_new_address.address.rpartition(":")[2])
            )
        )
        connects.may_complete.set()
        assert (await call.receive()).outcome == "served"
        assert (decode_host.received_ids, host_at_new_address.received_ids) == ([], ["q1"])

    play(prefill_host, decode_host, story=story)


KEYED = {**SETTINGS["classes"][1], "idempotency": "idempotency_key", "group": "all", "window": 5000.0}


@pytest.mark.parametrize("window_ended", [True, False])
def test_no_retry_is_sent_if_the_deduplication_window_ends_during_the_connect(
    window_ended: bool,
) -> None:
    """The retry was decided on in time, but written however late its connection was established."""
    gate = trio.Event()
    prefill_host, decode_host = pair(Act(before=gate, events=0, breaks=True))

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1")
        await wait_until(lambda: decode_host.received_ids == ["q1"])
        again = DelayedConnects(on, "w")
        gate.set()  # the attempt fails after the request's last byte
        await again.requested.wait()
        if window_ended:
            # as if the connection had taken that long
            on.daemon.core.open_requests["q1"].first_execution_at -= 5000.0
        again.may_complete.set()
        answer = await call.receive()
        assert (answer.outcome, len(decode_host.received_ids)) == (
            ("refused", 1) if window_ended else ("served", 2)
        )

    family = {**SETTINGS["family_info"], "ahead": False}
    settings = {"classes": [SETTINGS["classes"][0], KEYED], "family_info": family}
    play(prefill_host, decode_host, story=story, settings=settings)


# --- an idle connection that its host closes or writes to ---


def test_a_pooled_connection_closed_before_the_first_byte_fails_no_request() -> None:
    """The attempt counted as reset, so a request failed that no host had received."""
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        pool = on.daemon.upstream_driver.pool
        core = on.daemon.core
        await ask_platform(on.platform, "q1", "orden")
        for host in pool.hosts.values():
            for connection in host.idle:
                connection.usable_from = 0.0
        closed: list[str] = []

        async def close_idle_connections() -> None:
            """Replaces the last wait before the first byte."""
            if not closed and "q2" in core.open_requests:
                closed.append("q2")
                prefill_host.hang_up()
                decode_host.hang_up()
                await trio.testing.wait_all_tasks_blocked()

        pool.wait_caught_up = close_idle_connections
        answer = await ask_platform(on.platform, "q2", "orden")
        assert (answer.outcome, prefill_host.received_ids, decode_host.received_ids) == (
            "served",
            ["q1", "q2"],
            ["q1", "q2"],
        )
        assert [entry.status.value for entry in attempt_logs["q2"]] == ["read", "ok"]

    attempt_logs: dict[str, list[AttemptLogEntry]] = {}
    play(prefill_host, decode_host, story=recording_attempt_logs(story, attempt_logs))


@pytest.mark.parametrize("kind", ["consulta", "orden"])
def test_a_request_is_not_retried_after_its_last_byte_if_the_class_forbids_it(
    kind: str,
) -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        # closes the connection after the request's last byte
        decode_host.acts.append(Act(events=0, breaks=True))
        answer = await ask_platform(on.platform, "q1", kind)
        assert (answer.status, decode_host.received_ids) == (
            (500, ["q1"]) if kind == "orden" else (200, ["q1", "q1"])
        )

    play(prefill_host, decode_host, story=story)


class ClosesHalfway(ModelHost):
    """Resets its first connection after a part of the request; serves requests on later ones."""

    async def _connection(self, raw: trio.SocketStream) -> None:
        if self.opened:
            await super()._connection(raw)
            return
        self.opened += 1
        raw.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
        assert await raw.receive_some(100)
        await trio.testing.wait_all_tasks_blocked()  # the dispatcher waits to write more
        await trio.aclose_forcefully(raw)  # unread input makes this a reset


def test_a_connection_closed_before_the_last_byte_fails_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No host has received a complete request: it has not run, and every class allows a retry."""
    prefill_host = ModelHost("r", "prefill")
    decode_host = ClosesHalfway("w", "decode")
    original_init = UpstreamConnection.__init__

    def init_with_small_buffer(self: UpstreamConnection, raw: Any, *args: Any) -> None:
        raw.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_SNDBUF, 4096)
        original_init(self, raw, *args)

    monkeypatch.setattr(UpstreamConnection, "__init__", init_with_small_buffer)

    async def story(on: Stage) -> None:
        decode_host._sockets[0].socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
        answer = await ask_platform(on.platform, "q1", "orden", text="x" * 200_000)
        assert (answer.outcome, decode_host.received_ids, decode_host.opened) == ("served", ["q1"], 2)
        assert [entry.status.value for entry in attempt_logs["q1"]] == ["read", "connect_failed", "ok"]

    attempt_logs: dict[str, list[AttemptLogEntry]] = {}
    family = {**SETTINGS["family_info"], "ahead": False}
    play(
        prefill_host,
        decode_host,
        story=recording_attempt_logs(story, attempt_logs),
        settings={"family_info": family},
    )


class RespondsTwice(ModelHost):
    """Sends `SECOND_RESPONSE` on the connection of its first request once its second is complete."""

    first: PeerConnection | None = None

    async def play(self, act: Act, inbound: HttpRequest, connection: PeerConnection) -> None:
        if self.first is None:
            self.first = connection
        elif self.received_ids.count("q2") == 1 and not act.silent:
            await self.first.raw(SECOND_RESPONSE)
        await super().play(act, inbound, connection)


def test_a_second_response_is_not_used_for_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next request had already been written, and its prompt counted as prefilled."""
    # long enough even if this machine is slow between the two requests
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 60.0)
    gate = trio.Event()
    prefill_host = RespondsTwice("r", "prefill", Act(), Act(before=gate))
    decode_host = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        call = await send_request(on, "q2")
        await wait_until(lambda: prefill_host.received_ids == ["q1", "q2"])
        await trio.testing.wait_all_tasks_blocked()
        assert decode_host.received_ids == ["q1"]  # q2 is not prefilled yet
        gate.set()
        assert (await call.receive()).outcome == "served"

    play(prefill_host, decode_host, story=story)


def test_a_second_response_on_an_idle_connection_closes_it() -> None:
    prefill_host = ModelHost("r", "prefill", Act(behind=SECOND_RESPONSE))
    decode_host = ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        await ask_platform(on.platform, "q1", "orden")
        for connection in on.daemon.upstream_driver.pool.hosts["r"].idle:
            connection.usable_from = 0.0
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"
        assert prefill_host.opened == 2

    play(prefill_host, decode_host, story=story)


def test_an_idle_connection_is_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        for n in range(4):
            assert (await ask_platform(on.platform, f"q{n}", "orden")).outcome == "served"
        assert (prefill_host.opened, decode_host.opened) == (1, 1)

    play(prefill_host, decode_host, story=story)


# --- a release, and the attempt that supersedes it ---


def test_a_release_that_an_attempt_superseded_is_not_written() -> None:
    """It would release the state of the attempt that superseded it."""
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        core = on.daemon.core
        gate = trio.Event()
        prefill_host.acts.append(Act(before=gate))
        call = await send_request(on, "q1")
        await wait_until(lambda: prefill_host.received_ids == ["q1"])
        connects = DelayedConnects(on, "r")
        on.daemon.upstream_driver.pool.hosts.pop("w")  # leaves one host for the release
        request = core.open_requests["q1"]
        request.hold.apply(0.0, HoldEvent.STATE_LEFT)
        core._hold_manager.release(0.0, request)
        await connects.requested.wait()
        assert request.release is not None
        request.release.superseded = True  # as by a send
        connects.may_complete.set()
        await wait_until(lambda: request.release is None)
        assert prefill_host.calls == []
        gate.set()
        await call.receive()

    play(prefill_host, decode_host, story=story)


def test_state_of_a_failed_prefill_is_released_while_the_next_attempt_connects() -> None:
    """The decision to start the next attempt cancelled the release, but that attempt was never written."""
    prefill_host, decode_host = pair(prefill_acts=(Act(events=0, breaks=True),))
    other = ModelHost("r2", "prefill", Act(events=0, breaks=True))

    async def story(on: Stage) -> None:
        connects = {name: DelayedConnects(on, name) for name in ("r", "r2")}
        call = await send_request(on, "q1")
        await wait_until(lambda: any(connect.requested.is_set() for connect in connects.values()))
        next(connect for connect in connects.values() if connect.requested.is_set()).may_complete.set()
        released = ("DELETE", "q1")
        await wait_until(lambda: released in prefill_host.calls + other.calls + decode_host.calls)
        # The next attempt is not sent yet.
        assert len(prefill_host.received_ids) + len(other.received_ids) == 1
        for connect in connects.values():
            connect.may_complete.set()
        assert (await call.receive()).outcome == "served"

    play(prefill_host, decode_host, other, story=story)


def test_a_release_is_sent_to_another_host_while_one_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Called one after another, three unreachable hosts took 0.3 s each: longer than the retention time."""
    monkeypatch.setattr(state_release, "HOST_TIMEOUT_S", 60.0)
    prefill_host, decode_host = pair(DECLINE, DECLINE, DECLINE, DECLINE, DECLINE)
    further_hosts = [ModelHost(f"r{n}", "prefill") for n in range(2, 6)]
    gate = trio.Event()
    release_calls = []

    async def answer_release(inbound: HttpRequest, connection: PeerConnection) -> None:
        release_calls.append(inbound.method)
        if len(release_calls) < 4:
            await gate.wait()
        else:
            gate.set()
        await connection.answer(204, [])

    for host in (prefill_host, decode_host, *further_hosts):
        original_handle = host.handle

        async def handle_release(
            inbound: HttpRequest, connection: PeerConnection, original_handle: Any = original_handle
        ) -> None:
            await (answer_release if inbound.method == "DELETE" else original_handle)(inbound, connection)

        host.handle = handle_release  # type: ignore[method-assign]

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "refused"
        await wait_until(lambda: not on.daemon.core.open_requests)
        assert len(release_calls) == 4

    play(prefill_host, decode_host, *further_hosts, story=story)
