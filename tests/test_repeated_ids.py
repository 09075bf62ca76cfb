"""A request that may not be repeated runs once, however often its id comes, at either process of an upgrade.

Incident of 2026-12-05: docs/incidents/2026-12-05-incomplete-streams.md, picture (d).
"""

from __future__ import annotations

import signal
import socket
import struct
from pathlib import Path

import pytest
import trio

from tests.test_handover import Platform, run_processes
from violetstack.core.executed_requests import (
    PROBED_SLOTS,
    RETENTION_MS,
    SLOTS,
    TABLE_BYTES,
    ExecutedRequests,
)
from violetstack.net.executed_requests_table import open_table
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import BODY, Call, connect, platform_headers
from violetstack.rehearsal.fleet.dispatcher_process import DispatcherProcess, dispatcher_process
from violetstack.rehearsal.hosts import DECLINE, SILENT, Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


# --- the table ---


class ManualClock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


def test_an_id_is_remembered_for_the_retention_time_unless_it_is_forgotten() -> None:
    clock = ManualClock()
    executed = ExecutedRequests(clock_s=clock)
    executed.record("a")
    executed.record("b")
    executed.forget("b")
    assert (executed.contains("a"), executed.contains("b")) == (True, False)
    clock.now_s += RETENTION_MS / 1000.0
    assert executed.contains("a")
    clock.now_s += 1.0
    assert not executed.contains("a")


def test_a_table_written_before_the_clock_began_anew_remembers_nothing() -> None:
    clock = ManualClock()
    executed = ExecutedRequests(clock_s=clock)
    executed.record("a")
    clock.now_s = 5.0
    assert not executed.contains("a")
    executed.record("a")
    assert executed.contains("a")


def test_a_full_table_keeps_the_latest_ids() -> None:
    clock = ManualClock()
    executed = ExecutedRequests(clock_s=clock)
    for n in range(4 * SLOTS):
        clock.now_s += 0.001
        executed.record(f"old{n}")
    for n in range(PROBED_SLOTS):
        clock.now_s += 0.001
        executed.record(f"new{n}")
    assert all(executed.contains(f"new{n}") for n in range(PROBED_SLOTS))


def test_a_directory_that_cannot_be_written_leaves_a_table_of_this_process_alone(tmp_path: Path) -> None:
    table = open_table(str(tmp_path / "missing"), "n0")
    assert len(table) == TABLE_BYTES
    executed = ExecutedRequests(table)
    executed.record("a")
    assert executed.contains("a")


# --- one process ---


class SlowlyReleasingHost(ModelHost):
    """Declines all requests, and answers a release once it is told to."""

    def __init__(self, release_taken: trio.Event) -> None:
        super().__init__("w0", "decode", *[DECLINE] * 200)
        self._release_taken = release_taken

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if inbound.method == "DELETE":
            self.calls.append((inbound.method, inbound.path.removeprefix("/state/")))
            await self.note()
            await self._release_taken.wait()
            await connection.answer(204, [])
            return
        await super().handle(inbound, connection)


async def ask_again(process: DispatcherProcess, request_class: str) -> int:
    call = await process.send_request("same", request_class)
    with trio.fail_after(5.0):
        return (await call.receive()).status


async def leave(call: Call, *, reset: bool) -> None:
    raw = call.stream.socket  # type: ignore[attr-defined]
    if reset:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    raw.close()
    await trio.sleep(0.3)


@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
def test_an_id_whose_client_has_left_does_not_run_again(reset: bool) -> None:
    decode = ModelHost("w0", "decode", SILENT)

    async def scenario() -> None:
        async with dispatcher_process(ModelHost("r0", "prefill"), decode) as process:
            call = await process.send_request("same", "orden")
            await decode.until(lambda: decode.received_ids == ["same"])
            await leave(call, reset=reset)
            await trio.sleep(1.5)  # until no host holds anything for it, and its record is closed
            assert await ask_again(process, "orden") == 409
        assert decode.received_ids == ["same"]

    trio.run(scenario)


def test_an_id_that_was_served_does_not_run_again_unless_it_may_be_repeated() -> None:
    decode = ModelHost("w0", "decode")

    async def scenario() -> None:
        async with dispatcher_process(ModelHost("r0", "prefill"), decode) as process:
            assert await ask_again(process, "orden") == 200
            assert await ask_again(process, "orden") == 409
            assert decode.received_ids == ["same"]
            assert await ask_again(process, "consulta") == 200

    trio.run(scenario)


async def repeat_until_received(process: DispatcherProcess, decode: ModelHost) -> list[int]:
    """Sends the id again until the decode host gets it again; returns the statuses."""
    received_before = len(decode.received_ids)
    statuses: list[int] = []
    with trio.fail_after(5.0):
        while len(decode.received_ids) == received_before:
            statuses.append(await ask_again(process, "orden"))
    return statuses


def test_an_id_that_no_host_has_executed_may_come_again() -> None:
    """While what is held for the first request is released, the second is refused, not failed."""
    decode = ModelHost("w0", "decode", *[DECLINE] * 200)

    async def scenario() -> None:
        async with dispatcher_process(ModelHost("r0", "prefill"), decode) as process:
            assert await ask_again(process, "orden") == 503
            assert set(await repeat_until_received(process, decode)) == {503}

    trio.run(scenario)


def test_an_id_comes_again_while_a_slow_host_releases_its_state() -> None:
    """Guards against 409 for a request that was refused just now: its record is open until the release."""
    release_taken = trio.Event()
    decode = SlowlyReleasingHost(release_taken)

    async def scenario() -> None:
        async with dispatcher_process(ModelHost("r0", "prefill"), decode) as process:
            assert await ask_again(process, "orden") == 503
            await decode.until(lambda: ("DELETE", "same") in decode.calls)
            assert await ask_again(process, "orden") == 503
            assert decode.received_ids == ["same"]
            release_taken.set()
            assert set(await repeat_until_received(process, decode)) == {503}

    trio.run(scenario)


# --- two processes of an upgrade ---


def test_an_id_that_ran_at_one_process_of_an_upgrade_does_not_run_at_the_other(tmp_path: Path) -> None:
    decode = ModelHost("w", "decode", Act(), SILENT)

    async def ask(call: Call, request: str) -> int:
        await call.send("POST", "/v1/chat/completions", platform_headers(request, "orden"), BODY)
        return (await call.receive()).status

    async def scenario(platform: Platform) -> None:
        predecessor, _ = await platform.start()
        kept = await connect(platform.address)
        assert await ask(kept, "served") == 200
        left = await connect(platform.address)
        await left.send("POST", "/v1/chat/completions", platform_headers("left", "orden"), BODY)
        await decode.until(lambda: "left" in decode.received_ids)
        await leave(left, reset=False)
        await platform.start()
        predecessor.send_signal(signal.SIGTERM)
        while not platform.logged(predecessor, "shutdown_started"):
            await trio.sleep(0.01)
        for request in ("served", "left"):
            assert await ask(await connect(platform.address), request) == 409
        assert await ask(await connect(platform.address), "new") == 200
        assert decode.received_ids == ["served", "left", "new"]

    run_processes(tmp_path, ModelHost("r", "prefill"), decode, scenario=scenario)
