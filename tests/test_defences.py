"""Protection against failures: one small test for each failure that was found."""

from __future__ import annotations

import pytest
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
from violetstack.tracking.affinity import HOSTS_PER_PREFIX

TENANTS = (TenantSettings(0.5, 4.0), TenantSettings(0.5, 1000.0))


def warm_up(harness: RouterHarness, rounds: int = 20) -> None:
    for _ in range(rounds):
        harness.finish_attempt(harness.submit(), AttemptStatus.PREFILLED, after=100.0)


def test_a_prefill_host_that_fails_fast_is_avoided() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(4)), *DECODE_HOSTS)
    sent = 0
    failing_host = ""
    for _ in range(60):
        request = harness.submit(prompt_tokens=1500.0)
        host = harness.sent_attempts[request][0].server
        failing_host = failing_host or host
        sent += host == failing_host
        harness.finish_attempt(
            request,
            AttemptStatus.ERROR if host == failing_host else AttemptStatus.PREFILLED,
            after=4.0 if host == failing_host else 50.0,
        )
    assert 1 <= sent < 10


def test_a_failed_prefill_host_is_used_again_after_its_penalty_decayed() -> None:
    harness = RouterHarness(*PREFILL_HOSTS, *DECODE_HOSTS)
    request = harness.submit()
    failing_host = harness.sent_attempts[request][0].server
    harness.finish_attempt(request, AttemptStatus.ERROR, after=4.0)
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    harness.now += 30_000.0
    chosen_hosts = {
        harness.sent_attempts[harness.submit(prefix_id=f"p{i}", prompt_tokens=100.0)][0].server
        for i in range(6)
    }
    assert failing_host in chosen_hosts


def test_a_hung_prefill_host_is_avoided_without_any_outcome() -> None:
    harness = RouterHarness()
    warm_up(harness)
    hung_host = harness.sent_attempts[harness.submit()][0].server
    harness.now += 5_000.0
    later = [harness.sent_attempts[harness.submit(prompt_tokens=500.0)][0].server for _ in range(5)]
    assert later.count(hung_host) <= 1


def test_when_all_prefill_hosts_fail_the_least_penalized_is_used() -> None:
    harness = RouterHarness(max_attempts=2)
    for _ in range(10):
        harness.finish_attempt(harness.submit(), AttemptStatus.ERROR, after=4.0)
        assert len(harness.actions_of(RejectRequest)) == 1
    harness.submit()
    harness.only_action(SendAttempt)


def test_a_prefill_times_out_and_is_retried_while_attempts_are_left() -> None:
    harness = RouterHarness()
    warm_up(harness)
    request = harness.submit()
    first = harness.only_action(SendAttempt)
    assert harness.now < first.deadline_ms < harness.now + 3000.0
    harness.finish_attempt(request, AttemptStatus.TIMEOUT, after=500.0)
    retry = harness.only_action(SendAttempt)
    assert retry.server != first.server
    assert retry.deadline_ms == harness.now - 500.0 + 3000.0


def test_overloaded_prefill_hosts_lead_to_early_rejections_with_retry_advice() -> None:
    """Guards against queues of seconds at all prefill hosts, where every prefill ends just too late."""
    harness = RouterHarness()
    warm_up(harness)
    for _ in range(200):
        harness.submit()
        if harness.actions_of(RejectRequest):
            break
    rejection = harness.only_action(RejectRequest)
    assert 0 < rejection.retry_after_ms <= 1000.0
    assert not harness.actions_of(SendAttempt)


