"""Limits on requests of all dispatchers to a host in slow start, with the real policy in simulated time.

In every window of `overload_window_ms`, a host may get N requests, where N is `overload_multiple` times what
it can process in that window, plus a tolerance for chance: 2 sqrt(N) + 2, or 3 sqrt(N) + 3 for N below 30.
docs/fleet.md has the arithmetic.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from math import sqrt
from random import Random
from typing import NamedTuple

import pytest
from msgspec.structs import replace

from tests.router_harness import SETTINGS, RouterHarness, make_endpoint
from violetstack.estimation.slow_start import SlowStartBucket, capacity_fraction
from violetstack.policy.router import Router
from violetstack.policy_api import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    FailRequest,
    GossipReceived,
    RejectRequest,
    Request,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    SendGossip,
    StartTimer,
    StreamStarted,
    TenantSettings,
    TimerFired,
    UpdateScope,
)

BEGIN_MS = 1_000_000.0  # when the hosts start; the dispatchers have run for a long time
UTILIZATION = 0.8  # of the warm hosts; the highest for which the policy is designed
PREFILL, DECODE, MIXED = 0, 1, 2  # kinds, as the settings of `tests.router_harness` number them
MEMORY_MS = 60_000.0  # time constant of the policy's count of requests
CLIENT_RETRY_MS = 250.0
CLIENT_RETRIES = 2


class SlowStartSettings(NamedTuple):
    """Settings of slow start."""

    multiple: float = 2.5
    window_ms: float = 1_500.0
    share: float = 0.28
    warm_up_ms: float = 14_000.0


class Scenario(NamedTuple):
    """One scenario: the fleet, its traffic and the hosts that start."""

    dispatchers: int
    slow_start: SlowStartSettings = SlowStartSettings()
    kind: int = PREFILL
    hosts: int = 8
    cold: int = 1
    requests_per_s: float = 80.0
    uneven: bool = False
    quiet: bool = False  # little traffic while the hosts start, then a burst at dispatchers with spare tokens
    restarted: bool = False  # the dispatchers have just started as well
    gossip: bool = False
    tenants: bool = False
    lost: bool = False  # the hosts that start were listed until then
    warm_hosts_drain: bool = False  # the warm hosts drain while the others warm up
    seconds: float = 6.0
    seed: int = 1


def approximate_poisson(random: Random, mean: float) -> float:
    """Returns a random count with the mean and the variance of independent arrivals."""
    return max(0.0, random.gauss(mean, sqrt(mean)))


class Fleet:
    """All dispatchers, their clients and the hosts; times are milliseconds."""

    def __init__(self, scenario: Scenario) -> None:
        """Prepares the scenario up to the start of the cold hosts."""
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.now = BEGIN_MS
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = 0
        self.sent: dict[str, list[float]] = defaultdict(list)  # times of attempts, by starting host
        self.requests: dict[str, tuple[int, Request, int]] = {}  # dispatcher, request, retries left
        self.attempts: dict[tuple[str, int], tuple[str, float]] = {}
        self.attempt_counts: dict[str, int] = defaultdict(int)
        self.finished: set[tuple[str, int]] = set()
        self.free_at: dict[str, float] = defaultdict(float)
        self.served = 0
        # Capacity of one host in requests per ms.
        self.host_rate = scenario.requests_per_s / 1_000.0 / scenario.hosts / UTILIZATION
        spread = (0.3, 0.6, 4.0) if scenario.uneven else (1.0,)
        weights = [self.random.choice(spread) for _ in range(scenario.dispatchers)]
        self.weights = [weight / sum(weights) for weight in weights]
        self.cold = [
            make_endpoint(f"cold{n}", scenario.kind, started_ms=BEGIN_MS) for n in range(scenario.cold)
        ]
        warm = scenario.hosts - scenario.cold if scenario.lost else scenario.hosts
        self.warm = [make_endpoint(f"warm{n}", scenario.kind) for n in range(warm)]
        self.others = (
            []
            if scenario.kind == MIXED
            else [make_endpoint(f"other{n}", 1 - scenario.kind) for n in range(4)]
        )
        self.settings = replace(
            SETTINGS,
            dispatcher_count=scenario.dispatchers,
            gossip_allowed=scenario.gossip,
            tenants=(TenantSettings(1.0, scenario.requests_per_s / UTILIZATION),) if scenario.tenants else (),
            overload_multiple=scenario.slow_start.multiple,
            overload_window_ms=scenario.slow_start.window_ms,
            slow_start_capacity=scenario.slow_start.share,
            slow_start_ms=scenario.slow_start.warm_up_ms,
        )
        self.routers = [self._router(index) for index in range(scenario.dispatchers)]

    def _router(self, index: int) -> Router:
        """Creates a dispatcher that does not know the cold hosts; with statistics unless it just started."""
        scenario = self.scenario
        router = Router(replace(self.settings, seed=scenario.seed * 1_000 + index, dispatcher_index=index))
        before = self.warm
        if scenario.lost:
            before = before + [replace(endpoint, started_ms=None) for endpoint in self.cold]
        self._update(router, BEGIN_MS - 1.0, UpdateScope.SNAPSHOT, [*before, *self.others])
        if not scenario.restarted:
            rate = scenario.requests_per_s / 1_000.0 * self.weights[index]
            statistics = router.state.statistics
            for served, pool_sizes in (
                (statistics.prefills, statistics.prefill_pool_sizes),
                (statistics.decodes, statistics.decode_pool_sizes),
            ):
                count = 2.0 * approximate_poisson(self.random, rate * MEMORY_MS / 2.0)
                served.since_ms = BEGIN_MS - 10 * MEMORY_MS
                served.add(BEGIN_MS - 1.0, count)
                pool_sizes.add(BEGIN_MS - 1.0, count * scenario.hosts)
        return router

    def _update(self, router: Router, now: float, scope: UpdateScope, entries: list[Endpoint]) -> None:
        router.handle(now, [EndpointUpdate(scope, tuple(entries), 1)])

    def schedule(self, time: float, event: Callable[[], None]) -> None:
        """Schedules an event."""
        self.scheduled += 1
        heapq.heappush(self.events, (time, self.scheduled, event))

    def run(self) -> Fleet:
        """Runs the whole scenario."""
        scenario = self.scenario
        scope = UpdateScope.SNAPSHOT if scenario.lost else UpdateScope.DELTA
        for index in range(scenario.dispatchers):
            listed_at = BEGIN_MS + self.random.uniform(0.0, 200.0)
            started = EndpointUpdate(scope, (*self.warm, *self.others, *self.cold), 2)
            self.schedule(listed_at, partial(self.process, index, started))
            if scenario.warm_hosts_drain:
                leaving = tuple(replace(endpoint, state=EndpointState.DRAINING) for endpoint in self.warm)
                update = EndpointUpdate(UpdateScope.DELTA, leaving, 3)
                left_at = BEGIN_MS + 3_000.0 + self.random.uniform(0.0, 200.0)
                self.schedule(left_at, partial(self.process, index, update))
        self.schedule(BEGIN_MS, self.add_request)
        while self.events:
            self.now, _, event = heapq.heappop(self.events)
            if self.now > BEGIN_MS + scenario.seconds * 1_000.0:
                break
            event()
        return self

    def add_request(self) -> None:
        """Has a request arrive at a dispatcher, and schedules the next one."""
        scenario = self.scenario
        index = self.random.choices(range(scenario.dispatchers), self.weights)[0]
        request = Request(
            id=f"q{self.scheduled}",
            class_index=0,
            tenant_index=0,
            session=None,
            expires_in_ms=4_000.0,
            expected_answer_ms=None,
            prefix_id=None,
            prompt_tokens=1_000.0,
            prefix_tokens=0.0,
            max_tokens=200.0,
            is_retry=False,
            is_resumed=False,
        )
        self.send_request(index, request, CLIENT_RETRIES)
        factor = 1.0
        if scenario.quiet:
            factor = 0.1 if self.now < BEGIN_MS + 3_000.0 else 1.5
        gap_ms = self.random.expovariate(scenario.requests_per_s * factor / 1_000.0)
        self.schedule(self.now + gap_ms, self.add_request)

    def send_request(self, index: int, request: Request, retries: int) -> None:
        """Sends a client's request."""
        self.requests[request.id] = (index, request, retries)
        self.process(index, request)

    def process(self, index: int, *events: Event) -> None:
        """Passes events to a dispatcher and executes its actions."""
        for action in self.routers[index].handle(self.now, list(events)):
            self._execute(index, action)

    def _execute(self, index: int, action: Action) -> None:
        match action:
            case SendAttempt():
                self._start_attempt(index, action)
            case ReserveDecodeSlot():
                attempt = self.attempt_counts[action.id] - 1
                server = self.attempts[action.id, attempt][0]
                result = ReservationResult(action.id, server, attempt, True)
                self.schedule(self.now + 5.0, lambda: self.process(index, result))
            case StartTimer():
                fired = TimerFired(action.token)
                self.schedule(self.now + action.delay_ms, lambda: self.process(index, fired))
            case CancelAttempt():
                self._end(index, action.id, action.attempt, AttemptStatus.CANCELLED)
            case RejectRequest() | FailRequest():
                self._retry(action.id)
            case SendGossip():
                for other in range(self.scenario.dispatchers):
                    if other != index:
                        datagram = GossipReceived(index, action.payload)
                        self.schedule(self.now + 20.0, partial(self.process, other, datagram))

    def _retry(self, request_id: str) -> None:
        _, request, retries = self.requests[request_id]
        if retries:
            other = self.random.choices(range(self.scenario.dispatchers), self.weights)[0]
            again = replace(request, id=f"{request_id}r", is_retry=True)
            self.schedule(self.now + CLIENT_RETRY_MS, lambda: self.send_request(other, again, retries - 1))

    def _start_attempt(self, index: int, action: SendAttempt) -> None:
        number = self.attempt_counts[action.id]
        self.attempt_counts[action.id] += 1
        self.attempts[action.id, number] = (action.server, self.now)
        if action.server.startswith("cold"):
            self.sent[action.server].append(self.now)
        kind = self.scenario.kind
        is_other = action.server.startswith("other")
        is_decode = kind == MIXED or (kind == DECODE) != is_other
        work_ms = 20.0 if is_other else 1.0 / self.host_rate / self.fraction(action.server, self.now)
        if is_other:
            ready = self.now + work_ms
        else:
            ready = max(self.now, self.free_at[action.server]) + work_ms
            self.free_at[action.server] = ready
        if not is_decode:
            self.schedule(ready, lambda: self._end(index, action.id, number, AttemptStatus.PREFILLED))
            return
        self.schedule(ready, lambda: self._stream(index, action.id, number))
        self.schedule(ready + 500.0, lambda: self._end(index, action.id, number, AttemptStatus.OK))

    def _stream(self, index: int, request_id: str, number: int) -> None:
        if (request_id, number) not in self.finished:
            server, since = self.attempts[request_id, number]
            self.served += 1
            self.process(index, StreamStarted(request_id, server, number, self.now - since))

    def _end(self, index: int, request_id: str, number: int, status: AttemptStatus) -> None:
        if (request_id, number) in self.finished:
            return
        self.finished.add((request_id, number))
        server, since = self.attempts[request_id, number]
        is_last = status is AttemptStatus.OK
        ended = AttemptFinished(request_id, server, number, status, self.now - since, is_last, 0, None)
        self.schedule(self.now, lambda: self.process(index, ended))

    def fraction(self, server: str, at: float) -> float:
        """Returns the share of its capacity that a host has."""
        return capacity_fraction(BEGIN_MS, self.settings, at) if server.startswith("cold") else 1.0

    def budget(self, until: float) -> float:
        """Returns N for the window that ends at `until`, by the capacity in its middle."""
        window_ms = self.scenario.slow_start.window_ms
        middle = max(BEGIN_MS, until - window_ms / 2.0)
        return self.scenario.slow_start.multiple * self.host_rate * window_ms * self.fraction("cold", middle)

    def largest_excess(self) -> float:
        """Returns by how much requests exceed the limit at most, over all hosts and windows."""
        window_ms = self.scenario.slow_start.window_ms
        return max(
            bisect_right(sent, at) - bisect_right(sent, at - window_ms) - max_requests(self.budget(at))
            for sent in self.sent.values()
            for at in sent
        )

    def used_share(self) -> float:
        """Returns the attempts at starting hosts as a share of their capacity."""
        until = self.scenario.seconds * 1_000.0
        capacity = self.host_rate * until * self.fraction("cold", BEGIN_MS + until / 2.0)
        return sum(map(len, self.sent.values())) / capacity / self.scenario.cold


