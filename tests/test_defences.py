"""Defences: each failure found has its small test here."""

from __future__ import annotations

from msgspec.structs import replace

from tests.front import READERS, SAFE, WRITERS, Front, entry
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


def warm_up(front: Front, rounds: int = 20) -> None:
    for _ in range(rounds):
        front.end(front.ask(), AttemptStatus.PREFILLED, after=100.0)


def test_a_reader_that_fails_fast_stops_looking_free() -> None:
    front = Front(*(entry(f"r{i}", 0) for i in range(4)), *WRITERS)
    sent = 0
    bad = ""
    for _ in range(60):
        request = front.ask(prompt_tokens=1500.0)
        at = front.sends[request][0].server
        bad = bad or at
        sent += at == bad
        front.end(
            request,
            AttemptStatus.ERROR if at == bad else AttemptStatus.PREFILLED,
            after=4.0 if at == bad else 50.0,
        )
    assert 1 <= sent < 10


def test_a_failed_reader_is_tried_again_when_its_price_has_faded() -> None:
    front = Front(*READERS, *WRITERS)
    request = front.ask()
    bad = front.sends[request][0].server
    front.end(request, AttemptStatus.ERROR, after=4.0)
    front.end(request, AttemptStatus.PREFILLED)
    front.now += 30_000.0
    picks = {front.sends[front.ask(prefix_id=f"p{i}", prompt_tokens=100.0)][0].server for i in range(6)}
    assert bad in picks


def test_a_hung_reader_is_left_without_any_outcome() -> None:
    front = Front()
    warm_up(front)
    hung = front.sends[front.ask()][0].server
    front.now += 5_000.0
    later = [front.sends[front.ask(prompt_tokens=500.0)][0].server for _ in range(5)]
    assert later.count(hung) <= 1


def test_when_all_readers_fail_the_least_blamed_serves() -> None:
    front = Front(max_attempts=2)
    for _ in range(10):
        front.end(front.ask(), AttemptStatus.ERROR, after=4.0)
        assert len(front.all(RejectRequest)) == 1
    front.ask()
    front.one(SendAttempt)


def test_a_read_is_bounded_and_read_again_while_attempts_allow() -> None:
    front = Front()
    warm_up(front)
    request = front.ask()
    first = front.one(SendAttempt)
    assert front.now < first.deadline_ms < front.now + 3000.0
    front.end(request, AttemptStatus.TIMEOUT, after=500.0)
    again = front.one(SendAttempt)
    assert again.server != first.server
    assert again.deadline_ms == front.now - 500.0 + 3000.0


def test_a_jammed_reader_pool_refuses_early_with_advice() -> None:
    """Queues of seconds at every reader: each read ended just after it was wanted."""
    front = Front()
    warm_up(front)
    for _ in range(200):
        front.ask()
        if front.all(RejectRequest):
            break
    refusal = front.one(RejectRequest)
    assert 0 < refusal.retry_after_ms <= 1000.0
    assert not front.all(SendAttempt)


