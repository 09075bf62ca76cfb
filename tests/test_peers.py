"""What the fronts of one tier tell each other, and what follows: tens of modules on one virtual clock."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest

from tests.front import SETTINGS, WRITERS, Front, entry
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
from violetstack.gossip.failure_reports import MAX_REPORTS_PER_PEER, SUSPECT_WINDOW_MS
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
from violetstack.router import HOMES, Fleet

FLEET = 40
READERS = tuple(entry(f"r{i}", 0) for i in range(8))


class Tier:
    """Some fronts whose datagrams reach each other after a while, or are lost."""

    def __init__(self, size: int, lost: float = 0.0, **settings: Any) -> None:
        self.fronts = [
            Front(
                *READERS,
                *WRITERS,
                gossip_allowed=True,
                dispatcher_count=size,
                dispatcher_index=n,
                seed=n,
                **settings,
            )
            for n in range(size)
        ]
        self.random = random.Random(3)
        self.lost = lost
        for n in range(size):
            self.carry(n)

    def carry(self, n: int) -> None:
        for told in self.fronts[n].all(SendGossip):
            for other in self.fronts:
                if other is not self.fronts[n] and self.random.random() >= self.lost:
                    other.feed(GossipReceived(n, told.payload))

    def tick(self, ms: float = 25.0) -> None:
        for n, front in enumerate(self.fronts):
            front.feed(TimerFired("tell"), after=ms)
            self.carry(n)


def test_forty_fronts_spread_a_burst_over_the_readers_as_one_would() -> None:
    """All prompts begin alike, so that the hash alone would send them to one reader."""
    sent: dict[bool, Counter[str]] = {}
    for tells in (True, False):
        tier = Tier(FLEET, lost=0.0 if tells else 1.0)
        sent[tells] = Counter()
        for n in range(FLEET):
            request = tier.fronts[n].ask(prefix_id="hot", prompt_tokens=4000.0)
            sent[tells][tier.fronts[n].sends[request][0].server] += 1
            tier.tick()
    assert max(sent[False].values()) == FLEET  # each front alone sees an empty fleet
    assert max(sent[True].values()) <= 2 * FLEET // len(READERS)


def test_forty_fronts_do_not_hold_their_places_at_one_writer_after_one_report() -> None:
    places: Counter[str] = Counter()
    tier = Tier(FLEET, load_report_fields=("x0",))
    for front in tier.fronts:
        for name, share in (("w1", 0.30), ("w2", 0.55)):
            front.router.fleet.report(front.router.fleet.servers[name], (share,), front.now)
    for front in tier.fronts:
        front.ask(max_tokens=1000.0, prompt_tokens=4000.0)
        places[front.one(ReserveDecodeSlot).server] += 1
        tier.tick(1.0)
    assert 0.35 * FLEET <= places["w2"] <= 0.65 * FLEET


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.CONNECT_FAILED])
@pytest.mark.parametrize("lost", [0.0, 0.3])
def test_a_host_that_fails_is_met_a_few_times_by_all_fronts_together(
    lost: float, status: AttemptStatus
) -> None:
    """One that refuses connections for want of room as well, and with a third of the datagrams lost."""
    tier = Tier(FLEET, lost)
    met = 0
    for turn in range(5 * FLEET):
        front = tier.fronts[turn % FLEET]
        request = front.ask(prompt_tokens=1000.0, prefix_id=f"p{turn}")
        bad = front.sends[request][0].server == "r0"
        met += bad
        front.end(request, status if bad else AttemptStatus.PREFILLED, after=3.0)
        tier.tick()
    assert 1 <= met <= 10


def test_a_host_that_failed_others_is_tried_again_by_all_when_its_price_has_faded() -> None:
    tier = Tier(FLEET)
    told = encode_datagram([(endpoint_tag("r0"), FAILURE_CODE)])
    for front in tier.fronts:
        front.feed(GossipReceived(99, told))
    at_once = [front.sends[front.ask(prefix_id=f"p{n}")][0].server for n, front in enumerate(tier.fronts)]
    for front in tier.fronts:
        front.now += 20_000.0
    later = [front.sends[front.ask(prefix_id=f"p{n}")][0].server for n, front in enumerate(tier.fronts)]
    assert "r0" not in at_once and "r0" in later


def test_a_full_queue_and_a_time_out_are_not_told_as_a_failure() -> None:
    for status in (AttemptStatus.REJECTED, AttemptStatus.TIMEOUT):
        front = Front(*READERS, *WRITERS, gossip_allowed=True)
        front.end(front.ask(), status)
        front.feed(TimerFired("tell"))
        assert all(FAILURE_CODE not in told.payload[2::3] for told in front.all(SendGossip))


def test_what_is_told_comes_back_and_is_gone_with_the_work() -> None:
    tier = Tier(2)
    first, second = tier.fronts
    request = first.ask(prompt_tokens=4000.0)
    tier.tick()
    shared = second.router.fleet.shared
    reader = first.sends[request][0].server
    own = first.router.fleet.servers[reader].own_reads()
    assert shared.load_at(endpoint_tag(reader)) == pytest.approx(own, rel=0.03)
    first.end(request, AttemptStatus.PREFILLED)
    first.begin(request)
    first.end(request, AttemptStatus.OK)
    tier.tick(1_000.0)  # a stream's end waits for the next word
    assert all(shared.load_at(endpoint_tag(e.server)) == 0.0 for e in READERS + WRITERS)
    tier.tick()
    assert not first.all(SendGossip)  # nothing changed, nothing told


def test_what_does_not_fit_one_datagram_is_told_in_the_next_the_longest_untold_first() -> None:
    """Hosts past a datagram's 85 were marked as told though they were cut off."""
    many = tuple(entry(f"h{n}", 2) for n in range(120))
    front = Front(*many, gossip_allowed=True, dispatcher_count=2, max_attempts=1)
    asked = 0
    while sum(1 for s in front.router.fleet.servers.values() if s.out) < len(many):
        front.ask(expires_in_ms=60_000.0)
        asked += 1
        assert asked < 2_000
    told: list[set[bytes]] = []
    for _ in range(2):
        front.feed(TimerFired("tell"), after=25.0)
        payload = front.one(SendGossip).payload
        assert len(payload) <= MAX_DATAGRAM_BYTES
        told.append({payload[at : at + 2] for at in range(0, len(payload), 3)})
    assert [len(tags) for tags in told] == [85, 35]
    assert told[0] | told[1] == {endpoint_tag(host.server) for host in many}
    front.feed(TimerFired("tell"), after=25.0)
    assert front.all(SendGossip) == []


