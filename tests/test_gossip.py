"""Load gossip: codec, state, and the effect on the decisions of a tier of dispatchers in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest

from tests.router_harness import DECODE_HOSTS, SETTINGS, RouterHarness, make_endpoint
from violetstack.gossip.codec import (
    FAILURE_CODE,
    MAX_DATAGRAM_BYTES,
    RESET_DATAGRAM,
    GossipDecodeError,
    decode_load,
    encode_datagram,
    encode_load,
    endpoint_tag,
)
from violetstack.gossip.failure_reports import MAX_REPORTS_PER_PEER, REPORT_WINDOW_MS
from violetstack.gossip.state import GossipState
from violetstack.policy_api import (
    AttemptStatus,
    EndpointState,
    GossipReceived,
    ReserveDecodeSlot,
    SendAttempt,
    SendGossip,
    TimerFired,
    UpdateScope,
    WriteLog,
)
from violetstack.rendezvous import host_score
from violetstack.tracking.affinity import HOSTS_PER_PREFIX, PrefillAffinity

TIER_SIZE = 40
PREFILL_HOSTS = tuple(make_endpoint(f"r{i}", 0) for i in range(8))


class Tier:
    """Dispatchers that exchange datagrams at each tick; each delivery is lost with the probability `loss`."""

    def __init__(self, size: int, loss: float = 0.0, **settings: Any) -> None:
        self.harnesses = [
            RouterHarness(
                *PREFILL_HOSTS,
                *DECODE_HOSTS,
                gossip_allowed=True,
                dispatcher_count=size,
                dispatcher_index=n,
                seed=n,
                **settings,
            )
            for n in range(size)
        ]
        self.random = random.Random(3)
        self.loss = loss
        for n in range(size):
            self.deliver(n)

    def deliver(self, n: int) -> None:
        for gossip in self.harnesses[n].actions_of(SendGossip):
            for other in self.harnesses:
                if other is not self.harnesses[n] and self.random.random() >= self.loss:
                    other.handle(GossipReceived(n, gossip.payload))

    def tick(self, elapsed_ms: float = 25.0) -> None:
        for n, harness in enumerate(self.harnesses):
            harness.handle(TimerFired("tell"), after=elapsed_ms)
            self.deliver(n)


def test_gossip_spreads_a_burst_over_the_prefill_hosts() -> None:
    """All prompts have the same prefix, so without gossip affinity sends them to one prefill host."""
    sent: dict[bool, Counter[str]] = {}
    for with_gossip in (True, False):
        tier = Tier(TIER_SIZE, loss=0.0 if with_gossip else 1.0)
        sent[with_gossip] = Counter()
        for n in range(TIER_SIZE):
            request = tier.harnesses[n].submit(prefix_id="hot", prompt_tokens=4000.0)
            sent[with_gossip][tier.harnesses[n].sent_attempts[request][0].server] += 1
            tier.tick()
    assert max(sent[False].values()) == TIER_SIZE  # each dispatcher considers all prefill hosts idle
    assert max(sent[True].values()) <= 2 * TIER_SIZE // len(PREFILL_HOSTS)


def test_dispatchers_with_the_same_load_report_spread_their_reservations_over_the_decode_hosts() -> None:
    reservations: Counter[str] = Counter()
    tier = Tier(TIER_SIZE, load_report_fields=("x0",))
    for harness in tier.harnesses:
        for name, share in (("w1", 0.30), ("w2", 0.55)):
            harness.state.load.add_report(harness.endpoint(name), (share,), harness.now)
    for harness in tier.harnesses:
        harness.submit(max_tokens=1000.0, prompt_tokens=4000.0)
        reservations[harness.only_action(ReserveDecodeSlot).server] += 1
        tier.tick(1.0)
    assert 0.35 * TIER_SIZE <= reservations["w2"] <= 0.65 * TIER_SIZE


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.CONNECT_FAILED])
@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_failing_host_costs_the_tier_at_most_ten_attempts(loss: float, status: AttemptStatus) -> None:
    """This also holds for refused connections, and if a third of the datagrams is lost."""
    tier = Tier(TIER_SIZE, loss)
    attempts = 0
    for turn in range(5 * TIER_SIZE):
        harness = tier.harnesses[turn % TIER_SIZE]
        request = harness.submit(prompt_tokens=1000.0, prefix_id=f"p{turn}")
        fails = harness.sent_attempts[request][0].server == "r0"
        attempts += fails
        harness.finish_attempt(request, status if fails else AttemptStatus.PREFILLED, after=3.0)
        tier.tick()
    assert 1 <= attempts <= 10


def test_a_fault_of_the_dispatchers_own_machine_is_not_charged_to_a_host() -> None:
    """Regression: without a free descriptor or port, a dispatcher penalized hosts and gossiped failures."""
    tier = Tier(TIER_SIZE)
    harness = tier.harnesses[0]
    request = harness.submit(prompt_tokens=1000.0)
    failed = harness.endpoint(harness.sent_attempts[request][0].server)
    harness.finish_attempt(request, AttemptStatus.LOCAL_FAULT, after=3.0)
    tier.tick()
    assert len(harness.sent_attempts[request]) == 2  # the request is retried at another host
    assert harness.sent_attempts[request][1].server != failed.name
    assert failed.statistics.consecutive_failures == 0
    assert all(peer.endpoint(failed.name).statistics.consecutive_failures == 0 for peer in tier.harnesses)


def test_a_host_reported_as_failed_is_used_again_once_the_report_has_decayed() -> None:
    tier = Tier(TIER_SIZE)
    report = encode_datagram([(endpoint_tag("r0"), FAILURE_CODE)])
    for harness in tier.harnesses:
        harness.handle(GossipReceived(99, report))
    at_once = [
        harness.sent_attempts[harness.submit(prefix_id=f"p{n}")][0].server
        for n, harness in enumerate(tier.harnesses)
    ]
    for harness in tier.harnesses:
        harness.now += 20_000.0
    later = [
        harness.sent_attempts[harness.submit(prefix_id=f"p{n}")][0].server
        for n, harness in enumerate(tier.harnesses)
    ]
    assert "r0" not in at_once
    assert "r0" in later


def test_rejections_and_timeouts_are_not_reported_as_failures() -> None:
    for status in (AttemptStatus.REJECTED, AttemptStatus.TIMEOUT):
        harness = RouterHarness(*PREFILL_HOSTS, *DECODE_HOSTS, gossip_allowed=True)
        harness.finish_attempt(harness.submit(), status)
        harness.handle(TimerFired("tell"))
        assert all(FAILURE_CODE not in gossip.payload[2::3] for gossip in harness.actions_of(SendGossip))


def test_announced_load_is_received_by_a_peer_and_removed_when_the_request_ends() -> None:
    tier = Tier(2)
    first, second = tier.harnesses
    request = first.submit(prompt_tokens=4000.0)
    tier.tick()
    state = second.state.remote_load
    prefill_host = first.sent_attempts[request][0].server
    own = first.endpoint(prefill_host).prefill_cost_in_flight()
    assert state.load_at(endpoint_tag(prefill_host)) == pytest.approx(own, rel=0.03)
    first.finish_attempt(request, AttemptStatus.PREFILLED)
    first.start_stream(request)
    first.finish_attempt(request, AttemptStatus.OK)
    tier.tick(1_000.0)  # the end of a stream is announced with a delay
    assert all(state.load_at(endpoint_tag(e.server)) == 0.0 for e in PREFILL_HOSTS + DECODE_HOSTS)
    tier.tick()
    assert not first.actions_of(SendGossip)  # no datagram is sent without a change


def test_entries_that_exceed_one_datagram_are_sent_in_the_next() -> None:
    """Regression: entries after the 85th were marked as announced although they had been cut off."""
    hosts = tuple(make_endpoint(f"h{n}", 2) for n in range(120))
    harness = RouterHarness(*hosts, gossip_allowed=True, dispatcher_count=2, max_attempts=1)
    submitted = 0
    while sum(1 for host in harness.state.endpoints.by_name.values() if host.in_flight) < len(hosts):
        harness.submit(expires_in_ms=60_000.0)
        submitted += 1
        assert submitted < 2_000
    announced: list[set[bytes]] = []
    for _ in range(2):
        harness.handle(TimerFired("tell"), after=25.0)
        payload = harness.only_action(SendGossip).payload
        assert len(payload) <= MAX_DATAGRAM_BYTES
        announced.append({payload[at : at + 2] for at in range(0, len(payload), 3)})
    assert [len(tags) for tags in announced] == [85, 35]
    assert announced[0] | announced[1] == {endpoint_tag(host.server) for host in hosts}
    harness.handle(TimerFired("tell"), after=25.0)
    assert harness.actions_of(SendGossip) == []


def test_the_load_of_a_crashed_peer_is_removed_by_a_reset_or_by_expiry() -> None:
    tag = endpoint_tag("r1")
    for reset in (True, False):
        state = GossipState(1000.0)
        state.receive(0.0, 1, encode_datagram([(tag, 90)]), 9)
        state.receive(900.0, 2, encode_datagram([(tag, 50)]), 9)
        state.expire(950.0)
        assert state.load_at(tag) == pytest.approx(decode_load(90) + decode_load(50))
        assert state.active_peers == 2
        if reset:
            state.receive(960.0, 1, RESET_DATAGRAM, 9)
        else:
            state.expire(1500.0)
        assert state.load_at(tag) == pytest.approx(decode_load(50))
    state.expire(5000.0)
    assert state.load_at(tag) == 0.0
    assert state.active_peers == 0


def test_loads_are_decoded_as_encoded_and_datagrams_are_bounded() -> None:
    for amount in (0.0, 7.0, 50.0, 2774.0, 30_000.0, 400_000.0):
        assert decode_load(encode_load(amount)) == pytest.approx(amount, rel=0.03, abs=0.4)
    assert encode_load(1e12) == FAILURE_CODE - 1
    assert encode_load(-5.0) == 0
    assert len(encode_datagram([(b"ab", 1)] * 200)) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("payload", [b"", b"\1", b"hello", b"x" * 256])
def test_a_malformed_datagram_changes_nothing_and_is_logged(payload: bytes) -> None:
    with pytest.raises(GossipDecodeError):
        GossipState(1000.0).receive(0.0, 1, payload, 9)
    harness = RouterHarness(gossip_allowed=True)
    harness.handle(GossipReceived(1, payload))
    assert len(harness.actions_of(WriteLog)) == 1
    harness.submit()
    harness.only_action(SendAttempt)


def test_entries_about_unlisted_hosts_have_no_effect() -> None:
    harness = RouterHarness(gossip_allowed=True)
    entries = [(endpoint_tag("stranger"), FAILURE_CODE), (endpoint_tag("other"), 3)]
    harness.handle(GossipReceived(1, encode_datagram(entries)))
    assert harness.sent_attempts[harness.submit()][0].server in {"r1", "r2"}


def test_one_pending_stream_start_is_not_treated_as_congestion() -> None:
    """Regression: a dispatcher with one pending stream start expected a long wait and rejected requests."""
    harness = RouterHarness(gossip_allowed=True, dispatcher_count=TIER_SIZE)
    harness.handle(GossipReceived(1, encode_datagram([(endpoint_tag("r1"), 9)])))
    for _ in range(4):
        harness.complete_request(after=2_000.0)
    first = harness.submit()
    harness.finish_attempt(first, AttemptStatus.PREFILLED)
    assert harness.state.load.decode_wait_ms("", harness.now + 20.0) <= 40.0
    harness.submit(after=20.0)
    harness.only_action(SendAttempt)
    # The stream has still not started.
    assert harness.state.load.decode_wait_ms("", harness.now + 3_000.0) > 1_000.0


def test_a_partitioned_dispatcher_expires_the_load_of_its_peers() -> None:
    """Regression: loads announced before a network partition never expired."""
    harness = RouterHarness(gossip_allowed=True, dispatcher_count=200)
    for peer in range(1, 200):
        harness.handle(GossipReceived(peer, encode_datagram([(endpoint_tag("r1"), encode_load(5_000.0))])))
    load = harness.state.load
    r1 = harness.endpoint("r1")
    assert load.prefill_cost_in_flight(r1) > 199 * 4_500.0
    harness.handle()
    assert harness.state.remote_load.active_peers == 199
    harness.handle(after=SETTINGS.classes[0].client_timeout_ms + 1.0)
    assert (load.prefill_cost_in_flight(r1), harness.state.remote_load.active_peers) == (0.0, 0)
    assert harness.state.remote_load.announcement_count == 0


def test_a_faulty_peer_has_a_bounded_effect_and_cannot_end_a_drain() -> None:
    harness = RouterHarness(gossip_allowed=True, dispatcher_count=200)
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint("r1", 0, state=EndpointState.DRAINING))
    entries = [(endpoint_tag(name), FAILURE_CODE - 1) for name in ("r1", "r2", "w1", "w2")]
    for payload in (
        encode_datagram(entries),
        encode_datagram([(tag, FAILURE_CODE) for tag, _ in entries]),
        RESET_DATAGRAM,
        encode_datagram(entries),
    ):
        harness.handle(GossipReceived(7, payload))
        request = harness.submit(after=600.0, expires_in_ms=60_000.0)
        assert all(send.server == "r2" for send in harness.sent_attempts.get(request, []))
    assert harness.state.remote_load.load_at(endpoint_tag("r2")) <= decode_load(FAILURE_CODE - 1)
    harness.handle(GossipReceived(7, RESET_DATAGRAM))
    assert harness.state.remote_load.load_at(endpoint_tag("r2")) == 0.0


def test_no_gossip_is_sent_if_the_settings_forbid_it() -> None:
    harness = RouterHarness()
    harness.complete_request()
    harness.handle(TimerFired("tell"))
    assert not SETTINGS.gossip_allowed
    assert not harness.actions_of(SendGossip)


def preferred_host(affinity: PrefillAffinity, prefix: str) -> str:
    hosts = affinity.ranking(prefix)[:HOSTS_PER_PREFIX]
    return min(hosts, key=lambda host: host_score(f"None\n{prefix}", host.name)).name


@pytest.mark.parametrize("size", [TIER_SIZE, 200])
def test_slow_start_of_all_dispatchers_together_does_not_overload_a_host(size: int) -> None:
    """Holds in every window of the overload rule, although all dispatchers learn of the host at once."""
    tier = Tier(
        size,
        slow_start_capacity=0.3,
        slow_start_ms=10_000.0,
        overload_window_ms=2_000.0,
        overload_multiple=2.5,
    )
    sent_at: list[float] = []
    added_at = 0.0
    prefixes = [f"p{n}" for n in range(40)]
    for step in range(1_200):  # 50 requests per second over 8 prefill hosts, each prefilled in 20 ms
        if step == 400:
            added_at = tier.harnesses[0].now
            for harness in tier.harnesses:
                harness.update_endpoints(UpdateScope.DELTA, make_endpoint("cold", 0, started_ms=harness.now))
            # From now on, only prompts that prefer the new host are sent.
            affinity = tier.harnesses[0].state.endpoints.affinity
            prefixes = [key for key in prefixes if preferred_host(affinity, key) == "cold"]
        harness = tier.harnesses[step % size]
        request = harness.submit(prompt_tokens=800.0, prefix_id=prefixes[step % len(prefixes)])
        if harness.sent_attempts[request][0].server == "cold":
            sent_at.append(harness.now)
        for other in tier.harnesses:
            if other is not harness:
                other.now += 20.0
        harness.finish_attempt(request, AttemptStatus.PREFILLED, after=20.0)
        harness.start_stream(request, after=0.0)
        harness.finish_attempt(request, AttemptStatus.OK, after=0.0)
    usual_rate = 50.0 / len(PREFILL_HOSTS) / 1000.0 / 0.8  # the hosts run at 0.8 of their capacity
    for at in (at for at in sent_at if at + 2_000.0 <= added_at + 10_000.0):  # while the host warms up
        capacity = 0.3 + 0.7 * min(1.0, (at - added_at) / 10_000.0)
        sent_in_window = sum(1 for other in sent_at if at <= other < at + 2_000.0)
        assert sent_in_window <= 2.5 * capacity * usual_rate * 2_000.0 + 3.0
    assert len(sent_at) >= 10


def test_reports_of_a_peer_that_reports_half_of_the_hosts_are_ignored() -> None:
    """Regression: the reports of one dispatcher with a broken link made all others avoid every host."""
    tags = [endpoint_tag(f"h{n}") for n in range(8)]

    def report(peer: int, now: float, *which: int) -> list[bytes]:
        return state.receive(now, peer, encode_datagram([(tags[n], FAILURE_CODE) for n in which]), len(tags))

    state = GossipState(5_000.0)
    assert report(3, 0.0, 0, 1, 2) == tags[:3]
    assert report(3, 100.0, 3, 4) == []  # five of eight hosts: its own link has failed
    assert report(3, 200.0, 0) == []
    assert report(2, 300.0, 0, 1) == tags[:2]  # reports of other peers are still trusted
    assert report(3, REPORT_WINDOW_MS + 300.0, 5) == [tags[5]]
    for n in range(3 * MAX_REPORTS_PER_PEER):
        state.receive(0.0, 4, encode_datagram([(n.to_bytes(2, "big"), FAILURE_CODE)]), len(tags))
    assert state.failure_reports.reported_count(4) <= MAX_REPORTS_PER_PEER
    harness = RouterHarness(*(make_endpoint(f"r{n}", 0) for n in range(4)), make_endpoint("w0", 1))
    for _ in range(50):
        for n in range(4):
            failure = encode_datagram([(endpoint_tag(f"r{n}"), FAILURE_CODE)])
            harness.handle(GossipReceived(1, failure), after=100.0)
    assert max(harness.endpoint(f"r{n}").statistics.penalty.value_at(harness.now) for n in range(4)) < 0.1
