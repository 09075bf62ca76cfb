"""Hot restart: handover records, the choice of the successor, stream migration, and two real processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from array import array
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
import trio
import trio.testing

from tests.router_harness import RouterHarness, make_endpoint
from tests.test_admin import get, post
from tests.test_stories import pair, play
from violetstack.admin.cordons import Cordon
from violetstack.config import Address, ConfigError
from violetstack.handover.errors import InvalidOfferError, InvalidRecordError
from violetstack.handover.learned_state import LearnedState, capture_learned_state, restore_learned_state
from violetstack.handover.record import FORMAT_VERSION, HandoverRecord, decode_record, encode_record
from violetstack.handover.stream_migration import (
    COMMIT,
    DECLINE,
    READY,
    StreamOffer,
    decode_offer,
    encode_offer,
)
from violetstack.handover.successor import ALIVE_TIMEOUT_MS, SiblingProcesses
from violetstack.net import stream_migration
from violetstack.net.gossip import GossipTransport
from violetstack.net.handover_directory import DirectoryScan, HandoverDirectory
from violetstack.net.inherited_listener import open_inherited_listener
from violetstack.policy.outliers import penalize
from violetstack.policy_api import TenantSettings, UpdateScope
from violetstack.protocol.discovery import ListedEndpoint
from violetstack.protocol.http_client import HttpClientConnection, ResponseData, ResponseEnd
from violetstack.protocol.http_server import HttpRequest, HttpServerConnection
from violetstack.rehearsal.clients import BODY, Call, ask_platform, connect, platform_headers, raw
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import SETTINGS, Stage

NOW = 1_700_000_000_000.0


def record(
    process_id: str = "a", started_at_ms: float = NOW, written_at_ms: float = NOW, **changes: Any
) -> HandoverRecord:
    fields: dict[str, Any] = {
        "dispatcher": "n0",
        "process_id": process_id,
        "started_at_ms": started_at_ms,
        "written_at_ms": written_at_ms,
        "accepting": True,
        "list_version": 7,
        "endpoints": (ListedEndpoint("w", "127.0.0.1:1", "z", "decode"),),
        "cordons": {"w": Cordon(True, written_at_ms, written_at_ms)},
    }
    return HandoverRecord(**{**fields, **changes})


# --- the record ---


def test_a_record_is_decoded_as_it_was_encoded() -> None:
    assert decode_record(encode_record(record()), "n0", NOW) == record()


def test_a_record_truncated_at_any_byte_or_with_any_byte_corrupt_is_rejected() -> None:
    data = encode_record(record())
    for n in range(len(data)):
        with pytest.raises(InvalidRecordError):
            decode_record(data[:n], "n0", NOW)
        with pytest.raises(InvalidRecordError):
            decode_record(data[:n] + bytes([data[n] ^ 1]) + data[n + 1 :], "n0", NOW)


REJECTED_RECORDS = {
    "another format": (
        b"violetstack-record-2 " + encode_record(record()).partition(b" ")[2],
        "unknown format",
    ),
    "another dispatcher": (encode_record(record(dispatcher="n1")), "another dispatcher"),
    "empty": (b"", "unknown format"),
}


@pytest.mark.parametrize("name", REJECTED_RECORDS)
def test_the_error_for_a_rejected_record_names_the_reason(name: str) -> None:
    assert FORMAT_VERSION == "violetstack-record-1"
    data, reason = REJECTED_RECORDS[name]
    with pytest.raises(InvalidRecordError, match=reason) as raised:
        decode_record(data, "n0", NOW)
    assert reason in raised.value.reason


def test_cordons_recorded_before_the_clock_was_stepped_back_remain_valid() -> None:
    """Regression: the whole record was rejected, and a cordoned host was used again after a restart."""
    harness = RouterHarness()
    learned = capture_learned_state(harness.state, NOW)
    future_record = record(written_at_ms=NOW + 3_600_000.0, learned_state=learned)
    decoded = decode_record(encode_record(future_record), "n0", NOW)
    assert decoded == msgspec.structs.replace(future_record, learned_state=None)
    assert decode_record(encode_record(future_record), "n0", NOW + 3_600_000.0) == future_record


@pytest.mark.parametrize("step_s", [3_600.0, -3_600.0, 90_000.0, -90_000.0])
def test_a_process_is_alive_while_it_writes_records_despite_steps_of_the_wall_clock(
    step_s: float, tmp_path: Path
) -> None:
    """Regression: a step forward let an ended process count as alive for an hour.

    A step back let a live process count as ended, and its record was dropped.
    """
    wall_clock_s = [time.time()]
    own_directory = HandoverDirectory(str(tmp_path), "n0", "a", lambda: wall_clock_s[0])
    other_directory = HandoverDirectory(str(tmp_path), "n0", "b")
    record_path = tmp_path / "violetstack-n0-b.record"

    def write(written_at_ms: float) -> None:
        other_directory.write(record("b", written_at_ms=written_at_ms))
        wall_clock_s[0] += 1.0
        os.utime(record_path, (wall_clock_s[0], wall_clock_s[0]))

    write(NOW)
    assert own_directory.scan(NOW).last_seen_ms == {"b": pytest.approx(NOW, abs=1.0)}
    wall_clock_s[0] += step_s
    write(NOW + 500.0)
    assert own_directory.scan(NOW + 500.0).last_seen_ms == {"b": NOW + 500.0}
    assert own_directory.scan(NOW + 9_000.0).last_seen_ms == {"b": NOW + 500.0}  # the process has ended
    write(NOW + 10_000.0)
    assert own_directory.scan(NOW + 10_000.0).last_seen_ms == {"b": NOW + 10_000.0}


def test_a_process_that_starts_after_the_clock_was_stepped_back_is_the_successor() -> None:
    """Regression: it treated its predecessor as its own successor, and neither process handed over."""
    predecessor = SiblingProcesses("b", NOW)
    successor = SiblingProcesses("c", NOW - 3_600_000.0)
    successor.update([record("b", NOW)], {"b": NOW})
    successor.order_after_known()
    assert successor.successor(NOW) is None
    later_record = record("c", successor.started_at_ms, NOW - 3_600_000.0)
    predecessor.update([later_record], {"c": NOW})
    assert predecessor.successor(NOW) == later_record
    third = SiblingProcesses("d", NOW)
    third.update([record("b", NOW), later_record], {"b": NOW, "c": NOW})
    assert third.latest_record() == later_record


def test_a_record_that_cannot_be_read_is_skipped_and_logged_once(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    own_directory = HandoverDirectory(str(tmp_path), "n0", "a")
    other_directory = HandoverDirectory(str(tmp_path), "n0", "b")
    other_directory.write(record("b"))
    path = next(tmp_path.iterdir())
    path.write_bytes(path.read_bytes()[:-3])
    now_ms = NOW
    for _ in range(3):
        assert own_directory.scan(now_ms).changed == []
    assert capfd.readouterr().out.count('"event":"handover_record_invalid"') == 1
    other_directory.write(record("b", written_at_ms=NOW + 1.0))
    assert [r.written_at_ms for r in own_directory.scan(now_ms).changed] == [NOW + 1.0]
    other_directory.remove()
    assert own_directory.scan(now_ms) == DirectoryScan([], {})


def test_learned_state_is_restored_only_for_endpoints_that_have_not_restarted() -> None:
    """Without learned state a new process sends only few requests to hosts that warm up."""
    warming = [make_endpoint(f"r{n}", 0, started_ms=500.0) for n in range(2)]
    tenants = (TenantSettings(1.0, 6.0),)
    old = RouterHarness(
        *warming,
        make_endpoint("w1", 1),
        make_endpoint("w2", 1, started_ms=800.0),
        dispatcher_count=3,
        tenants=tenants,
    )
    old.update_endpoints(
        UpdateScope.SNAPSHOT,
        make_endpoint("warm", 0),
        *warming,
        make_endpoint("w1", 1),
        make_endpoint("w2", 1, started_ms=800.0),
    )
    for _ in range(20):
        old.complete_request(after=100.0)
    penalize(old.endpoint("w1"), 1.0, old.now)
    state = capture_learned_state(old.state, old.now)
    assert msgspec.json.decode(msgspec.json.encode(state), type=LearnedState) == state
    # w2 has restarted.
    listed = (
        make_endpoint("warm", 0),
        *warming,
        make_endpoint("w1", 1),
        make_endpoint("w2", 1, started_ms=900.0),
    )
    new = RouterHarness(*listed, dispatcher_count=3, tenants=tenants)
    new.now = old.now
    assert restore_learned_state(new.state, state) == 4
    for harness in (old, new):
        harness.router.admission.slow_start.admits(harness.endpoint("r0"), old.now, is_prefill=True)
    before, after = (side.endpoint("r0").statistics.slow_start for side in (old, new))
    assert (after.rate, after.level) == (before.rate, before.level)
    assert after.rate > 5.0 / (2.0 * 3 * 2000.0)  # five times that of a process without estimates
    penalties = [harness.endpoint("w1").statistics.penalty.value_at(old.now) for harness in (old, new)]
    assert penalties[0] == penalties[1]
    assert new.state.tenant_quotas[0].level == old.state.tenant_quotas[0].level


# --- the successor ---


def test_the_successor_is_a_later_process_that_accepts_clients_and_is_alive() -> None:
    siblings = SiblingProcesses("b", NOW)
    earlier_record = record("a", NOW - 5.0)
    later_record = record("c", NOW + 5.0, accepting=False)
    siblings.update([earlier_record, later_record], {"a": NOW, "c": NOW})
    assert siblings.successor(NOW) is None
    assert siblings.any_alive(NOW)
    later_record = record("c", NOW + 5.0)
    siblings.update([later_record], {"a": NOW, "c": NOW})
    assert siblings.successor(NOW + 1.0) == later_record
    assert siblings.successor(NOW + ALIVE_TIMEOUT_MS) is None
    siblings.update([], {"a": NOW + ALIVE_TIMEOUT_MS})
    assert [r.process_id for r in siblings.alive(NOW + ALIVE_TIMEOUT_MS)] == ["a"]


def test_the_latest_cordon_of_a_host_recorded_by_any_process_is_used() -> None:
    siblings = SiblingProcesses("c", NOW)
    uncordoned = Cordon(False, NOW + 9.0, NOW)
    latest = record("b", written_at_ms=NOW + 9.0, cordons={"w": uncordoned})
    siblings.update([record("a"), latest], {"a": NOW, "b": NOW})
    assert siblings.latest_cordons() == {"w": uncordoned}
    assert siblings.latest_record() == latest


# --- the inherited listener ---


def test_only_a_listening_socket_at_the_configured_address_is_inherited() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as unbound:
        address: Address = listener.getsockname()
        for descriptor, configured_address, reason in (
            (listener.fileno(), ("127.0.0.1", 1), "it listens on"),
            (unbound.fileno(), address, "no listening TCP socket"),
            (os.open(os.devnull, os.O_RDONLY), address, "NODE_INHERITED_FD"),
        ):
            with pytest.raises(ConfigError, match=reason):
                open_inherited_listener(descriptor, configured_address)
        inherited = open_inherited_listener(os.dup(listener.fileno()), address)
        inherited.close()
        with socket.create_connection(
            address
        ):  # the listener still accepts connections in the other processes
            listener.accept()[0].close()


# --- two real processes ---


@dataclass
class Platform:
    """Starts the processes with an inherited listener, as the operators' platform does."""

    folder: Path
    hosts: tuple[ModelHost, ...]
    discovery: Discovery
    listener: socket.socket
    nursery: trio.Nursery
    processes: list[trio.Process] = field(default_factory=list)
    lines: dict[int, list[dict[str, Any]]] = field(default_factory=dict)

    @property
    def address(self) -> Address:
        bound_address: Address = self.listener.getsockname()
        return bound_address

    async def start(self, wait: bool = True, **changes: Any) -> tuple[trio.Process, Address]:
        """Starts a process; returns it with the address of its admin API once it accepts clients."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "discovery": self.discovery.address,
            "seed": "ff",
            "settings": SETTINGS,
            "mgmt": "127.0.0.1:0",
            **changes,
        }
        file = self.folder / f"config{len(self.processes)}.json"
        file.write_text(json.dumps(config))
        descriptor = self.listener.fileno()
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "violetstack"],
            stdout=subprocess.PIPE,
            pass_fds=[descriptor],
            env={
                **os.environ,
                "NODE_CONFIG": str(file),
                "NODE_INHERITED_FD": str(descriptor),
                "TMPDIR": str(self.folder),
            },
        )
        self.processes.append(process)
        lines = self.lines[process.pid] = []
        started = trio.Event()
        self.nursery.start_soon(self._read, process, lines, started)
        if not wait:
            return process, ("", 0)
        await started.wait()
        return process, tuple(next(line["admin"] for line in lines if line["event"] == "started"))

    async def _read(self, process: trio.Process, lines: list[dict[str, Any]], started: trio.Event) -> None:
        incomplete_line = b""
        assert process.stdout is not None
        async for data in process.stdout:
            *complete, incomplete_line = (incomplete_line + data).split(b"\n")
            lines += [orjson.loads(line) for line in complete]
            if any(line["event"] == "started" for line in lines):
                started.set()

    def logged(self, process: trio.Process, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines[process.pid] if line["event"] == event]


def run_processes(tmp_path: Path, *hosts: ModelHost, scenario: Callable[[Platform], Awaitable[None]]) -> None:
    async def main() -> None:
        with trio.fail_after(30.0):
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    await nursery.start(host.serve)
                discovery = Discovery(*(host.row() for host in hosts))
                await nursery.start(discovery.serve)
                with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
                    listener.setblocking(False)
                    platform = Platform(tmp_path, hosts, discovery, listener, nursery)
                    try:
                        await scenario(platform)
                    finally:
                        for process in platform.processes:
                            if process.returncode is None:
                                process.kill()
                            with trio.CancelScope(shield=True):
                                await process.wait()
                        nursery.cancel_scope.cancel()

    trio.run(main)


async def status_on_connection(call: Call, request_id: str) -> int:
    await call.send("POST", "/v1/chat/completions", platform_headers(request_id, "consulta"), BODY)
    return (await call.receive()).status


def test_open_streams_migrate_to_the_successor_and_each_client_gets_one_complete_response(
    tmp_path: Path,
) -> None:
    resume_stream = trio.Event()
    prefill_host = ModelHost("r", "prefill")
    decode_host = ModelHost("w", "decode", Act(pause=resume_stream))

    async def scenario(platform: Platform) -> None:
        predecessor, _ = await platform.start()
        streaming_call = await connect(platform.address)
        await streaming_call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await streaming_call.receive(events=3)
        idle_connection = await connect(platform.address)  # sends its request once the predecessor shuts down
        partial_request = await connect(platform.address)
        await partial_request.stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
        assert (
            await ask_platform(platform.address, "first", "consulta")
        ).outcome == "served"  # all connections are accepted
        successor, admin = await platform.start()
        assert (await raw(admin, get("/admin/health"))).startswith(b"HTTP/1.1 200 ")
        predecessor.send_signal(signal.SIGTERM)
        while not platform.logged(predecessor, "shutdown_started"):
            await trio.sleep(0.001)
        assert platform.logged(predecessor, "shutdown_started")[0]["successor"] is not None
        for n in range(5):
            assert (await ask_platform(platform.address, f"n{n}", "consulta")).outcome == "served"
        assert await status_on_connection(idle_connection, "late") == 200
        await partial_request.stream.aclose()
        assert await predecessor.wait() == 0  # the open stream continues in the successor
        assert not streaming_call.answer.whole
        resume_stream.set()
        assert (await streaming_call.receive()).whole
        assert len(streaming_call.answer.events) == 5
        assert streaming_call.answer.outcome == "served"
        assert streaming_call.http.reuse()
        assert await status_on_connection(streaming_call, "again") == 200  # on the same connection
        while not any(line["id"] == "again" for line in platform.logged(successor, "request")):
            await trio.sleep(0.001)
        served = [
            line["id"]
            for process in (predecessor, successor)
            for line in platform.logged(process, "request")
            if line["answer"] == "served"
        ]
        assert sorted(served) == sorted(["q0", "first", "late", "again", *(f"n{n}" for n in range(5))])
        # `late` may have ended before the migration.
        assert platform.logged(predecessor, "stopped")[0]["migrated_streams"] >= 1
        assert decode_host.received_ids.count("q0") == 1
        stats = orjson.loads((await raw(admin, get("/admin/stats"))).partition(b"\r\n\r\n")[2])
        assert stats["operations"]["orden"] == {"fulfilled": 1, "throttled": 0, "faulted": 0}
        assert stats["open_requests"] == 0

    run_processes(tmp_path, prefill_host, decode_host, scenario=scenario)


class StreamsInTwoParts(ModelHost):
    """A decode host that pauses each stream, before its first `data: [DONE]` or after it."""

    def __init__(self, may_end: trio.Event, beginnings: dict[str, bytes], rest: bytes) -> None:
        super().__init__("w", "decode")
        self._may_end = may_end
        self._beginnings = beginnings
        self._rest = rest

    async def play(self, act: Act, inbound: HttpRequest, connection: PeerConnection) -> None:
        await connection.start(200, [("Content-Type", "text/event-stream")])
        await connection.data(self._beginnings[inbound.headers["req-id"]])
        await self._may_end.wait()
        await connection.raw(self._rest)


def test_a_migrated_stream_is_ended_as_complete_only_if_its_host_has_sent_all_of_it(tmp_path: Path) -> None:
    event = b'data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}\n\n'
    beginnings = {"done": event + b"data: [DONE]\n\n", "ended-early": event}
    may_end = trio.Event()
    decode_host = StreamsInTwoParts(may_end, beginnings, b"0\r\n\r\n")

    async def scenario(platform: Platform) -> None:
        predecessor, _ = await platform.start()
        calls = {}
        for name in beginnings:
            calls[name] = await connect(platform.address)
            await calls[name].send("POST", "/v1/chat/completions", platform_headers(name, "orden"), BODY)
            await calls[name].receive(events=1)
        await platform.start()
        predecessor.send_signal(signal.SIGTERM)
        assert await predecessor.wait() == 0
        assert platform.logged(predecessor, "stopped")[0]["migrated_streams"] == 2
        may_end.set()
        outcomes = {name: (await call.receive()).outcome for name, call in calls.items()}
        assert outcomes == {"done": "served", "ended-early": "cut"}

    run_processes(tmp_path, ModelHost("r", "prefill"), decode_host, scenario=scenario)


def test_a_client_does_not_wait_longer_because_its_silent_stream_migrates(tmp_path: Path) -> None:
    """The time limit between two events started anew in each process."""
    decode_host = ModelHost("w", "decode", Act(events=2, pause=trio.Event()))

    async def scenario(platform: Platform) -> None:
        predecessor, _ = await platform.start()
        call = await connect(platform.address)
        await call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await call.receive(events=2)
        last_event_at = trio.current_time()
        await platform.start()
        await trio.sleep_until(last_event_at + 2.5)
        predecessor.send_signal(signal.SIGTERM)
        assert (await call.receive()).outcome == "cut"
        assert platform.logged(predecessor, "stopped")[0]["migrated_streams"] == 1
        assert trio.current_time() - last_event_at < 5.0

    run_processes(tmp_path, ModelHost("r", "prefill"), decode_host, scenario=scenario)


def test_cordons_are_kept_over_two_hot_restarts_and_apply_to_both_processes(
    tmp_path: Path,
) -> None:
    hosts = (ModelHost("r", "prefill"), ModelHost("r2", "prefill"), ModelHost("w", "decode"))

    async def hosts_out_of_rotation(admin: Address) -> int:
        stats = orjson.loads((await raw(admin, get("/admin/stats"))).partition(b"\r\n\r\n")[2])
        return int(stats["out_of_rotation"])

    async def scenario(platform: Platform) -> None:
        first_process, first_admin = await platform.start()
        assert (await raw(first_admin, post("/admin/cordon", b"r"))).startswith(b"HTTP/1.1 200 ")
        first_process.kill()  # its record was written before the response
        second_process, second_admin = await platform.start()
        assert platform.logged(second_process, "predecessor_state_read")[0]["cordoned"] == ["r"]
        assert await hosts_out_of_rotation(second_admin) == 1
        third_process, third_admin = await platform.start()
        assert await hosts_out_of_rotation(third_admin) == 1
        assert (await raw(third_admin, post("/admin/uncordon", b"r"))).startswith(b"HTTP/1.1 200 ")
        while await hosts_out_of_rotation(second_admin) != 0:
            await trio.sleep(0.01)
        assert (await raw(second_admin, post("/admin/cordon", b"r2"))).startswith(b"HTTP/1.1 200 ")
        while await hosts_out_of_rotation(third_admin) != 1:
            await trio.sleep(0.01)
        third_process.kill()  # the older process keeps serving, with the cordons set at either process
        n = 0
        while (await ask_platform(platform.address, f"q{n}", "consulta")).outcome != "served":
            n += 1  # `r` is treated as warming up and gets few requests at first
        assert hosts[1].received_ids == []

    run_processes(tmp_path, *hosts, scenario=scenario)


def test_a_successor_with_an_invalid_configuration_exits_and_the_predecessor_keeps_serving(
    tmp_path: Path,
) -> None:
    async def scenario(platform: Platform) -> None:
        predecessor, _ = await platform.start()
        successor, _ = await platform.start(wait=False, listen="127.0.0.1:1")
        assert await successor.wait() == 2
        predecessor.send_signal(signal.SIGHUP)
        assert (await ask_platform(platform.address, "q1", "consulta")).outcome == "served"
        assert "it listens on" in platform.logged(successor, "config_invalid")[0]["error"]
        assert platform.logged(predecessor, "config_reload_failed") == []

    run_processes(tmp_path, ModelHost("r", "prefill"), ModelHost("w", "decode"), scenario=scenario)


def test_without_discovery_the_successor_starts_with_the_endpoint_list_of_its_predecessor(
    tmp_path: Path,
) -> None:
    async def scenario(platform: Platform) -> None:
        await platform.start()
        platform.discovery.die()
        successor, _ = await platform.start()
        assert platform.logged(successor, "endpoint_list_missing")[0]["hosts"] == 2
        assert platform.logged(successor, "predecessor_state_read")[0]["hosts"] == 2

    run_processes(tmp_path, ModelHost("r", "prefill"), ModelHost("w", "decode"), scenario=scenario)


def test_requests_without_a_first_token_fail_before_the_kill_and_their_state_is_released(
    tmp_path: Path,
) -> None:
    """Otherwise SIGKILL would end them, and the hosts would keep their state."""
    prefill_host = ModelHost("r", "prefill")
    decode_host = ModelHost("w", "decode", Act(before=trio.Event()))

    async def scenario(platform: Platform) -> None:
        process, _ = await platform.start(
            settings={
                **SETTINGS,
                "classes": [
                    {
                        "name": "consulta",
                        "aim": 100.0,
                        "give_up": 800.0,
                        "idempotency": "read_like",
                        "value": 3.0,
                    },
                    {
                        "name": "orden",
                        "aim": 100.0,
                        "give_up": 800.0,
                        "idempotency": "non_idempotent",
                        "value": 2.0,
                    },
                ],
            }
        )
        call = await connect(platform.address)
        await call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await decode_host.until(lambda: decode_host.received_ids == ["q0"])
        process.send_signal(signal.SIGTERM)
        stopped_at = trio.current_time()
        assert (await call.receive()).status == 500
        assert await process.wait() == 0
        assert trio.current_time() - stopped_at < 2.5  # of the 5 s that the client waits
        assert ("DELETE", "q0") in decode_host.calls + prefill_host.calls

    run_processes(tmp_path, prefill_host, decode_host, scenario=scenario)


def test_a_late_request_at_a_process_that_shuts_down_gets_a_503(tmp_path: Path) -> None:
    resume_stream = trio.Event()
    hosts = (ModelHost("r", "prefill"), ModelHost("w", "decode", Act(pause=resume_stream)))

    async def scenario(platform: Platform) -> None:
        predecessor, _ = await platform.start()
        streaming_call = await connect(platform.address)
        await streaming_call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await streaming_call.receive(events=3)
        late_call = await connect(platform.address)
        await late_call.stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
        assert (
            await ask_platform(platform.address, "first", "consulta")
        ).outcome == "served"  # all connections are accepted
        await platform.start()
        predecessor.send_signal(signal.SIGTERM)
        while not platform.logged(predecessor, "shutdown_rejecting"):
            await trio.sleep(0.01)
        headers = "".join(f"{n}: {v}\r\n" for n, v in platform_headers("late", "consulta"))
        await late_call.stream.send_all(
            f"Host: x\r\n{headers}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY
        )
        received = b""
        while data := await late_call.stream.receive_some(4096):
            received += data
        assert received.startswith(b"HTTP/1.1 503 ")
        resume_stream.set()
        assert (await streaming_call.receive()).whole
        assert await predecessor.wait() == 0

    run_processes(tmp_path, *hosts, scenario=scenario)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def test_a_response_can_be_resumed_only_between_two_chunks() -> None:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = [chunk(b"data: 1\r\n\r\n"), chunk(b"data: 2\n\n"), b"0\r\n\r\n"]
    response = head + b"".join(parts)
    ends = {len(head) + sum(map(len, parts[:n])) for n in range(3)}
    for cut in range(1, len(response)):
        connection = HttpClientConnection()
        connection.request("POST", "/", [("Host", "x")])
        connection.feed(response[:cut])
        assert connection.between_chunks == (cut in ends), cut
        if connection.between_chunks:
            events = HttpClientConnection.resumed().feed(response[cut:])
            rest = [b"data: 1\r\n\r\n", b"data: 2\n\n"][sorted(ends).index(cut) :]
            data = [bytes(event.data) for event in events if isinstance(event, ResponseData)]
            assert b"".join(data) == b"".join(rest)  # complete chunks are joined
            assert isinstance(events[-1], ResponseEnd)


def test_a_resumed_response_keeps_the_framing_and_the_connection_header_of_its_head() -> None:
    for closing in (False, True):
        connection = HttpServerConnection.resumed(closing)
        assert connection.can_migrate
        assert (
            b"".join(connection.data(b"data: 2\n\n") + connection.end())
            == chunk(b"data: 2\n\n") + b"0\r\n\r\n"
        )
        assert connection.reuse() is not closing


def offer(**changes: Any) -> StreamOffer:
    default_offer = StreamOffer(
        id="q0",
        class_index=0,
        tenant_index=0,
        server="w",
        age_ms=1.0,
        events_forwarded=3,
        cached_tokens=0,
        prompt_tokens=9.0,
        holds_remote_state=False,
        closing=False,
    )
    return msgspec.structs.replace(default_offer, **changes)


INVALID_OFFERS = {
    "no JSON": (b"what", "JSON"),
    "another version": (encode_offer(offer(version=2)), "version 2, expected 1"),
    "unknown class": (encode_offer(offer(class_index=7)), "class 7, expected less than 2"),
}


@pytest.mark.parametrize("name", INVALID_OFFERS)
def test_the_error_for_an_invalid_offer_names_the_reason(name: str) -> None:
    data, reason = INVALID_OFFERS[name]
    with pytest.raises(InvalidOfferError, match=reason) as raised:
        decode_offer(data, 2)
    assert reason in raised.value.reason


@pytest.mark.parametrize("reply", ["declined", "closed", "none", "unexpected"])
def test_a_stream_that_the_successor_does_not_take_over_continues_in_its_process(
    reply: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client gets the complete response, from one attempt at one host."""
    resume_stream = trio.Event()
    prefill_host, decode_host = pair(Act(pause=resume_stream))
    monkeypatch.setattr(stream_migration, "REPLY_TIMEOUT_S", 0.05)

    async def successor(sock: trio.socket.SocketType, replied: trio.Event) -> None:
        sender, _ = await sock.accept()
        await sender.recvmsg(4096, 0)  # without room for the descriptors, as if the process had exited
        if reply == "declined":
            await sender.send(DECLINE)
        elif reply == "unexpected":
            await sender.send(b"perhaps")
        elif reply == "closed":
            sender.close()
        replied.set()
        await trio.sleep_forever()

    async def scenario(stage: Stage) -> None:
        call = await connect(stage.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await call.receive(events=3)
        path = tmp_path / "successor.sock"
        replied = trio.Event()
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            await sock.bind(str(path))
            sock.listen(1)
            stage.nursery.start_soon(successor, sock, replied)
            sender = stream_migration.StreamSender(stage.daemon.core)
            assert await sender.connect(path)
            stage.daemon.upstream_driver.migrate_streams(sender.migrate)
            await replied.wait()
            await trio.sleep(0.1 if reply == "none" else 0)  # past REPLY_TIMEOUT_S
            resume_stream.set()
            assert (await call.receive()).whole
        assert (sender.migrated, decode_host.received_ids) == (0, ["q0"])
        assert stage.daemon.core.metrics.classes[1].fulfilled == 1

    play(prefill_host, decode_host, story=scenario)


@pytest.mark.parametrize("final_message", ["closed", "unexpected", "the request was opened meanwhile"])
def test_without_a_commit_the_successor_touches_neither_connection(
    final_message: str, tmp_path: Path
) -> None:
    async def scenario(stage: Stage) -> None:
        core = stage.daemon.core
        path = tmp_path / "receiver.sock"
        receiver = stream_migration.StreamReceiver(
            core, stage.daemon.upstream_driver, lambda: stage.daemon.fronts.platform
        )
        await stage.nursery.start(receiver.run, path)
        client, client_peer = socket.socketpair()
        host, host_peer = socket.socketpair()
        sender = trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        await sender.connect(str(path))
        descriptors = array("i", [client.fileno(), host.fileno()])
        ancillary_data = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, descriptors)]
        await sender.sendmsg([encode_offer(offer(id="q0"))], ancillary_data)
        assert await sender.recv(64) == READY
        if final_message == "unexpected":
            await sender.send(b"perhaps")
        elif final_message != "closed":
            core.open_requests["q0"] = None  # type: ignore[assignment]
            await sender.send(COMMIT)
        sender.close()
        client.close()
        host.close()
        client_peer.setblocking(False)
        await trio.lowlevel.wait_readable(client_peer)
        assert client_peer.recv(64) == b""  # the receiver's copy is closed, and nothing was written
        core.open_requests.pop("q0", None)
        assert (core.open_requests, core.metrics.classes[0].accepted) == ({}, 0)
        assert stage.daemon.listeners[0].table.connections == set()
        client_peer.close()
        host_peer.close()

    play(*pair(), story=scenario)


