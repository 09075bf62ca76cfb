"""Lease nodes in virtual time, and what they decide: restart permits and outlier checks."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from tests.router_harness import RouterHarness, make_endpoint
from violetstack.lease.errors import InvalidDatagramError
from violetstack.lease.messages import Ballot, Message, MessageType, encode, lease_id_of, node_id_of
from violetstack.lease.node import LeaseNode, NodeSettings
from violetstack.lease.observer import Broadcast, LeaseObserver, NullObserver
from violetstack.lease.outbox import ALL_PEERS
from violetstack.lease.outlier_checks import (
    CHECKING,
    MAX_IDLE_CHECK_MS,
    SUCCEEDED,
    OutlierChecks,
    lease_name,
)
from violetstack.lease.restart_permits import REQUEST_TIMEOUT_MS, RestartPermits
from violetstack.policy.outliers import penalize
from violetstack.policy_api import OutlierCheckResult, SendAttempt
from violetstack.shared.rate_limit import TokenBucket

LEASE_MS = 1_000.0
STEP_MS = 5.0
MAX_DATAGRAM_BYTES = 256


def node_settings(number: int, size: int, **options: Any) -> NodeSettings:
    """The settings of a node in a tier that never had a holder."""
    return NodeSettings(
        number=number,
        fleet_size=size,
        incarnation=number + 1,
        duration_ms=LEASE_MS,
        restarted=False,
        **options,
    )


class Tier:
    """Lease nodes that get each other's datagrams at once."""

    def __init__(self, size: int, observer: LeaseObserver | None = None, **options: Any) -> None:
        self.now = 0.0
        rng = random.Random(5)
        self.nodes = [
            LeaseNode(0.0, node_settings(n, size, **options), rng=rng, observer=observer) for n in range(size)
        ]

    def run(self, duration_ms: float, each_step: Callable[[], object] = lambda: None) -> None:
        until = self.now + duration_ms
        while self.now < until:
            self.now += STEP_MS
            each_step()
            for node in self.nodes:
                for receiver, data in node.tick(self.now):
                    for other in self.nodes if receiver == ALL_PEERS else [self.nodes[receiver]]:
                        if other is not node:
                            other.receive(self.now, node.number, data)

    def holders(self, name: str) -> list[int]:
        return [node.number for node in self.nodes if node.holds(self.now, name)]


class BroadcastRecorder(NullObserver):
    """Keeps the broadcasts that were received by any node."""

    def __init__(self) -> None:
        self.received: list[Broadcast] = []

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        self.received.append(broadcast)


class CheckedNode(NullObserver):
    """A node with outlier checks, and what they reported."""

    def __init__(self, now: float, number: int, size: int, rng: random.Random, suspecting: set[int]) -> None:
        self.results: list[OutlierCheckResult] = []
        self.node = LeaseNode(now, node_settings(number, size), rng=rng, observer=self)
        self.checks = OutlierChecks(self.node, lambda host: host == "h" and number in suspecting, self)
        self.checks.endpoints_listed(now, ["h", "g"])

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        self.checks.broadcast_received(now, broadcast)

    def outlier_check_result(self, result: OutlierCheckResult) -> None:
        self.results.append(result)

    def outlier_check_started(self, host: str) -> None:
        pass

    def outlier_check_passed(self, host: str) -> None:
        pass


def test_restart_permits_are_counted_and_withdrawn() -> None:
    tier = Tier(5)
    permits = [RestartPermits(node, 2) for node in tier.nodes]
    for each in permits[:4]:
        each.request(tier.now)
    tier.run(3_000.0, lambda: [each.held_permit(tier.now) for each in permits])
    holders = [n for n, each in enumerate(permits) if each.held_permit(tier.now)]
    assert len(holders) == 2
    waiting = next(n for n in range(4) if n not in holders)
    assert "is held by" in permits[waiting].denial_reason(tier.now)
    permits[holders[0]].keep_until_exit()  # the other holder never uses its permit

    def repeat_request() -> None:
        permits[waiting].request(tier.now)
        for each in permits:
            each.tick(tier.now)
            each.held_permit(tier.now)

    tier.run(REQUEST_TIMEOUT_MS, repeat_request)
    assert sorted((holders[0], waiting)) == [
        n for n, each in enumerate(permits) if each.held_permit(tier.now)
    ]


def test_resigned_lease_goes_to_another_and_its_old_broadcasts_are_rejected() -> None:
    recorder = BroadcastRecorder()
    tier = Tier(5, recorder)
    for node in tier.nodes:
        node.campaign("d")
    tier.run(500.0)
    (old,) = tier.holders("d")
    first = tier.nodes[old]
    assert first.broadcast(tier.now, "d", 7)
    assert not first.broadcast(tier.now, "unknown", 7)
    tier.run(20.0)
    assert [broadcast.value for broadcast in recorder.received] == [7] * 4
    message = Message(MessageType.BROADCAST, lease_id_of("d"), Ballot(1, first.node_id), 1, 9, first.node_id)
    stale = encode([message], 0)
    assert first.resign(tier.now, "d")
    assert not first.resign(tier.now, "d")
    tier.run(600.0)
    (new,) = tier.holders("d")
    assert new != old
    assert first.views(tier.now)[0].reason == "resigned"
    assert tier.nodes[new].broadcast(tier.now, "d", 8)
    tier.run(20.0)
    before = len(recorder.received)
    for node in tier.nodes:
        if node is not first:
            node.receive(tier.now, old, stale)
            node.receive(tier.now, (old + 1) % 5, stale)  # in another's name
    assert len(recorder.received) == before
    assert tier.holders("d") == [new]
    tier.run(3_000.0)
    assert tier.holders("d") == [new]  # the first is a standby again, and does not take the lease back


