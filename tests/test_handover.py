"""Two processes of one dispatcher: what one leaves, what the other makes of it, and real ones."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
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

from tests.front import Front, entry
from tests.test_admin import get, post
from tests.test_stories import pair, play
from violetstack.admin.cordons import Mark
from violetstack.config import Address, BadConfig
from violetstack.handover.learned import Learned, learned, recall
from violetstack.handover.record import VERSION, BadRecord, Record, decode, encode
from violetstack.handover.stream_migration import GO, NO, READY, BadOffer, Stream
from violetstack.handover.stream_migration import decode as decode_stream
from violetstack.handover.stream_migration import encode as encode_stream
from violetstack.handover.successor import ALIVE_MS, Succession
from violetstack.net import stream_migration
from violetstack.net.gossip import Peers
from violetstack.net.inherited_listener import inherited_socket
from violetstack.net.records import Records
from violetstack.policy_api import GossipReceived, TenantSettings, UpdateScope
from violetstack.protocol.discovery import WServer
from violetstack.protocol.host_side import Body, End, HostSide
from violetstack.protocol.server_side import ServerSide
from violetstack.rehearsal.clients import BODY, Call, ask_platform, connect, platform_headers, raw
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import SETTINGS, Stage

NOW = 1_700_000_000_000.0


def record(owner: str = "a", born: float = NOW, at: float = NOW, **changes: Any) -> Record:
    told: dict[str, Any] = {
        "name": "n0",
        "owner": owner,
        "born": born,
        "at": at,
        "serving": True,
        "version": 7,
        "servers": (WServer("w", "127.0.0.1:1", "z", "decode"),),
        "marks": {"w": Mark(True, at, at)},
    }
    return Record(**{**told, **changes})


# --- the record ---


def test_a_record_comes_back_as_it_was_left() -> None:
    assert decode(encode(record()), "n0", NOW) == record()


def test_a_record_cut_at_any_byte_or_with_any_byte_spoilt_is_not_believed() -> None:
    whole = encode(record())
    for n in range(len(whole)):
        with pytest.raises(BadRecord):
            decode(whole[:n], "n0", NOW)
        with pytest.raises(BadRecord):
            decode(whole[:n] + bytes([whole[n] ^ 1]) + whole[n + 1 :], "n0", NOW)


OTHERS = {
    "another form": (b"violetstack-record-2 " + encode(record()).partition(b" ")[2], "another form"),
    "another dispatcher": (encode(record(name="n1")), "another dispatcher"),
    "the future": (encode(record(at=NOW + 10_000.0)), "future"),
    "empty": (b"", "another form"),
}


@pytest.mark.parametrize("name", OTHERS)
def test_a_record_that_is_not_ours_says_why(name: str) -> None:
    assert VERSION == "violetstack-record-1"
    data, reason = OTHERS[name]
    with pytest.raises(BadRecord, match=reason):
        decode(data, "n0", NOW)


def test_records_that_can_not_be_read_are_passed_over_with_one_line(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    mine = Records(str(tmp_path), "n0", "a")
    other = Records(str(tmp_path), "n0", "b")
    other.write(record("b"))
    path = next(tmp_path.iterdir())
    path.write_bytes(path.read_bytes()[:-3])
    told = os.stat(path).st_mtime * 1000.0
    for _ in range(3):
        assert mine.others(told)[0] == []
    assert capfd.readouterr().out.count('"event":"handover_record_invalid"') == 1
    other.write(record("b", at=NOW + 1.0))
    assert [r.at for r in mine.others(told)[0]] == [NOW + 1.0]
    other.remove()
    assert mine.others(told) == ([], {})


def test_what_a_front_has_learned_is_known_to_its_successor_and_only_for_the_same_start() -> None:
    """A new version sent cold hosts a trickle, since it had seen nobody be served."""
    cold = [entry(f"r{n}", 0, started_ms=500.0) for n in range(2)]
    shared = (TenantSettings(1.0, 6.0),)
    old = Front(*cold, entry("w1", 1), entry("w2", 1, started_ms=800.0), dispatcher_count=3, tenants=shared)
    old.news(UpdateScope.SNAPSHOT, entry("warm", 0), *cold, entry("w1", 1), entry("w2", 1, started_ms=800.0))
    for _ in range(20):
        old.serve(after=100.0)
    old.router.fleet.servers["w1"].blame(old.now, 1.0)
    told = learned(old.router, old.now)
    assert msgspec.json.decode(msgspec.json.encode(told), type=Learned) == told
    listed = (entry("warm", 0), *cold, entry("w1", 1), entry("w2", 1, started_ms=900.0))  # w2 started anew
    new = Front(*listed, dispatcher_count=3, tenants=shared)
    new.now = old.now
    assert recall(new.router, told) == 4
    for front in (old, new):
        front.router.fleet.admits(front.router.fleet.servers["r0"], True, old.now)
    before, after = (f.router.fleet.servers["r0"].tickets for f in (old, new))
    assert (after.rate, after.level) == (before.rate, before.level)
    assert after.rate > 5.0 / (2.0 * 3 * 2000.0)  # what a front gives that heard nothing, five times
    assert new.router.fleet.servers["w1"].left.value_at(old.now) == old.router.fleet.servers[
        "w1"
    ].left.value_at(old.now)
    assert new.router.buckets[0].level == old.router.buckets[0].level


# --- who follows whom ---


def test_the_heir_is_a_later_process_that_takes_clients_and_lives() -> None:
    mine = Succession("b", NOW)
    earlier = record("a", NOW - 5.0)
    later = record("c", NOW + 5.0, serving=False)
    mine.heard([earlier, later], {"a": NOW, "c": NOW})
    assert (mine.heir(NOW), mine.company(NOW)) == (None, True)
    later = record("c", NOW + 5.0)
    mine.heard([later], {"a": NOW, "c": NOW})
    assert mine.heir(NOW + 1.0) == later
    assert mine.heir(NOW + ALIVE_MS) is None  # it has been silent for too long
    mine.heard([], {"a": NOW + ALIVE_MS})
    assert [r.owner for r in mine.alive(NOW + ALIVE_MS)] == ["a"]


def test_of_each_host_the_latest_call_at_any_process_counts() -> None:
    mine = Succession("c", NOW)
    back = Mark(False, NOW + 9.0, NOW)
    mine.heard([record("a"), record("b", at=NOW + 9.0, marks={"w": back})], {"a": NOW, "b": NOW})
    assert mine.marks() == {"w": back}
    assert mine.newest() == record("b", at=NOW + 9.0, marks={"w": back})


# --- the inherited listener ---


def test_only_a_listening_socket_at_the_configured_address_is_taken_over() -> None:
    with socket.create_server(("127.0.0.1", 0)) as bound, socket.socket() as plain:
        at: Address = bound.getsockname()
        for descriptor, where, reason in (
            (bound.fileno(), ("127.0.0.1", 1), "it listens on"),
            (plain.fileno(), at, "no listening TCP socket"),
            (os.open(os.devnull, os.O_RDONLY), at, "NODE_INHERITED_FD"),
        ):
            with pytest.raises(BadConfig, match=reason):
                inherited_socket(descriptor, where)
        mine = inherited_socket(os.dup(bound.fileno()), at)
        mine.close()
        with socket.create_connection(at):  # a close of ours ends nothing for the others
            bound.accept()[0].close()


# --- two real processes ---


@dataclass
class Platform:
    """What starts the processes, as the operators' platform does, and holds their listener."""

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
        """One more process, and its door once it takes clients."""
        told = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.at[1]}",
            "discovery": self.discovery.address,
            "seed": "ff",
            "settings": SETTINGS,
            "mgmt": "127.0.0.1:0",
            **changes,
        }
        file = self.folder / f"config{len(self.processes)}.json"
        file.write_text(json.dumps(told))
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
        return process, tuple(next(line["door"] for line in lines if line["event"] == "started"))

    async def _read(self, process: trio.Process, lines: list[dict[str, Any]], started: trio.Event) -> None:
        rest = b""
        assert process.stdout is not None
        async for data in process.stdout:
            *whole, rest = (rest + data).split(b"\n")
            lines += [orjson.loads(line) for line in whole]
            if any(line["event"] == "started" for line in lines):
                started.set()

    def told(self, process: trio.Process, event: str) -> list[dict[str, Any]]:
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