def test_a_front_that_died_is_forgotten_when_it_starts_anew_or_when_its_words_are_old() -> None:
    tag = endpoint_tag("r1")
    for anew in (True, False):
        shared = GossipState(1000.0)
        shared.receive(0.0, 1, encode_datagram([(tag, 90)]), 9)
        shared.receive(900.0, 2, encode_datagram([(tag, 50)]), 9)
        shared.expire(950.0)
        assert (
            shared.load_at(tag) == pytest.approx(decode_load(90) + decode_load(50))
            and shared.active_peers == 2
        )
        if anew:
            shared.receive(960.0, 1, RESET_DATAGRAM, 9)
        else:
            shared.expire(1500.0)
        assert shared.load_at(tag) == pytest.approx(decode_load(50))
    shared.expire(5000.0)
    assert shared.load_at(tag) == 0.0 and shared.active_peers == 0


def test_amounts_keep_their_size_on_the_way_and_datagrams_their_bound() -> None:
    for amount in (0.0, 7.0, 50.0, 2774.0, 30_000.0, 400_000.0):
        assert decode_load(encode_load(amount)) == pytest.approx(amount, rel=0.03, abs=0.4)
    assert encode_load(1e12) == FAILURE_CODE - 1 and encode_load(-5.0) == 0
    assert len(encode_datagram([(b"ab", 1)] * 200)) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("payload", [b"", b"\1", b"hello", b"x" * 256])
