"""Two processes of one dispatcher: what one leaves, what the other makes of it, and real ones."""

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
from violetstack.protocol.http_server import HttpServerConnection
from violetstack.rehearsal.clients import BODY, Call, ask_platform, connect, platform_headers, raw
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import Act, ModelHost
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


def test_a_record_is_read_as_it_was_written() -> None:
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


def test_what_operators_said_before_the_clock_was_stepped_back_holds() -> None:
    """The whole record was rejected: a cordoned host was used again after a restart."""
    harness = RouterHarness()
    learned = capture_learned_state(harness.state, NOW)
    ahead = record(written_at_ms=NOW + 3_600_000.0, learned_state=learned)
    read = decode_record(encode_record(ahead), "n0", NOW)
    assert read == msgspec.structs.replace(ahead, learned_state=None)
    assert decode_record(encode_record(ahead), "n0", NOW + 3_600_000.0) == ahead


@pytest.mark.parametrize("step_s", [3_600.0, -3_600.0, 90_000.0, -90_000.0])
def test_a_process_lives_while_it_writes_whatever_the_wall_clock_shows(step_s: float, tmp_path: Path) -> None:
    """A step forward made an ended process live for an hour, a step back ended a live one and its record."""
    wall = [time.time()]
    mine = HandoverDirectory(str(tmp_path), "n0", "a", lambda: wall[0])
    other = HandoverDirectory(str(tmp_path), "n0", "b")
    path = tmp_path / "violetstack-n0-b.record"

    def write(written_at_ms: float) -> None:
        other.write(record("b", written_at_ms=written_at_ms))
        wall[0] += 1.0
        os.utime(path, (wall[0], wall[0]))

    write(NOW)
    assert mine.scan(NOW).last_seen_ms == {"b": pytest.approx(NOW, abs=1.0)}
    wall[0] += step_s
    write(NOW + 500.0)
    assert mine.scan(NOW + 500.0).last_seen_ms == {"b": NOW + 500.0}
    assert mine.scan(NOW + 9_000.0).last_seen_ms == {"b": NOW + 500.0}  # it has ended
    write(NOW + 10_000.0)
    assert mine.scan(NOW + 10_000.0).last_seen_ms == {"b": NOW + 10_000.0}


def test_a_process_that_starts_after_the_clock_was_stepped_back_is_the_successor() -> None:
    """It took its predecessor for its own successor, and neither handed over."""
    old = SiblingProcesses("b", NOW)
    new = SiblingProcesses("c", NOW - 3_600_000.0)
    new.update([record("b", NOW)], {"b": NOW})
    new.order_after_known()
    assert new.successor(NOW) is None
    later = record("c", new.started_at_ms, NOW - 3_600_000.0)
    old.update([later], {"c": NOW})
    assert old.successor(NOW) == later
    third = SiblingProcesses("d", NOW)
    third.update([record("b", NOW), later], {"b": NOW, "c": NOW})
    assert third.latest_record() == later