def test_a_new_version_takes_over_under_streams_and_every_client_has_one_whole_answer(tmp_path: Path) -> None:
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
        new, door = await on.start()
        assert (await raw(door, get("/admin/health"))).startswith(b"HTTP/1.1 200 ")
        old.send_signal(signal.SIGTERM)
        while not on.told(old, "shutdown_started"):
            await trio.sleep(0.001)
        assert on.told(old, "shutdown_started")[0]["heir"] is not None
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
        while not any(line["id"] == "again" for line in on.told(new, "request")):
            await trio.sleep(0.001)
        served = [
            line["id"]
            for process in (old, new)
            for line in on.told(process, "request")
            if line["answer"] == "served"
        ]
        assert sorted(served) == sorted(["q0", "first", "late", "again", *(f"n{n}" for n in range(5))])
        assert on.told(old, "stopped")[0]["passed_on"] >= 1  # `late` may have ended before it could pass
        assert writer.begun.count("q0") == 1
        told = orjson.loads((await raw(door, get("/admin/stats"))).partition(b"\r\n\r\n")[2])
        assert told["operations"]["orden"] == {"fulfilled": 1, "throttled": 0, "faulted": 0}
        assert told["open_requests"] == 0

    upgrade(tmp_path, reader, writer, story=story)


