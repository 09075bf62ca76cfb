"""Lease nodes in virtual time, and the restart permits and outlier checks that are based on them."""

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
from violetstack.policy_api import (
    EndpointState,
    EndpointUpdate,
    OutlierCheckResult,
    SendAttempt,
    UpdateScope,
)
from violetstack.shared.rate_limit import TokenBucket

LEASE_MS = 1_000.0
STEP_MS = 5.0
MAX_DATAGRAM_BYTES = 256


def node_settings(number: int, size: int, **options: Any) -> NodeSettings:
    """Returns the settings of a node in a tier where no lease was ever held."""
    return NodeSettings(
        number=number,
        fleet_size=size,
        incarnation=number + 1,
        duration_ms=LEASE_MS,
        restarted=False,
        **options,
    )


class Tier:
    """Lease nodes that receive each other's datagrams without delay."""

    def __init__(self, size: int, observer: LeaseObserver | None = None, **options: Any) -> None:
        self.now = 0.0
        rng = random.Random(5)
        self.nodes = [
            LeaseNode(0.0, node_settings(n, size, **options), rng=rng, observer=observer) for n in range(size)
        ]

    def run(self, duration_ms: float, before_each_step: Callable[[], object] = lambda: None) -> None:
        until = self.now + duration_ms
        while self.now < until:
            self.now += STEP_MS
            before_each_step()
            for node in self.nodes:
                for receiver, data in node.tick(self.now):
                    for other in self.nodes if receiver == ALL_PEERS else [self.nodes[receiver]]:
                        if other is not node:
                            other.receive(self.now, node.number, data)

    def holders(self, name: str) -> list[int]:
        return [node.number for node in self.nodes if node.holds(self.now, name)]


class BroadcastRecorder(NullObserver):
    """Records the broadcasts that any node receives."""

    def __init__(self) -> None:
        self.received: list[Broadcast] = []

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        self.received.append(broadcast)


class CheckedNode(NullObserver):
    """A node with outlier checks, which records their results."""

    def __init__(self, now: float, number: int, size: int, rng: random.Random, suspecting: set[int]) -> None:
        self.results: list[OutlierCheckResult] = []
        self.node = LeaseNode(now, node_settings(number, size), rng=rng, observer=self)
        self.checks = OutlierChecks(self.node, lambda host: host == "h" and number in suspecting, self)
        hosts = (make_endpoint("h", 0), make_endpoint("g", 0))
        self.checks.endpoints_updated(now, EndpointUpdate(UpdateScope.SNAPSHOT, hosts, 1))

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        self.checks.broadcast_received(now, broadcast)

    def outlier_check_result(self, result: OutlierCheckResult) -> None:
        self.results.append(result)

    def outlier_check_started(self, host: str) -> None:
        pass

    def outlier_check_passed(self, host: str) -> None:
        pass


def test_restart_permits_are_limited_in_number_and_unused_ones_are_withdrawn() -> None:
    tier = Tier(5)
    permits = [RestartPermits(node, 2) for node in tier.nodes]
    for requester in permits[:4]:
        requester.request(tier.now)
    tier.run(3_000.0, lambda: [requester.held_permit(tier.now) for requester in permits])
    holders = [n for n, requester in enumerate(permits) if requester.held_permit(tier.now)]
    assert len(holders) == 2
    without_permit = next(n for n in range(4) if n not in holders)
    assert "is held by" in permits[without_permit].denial_reason(tier.now)
    permits[holders[0]].keep_until_exit()  # the other holder neither uses its permit nor requests it again

    def repeat_request() -> None:
        permits[without_permit].request(tier.now)
        for requester in permits:
            requester.tick(tier.now)
            requester.held_permit(tier.now)

    tier.run(REQUEST_TIMEOUT_MS, repeat_request)
    assert sorted((holders[0], without_permit)) == [
        n for n, requester in enumerate(permits) if requester.held_permit(tier.now)
    ]


