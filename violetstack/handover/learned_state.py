"""A snapshot of the policy's estimates, which a process passes to the next one.

A policy without estimates sends only few requests to hosts that warm up, grants each tenant its whole burst
again, and has to detect each failing host anew. The snapshot is stored in the handover record as JSON and in
the state folder as MessagePack, with the keys of the first release. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from violetstack.estimation.decay import DecayingSum, RecentSamples
from violetstack.estimation.statistics import EndpointStatistics, FleetStatistics
from violetstack.shared.rate_limit import TokenBucket
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.state import PolicyState


class DecayingSumSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The value of a decaying sum at the time of the snapshot, and when its first summand was added."""

    amount: float
    since_ms: float | None


class BucketSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The level of a token bucket, and when it was last refilled."""

    level: float
    refilled_at_ms: float


class TimedSample(msgspec.Struct, frozen=True, array_like=True):
    """A measured duration, and when it was measured."""

    measured_at_ms: float
    duration_ms: float


class EndpointSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The policy's estimates for one endpoint; valid only while its start time is `started_ms`.

    Attributes:
        started_ms: When the endpoint's process started; None if the endpoint list does not state it.
        prefill_cost: Decaying sum of the prefill cost that the endpoint has completed.
        busy_ms: Decaying sum of the time that this took.
        failure_penalty: Decaying sum of the cost charged for failures.
        failure_streak: The number of consecutive failures.
        failed_at_ms: The time of the last failure.
        slow_start_tokens: Token bucket of the requests that the endpoint may be sent while it warms up.
        memory_share: The share of its memory in use according to its last load report; None without one.
        reported_at_ms: The time of the last load report.
    """

    started_ms: float | None
    prefill_cost: DecayingSumSnapshot
    busy_ms: DecayingSumSnapshot
    failure_penalty: DecayingSumSnapshot
    failure_streak: int
    failed_at_ms: float
    slow_start_tokens: BucketSnapshot
    memory_share: float | None
    reported_at_ms: float


class LearnedState(msgspec.Struct, frozen=True):
    """The policy's estimates.

    Attributes:
        captured_at_ms: When the snapshot was taken.
        totals: Decaying sums over all endpoints, by the names in `_totals`.
        started_by_scope: Decaying counts of the started streams, by route scope.
        prefill_times: The most recent prefill durations.
        first_token_times: The most recent times to the first token.
        tenants: The token buckets of the quotas, by tenant number.
        endpoints: The estimates for each endpoint, by endpoint id.
    """

    captured_at_ms: float = msgspec.field(name="at")
    totals: dict[str, DecayingSumSnapshot] = msgspec.field(name="sums")
    started_by_scope: dict[str, DecayingSumSnapshot] = msgspec.field(name="begun")
    prefill_times: list[TimedSample] = msgspec.field(name="reads")
    first_token_times: list[TimedSample] = msgspec.field(name="waits")
    tenants: dict[int, BucketSnapshot]
    endpoints: dict[str, EndpointSnapshot] = msgspec.field(name="servers")


def capture_learned_state(policy: PolicyState, now_ms: float) -> LearnedState:
    """Returns a snapshot of the policy's estimates."""
    statistics = policy.statistics
    return LearnedState(
        captured_at_ms=now_ms,
        totals={name: _capture_sum(total, now_ms) for name, total in _totals(policy.statistics).items()},
        started_by_scope={
            scope: _capture_sum(count, now_ms) for scope, count in statistics.decode_starts.items()
        },
        prefill_times=_capture_samples(statistics.prefill_times_ms),
        first_token_times=_capture_samples(statistics.first_token_times_ms),
        tenants={tenant: _capture_bucket(bucket) for tenant, bucket in policy.tenant_quotas.items()},
        endpoints={
            name: _capture_endpoint(endpoint, now_ms)
            for name, endpoint in policy.endpoints.by_name.items()
            if endpoint.usable
        },
    )


