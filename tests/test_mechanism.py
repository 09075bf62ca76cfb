"""The ordinary path, as the design page words it."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.router_harness import DECODE_HOSTS, IDEMPOTENT_CLASS, PREFILL_HOSTS, RouterHarness, make_endpoint
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
    state = RequestState(request, IDEMPOTENT_CLASS, IDEMPOTENT_CLASS.latency_objective_ms, 4, 0.0)
    assert state.prefill_cost == pytest.approx(4.25e-5 * 2000**2 + 6.8e-3 * 2000)


def test_the_read_goes_where_the_own_backlog_is_smallest() -> None:
    harness = RouterHarness()
    harness.submit(prompt_tokens=6000.0)
    busy = harness.only_action(SendAttempt).server
    harness.submit(prompt_tokens=2000.0)
    assert harness.only_action(SendAttempt).server != busy


def test_one_long_prompt_outweighs_several_short_ones() -> None:
    harness = RouterHarness()
    harness.submit(prompt_tokens=8000.0)
    long_at = harness.only_action(SendAttempt).server
    others = {harness.sent_attempts[harness.submit(prompt_tokens=1000.0)][0].server for _ in range(5)}
    assert long_at not in others


def test_every_reader_below_zero_still_serves() -> None:
    harness = RouterHarness()
    for _ in range(40):
        harness.submit(prompt_tokens=8000.0)
        harness.only_action(SendAttempt)
    request = harness.state.requests["q1"]
    hosts = harness.state.endpoints.prefill_hosts
    freeness = harness.router.freeness.of_prefill_hosts(hosts, request, harness.now)
    assert max(freeness.values()) < 0


def test_among_near_best_the_sessions_last_reader_wins() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(8)), *DECODE_HOSTS)
    first = harness.complete_request(session="s", prompt_tokens=500.0)
    for _ in range(6):
        again = harness.complete_request(session="s", prompt_tokens=500.0)
        assert harness.sent_attempts[again][0].server == harness.sent_attempts[first][0].server


def test_a_session_does_not_follow_its_reader_past_the_near_best() -> None:
    harness = RouterHarness(classes=(replace(IDEMPOTENT_CLASS, latency_objective_ms=60_000.0),))
    harness.complete_request(session="s", prompt_tokens=500.0)
    asked = [harness.submit(prompt_tokens=9000.0, session="s", expires_in_ms=90_000.0) for _ in range(4)]
    assert {harness.sent_attempts[request][0].server for request in asked} == {"r1", "r2"}


def test_a_shared_beginning_keeps_to_one_reader_and_all_fronts_agree() -> None:
    harnesses = [
        RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(8)), *DECODE_HOSTS, seed=seed)
        for seed in (1, 2, 3)
    ]
    asked = [
        (harness, harness.complete_request(prefix_id="p", prompt_tokens=500.0))
        for harness in harnesses
        for _ in range(4)
    ]
    picks = {harness.sent_attempts[request][0].server for harness, request in asked}
    assert len(picks) == 1


def test_the_sessions_of_one_beginning_are_spread_alike_at_all_fronts() -> None:
    """Grown deployments: a session comes to many fronts, and a hot beginning is too much for one reader."""
    picks: dict[str, set[str]] = {}
    for seed in range(5):
        harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(20)), *DECODE_HOSTS, seed=seed)
        for n in range(40):
            request = harness.complete_request(prefix_id="p", session=f"s{n}", prompt_tokens=500.0)
            picks.setdefault(f"s{n}", set()).add(harness.sent_attempts[request][0].server)
    assert all(len(at) == 1 for at in picks.values())
    assert 2 <= len(set.union(*picks.values())) <= 5


def test_near_best_writers_do_not_fall_to_the_first_in_the_list() -> None:
    first = set()
    for seed in range(10):
        harness = RouterHarness(*PREFILL_HOSTS, *(make_endpoint(f"w{i}", 1) for i in range(10)), seed=seed)
        harness.submit()
        first.add(harness.only_action(ReserveDecodeSlot).server)
    assert len(first) > 3


def test_a_slow_readers_learned_speed_falls_and_the_unheard_count_average() -> None:
    harness = RouterHarness()
    load = harness.state.load
    for _ in range(12):
        request = harness.submit(prompt_tokens=1000.0)
        slow = harness.sent_attempts[request][0].server == "r1"
        harness.finish_attempt(request, AttemptStatus.PREFILLED, after=400.0 if slow else 100.0)
    speeds = {name: load.prefill_speed(harness.endpoint(name), harness.now) for name in ("r1", "r2")}
    assert speeds["r1"] < speeds["r2"]
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint("r3", 0))
    assert speeds["r1"] < load.prefill_speed(harness.endpoint("r3"), harness.now) < speeds["r2"]


def test_a_place_is_held_with_the_read_and_taken_by_the_send() -> None:
    harness = RouterHarness()
    request = harness.submit()
    place = harness.only_action(ReserveDecodeSlot)
    assert [type(a) for a in harness.actions if not isinstance(a, StartTimer)] == [
        SendAttempt,
        ReserveDecodeSlot,
    ]
    harness.handle(ReservationResult(request, harness.sent_attempts[request][0].server, 0, True))
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server == place.server


def test_without_a_place_the_next_writer_is_tried() -> None:
    harness = RouterHarness()
    request = harness.submit()
    first = harness.only_action(ReserveDecodeSlot).server
    harness.handle(ReservationResult(request, first, 0, False))
    assert harness.only_action(ReserveDecodeSlot).server != first


def test_no_place_is_asked_for_where_the_site_has_none() -> None:
    harness = RouterHarness(reserve_ahead=False)
    request = harness.submit()
    assert not harness.actions_of(ReserveDecodeSlot)
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server in ("w1", "w2")


def test_writers_go_by_own_streams_in_tokens_without_reports() -> None:
    harness = RouterHarness()
    request = harness.submit(prompt_tokens=30_000.0)
    first = harness.only_action(ReserveDecodeSlot).server
    harness.handle(ReservationResult(request, harness.sent_attempts[request][0].server, 0, True))
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server != first


def test_writers_go_by_reported_share_plus_own_streams_since() -> None:
    harness = RouterHarness(load_report_fields=("x0",))
    for name, share in (("w1", 0.7), ("w2", 0.2)):
        harness.state.load.add_report(harness.endpoint(name), (share,), harness.now)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w2"
    harness.submit(prompt_tokens=70_000.0)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w1"


def test_the_hint_stands_for_the_told_maximum() -> None:
    request = Request("q", 0, 0, None, 1000.0, 2000.0, None, 1000.0, 0.0, 500.0, False, False)
    assert (
        RequestState(request, IDEMPOTENT_CLASS, IDEMPOTENT_CLASS.latency_objective_ms, 4, 0.0).tokens
        == 1000.0 + 2000.0 / 50.0
    )


def test_near_best_writers_in_the_readers_cell_then_zone_are_preferred() -> None:
    reader = make_endpoint("r1", 0, cell=3, zone=1)
    far = make_endpoint("w1", 1, cell=1)
    zone = make_endpoint("w2", 1, cell=2, zone=1)
    cell = make_endpoint("w3", 1, cell=3, zone=1)
    harness = RouterHarness(reader, far, zone, cell)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w3"
    harness = RouterHarness(reader, far, zone)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w2"


def test_a_mixed_server_stands_in_both_lists() -> None:
    harness = RouterHarness(make_endpoint("m1", 2))
    request = harness.submit()
    assert harness.only_action(SendAttempt).server == "m1"
    assert not harness.actions_of(ReserveDecodeSlot)
    harness.start_stream(request)
    harness.finish_attempt(request, AttemptStatus.OK)
    harness = RouterHarness(make_endpoint("r1", 0), make_endpoint("m1", 2))
    assert {host.name for host in harness.state.endpoints.decode_hosts} == {"m1"}
    assert {host.name for host in harness.state.endpoints.prefill_hosts} == {"r1", "m1"}


def test_a_writer_reads_itself_where_it_may_and_no_reader_is_left() -> None:
    harness = RouterHarness(*DECODE_HOSTS, decode_hosts_prefill=True)
    harness.submit()
    assert harness.only_action(SendAttempt).server in ("w1", "w2")
    harness = RouterHarness(*DECODE_HOSTS)
    harness.submit()
    harness.only_action(RejectRequest)


def test_equal_events_give_equal_actions() -> None:
    logs = []
    for _ in range(2):
        harness = RouterHarness()
        log = []
        for i in range(30):
            request = harness.submit(prefix_id=f"p{i % 3}", session=f"s{i % 5}", prompt_tokens=500.0 + 37 * i)
            log += harness.actions
            log += harness.finish_attempt(request, AttemptStatus.PREFILLED)
        logs.append(log)
    assert logs[0] == logs[1]


def test_reads_that_only_time_out_leave_a_speed_to_divide_by() -> None:
    harness = RouterHarness(max_attempts=2)
    for _ in range(30):
        harness.finish_attempt(harness.submit(prompt_tokens=10.0), AttemptStatus.TIMEOUT, after=900.0)
    hosts = harness.state.endpoints.prefill_hosts
    assert all(harness.state.load.prefill_speed(host, harness.now) > 0 for host in hosts)


def test_a_reader_that_keeps_the_session_is_worth_waiting_for() -> None:
    """Small differences of backlog moved sessions off the reader that kept them, and readers saturated."""
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(4)), *DECODE_HOSTS)
    request = harness.complete_request(session="s", prompt_tokens=6000.0)
    home = harness.sent_attempts[request][0].server
    for _ in range(8):
        harness.submit(prompt_tokens=6000.0)
    again = harness.submit(session="s", prompt_tokens=6400.0)
    assert harness.sent_attempts[again][0].server == home


def test_claims_that_are_not_found_lose_their_weight() -> None:
    harness = RouterHarness()
    for i in range(20):
        request = harness.submit(session="s", prompt_tokens=3000.0)
        harness.finish_attempt(request, AttemptStatus.PREFILLED, detail=0)
        state = harness.state.requests[request]
        host = harness.endpoint(harness.sent_attempts[request][0].server)
        cache_trust = harness.state.statistics.cache_trust(harness.now)
        uncached_cost = harness.state.load.uncached_prefill_cost(host, state, cache_trust)
        if i > 10:
            assert uncached_cost > 0.8 * state.prefill_cost


def test_a_held_place_is_taken_even_if_another_writer_has_become_freer() -> None:
    """The note names the reader; matched against the writer, every held place was thrown away."""
    harness = RouterHarness(PREFILL_HOSTS[0], *DECODE_HOSTS)
    first = harness.submit(prompt_tokens=20_000.0)
    place = harness.only_action(ReserveDecodeSlot).server
    harness.handle(ReservationResult(first, "r1", 0, True))
    harness.endpoint(place).statistics.penalty.add(harness.now, 1.0)
    harness.finish_attempt(first, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server == place
