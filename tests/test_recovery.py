"""Recovery: cached endpoints, the phases of a start, and the panic threshold."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
import trio

from tests.router_harness import SETTINGS
from violetstack import log
from violetstack.config import Config, NodeConfig
from violetstack.daemon.daemon import Daemon
from violetstack.net.endpoint_cache import EndpointCache
from violetstack.net.startup_recovery import StartupRecovery
from violetstack.protocol.discovery import EndpointListMessage, ListedEndpoint
from violetstack.protocol.http_server import HttpRequest
from violetstack.recovery.cached_endpoints import (
    CachedEndpoint,
    CacheStatus,
    EndpointSource,
    merge_sources,
)
from violetstack.recovery.panic_threshold import PanicThreshold
from violetstack.recovery.startup_phases import Phase, StartupPhases
from violetstack.rehearsal.clients import ask_platform
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.peer import Break, PeerConnection
from violetstack.rehearsal.stage import Stage, stage
from violetstack.state.snapshot import StateSnapshot

NOW = 1e9
WARM_UP_MS = 14_000.0
MAX_AGE_MS = 3_600_000.0


def listed_endpoint(name: str, port: int, state: str = "active", started_ms: float = 0.0) -> ListedEndpoint:
    return ListedEndpoint(name, f"127.0.0.1:{port}", "z", "prefill", 0, state, 1.0, started_ms)


def merged(*sources: EndpointSource) -> dict[str, CachedEndpoint]:
    endpoints = merge_sources(sources, NOW, warm_up_ms=WARM_UP_MS, max_age_ms=MAX_AGE_MS)
    return {endpoint.listed.id: endpoint for endpoint in endpoints}


def list_on_disk(age_ms: float, *endpoints: ListedEndpoint) -> EndpointSource:
    return EndpointSource("disk", NOW - age_ms, 7, endpoints)


def configured_list(*endpoints: ListedEndpoint) -> EndpointSource:
    return EndpointSource("known", None, 3, endpoints)


@pytest.fixture
def log_lines() -> Iterator[list[dict[str, Any]]]:
    """The lines logged during a test."""
    lines: list[dict[str, Any]] = []
    observer = lines.append
    log.observers.append(observer)
    yield lines
    log.observers.remove(observer)


@pytest.mark.parametrize(
    ("age_ms", "status", "started_ms"),
    [
        (1_000.0, CacheStatus.FRESH, 0.0),
        (60_000.0, CacheStatus.STALE, NOW),  # it may have restarted: treated as warming up from now on
        (2 * MAX_AGE_MS, CacheStatus.REJECTED, 0.0),
        (-86_400_000.0, CacheStatus.STALE, NOW),  # the clock was set back by a day
    ],
)
def test_a_cached_endpoint_is_assessed_by_the_age_of_its_list(
    age_ms: float, status: CacheStatus, started_ms: float
) -> None:
    endpoint = merged(list_on_disk(age_ms, listed_endpoint("a", 1)))["a"]
    assert (endpoint.status, endpoint.listed.started_ms) == (status, started_ms)


def test_the_most_recent_source_that_lists_an_endpoint_is_used() -> None:
    cached = merged(
        configured_list(listed_endpoint("a", 1), listed_endpoint("b", 2)),
        list_on_disk(5_000.0, listed_endpoint("a", 1, "leaving")),
    )
    assert (cached["a"].status, cached["a"].listed.state) == (CacheStatus.FRESH, "leaving")
    assert cached["b"].status is CacheStatus.REJECTED
    assert "newer list" in cached["b"].reason
    only_configured = merged(configured_list(listed_endpoint("a", 1)), list_on_disk(5_000.0))
    assert only_configured["a"].status is CacheStatus.STALE  # no endpoint is stored


def test_an_address_belongs_to_the_endpoint_that_started_last() -> None:
    cached = merged(
        list_on_disk(
            1_000.0,
            listed_endpoint("old", 1, started_ms=5.0),
            listed_endpoint("new", 1, started_ms=9.0),
            listed_endpoint("c", 2),
        )
    )
    assert cached["old"].status is CacheStatus.REJECTED
    assert "new" in cached["old"].reason
    assert cached["new"].status is cached["c"].status is CacheStatus.FRESH


@pytest.mark.parametrize("list_received", [False, True])
def test_stale_endpoints_that_cannot_be_reached_are_removed_until_a_list_is_received(
    list_received: bool, log_lines: list[dict[str, Any]]
) -> None:
    removed: list[str] = []

    async def verify() -> list[ListedEndpoint]:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        (closed,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        ports = [bound_listener.socket.getsockname()[1] for bound_listener in (listener, closed)]
        await closed.aclose()
        cache = EndpointCache(warm_up_ms=WARM_UP_MS, max_age_ms=MAX_AGE_MS, rng=Random(1))
        known = EndpointListMessage(
            3,
            True,
            [listed_endpoint("up", ports[0]), listed_endpoint("down", ports[1]), listed_endpoint("odd", -1)],
        )
        usable = cache.load(known, StateSnapshot()).servers
        await cache.verify(lambda gone: removed.append(gone.id), lambda: list_received)
        await listener.aclose()
        return usable

    assert {endpoint.id for endpoint in trio.run(verify)} == {"up", "down", "odd"}
    assert sorted(removed) == ([] if list_received else ["down", "odd"])
    events = {line["event"]: line for line in log_lines}
    assert events["endpoints_recovered"]["stale"] == 3
    assert events["recovered_endpoints_verified"]["reachable"] == (0 if list_received else 1)


def test_a_start_goes_through_its_phases_and_restarts_when_the_list_becomes_empty() -> None:
    start = StartupPhases(0.0, 10_000.0)
    assert start.cache_loaded(0) is None
    assert start.phase is Phase.NO_ENDPOINTS
    changes = [
        start.cache_loaded(3),
        start.list_received(50.0, 4),
        start.list_received(60.0, 5),
        start.tick(9_000.0),
        start.tick(10_050.0),
        start.list_received(20_000.0, 0),
        start.list_received(21_000.0, 4),
        start.learned_state_restored(),
    ]
    assert [change and change.new.value for change in changes] == [
        "cached_endpoints",
        "warming_up",
        None,
        None,
        "ready",
        "no_endpoints",
        "warming_up",
        "ready",
    ]
    assert start.tick(99_000.0) is None
    assert start.warm_up_ends_at is None


class SilentDiscovery(Discovery):
    """A service discovery that accepts requests and never answers."""

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        await connection.until_closed()
        raise Break


def test_a_killed_dispatcher_serves_from_stored_state_while_discovery_does_not_answer(
    tmp_path: Path, log_lines: list[dict[str, Any]]
) -> None:
    """The dispatcher's configuration has no endpoints."""
    state: dict[str, Any] = {"state": {"folder": str(tmp_path / "state")}}

    async def store_state(running: Stage) -> None:
        assert (await ask_platform(running.platform, "q1", "consulta")).outcome == "served"
        assert running.daemon.state_writer is not None
        assert running.daemon.watch is not None
        await running.daemon.watch.responded.wait()
        running.daemon.state_writer.store_learned_state()
        await running.daemon.state_writer.flush()  # the dispatcher is killed after this, not drained

    async def serve_from_stored_state(running: Stage) -> None:
        assert (await ask_platform(running.platform, "q2", "orden")).outcome == "served"
        assert {e.started_ms for e in running.daemon.core.endpoints.values()} == {None}  # the list is fresh

    async def scenario() -> None:
        prefill_host = ModelHost("prefill_host", "prefill")
        decode_host = ModelHost("decode_host", "decode")
        async with stage(prefill_host, decode_host, chat=state) as running:
            await store_state(running)
            silent = SilentDiscovery()
            await running.nursery.start(silent.serve)
            node_config = {**running.node_config, "known": {"version": 0, "full": True, "servers": []}}
            node_config |= {"discovery": silent.address, "mgmt": ""}
            running.daemon.nursery.cancel_scope.cancel()
            daemon = Daemon(Config(msgspec.convert(node_config, NodeConfig), running.operator_config))
            serving = await running.nursery.start(daemon.serve)
            await serve_from_stored_state(replace(running, daemon=daemon, platform=serving.platform))

    trio.run(scenario)
    phases = [(row["old"], row["new"]) for row in log_lines if row["event"] == "recovery_phase_changed"]
    assert phases[-1] == ("no_endpoints", "cached_endpoints")
    assert [row["fresh"] for row in log_lines if row["event"] == "endpoints_recovered"] == [0, 2]
    assert [row["servers"] for row in log_lines if row["event"] == "estimates_restored"] == [2]


