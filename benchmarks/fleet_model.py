"""A small model of a fleet in virtual time, with the real dispatcher core and policy.

Prefill hosts process prompts one after another at a constant token rate; decode hosts have slots and a
queue; both reject requests when their queue is full. Clients time out, honour Retry-After and retry up to
three times.
The model has no cached prefixes, cells, failures or network latency, and load reports are exact. It shows how
admission and queues interact, not what a real fleet would earn.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Any

from msgspec.structs import replace

from tests.router_harness import SETTINGS, make_endpoint
from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt, ReleaseCall, ReservationCall
from violetstack.load_shedding.headroom import headroom
from violetstack.load_shedding.journal import RestoredLevel
from violetstack.load_shedding.levels import LevelPlan
from violetstack.load_shedding.load_shedder import TICK_MS, LoadShedder, admission_weights
from violetstack.load_shedding.signals import EndpointCounts
from violetstack.policy.router import Router
from violetstack.policy_api import (
    AttemptStatus,
    EndpointUpdate,
    Request,
    Settings,
    TenantSettings,
    UpdateScope,
)
from violetstack.protocol.answer_events import AnswerEvent

READ_TOKENS_MS = 18.0  # tokens that a prefill host processes in a millisecond
READ_QUEUE = 40
WRITE_SLOTS = 80
WRITE_QUEUE = 25
TOKEN_MS = 40.0
CONSULTA = replace(
    SETTINGS.classes[0],
    latency_objective_ms=1500.0,
    client_timeout_ms=7500.0,
    priority_weight=3.0,
    late_weight_share=0.2,
    objective_ms_per_1000_tokens=40.0,
)
ORDEN = replace(
    SETTINGS.classes[1],
    latency_objective_ms=2500.0,
    client_timeout_ms=10_000.0,
    priority_weight=2.0,
    late_weight_share=0.1,
    objective_ms_per_1000_tokens=40.0,
)
TENANTS = (("app-propia", 0.36), ("red-kioscos", 0.34), ("mesa-agentes", 0.30))


class Clock:
    """The virtual clock, and a queue of callbacks ordered by time."""

    def __init__(self) -> None:
        self.now, self.heap, self.order = 0.0, list[tuple[float, int, Callable[[], None]]](), count()

    def at(self, when: float, then: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (max(when, self.now), next(self.order), then))


@dataclass(eq=False)
class Work:
    node: Node
    attempt: Attempt
    dropped: bool = False


class Reader:
    def __init__(self, clock: Clock) -> None:
        self.clock, self.queue, self.busy = clock, deque[Work](), False

    def take(self, work: Work) -> None:
        if len(self.queue) >= READ_QUEUE:
            work.node.ended(work.attempt, AttemptStatus.REJECTED)
            return
        self.queue.append(work)
        self._next()

    def _next(self) -> None:
        while self.queue and not self.busy:
            work = self.queue.popleft()
            if work.dropped:
                continue
            self.busy = True
            took = work.attempt.request.policy_request.prompt_tokens / READ_TOKENS_MS
            self.clock.at(self.clock.now + took, lambda w=work: self._done(w))  # type: ignore[misc]

    def _done(self, work: Work) -> None:
        self.busy = False
        work.node.ended(work.attempt, AttemptStatus.PREFILLED)
        self._next()


class Writer:
    def __init__(self, clock: Clock) -> None:
        self.clock, self.queue, self.running = clock, deque[Work](), 0

    def take(self, work: Work) -> None:
        if self.running >= WRITE_SLOTS and len(self.queue) >= WRITE_QUEUE:
            work.node.ended(work.attempt, AttemptStatus.REJECTED)
            return
        self.queue.append(work)
        self._next()

    def _next(self) -> None:
        while self.queue and self.running < WRITE_SLOTS:
            work = self.queue.popleft()
            if work.dropped:
                continue
            self.running += 1
            self.clock.at(self.clock.now + TOKEN_MS, lambda w=work: self._begin(w))  # type: ignore[misc]

    def _begin(self, work: Work) -> None:
        node = work.node
        if not work.dropped:
            node.core.stream_started(self.clock.now, work.attempt)
        took = TOKEN_MS * work.attempt.request.policy_request.max_tokens
        self.clock.at(self.clock.now + took, lambda: self._done(work))

    def _done(self, work: Work) -> None:
        self.running -= 1
        work.node.ended(work.attempt, AttemptStatus.OK)
        self._next()


class Node:
    """One dispatcher: the real core and policy, their driver, and levels of reduced service, if any."""

    def __init__(self, fleet: Fleet, settings: Settings, plan: LevelPlan | None) -> None:
        self.fleet = fleet
        self.clock = fleet.clock
        self.router = Router(settings)
        self.core = Dispatcher(settings, self.router, self, 250.0, wake=self.wake)
        self.works: dict[int, Work] = {}
        self.woken = False
        self.load_shedder: LoadShedder | None = None
        self.moves: list[str] = []
        if plan is not None:
            weights = admission_weights(settings, ("consulta", "orden"), tuple(name for name, _ in TENANTS))
            self.load_shedder = LoadShedder(plan, weights, self._log)
            self.load_shedder.start(0.0, 0.0, RestoredLevel(0, 0.0, True, "the model"))
            self.core.use_load_shedder(self.load_shedder)
            self.clock.at(0.0, self.tick)

    def _log(self, event: str, **fields: Any) -> None:
        if event == "level_changed":
            self.moves.append(f"{self.clock.now / 1000:.1f} s {fields['new']}")

    def wake(self) -> None:
        if not self.woken:
            self.woken = True
            self.clock.at(self.clock.now, self.pump)

    def pump(self) -> None:
        self.woken = False
        self.core.run(self.clock.now)
        due = self.core.next_due()
        if due < float("inf"):
            self.clock.at(due, self.wake)

    def tick(self) -> None:
        assert self.load_shedder is not None
        now = self.clock.now
        free = headroom(self.router, now)
        gauges = {"reader_free": free.prefill, "writer_free": free.decode}
        endpoints = EndpointCounts(len(self.core.endpoints), 0)
        self.load_shedder.tick(now, now / 1000.0, gauges, endpoints, self.core.waiting_objective_ratios(now))
        self.load_shedder.take_records()
        self.clock.at(now + TICK_MS, self.tick)

    def ended(self, attempt: Attempt, status: AttemptStatus) -> None:
        self.works.pop(id(attempt), None)
        self.core.attempt_finished(self.clock.now, attempt, status)
        self.wake()

    # --- the driver interface that the core calls ---

    def start_attempt(self, attempt: Attempt) -> None:
        attempt.request_written = True
        work = self.works[id(attempt)] = Work(self, attempt)
        host = self.fleet.hosts[attempt.server]
        self.clock.at(self.clock.now + 1.0, lambda: host.take(work))

    def is_fully_sent(self, attempt: Attempt) -> bool:  # noqa: ARG002 - the driver's interface
        return True

    def is_acknowledged(self, attempt: Attempt) -> bool:  # noqa: ARG002 - the driver's interface
        return True

    def abort_attempt(self, attempt: Attempt) -> None:
        if (work := self.works.pop(id(attempt), None)) is not None:
            work.dropped = True

    def reserve_decode_slot(self, call: ReservationCall) -> None:
        host = self.fleet.hosts[call.server]
        held = isinstance(host, Writer) and host.running < WRITE_SLOTS
        at = self.clock.now + 1.0
        self.clock.at(at, lambda: self.core.reservation_finished(at, call, held, not held))

    def release_state(self, call: ReleaseCall) -> None:
        at = self.clock.now + 1.0
        self.clock.at(at, lambda: self.core.release_finished(at, call, True))

    def check_health(self, server: str) -> None: ...

    def send_gossip(self, payload: bytes, /) -> None: ...

    def log(self, event: str, **fields: Any) -> None: ...


@dataclass
class Asking:
    """A client's request with its retries; its priority weight is earned once."""

    fleet: Fleet
    cls: int
    tenant: int
    prompt: float
    tokens: float
    session: str
    due: float = 0.0
    tries: int = 0
    since: float = 0.0

    def ask(self) -> None:
        fleet = self.fleet
        now = self.fleet.clock.now
        self.tries += 1
        self.since = now
        node = fleet.rng.choice(fleet.nodes)
        spec = fleet.settings.classes[self.cls]
        asked = Request(
            f"q{next(fleet.ids)}",
            self.cls,
            self.tenant,
            self.session,
            spec.client_timeout_ms,
            None,
            None,
            self.prompt,
            0.0,
            self.tokens,
            self.tries > 1,
            False,
        )
        shed = node.core.admit(now, asked)
        if shed is not None:
            fleet.counts["shed"] += 1
            self.again(shed.retry_after_ms)
            return
        self.due = now + node.core.latency_objective_ms(asked)
        node.core.accept(now, asked, self, None)

    def again(self, after: float) -> None:
        if self.tries <= 3 and self.fleet.clock.now < self.fleet.end:
            self.fleet.clock.at(self.fleet.clock.now + max(after, 50.0), self.ask)

    def stream_started(self) -> None:
        spec = self.fleet.settings.classes[self.cls]
        part = 1.0 if self.fleet.clock.now <= self.due else spec.late_weight_share
        self.fleet.earned[self.cls] += spec.priority_weight * part * (self.prompt + self.tokens) / 1000.0
        self.fleet.counts["in time" if part == 1.0 else "late"] += 1

    def why_unforwardable(self, event: AnswerEvent) -> str:
        return ""

    def event(self, event: AnswerEvent) -> None: ...

    def finished(self) -> None: ...

    def stream_broken(self) -> None: ...

    def is_client_disconnected(self) -> bool:
        return False

    def rejected(self, retry_after_ms: float, may_have_run: bool) -> None:
        self.fleet.counts["refused"] += 1
        self.again(retry_after_ms)

    def failed(self, may_have_run: bool) -> None:
        self.fleet.counts["failed"] += 1
        if self.cls == 0:
            self.again(0.0)


