"""The admin API: its requests, the metrics against a recount, cordons against a model."""

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
from tests.test_core import RecordingPorts
from tests.test_stories import pair, play
from violetstack.admin.api import MAX_BODY_BYTES, AdminConnection
from violetstack.admin.cordons import MAX_CORDONS, Cordons
from violetstack.admin.errors import RequestRejectedError, TooManyCordonsError, UnknownEndpointError
from violetstack.admin.responses import (
    LeasesResponse,
    ResignResponse,
    RestartPermitResponse,
    StatsResponse,
)
from violetstack.core.dispatcher import Dispatcher
from violetstack.net.admin_server import MAX_CONNECTIONS
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


class FakeOperations:
    """A dispatcher of two endpoints, `a` and `b`, that records its cordons and its log lines."""

    def __init__(self) -> None:
        self.started = True
        self.accepting = True
        self.cordoned: set[str] = set()
        self.lines: list[dict[str, Any]] = []

    def stats(self) -> StatsResponse:
        return StatsResponse({}, 0, 0, 2, 0)

    def cordon(self, endpoint_id: str) -> None:
        if endpoint_id not in ("a", "b"):
            raise UnknownEndpointError(endpoint_id)
        self.cordoned.add(endpoint_id)

    def uncordon(self, endpoint_id: str) -> None:
        self.cordoned.discard(endpoint_id)

    def leases(self) -> LeasesResponse:
        return LeasesResponse(0, True, [0], True, 0, 0, [])

    def request_restart(self) -> RestartPermitResponse:
        raise RequestRejectedError(503, "leave:0 is held by 3", [("Retry-After", "1")])

    def resign(self, lease_name: str) -> ResignResponse:
        return ResignResponse(lease_name)

    def log(self, _: str, **fields: Any) -> None:
        self.lines.append(fields)


def response_to(operations: FakeOperations, request: bytes) -> bytes:
    return AdminConnection(operations, operations.log).feed(request) or b""


def post(path: str, body: bytes, length: int | None = None) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
        path.encode(),
        len(body) if length is None else length,
        body,
    )


def get(path: str) -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode()


REJECTED_REQUESTS = {
    "unknown path": (get("/admin"), 404),
    "wrong method": (get("/admin/cordon"), 405),
    "post to stats": (post("/admin/stats", b""), 405),
    "no id": (post("/admin/cordon", b" \n"), 400),
    "two ids": (post("/admin/cordon", b"a b"), 400),
    "id that is no text": (post("/admin/cordon", b"\xff\xfe"), 400),
    "no leave yet": (post("/admin/leave", b""), 503),
    "no name of a duty": (post("/admin/resign", b""), 400),
    "unknown id": (post("/admin/cordon", b"nobody"), 404),
    "oversized": (post("/admin/cordon", b"", MAX_BODY_BYTES + 1), 413),
    "noise": (b"\x16\x03\x01\r\n\r\n", 400),
}


@pytest.mark.parametrize("name", REJECTED_REQUESTS)
def test_a_rejected_request_changes_nothing_and_is_logged(name: str) -> None:
    operations = FakeOperations()
    request, status = REJECTED_REQUESTS[name]
    response = response_to(operations, request)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert (b"Allow: " in response) == (status == 405)
    assert operations.cordoned == set()
    assert [line["status"] for line in operations.lines] == [status]


def test_requests_are_rejected_before_the_start_and_health_while_not_accepting() -> None:
    operations = FakeOperations()
    operations.accepting = False
    assert response_to(operations, get("/admin/health")).startswith(b"HTTP/1.1 503 ")
    assert response_to(operations, get("/admin/stats")).startswith(b"HTTP/1.1 200 ")
    assert response_to(operations, post("/admin/cordon", b"a")).startswith(b"HTTP/1.1 200 ")  # in a shutdown
    operations.started = False
    assert response_to(operations, post("/admin/cordon", b"b")).startswith(b"HTTP/1.1 503 ")
    assert operations.cordoned == {"a"}


@given(st.integers(1, 80), st.sampled_from([get("/admin/health"), post("/admin/cordon", b"a\n")]))
def test_a_request_may_arrive_in_any_two_parts(cut: int, request: bytes) -> None:
    operations = FakeOperations()
    connection = AdminConnection(operations, operations.log)
    responses = [connection.feed(part) for part in (request[:cut], request[cut:]) if part]
    assert [response for response in responses if response] == [response_to(FakeOperations(), request)]


EMPTY_STATS = b'{"operations":{},"relayed":0,"open_requests":0,"registry_entries":2,"out_of_rotation":0}\n'
EMPTY_LEASES = b'{"me":0,"fit":true,"electors":[0],"speaks":true,"datagrams":0,"bytes":0,"duties":[]}\n'


