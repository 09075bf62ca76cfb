"""The admin API: its requests, its metrics compared with a recount, and its operations over sockets."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import orjson
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from tests.router_harness import DECODE_HOSTS, PREFILL_HOSTS, SETTINGS
from tests.test_core import RecordingPorts
from tests.test_stories import pair, play
from violetstack.admin.api import MAX_BODY_BYTES, AdminConnection
from violetstack.admin.errors import RequestRejectedError, UnknownEndpointError
from violetstack.admin.responses import (
    InvariantsResponse,
    LeasesResponse,
    ResignResponse,
    RestartPermitResponse,
    StatsResponse,
)
from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt
from violetstack.core.remote_hold import HoldSummary
from violetstack.net.admin_server import MAX_CONNECTIONS
from violetstack.policy.router import Router
from violetstack.policy_api import (
    AttemptStatus,
    EndpointUpdate,
    Request,
    UpdateScope,
)
from violetstack.rehearsal.clients import ask_chat, ask_platform, chat_body, connect, platform_headers, raw
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import CUT, ERROR, Act
from violetstack.rehearsal.stage import Stage


class FakeOperations:
    """The operations of a dispatcher with the endpoints `a` and `b`; records cordons and log lines."""

    def __init__(self) -> None:
        self.started = True
        self.accepting = True
        self.cordoned: set[str] = set()
        self.lines: list[dict[str, Any]] = []

    def stats(self) -> StatsResponse:
        return StatsResponse({}, 0, 0, 2, 0)

    def invariants(self) -> InvariantsResponse:
        return InvariantsResponse({"lost": 1}, 2, {"stream_cut": 3}, HoldSummary(3, 2, 740))

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


def post_in_chunks(path: str, chunk: bytes, count: int) -> bytes:
    """Returns a request whose body is `count` times this chunk; the chunk includes its header."""
    head = b"POST %b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" % path.encode()
    return head + chunk * count + b"0\r\n\r\n"


def get(path: str) -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode()


REJECTED_REQUESTS = {
    "unknown path": (get("/admin"), 404),
    "wrong method": (get("/admin/cordon"), 405),
    "post to stats": (post("/admin/stats", b""), 405),
    "no id": (post("/admin/cordon", b" \n"), 400),
    "two ids": (post("/admin/cordon", b"a b"), 400),
    "id that is not UTF-8": (post("/admin/cordon", b"\xff\xfe"), 400),
    "restart permit denied": (post("/admin/leave", b""), 503),
    "no lease name": (post("/admin/resign", b""), 400),
    "unknown id": (post("/admin/cordon", b"nobody"), 404),
    "oversized": (post("/admin/cordon", b"", MAX_BODY_BYTES + 1), 413),
    "oversized in small chunks": (post_in_chunks("/admin/cordon", b"1\r\na\r\n", MAX_BODY_BYTES + 1), 413),
    "two ids in small chunks": (post_in_chunks("/admin/cordon", b"1\r\na\r\n1 \r\n \r\n", 400), 400),
    "invalid HTTP": (b"\x16\x03\x01\r\n\r\n", 400),
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


def test_cordons_are_rejected_before_the_start_and_health_fails_while_not_accepting() -> None:
    operations = FakeOperations()
    operations.accepting = False
    assert response_to(operations, get("/admin/health")).startswith(b"HTTP/1.1 503 ")
    assert response_to(operations, get("/admin/stats")).startswith(b"HTTP/1.1 200 ")
    assert response_to(operations, post("/admin/cordon", b"a")).startswith(b"HTTP/1.1 200 ")  # in a shutdown
    operations.started = False
    assert response_to(operations, post("/admin/cordon", b"b")).startswith(b"HTTP/1.1 503 ")
    assert operations.cordoned == {"a"}


@given(st.integers(1, 80), st.sampled_from([get("/admin/health"), post("/admin/cordon", b"a\n")]))
def test_a_request_may_arrive_in_two_parts_split_anywhere(split: int, request: bytes) -> None:
    operations = FakeOperations()
    connection = AdminConnection(operations, operations.log)
    responses = [connection.feed(part) for part in (request[:split], request[split:]) if part]
    assert [response for response in responses if response] == [response_to(FakeOperations(), request)]


EMPTY_STATS = b'{"operations":{},"relayed":0,"open_requests":0,"registry_entries":2,"out_of_rotation":0}\n'
EMPTY_LEASES = b'{"me":0,"fit":true,"electors":[0],"speaks":true,"datagrams":0,"bytes":0,"duties":[]}\n'


@pytest.mark.parametrize(
    ("request_bytes", "body"),
    [
        (get("/admin/health"), b'{"status":"serving"}\n'),
        (get("/admin/stats"), EMPTY_STATS),
        (
            get("/admin/invariants"),
            b'{"violations":{"lost":1},"log_lines_dropped":2,"client_connections":{"stream_cut":3},'
            b'"held":{"requests":3,"unclaimed":2,"oldest_unclaimed_ms":740}}\n',
        ),
        (post("/admin/cordon", b"a"), b'{"out":"a"}\n'),
        (post("/admin/uncordon", b"a"), b'{"back":"a"}\n'),
        (get("/admin/duties"), EMPTY_LEASES),
        (post("/admin/resign", b"try:r3"), b'{"resigned":"try:r3"}\n'),
        (post("/admin/leave", b""), b'{"error":"leave:0 is held by 3"}\n'),
    ],
)
def test_each_response_has_the_documented_names(request_bytes: bytes, body: bytes) -> None:
    assert response_to(FakeOperations(), request_bytes).endswith(b"\r\n\r\n" + body)


# --- metrics ---


def random_status(rng: random.Random, core: Dispatcher, attempt: Attempt, now: float) -> AttemptStatus:
    """Returns a random status for the attempt; starts the stream of a decode first if the core allows it."""
    if attempt.is_prefill:
        return rng.choice(
            [AttemptStatus.PREFILLED, AttemptStatus.PREFILLED, AttemptStatus.ERROR, AttemptStatus.REJECTED]
        )
    if core.stream_started(now, attempt):
        return rng.choice([AttemptStatus.OK, AttemptStatus.OK, AttemptStatus.RESET])
    return AttemptStatus.ERROR


@given(st.integers(0, 2**32))
def test_metrics_agree_with_a_recount_of_random_requests(seed: int) -> None:
    """Clients disconnect and attempts end with random statuses; the policy is the real one."""
    rng = random.Random(seed)
    ports = RecordingPorts()
    now = 1000.0
    router = Router(SETTINGS)
    core = Dispatcher(SETTINGS, router, ports, 250.0)
    core.update_endpoints(now, EndpointUpdate(UpdateScope.CACHED, PREFILL_HOSTS + DECODE_HOSTS, 1))
    accepted: Counter[int] = Counter()
    disconnected = 0
    written = 0
    for n in range(60):
        now += rng.random() * 400.0
        if rng.random() < 0.5:
            cls = rng.randrange(len(SETTINGS.classes))
            fields = (f"q{n}", cls, 0, f"s{n % 7}", 4000.0, None, None, 900.0, 0.0, 200.0, False, False)
            core.accept(now, Request(*fields), ports, None)
            accepted[cls] += 1
        core.run(now)
        for attempt in [a for a in ports.attempts if not a.finished and rng.random() < 0.6]:
            if not attempt.request_written:
                core.request_written(now, attempt)
                written += 1
            core.attempt_finished(now, attempt, random_status(rng, core, attempt, now))
        for request in list(core.open_requests.values()):
            if not request.done and rng.random() < 0.05:
                core.client_disconnected(now, request)
                disconnected += 1
        core.run(now)
        for release in ports.releases:
            core.release_finished(now, release, True)
        ports.releases.clear()
        for call in ports.reservations:
            core.reservation_finished(now, call, False, True)
        ports.reservations.clear()
        core.run(now)
    answers = Counter(answer.split()[0] for answer in ports.answers)
    rows = core.metrics.classes
    assert [row.accepted for row in rows] == [accepted[n] for n in range(len(rows))]
    assert sum(row.fulfilled for row in rows) == answers["finished"]
    assert sum(row.throttled for row in rows) == answers["rejected"]
    assert sum(row.faulted for row in rows) == answers["failed"] + answers["stream_broken"]
    assert sum(row.client_disconnected for row in rows) == disconnected
    assert core.metrics.open == sum(1 for request in core.open_requests.values() if not request.done)
    assert core.metrics.requests_written == written


async def stats(on: Stage) -> Any:
    return orjson.loads((await raw(on.admin, get("/admin/stats"))).partition(b"\r\n\r\n")[2])


def test_metrics_of_both_fronts_match_the_outcomes_at_their_clients() -> None:
    prefill_host, decode_host = pair(Act(), ERROR, CUT, Act(), Act(pause=trio.Event()))

    async def story(on: Stage) -> None:
        empty = {"fulfilled": 0, "throttled": 0, "faulted": 0}
        assert (await stats(on))["operations"] == {"consulta": empty, "orden": empty}
        outcomes = [(await ask_platform(on.platform, f"q{n}", "orden")).outcome for n in range(3)]
        assert outcomes == ["served", "failed", "cut"]
        assert (await ask_chat(on.chat, chat_body("giro-consulta"))).outcome == "served"
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q9", "orden"), b"{}" + b" " * 400)
        await call.receive(events=3)
        metrics = await stats(on)
        assert metrics["operations"]["orden"] == {"fulfilled": 1, "throttled": 0, "faulted": 2}
        assert metrics["operations"]["consulta"] == {"fulfilled": 1, "throttled": 0, "faulted": 0}
        assert (metrics["open_requests"], metrics["relayed"]) == (
            1,
            len(prefill_host.received_ids) + len(decode_host.received_ids),
        )
        assert (metrics["registry_entries"], metrics["out_of_rotation"]) == (2, 0)
        await raw(on.admin, post("/admin/cordon", b"w"))
        assert (await stats(on))["out_of_rotation"] == 1

    play(prefill_host, decode_host, story=story)


# --- over sockets ---


def test_a_cordoned_host_gets_no_new_work_until_it_is_uncordoned() -> None:
    async def story(on: Stage) -> None:
        prefill_host, decode_host = hosts
        assert (await raw(on.admin, post("/admin/cordon", b"w"))).startswith(b"HTTP/1.1 200 ")
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "refused"
        on.discovery.publish(decode_host.row())  # a list that has the host as healthy
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
        assert "q1" not in prefill_host.received_ids + decode_host.received_ids  # w is cordoned

    hosts = pair()
    play(*hosts, story=story)


def test_a_cordon_outlasts_a_change_of_discovery_and_the_log_has_the_kind_without_healthy_hosts(
    capfd: pytest.CaptureFixture[str],
) -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        await raw(on.admin, post("/admin/cordon", b"r"))
        discovery = Discovery(prefill_host.row(), decode_host.row(), {**prefill_host.row(), "id": "r2"})
        await on.nursery.start(discovery.serve)
        on.daemon.reload(lambda: on.config(discovery=discovery.address))
        while "r2" not in on.daemon.core.endpoints:
            await trio.sleep(0.001)
        assert (await stats(on))["out_of_rotation"] == 1
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"  # by r2

    play(prefill_host, decode_host, story=story)
    line = next(row for row in capfd.readouterr().out.splitlines() if '"hosts_cordoned"' in row)
    fields = orjson.loads(line)
    assert (fields["out"], fields["none_left"], fields["by"]) == (["r"], ["prefill"], "call")


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
        idle_streams = []
        for _ in range(1000):
            idle_streams.append(await trio.open_tcp_stream(*on.platform))
            if len(idle_streams) % 100 == 0:
                before = trio.current_time()
                assert "relayed" in await stats(on)
                assert trio.current_time() - before < 1.0
        for stream in idle_streams:
            await trio.aclose_forcefully(stream)

    play(*pair(), story=story)


def test_the_admin_api_is_not_reachable_from_client_listeners() -> None:
    async def story(on: Stage) -> None:
        for address in (on.platform, on.chat):
            call = await connect(address)
            async with call.stream:
                await call.send("POST", "/admin/cordon", [], b"w")
                assert (await call.receive()).status in (401, 404)
        assert (await stats(on))["out_of_rotation"] == 0

    play(*pair(), story=story)
