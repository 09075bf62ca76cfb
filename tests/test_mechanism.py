"""The ordinary path, as the design page words it."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.front import READERS, SAFE, WRITERS, Front, entry
from violetstack.policy_api import (
    AttemptStatus,
    RejectRequest,
    Request,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    StartTimer,
    UpdateScope,
)
from violetstack.tracking.request import RequestState


def test_price_is_quadratic_plus_linear() -> None:
    request = Request("q", 0, 0, None, 1000.0, None, None, 2000.0, 0.0, 200.0, False, False)
    state = RequestState(request, SAFE, SAFE.latency_objective_ms, 4, 0.0)
    assert state.prefill_cost == pytest.approx(4.25e-5 * 2000**2 + 6.8e-3 * 2000)


def test_the_read_goes_where_the_own_backlog_is_smallest() -> None:
    front = Front()
    front.ask(prompt_tokens=6000.0)
    busy = front.one(SendAttempt).server
    front.ask(prompt_tokens=2000.0)
    assert front.one(SendAttempt).server != busy


def test_one_long_prompt_outweighs_several_short_ones() -> None:
    front = Front()
    front.ask(prompt_tokens=8000.0)
    long_at = front.one(SendAttempt).server
    others = {front.sends[front.ask(prompt_tokens=1000.0)][0].server for _ in range(5)}
    assert long_at not in others


def test_every_reader_below_zero_still_serves() -> None:
    front = Front()
    for _ in range(40):
        front.ask(prompt_tokens=8000.0)
        front.one(SendAttempt)
    request = front.state.requests["q1"]
    hosts = front.state.endpoints.prefill_hosts
    freeness = front.router.freeness.of_prefill_hosts(hosts, request, front.now)
    assert max(freeness.values()) < 0


def test_among_near_best_the_sessions_last_reader_wins() -> None:
    front = Front(*(entry(f"r{i}", 0) for i in range(8)), *WRITERS)
    first = front.serve(session="s", prompt_tokens=500.0)
    for _ in range(6):
        again = front.serve(session="s", prompt_tokens=500.0)
        assert front.sends[again][0].server == front.sends[first][0].server


def test_a_session_does_not_follow_its_reader_past_the_near_best() -> None:
    front = Front(classes=(replace(SAFE, latency_objective_ms=60_000.0),))
    front.serve(session="s", prompt_tokens=500.0)
    asked = [front.ask(prompt_tokens=9000.0, session="s", expires_in_ms=90_000.0) for _ in range(4)]
    assert {front.sends[request][0].server for request in asked} == {"r1", "r2"}


def test_a_shared_beginning_keeps_to_one_reader_and_all_fronts_agree() -> None:
    fronts = [Front(*(entry(f"r{i}", 0) for i in range(8)), *WRITERS, seed=seed) for seed in (1, 2, 3)]
    asked = [(front, front.serve(prefix_id="p", prompt_tokens=500.0)) for front in fronts for _ in range(4)]
    picks = {front.sends[request][0].server for front, request in asked}
    assert len(picks) == 1


def test_the_sessions_of_one_beginning_are_spread_alike_at_all_fronts() -> None:
    """Grown deployments: a session comes to many fronts, and a hot beginning is too much for one reader."""
    picks: dict[str, set[str]] = {}
    for seed in range(5):
        front = Front(*(entry(f"r{i}", 0) for i in range(20)), *WRITERS, seed=seed)
        for n in range(40):
            request = front.serve(prefix_id="p", session=f"s{n}", prompt_tokens=500.0)
            picks.setdefault(f"s{n}", set()).add(front.sends[request][0].server)
    assert all(len(at) == 1 for at in picks.values())
    assert 2 <= len(set.union(*picks.values())) <= 5


def test_near_best_writers_do_not_fall_to_the_first_in_the_list() -> None:
    first = set()
    for seed in range(10):
        front = Front(*READERS, *(entry(f"w{i}", 1) for i in range(10)), seed=seed)
        front.ask()
        first.add(front.one(ReserveDecodeSlot).server)
    assert len(first) > 3


def test_a_slow_readers_learned_speed_falls_and_the_unheard_count_average() -> None:
    front = Front()
    load = front.state.load
    for _ in range(12):
        request = front.ask(prompt_tokens=1000.0)
        slow = front.sends[request][0].server == "r1"
        front.end(request, AttemptStatus.PREFILLED, after=400.0 if slow else 100.0)
    speeds = {name: load.prefill_speed(front.endpoint(name), front.now) for name in ("r1", "r2")}
    assert speeds["r1"] < speeds["r2"]
    front.news(UpdateScope.DELTA, entry("r3", 0))
    assert speeds["r1"] < load.prefill_speed(front.endpoint("r3"), front.now) < speeds["r2"]


def test_a_place_is_held_with_the_read_and_taken_by_the_send() -> None:
    front = Front()
    request = front.ask()
    place = front.one(ReserveDecodeSlot)
    assert [type(a) for a in front.did if not isinstance(a, StartTimer)] == [SendAttempt, ReserveDecodeSlot]
    front.feed(ReservationResult(request, front.sends[request][0].server, 0, True))
    front.end(request, AttemptStatus.PREFILLED)
    assert front.one(SendAttempt).server == place.server


def test_without_a_place_the_next_writer_is_tried() -> None:
    front = Front()
    request = front.ask()
    first = front.one(ReserveDecodeSlot).server
    front.feed(ReservationResult(request, first, 0, False))
    assert front.one(ReserveDecodeSlot).server != first


def test_no_place_is_asked_for_where_the_site_has_none() -> None:
    front = Front(reserve_ahead=False)
    request = front.ask()
    assert not front.all(ReserveDecodeSlot)
    front.end(request, AttemptStatus.PREFILLED)
    assert front.one(SendAttempt).server in ("w1", "w2")


def test_writers_go_by_own_streams_in_tokens_without_reports() -> None:
    front = Front()
    request = front.ask(prompt_tokens=30_000.0)
    first = front.one(ReserveDecodeSlot).server
    front.feed(ReservationResult(request, front.sends[request][0].server, 0, True))
    front.ask()
    assert front.one(ReserveDecodeSlot).server != first


def test_writers_go_by_reported_share_plus_own_streams_since() -> None:
    front = Front(load_report_fields=("x0",))
    for name, share in (("w1", 0.7), ("w2", 0.2)):
        front.state.load.add_report(front.endpoint(name), (share,), front.now)
    front.ask()
    assert front.one(ReserveDecodeSlot).server == "w2"
    front.ask(prompt_tokens=70_000.0)
    front.ask()
    assert front.one(ReserveDecodeSlot).server == "w1"


def test_the_hint_stands_for_the_told_maximum() -> None:
    request = Request("q", 0, 0, None, 1000.0, 2000.0, None, 1000.0, 0.0, 500.0, False, False)
    assert RequestState(request, SAFE, SAFE.latency_objective_ms, 4, 0.0).tokens == 1000.0 + 2000.0 / 50.0


def test_near_best_writers_in_the_readers_cell_then_zone_are_preferred() -> None:
    reader = entry("r1", 0, cell=3, zone=1)
    far = entry("w1", 1, cell=1)
    zone = entry("w2", 1, cell=2, zone=1)
    cell = entry("w3", 1, cell=3, zone=1)
    front = Front(reader, far, zone, cell)
    front.ask()
    assert front.one(ReserveDecodeSlot).server == "w3"
    front = Front(reader, far, zone)
    front.ask()
    assert front.one(ReserveDecodeSlot).server == "w2"


def test_a_mixed_server_stands_in_both_lists() -> None:
    front = Front(entry("m1", 2))
    request = front.ask()
    assert front.one(SendAttempt).server == "m1"
    assert not front.all(ReserveDecodeSlot)
    front.begin(request)
    front.end(request, AttemptStatus.OK)
    front = Front(entry("r1", 0), entry("m1", 2))
    assert {host.name for host in front.state.endpoints.decode_hosts} == {"m1"}
    assert {host.name for host in front.state.endpoints.prefill_hosts} == {"r1", "m1"}


def test_a_writer_reads_itself_where_it_may_and_no_reader_is_left() -> None:
    front = Front(*WRITERS, decode_hosts_prefill=True)
    front.ask()
    assert front.one(SendAttempt).server in ("w1", "w2")
    front = Front(*WRITERS)
    front.ask()
    front.one(RejectRequest)


def test_equal_events_give_equal_actions() -> None:
    logs = []
    for _ in range(2):
        front = Front()
        log = []
        for i in range(30):
            request = front.ask(prefix_id=f"p{i % 3}", session=f"s{i % 5}", prompt_tokens=500.0 + 37 * i)
            log += front.did
            log += front.end(request, AttemptStatus.PREFILLED)
        logs.append(log)
    assert logs[0] == logs[1]


def test_reads_that_only_time_out_leave_a_speed_to_divide_by() -> None:
    front = Front(max_attempts=2)
    for _ in range(30):
        front.end(front.ask(prompt_tokens=10.0), AttemptStatus.TIMEOUT, after=900.0)
    hosts = front.state.endpoints.prefill_hosts
    assert all(front.state.load.prefill_speed(host, front.now) > 0 for host in hosts)


def test_a_reader_that_keeps_the_session_is_worth_waiting_for() -> None:
    """Small differences of backlog moved sessions off the reader that kept them, and readers saturated."""
    front = Front(*(entry(f"r{i}", 0) for i in range(4)), *WRITERS)
    request = front.serve(session="s", prompt_tokens=6000.0)
    home = front.sends[request][0].server
    for _ in range(8):
        front.ask(prompt_tokens=6000.0)
    again = front.ask(session="s", prompt_tokens=6400.0)
    assert front.sends[again][0].server == home


def test_claims_that_are_not_found_lose_their_weight() -> None:
    front = Front()
    for i in range(20):
        request = front.ask(session="s", prompt_tokens=3000.0)
        front.end(request, AttemptStatus.PREFILLED, detail=0)
        state = front.state.requests[request]
        host = front.endpoint(front.sends[request][0].server)
        cache_trust = front.state.statistics.cache_trust(front.now)
        uncached_cost = front.state.load.uncached_prefill_cost(host, state, cache_trust)
        if i > 10:
            assert uncached_cost > 0.8 * state.prefill_cost


def test_a_held_place_is_taken_even_if_another_writer_has_become_freer() -> None:
    """The note names the reader; matched against the writer, every held place was thrown away."""
    front = Front(READERS[0], *WRITERS)
    first = front.ask(prompt_tokens=20_000.0)
    place = front.one(ReserveDecodeSlot).server
    front.feed(ReservationResult(first, "r1", 0, True))
    front.endpoint(place).statistics.penalty.add(front.now, 1.0)
    front.end(first, AttemptStatus.PREFILLED)
    assert front.one(SendAttempt).server == place
