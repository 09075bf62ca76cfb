"""Time of an indexed route lookup against a linear search, and the time that routing adds to a request.

    .venv/bin/python -m benchmarks.routing

Checks first that both searches find the same routes. All ratios are from one run.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from tests.router_harness import SETTINGS
from violetstack.core.ports import Origin
from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, Request, UpdateScope
from violetstack.routing.conditions import AllOf, Condition, InRange, Not, OneOf
from violetstack.routing.generations import Routing, RoutingPlan
from violetstack.routing.policies import Policy
from violetstack.routing.pools import PoolSpec
from violetstack.routing.table import RequestAttributes, Route, Table

SIZES = (10, 100, 1_000, 10_000)
CLASSES = [f"class-{n}" for n in range(6)]
MODELS = [f"model-{n}" for n in range(20)]


def generate_routes(count: int, rng: random.Random) -> list[Route]:
    """Generate routes: all with a tenant, some with a class, a model or a prompt length; few are negated.

    The last one matches every request.
    """
    rows = []
    for n in range(count - 1):
        parts: list[Condition] = [OneOf("tenant", frozenset({f"tenant-{rng.randrange(count)}"}))]
        if rng.random() < 0.5:
            parts.append(OneOf("class", frozenset(rng.sample(CLASSES, 2))))
        if rng.random() < 0.3:
            parts.append(OneOf("model", frozenset({rng.choice(MODELS)})))
        if rng.random() < 0.3:
            low = rng.randrange(0, 20_000)
            parts.append(InRange("prompt", low, low + rng.randrange(1, 20_000)))
        if rng.random() < 0.01:
            parts = [Not(parts[0]), *parts[1:], InRange("prompt", 50_000 + n, 50_001 + n)]
        rows.append(Route(f"route-{n}", AllOf(tuple(parts))))
    return [*rows, Route("rest")]


def generate_requests(count: int, rng: random.Random) -> list[RequestAttributes]:
    return [
        RequestAttributes(
            rng.choice(CLASSES),
            f"tenant-{rng.randrange(count)}",
            rng.choice(MODELS),
            rng.choice(("chat", "platform")),
            rng.randrange(40_000),
            rng.random() < 0.1,
        )
        for _ in range(1_000)
    ]


def time_call_us(
    call: Callable[[RequestAttributes], object],
    requests: list[RequestAttributes],
    min_duration_s: float = 0.3,
) -> float:
    """Return the microseconds of one call, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        calls = 0
        started = time.perf_counter()
        while time.perf_counter() - started < min_duration_s:
            for request in requests:
                call(request)
            calls += len(requests)
        best = min(best, (time.perf_counter() - started) / calls * 1e6)
    return best


def compare_searches() -> None:
    print("routes     build ms   index us  linear us linear/index   index/index at 10")
    smallest_us = 0.0
    for count in SIZES:
        rng = random.Random(count)
        rows = generate_routes(count, rng)
        started = time.perf_counter()
        table = Table(rows)
        build_ms = (time.perf_counter() - started) * 1e3
        requests = generate_requests(count, rng)
        compared = requests if count < 10_000 else requests[:50]
        assert all(table.find(request) == table.find_linear(request) for request in compared)
        index_us = time_call_us(table.find, requests)
        linear_us = time_call_us(table.find_linear, compared)
        smallest_us = smallest_us or index_us
        print(
            f"{count:6} {build_ms:12.1f} {index_us:10.2f} {linear_us:10.1f} {linear_us / index_us:12.1f} "
            f"{index_us / smallest_us:12.2f}"
        )


def measure_added_cost() -> None:
    """Print what routing adds to a request: matching it, the policy's checks of 11 hosts, and its end."""
    rows = (*generate_routes(999, random.Random(1)), Route("all", pool="near", policy="usual"))
    rows = tuple(row for row in rows if row.name != "rest")
    near = PoolSpec("near", OneOf("cell", frozenset({"0"})), 1, ("far",))
    plan = RoutingPlan(
        rows, {"near": near, "far": PoolSpec("far")}, {"usual": Policy("usual", 9_000.0, 4, 0.2)}
    )
    routing = Routing(
        plan,
        SETTINGS,
        classes=tuple(CLASSES),
        tenants=(),
        kinds=("prefill", "decode"),
        zones=("z",),
        log=lambda event, **fields: None,
    )
    entries = tuple(Endpoint(f"h{n}", n % 2, 1.0, 0, EndpointState.HEALTHY, n % 2, None) for n in range(11))
    routing.update_endpoints(0.0, EndpointUpdate(UpdateScope.SNAPSHOT, entries, 1))
    request = Request("q", 0, 0, "s", 5000.0, None, None, 3000.0, 0.0, 200.0, False, False)
    origin = Origin("chat", "model-3", 4_000)

    def route_request(_: RequestAttributes) -> None:
        request.route = None
        routed = routing.route(request, origin)
        routing.request_accepted(1.0, routed)
        request_route = routed.route
        assert request_route is not None
        request_route.active_pool(1.0)
        for entry in entries:
            request_route.contains(entry.server, 1.0)
        routing.log_fields(routed)
        routing.request_closed(2.0, routed)

    cost_us = time_call_us(route_request, generate_requests(10, random.Random(2)))
    print(f"\nadded to a request, 1,000 routes and 11 hosts: {cost_us:.1f} us")


if __name__ == "__main__":
    compare_searches()
    measure_added_cost()