def test_a_record_that_cannot_be_read_is_skipped_and_logged_once(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    mine = HandoverDirectory(str(tmp_path), "n0", "a")
    other = HandoverDirectory(str(tmp_path), "n0", "b")
    other.write(record("b"))
    path = next(tmp_path.iterdir())
    path.write_bytes(path.read_bytes()[:-3])
    now = NOW
    for _ in range(3):
        assert mine.scan(now).changed == []
    assert capfd.readouterr().out.count('"event":"handover_record_invalid"') == 1
    other.write(record("b", written_at_ms=NOW + 1.0))
    assert [r.written_at_ms for r in mine.scan(now).changed] == [NOW + 1.0]
    other.remove()
    assert mine.scan(now) == DirectoryScan([], {})


def test_learned_state_is_restored_only_for_endpoints_that_have_not_restarted() -> None:
    """Without it a new process sends warming hosts only a trickle of requests."""
    cold = [make_endpoint(f"r{n}", 0, started_ms=500.0) for n in range(2)]
    shared = (TenantSettings(1.0, 6.0),)
    old = RouterHarness(
        *cold,
        make_endpoint("w1", 1),
        make_endpoint("w2", 1, started_ms=800.0),
        dispatcher_count=3,
        tenants=shared,
    )
    old.update_endpoints(
        UpdateScope.SNAPSHOT,
        make_endpoint("warm", 0),
        *cold,
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
        *cold,
        make_endpoint("w1", 1),
        make_endpoint("w2", 1, started_ms=900.0),
    )
    new = RouterHarness(*listed, dispatcher_count=3, tenants=shared)
    new.now = old.now
    assert restore_learned_state(new.state, state) == 4
    for harness in (old, new):
        harness.router.admission.admits(harness.endpoint("r0"), old.now, is_prefill=True)
    before, after = (f.endpoint("r0").statistics.slow_start for f in (old, new))
    assert (after.rate, after.level) == (before.rate, before.level)
    assert after.rate > 5.0 / (2.0 * 3 * 2000.0)  # five times the rate of a process without estimates
    penalties = [harness.endpoint("w1").statistics.penalty.value_at(old.now) for harness in (old, new)]
    assert penalties[0] == penalties[1]
    assert new.state.tenant_quotas[0].level == old.state.tenant_quotas[0].level


# --- the successor ---


def test_the_successor_is_a_later_process_that_accepts_clients_and_is_alive() -> None:
    siblings = SiblingProcesses("b", NOW)
    earlier = record("a", NOW - 5.0)
    later = record("c", NOW + 5.0, accepting=False)
    siblings.update([earlier, later], {"a": NOW, "c": NOW})
    assert siblings.successor(NOW) is None
    assert siblings.any_alive(NOW)
    later = record("c", NOW + 5.0)
    siblings.update([later], {"a": NOW, "c": NOW})
    assert siblings.successor(NOW + 1.0) == later
    assert siblings.successor(NOW + ALIVE_TIMEOUT_MS) is None
    siblings.update([], {"a": NOW + ALIVE_TIMEOUT_MS})
    assert [r.process_id for r in siblings.alive(NOW + ALIVE_TIMEOUT_MS)] == ["a"]


def test_the_latest_cordon_of_a_host_at_any_process_counts() -> None:
    siblings = SiblingProcesses("c", NOW)
    uncordoned = Cordon(False, NOW + 9.0, NOW)
    latest = record("b", written_at_ms=NOW + 9.0, cordons={"w": uncordoned})
    siblings.update([record("a"), latest], {"a": NOW, "b": NOW})
    assert siblings.latest_cordons() == {"w": uncordoned}
    assert siblings.latest_record() == latest


# --- the inherited listener ---


def test_only_a_listening_socket_at_the_configured_address_is_inherited() -> None:
    with socket.create_server(("127.0.0.1", 0)) as bound, socket.socket() as plain:
        at: Address = bound.getsockname()
        for descriptor, where, reason in (
            (bound.fileno(), ("127.0.0.1", 1), "it listens on"),
            (plain.fileno(), at, "no listening TCP socket"),
            (os.open(os.devnull, os.O_RDONLY), at, "NODE_INHERITED_FD"),
        ):
            with pytest.raises(ConfigError, match=reason):
                open_inherited_listener(descriptor, where)
        inherited = open_inherited_listener(os.dup(bound.fileno()), at)
        inherited.close()
        with socket.create_connection(at):  # the listener still accepts in the other processes
            bound.accept()[0].close()


# --- two real processes ---


@dataclass
class Platform:
    """Starts the processes with an inherited listener, as the operators' platform does."""

    folder: Path
    hosts: tuple[ModelHost, ...]
    discovery: Discovery
    held: socket.socket
    nursery: trio.Nursery
    processes: list[trio.Process] = field(default_factory=list)
    lines: dict[int, list[dict[str, Any]]] = field(default_factory=dict)

    @property
    def at(self) -> Address:
        bound: Address = self.held.getsockname()
        return bound

    async def start(self, wait: bool = True, **changes: Any) -> tuple[trio.Process, Address]:
        """Starts a process; returns it with the address of its admin API once it accepts clients."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.at[1]}",
            "discovery": self.discovery.address,
            "seed": "ff",
            "settings": SETTINGS,
            "mgmt": "127.0.0.1:0",
            **changes,
        }
        file = self.folder / f"config{len(self.processes)}.json"
        file.write_text(json.dumps(config))
        descriptor = self.held.fileno()
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
        rest = b""
        assert process.stdout is not None
        async for data in process.stdout:
            *complete, rest = (rest + data).split(b"\n")
            lines += [orjson.loads(line) for line in complete]
            if any(line["event"] == "started" for line in lines):
                started.set()

    def logged(self, process: trio.Process, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines[process.pid] if line["event"] == event]


def upgrade(tmp_path: Path, *hosts: ModelHost, story: Callable[[Platform], Awaitable[None]]) -> None:
    async def main() -> None:
        with trio.fail_after(30.0):
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    await nursery.start(host.serve)
                discovery = Discovery(*(host.row() for host in hosts))
                await nursery.start(discovery.serve)
                with socket.create_server(("127.0.0.1", 0), backlog=64) as held:
                    held.setblocking(False)
                    platform = Platform(tmp_path, hosts, discovery, held, nursery)
                    try:
                        await story(platform)
                    finally:
                        for process in platform.processes:
                            if process.returncode is None:
                                process.kill()
                            with trio.CancelScope(shield=True):
                                await process.wait()
                        nursery.cancel_scope.cancel()

    trio.run(main)


async def ask_on(call: Call, request_id: str) -> int:
    await call.send("POST", "/v1/chat/completions", platform_headers(request_id, "consulta"), BODY)
    return (await call.receive()).status


def test_open_streams_migrate_to_the_successor_and_each_client_gets_one_complete_response(
    tmp_path: Path,
) -> None:
    hold = trio.Event()
    reader = ModelHost("r", "prefill")
    writer = ModelHost("w", "decode", Act(pause=hold))

    async def story(on: Platform) -> None:
        old, _ = await on.start()
        call = await connect(on.at)
        await call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await call.receive(events=3)
        waiting = await connect(on.at)  # has connected, and asks only once the old process ends
        half = await connect(on.at)
        await half.stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
        assert (await ask_platform(on.at, "first", "consulta")).outcome == "served"  # all are accepted
        new, admin = await on.start()
        assert (await raw(admin, get("/admin/health"))).startswith(b"HTTP/1.1 200 ")
        old.send_signal(signal.SIGTERM)
        while not on.logged(old, "shutdown_started"):
            await trio.sleep(0.001)
        assert on.logged(old, "shutdown_started")[0]["successor"] is not None
        for n in range(5):
            assert (await ask_platform(on.at, f"n{n}", "consulta")).outcome == "served"
        assert await ask_on(waiting, "late") == 200
        await half.stream.aclose()
        assert await old.wait() == 0  # the stream under way goes on in the new process
        assert not call.answer.whole
        hold.set()
        assert (await call.receive()).whole
        assert len(call.answer.events) == 5
        assert call.answer.outcome == "served"
        assert call.http.reuse()
        assert await ask_on(call, "again") == 200  # on the same connection
        while not any(line["id"] == "again" for line in on.logged(new, "request")):
            await trio.sleep(0.001)
        served = [
            line["id"]
            for process in (old, new)
            for line in on.logged(process, "request")
            if line["answer"] == "served"
        ]
        assert sorted(served) == sorted(["q0", "first", "late", "again", *(f"n{n}" for n in range(5))])
        assert on.logged(old, "stopped")[0]["migrated_streams"] >= 1  # `late` may have ended earlier
        assert writer.begun.count("q0") == 1
        stats = orjson.loads((await raw(admin, get("/admin/stats"))).partition(b"\r\n\r\n")[2])
        assert stats["operations"]["orden"] == {"fulfilled": 1, "throttled": 0, "faulted": 0}
        assert stats["open_requests"] == 0

    upgrade(tmp_path, reader, writer, story=story)


def test_cordons_outlive_two_hot_restarts_and_apply_to_both_processes(
    tmp_path: Path,
) -> None:
    hosts = (ModelHost("r", "prefill"), ModelHost("r2", "prefill"), ModelHost("w", "decode"))

    async def out(admin: Address) -> int:
        stats = orjson.loads((await raw(admin, get("/admin/stats"))).partition(b"\r\n\r\n")[2])
        return int(stats["out_of_rotation"])

    async def story(on: Platform) -> None:
        first, admin1 = await on.start()
        assert (await raw(admin1, post("/admin/cordon", b"r"))).startswith(b"HTTP/1.1 200 ")
        first.kill()  # its record was written before the response
        second, admin2 = await on.start()
        assert on.logged(second, "predecessor_state_read")[0]["cordoned"] == ["r"]
        assert await out(admin2) == 1
        third, admin3 = await on.start()
        assert await out(admin3) == 1
        assert (await raw(admin3, post("/admin/uncordon", b"r"))).startswith(b"HTTP/1.1 200 ")
        while await out(admin2) != 0:
            await trio.sleep(0.01)
        assert (await raw(admin2, post("/admin/cordon", b"r2"))).startswith(b"HTTP/1.1 200 ")
        while await out(admin3) != 1:
            await trio.sleep(0.01)
        third.kill()  # the new one dies: the old one serves on, with what was called there
        n = 0
        while (await ask_platform(on.at, f"q{n}", "consulta")).outcome != "served":
            n += 1  # `r` counts as cold, and gets a little at first
        assert hosts[1].begun == []

    upgrade(tmp_path, *hosts, story=story)


def test_a_successor_with_an_invalid_configuration_exits_and_the_predecessor_keeps_serving(
    tmp_path: Path,
) -> None:
    async def story(on: Platform) -> None:
        old, _ = await on.start()
        new, _ = await on.start(wait=False, listen="127.0.0.1:1")
        assert await new.wait() == 2
        old.send_signal(signal.SIGHUP)
        assert (await ask_platform(on.at, "q1", "consulta")).outcome == "served"
        assert "it listens on" in on.logged(new, "config_invalid")[0]["error"]
        assert on.logged(old, "config_reload_failed") == []

    upgrade(tmp_path, ModelHost("r", "prefill"), ModelHost("w", "decode"), story=story)


def test_without_discovery_the_successor_starts_with_the_endpoint_list_of_its_predecessor(
    tmp_path: Path,
) -> None:
    async def story(on: Platform) -> None:
        await on.start()
        on.discovery.die()
        new, _ = await on.start()
        assert on.logged(new, "endpoint_list_missing")[0]["hosts"] == 2
        assert on.logged(new, "predecessor_state_read")[0]["hosts"] == 2

    upgrade(tmp_path, ModelHost("r", "prefill"), ModelHost("w", "decode"), story=story)


def test_requests_without_a_first_token_fail_before_the_kill_and_their_state_is_released(
    tmp_path: Path,
) -> None:
    """Otherwise SIGKILL cuts them off, and the hosts keep their state."""
    reader = ModelHost("r", "prefill")
    writer = ModelHost("w", "decode", Act(before=trio.Event()))

    async def story(on: Platform) -> None:
        old, _ = await on.start(
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
        call = await connect(on.at)
        await call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await writer.until(lambda: writer.begun == ["q0"])
        old.send_signal(signal.SIGTERM)
        began = trio.current_time()
        assert (await call.receive()).status == 500
        assert await old.wait() == 0
        assert trio.current_time() - began < 2.5  # of the client's 5 s
        assert ("DELETE", "q0") in writer.calls + reader.calls

    upgrade(tmp_path, reader, writer, story=story)


def test_a_late_request_at_a_process_that_shuts_down_gets_a_503(tmp_path: Path) -> None:
    hold = trio.Event()
    hosts = (ModelHost("r", "prefill"), ModelHost("w", "decode", Act(pause=hold)))

    async def story(on: Platform) -> None:
        old, _ = await on.start()
        stream = await connect(on.at)
        await stream.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await stream.receive(events=3)
        late = await connect(on.at)
        await late.stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
        assert (await ask_platform(on.at, "first", "consulta")).outcome == "served"  # all are accepted
        await on.start()
        old.send_signal(signal.SIGTERM)
        while not on.logged(old, "shutdown_rejecting"):
            await trio.sleep(0.01)
        headers = "".join(f"{n}: {v}\r\n" for n, v in platform_headers("late", "consulta"))
        await late.stream.send_all(f"Host: x\r\n{headers}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY)
        heard = b""
        while data := await late.stream.receive_some(4096):
            heard += data
        assert heard.startswith(b"HTTP/1.1 503 ")
        hold.set()
        assert (await stream.receive()).whole
        assert await old.wait() == 0

    upgrade(tmp_path, *hosts, story=story)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def test_a_response_can_be_resumed_between_two_chunks_and_nowhere_else() -> None:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = [chunk(b"data: 1\r\n\r\n"), chunk(b"data: 2\n\n"), b"0\r\n\r\n"]
    response = head + b"".join(parts)
    ends = {len(head) + sum(map(len, parts[:n])) for n in range(3)}
    for cut in range(1, len(response)):
        side = HttpClientConnection()
        side.request("POST", "/", [("Host", "x")])
        side.feed(response[:cut])
        assert side.between_chunks == (cut in ends), cut
        if side.between_chunks:
            events = HttpClientConnection.resumed().feed(response[cut:])
            rest = [b"data: 1\r\n\r\n", b"data: 2\n\n"][sorted(ends).index(cut) :]
            assert [bytes(e.data) for e in events if isinstance(e, ResponseData)] == rest
            assert isinstance(events[-1], ResponseEnd)


def test_a_resumed_response_keeps_the_framing_and_the_connection_header_of_its_head() -> None:
    for closing in (False, True):
        side = HttpServerConnection.resumed(closing)
        assert side.passable
        assert b"".join(side.data(b"data: 2\n\n") + side.end()) == chunk(b"data: 2\n\n") + b"0\r\n\r\n"
        assert side.reuse() is not closing


def offer(**changes: Any) -> StreamOffer:
    plain = StreamOffer(
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
    return msgspec.structs.replace(plain, **changes)


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
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))
    monkeypatch.setattr(stream_migration, "REPLY_TIMEOUT_S", 0.05)

    async def successor(sock: trio.socket.SocketType, replied: trio.Event) -> None:
        sender, _ = await sock.accept()
        await sender.recvmsg(4096, 0)  # without room for the descriptors, as if the process exited
        if reply == "declined":
            await sender.send(DECLINE)
        elif reply == "unexpected":
            await sender.send(b"perhaps")
        elif reply == "closed":
            sender.close()
        replied.set()
        await trio.sleep_forever()

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await call.receive(events=3)
        path = tmp_path / "successor.sock"
        replied = trio.Event()
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            await sock.bind(str(path))
            sock.listen(1)
            on.nursery.start_soon(successor, sock, replied)
            sender = stream_migration.StreamSender(on.daemon.core)
            assert await sender.connect(path)
            on.daemon.hosts.migrate_streams(sender.migrate)
            await replied.wait()
            await trio.sleep(0.1 if reply == "none" else 0)  # past REPLY_TIMEOUT_S
            hold.set()
            assert (await call.receive()).whole
        assert (sender.migrated, writer.begun) == (0, ["q0"])
        assert on.daemon.core.metrics.classes[1].fulfilled == 1

    play(reader, writer, story=story)


@pytest.mark.parametrize("last", ["closed", "unexpected", "the request was opened meanwhile"])
def test_without_a_commit_the_successor_touches_neither_connection(last: str, tmp_path: Path) -> None:
    async def story(on: Stage) -> None:
        core = on.daemon.core
        path = tmp_path / "receiver.sock"
        receiver = stream_migration.StreamReceiver(core, on.daemon.hosts, lambda: on.daemon.fronts.platform)
        await on.nursery.start(receiver.run, path)
        client, theirs = socket.socketpair()
        host, hosts_own = socket.socketpair()
        sender = trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        await sender.connect(str(path))
        descriptors = array("i", [client.fileno(), host.fileno()])
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, descriptors)]
        await sender.sendmsg([encode_offer(offer(id="q0"))], rights)
        assert await sender.recv(64) == READY
        if last == "unexpected":
            await sender.send(b"perhaps")
        elif last != "closed":
            core.open_requests["q0"] = None  # type: ignore[assignment]
            await sender.send(COMMIT)
        sender.close()
        client.close()
        host.close()
        theirs.setblocking(False)
        await trio.lowlevel.wait_readable(theirs)
        assert theirs.recv(64) == b""  # its copy is closed, and not a byte was written
        core.open_requests.pop("q0", None)
        assert (core.open_requests, core.metrics.classes[0].accepted) == ({}, 0)
        assert on.daemon.listeners[0].table.connections == set()
        theirs.close()
        hosts_own.close()

    play(*pair(), story=story)


def test_gossip_goes_to_the_later_of_two_processes() -> None:
    async def story(on: Stage) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            other = peer.getsockname()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", 0))
                at = free.getsockname()
            received_by_old: list[bytes] = []
            received_by_new: list[bytes] = []
            for received in (received_by_old, received_by_new):
                transport = GossipTransport(at, [at, other], reuse_address=True)
                on.nursery.start_soon(transport.run, lambda _, payload, to=received: to.append(payload))
                while not transport.bound:
                    await trio.sleep(0)
            peer.sendto(b"x", at)
            while not received_by_new:
                await trio.sleep(0)
            assert (received_by_old, received_by_new) == ([], [b"x"])

    play(*pair(), story=story)


def test_a_failed_accept_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_migration, "ACCEPT_RETRY_S", 0.0)

    class Failing:
        tries = 0

        async def accept(self) -> tuple[str, None]:
            self.tries += 1
            await trio.sleep(0)
            if self.tries < 3:
                raise OSError(24, "Too many open files")
            return "sender", None

    async def main() -> None:
        receiver = stream_migration.StreamReceiver(None, None, lambda: None)  # type: ignore[arg-type]
        sender: object = await receiver._accept(Failing())  # type: ignore[arg-type]
        assert sender == "sender"

    trio.run(main)
