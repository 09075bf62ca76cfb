"""Routing on a simulated clock: the index against linear search, pools, retry budgets and generations."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.programs import ASKED, CLASSES, TENANTS, programs
from tests.router_harness import DECODE_HOSTS, PREFILL_HOSTS, SETTINGS, RouterHarness, make_endpoint
from violetstack.core.errors import NotRoutedError
from violetstack.core.ports import Origin
from violetstack.language.checker import check
from violetstack.language.files import read_text
from violetstack.language.meaning import plan_of
from violetstack.policy_api import (
    AttemptStatus,
    EndpointState,
    EndpointUpdate,
    RejectRequest,
    Request,
    ReserveDecodeSlot,
    UpdateScope,
)
from violetstack.routing import regions
from violetstack.routing import table as tables
from violetstack.routing.conditions import (
    ALWAYS,
    AllOf,
    AnyOf,
    Condition,
    InRange,
    Not,
    OneOf,
    explain_mismatch,
    holds,
    to_boxes,
)
from violetstack.routing.generations import RequestRoute, Routing, RoutingPlan
from violetstack.routing.policies import Policy, RetryBudget
from violetstack.routing.pools import HostAttributes, PoolSpec, PoolTracker, fallback_chain
from violetstack.routing.regions import Partition, routing_changes
from violetstack.routing.table import RequestAttributes, Route, Table


def one_of(attribute: str, *names: str) -> Condition:
    return OneOf(attribute, frozenset(names))


def _conditions() -> st.SearchStrategy[Condition]:
    leaves: st.SearchStrategy[Condition] = st.one_of(
        st.sets(st.sampled_from(CLASSES), min_size=1).map(lambda n: one_of("class", *n)),
        st.sets(st.sampled_from(TENANTS), min_size=1).map(lambda n: one_of("tenant", *n)),
        st.sampled_from(["chat", "platform"]).map(lambda n: one_of("front", n)),
        st.just(one_of("retry", "yes")),
        st.tuples(st.integers(0, 9000), st.integers(1, 9000)).map(
            lambda r: InRange("prompt", r[0], r[0] + r[1])
        ),
    )
    return st.recursive(
        leaves,
        lambda inner: st.one_of(
            inner.map(Not),
            st.lists(inner, max_size=3).map(lambda p: AllOf(tuple(p))),
            st.lists(inner, min_size=1, max_size=3).map(lambda p: AnyOf(tuple(p))),
        ),
        max_leaves=6,
    )


@settings(max_examples=80)
@given(st.lists(_conditions(), max_size=6))
def test_the_index_and_the_linear_search_find_the_same_route(conditions: list[Condition]) -> None:
    table = Table([Route(f"r{n}", condition) for n, condition in enumerate(conditions)])
    matched = set()
    for attributes in ASKED:
        found = table.find_linear(attributes)
        matched.add(found)
        assert table.find(attributes) == found
        assert table.explain(attributes)[0] == found
    partition = Partition(table)
    unreachable = {table.routes[n] for n in partition.unreachable_routes()}
    assert not unreachable & matched
    if partition.find_gap() is None:
        assert None not in matched


@settings(max_examples=40)
@given(st.lists(_conditions(), max_size=4), st.lists(_conditions(), max_size=4))
def test_routing_changes_are_reported_if_the_linear_searches_differ(
    before: list[Condition], after: list[Condition]
) -> None:
    old = Table([Route(f"r{n}", condition) for n, condition in enumerate(before)])
    new = Table([Route(f"r{n}", condition) for n, condition in enumerate(after)])
    if any(
        old.find_linear(attributes) != new.find_linear(attributes)
        for attributes in ASKED
        if attributes.cls != "other"
    ):
        names = [
            (x and x.name, y and y.name) for x, y in ((old.find_linear(a), new.find_linear(a)) for a in ASKED)
        ]
        if any(a != b for a, b in names):
            assert routing_changes(old, new)
    assert routing_changes(old, old) == []


@settings(max_examples=30)
@given(programs())
def test_routes_of_a_file_are_found_alike_by_index_and_linear_search(text: str) -> None:
    result = check(read_text(text))
    if result.meaning is not None:
        table = Table(plan_of(result.meaning.definitions, {}).routes)
        assert all(table.find(attributes) == table.find_linear(attributes) for attributes in ASKED)


def test_beyond_their_work_limits_the_index_stays_correct_and_the_partition_undecided(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tables, "MAX_WORK", 50)
    monkeypatch.setattr(regions, "MAX_WORK", 50)
    rows = [
        Route(f"r{n}", AllOf((one_of("tenant", f"t{n}"), Not(one_of("model", f"m{n}"))))) for n in range(30)
    ]
    rows += [
        Route(f"x{n}", AllOf((Not(one_of("tenant", f"t{n}")), InRange("prompt", n, n + 9))))
        for n in range(30)
    ]
    table = Table(rows)
    for n in range(40):
        for prompt in (5, 20, 60):
            attributes = RequestAttributes("c", f"t{n}", f"m{n // 2}", "chat", prompt, False)
            assert table.find(attributes) == table.find_linear(attributes)
    assert Partition(table).unreachable_routes() == {}  # undecided routes are not reported


def test_reasons_name_the_value_of_the_request_and_the_location_of_the_condition() -> None:
    condition = AllOf((OneOf("class", frozenset({"orden"}), "a.violet:3"), Not(one_of("front", "chat"))))
    values = RequestAttributes("consulta", "", "", "chat", 5, False).values
    assert explain_mismatch(condition, values) == ["class is consulta, not class == orden (a.violet:3)"]
    assert explain_mismatch(Not(one_of("front", "chat")), values) == ["front == chat holds, and must not"]
    assert to_boxes(Not(ALWAYS)) == [] and holds(ALWAYS, values)


# --- pools ---

BOTH = HostAttributes({"host": "", "kind": "both"}, True, True)


def pool_tracker(**specs: PoolSpec) -> PoolTracker:
    return PoolTracker(specs)


def healthy_hosts(*names: str, pool: str = "a") -> dict[str, HostAttributes]:
    return {name: HostAttributes({"host": name, "kind": pool}, True, True) for name in names}


def two_pools(min_members: int = 2) -> PoolTracker:
    pools = pool_tracker(
        a=PoolSpec("a", one_of("kind", "a"), min_members, ("b",), 5_000.0),
        b=PoolSpec("b", one_of("kind", "b"), 1, (), 5_000.0),
    )
    pools.update_hosts(0.0, healthy_hosts("a1", "a2") | healthy_hosts("b1", pool="b"), (), True)
    return pools


def test_a_pool_is_lost_at_once_and_recovers_only_after_the_recovery_delay() -> None:
    pools = two_pools()
    assert pools.active_pool("a", 0.0) == "a"  # a start is not a recovery
    pools.update_hosts(1_000.0, {}, ["a2"], False)
    assert pools.active_pool("a", 1_000.0) == "b"
    assert [(c.pool, c.lost, c.active_pool) for c in pools.changes] == [("a", True, "b")]
    pools.update_hosts(2_000.0, healthy_hosts("a2"), (), False)
    assert pools.active_pool("a", 6_999.0) == "b"
    assert pools.active_pool("a", 7_000.0) == "a"
    assert [c.lost for c in pools.changes] == [True, False]


def test_a_flapping_pool_has_an_increasing_recovery_delay() -> None:
    pools = two_pools()
    now = 0.0
    delays = []
    for _ in range(6):
        pools.update_hosts(now, {}, ["a2"], False)
        assert pools.active_pool("a", now) == "b"
        pools.update_hosts(now + 1.0, healthy_hosts("a2"), (), False)
        delays.append(pools.recovery_delay_ms("a"))
        now += 1.0 + delays[-1]
        assert pools.active_pool("a", now - 1.0) == "b" and pools.active_pool("a", now) == "a"
    assert delays[:4] == [5_000.0, 10_000.0, 20_000.0, 40_000.0] and max(delays) == 40_000.0
    before = len(pools.changes)
    for n in range(200):  # every 100 ms, so that it never recovers
        pools.update_hosts(
            now + 100.0 * n, {} if n % 2 == 0 else healthy_hosts("a2"), ["a2"] if n % 2 == 0 else [], False
        )
        pools.active_pool("a", now + 100.0 * n)
    assert len(pools.changes) - before == 1
    now += 100.0 * 200
    pools.update_hosts(now, healthy_hosts("a2"), (), False)
    assert pools.active_pool("a", now + 40_000.0) == "a"
    pools.update_hosts(now + 200_000.0, {}, ["a2"], False)  # a loss long after a recovery counts as a first
    assert pools.recovery_delay_ms("a") == 5_000.0


def test_without_a_usable_pool_the_first_pool_with_members_is_active() -> None:
    pools = two_pools(min_members=3)
    pools.update_hosts(1.0, {}, ["b1"], False)
    assert pools.active_pool("a", 1.0) == "a"
    prefill_only = {"b1": HostAttributes({"host": "b1", "kind": "b"}, True, False)}
    pools.update_hosts(2.0, prefill_only, ["a1", "a2"], False)
    assert pools.active_pool("a", 2.0) == "b"  # it cannot decode, and the policy rejects at once


def test_the_fallback_chain_has_each_fallback_followed_by_its_own() -> None:
    specs = {
        n: PoolSpec(n, fallback=f) for n, f in {"a": ("b", "d"), "b": ("c",), "c": ("a",), "d": ()}.items()
    }
    assert fallback_chain(specs, "a") == ("a", "b", "c", "d")


def test_a_reload_keeps_the_state_of_a_pool_with_an_unchanged_definition() -> None:
    pools = two_pools()
    pools.update_hosts(1_000.0, {}, ["a2"], False)
    pools.update_hosts(2_000.0, healthy_hosts("a2"), (), False)
    unchanged = pool_tracker(**pools.specs)
    unchanged.inherit_state(pools, 3_000.0)
    assert unchanged.active_pool("a", 3_000.0) == "b" and unchanged.active_pool("a", 7_000.0) == "a"
    changed = pool_tracker(a=PoolSpec("a", one_of("kind", "a"), 1, ("b",)), b=pools.specs["b"])
    changed.inherit_state(pools, 3_000.0)
    assert changed.active_pool("a", 3_000.0) == "a"  # a changed definition is a new pool, which starts usable


# --- budgets and generations ---


def test_the_retry_budget_limits_the_share_of_retries() -> None:
    budget = RetryBudget(0.2, 1.0)
    allowed = 0
    now = 0.0
    rng = random.Random(5)
    for _ in range(5_000):  # 50 requests a second for 100 s, each of which fails and is retried at once
        now += rng.expovariate(1 / 20.0)
        budget.add_request(now)
        allowed += budget.try_spend(now)
    assert 0.2 * 5_000 <= allowed <= 0.2 * 5_000 + now / 1000.0 + budget.max_balance
    floor_only = RetryBudget(0.0, 1.0)
    assert floor_only.try_spend(0.0) and not floor_only.try_spend(100.0) and floor_only.try_spend(1_100.0)


def make_routing(plan: RoutingPlan) -> Routing:
    return Routing(
        plan,
        SETTINGS,
        classes=("safe", "unsafe"),
        tenants=(),
        kinds=("prefill", "decode", "both"),
        zones=("z",),
        log=lambda event, **fields: None,
    )


def request(n: int = 0, **changes: object) -> Request:
    fields = {
        "id": f"q{n}",
        "class_index": 0,
        "tenant_index": 0,
        "session": None,
        "expires_in_ms": 5000.0,
        "expected_answer_ms": None,
        "prefix_id": None,
        "prompt_tokens": 100.0,
        "prefix_tokens": 0.0,
        "max_tokens": 10.0,
        "is_retry": False,
        "is_resumed": False,
    }
    return Request(**{**fields, **changes})  # type: ignore[arg-type]


CELLS = {"one": PoolSpec("one", one_of("cell", "1"), 1, ("rest",)), "rest": PoolSpec("rest")}
PLAN = RoutingPlan(
    (Route("only", one_of("class", "safe"), "one", "p"),), CELLS, {"p": Policy("p", 2000.0, 2, 0.0, 1.0, 50)}
)


def test_a_request_gets_a_route_or_an_error_with_a_status() -> None:
    routing = make_routing(PLAN)
    routed = routing.route(request(), Origin("platform", "", 10))
    assert routed.expires_in_ms == 2000.0 and routed.route is not None and routed.route.max_attempts == 2
    with pytest.raises(NotRoutedError) as error:
        routing.route(request(class_index=1), Origin("platform"))
    assert error.value.status == 404
    with pytest.raises(NotRoutedError) as error:
        routing.route(request(), Origin("platform", "", 51))
    assert error.value.status == 413


def test_previous_generations_are_dropped_with_their_last_request() -> None:
    routing = make_routing(PLAN)
    open_requests = []
    for n in range(1_000):
        routed = routing.route(request(n), Origin("chat"))
        routing.request_accepted(0.0, routed)
        open_requests.append(routed)
        routing.replace_plan(0.0, PLAN)
        if len(open_requests) > 5:
            routing.request_closed(0.0, open_requests.pop(0))
        assert len(routing.previous) <= 6
    for routed in open_requests:
        routing.request_closed(0.0, routed)
    assert routing.previous == [] and routing.current.number == 1_001


PLAN_WITHOUT_LIMITS = RoutingPlan(PLAN.routes, PLAN.pools, {"p": Policy("p", None, None, 0.0, 1.0)})


def harness_with_routing(*, plan: RoutingPlan = PLAN) -> tuple[RouterHarness, Routing]:
    endpoints = [
        make_endpoint(e.server, e.kind, cell=cell)
        for e, cell in zip((*PREFILL_HOSTS, *DECODE_HOSTS), (1, 2, 1, 2), strict=True)
    ]
    routing = make_routing(plan)
    harness = RouterHarness(*endpoints)
    routing.update_endpoints(harness.now, EndpointUpdate(UpdateScope.SNAPSHOT, tuple(endpoints), 1))
    return harness, routing


def route_of_request(routing: Routing) -> RequestRoute:
    found = routing.route(request(), Origin("platform")).route
    assert isinstance(found, RequestRoute)
    return found


def test_the_router_chooses_only_hosts_of_the_active_pool() -> None:
    harness, routing = harness_with_routing()
    for _ in range(20):
        request_id = harness.submit(route=route_of_request(routing))
        assert (
            harness.sent_attempts[request_id][0].server == "r1"
            and harness.only_action(ReserveDecodeSlot).server == "w1"
        )
        harness.finish_attempt(request_id, AttemptStatus.PREFILLED)
        harness.start_stream(request_id)
        harness.finish_attempt(request_id, AttemptStatus.OK)


def test_a_request_of_a_lost_pool_is_retried_in_the_fallback() -> None:
    harness, routing = harness_with_routing(plan=PLAN_WITHOUT_LIMITS)
    request_id = harness.submit(route=route_of_request(routing))
    removed = (
        make_endpoint("r1", 0, cell=1, state=EndpointState.REMOVED),
        make_endpoint("w1", 1, cell=1, state=EndpointState.REMOVED),
    )
    routing.update_endpoints(harness.now, EndpointUpdate(UpdateScope.DELTA, removed, 2))
    harness.update_endpoints(UpdateScope.DELTA, *removed)
    harness.finish_attempt(request_id, AttemptStatus.RESET)
    assert [attempt.server for attempt in harness.sent_attempts[request_id]] == ["r1", "r2"]


def test_the_policy_limits_attempts_and_retries() -> None:
    harness, routing = harness_with_routing()  # 2 attempts: a failed prefill leaves too few for a retry
    request_id = harness.submit(route=route_of_request(routing))
    harness.finish_attempt(request_id, AttemptStatus.RESET)
    assert harness.only_action(RejectRequest).id == request_id
    harness, routing = harness_with_routing(plan=PLAN_WITHOUT_LIMITS)
    for n in range(3):  # the floor allows one retry a second
        request_id = harness.submit(route=route_of_request(routing), after=1.0)
        harness.finish_attempt(request_id, AttemptStatus.ERROR, after=1.0)
        assert len(harness.sent_attempts[request_id]) == (2 if n == 0 else 1)


def test_overload_of_one_pool_rejects_no_requests_of_another() -> None:
    specs = {"one": PoolSpec("one", one_of("cell", "1")), "two": PoolSpec("two", one_of("cell", "2"))}
    rows = (Route("a", one_of("class", "safe"), "one"), Route("b", ALWAYS, "two"))
    harness, routing = harness_with_routing(plan=RoutingPlan(rows, specs))
    other = routing.route(request(class_index=1), Origin("platform")).route
    for _ in range(3):
        harness.complete_request(route=route_of_request(routing), after=400.0)
        harness.complete_request(route=other, class_index=1, after=400.0)
    sent = [harness.submit(route=route_of_request(routing)) for _ in range(4)]
    for request_id in sent:  # the only decode host of pool one starts no more streams
        harness.finish_attempt(request_id, AttemptStatus.PREFILLED, after=5.0)
    rejected = harness.submit(route=route_of_request(routing), after=1_000.0)
    assert rejected not in harness.sent_attempts and harness.only_action(RejectRequest).id == rejected
    admitted = harness.submit(route=other, class_index=1)
    assert harness.sent_attempts[admitted][0].server == "r2"