def test_a_datagram_that_cannot_be_read_changes_nothing_and_is_logged(payload: bytes) -> None:
    with pytest.raises(GossipDecodeError):
        GossipState(1000.0).receive(0.0, 1, payload, 9)
    front = Front(gossip_allowed=True)
    front.feed(GossipReceived(1, payload))
    assert len(front.all(WriteLog)) == 1
    front.ask()
    front.one(SendAttempt)


def test_words_about_a_host_that_the_list_does_not_name_send_nothing_there() -> None:
    front = Front(gossip_allowed=True)
    front.feed(
        GossipReceived(
            1, encode_datagram([(endpoint_tag("stranger"), FAILURE_CODE), (endpoint_tag("other"), 3)])
        )
    )
    assert front.sends[front.ask()][0].server in {"r1", "r2"}


def test_one_write_on_its_way_at_a_front_that_sees_little_is_no_jam() -> None:
    """Else a front of forty with one begin a second behind it would expect a second's wait, and refuse."""
    front = Front(gossip_allowed=True, dispatcher_count=FLEET)
    front.feed(GossipReceived(1, encode_datagram([(endpoint_tag("r1"), 9)])))
    for _ in range(4):
        front.serve(after=2_000.0)
    first = front.ask()
    front.end(first, AttemptStatus.PREFILLED)
    assert front.router.fleet.write_wait_ms("", front.now + 20.0) <= 40.0
    front.ask(after=20.0)
    front.one(SendAttempt)
    assert front.router.fleet.write_wait_ms("", front.now + 3_000.0) > 1_000.0  # and one that stays away is


def test_a_front_cut_off_from_the_others_counts_their_work_no_longer_than_it_can_last() -> None:
    """Amounts last heard before a split would stay as load for ever."""
    front = Front(gossip_allowed=True, dispatcher_count=200)
    for peer in range(1, 200):
        front.feed(GossipReceived(peer, encode_datagram([(endpoint_tag("r1"), encode_load(5_000.0))])))
    fleet = front.router.fleet
    r1 = front.router.fleet.servers["r1"]
    assert fleet.reads_out(r1) > 199 * 4_500.0
    front.feed()
    assert fleet.shared.active_peers == 199
    front.feed(after=SETTINGS.classes[0].client_timeout_ms + 1.0)
    assert (fleet.reads_out(r1), fleet.shared.active_peers) == (0.0, 0)
    assert fleet.shared.record_count == 0


def test_one_lying_front_moves_choices_by_no_more_than_a_datagram_can_say_and_breaks_no_drain() -> None:
    front = Front(gossip_allowed=True, dispatcher_count=200)
    front.news(UpdateScope.DELTA, entry("r1", 0, state=EndpointState.DRAINING))
    every = [(endpoint_tag(name), FAILURE_CODE - 1) for name in ("r1", "r2", "w1", "w2")]
    for lie in (
        encode_datagram(every),
        encode_datagram([(tag, FAILURE_CODE) for tag, _ in every]),
        RESET_DATAGRAM,
        encode_datagram(every),
    ):
        front.feed(GossipReceived(7, lie))
        request = front.ask(after=600.0, expires_in_ms=60_000.0)
        assert all(send.server == "r2" for send in front.sends.get(request, []))
    assert front.router.fleet.shared.load_at(endpoint_tag("r2")) <= decode_load(FAILURE_CODE - 1)
    front.feed(GossipReceived(7, RESET_DATAGRAM))
    assert front.router.fleet.shared.load_at(endpoint_tag("r2")) == 0.0


