"""Defences: each failure found has its small test here."""

from __future__ import annotations

from msgspec.structs import replace

from tests.router_harness import DECODE_HOSTS, IDEMPOTENT_CLASS, PREFILL_HOSTS, RouterHarness, make_endpoint
from violetstack.policy.outliers import penalize
from violetstack.policy_api import (
    AttemptStatus,
    HealthCheckResult,
    RejectRequest,
    ReserveDecodeSlot,
    SendAttempt,
    SendHealthCheck,
    StreamStarted,
    TenantSettings,
    TimerFired,
    UpdateScope,
)

TENANTS = (TenantSettings(0.5, 4.0), TenantSettings(0.5, 1000.0))


def warm_up(harness: RouterHarness, rounds: int = 20) -> None:
    for _ in range(rounds):
        harness.finish_attempt(harness.submit(), AttemptStatus.PREFILLED, after=100.0)


def test_a_reader_that_fails_fast_stops_looking_free() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(4)), *DECODE_HOSTS)
    sent = 0
    bad = ""
    for _ in range(60):
        request = harness.submit(prompt_tokens=1500.0)
        at = harness.sent_attempts[request][0].server
        bad = bad or at
        sent += at == bad
        harness.finish_attempt(
            request,
            AttemptStatus.ERROR if at == bad else AttemptStatus.PREFILLED,
            after=4.0 if at == bad else 50.0,
        )
    assert 1 <= sent < 10


def test_a_failed_reader_is_tried_again_when_its_price_has_faded() -> None:
    harness = RouterHarness(*PREFILL_HOSTS, *DECODE_HOSTS)
    request = harness.submit()
    bad = harness.sent_attempts[request][0].server
    harness.finish_attempt(request, AttemptStatus.ERROR, after=4.0)
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    harness.now += 30_000.0
    picks = {
        harness.sent_attempts[harness.submit(prefix_id=f"p{i}", prompt_tokens=100.0)][0].server
        for i in range(6)
    }
    assert bad in picks


def test_a_hung_reader_is_left_without_any_outcome() -> None:
    harness = RouterHarness()
    warm_up(harness)
    hung = harness.sent_attempts[harness.submit()][0].server
    harness.now += 5_000.0
    later = [harness.sent_attempts[harness.submit(prompt_tokens=500.0)][0].server for _ in range(5)]
    assert later.count(hung) <= 1


def test_when_all_readers_fail_the_least_blamed_serves() -> None:
    harness = RouterHarness(max_attempts=2)
    for _ in range(10):
        harness.finish_attempt(harness.submit(), AttemptStatus.ERROR, after=4.0)
        assert len(harness.actions_of(RejectRequest)) == 1
    harness.submit()
    harness.only_action(SendAttempt)


def test_a_read_is_bounded_and_read_again_while_attempts_allow() -> None:
    harness = RouterHarness()
    warm_up(harness)
    request = harness.submit()
    first = harness.only_action(SendAttempt)
    assert harness.now < first.deadline_ms < harness.now + 3000.0
    harness.finish_attempt(request, AttemptStatus.TIMEOUT, after=500.0)
    again = harness.only_action(SendAttempt)
    assert again.server != first.server
    assert again.deadline_ms == harness.now - 500.0 + 3000.0


def test_a_jammed_reader_pool_refuses_early_with_advice() -> None:
    """Queues of seconds at every reader: each read ended just after it was wanted."""
    harness = RouterHarness()
    warm_up(harness)
    for _ in range(200):
        harness.submit()
        if harness.actions_of(RejectRequest):
            break
    refusal = harness.only_action(RejectRequest)
    assert 0 < refusal.retry_after_ms <= 1000.0
    assert not harness.actions_of(SendAttempt)