def test_hosts_out_by_hand_stay_out_over_two_upgrades_and_a_call_at_either_process_binds_both(
    tmp_path: Path,
) -> None:
    hosts = (ModelHost("r", "prefill"), ModelHost("r2", "prefill"), ModelHost("w", "decode"))

    async def out(door: Address) -> int:
        told = orjson.loads((await raw(door, get("/admin/stats"))).partition(b"\r\n\r\n")[2])
        return int(told["out_of_rotation"])

    async def story(on: Platform) -> None:
        first, door1 = await on.start()
        assert (await raw(door1, post("/admin/cordon", b"r"))).startswith(b"HTTP/1.1 200 ")
        first.kill()  # at once: the record was there before the yes
        second, door2 = await on.start()
        assert on.told(second, "predecessor_state_read")[0]["out"] == ["r"]
        assert await out(door2) == 1
        third, door3 = await on.start()
        assert await out(door3) == 1
        assert (await raw(door3, post("/admin/uncordon", b"r"))).startswith(b"HTTP/1.1 200 ")
        while await out(door2) != 0:
            await trio.sleep(0.01)
        assert (await raw(door2, post("/admin/cordon", b"r2"))).startswith(b"HTTP/1.1 200 ")
        while await out(door3) != 1:
            await trio.sleep(0.01)
        third.kill()  # the new one dies: the old one serves on, with what was called there
        n = 0
        while (await ask_platform(on.at, f"q{n}", "consulta")).outcome != "served":
            n += 1  # `r` counts as cold, and gets a little at first
        assert hosts[1].begun == []

    upgrade(tmp_path, *hosts, story=story)


def test_a_new_version_that_fails_its_configuration_leaves_the_old_one_serving(tmp_path: Path) -> None:
    async def story(on: Platform) -> None:
        old, _ = await on.start()
        new, _ = await on.start(wait=False, listen="127.0.0.1:1")
        assert await new.wait() == 2
        old.send_signal(signal.SIGHUP)
        assert (await ask_platform(on.at, "q1", "consulta")).outcome == "served"
        assert "it listens on" in on.told(new, "config_invalid")[0]["error"]
        assert on.told(old, "config_reload_failed") == []

    upgrade(tmp_path, ModelHost("r", "prefill"), ModelHost("w", "decode"), story=story)


def test_without_discovery_a_new_version_begins_with_what_the_old_one_was_told(tmp_path: Path) -> None:
    async def story(on: Platform) -> None:
        await on.start()
        on.discovery.die()
        new, _ = await on.start()
        assert on.told(new, "endpoint_list_missing")[0]["hosts"] == 2
        assert on.told(new, "predecessor_state_read")[0]["hosts"] == 2

    upgrade(tmp_path, ModelHost("r", "prefill"), ModelHost("w", "decode"), story=story)


def test_requests_without_a_first_token_are_given_up_in_time_and_nothing_stays_held(tmp_path: Path) -> None:
    """SIGKILL found them, and states that nobody released."""
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


def test_late_comers_at_a_process_that_ends_are_refused_and_not_taken(tmp_path: Path) -> None:
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
        while not on.told(old, "shutdown_rejecting"):
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


def test_an_answer_can_be_read_on_elsewhere_between_two_chunks_and_nowhere_else() -> None:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = [chunk(b"data: 1\r\n\r\n"), chunk(b"data: 2\n\n"), b"0\r\n\r\n"]
    whole = head + b"".join(parts)
    ends = {len(head) + sum(map(len, parts[:n])) for n in range(3)}
    for cut in range(1, len(whole)):
        side = HostSide()
        side.request("POST", "/", [("Host", "x")])
        side.feed(whole[:cut])
        assert side.between_chunks == (cut in ends), cut
        if side.between_chunks:
            events = HostSide.resumed().feed(whole[cut:])
            rest = [b"data: 1\r\n\r\n", b"data: 2\n\n"][sorted(ends).index(cut) :]
            assert [bytes(e.data) for e in events if isinstance(e, Body)] == rest
            assert isinstance(events[-1], End)


def test_an_answer_goes_on_with_the_framing_and_the_closing_word_of_its_head() -> None:
    for closing in (False, True):
        side = ServerSide.resumed(closing)
        assert side.passable
        assert b"".join(side.data(b"data: 2\n\n") + side.end()) == chunk(b"data: 2\n\n") + b"0\r\n\r\n"
        assert side.reuse() is not closing