def max_requests(budget: float) -> float:
    """Returns the limit of requests in a window: the budget plus the tolerance for chance."""
    if budget < 30.0:
        return budget + 3.0 * sqrt(budget) + 3.0
    return budget + 2.0 * sqrt(budget) + 2.0


DEFAULT = SlowStartSettings()
LONG_WINDOW = SlowStartSettings(multiple=2.0, window_ms=3_000.0, share=0.5, warm_up_ms=6_000.0)
SHORT_WINDOW = SlowStartSettings(multiple=3.0, window_ms=1_000.0, share=0.25, warm_up_ms=10_000.0)
SCENARIOS = [
    Scenario(3, DEFAULT, cold=6, lost=True, gossip=True),
    Scenario(3, SHORT_WINDOW, MIXED, uneven=True, quiet=True),
    Scenario(30, DEFAULT, cold=2, quiet=True, warm_hosts_drain=True),
    Scenario(30, SHORT_WINDOW, DECODE, cold=2, quiet=True, warm_hosts_drain=True),
    Scenario(30, LONG_WINDOW, DECODE, cold=2, quiet=True, warm_hosts_drain=True),
    Scenario(30, LONG_WINDOW, MIXED, cold=8, lost=True, tenants=True, restarted=True),
    Scenario(30, DEFAULT, DECODE, cold=6, lost=True, uneven=True, quiet=True),
    Scenario(200, DEFAULT, requests_per_s=200.0, cold=2, quiet=True, warm_hosts_drain=True, seconds=5.0),
    Scenario(200, LONG_WINDOW, requests_per_s=200.0, cold=2, quiet=True, warm_hosts_drain=True, seconds=5.0),
]