def test_the_cheapest_worth_is_refused_first() -> None:
    classes = (replace(IDEMPOTENT_CLASS, priority_weight=1.0), replace(IDEMPOTENT_CLASS, priority_weight=4.0))
    admitted = {}
    for cls in (0, 1):
        harness = RouterHarness(classes=classes)
        warm_up(harness)
        admitted[cls] = 0
        for _ in range(200):
            harness.submit(class_index=cls)
            admitted[cls] += len(harness.actions_of(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_a_tenant_beyond_its_share_is_refused_first() -> None:
    admitted = {}
    for tenant in (0, 1):
        harness = RouterHarness(tenants=TENANTS, over_quota_weight=0.1)
        warm_up(harness)
        admitted[tenant] = 0
        for _ in range(200):
            harness.submit(tenant_index=tenant)
            admitted[tenant] += len(harness.actions_of(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_one_read_of_ours_is_always_let_in() -> None:
    harness = RouterHarness()
    warm_up(harness)
    for _ in range(50):
        harness.finish_attempt(harness.submit(prompt_tokens=30_000.0), AttemptStatus.PREFILLED, after=2900.0)
        harness.only_action(SendAttempt)


def test_a_front_that_heard_nothing_refuses_nothing_by_estimate() -> None:
    harness = RouterHarness()
    for _ in range(20):
        harness.submit(prompt_tokens=6000.0)
        harness.only_action(SendAttempt)


def test_refusals_end_with_the_jam_that_caused_them() -> None:
    """Incidents i85aa01 and i6a481e: past waits kept every request refused long after the writers drained."""
    harness = RouterHarness()
    jammed = []
    for _ in range(10):
        request = harness.submit()
        harness.finish_attempt(request, AttemptStatus.PREFILLED)
        jammed.append(request)
    for request in jammed:
        harness.handle(
            StreamStarted(request, harness.sent_attempts[request][-1].server, 1, 2500.0), after=250.0
        )
    harness.submit(after=10.0)
    harness.only_action(SendAttempt)


def test_writes_that_do_not_begin_close_the_door() -> None:
    harness = RouterHarness()
    for _ in range(20):
        request = harness.submit()
        harness.finish_attempt(request, AttemptStatus.PREFILLED)
        harness.start_stream(request)
    for _ in range(60):
        request = harness.submit(after=20.0)
        if harness.actions_of(RejectRequest):
            break
        harness.finish_attempt(request, AttemptStatus.PREFILLED, after=5.0)
    harness.only_action(RejectRequest)


def test_a_dear_class_with_a_short_aim_outlasts_a_cheap_patient_one() -> None:
    """Incident ic7164e: bounds by each class's own aim refused the dear, short-aimed class first."""
    classes = (
        replace(IDEMPOTENT_CLASS, priority_weight=1.0, latency_objective_ms=3000.0),
        replace(IDEMPOTENT_CLASS, priority_weight=2.0, latency_objective_ms=700.0),
    )
    admitted = {}
    for cls in (0, 1):
        harness = RouterHarness(classes=classes)
        warm_up(harness)
        admitted[cls] = 0
        for _ in range(200):
            harness.submit(class_index=cls)
            admitted[cls] += len(harness.actions_of(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_attempts_cut_in_one_batch_are_one_failure() -> None:
    """Incident i9a84fb: one broken connection with several attempts ejected its server for seconds."""
    harness = RouterHarness(PREFILL_HOSTS[0], *DECODE_HOSTS)
    asked = [harness.submit(prompt_tokens=100.0) for _ in range(6)]
    for request in asked:
        harness.finish_attempt(request, AttemptStatus.RESET, after=0.0, duration_ms=50.0)
    reader = harness.endpoint("r1")
    assert 0.1 <= reader.statistics.penalty.value_at(harness.now) <= 0.3


def test_what_a_failure_leaves_counts_at_readers_alone_too() -> None:
    harness = RouterHarness()
    request = harness.state.requests[harness.submit(prompt_tokens=100.0)]
    host = harness.endpoint("r2")
    before = harness.router.freeness.of_prefill_hosts([host], request, harness.now)["r2"]
    penalize(host, 0.0, harness.now)
    assert harness.router.freeness.of_prefill_hosts([host], request, harness.now)["r2"] <= before - 0.2


def test_a_home_is_charged_only_what_it_does_not_keep() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(6)), *DECODE_HOSTS)
    state = harness.state
    request = state.requests[harness.submit(prefix_id="p", prefix_tokens=1500.0, session="s")]
    hosts = state.endpoints.affinity.preferred_hosts(request.params)
    cache_trust = state.statistics.cache_trust(harness.now)
    charged = [state.load.uncached_prefill_cost(host, request, cache_trust) for host in hosts]
    assert charged[0] < charged[1] == charged[2] < charged[3] == charged[5]


def test_a_jam_is_seen_from_a_few_requests_over_many_servers() -> None:
    """Grown deployments: a front has next to nothing out, and every request begins too late."""
    readers = [make_endpoint(f"r{i}", 0) for i in range(30)]
    refused = {}
    for late in (False, True):
        harness = RouterHarness(*readers, *DECODE_HOSTS)
        refused[late] = 0
        for _ in range(60):
            request = harness.submit(after=700.0)
            refused[late] += len(harness.actions_of(RejectRequest))
            if request in harness.sent_attempts:
                harness.finish_attempt(request, AttemptStatus.PREFILLED, after=900.0 if late else 90.0)
                harness.start_stream(request)
                harness.finish_attempt(request, AttemptStatus.OK)
    assert refused[False] == 0
    assert 20 < refused[True] < 60  # some are always let in, so that the end of the jam is seen


def test_a_few_lost_reads_are_no_jam() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(30)), *DECODE_HOSTS)
    for n in range(60):
        request = harness.submit(after=700.0)
        harness.only_action(SendAttempt)
        if n % 5 == 0:
            harness.finish_attempt(request, AttemptStatus.TIMEOUT, after=1000.0)
        harness.finish_attempt(request, AttemptStatus.PREFILLED, after=90.0)
        harness.start_stream(request)
        harness.finish_attempt(request, AttemptStatus.OK)


def test_time_without_an_outcome_lowers_a_readers_speed() -> None:
    harness = RouterHarness()
    warm_up(harness)
    load = harness.state.load
    host = harness.endpoint(harness.sent_attempts[harness.submit()][0].server)
    before = load.prefill_speed(host, harness.now)
    assert load.prefill_speed(host, harness.now + 3000.0) < before / 2


def test_a_restart_resets_what_was_learned() -> None:
    harness = RouterHarness()
    endpoint = harness.endpoint("r1")
    penalize(endpoint, 0.0, harness.now)
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint("r1", 0, started_ms=harness.now))
    assert endpoint.statistics.penalty.value_at(harness.now) == 0.0
    assert endpoint.statistics.consecutive_failures == 0


def test_a_further_read_goes_to_a_reader_that_has_not_failed_it() -> None:
    harness = RouterHarness()
    harness.endpoint("r2").statistics.penalty.add(harness.now, 50.0)
    request = harness.submit()
    assert harness.sent_attempts[request][0].server == "r1"
    harness.finish_attempt(request, AttemptStatus.ERROR, after=4.0)
    assert harness.only_action(SendAttempt).server == "r2"


def decode_freeness(harness: RouterHarness, name: str, now: float) -> float:
    return harness.router.freeness.of_decode_hosts([harness.endpoint(name)], now)[name]


def test_own_streams_weigh_by_the_number_of_fronts_without_reports() -> None:
    used = []
    for fleet_size in (1, 4):
        harness = RouterHarness(dispatcher_count=fleet_size)
        harness.submit(prompt_tokens=9800.0)
        place = harness.only_action(ReserveDecodeSlot).server
        used.append(1.0 - decode_freeness(harness, place, harness.now))
    assert abs(used[1] - 4 * used[0]) < 1e-9


def test_an_old_report_fades_towards_the_fleets_mean() -> None:
    harness = RouterHarness(load_report_fields=("x0",))
    for name, share in (("w1", 0.8), ("w2", 0.2)):
        harness.state.load.add_report(harness.endpoint(name), (share,), harness.now)
    fresh = decode_freeness(harness, "w1", harness.now)
    old = decode_freeness(harness, "w1", harness.now + 20_000.0)
    assert abs(fresh - 0.2) < 0.01 and abs(old - 0.5) < 0.02


def test_memory_size_is_learned_from_reports_against_own_streams() -> None:
    harness = RouterHarness(load_report_fields=("x0",))
    load = harness.state.load
    harness.submit(prompt_tokens=30_000.0)
    host = harness.endpoint(harness.only_action(ReserveDecodeSlot).server)
    for _ in range(30):
        load.add_report(host, (0.9,), harness.now)
    assert 0.5 * 100_000.0 <= host.memory_tokens(harness.now) < 0.8 * 100_000.0


def test_after_an_error_at_a_writer_the_prompt_is_read_again() -> None:
    """Incident i85aa01: the state is gone after an error, the next writer answered no_room with note 1."""
    harness = RouterHarness(reserve_ahead=False)
    request = harness.submit()
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    harness.finish_attempt(request, AttemptStatus.ERROR, after=4.0)
    assert harness.only_action(SendAttempt).server in ("r1", "r2")


def test_servers_are_polled_in_turn_where_only_polls_carry_reports() -> None:
    harness = RouterHarness(
        health_checks_report_load=True, health_checks_allowed=True, load_report_fields=("x0",)
    )
    polled = set()
    for _ in range(4):
        harness.handle(TimerFired("poll"), after=500.0)
        polled.add(harness.only_action(SendHealthCheck).server)
    assert polled == {"r1", "r2", "w1", "w2"}
    harness.handle(HealthCheckResult("w1", AttemptStatus.OK, 1.0, (0.4,)))
    assert harness.endpoint("w1").statistics.memory.share == 0.4