@pytest.mark.parametrize(
    ("sent", "body"),
    [
        (get("/admin/health"), b'{"status":"serving"}\n'),
        (get("/admin/stats"), EMPTY_STATS),
        (post("/admin/cordon", b"a"), b'{"out":"a"}\n'),
        (post("/admin/uncordon", b"a"), b'{"back":"a"}\n'),
        (get("/admin/duties"), EMPTY_LEASES),
        (post("/admin/resign", b"try:r3"), b'{"resigned":"try:r3"}\n'),
        (post("/admin/leave", b""), b'{"error":"leave:0 is held by 3"}\n'),
    ],
)
def test_the_json_of_each_response_keeps_its_names(sent: bytes, body: bytes) -> None:
    assert response_to(FakeOperations(), sent).endswith(b"\r\n\r\n" + body)


# --- cordons ---

LISTED = READERS + WRITERS
IDS = [entry.server for entry in LISTED]


def full(*entries: Endpoint) -> EndpointUpdate:
    return EndpointUpdate(UpdateScope.SNAPSHOT, entries, 1)


def test_an_endpoint_cordoned_twice_is_uncordoned_once_and_then_gets_a_slow_start() -> None:
    cordons = Cordons()
    cordons.apply(full(*LISTED))
    for now in (5_000.0, 6_000.0):
        assert [e.state for e in cordons.cordon(now, IDS[0]).endpoints] == [EndpointState.DRAINING]
    back = cordons.uncordon(9_000.0, IDS[0]).endpoints[0]
    assert (back.state, back.started_ms) == (EndpointState.HEALTHY, 9_000.0)
    told = replace(LISTED[0], started_ms=7_000.0)
    assert cordons.apply(EndpointUpdate(UpdateScope.DELTA, (told,), 2)).endpoints[0].started_ms == 7_000.0


def test_unknown_endpoints_are_rejected_and_a_needless_uncordon_is_not() -> None:
    cordons = Cordons()
    cordons.apply(full(*LISTED[1:]))
    for call in (cordons.cordon, cordons.uncordon):
        with pytest.raises(UnknownEndpointError):
            call(1.0, IDS[0])
    assert cordons.uncordon(1.0, IDS[1]).endpoints == (LISTED[1],)
    assert cordons.records == {}


def test_cordons_are_bounded_and_ended_ones_are_forgotten_first() -> None:
    cordons = Cordons()
    many = (Endpoint(f"h{n}", 0, 1.0, 0, EndpointState.HEALTHY, 0, None) for n in range(MAX_CORDONS + 1))
    cordons.apply(full(*many))
    for n in range(MAX_CORDONS):
        cordons.cordon(float(n), f"h{n}")
    with pytest.raises(TooManyCordonsError):
        cordons.cordon(5000.0, f"h{MAX_CORDONS}")
    cordons.uncordon(6000.0, "h7")
    cordons.cordon(7000.0, f"h{MAX_CORDONS}")
    assert len(cordons.records) == MAX_CORDONS
    assert "h7" not in cordons.records


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cordon", "uncordon", "list", "leave", "merge"]),
        st.sampled_from(IDS[:3]),
        st.integers(0, 1),
    ),
    max_size=40,
)


@given(STEPS)
def test_the_latest_call_counts_in_any_order_of_calls_lists_and_merges(
    steps: list[tuple[str, str, int]],
) -> None:
    """Two processes of one dispatcher, each with its own endpoint list; the model is a set."""
    processes = [Cordons(), Cordons()]
    cores: list[dict[str, Endpoint]] = [{}, {}]
    out: set[str] = set()

    def publish(n: int, news: EndpointUpdate | None) -> None:
        if news is None:
            return
        if news.scope is not UpdateScope.DELTA:
            cores[n] = {}
        cores[n].update({entry.server: entry for entry in news.endpoints})

    for n in (0, 1):
        publish(n, processes[n].apply(full(*LISTED[:3])))
    for at, (step, server, n) in enumerate(steps):
        now = 1000.0 + at
        entry = LISTED[IDS.index(server)]
        if step in ("cordon", "uncordon"):
            known = server in out or cores[n].get(server, LISTED[0]).state is not EndpointState.REMOVED
            if not known:
                continue
            publish(n, getattr(processes[n], step)(now, server))
            publish(1 - n, processes[1 - n].merge(processes[n].records))
            (out.add if step == "cordon" else out.discard)(server)
        elif step == "list":
            publish(n, processes[n].apply(full(*LISTED[:3])))
        elif step == "leave":
            gone = Endpoint(entry.server, 0, 1.0, 0, EndpointState.REMOVED, 0, None)
            publish(n, processes[n].apply(EndpointUpdate(UpdateScope.DELTA, (gone,), 2)))
        else:
            publish(n, processes[n].merge(processes[1 - n].records))
        for core in cores:
            states = {s: e.state for s, e in core.items() if e.state is not EndpointState.REMOVED}
            drains = {s for s, state in states.items() if state is EndpointState.DRAINING}
            assert drains == out & set(states)


