"""The deadlines of a shutdown: what is still accepted, and what is answered before SIGKILL may come."""

from __future__ import annotations

import time
from typing import Any

import pytest
import trio
import trio.testing

from tests.process_time import wait_until
from tests.race_helpers import send_request
from tests.test_stories import pair, play
from violetstack.daemon.lifecycle import SignalTime
from violetstack.daemon.shutdown_schedule import KILL_DELAY_S, ShutdownSchedule
from violetstack.net.clock import now_ms
from violetstack.net.downstream.closing import Violation
from violetstack.rehearsal.clients import BODY, Call, connect, platform_headers
from violetstack.rehearsal.hosts import SILENT, Act
from violetstack.rehearsal.stage import SETTINGS, Stage

LAST_NEW_CONNECTION_S = 0.4  # after SIGTERM, from a load balancer in front


def settings_with_timeout(timeout_ms: float) -> dict[str, Any]:
    """The plain settings, with one client timeout in all classes."""
    return {"classes": [{**each, "give_up": timeout_ms} for each in SETTINGS["classes"]]}


def stop_as_if_asked(on: Stage, seconds_ago: float) -> None:
    """Shuts down as if SIGTERM had come earlier, and the event loop had just got to it."""
    came_at = now_ms() - seconds_ago * 1000.0
    on.daemon.lifecycle._signal = SignalTime(came_at, came_at)
    on.daemon.stop.set()


async def until_closed(stream: trio.abc.Stream) -> bytes:
    """What the peer still sends before it closes the connection."""
    received = b""
    try:
        while data := await stream.receive_some(4096):
            received += bytes(data)
    except trio.BrokenResourceError:
        pass
    return received


@pytest.mark.parametrize("timeout_ms", [300.0, 500.0, 650.0, 3000.0, 15000.0])
def test_the_steps_of_a_shutdown_are_in_order_for_each_timeout(timeout_ms: float) -> None:
    schedule = ShutdownSchedule.for_longest_timeout(timeout_ms)
    assert LAST_NEW_CONNECTION_S < schedule.stop_accepting_s <= schedule.reject_s < KILL_DELAY_S
    assert schedule.kill_s == pytest.approx(min(timeout_ms / 1000.0, 3.0) + 0.7)
    # No request is accepted after the waiting ones were ended, and their answers have time to be sent.
    assert schedule.reject_s < schedule.end_waiting_s <= schedule.kill_s - 0.1
    assert schedule.close_listener_s <= schedule.close_silent_s + 0.2
    assert schedule.end_waiting_s <= schedule.close_silent_s <= schedule.kill_s - 0.1


@pytest.mark.parametrize("accepted_after_s", [0.6, 1.2])
def test_a_request_on_a_connection_that_waits_to_be_accepted_is_answered_before_the_socket_closes(
    accepted_after_s: float,
) -> None:
    """The listening socket was closed over its queue, which reset the connections in it.

    A process that is busy right after its start takes its time to accept what came meanwhile.
    """

    async def story(on: Stage) -> None:
        listener = on.daemon.listeners[0]
        accept = listener._handle_accepted
        held = trio.Event()
        go_on = trio.Event()

        async def accept_slowly(stream: trio.SocketStream, tls_handshake: Any) -> None:
            held.set()
            await go_on.wait()
            await accept(stream, tls_handshake)

        listener._handle_accepted = accept_slowly  # type: ignore[method-assign]
        first = await connect(on.platform)
        await held.wait()
        queued = await send_request(on, "q1")  # nobody has accepted this connection yet
        on.daemon.stop.set()
        await trio.sleep(accepted_after_s)
        go_on.set()
        assert (await queued.receive()).status in (200, 503)
        assert not listener.closes.violations[Violation.QUEUE_CLOSED]
        await first.stream.aclose()

    play(*pair(), story=story)


def test_no_idle_connection_is_left_when_the_process_ends() -> None:
    """A request that came on one while the state was written was read, and ended with the process."""
    hold = trio.Event()

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1")
        await call.receive(events=3)  # the response's head does not announce the connection's end
        listener = on.daemon.listeners[0]
        idle_at_end: list[bool] = []

        async def stop_recovery() -> None:
            idle_at_end.append(bool(listener.table.idle))

        on.daemon.components.recovery.stop = stop_recovery  # type: ignore[method-assign]
        stop_as_if_asked(on, 0.56)
        await wait_until(lambda: not on.daemon.accepting)
        hold.set()
        assert (await call.receive()).whole
        await wait_until(lambda: bool(idle_at_end))
        assert idle_at_end == [False]

    play(*pair(Act(pause=hold)), story=story)


