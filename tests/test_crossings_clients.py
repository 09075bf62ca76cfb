"""Races between the dispatcher and clients, forced on real sockets; `docs/crossings.md` lists them."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from tests.process_time import ProcessTimer, wait_until
from tests.race_helpers import LIMITS, DelayedConnects, send_request
from tests.test_chat import with_idempotency_store
from tests.test_stories import pair, play
from violetstack.net.downstream import connection_reader
from violetstack.net.downstream.connection import DownstreamConnection
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
from violetstack.rehearsal.stage import Stage

# --- a client's first bytes and the eviction of its connection ---


class InterceptedRead:
    """Calls `on_read` after bytes have left the kernel's buffer and before the connection's task gets them.

    trio runs other tasks at this point if the bytes were available without a wait.
    """

    def __init__(self, stream: Any, on_read: Callable[[], object]) -> None:
        self._receive = stream.receive_some
        self._on_read = on_read
        stream.receive_some = self.receive_some

    async def receive_some(self, most: int | None = None) -> bytes | bytearray:
        data: bytes | bytearray = await self._receive(most)
        self._on_read()
        return data


async def connection_to_evict(on: Stage) -> tuple[Call, DownstreamConnection]:
    call = await connect(on.platform)
    listener = on.daemon.listeners[0]
    await wait_until(lambda: len(listener.table.awaiting_first_request) == 1)
    connection = next(iter(listener.table.awaiting_first_request))
    connection.progress_at -= 1.0  # makes it a candidate for eviction
    return call, connection


def test_a_connection_whose_first_request_is_being_read_is_not_evicted() -> None:
    """A request that was read but not parsed yet counted as never sent."""
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        call, connection = await connection_to_evict(on)
        evictions: list[bool] = []
        InterceptedRead(connection.stream, lambda: evictions.append(on.daemon.listeners[0].table.evict_one()))
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        assert (await call.receive()).outcome == "served"
        assert evictions[0] is False

    play(prefill_host, decode_host, story=story)


def test_a_request_read_from_a_connection_that_was_just_evicted_is_not_forwarded() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        call, connection = await connection_to_evict(on)
        InterceptedRead(connection.stream, lambda: on.daemon.listeners[0].table.evict(connection))
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        assert (await call.receive()).outcome == "refused"  # it was read, so it must be answered
        assert await call.stream.receive_some(100) == b""
        assert (prefill_host.received_ids, on.daemon.core.open_requests) == ([], {})

    play(prefill_host, decode_host, story=story)


def test_an_evicted_connection_counts_as_busy_until_its_request_is_answered() -> None:
    """Otherwise the process could end between the eviction and the response."""
    prefill_host, decode_host = pair()
    busy_after_eviction = []

    async def story(on: Stage) -> None:
        call, connection = await connection_to_evict(on)
        table = on.daemon.listeners[0].table

        def evict() -> None:
            table.evict(connection)
            busy_after_eviction.append(table.busy)

        InterceptedRead(connection.stream, evict)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        assert (await call.receive()).outcome == "refused"
        assert busy_after_eviction[0]
        await call.stream.aclose()
        await wait_until(lambda: not table.busy)

    play(prefill_host, decode_host, story=story)


# --- a client that disconnects ---


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("role", ["r", "w"])
def test_nothing_is_forwarded_for_a_client_that_disconnected_while_it_waited(role: str, cancel: bool) -> None:
    """Twenty clients disconnect while a connection is being established.

    If attempts cannot be cancelled, those that were not written yet were still sent.
    """
    prefill_host, decode_host = pair()
    host = prefill_host if role == "r" else decode_host
    request_ids = [f"q{n}" for n in range(20)]

    async def story(on: Stage) -> None:
        connects = DelayedConnects(on, role)
        calls = [await send_request(on, name) for name in request_ids]
        await connects.requested.wait()
        await trio.testing.wait_all_tasks_blocked()
        for call in calls:
            await call.stream.aclose()
        core = on.daemon.core
        await wait_until(lambda: all(request.done for request in core.open_requests.values()), 0.3)
        connects.may_complete.set()
        await wait_until(lambda: not core.open_requests)
        begun = [name for name in request_ids if name in host.received_ids]
        assert (begun, [host_call for host_call in host.calls if host_call[0] == "POST"]) == ([], [])

    play(prefill_host, decode_host, story=story, settings={"limits": {**LIMITS, "cancel": cancel}})


@pytest.mark.parametrize("chat", [False, True])
def test_a_request_followed_by_the_close_of_its_connection_is_not_accepted(
    chat: bool, capfd: pytest.CaptureFixture[str]
) -> None:
    """Happens after a wait in the accept queue, without free descriptors or while the process is busy."""
    prefill_host, decode_host = pair()
    body = chat_body("consulta") if chat else BODY
    lines = chat_headers() if chat else platform_headers("q1", "consulta")
    head = "".join(f"{name}: {value}\r\n" for name, value in [*lines, ("Content-Length", str(len(body)))])

    async def story(on: Stage) -> None:
        client = socket.create_connection(on.chat if chat else on.platform)
        client.sendall(f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{head}\r\n".encode() + body)
        client.close()  # no await in between: the dispatcher has not run since the connection was made
        assert (await ask_platform(on.platform, "q2", "consulta")).status == 200
        await wait_until(lambda: not on.daemon.core.open_requests)
        assert prefill_host.received_ids == ["q2"]

    play(prefill_host, decode_host, story=story)
    assert capfd.readouterr().out.count('"event":"request"') == 1


def test_nothing_is_forwarded_for_a_client_whose_close_is_still_unread() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        connects = DelayedConnects(on, "r")
        call = await connect(on.platform)
        listener = on.daemon.listeners[0]
        await wait_until(lambda: bool(listener.table.connections))
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
        await connects.requested.wait()
        call.stream.socket.close()  # type: ignore[attr-defined]
        connects.may_complete.set()
        await wait_until(lambda: not on.daemon.core.open_requests)
        assert (prefill_host.received_ids, decode_host.received_ids) == ([], [])
        assert not connection.lifecycle.closed

    play(prefill_host, decode_host, story=story)


def test_the_disconnect_of_a_client_that_pipelined_much_is_detected() -> None:
    """After 64 KiB of pipelined bytes nothing more was read, so the disconnect was not detected."""
    prefill_host, decode_host = pair(prefill_acts=(SILENT,))

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1")
        await wait_until(lambda: prefill_host.received_ids == ["q1"])
        await call.stream.send_all(b"x" * 300_000)
        await call.stream.aclose()
        await wait_until(lambda: not on.daemon.core.open_requests, 0.3)

    play(prefill_host, decode_host, story=story)


def test_endless_pipelined_input_is_bounded_and_the_request_is_answered() -> None:
    gate = trio.Event()
    prefill_host, decode_host = pair(prefill_acts=(Act(before=gate),))

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1")
        await wait_until(lambda: prefill_host.received_ids == ["q1"])
        await call.stream.send_all(b"x" * 3_000_000)
        connection = next(iter(c for c in on.daemon.listeners[0].table.connections if c.lifecycle.answering))
        assert connection.http.unread <= connection_reader.MAX_UNREAD_BYTES + connection_reader.READ_SIZE
        gate.set()
        assert (await call.receive()).outcome == "served"
        await wait_until(lambda: not on.daemon.listeners[0].table.connections)

    play(prefill_host, decode_host, story=story)


# --- forwarding of consecutive events ---


class WaitsForClient(ModelHost):
    """Writes each event once the client has received the previous one; a buffered event would block it."""

    events_received = 0
    gaps: list[float]

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        self.gaps = []
        await connection.start(200, [("Content-Type", "text/event-stream")])
        for n in range(20):
            time = ProcessTimer()
            await connection.data(b'data: {"choices":[{"index":0,"delta":{"content":"%d "}}]}\n\n' % n)
            while self.events_received <= n:
                time.sample()
                await trio.sleep(0.0005)
            self.gaps.append(time.sample())
        await connection.data(b"data: [DONE]\n\n")
        await connection.end()


@pytest.mark.parametrize("front", ["platform", "chat"])
def test_each_event_is_forwarded_before_the_next_and_within_300_ms(front: str) -> None:
    prefill_host = ModelHost("r", "prefill")
    decode_host = WaitsForClient("w", "decode")

    async def story(on: Stage) -> None:
        if front == "platform":
            call = await send_request(on, "q1")
        else:
            call = await connect(on.chat)
            await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
        for n in range(20):
            await call.receive(events=n + 1)
            decode_host.events_received = n + 1
        assert (await call.receive()).outcome == "served"
        assert len(decode_host.gaps) == 20
        assert max(decode_host.gaps) < 0.3

    play(prefill_host, decode_host, story=story)


def test_a_request_whose_client_disconnected_is_not_retried_once_its_attempt_is_rejected(
    tmp_path: Path,
) -> None:
    """It continues only while it may have run, so that the retry finds its result."""
    gate = trio.Event()
    prefill_host, decode_host = pair(Act(status=503, headers=DECLINE.headers, before=gate))

    async def story(on: Stage) -> None:
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body("giro-orden"))
        await wait_until(lambda: len(decode_host.received_ids) == 1)
        await call.stream.aclose()
        await wait_until(
            lambda: any(request.client_disconnected for request in on.daemon.core.open_requests.values())
        )
        gate.set()
        await wait_until(lambda: not on.daemon.core.open_requests)
        assert (len(prefill_host.received_ids), len(decode_host.received_ids)) == (1, 1)
        while (again := await ask_chat(on.chat, chat_body("giro-orden"), chat_headers("k1"))).status == 409:
            await trio.sleep(0.01)  # the record's change is on its way to the disk
        assert (again.outcome, len(decode_host.received_ids)) == ("served", 2)

    play(prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path))


def test_a_request_whose_client_disconnects_before_it_ran_is_not_forwarded_and_its_retry_runs_it(
    tmp_path: Path,
) -> None:
    """It was forwarded after its client had disconnected."""
    gate = trio.Event()
    prefill_host, decode_host = pair(prefill_acts=(Act(before=gate),))

    async def story(on: Stage) -> None:
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body("giro-orden"))
        await wait_until(lambda: len(prefill_host.received_ids) == 1)
        await call.stream.aclose()
        await wait_until(lambda: all(request.done for request in on.daemon.core.open_requests.values()), 0.3)
        gate.set()
        await wait_until(lambda: not on.daemon.core.open_requests)
        assert (
            len(decode_host.received_ids),
            [host_call for host_call in decode_host.calls if host_call[0] == "POST"][1:],
        ) == (0, [])
        while (again := await ask_chat(on.chat, chat_body("giro-orden"), chat_headers("k1"))).status == 409:
            await trio.sleep(0.01)  # the record's change is on its way to the disk
        assert (again.outcome, len(decode_host.received_ids)) == ("served", 1)

    play(prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path))
