"""Races at shutdown, forced on real sockets; `docs/crossings.md` lists them."""

from __future__ import annotations

import json
import signal
from functools import partial
from pathlib import Path

import trio
import trio.testing

from tests.process_time import wait_until
from tests.race_helpers import DelayedConnects, send_request
from tests.test_program import start_program
from tests.test_stories import pair, play
from violetstack.protocol.http_client import ResponseData, ResponseEnd, ResponseHead
from violetstack.rehearsal.clients import (
    BODY,
    Call,
    ask_platform,
    connect,
    platform_headers,
)
from violetstack.rehearsal.hosts import SILENT, Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import SETTINGS, Stage

# --- the end of the process ---


class LargeResponse(ModelHost):
    """Sends more than the socket buffers hold."""

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [("Content-Type", "text/event-stream")])
        for _ in range(120):
            await connection.data(b'data: {"choices":[],"x":"%b"}\n\n' % (b"x" * 60_000))
        await connection.data(b"data: [DONE]\n\n")
        await connection.end()


def test_sigterm_completes_a_stream_whose_host_has_finished_and_whose_client_reads_late() -> None:
    """The client's connection counted as idle and was closed with unwritten bytes."""
    prefill_host = ModelHost("r", "prefill")
    decode_host = LargeResponse("w", "decode")

    async def story(on: Stage) -> None:
        sock = trio.socket.socket()
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 8192)  # keeps the rest unwritten
        await sock.connect(on.platform)
        call = Call(trio.SocketStream(sock))
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        core = on.daemon.core
        connections = on.daemon.listeners[0].table.connections
        received: list[ResponseHead | ResponseData | ResponseEnd] = []

        async def read() -> None:
            received.extend(call.http.feed(bytes(await call.stream.receive_some(64 * 1024))))

        await wait_until(lambda: any(c.unwritten_bytes for c in connections))
        while core.open_requests:
            await read()
        # the host has finished, but the client has stopped reading
        assert any(c.unwritten_bytes for c in connections)
        assert not on.daemon.listeners[0].table.evict_one()  # it is not evicted for a new connection
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        on.daemon.stop.set()  # a second signal changes nothing
        await wait_until(lambda: not on.daemon.accepting)
        await trio.sleep(0.1)  # the process has checked for idle connections meanwhile
        assert any(c.unwritten_bytes for c in connections)
        while not isinstance(received[-1], ResponseEnd):
            await read()
        bodies = [event for event in received if isinstance(event, ResponseData)]
        assert bytes(bodies[-1].data).endswith(b"data: [DONE]\n\n")

    play(prefill_host, decode_host, story=story)


def test_sigterm_waits_for_the_rest_of_a_request() -> None:
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
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        await call.stream.send_all(request_bytes[40:])
        assert (await call.receive()).outcome == "served"

    play(*pair(), story=story)


def test_sigterm_between_prefill_and_decode_serves_the_request() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        connects = DelayedConnects(on, "w")
        call = await send_request(on, "q1")
        await wait_until(lambda: prefill_host.received_ids == ["q1"])
        await connects.requested.wait()
        on.daemon.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        connects.may_complete.set()
        assert (await call.receive()).outcome == "served"

    play(prefill_host, decode_host, story=story)


def test_an_unread_request_on_an_idle_connection_is_answered_before_the_process_ends() -> None:
    """The process closed idle connections before it read their sockets, so the request was lost."""

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1")
        await call.receive()
        listener = on.daemon.listeners[0]
        await wait_until(lambda: bool(listener.table.idle) and not listener.table.busy)
        again = Call(call.stream)
        sent = again.http.request(
            "POST", "/v1/chat/completions", [("Host", "x"), *platform_headers("q2", "orden")], BODY
        )
        assert isinstance(call.stream, trio.SocketStream)
        await call.stream.socket.send(b"".join(bytes(part) for part in sent))
        assert listener.table.busy  # no task has run since the send: the request is unread
        listener.table.close_idle()
        assert (await again.receive()).outcome == "served"

    play(*pair(), story=story)


def test_sigterm_during_startup_shuts_down_in_order(tmp_path: Path) -> None:
    configuration: dict[str, object] = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}
    with start_program(tmp_path, configuration) as program:
        assert program.stdout is not None
        events = []
        for line in program.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] == "endpoint_list_updated":  # the first log line of a start
                program.send_signal(signal.SIGTERM)
                program.send_signal(signal.SIGHUP)
            elif events[-1] == "shutdown_started":
                program.send_signal(signal.SIGTERM)
        assert program.wait(10) == 0
    assert events[-1] == "stopped"
    assert "shutdown_started" in events


def test_requests_at_silent_hosts_are_answered_with_errors_at_shutdown() -> None:
    prefill_host, decode_host = pair(SILENT, SILENT, SILENT, SILENT)

    async def story(on: Stage) -> None:
        answers: list[int] = []

        async def ask(name: str, kind: str) -> None:
            answers.append((await ask_platform(on.platform, name, kind, Req_Deadline="60000m")).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(ask, "q1", "orden"))
            nursery.start_soon(partial(ask, "q2", "consulta"))
            await wait_until(lambda: len(decode_host.received_ids) >= 2)
            on.daemon.stop.set()
        assert sorted(answers) == [500, 503]

    play(prefill_host, decode_host, story=story)
