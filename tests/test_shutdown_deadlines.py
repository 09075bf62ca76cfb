"""Deadlines of a shutdown: which requests are still accepted, and what must be answered before SIGKILL."""

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

LAST_NEW_CONNECTION_S = 0.4  # a load balancer opens connections for so long after SIGTERM


def settings_with_timeout(timeout_ms: float) -> dict[str, Any]:
    """Returns the default settings with the same client timeout in all classes."""
    return {"classes": [{**spec, "give_up": timeout_ms} for spec in SETTINGS["classes"]]}


def stop_as_if_signaled(on: Stage, seconds_ago: float) -> None:
    """Starts a shutdown as if SIGTERM had arrived earlier and the event loop had only now handled it."""
    arrived_at_ms = now_ms() - seconds_ago * 1000.0
    on.daemon.lifecycle._signal = SignalTime(arrived_at_ms, arrived_at_ms)
    on.daemon.stop.set()


async def read_until_closed(stream: trio.abc.Stream) -> bytes:
    """Returns the data that the peer sends until it closes the connection."""
    received = b""
    try:
        while data := await stream.receive_some(4096):
            received += bytes(data)
    except trio.BrokenResourceError:
        pass
    return received


@pytest.mark.parametrize("timeout_ms", [300.0, 500.0, 650.0, 3000.0, 15000.0])
def test_the_steps_of_a_shutdown_are_ordered_for_each_client_timeout(timeout_ms: float) -> None:
    schedule = ShutdownSchedule.for_longest_timeout(timeout_ms)
    assert LAST_NEW_CONNECTION_S < schedule.stop_accepting_s <= schedule.reject_s < KILL_DELAY_S
    assert schedule.kill_s == pytest.approx(min(timeout_ms / 1000.0, 3.0) + 0.7)
    # No request is accepted after waiting requests are ended, and their responses have time to be sent.
    assert schedule.reject_s < schedule.end_waiting_s <= schedule.kill_s - 0.1
    assert schedule.close_listener_s <= schedule.close_silent_s + 0.2
    assert schedule.end_waiting_s <= schedule.close_silent_s <= schedule.kill_s - 0.1


@pytest.mark.parametrize("accepted_after_s", [0.6, 1.2])
def test_a_request_on_a_connection_that_waits_to_be_accepted_is_answered_before_the_socket_closes(
    accepted_after_s: float,
) -> None:
    """The listening socket was closed while connections waited in its accept queue, which reset them.

    A process that is busy, for example right after its start, accepts such connections late.
    """

    async def story(on: Stage) -> None:
        listener = on.daemon.listeners[0]
        accept = listener._handle_accepted
        accept_blocked = trio.Event()
        resume_accepting = trio.Event()

        async def accept_slowly(stream: trio.SocketStream, tls_handshake: Any) -> None:
            accept_blocked.set()
            await resume_accepting.wait()
            await accept(stream, tls_handshake)

        listener._handle_accepted = accept_slowly  # type: ignore[method-assign]
        first_call = await connect(on.platform)
        await accept_blocked.wait()
        queued_call = await send_request(on, "q1")  # this connection waits in the accept queue
        on.daemon.stop.set()
        await trio.sleep(accepted_after_s)
        resume_accepting.set()
        assert (await queued_call.receive()).status in (200, 503)
        assert not listener.closes.violations[Violation.QUEUE_CLOSED]
        await first_call.stream.aclose()

    play(*pair(), story=story)


def test_no_idle_connection_is_open_when_the_process_ends() -> None:
    """A request on an idle connection was read while the state was written, and lost at the process's end."""
    resume_response = trio.Event()

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1")
        await call.receive(events=3)  # the head of the response has no `Connection: close`
        listener = on.daemon.listeners[0]
        idle_at_end: list[bool] = []

        async def stop_recovery() -> None:
            idle_at_end.append(bool(listener.table.idle))

        on.daemon.components.recovery.stop = stop_recovery  # type: ignore[method-assign]
        stop_as_if_signaled(on, 0.56)
        await wait_until(lambda: not on.daemon.accepting)
        resume_response.set()
        assert (await call.receive()).whole
        await wait_until(lambda: bool(idle_at_end))
        assert idle_at_end == [False]

    play(*pair(Act(pause=resume_response)), story=story)