def restore_learned_state(policy: PolicyState, state: LearnedState) -> int:
    """Restores the estimates of a policy that already has the endpoint list.

    An endpoint that is not listed, or that has restarted since the snapshot, is skipped.

    Returns:
        The number of endpoints whose estimates were restored.
    """
    captured_at_ms = state.captured_at_ms
    statistics = policy.statistics
    for name, total in _totals(policy.statistics).items():
        if name in state.totals:
            _restore_sum(total, state.totals[name], captured_at_ms)
    for scope, count in state.started_by_scope.items():
        _restore_sum(statistics.decode_starts_of(scope), count, captured_at_ms)
    _restore_samples(statistics.prefill_times_ms, state.prefill_times)
    _restore_samples(statistics.first_token_times_ms, state.first_token_times)
    for tenant, bucket in state.tenants.items():
        if tenant in policy.tenant_quotas:
            _restore_bucket(policy.tenant_quotas[tenant], bucket)
    restored = 0
    for name, snapshot in state.endpoints.items():
        endpoint = policy.endpoints.by_name.get(name)
        if endpoint is not None and endpoint.entry.started_ms == snapshot.started_ms:
            _restore_endpoint(endpoint.statistics, snapshot, captured_at_ms)
            restored += 1
    return restored


def _totals(statistics: FleetStatistics) -> dict[str, DecayingSum]:
    """Returns the sums over all endpoints, by their names in the stored snapshot."""
    return {
        "cleared": statistics.completed_cost,
        "busy_ms": statistics.busy_ms,
        "claimed": statistics.cached_tokens_expected,
        "found": statistics.cached_tokens_found,
        "read": statistics.prefills,
        "written": statistics.decodes,
        "read_hosts": statistics.prefill_pool_sizes,
        "written_hosts": statistics.decode_pool_sizes,
    }


def _capture_sum(decaying: DecayingSum, now_ms: float) -> DecayingSumSnapshot:
    return DecayingSumSnapshot(decaying.value_at(now_ms), decaying.since_ms)


def _restore_sum(decaying: DecayingSum, snapshot: DecayingSumSnapshot, captured_at_ms: float) -> None:
    decaying.total = snapshot.amount
    decaying.as_of_ms = captured_at_ms
    decaying.since_ms = snapshot.since_ms


def _capture_bucket(bucket: TokenBucket) -> BucketSnapshot:
    return BucketSnapshot(bucket.level, bucket.refilled_at)


def _restore_bucket(bucket: TokenBucket, snapshot: BucketSnapshot) -> None:
    bucket.level = snapshot.level
    bucket.refilled_at = snapshot.refilled_at_ms


def _capture_samples(samples: RecentSamples) -> list[TimedSample]:
    return [TimedSample(measured_at_ms, duration_ms) for measured_at_ms, duration_ms in samples.samples]


def _restore_samples(samples: RecentSamples, snapshot: Iterable[TimedSample]) -> None:
    for sample in snapshot:
        samples.add(sample.measured_at_ms, sample.duration_ms)


def _capture_endpoint(endpoint: TrackedEndpoint, now_ms: float) -> EndpointSnapshot:
    statistics = endpoint.statistics
    return EndpointSnapshot(
        started_ms=endpoint.entry.started_ms,
        prefill_cost=_capture_sum(statistics.completed_cost, now_ms),
        busy_ms=_capture_sum(statistics.busy_ms, now_ms),
        failure_penalty=_capture_sum(statistics.penalty, now_ms),
        failure_streak=statistics.consecutive_failures,
        failed_at_ms=statistics.last_failure_at,
        slow_start_tokens=_capture_bucket(statistics.slow_start),
        memory_share=statistics.memory.share,
        reported_at_ms=statistics.memory.reported_at,
    )


def _restore_endpoint(
    statistics: EndpointStatistics, snapshot: EndpointSnapshot, captured_at_ms: float
) -> None:
    _restore_sum(statistics.completed_cost, snapshot.prefill_cost, captured_at_ms)
    _restore_sum(statistics.busy_ms, snapshot.busy_ms, captured_at_ms)
    _restore_sum(statistics.penalty, snapshot.failure_penalty, captured_at_ms)
    statistics.consecutive_failures = snapshot.failure_streak
    statistics.last_failure_at = snapshot.failed_at_ms
    _restore_bucket(statistics.slow_start, snapshot.slow_start_tokens)
    statistics.memory.share = snapshot.memory_share
    statistics.memory.reported_at = snapshot.reported_at_ms