def test_a_silent_connection_is_closed_before_sigkill_may_come() -> None:
    """It stayed open for 2.2 s, and a request that came on it late was found unanswered by SIGKILL."""

    async def story(on: Stage) -> None:
        silent = await connect(on.platform)
        await wait_until(lambda: bool(on.daemon.listeners[0].table.awaiting_first_request))
        stop_as_if_asked(on, 0.8)
        with trio.fail_after(0.2 + 0.5):  # SIGKILL may come after 0.2 s; the rest is the machine's
            assert await until_closed(silent.stream) == b""

    play(*pair(), story=story, settings=settings_with_timeout(300.0))


@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
def test_half_a_request_is_answered_before_sigkill_may_come(kept: bool) -> None:
    """The rest of it could come too late to be answered."""
    reader, writer = pair()
    schedule = ShutdownSchedule.for_longest_timeout(300.0)

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        if kept:
            await call.send("GET", "/-/ready", [])
            assert (await call.receive()).status == 200
        await call.stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n")
        listener = on.daemon.listeners[0]
        await wait_until(lambda: any(connection.http.busy for connection in listener.table.connections))
        stop_as_if_asked(on, schedule.close_silent_s)
        assert b" 503 " in await until_closed(call.stream)
        assert reader.begun == []

    play(reader, writer, story=story, settings=settings_with_timeout(300.0))


@pytest.mark.parametrize("signal_handled", ["before", "after"])
def test_a_request_read_after_a_late_look_at_sigterm_is_rejected(signal_handled: str) -> None:
    """The time counted from when the event loop got to the signal, so what it took was cut off by SIGKILL.

    The handler runs before a long iteration of the event loop, or after a stop of the process (SIGSTOP).
    """

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        whole = b"".join(
            bytes(part)
            for part in call.http.request(
                "POST", "/v1/chat/completions", [("Host", "x"), *platform_headers("q1", "orden")], BODY
            )
        )
        await call.stream.send_all(whole[:40])
        await wait_until(lambda: any(c.http.busy for c in on.daemon.listeners[0].table.connections))
        if signal_handled == "before":
            on.daemon.lifecycle.record_signal()
        time.sleep(0.65)  # noqa: ASYNC251 - the event loop stands still
        on.daemon.lifecycle.record_signal()
        on.daemon.stop.set()
        await trio.sleep(0.06)  # three looks of the shutdown at its clock
        await call.stream.send_all(whole[40:])
        assert (await call.receive()).status == 503

    reader, writer = pair()
    play(reader, writer, story=story)
    assert reader.begun == []


def test_streams_go_on_and_waiting_requests_are_answered_when_the_drain_ends() -> None:
    """Where a timeout is longer than the drain, requests still wait when it ends."""
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold), SILENT, SILENT, SILENT, SILENT)

    async def story(on: Stage) -> None:
        streaming = await send_request(on, "q1")
        await streaming.receive(events=3)
        waiting: Call = await send_request(on, "q2", Req_Deadline="15000m")
        await wait_until(lambda: len(writer.begun) >= 2)
        stop_as_if_asked(on, 3.25)
        with trio.fail_after(0.45 + 0.5):  # SIGKILL may come after 0.45 s; the rest is the machine's
            assert (await waiting.receive()).status in (500, 503)
        hold.set()
        assert (await streaming.receive()).whole

    play(reader, writer, story=story, settings=settings_with_timeout(15000.0))


class _LeasesWithWait:
    """Leases whose restart permit comes after a while."""

    async def shut_down(self) -> None:
        await trio.sleep(0.7)


def test_a_wait_for_a_restart_permit_takes_no_time_from_the_drain() -> None:
    """Else the requests that wait when the permit comes were ended at once."""
    hold = trio.Event()

    async def story(on: Stage) -> None:
        on.daemon.leases = _LeasesWithWait()  # type: ignore[assignment]
        call = await send_request(on, "q1")
        await wait_until(lambda: bool(on.daemon.core.open_requests))
        on.daemon.lifecycle.record_signal()
        on.daemon.stop.set()
        await wait_until(lambda: on.daemon.listeners[0].draining)
        await trio.sleep(0.06)  # three looks of the shutdown at its clock
        assert on.daemon.accepting
        hold.set()
        assert (await call.receive()).outcome == "served"

    play(*pair(Act(before=hold)), story=story, settings=settings_with_timeout(1500.0))
