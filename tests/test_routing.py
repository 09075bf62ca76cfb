"""Routing on a clock that is handed in: the index against the walk, pools that are lost and come back."""

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


def among(attribute: str, *names: str) -> Condition:
    return OneOf(attribute, frozenset(names))


def _conditions() -> st.SearchStrategy[Condition]:
    leaves: st.SearchStrategy[Condition] = st.one_of(
        st.sets(st.sampled_from(CLASSES), min_size=1).map(lambda n: among("class", *n)),
        st.sets(st.sampled_from(TENANTS), min_size=1).map(lambda n: among("tenant", *n)),
        st.sampled_from(["chat", "platform"]).map(lambda n: among("front", n)),
        st.just(among("retry", "yes")),
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
def test_the_index_and_the_walk_choose_the_same_route(conditions: list[Condition]) -> None:
    table = Table([Route(f"r{n}", when) for n, when in enumerate(conditions)])
    won = set()
    for attributes in ASKED:
        found = table.find_linear(attributes)
        won.add(found)
        assert table.find(attributes) == found
        assert table.explain(attributes)[0] == found
    partition = Partition(table)
    lost = {table.routes[n] for n in partition.unreachable_routes()}
    assert not lost & won  # a route told to be covered never matched
    if partition.find_gap() is None:
        assert None not in won


@settings(max_examples=40)
@given(st.lists(_conditions(), max_size=4), st.lists(_conditions(), max_size=4))
def test_what_moved_is_what_the_walks_disagree_on(before: list[Condition], after: list[Condition]) -> None:
    old = Table([Route(f"r{n}", when) for n, when in enumerate(before)])
    new = Table([Route(f"r{n}", when) for n, when in enumerate(after)])
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
def test_files_route_as_they_read(text: str) -> None:
    result = check(read_text(text))
    if result.meaning is not None:
        table = Table(plan_of(result.meaning.definitions, {}).routes)
        assert all(table.find(attributes) == table.find_linear(attributes) for attributes in ASKED)


def test_past_their_budgets_the_index_looks_at_boxes_and_the_partition_decides_less(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tables, "MAX_WORK", 50)
    monkeypatch.setattr(regions, "MAX_WORK", 50)
    rows = [
        Route(f"r{n}", AllOf((among("tenant", f"t{n}"), Not(among("model", f"m{n}"))))) for n in range(30)
    ]
    rows += [
        Route(f"x{n}", AllOf((Not(among("tenant", f"t{n}")), InRange("prompt", n, n + 9)))) for n in range(30)
    ]
    table = Table(rows)
    for n in range(40):
        for prompt in (5, 20, 60):
            attributes = RequestAttributes("c", f"t{n}", f"m{n // 2}", "chat", prompt, False)
            assert table.find(attributes) == table.find_linear(attributes)
    assert Partition(table).unreachable_routes() == {}  # not decided is not told


def test_reasons_say_what_the_request_is_and_where_the_condition_stands() -> None:
    when = AllOf((OneOf("class", frozenset({"orden"}), "a.violet:3"), Not(among("front", "chat"))))
    values = RequestAttributes("consulta", "", "", "chat", 5, False).values
    assert explain_mismatch(when, values) == ["class is consulta, not class == orden (a.violet:3)"]
    assert explain_mismatch(Not(among("front", "chat")), values) == ["front == chat holds, and must not"]
    assert to_boxes(Not(ALWAYS)) == [] and holds(ALWAYS, values)


# --- pools ---

BOTH = HostAttributes({"host": "", "kind": "both"}, True, True)


def book(**specs: PoolSpec) -> PoolTracker:
    return PoolTracker(specs)


def hosts(*names: str, pool: str = "a") -> dict[str, HostAttributes]:
    return {name: HostAttributes({"host": name, "kind": pool}, True, True) for name in names}


def two_pools(least: int = 2) -> PoolTracker:
    pools = book(
        a=PoolSpec("a", among("kind", "a"), least, ("b",), 5_000.0),
        b=PoolSpec("b", among("kind", "b"), 1, (), 5_000.0),
    )
    pools.update_hosts(0.0, hosts("a1", "a2") | hosts("b1", pool="b"), (), True)
    return pools


def test_a_pool_is_lost_at_once_and_comes_back_only_once_it_stays_whole() -> None:
    pools = two_pools()
    assert pools.active_pool("a", 0.0) == "a"  # a start is not a return
    pools.update_hosts(1_000.0, {}, ["a2"], False)
    assert pools.active_pool("a", 1_000.0) == "b"
    assert [(c.pool, c.lost, c.active_pool) for c in pools.changes] == [("a", True, "b")]
    pools.update_hosts(2_000.0, hosts("a2"), (), False)
    assert pools.active_pool("a", 6_999.0) == "b"
    assert pools.active_pool("a", 7_000.0) == "a"
    assert [c.lost for c in pools.changes] == [True, False]


def test_a_pool_that_flaps_gets_its_traffic_back_ever_later() -> None:
    pools = two_pools()
    now = 0.0
    waits = []
    for _ in range(6):
        pools.update_hosts(now, {}, ["a2"], False)
        assert pools.active_pool("a", now) == "b"
        pools.update_hosts(now + 1.0, hosts("a2"), (), False)
        waits.append(pools.recovery_delay_ms("a"))
        now += 1.0 + waits[-1]
        assert pools.active_pool("a", now - 1.0) == "b" and pools.active_pool("a", now) == "a"
    assert waits[:4] == [5_000.0, 10_000.0, 20_000.0, 40_000.0] and max(waits) == 40_000.0
    before = len(pools.changes)
    for n in range(200):  # every 100 ms: it never stays whole long enough
        pools.update_hosts(
            now + 100.0 * n, {} if n % 2 == 0 else hosts("a2"), ["a2"] if n % 2 == 0 else [], False
        )
        pools.active_pool("a", now + 100.0 * n)
    assert len(pools.changes) - before == 1
    now += 100.0 * 200
    pools.update_hosts(now, hosts("a2"), (), False)
    assert pools.active_pool("a", now + 40_000.0) == "a"
    pools.update_hosts(now + 200_000.0, {}, ["a2"], False)  # a loss long after a return counts as a first
    assert pools.recovery_delay_ms("a") == 5_000.0


def test_without_any_usable_pool_the_first_with_anyone_serves() -> None:
    pools = two_pools(least=3)
    pools.update_hosts(1.0, {}, ["b1"], False)
    assert pools.active_pool("a", 1.0) == "a"
    reader_only = {"b1": HostAttributes({"host": "b1", "kind": "b"}, True, False)}
    pools.update_hosts(2.0, reader_only, ["a1", "a2"], False)
    assert pools.active_pool("a", 2.0) == "b"  # nobody writes there, and the module refuses at once


def test_fallbacks_follow_in_order_each_with_its_own() -> None:
    specs = {
        n: PoolSpec(n, fallback=f) for n, f in {"a": ("b", "d"), "b": ("c",), "c": ("a",), "d": ()}.items()
    }
    assert fallback_chain(specs, "a") == ("a", "b", "c", "d")


def test_a_reload_keeps_a_pools_state_where_its_definition_stays() -> None:
    pools = two_pools()
    pools.update_hosts(1_000.0, {}, ["a2"], False)
    pools.update_hosts(2_000.0, hosts("a2"), (), False)
    same = book(**pools.specs)
    same.inherit_state(pools, 3_000.0)
    assert same.active_pool("a", 3_000.0) == "b" and same.active_pool("a", 7_000.0) == "a"
    other = book(a=PoolSpec("a", among("kind", "a"), 1, ("b",)), b=pools.specs["b"])
    other.inherit_state(pools, 3_000.0)
    assert other.active_pool("a", 3_000.0) == "a"  # another pool, and it starts whole


# --- budgets and generations ---


def test_the_retry_budget_bounds_what_retries_add() -> None:
    budget = RetryBudget(0.2, 1.0)
    allowed = 0
    now = 0.0
    rng = random.Random(5)
    for _ in range(5_000):  # 50 requests a second for 100 s, each failing and asked again at once
        now += rng.expovariate(1 / 20.0)
        budget.add_request(now)
        allowed += budget.try_spend(now)
    assert 0.2 * 5_000 <= allowed <= 0.2 * 5_000 + now / 1000.0 + budget.max_balance
    quiet = RetryBudget(0.0, 1.0)
    assert quiet.try_spend(0.0) and not quiet.try_spend(100.0) and quiet.try_spend(1_100.0)


def routing(plan: RoutingPlan) -> Routing:
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
    told = {
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
    return Request(**{**told, **changes})  # type: ignore[arg-type]


CELLS = {"one": PoolSpec("one", among("cell", "1"), 1, ("rest",)), "rest": PoolSpec("rest")}
PLAN = RoutingPlan(
    (Route("only", among("class", "safe"), "one", "p"),), CELLS, {"p": Policy("p", 2000.0, 2, 0.0, 1.0, 50)}
)


def test_a_request_gets_its_course_or_a_reason() -> None:
    routes = routing(PLAN)
    routed = routes.route(request(), Origin("platform", "", 10))
    assert routed.expires_in_ms == 2000.0 and routed.route is not None and routed.route.max_attempts == 2
    with pytest.raises(NotRoutedError) as told:
        routes.route(request(class_index=1), Origin("platform"))
    assert told.value.status == 404
    with pytest.raises(NotRoutedError) as told:
        routes.route(request(), Origin("platform", "", 51))
    assert told.value.status == 413


def test_old_generations_end_with_their_last_request() -> None:
    routes = routing(PLAN)
    kept = []
    for n in range(1_000):
        routed = routes.route(request(n), Origin("chat"))
        routes.request_accepted(0.0, routed)
        kept.append(routed)
        routes.replace_plan(0.0, PLAN)
        if len(kept) > 5:
            routes.request_closed(0.0, kept.pop(0))
        assert len(routes.previous) <= 6
    for routed in kept:
        routes.request_closed(0.0, routed)
    assert routes.previous == [] and routes.current.number == 1_001


LOOSE = RoutingPlan(PLAN.routes, PLAN.pools, {"p": Policy("p", None, None, 0.0, 1.0)})


def front(*, plan: RoutingPlan = PLAN) -> tuple[RouterHarness, Routing]:
    rows = [
        make_endpoint(e.server, e.kind, cell=cell)
        for e, cell in zip((*PREFILL_HOSTS, *DECODE_HOSTS), (1, 2, 1, 2), strict=True)
    ]
    routes = routing(plan)
    on = RouterHarness(*rows)
    routes.update_endpoints(on.now, EndpointUpdate(UpdateScope.SNAPSHOT, tuple(rows), 1))
    return on, routes


def course(routes: Routing) -> RequestRoute:
    found = routes.route(request(), Origin("platform")).route
    assert isinstance(found, RequestRoute)
    return found


def test_the_module_chooses_among_the_pools_hosts_and_no_other() -> None:
    on, routes = front()
    for _ in range(20):
        request_id = on.submit(route=course(routes))
        assert (
            on.sent_attempts[request_id][0].server == "r1"
            and on.only_action(ReserveDecodeSlot).server == "w1"
        )
        on.finish_attempt(request_id, AttemptStatus.PREFILLED)
        on.start_stream(request_id)
        on.finish_attempt(request_id, AttemptStatus.OK)


def test_a_lost_pool_hands_on_what_is_under_way() -> None:
    on, routes = front(plan=LOOSE)
    request_id = on.submit(route=course(routes))
    gone = (
        make_endpoint("r1", 0, cell=1, state=EndpointState.REMOVED),
        make_endpoint("w1", 1, cell=1, state=EndpointState.REMOVED),
    )
    routes.update_endpoints(on.now, EndpointUpdate(UpdateScope.DELTA, gone, 2))
    on.update_endpoints(UpdateScope.DELTA, *gone)
    on.finish_attempt(request_id, AttemptStatus.RESET)
    assert [send.server for send in on.sent_attempts[request_id]] == ["r1", "r2"]


def test_attempts_and_budget_of_the_policy_bind() -> None:
    on, routes = front()  # 2 attempts: one read and one write, and a failed read is the end
    request_id = on.submit(route=course(routes))
    on.finish_attempt(request_id, AttemptStatus.RESET)
    assert on.only_action(RejectRequest).id == request_id
    on, routes = front(plan=LOOSE)
    for n in range(3):  # the floor allows one a second
        request_id = on.submit(route=course(routes), after=1.0)
        on.finish_attempt(request_id, AttemptStatus.ERROR, after=1.0)
        assert len(on.sent_attempts[request_id]) == (2 if n == 0 else 1)


def test_a_jam_in_one_pool_refuses_nothing_in_another() -> None:
    specs = {"one": PoolSpec("one", among("cell", "1")), "two": PoolSpec("two", among("cell", "2"))}
    rows = (Route("a", among("class", "safe"), "one"), Route("b", ALWAYS, "two"))
    on, routes = front(plan=RoutingPlan(rows, specs))
    other = routes.route(request(class_index=1), Origin("platform")).route
    for _ in range(3):
        on.complete_request(route=course(routes), after=400.0)
        on.complete_request(route=other, class_index=1, after=400.0)
    sent = [on.submit(route=course(routes)) for _ in range(4)]
    for request_id in sent:  # pool one's only writer begins nothing any more
        on.finish_attempt(request_id, AttemptStatus.PREFILLED, after=5.0)
    jammed = on.submit(route=course(routes), after=1_000.0)
    assert jammed not in on.sent_attempts and on.only_action(RejectRequest).id == jammed
    free = on.submit(route=other, class_index=1)
    assert on.sent_attempts[free][0].server == "r2"