def test_a_list_that_lacks_most_endpoints_is_overridden_for_a_limited_time_but_a_drain_is_not() -> None:
    current = {name: listed_endpoint(name, n) for n, name in enumerate("abcd")}
    threshold = PanicThreshold(0.5, 30_000.0)
    one_missing = [listed_endpoint("a", 0), listed_endpoint("b", 1), listed_endpoint("c", 2)]
    assert threshold.check(NOW, current, one_missing) is None
    retained = threshold.check(NOW, current, [listed_endpoint("b", 1, "leaving")])
    assert retained is not None
    assert retained.until == NOW + 30_000.0
    assert {(s.id, s.started_ms) for s in retained.endpoints} == {("a", NOW), ("c", NOW), ("d", NOW)}
    assert threshold.check(NOW + 29_000.0, current, []) is not None
    assert threshold.check(NOW + 30_000.0, current, []) is None  # accepted after the retention time
    assert PanicThreshold(float("inf"), 1.0).check(NOW, current, []) is None  # turned off


def test_an_empty_list_that_reaches_the_panic_threshold_does_not_stop_serving(
    tmp_path: Path, log_lines: list[dict[str, Any]]
) -> None:
    """An endpoint that cannot be reached is removed."""
    state: dict[str, Any] = {"state": {"folder": str(tmp_path / "state"), "doubt": 0.5}}

    async def scenario() -> None:
        prefill_host = ModelHost("prefill_host", "prefill")
        decode_host = ModelHost("decode_host", "decode")
        async with stage(prefill_host, decode_host, chat=state) as running:
            assert running.daemon.watch is not None
            await running.daemon.watch.responded.wait()
            running.discovery.changes = []
            running.discovery.version = 9
            running.daemon.watch.request_list()
            while not any(line["event"] == "endpoint_list_loss_suspected" for line in log_lines):
                await trio.sleep(0.01)
            answers = [await ask_platform(running.platform, f"q{n}", "consulta") for n in range(2)]
            assert "served" in [answer.outcome for answer in answers]
            running.daemon.endpoints.remove_unreachable(ListedEndpoint("prefill_host"))
            assert set(running.daemon.core.endpoints) == {"decode_host"}

    trio.run(scenario)


def test_retry_after_has_jitter_until_a_list_is_received() -> None:
    async def retry_times() -> list[float]:
        async with trio.open_nursery() as nursery:
            recovery = StartupRecovery(nursery, None, SETTINGS)
            times = [recovery.retry_after_ms(400.0) for _ in range(50)]
            recovery.list_changed((), 1, complete=True, listed=2)
            times.append(recovery.retry_after_ms(400.0))
            nursery.cancel_scope.cancel()
        return times

    times = trio.run(retry_times)
    times_without_list = times[:50]
    assert min(times_without_list) >= 500.0
    assert max(times_without_list) <= 1000.0
    assert len(set(times_without_list)) == 50
    assert times[-1] == 400.0