def test_after_a_resignation_another_node_holds_the_lease_and_stale_broadcasts_are_rejected() -> None:
    recorder = BroadcastRecorder()
    tier = Tier(5, recorder)
    for node in tier.nodes:
        node.campaign("d")
    tier.run(500.0)
    (old_holder,) = tier.holders("d")
    resigned_node = tier.nodes[old_holder]
    assert resigned_node.broadcast(tier.now, "d", 7)
    assert not resigned_node.broadcast(tier.now, "unknown", 7)
    tier.run(20.0)
    assert [broadcast.value for broadcast in recorder.received] == [7] * 4
    message = Message(
        MessageType.BROADCAST, lease_id_of("d"), Ballot(1, resigned_node.node_id), 1, 9, resigned_node.node_id
    )
    stale = encode([message], 0)
    assert resigned_node.resign(tier.now, "d")
    assert not resigned_node.resign(tier.now, "d")
    tier.run(600.0)
    (new_holder,) = tier.holders("d")
    assert new_holder != old_holder
    assert resigned_node.views(tier.now)[0].reason == "resigned"
    assert tier.nodes[new_holder].broadcast(tier.now, "d", 8)
    tier.run(20.0)
    received_before = len(recorder.received)
    for node in tier.nodes:
        if node is not resigned_node:
            node.receive(tier.now, old_holder, stale)
            node.receive(tier.now, (old_holder + 1) % 5, stale)  # in the name of another node
    assert len(recorder.received) == received_before
    assert tier.holders("d") == [new_holder]
    tier.run(3_000.0)
    assert tier.holders("d") == [new_holder]  # it competes again after its cooldown, but does not take over