@pytest.mark.parametrize(
    "scenario",
    SCENARIOS,
    ids=lambda scenario: f"{scenario.dispatchers}-{scenario.slow_start.window_ms:.0f}ms-{scenario.kind}",
)
def test_all_dispatchers_together_stay_within_the_limit_of_a_starting_host_in_every_window(
    scenario: Scenario,
) -> None:
    """Regression: 30 and more dispatchers used their saved tokens together when the warm hosts drained."""
    fleet = Fleet(scenario).run()
    assert fleet.largest_excess() <= 0.0
    assert fleet.used_share() >= 0.3


@pytest.mark.parametrize(
    ("dispatchers", "requests_per_s", "min_used_share"), [(3, 80.0, 0.5), (30, 80.0, 0.4), (200, 200.0, 0.08)]
)
def test_a_starting_host_gets_requests_in_normal_operation(
    dispatchers: int, requests_per_s: float, min_used_share: float
) -> None:
    scenario = Scenario(dispatchers, requests_per_s=requests_per_s, seconds=4.0)
    assert Fleet(scenario).run().used_share() >= min_used_share


def test_a_token_that_is_not_taken_within_a_window_expires_and_the_next_one_is_added_on_time() -> None:
    bucket = SlowStartBucket(0.0, 0.0)
    bucket.set_limit(0.6, 1_000.0)  # a token every 2500 ms
    assert [now for now in range(50, 8_000, 100) if bucket.has_token(now)] == [
        *range(2_550, 3_500, 100),
        *range(5_050, 6_000, 100),
        *range(7_550, 8_000, 100),
    ]


