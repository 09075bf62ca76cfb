"""The states of a client connection: the transition table, and a shutdown in each state."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from itertools import product
from pathlib import Path
from typing import Any

import pytest
import trio

from tests.process_time import wait_until
from tests.race_helpers import send_request
from tests.test_shutdown_deadlines import settings_with_timeout, stop_as_if_signaled
from tests.test_stories import pair
from violetstack.daemon.shutdown_schedule import ShutdownSchedule
from violetstack.net.downstream.connection import DownstreamConnection
from violetstack.net.downstream.connection_lifecycle import (
    TRANSITIONS,
    ConnectionEvent,
    ConnectionLifecycle,
    ConnectionState,
    InvalidTransitionError,
)
from violetstack.rehearsal.clients import Call, connect
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import Stage, stage

ARCHITECTURE = Path(__file__).parent.parent / "docs" / "architecture.md"
SCHEDULE = ShutdownSchedule.for_longest_timeout(15000.0)
STEPS = {
    "SIGTERM": 0.0,
    "reject": SCHEDULE.reject_s,
    "end waiting": SCHEDULE.end_waiting_s,
    "close silent": SCHEDULE.close_silent_s,
}
SMALL_BUFFER = 4096
TAIL_BYTES = 200_000
LIMIT_S = 30.0
CASES_AT_ONCE = 7


def test_every_state_can_be_reached_and_closed() -> None:
    reached = {ConnectionState.UNREAD}
    for _ in ConnectionState:
        reached |= {next_state for state in reached for next_state in TRANSITIONS[state].values()}
    assert reached == set(ConnectionState)
    open_states = set(ConnectionState) - {ConnectionState.CLOSED}
    assert all(ConnectionEvent.SOCKET_CLOSED in TRANSITIONS[state] for state in open_states)
    assert not TRANSITIONS[ConnectionState.CLOSED]


def test_an_invalid_event_is_logged_and_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, Any]] = []
    lifecycle = ConnectionLifecycle(lambda event, **fields: lines.append({"event": event, **fields}))
    with pytest.raises(InvalidTransitionError, match="event output_written is not valid in state unread"):
        lifecycle.apply(ConnectionEvent.OUTPUT_WRITTEN)
    monkeypatch.setattr(ConnectionLifecycle, "strict", False)
    lifecycle.apply(ConnectionEvent.OUTPUT_WRITTEN)
    assert lifecycle.state is ConnectionState.UNREAD
    assert lines == [{"event": "connection_state_invalid", "state": "unread", "cause": "output_written"}]


def test_the_architecture_page_shows_the_transition_table() -> None:
    rows = re.findall(r"^\| `(\w+)` \| `(\w+)` \| `(\w+)` \|", ARCHITECTURE.read_text(), re.MULTILINE)
    table = [
        (state.value, event.value, next_state.value)
        for state, events in TRANSITIONS.items()
        for event, next_state in events.items()
        if event is not ConnectionEvent.SOCKET_CLOSED
    ]
    assert rows == table


# --- each state at each step of a shutdown ---


class LargeTail(ModelHost):
    """Continues streams after the act's pause, ending with more data than the kernel's buffers hold."""

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [("Content-Type", "text/event-stream")])
        await connection.data(b"data: first\n\n")
        if act.pause is not None:
            await act.pause.wait()
        await connection.data(b"data: " + b"x" * TAIL_BYTES + b"\n\n")
        await connection.data(b"data: [DONE]\n\n")
        await connection.end()


def only_connection(on: Stage) -> DownstreamConnection:
    (connection,) = on.daemon.listeners[0].table.connections
    return connection


async def read_all(call: Call) -> None:
    """Reads to the end of the response, then to the end of the connection."""
    answer = await call.receive()
    if answer.whole:
        try:
            assert await call.stream.receive_some(4096) == b""
        except trio.BrokenResourceError:
            raise AssertionError("the connection was reset after the response") from None


async def connect_unread(on: Stage, gate: trio.Event) -> Call:
    return await connect(on.platform)


async def connect_reading(on: Stage, gate: trio.Event) -> Call:
    call = await connect(on.platform)
    await call.stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n")
    return call


async def connect_waiting(on: Stage, gate: trio.Event) -> Call:
    return await send_request(on, "q1")


async def connect_streaming(on: Stage, gate: trio.Event) -> Call:
    call = await send_request(on, "q1")
    await call.receive(events=1)
    return call


async def connect_idle(on: Stage, gate: trio.Event) -> Call:
    gate.set()
    call = await send_request(on, "q1")
    assert (await call.receive()).whole
    call.answer.status = 0
    return call


async def connect_flushing(on: Stage, gate: trio.Event) -> Call:
    gate.set()
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, SMALL_BUFFER)
    await sock.connect(on.platform)
    return await send_request(on, "q1", call=Call(trio.SocketStream(sock)), Connection="close")


async def connect_lingering(on: Stage, gate: trio.Event) -> Call:
    gate.set()
    call = await send_request(on, "q1", Connection="close")
    assert (await call.receive()).whole
    call.answer.status = 0
    return call


CONNECT_IN_STATE: dict[ConnectionState, Callable[[Stage, trio.Event], Awaitable[Call]]] = {
    ConnectionState.UNREAD: connect_unread,
    ConnectionState.READING: connect_reading,
    ConnectionState.WAITING: connect_waiting,
    ConnectionState.STREAMING: connect_streaming,
    ConnectionState.IDLE: connect_idle,
    ConnectionState.FLUSHING: connect_flushing,
    ConnectionState.LINGERING: connect_lingering,
}
EXPECTED_STATUSES: dict[ConnectionState, set[int]] = {
    ConnectionState.UNREAD: {0},
    ConnectionState.READING: {408, 503},
    ConnectionState.WAITING: {200, 500, 503},
    ConnectionState.STREAMING: {200},
    ConnectionState.IDLE: {0},
    ConnectionState.FLUSHING: {200},
    ConnectionState.LINGERING: {0},
}
"""Statuses that the client may receive after the shutdown has begun; 0 means no response."""


def test_every_open_state_has_shutdown_cases() -> None:
    assert set(CONNECT_IN_STATE) == set(EXPECTED_STATUSES) == set(ConnectionState) - {ConnectionState.CLOSED}


async def shut_down_from(state: ConnectionState, step: str) -> None:
    """Shuts down with one connection in this state, as if SIGTERM had arrived `STEPS[step]` seconds ago."""
    gate = trio.Event()
    prefill_host, _ = pair()
    before = Act(before=gate) if state is ConnectionState.WAITING else Act(pause=gate)
    decode_host = LargeTail("w", "decode", before)
    with trio.fail_after(LIMIT_S):
        async with stage(prefill_host, decode_host, settings=settings_with_timeout(15000.0)) as on:
            call = await CONNECT_IN_STATE[state](on, gate)
            await wait_until(lambda: len(on.daemon.listeners[0].table.connections) == 1)
            await wait_until(lambda: only_connection(on).lifecycle.state is state)
            listener = on.daemon.listeners[0]
            stop_as_if_signaled(on, STEPS[step])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_all, call)
                await trio.sleep(0.06)  # the shutdown checks its clock three times
                gate.set()
            assert call.answer.status in EXPECTED_STATUSES[state]
            assert call.answer.whole or call.answer.status == 0
            await wait_until(lambda: not listener.table.connections)
            assert not listener.closes.violations


Case = tuple[ConnectionState, str]
CASES: tuple[Case, ...] = tuple(product(CONNECT_IN_STATE, STEPS))


@pytest.fixture(scope="module")
def failures() -> dict[Case, BaseException]:
    """Runs all cases concurrently and returns the exceptions that they raised."""
    raised: dict[Case, BaseException] = {}
    limit = trio.CapacityLimiter(CASES_AT_ONCE)

    async def run_case(case: Case) -> None:
        async with limit:
            try:
                await shut_down_from(*case)
            except Exception as error:
                raised[case] = error

    async def run_all_cases() -> None:
        async with trio.open_nursery() as nursery:
            for case in CASES:
                nursery.start_soon(run_case, case)

    trio.run(run_all_cases)
    return raised


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case[0].value}, {case[1]}")
def test_a_shutdown_completes_each_connection_without_violations(
    case: Case, failures: dict[Case, BaseException]
) -> None:
    if case in failures:
        raise failures[case]