def test_forged_and_corrupted_datagrams_are_ignored() -> None:
    tier = Tier(3, keys=(b"new", b"old"))
    message = Message(MessageType.PREPARE, lease_id_of("d"), Ballot(9, node_id_of(1, 1)))
    node = tier.nodes[0]
    authentic = encode([message], 5, 1, b"old")  # both keys are accepted while the key is being changed
    for forged in (
        encode([message], 5, 1),
        encode([message], 5, 1, b"other"),
        encode([message], 5, 2, b"new"),
    ):
        with pytest.raises(InvalidDatagramError):
            node.receive(0.0, 1, forged)
    for bit in range(len(authentic) * 8):
        flipped = bytearray(authentic)
        flipped[bit // 8] ^= 1 << bit % 8
        with pytest.raises(InvalidDatagramError):
            node.receive(0.0, 1, bytes(flipped))
    acceptor = node.acceptor
    assert acceptor is not None
    assert not acceptor.leases
    assert acceptor.highest_token < 1
    node.receive(0.0, 1, authentic)
    assert acceptor.highest_token >= 5
    assert len(acceptor.leases) == 1
    assert len(authentic) <= MAX_DATAGRAM_BYTES
    assert len(authentic) % 3 == 1


def test_token_bucket_allows_a_burst_and_then_limits_to_its_rate() -> None:
    bucket = TokenBucket(20.0 / 1_000.0, 10.0, 10.0)
    assert sum(bucket.try_take(now) for now in [0.0] * 50 + [1_000.0] * 50) == 10 + 10


@pytest.mark.parametrize(
    ("datagrams_per_s", "all_held", "min_held_per_node"),
    [(300.0, True, 8), (50.0, False, 3)],
    ids=["enough", "too few"],
)
def test_datagrams_are_limited_and_many_leases_are_spread_evenly(
    datagrams_per_s: float, all_held: bool, min_held_per_node: int
) -> None:
    names = [f"d{n}" for n in range(100)]
    tier = Tier(5, datagrams_per_s=datagrams_per_s)
    for node in tier.nodes:
        for name in names:
            node.campaign(name)
    tier.run(6_000.0)
    held = [sum(node.holds(tier.now, name) for name in names) for node in tier.nodes]
    assert (sum(held) == 100) is all_held
    assert min(held) >= min_held_per_node
    assert sum(held) > 25  # even if the datagrams do not suffice for all leases, some are held
    max_datagrams = datagrams_per_s / 2.0 + datagrams_per_s * 6.0
    assert all(node.outbox.datagrams_sent <= max_datagrams for node in tier.nodes)


@pytest.mark.parametrize(
    "update_without_host",
    [
        EndpointUpdate(UpdateScope.SNAPSHOT, (make_endpoint("g", 0),), 2),
        EndpointUpdate(UpdateScope.DELTA, (make_endpoint("h", 0, state=EndpointState.REMOVED),), 2),
    ],
)
def test_one_dispatcher_checks_a_suspect_host_and_its_result_applies_to_all(
    update_without_host: EndpointUpdate,
) -> None:
    tier = Tier(4)
    suspecting = {0, 1, 2}
    rng = random.Random(5)
    checked_nodes = [CheckedNode(0.0, n, 4, rng, suspecting) for n in range(4)]
    tier.nodes = [checked_node.node for checked_node in checked_nodes]

    def tick() -> None:
        for checked_node in checked_nodes:
            checked_node.checks.tick(tier.now)

    tier.run(2_000.0, tick)
    (holder,) = tier.holders(lease_name("h"))
    assert holder in suspecting
    for n, checked_node in enumerate(checked_nodes):
        avoid_ms = 0.0 if n == holder else LEASE_MS
        assert OutlierCheckResult("h", avoid_ms, False) in checked_node.results
    tier.run(MAX_IDLE_CHECK_MS, tick)  # without any attempt, another dispatcher takes over the check
    (second_holder,) = tier.holders(lease_name("h"))
    assert second_holder != holder
    suspecting.clear()
    checked_nodes[second_holder].checks.attempt_observed(tier.now, "h", True)
    tier.run(50.0, tick)
    assert tier.holders(lease_name("h")) == []
    assert not any(checked_node.checks.suspects for checked_node in checked_nodes)
    other_nodes = [checked_node for n, checked_node in enumerate(checked_nodes) if n != second_holder]
    assert all(checked_node.results[-1] == OutlierCheckResult("h", 0.0, True) for checked_node in other_nodes)
    suspecting |= {0}
    tier.run(500.0, tick)
    checks = checked_nodes[0].checks
    checks.endpoints_updated(tier.now, update_without_host)
    assert not checks.suspects
    assert tier.holders(lease_name("h")) == []
    checks.broadcast_received(tier.now, Broadcast(lease_id_of(lease_name("h")), 1, 99, SUCCEEDED))
    checked_nodes[1].checks.broadcast_received(tier.now, Broadcast(lease_id_of("else"), 1, 99, CHECKING))


def test_policy_avoids_a_host_that_another_dispatcher_checks_only_if_it_has_evidence_itself() -> None:
    harness = RouterHarness(make_endpoint("r0", 0), make_endpoint("r1", 0), make_endpoint("w0", 1))
    harness.handle(OutlierCheckResult("r0", 2_000.0, False), OutlierCheckResult("nobody", 2_000.0, False))
    endpoint = harness.endpoint("r0")
    assert endpoint.statistics.avoid_until == 0.0
    assert not harness.router.outliers.is_suspect("r0")
    for at in (harness.now, harness.now + 1.0):
        penalize(endpoint, 0.0, at)
    assert harness.router.outliers.is_suspect("r0")
    endpoint.statistics.penalty.total = 0.0  # the penalty for its failures has decayed
    harness.handle(OutlierCheckResult("r0", 2_000.0, False), after=2.0)
    sent = []
    for _ in range(6):
        harness.submit()
        sent.append(harness.actions_of(SendAttempt)[-1].server)
    assert set(sent) == {"r1"}
    harness.handle(OutlierCheckResult("r0", 0.0, True))
    assert not harness.router.outliers.is_suspect("r0")
    assert endpoint.statistics.avoid_until == 0.0