def test_gossip_is_received_by_the_later_of_two_processes() -> None:
    async def scenario(stage: Stage) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            peer_address = peer.getsockname()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
                unused.bind(("127.0.0.1", 0))
                own_address = unused.getsockname()
            received_by_old: list[bytes] = []
            received_by_new: list[bytes] = []
            for received in (received_by_old, received_by_new):
                transport = GossipTransport(own_address, [own_address, peer_address], reuse_address=True)
                stage.nursery.start_soon(transport.run, lambda _, payload, to=received: to.append(payload))
                while not transport.bound:
                    await trio.sleep(0)
            peer.sendto(b"x", own_address)
            while not received_by_new:
                await trio.sleep(0)
            assert (received_by_old, received_by_new) == ([], [b"x"])

    play(*pair(), story=scenario)


def test_a_failed_accept_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_migration, "ACCEPT_RETRY_S", 0.0)

    class FailingListener:
        attempts = 0

        async def accept(self) -> tuple[str, None]:
            self.attempts += 1
            await trio.sleep(0)
            if self.attempts < 3:
                raise OSError(24, "Too many open files")
            return "sender", None

    async def main() -> None:
        receiver = stream_migration.StreamReceiver(None, None, lambda: None)  # type: ignore[arg-type]
        sender: object = await receiver._accept(FailingListener())  # type: ignore[arg-type]
        assert sender == "sender"

    trio.run(main)
