"""The mechanism of the design page, in normal operation."""

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


def test_the_prefill_cost_is_quadratic_plus_linear() -> None:
    request = Request("q", 0, 0, None, 1000.0, None, None, 2000.0, 0.0, 200.0, False, False)
    state = RequestState(request, IDEMPOTENT_CLASS, IDEMPOTENT_CLASS.latency_objective_ms, 4, 0.0)
    assert state.prefill_cost == pytest.approx(4.25e-5 * 2000**2 + 6.8e-3 * 2000)


def test_a_prefill_goes_to_the_host_with_the_smallest_own_load() -> None:
    harness = RouterHarness()
    harness.submit(prompt_tokens=6000.0)
    busy_host = harness.only_action(SendAttempt).server
    harness.submit(prompt_tokens=2000.0)
    assert harness.only_action(SendAttempt).server != busy_host


def test_one_long_prompt_outweighs_several_short_ones() -> None:
    harness = RouterHarness()
    harness.submit(prompt_tokens=8000.0)
    long_prompt_host = harness.only_action(SendAttempt).server
    other_hosts = {harness.sent_attempts[harness.submit(prompt_tokens=1000.0)][0].server for _ in range(5)}
    assert long_prompt_host not in other_hosts


def test_prefill_hosts_with_negative_freeness_are_still_used() -> None:
    harness = RouterHarness()
    for _ in range(40):
        harness.submit(prompt_tokens=8000.0)
        harness.only_action(SendAttempt)
    request = harness.state.requests["q1"]
    hosts = harness.state.endpoints.prefill_hosts
    freeness = harness.router.freeness.of_prefill_hosts(hosts, request, harness.now)
    assert max(freeness.values()) < 0


def test_among_near_best_hosts_the_last_prefill_host_of_the_session_is_chosen() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(8)), *DECODE_HOSTS)
    first = harness.complete_request(session="s", prompt_tokens=500.0)
    for _ in range(6):
        again = harness.complete_request(session="s", prompt_tokens=500.0)
        assert harness.sent_attempts[again][0].server == harness.sent_attempts[first][0].server


def test_a_session_leaves_a_prefill_host_that_is_not_near_best() -> None:
    harness = RouterHarness(classes=(replace(IDEMPOTENT_CLASS, latency_objective_ms=60_000.0),))
    harness.complete_request(session="s", prompt_tokens=500.0)
    requests = [harness.submit(prompt_tokens=9000.0, session="s", expires_in_ms=90_000.0) for _ in range(4)]
    assert {harness.sent_attempts[request][0].server for request in requests} == {"r1", "r2"}


def test_all_dispatchers_send_a_shared_prefix_to_the_same_prefill_host() -> None:
    harnesses = [
        RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(8)), *DECODE_HOSTS, seed=seed)
        for seed in (1, 2, 3)
    ]
    requests = [
        (harness, harness.complete_request(prefix_id="p", prompt_tokens=500.0))
        for harness in harnesses
        for _ in range(4)
    ]
    chosen_hosts = {harness.sent_attempts[request][0].server for harness, request in requests}
    assert len(chosen_hosts) == 1


def test_all_dispatchers_spread_the_sessions_of_a_prefix_over_the_same_hosts() -> None:
    """Large deployments: a session arrives at many dispatchers, and a hot prefix overloads one host."""
    chosen_hosts: dict[str, set[str]] = {}
    for seed in range(5):
        harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(20)), *DECODE_HOSTS, seed=seed)
        for n in range(40):
            request = harness.complete_request(prefix_id="p", session=f"s{n}", prompt_tokens=500.0)
            chosen_hosts.setdefault(f"s{n}", set()).add(harness.sent_attempts[request][0].server)
    assert all(len(hosts) == 1 for hosts in chosen_hosts.values())
    assert 2 <= len(set.union(*chosen_hosts.values())) <= 5


def test_among_near_best_decode_hosts_the_choice_is_random() -> None:
    first = set()
    for seed in range(10):
        harness = RouterHarness(*PREFILL_HOSTS, *(make_endpoint(f"w{i}", 1) for i in range(10)), seed=seed)
        harness.submit()
        first.add(harness.only_action(ReserveDecodeSlot).server)
    assert len(first) > 3


def test_a_slow_prefill_host_gets_a_low_speed_and_a_new_one_the_average() -> None:
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


def test_a_slot_is_reserved_with_the_prefill_and_used_by_the_decode() -> None:
    harness = RouterHarness()
    request = harness.submit()
    reservation = harness.only_action(ReserveDecodeSlot)
    assert [type(a) for a in harness.actions if not isinstance(a, StartTimer)] == [
        SendAttempt,
        ReserveDecodeSlot,
    ]
    harness.handle(ReservationResult(request, harness.sent_attempts[request][0].server, 0, True))
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server == reservation.server