def test_nothing_is_told_where_the_settings_forbid_it() -> None:
    front = Front()
    front.serve()
    front.feed(TimerFired("tell"))
    assert not SETTINGS.gossip_allowed and not front.all(SendGossip)


def first_home(fleet: Fleet, shared: str) -> str:
    near = sorted(fleet.order(shared)[:HOMES], key=lambda s: host_score(f"None\n{shared}", s.entry.server))
    return near[0].entry.server


@pytest.mark.parametrize("size", [FLEET, 200])
def test_tickets_of_all_fronts_together_keep_a_cold_host_standing_and_use_it(size: int) -> None:
    """In every window of the fall rule, the first instant too, and though each front hears of it at once."""
    tier = Tier(
        size,
        slow_start_capacity=0.3,
        slow_start_ms=10_000.0,
        overload_window_ms=2_000.0,
        overload_multiple=2.5,
    )
    sent: list[float] = []
    began = 0.0
    hot = [f"p{n}" for n in range(40)]
    for step in range(1_200):  # 50 requests a second over 8 readers, each read in 20 ms
        if step == 400:
            began = tier.fronts[0].now
            for front in tier.fronts:
                front.news(UpdateScope.DELTA, entry("cold", 0, started_ms=front.now))
            fleet = tier.fronts[0].router.fleet  # from now on all prompts have the new reader as their home
            hot = [key for key in hot if first_home(fleet, key) == "cold"]
        front = tier.fronts[step % size]
        request = front.ask(prompt_tokens=800.0, prefix_id=hot[step % len(hot)])
        if front.sends[request][0].server == "cold":
            sent.append(front.now)
        for other in tier.fronts:
            if other is not front:
                other.now += 20.0
        front.end(request, AttemptStatus.PREFILLED, after=20.0)
        front.begin(request, after=0.0)
        front.end(request, AttemptStatus.OK, after=0.0)
    usual = 50.0 / len(READERS) / 1000.0 / 0.8  # hosts run at 0.8 of what they can do at the most
    for at in (at for at in sent if at + 2_000.0 <= began + 10_000.0):  # it is warm then
        capacity = 0.3 + 0.7 * min(1.0, (at - began) / 10_000.0)
        window = sum(1 for other in sent if at <= other < at + 2_000.0)
        assert window <= 2.5 * capacity * usual * 2_000.0 + 3.0
    assert len(sent) >= 10


def test_who_says_that_half_of_the_hosts_fail_is_itself_the_suspect() -> None:
    """Each word was believed, so one front with a broken link took all hosts' good name from all others."""
    tags = [endpoint_tag(f"h{n}") for n in range(8)]

    def says(peer: int, now: float, *which: int) -> list[bytes]:
        return shared.receive(now, peer, encode_datagram([(tags[n], FAILURE_CODE) for n in which]), len(tags))

    shared = GossipState(5_000.0)
    assert says(3, 0.0, 0, 1, 2) == tags[:3]
    assert says(3, 100.0, 3, 4) == []  # five of eight: its own link is what fails
    assert says(3, 200.0, 0) == []
    assert says(2, 300.0, 0, 1) == tags[:2]  # another's word counts as before
    assert says(3, SUSPECT_WINDOW_MS + 300.0, 5) == [tags[5]]
    for n in range(3 * MAX_REPORTS_PER_PEER):
        shared.receive(0.0, 4, encode_datagram([(n.to_bytes(2, "big"), FAILURE_CODE)]), len(tags))
    assert shared.failure_reports.count(4) <= MAX_REPORTS_PER_PEER
    front = Front(*(entry(f"r{n}", 0) for n in range(4)), entry("w0", 1))
    for _ in range(50):
        for n in range(4):
            front.feed(
                GossipReceived(1, encode_datagram([(endpoint_tag(f"r{n}"), FAILURE_CODE)])), after=100.0
            )
    assert max(front.router.fleet.servers[f"r{n}"].left.value_at(front.now) for n in range(4)) < 0.1