class Fleet:
    """The model of a whole fleet.

    Args:
        load: The arrival rate of first attempts at a time in seconds, as a multiple of the prefill capacity.
        seed: Determines the arrivals and the choice of dispatchers.
    """

    def __init__(
        self,
        load: Callable[[float], float],
        plan: LevelPlan | None,
        *,
        dispatchers: int = 3,
        readers: int = 5,
        writers: int = 6,
        seconds: float = 60.0,
        seed: int = 1,
    ) -> None:
        self.clock, self.rng, self.ids, self.end = Clock(), random.Random(seed), count(), seconds * 1000.0
        self.earned: dict[int, float] = {0: 0.0, 1: 0.0}
        self.counts = Counter[str]()
        self.offered = Counter[int]()
        self.settings = replace(
            SETTINGS,
            classes=(CONSULTA, ORDEN),
            dispatcher_count=dispatchers,
            max_attempts=5,
            tenants=tuple(TenantSettings(share, 1000.0) for _, share in TENANTS),
            over_quota_weight=0.05,
            max_retry_after_ms=1000.0,
        )
        entries = [make_endpoint(f"r{n}", 0) for n in range(readers)]
        entries += [make_endpoint(f"w{n}", 1) for n in range(writers)]
        self.hosts: dict[str, Reader | Writer] = {
            e.server: Reader(self.clock) if e.kind == 0 else Writer(self.clock) for e in entries
        }
        self.nodes = [
            Node(self, replace(self.settings, dispatcher_index=n, seed=seed + n), plan)
            for n in range(dispatchers)
        ]
        for node in self.nodes:
            node.core.update_endpoints(0.0, EndpointUpdate(UpdateScope.SNAPSHOT, tuple(entries), 1))
        mean = 5_000.0
        usual = readers * READ_TOKENS_MS / mean  # requests a millisecond at load 1
        arrivals = random.Random(seed + 1000)
        now = 0.0
        while now < self.end:
            now += arrivals.expovariate(max(1e-9, usual * load(now / 1000.0)))
            cls = 0 if arrivals.random() < 0.64 else 1
            tenant = arrivals.choices(range(3), [share for _, share in TENANTS])[0]
            prompt = arrivals.uniform(2_000.0, 8_000.0)
            tokens = float(arrivals.randrange(45, 200))
            session = f"s{arrivals.randrange(2_000)}"
            asking = Asking(self, cls, tenant, prompt, tokens, session)
            if now < self.end:
                self.offered[cls] += 1
                self.clock.at(now, asking.ask)

    def run(self) -> Fleet:
        clock = self.clock
        while clock.heap and clock.heap[0][0] <= self.end + 15_000.0:
            clock.now, _, then = heapq.heappop(clock.heap)
            then()
        return self
