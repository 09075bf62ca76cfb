"""Log lines that tell which buffers grow, and whose input takes the processor."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest
import trio

from tests.test_event_loop import use_processor
from tests.test_stories import pair, play
from violetstack.net import memory_monitor
from violetstack.net.downstream.connection import DownstreamConnection
from violetstack.net.downstream.connection_reader import SLOW_INPUT_MS
from violetstack.net.memory_monitor import BYTES_PER_MB, MemoryMonitor, process_memory_bytes
from violetstack.rehearsal.clients import BODY, ask_platform, connect, platform_headers
from violetstack.rehearsal.stage import Stage


def logged(output: str, event: str) -> list[dict[str, Any]]:
    lines = [json.loads(line) for line in output.splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


def test_memory_near_the_limit_is_logged_with_what_is_counted(capfd: pytest.CaptureFixture[str]) -> None:
    # Guards against a process that is killed for its memory without a sign of what it kept.
    half_body = BODY[: len(BODY) // 2]

    async def story(on: Stage) -> None:
        listeners = on.daemon.listeners
        call = await connect(on.platform)
        async with call.stream:
            await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), b"")
            await call.receive()
            head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(BODY)
            await call.stream.send_all(head + half_body)
            while not any(connection.http.size for connection in listeners[0].table.connections):
                await trio.sleep(0.001)
            process_mb = process_memory_bytes() / BYTES_PER_MB
            MemoryMonitor(lambda: 2.5 * process_mb, listeners).sample()
            MemoryMonitor(lambda: process_mb, listeners).sample()

    play(*pair(), story=story)
    lines = logged(capfd.readouterr().out, "memory_high")
    assert len(lines) == 1
    assert lines[0]["connections"] == 1
    assert lines[0]["buffered_bytes"] >= len(half_body)
    assert lines[0]["process_mb"] > 1.0


def test_memory_is_sampled_while_the_process_serves(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(memory_monitor, "SAMPLE_INTERVAL_S", 0.001)
    monkeypatch.setattr(memory_monitor, "HIGH_MEMORY_SHARE", 0.0)

    async def story(on: Stage) -> None:
        await trio.sleep(0.05)

    play(*pair(), story=story)
    assert logged(capfd.readouterr().out, "memory_high")


def test_input_that_takes_long_is_logged(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    handle = DownstreamConnection.handle_next_request
    delayed: list[float] = []

    def handle_slowly(connection: DownstreamConnection) -> None:
        handle(connection)
        if connection.request is not None and not delayed:
            delayed.append(time.thread_time())
            use_processor(SLOW_INPUT_MS)

    monkeypatch.setattr(DownstreamConnection, "handle_next_request", handle_slowly)

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta")).status == 200

    play(*pair(), story=story)
    line = logged(capfd.readouterr().out, "client_input_slow")[0]
    assert line["cpu_ms"] >= SLOW_INPUT_MS
    assert line["received_bytes"] > 0