def test_after_a_refused_reservation_the_next_decode_host_is_tried() -> None:
    harness = RouterHarness()
    request = harness.submit()
    first = harness.only_action(ReserveDecodeSlot).server
    harness.handle(ReservationResult(request, first, 0, False))
    assert harness.only_action(ReserveDecodeSlot).server != first


def test_without_reserve_ahead_no_slot_is_reserved() -> None:
    harness = RouterHarness(reserve_ahead=False)
    request = harness.submit()
    assert not harness.actions_of(ReserveDecodeSlot)
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server in ("w1", "w2")


def test_without_reports_decode_hosts_are_compared_by_own_tokens() -> None:
    harness = RouterHarness()
    request = harness.submit(prompt_tokens=30_000.0)
    first = harness.only_action(ReserveDecodeSlot).server
    harness.handle(ReservationResult(request, harness.sent_attempts[request][0].server, 0, True))
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server != first


def test_decode_hosts_are_compared_by_reported_share_plus_own_tokens_since() -> None:
    harness = RouterHarness(load_report_fields=("x0",))
    for name, share in (("w1", 0.7), ("w2", 0.2)):
        harness.state.load.add_report(harness.endpoint(name), (share,), harness.now)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w2"
    harness.submit(prompt_tokens=70_000.0)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w1"


def test_the_expected_answer_replaces_the_token_limit() -> None:
    request = Request("q", 0, 0, None, 1000.0, 2000.0, None, 1000.0, 0.0, 500.0, False, False)
    assert (
        RequestState(request, IDEMPOTENT_CLASS, IDEMPOTENT_CLASS.latency_objective_ms, 4, 0.0).tokens
        == 1000.0 + 2000.0 / 50.0
    )


def test_among_near_best_decode_hosts_the_cell_of_the_prefill_host_then_its_zone_is_preferred() -> None:
    prefill_host = make_endpoint("r1", 0, cell=3, zone=1)
    elsewhere = make_endpoint("w1", 1, cell=1)
    same_zone = make_endpoint("w2", 1, cell=2, zone=1)
    same_cell = make_endpoint("w3", 1, cell=3, zone=1)
    harness = RouterHarness(prefill_host, elsewhere, same_zone, same_cell)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w3"
    harness = RouterHarness(prefill_host, elsewhere, same_zone)
    harness.submit()
    assert harness.only_action(ReserveDecodeSlot).server == "w2"


def test_a_mixed_host_is_in_both_pools() -> None:
    harness = RouterHarness(make_endpoint("m1", 2))
    request = harness.submit()
    assert harness.only_action(SendAttempt).server == "m1"
    assert not harness.actions_of(ReserveDecodeSlot)
    harness.start_stream(request)
    harness.finish_attempt(request, AttemptStatus.OK)
    harness = RouterHarness(make_endpoint("r1", 0), make_endpoint("m1", 2))
    assert {host.name for host in harness.state.endpoints.decode_hosts} == {"m1"}
    assert {host.name for host in harness.state.endpoints.prefill_hosts} == {"r1", "m1"}


def test_a_decode_host_prefills_if_allowed_and_no_prefill_host_is_left() -> None:
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


def test_prefills_that_only_time_out_leave_a_speed_above_zero() -> None:
    harness = RouterHarness(max_attempts=2)
    for _ in range(30):
        harness.finish_attempt(harness.submit(prompt_tokens=10.0), AttemptStatus.TIMEOUT, after=900.0)
    hosts = harness.state.endpoints.prefill_hosts
    assert all(harness.state.load.prefill_speed(host, harness.now) > 0 for host in hosts)


def test_a_session_stays_at_its_prefill_host_despite_small_differences_of_load() -> None:
    """Regression: small differences of load moved sessions away from cached prompts, and hosts saturated."""
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(4)), *DECODE_HOSTS)
    request = harness.complete_request(session="s", prompt_tokens=6000.0)
    host = harness.sent_attempts[request][0].server
    for _ in range(8):
        harness.submit(prompt_tokens=6000.0)
    again = harness.submit(session="s", prompt_tokens=6400.0)
    assert harness.sent_attempts[again][0].server == host


def test_expected_cached_tokens_that_are_not_found_lose_their_weight() -> None:
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


def test_a_reserved_slot_is_used_even_if_another_decode_host_has_become_freer() -> None:
    """Regression: the event names the prefill host; compared with the decode host, no slot was ever used."""
    harness = RouterHarness(PREFILL_HOSTS[0], *DECODE_HOSTS)
    first = harness.submit(prompt_tokens=20_000.0)
    reserved_host = harness.only_action(ReserveDecodeSlot).server
    harness.handle(ReservationResult(first, "r1", 0, True))
    harness.endpoint(reserved_host).statistics.penalty.add(harness.now, 1.0)
    harness.finish_attempt(first, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server == reserved_host