def test_forged_and_corrupted_datagrams_are_ignored() -> None:
    tier = Tier(3, keys=(b"new", b"old"))
    message = Message(MessageType.PREPARE, lease_id_of("d"), Ballot(9, node_id_of(1, 1)))
    node = tier.nodes[0]
    good = encode([message], 5, 1, b"old")  # the key may change while both count
    for bad in (encode([message], 5, 1), encode([message], 5, 1, b"other"), encode([message], 5, 2, b"new")):
        with pytest.raises(InvalidDatagramError):
            node.receive(0.0, 1, bad)
    for bit in range(len(good) * 8):
        flipped = bytearray(good)
        flipped[bit // 8] ^= 1 << bit % 8
        with pytest.raises(InvalidDatagramError):
            node.receive(0.0, 1, bytes(flipped))
    acceptor = node.acceptor
    assert acceptor is not None
    assert not acceptor.leases
    assert acceptor.highest_token < 1
    node.receive(0.0, 1, good)
    assert acceptor.highest_token >= 5
    assert len(acceptor.leases) == 1
    assert len(good) <= MAX_DATAGRAM_BYTES
    assert len(good) % 3 == 1


def test_token_bucket_allows_a_burst_and_then_its_rate() -> None:
    bucket = TokenBucket(20.0 / 1_000.0, 10.0, 10.0)
    assert sum(bucket.try_take(now) for now in [0.0] * 50 + [1_000.0] * 50) == 10 + 10


@pytest.mark.parametrize(
    ("datagrams_per_s", "all_held", "least"), [(300.0, True, 8), (50.0, False, 3)], ids=["enough", "too few"]
)
def test_datagrams_are_limited_and_many_leases_are_spread_evenly(
    datagrams_per_s: float, all_held: bool, least: int
) -> None:
    names = [f"d{n}" for n in range(100)]
    tier = Tier(5, datagrams_per_s=datagrams_per_s)
    for node in tier.nodes:
        for name in names:
            node.campaign(name)
    tier.run(6_000.0)
    held = [sum(node.holds(tier.now, name) for name in names) for node in tier.nodes]
    assert (sum(held) == 100) is all_held
    assert min(held) >= least
    assert sum(held) > 25  # with too few datagrams for all leases, some are held all the same
    most = datagrams_per_s / 2.0 + datagrams_per_s * 6.0
    assert all(node.outbox.datagrams_sent <= most for node in tier.nodes)


def test_one_dispatcher_checks_a_suspect_host_and_its_result_counts_for_all() -> None:
    tier = Tier(4)
    suspecting = {0, 1, 2}
    rng = random.Random(5)
    checked = [CheckedNode(0.0, n, 4, rng, suspecting) for n in range(4)]
    tier.nodes = [each.node for each in checked]

    def tick() -> None:
        for each in checked:
            each.checks.tick(tier.now)

    tier.run(2_000.0, tick)
    (holder,) = tier.holders(lease_name("h"))
    assert holder in suspecting
    for n, each in enumerate(checked):
        avoid_ms = 0.0 if n == holder else LEASE_MS
        assert OutlierCheckResult("h", avoid_ms, False) in each.results
    tier.run(MAX_IDLE_CHECK_MS, tick)  # without any attempt, another dispatcher checks
    (second,) = tier.holders(lease_name("h"))
    assert second != holder
    suspecting.clear()
    checked[second].checks.attempt_observed(tier.now, "h", True)
    tier.run(50.0, tick)
    assert tier.holders(lease_name("h")) == []
    assert not any(each.checks.suspects for each in checked)
    others = [each for n, each in enumerate(checked) if n != second]
    assert all(each.results[-1] == OutlierCheckResult("h", 0.0, True) for each in others)
    suspecting |= {0}
    tier.run(500.0, tick)
    checks = checked[0].checks
    checks.endpoints_listed(tier.now, ["g"])  # the host is gone
    assert not checks.suspects
    assert tier.holders(lease_name("h")) == []
    checks.broadcast_received(tier.now, Broadcast(lease_id_of(lease_name("h")), 1, 99, SUCCEEDED))
    checked[1].checks.broadcast_received(tier.now, Broadcast(lease_id_of("else"), 1, 99, CHECKING))


def test_policy_avoids_a_suspect_that_another_dispatcher_checks_only_with_evidence_of_its_own() -> None:
    harness = RouterHarness(make_endpoint("r0", 0), make_endpoint("r1", 0), make_endpoint("w0", 1))
    harness.handle(OutlierCheckResult("r0", 2_000.0, False), OutlierCheckResult("nobody", 2_000.0, False))
    endpoint = harness.endpoint("r0")
    assert endpoint.statistics.avoid_until == 0.0
    assert not harness.router.outliers.is_suspect("r0")
    for at in (harness.now, harness.now + 1.0):
        penalize(endpoint, 0.0, at)
    assert harness.router.outliers.is_suspect("r0")
    endpoint.statistics.penalty.total = 0.0  # its failures no longer cost anything
    harness.handle(OutlierCheckResult("r0", 2_000.0, False), after=2.0)
    sent = []
    for _ in range(6):
        harness.submit()
        sent.append(harness.actions_of(SendAttempt)[-1].server)
    assert set(sent) == {"r1"}
    harness.handle(OutlierCheckResult("r0", 0.0, True))
    assert not harness.router.outliers.is_suspect("r0")
    assert endpoint.statistics.avoid_until == 0.0