@pytest.mark.parametrize("requests", [3.0, 8.0])
def test_a_dispatcher_with_several_requests_a_window_never_exceeds_its_limit(requests: float) -> None:
    bucket = SlowStartBucket(0.9, 0.0)
    bucket.set_limit(requests, 1_000.0)
    random = Random(1)
    sent: list[float] = []
    now = 0.0
    while now < 30_000.0:
        now += random.choice((1.0, 5.0, 400.0))
        if bucket.try_take(now):
            sent.append(now)
    assert sent
    for at in sent:
        assert bisect_right(sent, at) - bisect_right(sent, at - 1_000.0) <= requests


def test_a_reserved_token_is_used_once_or_returned() -> None:
    bucket = SlowStartBucket(0.9, 0.0)
    bucket.set_limit(1.0, 1_000.0)
    assert bucket.has_token(200.0)
    bucket.reserve()
    assert not bucket.has_token(250.0)
    bucket.cancel_reservation()
    assert bucket.has_token(300.0)
    bucket.reserve()
    bucket.take_reserved()
    bucket.cancel_reservation()
    assert not bucket.has_token(350.0)


def test_without_an_overload_window_a_starting_host_is_not_limited() -> None:
    """Regression: every request caused a division by zero."""
    harness = RouterHarness(
        make_endpoint("r1", PREFILL, started_ms=990.0), make_endpoint("w1", DECODE), overload_window_ms=0.0
    )
    assert len({harness.sent_attempts[harness.submit()][0].server for _ in range(20)}) == 1


def test_the_limit_of_a_starting_host_hardly_rises_when_most_other_hosts_leave() -> None:
    many = [make_endpoint(f"r{n}", PREFILL) for n in range(10)]
    harness = RouterHarness(*many, make_endpoint("w1", DECODE))
    for _ in range(50):
        harness.finish_attempt(harness.submit(after=20.0), AttemptStatus.PREFILLED, after=20.0)
    rates = []
    for listed in ([*many, make_endpoint("cold", PREFILL, started_ms=harness.now)], many[:0]):
        cold = make_endpoint("cold", PREFILL, started_ms=harness.now)
        harness.update_endpoints(UpdateScope.SNAPSHOT, *listed, cold, make_endpoint("w1", DECODE))
        admission = harness.router.admission
        admission.slow_start.admits(harness.endpoint("cold"), harness.now, is_prefill=True)
        rates.append(harness.endpoint("cold").statistics.slow_start.rate)
    assert rates[0] <= rates[1] <= 1.2 * rates[0]