def test_the_cheapest_worth_is_refused_first() -> None:
    classes = (replace(SAFE, priority_weight=1.0), replace(SAFE, priority_weight=4.0))
    admitted = {}
    for cls in (0, 1):
        front = Front(classes=classes)
        warm_up(front)
        admitted[cls] = 0
        for _ in range(200):
            front.ask(class_index=cls)
            admitted[cls] += len(front.all(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_a_tenant_beyond_its_share_is_refused_first() -> None:
    admitted = {}
    for tenant in (0, 1):
        front = Front(tenants=TENANTS, over_quota_weight=0.1)
        warm_up(front)
        admitted[tenant] = 0
        for _ in range(200):
            front.ask(tenant_index=tenant)
            admitted[tenant] += len(front.all(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_one_read_of_ours_is_always_let_in() -> None:
    front = Front()
    warm_up(front)
    for _ in range(50):
        front.end(front.ask(prompt_tokens=30_000.0), AttemptStatus.PREFILLED, after=2900.0)
        front.one(SendAttempt)


def test_a_front_that_heard_nothing_refuses_nothing_by_estimate() -> None:
    front = Front()
    for _ in range(20):
        front.ask(prompt_tokens=6000.0)
        front.one(SendAttempt)


def test_refusals_end_with_the_jam_that_caused_them() -> None:
    """Incidents i85aa01 and i6a481e: past waits kept every request refused long after the writers drained."""
    front = Front()
    jammed = []
    for _ in range(10):
        request = front.ask()
        front.end(request, AttemptStatus.PREFILLED)
        jammed.append(request)
    for request in jammed:
        front.feed(StreamStarted(request, front.sends[request][-1].server, 1, 2500.0), after=250.0)
    front.ask(after=10.0)
    front.one(SendAttempt)


def test_writes_that_do_not_begin_close_the_door() -> None:
    front = Front()
    for _ in range(20):
        request = front.ask()
        front.end(request, AttemptStatus.PREFILLED)
        front.begin(request)
    for _ in range(60):
        request = front.ask(after=20.0)
        if front.all(RejectRequest):
            break
        front.end(request, AttemptStatus.PREFILLED, after=5.0)
    front.one(RejectRequest)


def test_a_dear_class_with_a_short_aim_outlasts_a_cheap_patient_one() -> None:
    """Incident ic7164e: bounds by each class's own aim refused the dear, short-aimed class first."""
    classes = (
        replace(SAFE, priority_weight=1.0, latency_objective_ms=3000.0),
        replace(SAFE, priority_weight=2.0, latency_objective_ms=700.0),
    )
    admitted = {}
    for cls in (0, 1):
        front = Front(classes=classes)
        warm_up(front)
        admitted[cls] = 0
        for _ in range(200):
            front.ask(class_index=cls)
            admitted[cls] += len(front.all(SendAttempt))
    assert 0 < admitted[0] < admitted[1]


def test_attempts_cut_in_one_batch_are_one_failure() -> None:
    """Incident i9a84fb: one broken connection with several attempts ejected its server for seconds."""
    front = Front(READERS[0], *WRITERS)
    asked = [front.ask(prompt_tokens=100.0) for _ in range(6)]
    for request in asked:
        front.end(request, AttemptStatus.RESET, after=0.0, took=50.0)
    reader = front.endpoint("r1")
    assert 0.1 <= reader.statistics.penalty.value_at(front.now) <= 0.3


def test_what_a_failure_leaves_counts_at_readers_alone_too() -> None:
    front = Front()
    request = front.state.requests[front.ask(prompt_tokens=100.0)]
    host = front.endpoint("r2")
    before = front.router.freeness.of_prefill_hosts([host], request, front.now)["r2"]
    penalize(host, 0.0, front.now)
    assert front.router.freeness.of_prefill_hosts([host], request, front.now)["r2"] <= before - 0.2


def test_a_home_is_charged_only_what_it_does_not_keep() -> None:
    front = Front(*(entry(f"r{i}", 0) for i in range(6)), *WRITERS)
    state = front.state
    request = state.requests[front.ask(prefix_id="p", prefix_tokens=1500.0, session="s")]
    hosts = state.endpoints.affinity.preferred_hosts(request.params)
    cache_trust = state.statistics.cache_trust(front.now)
    charged = [state.load.uncached_prefill_cost(host, request, cache_trust) for host in hosts]
    assert charged[0] < charged[1] == charged[2] < charged[3] == charged[5]


def test_a_jam_is_seen_from_a_few_requests_over_many_servers() -> None:
    """Grown deployments: a front has next to nothing out, and every request begins too late."""
    readers = [entry(f"r{i}", 0) for i in range(30)]
    refused = {}
    for late in (False, True):
        front = Front(*readers, *WRITERS)
        refused[late] = 0
        for _ in range(60):
            request = front.ask(after=700.0)
            refused[late] += len(front.all(RejectRequest))
            if request in front.sends:
                front.end(request, AttemptStatus.PREFILLED, after=900.0 if late else 90.0)
                front.begin(request)
                front.end(request, AttemptStatus.OK)
    assert refused[False] == 0
    assert 20 < refused[True] < 60  # some are always let in, so that the end of the jam is seen


def test_a_few_lost_reads_are_no_jam() -> None:
    front = Front(*(entry(f"r{i}", 0) for i in range(30)), *WRITERS)
    for n in range(60):
        request = front.ask(after=700.0)
        front.one(SendAttempt)
        if n % 5 == 0:
            front.end(request, AttemptStatus.TIMEOUT, after=1000.0)
        front.end(request, AttemptStatus.PREFILLED, after=90.0)
        front.begin(request)
        front.end(request, AttemptStatus.OK)


def test_time_without_an_outcome_lowers_a_readers_speed() -> None:
    front = Front()
    warm_up(front)
    load = front.state.load
    host = front.endpoint(front.sends[front.ask()][0].server)
    before = load.prefill_speed(host, front.now)
    assert load.prefill_speed(host, front.now + 3000.0) < before / 2


def test_a_restart_resets_what_was_learned() -> None:
    front = Front()
    endpoint = front.endpoint("r1")
    penalize(endpoint, 0.0, front.now)
    front.news(UpdateScope.DELTA, entry("r1", 0, started_ms=front.now))
    assert endpoint.statistics.penalty.value_at(front.now) == 0.0
    assert endpoint.statistics.consecutive_failures == 0


def test_a_further_read_goes_to_a_reader_that_has_not_failed_it() -> None:
    front = Front()
    front.endpoint("r2").statistics.penalty.add(front.now, 50.0)
    request = front.ask()
    assert front.sends[request][0].server == "r1"
    front.end(request, AttemptStatus.ERROR, after=4.0)
    assert front.one(SendAttempt).server == "r2"


def decode_freeness(front: Front, name: str, now: float) -> float:
    return front.router.freeness.of_decode_hosts([front.endpoint(name)], now)[name]


def test_own_streams_weigh_by_the_number_of_fronts_without_reports() -> None:
    used = []
    for fleet_size in (1, 4):
        front = Front(dispatcher_count=fleet_size)
        front.ask(prompt_tokens=9800.0)
        place = front.one(ReserveDecodeSlot).server
        used.append(1.0 - decode_freeness(front, place, front.now))
    assert abs(used[1] - 4 * used[0]) < 1e-9


def test_an_old_report_fades_towards_the_fleets_mean() -> None:
    front = Front(load_report_fields=("x0",))
    for name, share in (("w1", 0.8), ("w2", 0.2)):
        front.state.load.add_report(front.endpoint(name), (share,), front.now)
    fresh = decode_freeness(front, "w1", front.now)
    old = decode_freeness(front, "w1", front.now + 20_000.0)
    assert abs(fresh - 0.2) < 0.01 and abs(old - 0.5) < 0.02


def test_memory_size_is_learned_from_reports_against_own_streams() -> None:
    front = Front(load_report_fields=("x0",))
    load = front.state.load
    front.ask(prompt_tokens=30_000.0)
    host = front.endpoint(front.one(ReserveDecodeSlot).server)
    for _ in range(30):
        load.add_report(host, (0.9,), front.now)
    assert 0.5 * 100_000.0 <= host.memory_tokens(front.now) < 0.8 * 100_000.0


def test_after_an_error_at_a_writer_the_prompt_is_read_again() -> None:
    """Incident i85aa01: the state is gone after an error, the next writer answered no_room with note 1."""
    front = Front(reserve_ahead=False)
    request = front.ask()
    front.end(request, AttemptStatus.PREFILLED)
    front.end(request, AttemptStatus.ERROR, after=4.0)
    assert front.one(SendAttempt).server in ("r1", "r2")


def test_servers_are_polled_in_turn_where_only_polls_carry_reports() -> None:
    front = Front(health_checks_report_load=True, health_checks_allowed=True, load_report_fields=("x0",))
    polled = set()
    for _ in range(4):
        front.feed(TimerFired("poll"), after=500.0)
        polled.add(front.one(SendHealthCheck).server)
    assert polled == {"r1", "r2", "w1", "w2"}
    front.feed(HealthCheckResult("w1", AttemptStatus.OK, 1.0, (0.4,)))
    assert front.endpoint("w1").statistics.memory.share == 0.4