def test_the_class_of_the_lowest_priority_weight_is_rejected_first() -> None:
    classes = (replace(IDEMPOTENT_CLASS, priority_weight=1.0), replace(IDEMPOTENT_CLASS, priority_weight=4.0))
    admitted = {}
    for class_index in (0, 1):
        harness = RouterHarness(classes=classes)
        warm_up(harness)
        admitted[class_index] = 0
        for _ in range(200):
            harness.submit(class_index=class_index)
            admitted[class_index] += len(harness.actions_of(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_a_tenant_beyond_its_quota_is_rejected_first() -> None:
    admitted = {}
    for tenant in (0, 1):
        harness = RouterHarness(tenants=TENANTS, over_quota_weight=0.1)
        warm_up(harness)
        admitted[tenant] = 0
        for _ in range(200):
            harness.submit(tenant_index=tenant)
            admitted[tenant] += len(harness.actions_of(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_a_single_prefill_of_this_dispatcher_is_always_admitted() -> None:
    harness = RouterHarness()
    warm_up(harness)
    for _ in range(50):
        harness.finish_attempt(harness.submit(prompt_tokens=30_000.0), AttemptStatus.PREFILLED, after=2900.0)
        harness.only_action(SendAttempt)


def test_without_statistics_nothing_is_rejected_by_an_estimate() -> None:
    harness = RouterHarness()
    for _ in range(20):
        harness.submit(prompt_tokens=6000.0)
        harness.only_action(SendAttempt)


def test_rejections_end_when_the_decode_queues_have_drained() -> None:
    """Incidents i85aa01 and i6a481e: estimates from past waits kept rejecting after the queues drained."""
    harness = RouterHarness()
    waiting = []
    for _ in range(10):
        request = harness.submit()
        harness.finish_attempt(request, AttemptStatus.PREFILLED)
        waiting.append(request)
    for request in waiting:
        harness.handle(
            StreamStarted(request, harness.sent_attempts[request][-1].server, 1, 2500.0), after=250.0
        )
    harness.submit(after=10.0)
    harness.only_action(SendAttempt)


def test_decodes_without_a_first_token_lead_to_rejections() -> None:
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


def test_a_class_of_high_weight_and_short_objective_is_rejected_later_than_one_of_low_weight() -> None:
    """Incident ic7164e: limits by each class's own objective rejected the class of high weight first."""
    classes = (
        replace(IDEMPOTENT_CLASS, priority_weight=1.0, latency_objective_ms=3000.0),
        replace(IDEMPOTENT_CLASS, priority_weight=2.0, latency_objective_ms=700.0),
    )
    admitted = {}
    for class_index in (0, 1):
        harness = RouterHarness(classes=classes)
        warm_up(harness)
        admitted[class_index] = 0
        for _ in range(200):
            harness.submit(class_index=class_index)
            admitted[class_index] += len(harness.actions_of(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_attempts_that_fail_in_one_batch_count_as_one_failure() -> None:
    """Incident i9a84fb: one broken connection with several attempts ejected its host for seconds."""
    harness = RouterHarness(PREFILL_HOSTS[0], *DECODE_HOSTS)
    requests = [harness.submit(prompt_tokens=100.0) for _ in range(6)]
    for request in requests:
        harness.finish_attempt(request, AttemptStatus.RESET, after=0.0, duration_ms=50.0)
    host = harness.endpoint("r1")
    assert 0.1 <= host.statistics.penalty.value_at(harness.now) <= 0.3


def test_a_failure_lowers_the_freeness_of_a_prefill_host() -> None:
    harness = RouterHarness()
    request = harness.state.requests[harness.submit(prompt_tokens=100.0)]
    host = harness.endpoint("r2")
    before = harness.router.freeness.of_prefill_hosts([host], request, harness.now)["r2"]
    penalize(host, 0.0, harness.now)
    assert harness.router.freeness.of_prefill_hosts([host], request, harness.now)["r2"] <= before - 0.2


def test_expected_cached_tokens_lower_the_prefill_cost_at_preferred_hosts() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(6)), *DECODE_HOSTS)
    state = harness.state
    request = state.requests[harness.submit(prefix_id="p", prefix_tokens=1500.0, session="s")]
    preferred = state.endpoints.affinity.preferred_hosts(request, harness.now)
    hosts = [*preferred, *(host for host in state.endpoints.prefill_hosts if host not in preferred)]
    assert len(preferred) == HOSTS_PER_PREFIX and len(hosts) == 6
    cache_trust = state.statistics.cache_trust(harness.now)
    costs = [state.load.uncached_prefill_cost(host, request, cache_trust) for host in hosts]
    assert costs[0] < costs[1] == costs[2] < costs[3] == costs[5]


def test_overload_is_detected_from_few_requests_over_many_hosts() -> None:
    """Large deployments: each dispatcher has few requests in flight, but all of them start too late."""
    prefill_hosts = [make_endpoint(f"r{i}", 0) for i in range(30)]
    rejected = {}
    for late in (False, True):
        harness = RouterHarness(*prefill_hosts, *DECODE_HOSTS)
        rejected[late] = 0
        for _ in range(60):
            request = harness.submit(after=700.0)
            rejected[late] += len(harness.actions_of(RejectRequest))
            if request in harness.sent_attempts:
                harness.finish_attempt(request, AttemptStatus.PREFILLED, after=900.0 if late else 90.0)
                harness.start_stream(request)
                harness.finish_attempt(request, AttemptStatus.OK)
    assert rejected[False] == 0
    assert 20 < rejected[True] < 60  # some are always admitted, so that the end of the overload is noticed


def test_a_few_timed_out_prefills_are_not_taken_for_overload() -> None:
    harness = RouterHarness(*(make_endpoint(f"r{i}", 0) for i in range(30)), *DECODE_HOSTS)
    for n in range(60):
        request = harness.submit(after=700.0)
        harness.only_action(SendAttempt)
        if n % 5 == 0:
            harness.finish_attempt(request, AttemptStatus.TIMEOUT, after=1000.0)
        harness.finish_attempt(request, AttemptStatus.PREFILLED, after=90.0)
        harness.start_stream(request)
        harness.finish_attempt(request, AttemptStatus.OK)


def test_time_without_an_outcome_lowers_the_speed_of_a_prefill_host() -> None:
    harness = RouterHarness()
    warm_up(harness)
    load = harness.state.load
    host = harness.endpoint(harness.sent_attempts[harness.submit()][0].server)
    before = load.prefill_speed(host, harness.now)
    assert load.prefill_speed(host, harness.now + 3000.0) < before / 2


def test_a_restart_resets_the_statistics_of_an_endpoint() -> None:
    harness = RouterHarness()
    endpoint = harness.endpoint("r1")
    penalize(endpoint, 0.0, harness.now)
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint("r1", 0, started_ms=harness.now))
    assert endpoint.statistics.penalty.value_at(harness.now) == 0.0
    assert endpoint.statistics.consecutive_failures == 0


@pytest.mark.parametrize("spoilt", [False, True])
def test_after_the_first_token_only_an_answer_that_cannot_be_read_is_penalized(spoilt: bool) -> None:
    harness = RouterHarness()
    request = harness.submit()
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    host = harness.endpoint(harness.sent_attempts[request][-1].server)
    harness.start_stream(request)
    harness.finish_attempt(request, AttemptStatus.RESET, request_finished=True, answer_spoilt=spoilt)
    assert host.statistics.consecutive_failures == int(spoilt)


def test_a_retry_goes_to_a_prefill_host_that_has_not_failed_the_request() -> None:
    harness = RouterHarness()
    harness.endpoint("r2").statistics.penalty.add(harness.now, 50.0)
    request = harness.submit()
    assert harness.sent_attempts[request][0].server == "r1"
    harness.finish_attempt(request, AttemptStatus.ERROR, after=4.0)
    assert harness.only_action(SendAttempt).server == "r2"


def decode_freeness(harness: RouterHarness, name: str, now: float) -> float:
    return harness.router.freeness.of_decode_hosts([harness.endpoint(name)], now)[name]


def test_without_reports_own_tokens_are_extrapolated_to_all_dispatchers() -> None:
    used = []
    for dispatcher_count in (1, 4):
        harness = RouterHarness(dispatcher_count=dispatcher_count)
        harness.submit(prompt_tokens=9800.0)
        reserved_host = harness.only_action(ReserveDecodeSlot).server
        used.append(1.0 - decode_freeness(harness, reserved_host, harness.now))
    assert abs(used[1] - 4 * used[0]) < 1e-9


def test_an_old_memory_report_is_replaced_by_the_average() -> None:
    harness = RouterHarness(load_report_fields=("x0",))
    for name, share in (("w1", 0.8), ("w2", 0.2)):
        harness.state.load.add_report(harness.endpoint(name), (share,), harness.now)
    fresh = decode_freeness(harness, "w1", harness.now)
    old = decode_freeness(harness, "w1", harness.now + 20_000.0)
    assert abs(fresh - 0.2) < 0.01 and abs(old - 0.5) < 0.02


def test_the_memory_size_is_estimated_from_reports_and_own_tokens() -> None:
    harness = RouterHarness(load_report_fields=("x0",))
    load = harness.state.load
    harness.submit(prompt_tokens=30_000.0)
    host = harness.endpoint(harness.only_action(ReserveDecodeSlot).server)
    for _ in range(30):
        load.add_report(host, (0.9,), harness.now)
    assert 0.5 * 100_000.0 <= host.memory_tokens(harness.now) < 0.8 * 100_000.0


def test_after_an_error_at_a_decode_host_the_prompt_is_prefilled_again() -> None:
    """Incident i85aa01: state is lost after an error, and the next decode host rejected it with detail 1."""
    harness = RouterHarness(reserve_ahead=False)
    request = harness.submit()
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    harness.finish_attempt(request, AttemptStatus.ERROR, after=4.0)
    assert harness.only_action(SendAttempt).server in ("r1", "r2")


def test_endpoints_are_checked_in_turn_where_only_health_checks_report_load() -> None:
    harness = RouterHarness(
        health_checks_report_load=True, health_checks_allowed=True, load_report_fields=("x0",)
    )
    checked = set()
    for _ in range(4):
        harness.handle(TimerFired("poll"), after=500.0)
        checked.add(harness.only_action(SendHealthCheck).server)
    assert checked == {"r1", "r2", "w1", "w2"}
    harness.handle(HealthCheckResult("w1", AttemptStatus.OK, 1.0, (0.4,)))
    assert harness.endpoint("w1").statistics.memory.share == 0.4