def test_a_connection_without_a_request_is_closed_before_the_earliest_sigkill() -> None:
    """Such a connection stayed open for 2.2 s, and SIGKILL came before a late request on it was answered."""

    async def story(on: Stage) -> None:
        silent_call = await connect(on.platform)
        await wait_until(lambda: bool(on.daemon.listeners[0].table.awaiting_first_request))
        stop_as_if_signaled(on, 0.8)
        with trio.fail_after(0.2 + 0.5):  # earliest SIGKILL, and 0.5 s for a slow machine
            assert await read_until_closed(silent_call.stream) == b""

    play(*pair(), story=story, settings=settings_with_timeout(300.0))


@pytest.mark.parametrize("connection_reused", [False, True], ids=["new connection", "reused connection"])
def test_a_partial_request_is_answered_before_the_earliest_sigkill(connection_reused: bool) -> None:
    """Its remainder could arrive too late for a response before SIGKILL."""
    prefill_host, decode_host = pair()
    schedule = ShutdownSchedule.for_longest_timeout(300.0)

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        if connection_reused:
            await call.send("GET", "/-/ready", [])
            assert (await call.receive()).status == 200
        await call.stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n")
        listener = on.daemon.listeners[0]
        await wait_until(lambda: any(connection.http.busy for connection in listener.table.connections))
        stop_as_if_signaled(on, schedule.close_silent_s)
        assert b" 503 " in await read_until_closed(call.stream)
        assert prefill_host.received_ids == []

    play(prefill_host, decode_host, story=story, settings=settings_with_timeout(300.0))


@pytest.mark.parametrize("signal_handled", ["before", "after"])
def test_a_request_that_is_read_after_a_late_handling_of_sigterm_is_rejected(signal_handled: str) -> None:
    """The schedule counted from the handling in the event loop, so SIGKILL cut off requests accepted since.

    The signal handler runs before a long iteration of the event loop, or after a pause (SIGSTOP).
    """

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        request_bytes = b"".join(
            bytes(part)
            for part in call.http.request(
                "POST", "/v1/chat/completions", [("Host", "x"), *platform_headers("q1", "orden")], BODY
            )
        )
        await call.stream.send_all(request_bytes[:40])
        await wait_until(lambda: any(c.http.busy for c in on.daemon.listeners[0].table.connections))
        if signal_handled == "before":
            on.daemon.lifecycle.record_signal()
        time.sleep(0.65)  # noqa: ASYNC251 - blocks the event loop
        on.daemon.lifecycle.record_signal()
        on.daemon.stop.set()
        await trio.sleep(0.06)  # three polls of the shutdown
        await call.stream.send_all(request_bytes[40:])
        assert (await call.receive()).status == 503

    prefill_host, decode_host = pair()
    play(prefill_host, decode_host, story=story)
    assert prefill_host.received_ids == []


def test_streams_continue_and_waiting_requests_are_answered_when_the_drain_ends() -> None:
    """With a client timeout longer than the drain, requests can still wait for a host when the drain ends."""
    resume_response = trio.Event()
    prefill_host, decode_host = pair(Act(pause=resume_response), SILENT, SILENT, SILENT, SILENT)

    async def story(on: Stage) -> None:
        streaming = await send_request(on, "q1")
        await streaming.receive(events=3)
        waiting: Call = await send_request(on, "q2", Req_Deadline="15000m")
        await wait_until(lambda: len(decode_host.received_ids) >= 2)
        stop_as_if_signaled(on, 3.25)
        with trio.fail_after(0.45 + 0.5):  # earliest SIGKILL, and 0.5 s for a slow machine
            assert (await waiting.receive()).status in (500, 503)
        resume_response.set()
        assert (await streaming.receive()).whole

    play(prefill_host, decode_host, story=story, settings=settings_with_timeout(15000.0))


class _LeasesWithWait:
    """A lease service that waits 0.7 s for its restart permit."""

    async def shut_down(self) -> None:
        await trio.sleep(0.7)


def test_the_wait_for_a_restart_permit_does_not_shorten_the_drain() -> None:
    """Otherwise requests that wait when the permit arrives would be ended at once."""
    resume_response = trio.Event()

    async def story(on: Stage) -> None:
        on.daemon.leases = _LeasesWithWait()  # type: ignore[assignment]
        call = await send_request(on, "q1")
        await wait_until(lambda: bool(on.daemon.core.open_requests))
        on.daemon.lifecycle.record_signal()
        on.daemon.stop.set()
        await wait_until(lambda: on.daemon.listeners[0].draining)
        await trio.sleep(0.06)  # three polls of the shutdown
        assert on.daemon.accepting
        resume_response.set()
        assert (await call.receive()).outcome == "served"

    play(*pair(Act(before=resume_response)), story=story, settings=settings_with_timeout(1500.0))
