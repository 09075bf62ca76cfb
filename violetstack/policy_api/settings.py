"""Settings of the policy, as `violetstack.settings` decodes them from the operators' files."""

from __future__ import annotations

from enum import Enum

import msgspec


class Idempotency(Enum):
    """Whether a request that may have been executed can be sent again."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which hosts discard repetitions of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Role(Enum):
    """Whether hosts of a kind prefill prompts, decode responses, or do both."""

    PREFILL = "read"
    DECODE = "write"
    MIXED = "both"


class ClassSettings(msgspec.Struct, frozen=True):
    """Settings of a class of requests.

    Attributes:
        latency_objective_ms: Objective for the time to the first token.
        client_timeout_ms: Time after which the client gives up.
        idempotency: Whether a request that may have been executed can be sent again.
        deduplication_scope: Which hosts discard repetitions of a request with an idempotency key.
        deduplication_window_ms: For how long after the first attempt they do so.
        priority_weight: Value of a timely response, relative to the other classes.
        late_weight_share: Share of that value for a response that misses the objective, 0 to 1.
        objective_ms_per_1000_tokens: Added to the latency objective for each 1000 tokens of the prompt.
        objective_stretch: Share of the response's expected duration that is added to the latency objective.
        inter_token_objective_ms: Objective for the time between two tokens; 0 for none.
    """

    latency_objective_ms: float
    client_timeout_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    priority_weight: float
    late_weight_share: float
    objective_ms_per_1000_tokens: float
    objective_stretch: float
    inter_token_objective_ms: float


class TenantSettings(msgspec.Struct, frozen=True):
    """Settings of a tenant: its share of the capacity, 0 to 1, and its limit of requests per second."""

    quota_share: float
    quota_per_s: float


class Settings(msgspec.Struct, frozen=True):
    """Settings of one dispatcher and of its service.

    Attributes:
        seed: Seed of every random choice.
        dispatcher_index: Number of this dispatcher, from 0.
        dispatcher_count: Number of dispatchers that share the hosts.
        zone: Index of this dispatcher's zone.
        classes: Settings by class index.
        tenants: Settings by tenant index.
        over_quota_weight: Factor on the priority weight of requests beyond a tenant's quota, 0 to 1.
        roles: Role by index of the host's kind; kinds without an entry are MIXED.
        memory_tokens: Memory size of a host in tokens, by index of its kind; 0 if not known.
        reserve_ahead: Whether a decode slot may be reserved while the prompt is prefilled.
        decode_hosts_prefill: Whether decode hosts can prefill prompts.
        resume_supported: Whether hosts can resume a broken stream.
        state_retention_ms: Retention time of prefilled state at hosts; 0 if they keep it.
        max_attempts: Limit of the attempts of one request.
        cancellation_allowed: Whether attempts may be cancelled.
        hedging_allowed: Whether a second attempt may run beside the first.
        health_checks_allowed: Whether hosts may be sent health checks.
        gossip_allowed: Whether dispatchers exchange their load.
        send_retry_after: Whether rejections advise the client when to retry.
        max_retry_after_ms: Longest time in such advice.
        connect_timeout_ms: Timeout for connecting to a host.
        watch_required: Whether the endpoint list has to be watched; otherwise an agent pushes it.
        watch_deadline_ms: Time after the start within which the watch has to be open.
        load_report_fields: Names of the values in a load report, in order.
        health_checks_report_load: Whether only health checks carry load reports.
        slow_start_capacity: Share of its capacity that a host has when it starts, 0 to 1.
        slow_start_ms: Time after its start until a host has its full capacity.
        overload_window_ms: A starting host that is overloaded for this long fails.
        overload_multiple: That overload, as a multiple of the host's current capacity.
        answer_grace_ms: Time that a client needs to receive a response.
    """

    seed: int
    dispatcher_index: int
    dispatcher_count: int
    zone: int
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    over_quota_weight: float
    roles: tuple[Role, ...]
    memory_tokens: tuple[float, ...]
    reserve_ahead: bool
    decode_hosts_prefill: bool
    resume_supported: bool
    state_retention_ms: float
    max_attempts: int
    cancellation_allowed: bool
    hedging_allowed: bool
    health_checks_allowed: bool
    gossip_allowed: bool
    send_retry_after: bool
    max_retry_after_ms: float
    connect_timeout_ms: float
    watch_required: bool
    watch_deadline_ms: float
    load_report_fields: tuple[str, ...]
    health_checks_report_load: bool
    slow_start_capacity: float
    slow_start_ms: float
    overload_window_ms: float
    overload_multiple: float
    answer_grace_ms: float
