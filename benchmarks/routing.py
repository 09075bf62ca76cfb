"""What routing costs: the index against the plain walk, and what the layer adds to a request.

    .venv/bin/python -m benchmarks.routing

Both find the same routes (checked before anything is timed). Ratios are of one run.
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


def routes(count: int, rng: random.Random) -> list[Route]:
    """Most name a tenant, some a class, a model or a length; a few exclude; one has the rest."""
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


def requests(count: int, rng: random.Random) -> list[RequestAttributes]:
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


def each_us(
    act: Callable[[RequestAttributes], object], asked: list[RequestAttributes], least_s: float = 0.3
) -> float:
    """Microseconds of one call, the best of three rounds."""
    best = float("inf")
    for _ in range(3):
        done = 0
        started = time.perf_counter()
        while time.perf_counter() - started < least_s:
            for each in asked:
                act(each)
            done += len(asked)
        best = min(best, (time.perf_counter() - started) / done * 1e6)
    return best


def index_against_walk() -> None:
    print("routes     build ms   index us    walk us   walk/index   index/index at 10")
    first = 0.0
    for count in SIZES:
        rng = random.Random(count)
        rows = routes(count, rng)
        started = time.perf_counter()
        table = Table(rows)
        built = (time.perf_counter() - started) * 1e3
        asked = requests(count, rng)
        few = asked if count < 10_000 else asked[:50]
        assert all(table.find(each) == table.find_linear(each) for each in few)
        index = each_us(table.find, asked)
        walk = each_us(table.find_linear, few)
        first = first or index
        print(
            f"{count:6} {built:12.1f} {index:10.2f} {walk:10.1f} {walk / index:12.1f} {index / first:12.2f}"
        )


def added_to_a_request() -> None:
    """From a front's request to its course, the module's questions for 11 hosts, and the end."""
    rows = (*routes(999, random.Random(1)), Route("all", pool="near", policy="usual"))
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

    def routed(_: RequestAttributes) -> None:
        request.route = None
        asked = routing.route(request, origin)
        routing.request_accepted(1.0, asked)
        course = asked.route
        assert course is not None
        course.active_pool(1.0)
        for entry in entries:
            course.contains(entry.server, 1.0)
        routing.log_fields(asked)
        routing.request_closed(2.0, asked)

    cost = each_us(routed, requests(10, random.Random(2)))
    print(f"\nadded to a request, 1,000 routes and 11 hosts: {cost:.1f} us")


if __name__ == "__main__":
    index_against_walk()
    added_to_a_request()