# --- metrics ---


@given(st.integers(0, 2**32))
def test_metrics_agree_with_a_recount_of_random_requests(seed: int) -> None:
    """Clients that disconnect, attempts that end in every way, and the real policy."""
    rng = random.Random(seed)
    ports = RecordingPorts()
    now = 1000.0
    router = Router(SETTINGS)
    core = Dispatcher(SETTINGS, router, ports, 250.0)
    core.update_endpoints(now, EndpointUpdate(UpdateScope.CACHED, LISTED, 1))
    taken: Counter[int] = Counter()
    left = relayed = 0
    for n in range(60):
        now += rng.random() * 400.0
        if rng.random() < 0.5:
            cls = rng.randrange(len(SETTINGS.classes))
            told_of = (f"q{n}", cls, 0, f"s{n % 7}", 4000.0, None, None, 900.0, 0.0, 200.0, False, False)
            core.accept(now, Request(*told_of), ports, None)
            taken[cls] += 1
        core.run(now)
        for attempt in [a for a in ports.attempts if not a.finished and rng.random() < 0.6]:
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
        for release in ports.releases:
            core.release_finished(release, True)
        ports.releases.clear()
        for call in ports.reservations:
            core.reservation_finished(call, False, True)
        ports.reservations.clear()
        core.run(now)
    told = Counter(answer.split()[0] for answer in ports.answers)
    rows = core.metrics.classes
    assert [row.accepted for row in rows] == [taken[n] for n in range(len(rows))]
    assert sum(row.fulfilled for row in rows) == told["finished"]
    assert sum(row.throttled for row in rows) == told["rejected"]
    assert sum(row.faulted for row in rows) == told["failed"] + told["stream_broken"]
    assert sum(row.client_disconnected for row in rows) == left
    assert core.metrics.open == sum(1 for request in core.open_requests.values() if not request.done)
    assert core.metrics.requests_written == relayed


async def stats(on: Stage) -> Any:
    return orjson.loads((await raw(on.admin, get("/admin/stats"))).partition(b"\r\n\r\n")[2])


def test_metrics_of_both_fronts_match_what_their_clients_saw() -> None:
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
        await raw(on.admin, post("/admin/cordon", b"w"))
        assert (await stats(on))["out_of_rotation"] == 1

    play(reader, writer, story=story)


# --- over sockets ---


def test_a_cordoned_host_gets_no_new_work_until_it_is_uncordoned() -> None:
    async def story(on: Stage) -> None:
        reader, writer = hosts
        assert (await raw(on.admin, post("/admin/cordon", b"w"))).startswith(b"HTTP/1.1 200 ")
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "refused"
        on.discovery.tell(writer.row())  # whatever lists say meanwhile
        while on.daemon.watch is None or on.daemon.watch.version != 2:
            await trio.sleep(0.001)
        assert (await ask_platform(on.platform, "q2", "consulta")).outcome == "refused"
        assert (await raw(on.admin, post("/admin/uncordon", b"w"))).startswith(b"HTTP/1.1 200 ")
        assert (await raw(on.admin, post("/admin/cordon", b"x"))).startswith(b"HTTP/1.1 404 ")
        with trio.fail_after(5.0):
            n = 0
            while (await ask_platform(on.platform, f"b{n}", "consulta")).outcome != "served":
                n += 1
                await trio.sleep(0.05)
        assert "q1" not in reader.begun + writer.begun  # nobody could write it, so nobody read it

    hosts = pair()
    play(*hosts, story=story)


def test_a_cordon_outlasts_a_change_of_discovery_and_the_log_names_a_kind_without_hosts(
    capfd: pytest.CaptureFixture[str],
) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        await raw(on.admin, post("/admin/cordon", b"r"))
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


def test_incomplete_requests_do_not_block_others() -> None:
    async def story(on: Stage) -> None:
        idle = [await trio.open_tcp_stream(*on.admin) for _ in range(3 * MAX_CONNECTIONS)]
        for stream in idle[::2]:
            await stream.send_all(b"GET /admin/st")
        with trio.fail_after(1.0):
            assert "relayed" in await stats(on)
        for stream in idle:
            await stream.aclose()

    play(*pair(), story=story)


def test_the_admin_api_answers_with_a_thousand_idle_client_connections() -> None:
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


def test_the_admin_api_is_not_reachable_from_client_listeners() -> None:
    async def story(on: Stage) -> None:
        for at in (on.platform, on.chat):
            call = await connect(at)
            async with call.stream:
                await call.send("POST", "/admin/cordon", [], b"w")
                assert (await call.receive()).status in (401, 404)
        assert (await stats(on))["out_of_rotation"] == 0

    play(*pair(), story=story)