BAD_OFFERS = {
    "noise": b"what",
    "another version": encode_stream(Stream("q", 0, 0, "w", 1.0, 3, 0, 9.0, False, False, version=2)),
    "no such class": encode_stream(Stream("q", 7, 0, "w", 1.0, 3, 0, 9.0, False, False)),
}


@pytest.mark.parametrize("name", BAD_OFFERS)
def test_an_offer_that_can_not_be_taken_says_why(name: str) -> None:
    with pytest.raises(BadOffer):
        decode_stream(BAD_OFFERS[name], 2)


@pytest.mark.parametrize("word", ["no", "dies", "silent", "odd"])
def test_a_stream_that_its_heir_does_not_take_goes_on_where_it_was(
    word: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whichever word is lost, the client has its whole answer and the host one attempt."""
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))
    monkeypatch.setattr(stream_migration, "WORD_S", 0.05)

    async def heir(sock: trio.socket.SocketType, heard: trio.Event) -> None:
        giver, _ = await sock.accept()
        await giver.recvmsg(4096, 0)  # the descriptors are dropped, as by a process that ends
        if word == "no":
            await giver.send(NO)
        elif word == "odd":
            await giver.send(b"perhaps")
        if word == "silent":
            heard.set()
            await trio.sleep_forever()
        if word == "dies":
            giver.close()
        heard.set()
        await trio.sleep_forever()

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q0", "orden"), BODY)
        await call.receive(events=3)
        path = tmp_path / "heir.sock"
        heard = trio.Event()
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            await sock.bind(str(path))
            sock.listen(1)
            on.nursery.start_soon(heir, sock, heard)
            giver = stream_migration.Giver(on.daemon.core)
            assert await giver.connect(path)
            on.daemon.hosts.migrate_streams(giver.give)
            await heard.wait()
            await trio.sleep(0.1 if word == "silent" else 0)  # its time is up
            hold.set()
            assert (await call.receive()).whole
        assert (giver.given, writer.begun) == (0, ["q0"])
        assert on.daemon.core.metrics.classes[1].fulfilled == 1

    play(reader, writer, story=story)


@pytest.mark.parametrize("last", ["dies", "odd", "an id that came meanwhile"])
def test_an_heir_without_a_go_touches_neither_connection(last: str, tmp_path: Path) -> None:
    async def story(on: Stage) -> None:
        core = on.daemon.core
        path = tmp_path / "taker.sock"
        taker = stream_migration.Taker(core, on.daemon.hosts, lambda: on.daemon.fronts.platform)
        await on.nursery.start(taker.run, path)
        client, theirs = socket.socketpair()
        host, hosts_own = socket.socketpair()
        giver = trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        await giver.connect(str(path))
        offer = encode_stream(Stream("q0", 0, 0, "w", 1.0, 3, 0, 9.0, False, False))
        both = array("i", [client.fileno(), host.fileno()])
        await giver.sendmsg([offer], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, both)])
        assert await giver.recv(64) == READY
        if last == "odd":
            await giver.send(b"perhaps")
        elif last != "dies":
            core.open_requests["q0"] = None  # type: ignore[assignment]
            await giver.send(GO)
        giver.close()
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


def test_the_later_of_two_processes_hears_the_peers() -> None:
    async def story(on: Stage) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            other = peer.getsockname()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", 0))
                at = free.getsockname()
            both = [Peers(Heard(), at, [at, other], None, heirs=True) for _ in range(2)]  # type: ignore[arg-type]
            for one in both:
                on.nursery.start_soon(one.run)
                while one._raw is None:
                    await trio.sleep(0)
            peer.sendto(b"x", at)
            old, new = (one._core.told for one in both)  # type: ignore[attr-defined]
            while not new:
                await trio.sleep(0)
            assert (old, [m.payload for m in new]) == ([], [b"x"])

    play(*pair(), story=story)


class Heard:
    def __init__(self) -> None:
        self.told: list[GossipReceived] = []

    def gossip_received(self, message: GossipReceived) -> None:
        self.told.append(message)


def test_an_accept_that_fails_ends_neither_the_taker_nor_the_program(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_migration, "ACCEPT_AGAIN_S", 0.0)

    class Failing:
        tries = 0

        async def accept(self) -> tuple[str, None]:
            self.tries += 1
            await trio.sleep(0)
            if self.tries < 3:
                raise OSError(24, "Too many open files")
            return "giver", None

    async def main() -> None:
        taker = stream_migration.Taker(None, None, lambda: None)  # type: ignore[arg-type]
        giver: object = await taker._accepted(Failing())  # type: ignore[arg-type]
        assert giver == "giver"

    trio.run(main)
