"""Who is refused: neither the largest requests nor a set of sessions, in virtual time over the real module.

A quiet day here: four readers that read one prompt after another, at half to three quarters of what they can,
lengths spread as on the platform (some ten times from the median to the largest), turns of conversations.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from random import Random
from typing import Any

import pytest
from msgspec.structs import replace

from tests.router_harness import IDEMPOTENT_CLASS, SETTINGS, make_endpoint
from violetstack.gossip.codec import encode_datagram, encode_load, endpoint_tag
from violetstack.policy.router import Router
from violetstack.policy_api import (
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    EndpointUpdate,
    Event,
    FailRequest,
    GossipReceived,
    RejectRequest,
    Request,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    StartTimer,
    StreamStarted,
    TimerFired,
    UpdateScope,
)

RATE = 18.0  # prompt tokens that a reader reads in a millisecond
READERS = [f"r{n}" for n in range(4)]
WRITERS = [f"w{n}" for n in range(4)]
CLASSES = (
    replace(
        IDEMPOTENT_CLASS,
        latency_objective_ms=1500.0,
        client_timeout_ms=7500.0,
        priority_weight=3.0,
        objective_ms_per_1000_tokens=40.0,
    ),
    replace(
        IDEMPOTENT_CLASS,
        latency_objective_ms=2500.0,
        client_timeout_ms=10_000.0,
        priority_weight=2.0,
        objective_ms_per_1000_tokens=40.0,
    ),
)


class Day:
    """One front among others that it hears, its clock, and hosts that do as they are told."""

    def __init__(self, seed: int, load: float, seconds: float) -> None:
        self.random = Random(seed)
        self.router = Router(replace(SETTINGS, classes=CLASSES, gossip_allowed=True, seed=seed))
        self.heap: list[tuple[float, int, Any]] = []
        self.count = 0
        self.now = 0.0
        self.until = seconds * 1000.0
        self.free_at = dict.fromkeys(READERS, 0.0)
        self.asked: dict[str, Request] = {}
        self.answers: dict[str, str] = {}
        self.out: dict[tuple[str, int], tuple[str, float]] = {}
        self.ended: set[tuple[str, int]] = set()
        hosts = [make_endpoint(n, 0) for n in READERS] + [make_endpoint(n, 1) for n in WRITERS]
        self.feed(EndpointUpdate(UpdateScope.SNAPSHOT, tuple(hosts), 1))
        mean = sum(self.length() for _ in range(2000)) / 2000
        self.gap = mean / (load * RATE * len(READERS))
        self.at(0.0, self.arrive)
        self.at(0.0, self.hear)
        while self.heap:
            self.now, _, act = heapq.heappop(self.heap)
            act()

    def at(self, when: float, act: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, act))

    def length(self) -> float:
        return min(28_000.0, max(60.0, self.random.lognormvariate(8.6, 0.75)))

    def hear(self) -> None:
        self.feed(GossipReceived(1, encode_datagram([(endpoint_tag("elsewhere"), encode_load(0.0))])))
        if self.now < self.until:
            self.at(self.now + 500.0, self.hear)

    def arrive(self) -> None:
        self.count += 1
        session = f"s{self.random.randrange(1 + len(self.asked) // 2)}"
        request = Request(
            f"q{self.count}",
            self.random.randrange(2),
            0,
            session,
            7500.0,
            None,
            None,
            self.length(),
            0.0,
            200.0,
            False,
            False,
        )
        self.asked[request.id] = request
        self.feed(request)
        if self.now < self.until:
            self.at(self.now + self.random.expovariate(1.0 / self.gap), self.arrive)

    def feed(self, *events: Event) -> None:
        for action in self.router.handle(self.now, list(events)):
            match action:
                case SendAttempt():
                    self.send(action, sum(key[0] == action.id for key in self.out))
                case ReserveDecodeSlot():
                    note = ReservationResult(action.id, "", 0, True)
                    self.at(self.now + 5.0, lambda note=note: self.feed(note))
                case StartTimer():
                    due = TimerFired(action.token)
                    self.at(self.now + action.delay_ms, lambda due=due: self.feed(due))
                case CancelAttempt():
                    self.end(action.id, action.attempt, AttemptStatus.CANCELLED)
                case RejectRequest() | FailRequest():
                    self.answers[action.id] = "refused"

    def send(self, action: SendAttempt, n: int) -> None:
        self.out[action.id, n] = action.server, self.now
        if action.server in self.free_at:
            begins = max(self.now, self.free_at[action.server])
            ends = begins + self.asked[action.id].prompt_tokens / RATE
            self.free_at[action.server] = ends
            self.at(ends, lambda: self.end(action.id, n, AttemptStatus.PREFILLED))
        else:
            begun = StreamStarted(action.id, action.server, n, 60.0)
            self.at(self.now + 60.0, lambda: self.feed(begun))
            self.at(self.now + 900.0, lambda: self.end(action.id, n, AttemptStatus.OK))

    def end(self, request: str, n: int, status: AttemptStatus) -> None:
        if (request, n) in self.ended:
            return
        self.ended.add((request, n))
        server, since = self.out[request, n]
        settled = status is AttemptStatus.OK
        if settled:
            self.answers[request] = "served"
        outcome = AttemptFinished(request, server, n, status, self.now - since, settled, 0, None)
        self.at(self.now, lambda: self.feed(outcome))


def shares(day: Day, cls: int) -> tuple[float, float, float]:
    """Answered of the class, of its largest tenth, and of the fifth below."""
    rows = sorted((r for r in day.asked.values() if r.class_index == cls), key=lambda r: r.prompt_tokens)
    served = [day.answers.get(r.id) == "served" for r in rows]
    tenth = len(rows) // 10
    return (
        sum(served) / len(served),
        sum(served[-tenth:]) / tenth,
        sum(served[-3 * tenth : -tenth]) / (2 * tenth),
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cls", [0, 1])
@pytest.mark.parametrize(("load", "part"), [(0.5, 2 / 3), (0.75, 2 / 3), (1.3, 1 / 2)])
def test_the_largest_requests_of_a_class_are_answered_nearly_as_often_as_the_rest(
    seed: int, cls: int, load: float, part: float
) -> None:
    """By their price, which grows as the square, they were served half as often on a quiet day."""
    every, largest, next_fifth = shares(Day(seed, load, 60.0), cls)
    assert largest >= part * every and next_fifth >= part * every


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.5, 0.75])
def test_no_set_of_sessions_is_refused_throughout_while_there_is_room(seed: int, load: float) -> None:
    day = Day(seed, load, 60.0)
    turns: dict[str, list[bool]] = defaultdict(list)
    for request in day.asked.values():
        turns[str(request.session)].append(day.answers.get(request.id) != "served")
    refused = sum(map(sum, turns.values())) / len(day.asked)
    throughout = sum(all(each) for each in turns.values())
    by_chance = sum(refused ** len(each) for each in turns.values())
    assert (throughout - by_chance) / len(turns) <= 0.12
    longer = [each for each in turns.values() if len(each) >= 4]
    assert longer and sum(all(each) for each in longer) <= 0.02 * len(longer)
