"""The operators' door: its calls, the figures against a recount, hosts out by hand against a model."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import orjson
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.front import READERS, SETTINGS, WRITERS
from tests.test_core import Noted
from tests.test_stories import pair, play
from violetstack.admin.api import MAX_CALL, Call, Refused
from violetstack.admin.cordons import MOST, Cordons, TooMany, Unknown
from violetstack.core.dispatcher import Dispatcher
from violetstack.net.admin_server import MOST_CALLERS
from violetstack.policy_api import (
    AttemptStatus,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Request,
    UpdateScope,
)
from violetstack.rehearsal.clients import ask_chat, ask_platform, chat_body, connect, platform_headers, raw
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import CUT, ERROR, Act
from violetstack.rehearsal.stage import Stage
from violetstack.router import Router


class Scene:
    """A house of two hosts."""

    def __init__(self) -> None:
        self.started = self.taking = True
        self.out: set[str] = set()
        self.lines: list[dict[str, Any]] = []

    def figures(self) -> dict[str, Any]:
        return {"open_requests": 0}

    def cordon(self, server: str) -> None:
        if server not in ("a", "b"):
            raise Unknown(server)
        self.out.add(server)

    def uncordon(self, server: str) -> None:
        self.out.discard(server)

    def duties(self) -> dict[str, Any]:
        return {"duties": []}

    def leave(self) -> dict[str, Any]:
        raise Refused(503, "leave:0 is held by 3", [("Retry-After", "1")])

    def resign(self, name: str) -> dict[str, Any]:
        return {"resigned": name}

    def log(self, event: str, **fields: Any) -> None:
        self.lines.append(fields)


def answer_to(scene: Scene, sent: bytes) -> bytes:
    return Call(scene, scene.log).feed(sent) or b""


def post(path: str, body: bytes, length: int | None = None) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
        path.encode(),
        len(body) if length is None else length,
        body,
    )


def get(path: str) -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode()


REFUSED = {
    "unknown path": (get("/admin"), 404),
    "wrong method": (get("/admin/cordon"), 405),
    "post to stats": (post("/admin/stats", b""), 405),
    "no id": (post("/admin/cordon", b" \n"), 400),
    "two ids": (post("/admin/cordon", b"a b"), 400),
    "id that is no text": (post("/admin/cordon", b"\xff\xfe"), 400),
    "no leave yet": (post("/admin/leave", b""), 503),
    "no name of a duty": (post("/admin/resign", b""), 400),
    "unknown id": (post("/admin/cordon", b"nobody"), 404),
    "oversized": (post("/admin/cordon", b"", MAX_CALL + 1), 413),
    "noise": (b"\x16\x03\x01\r\n\r\n", 400),
}


@pytest.mark.parametrize("name", REFUSED)
def test_a_call_that_can_not_be_taken_changes_nothing_and_leaves_a_line(name: str) -> None:
    scene = Scene()
    (sent, status) = REFUSED[name]
    answer = answer_to(scene, sent)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert (b"Allow: " in answer) == (status == 405)
    assert scene.out == set()
    assert [line["status"] for line in scene.lines] == [status]


def test_the_door_says_no_until_the_process_takes_clients() -> None:
    scene = Scene()
    scene.taking = False
    assert answer_to(scene, get("/admin/health")).startswith(b"HTTP/1.1 503 ")
    assert answer_to(scene, get("/admin/stats")).startswith(b"HTTP/1.1 200 ")
    assert answer_to(scene, post("/admin/cordon", b"a")).startswith(b"HTTP/1.1 200 ")  # while it ends
    scene.started = False
    assert answer_to(scene, post("/admin/cordon", b"b")).startswith(b"HTTP/1.1 503 ")
    assert scene.out == {"a"}


@given(st.integers(1, 80), st.sampled_from([get("/admin/health"), post("/admin/cordon", b"a\n")]))
def test_a_call_may_come_in_any_pieces(cut: int, sent: bytes) -> None:
    scene = Scene()
    call = Call(scene, scene.log)
    words = [call.feed(part) for part in (sent[:cut], sent[cut:]) if part]
    assert [w for w in words if w] == [answer_to(Scene(), sent)]


# --- hosts out by hand ---

LISTED = READERS + WRITERS
IDS = [entry.server for entry in LISTED]


def full(*entries: Endpoint) -> EndpointUpdate:
    return EndpointUpdate(UpdateScope.SNAPSHOT, entries, 1)


def test_a_host_taken_out_twice_is_back_after_one_call_and_counts_as_cold() -> None:
    cordons = Cordons()
    cordons.told(full(*LISTED))
    for now in (5_000.0, 6_000.0):
        assert [e.state for e in cordons.cordon(now, IDS[0]).endpoints] == [EndpointState.DRAINING]
    back = cordons.uncordon(9_000.0, IDS[0]).endpoints[0]
    assert (back.state, back.started_ms) == (EndpointState.HEALTHY, 9_000.0)
    told = replace(LISTED[0], started_ms=7_000.0)
    assert cordons.told(EndpointUpdate(UpdateScope.DELTA, (told,), 2)).endpoints[0].started_ms == 7_000.0


def test_calls_for_hosts_that_nobody_knows_are_refused_and_a_needless_one_back_is_not() -> None:
    cordons = Cordons()
    cordons.told(full(*LISTED[1:]))
    for call in (cordons.cordon, cordons.uncordon):
        with pytest.raises(Unknown):
            call(1.0, IDS[0])
    assert cordons.uncordon(1.0, IDS[1]).endpoints == (LISTED[1],)
    assert cordons.marks == {}


def test_hosts_out_are_bounded_and_those_that_are_back_go_first() -> None:
    cordons = Cordons()
    many = (Endpoint(f"h{n}", 0, 1.0, 0, EndpointState.HEALTHY, 0, None) for n in range(MOST + 1))
    cordons.told(full(*many))
    for n in range(MOST):
        cordons.cordon(float(n), f"h{n}")
    with pytest.raises(TooMany):
        cordons.cordon(5000.0, f"h{MOST}")
    cordons.uncordon(6000.0, "h7")
    cordons.cordon(7000.0, f"h{MOST}")
    assert len(cordons.marks) == MOST
    assert "h7" not in cordons.marks


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cordon", "uncordon", "list", "leave", "merge"]),
        st.sampled_from(IDS[:3]),
        st.integers(0, 1),
    ),
    max_size=40,
)


@given(STEPS)
def test_whatever_order_calls_lists_and_processes_come_in_the_last_call_holds(
    steps: list[tuple[str, str, int]],
) -> None:
    """Two processes of one dispatcher, each with its own list, and a set as the model."""
    processes = [Cordons(), Cordons()]
    cores: list[dict[str, Endpoint]] = [{}, {}]
    out: set[str] = set()

    def see(n: int, news: EndpointUpdate | None) -> None:
        if news is None:
            return
        if news.scope is not UpdateScope.DELTA:
            cores[n] = {}
        cores[n].update({entry.server: entry for entry in news.endpoints})

    for n in (0, 1):
        see(n, processes[n].told(full(*LISTED[:3])))
    for at, (step, server, n) in enumerate(steps):
        now = 1000.0 + at
        entry = LISTED[IDS.index(server)]
        if step in ("cordon", "uncordon"):
            known = server in out or cores[n].get(server, LISTED[0]).state is not EndpointState.REMOVED
            if not known:
                continue
            see(n, getattr(processes[n], step)(now, server))
            see(1 - n, processes[1 - n].merge(processes[n].marks))
            (out.add if step == "cordon" else out.discard)(server)
        elif step == "list":
            see(n, processes[n].told(full(*LISTED[:3])))
        elif step == "leave":
            gone = Endpoint(entry.server, 0, 1.0, 0, EndpointState.REMOVED, 0, None)
            see(n, processes[n].told(EndpointUpdate(UpdateScope.DELTA, (gone,), 2)))
        else:
            see(n, processes[n].merge(processes[1 - n].marks))
        for core in cores:
            states = {s: e.state for s, e in core.items() if e.state is not EndpointState.REMOVED}
            drains = {s for s, state in states.items() if state is EndpointState.DRAINING}
            assert drains == out & set(states)


# --- figures ---


@given(st.integers(0, 2**32))
def test_figures_agree_with_a_plain_recount_of_random_lives(seed: int) -> None:
    """Clients that go and come, attempts that end in every way, and a module that decides for itself."""
    rng = random.Random(seed)
    noted = Noted()
    now = 1000.0
    router = Router(SETTINGS)
    core = Dispatcher(SETTINGS, router, noted, 250.0)
    core.update_endpoints(now, EndpointUpdate(UpdateScope.CACHED, LISTED, 1))
    taken: Counter[int] = Counter()
    left = relayed = 0
    for n in range(60):
        now += rng.random() * 400.0
        if rng.random() < 0.5:
            cls = rng.randrange(len(SETTINGS.classes))
            told_of = (f"q{n}", cls, 0, f"s{n % 7}", 4000.0, None, None, 900.0, 0.0, 200.0, False, False)
            core.accept(now, Request(*told_of), noted, None)
            taken[cls] += 1
        core.run(now)
        for attempt in [a for a in noted.attempts if not a.finished and rng.random() < 0.6]:
            if not attempt.request_written:
                core.request_written(attempt)
                relayed += 1
            if attempt.is_prefill:
                status = rng.choice(
                    [
                        AttemptStatus.PREFILLED,
                        AttemptStatus.PREFILLED,
                        AttemptStatus.ERROR,
                        AttemptStatus.REJECTED,
                    ]
                )
            elif core.stream_started(now, attempt):
                status = rng.choice([AttemptStatus.OK, AttemptStatus.OK, AttemptStatus.RESET])
            else:
                status = AttemptStatus.ERROR
            core.attempt_finished(now, attempt, status)
        for request in list(core.open_requests.values()):
            if not request.done and rng.random() < 0.05:
                core.client_disconnected(now, request)
                left += 1
        core.run(now)
        for release in noted.releases:
            core.release_finished(release, True)
        noted.releases.clear()
        for call in noted.places:
            core.reservation_finished(call, False, True)
        noted.places.clear()
        core.run(now)
    told = Counter(answer.split()[0] for answer in noted.answers)
    rows = core.metrics.classes
    assert [row.accepted for row in rows] == [taken[n] for n in range(len(rows))]
    assert sum(row.fulfilled for row in rows) == told["finished"]
    assert sum(row.throttled for row in rows) == told["refused"]
    assert sum(row.faulted for row in rows) == told["failed"] + told["cut"]
    assert sum(row.client_disconnected for row in rows) == left
    assert core.metrics.open == sum(1 for request in core.open_requests.values() if not request.done)
    assert core.metrics.requests_written == relayed


async def stats(on: Stage) -> Any:
    return orjson.loads((await raw(on.door, get("/admin/stats"))).partition(b"\r\n\r\n")[2])


def test_figures_of_both_fronts_are_held_against_what_their_clients_saw() -> None:
    reader, writer = pair(Act(), ERROR, CUT, Act(), Act(pause=trio.Event()))

    async def story(on: Stage) -> None:
        empty = {"fulfilled": 0, "throttled": 0, "faulted": 0}
        assert (await stats(on))["operations"] == {"consulta": empty, "orden": empty}
        outcomes = [(await ask_platform(on.platform, f"q{n}", "orden")).outcome for n in range(3)]
        assert outcomes == ["served", "failed", "cut"]
        assert (await ask_chat(on.chat, chat_body("giro-consulta"))).outcome == "served"
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q9", "orden"), b"{}" + b" " * 400)
        await call.receive(events=3)
        told = await stats(on)
        assert told["operations"]["orden"] == {"fulfilled": 1, "throttled": 0, "faulted": 2}
        assert told["operations"]["consulta"] == {"fulfilled": 1, "throttled": 0, "faulted": 0}
        assert (told["open_requests"], told["relayed"]) == (1, len(reader.begun) + len(writer.begun))
        assert (told["registry_entries"], told["out_of_rotation"]) == (2, 0)
        await raw(on.door, post("/admin/cordon", b"w"))
        assert (await stats(on))["out_of_rotation"] == 1

    play(reader, writer, story=story)


# --- the door on sockets ---


def test_a_host_out_by_hand_gets_nothing_new_and_is_used_again_after_the_call_back() -> None:
    async def story(on: Stage) -> None:
        reader, writer = hosts
        assert (await raw(on.door, post("/admin/cordon", b"w"))).startswith(b"HTTP/1.1 200 ")
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "refused"
        on.discovery.tell(writer.row())  # whatever lists say meanwhile
        while on.daemon.watch is None or on.daemon.watch.version != 2:
            await trio.sleep(0.001)
        assert (await ask_platform(on.platform, "q2", "consulta")).outcome == "refused"
        assert (await raw(on.door, post("/admin/uncordon", b"w"))).startswith(b"HTTP/1.1 200 ")
        assert (await raw(on.door, post("/admin/cordon", b"x"))).startswith(b"HTTP/1.1 404 ")
        with trio.fail_after(5.0):
            n = 0
            while (await ask_platform(on.platform, f"b{n}", "consulta")).outcome != "served":
                n += 1
                await trio.sleep(0.05)
        assert "q1" not in reader.begun + writer.begun  # nobody could write it, so nobody read it

    hosts = pair()
    play(*hosts, story=story)


def test_a_host_stays_out_while_discovery_moves_and_the_log_names_the_kind_that_is_left_without(
    capfd: pytest.CaptureFixture[str],
) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        await raw(on.door, post("/admin/cordon", b"r"))
        discovery = Discovery(reader.row(), writer.row(), {**reader.row(), "id": "r2"})
        await on.nursery.start(discovery.serve)
        on.daemon.reload(lambda: on.config(discovery=discovery.address))
        while "r2" not in on.daemon.core.endpoints:
            await trio.sleep(0.001)
        assert (await stats(on))["out_of_rotation"] == 1
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"  # by r2

    play(reader, writer, story=story)
    line = next(row for row in capfd.readouterr().out.splitlines() if '"hosts_cordoned"' in row)
    told = orjson.loads(line)
    assert (told["out"], told["none_left"], told["by"]) == (["r"], ["prefill"], "call")


def test_callers_that_finish_no_call_keep_no_other_call_out() -> None:
    async def story(on: Stage) -> None:
        idle = [await trio.open_tcp_stream(*on.door) for _ in range(3 * MOST_CALLERS)]
        for stream in idle[::2]:
            await stream.send_all(b"GET /admin/st")
        with trio.fail_after(1.0):
            assert "relayed" in await stats(on)
        for stream in idle:
            await stream.aclose()

    play(*pair(), story=story)


def test_the_door_answers_while_a_thousand_silent_connections_stand_at_the_clients_listener() -> None:
    async def story(on: Stage) -> None:
        crowd = []
        for _ in range(1000):
            crowd.append(await trio.open_tcp_stream(*on.platform))
            if len(crowd) % 100 == 0:
                before = trio.current_time()
                assert "relayed" in await stats(on)
                assert trio.current_time() - before < 1.0
        for stream in crowd:
            await trio.aclose_forcefully(stream)

    play(*pair(), story=story)


def test_the_calls_are_not_reachable_from_a_clients_listener() -> None:
    async def story(on: Stage) -> None:
        for at in (on.platform, on.chat):
            call = await connect(at)
            async with call.stream:
                await call.send("POST", "/admin/cordon", [], b"w")
                assert (await call.receive()).status in (401, 404)
        assert (await stats(on))["out_of_rotation"] == 0

    play(*pair(), story=story)
