"""Settings of the policy, as `violetstack.settings` decodes them from the operators' files."""

from __future__ import annotations

from enum import Enum

import msgspec


class Idempotency(Enum):
    """Whether a request that may have run can be sent again."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which hosts discard the repetitions of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Role(Enum):
    """What a kind of host does: prefill prompts, decode responses, or both."""

    PREFILL = "read"
    DECODE = "write"
    MIXED = "both"


class ClassSettings(msgspec.Struct, frozen=True):
    """Settings of a class of requests.

    Attributes:
        latency_objective_ms: Within this, the first token is wanted.
        client_timeout_ms: After this, the client gives up.
        idempotency: Whether a request that may have run can be sent again.
        deduplication_scope: Which hosts discard repetitions of a request with an idempotency key.
        deduplication_window_ms: For how long after the first attempt they do.
        priority_weight: Value of a response in time, relative to the other classes.
        late_weight_share: Share of that value which a response that misses the objective still has, 0 to 1.
        objective_ms_per_1000_tokens: Added to the objective for each 1000 tokens of the prompt.
        objective_stretch: Added to the objective, as a share of the expected duration of the response.
        inter_token_objective_ms: Objective for the time between two tokens; 0 if there is none.
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
    """Settings of a tenant: its share of the capacity (0 to 1), and the requests a second it may send."""

    quota_share: float
    quota_per_s: float


class Settings(msgspec.Struct, frozen=True):
    """Settings of one dispatcher and of the service that it belongs to.

    Attributes:
        seed: Seed of every random choice.
        dispatcher_index: Number of this dispatcher, from 0.
        dispatcher_count: Dispatchers that share the hosts.
        zone: Index of the zone that this dispatcher is in.
        classes: Settings by class index.
        tenants: Settings by tenant index.
        over_quota_weight: Factor on the weight of requests beyond a tenant's share, 0 to 1.
        roles: Role by index of the host's kind; a kind without one is MIXED.
        memory_tokens: Tokens that fit a host's memory, by index of its kind; 0 where it is not known.
        reserve_ahead: Whether a decode slot may be reserved while the prompt is prefilled.
        decode_hosts_prefill: Whether decode hosts can prefill prompts.
        resume_supported: Whether hosts can resume a broken stream.
        state_retention_ms: Hosts free prefilled state that nobody takes within this; 0 if they keep it.
        max_attempts: Attempts of one request.
        cancellation_allowed: Whether attempts may be cancelled.
        hedging_allowed: Whether a second attempt may run beside the first.
        health_checks_allowed: Whether hosts may be sent health checks.
        gossip_allowed: Whether dispatchers exchange their load.
        send_retry_after: Whether rejections advise when to retry.
        max_retry_after_ms: The longest such advice.
        connect_timeout_ms: Timeout of a connection to a host.
        watch_required: Whether the endpoint list has to be watched; without, an agent pushes it.
        watch_deadline_ms: Within this after the start, the watch has to be open.
        load_report_fields: Names of the values in a load report, in order.
        health_checks_report_load: Whether only health checks carry load reports.
        slow_start_capacity: Share of its capacity that a host starts with, 0 to 1.
        slow_start_ms: Time until a host that started has its whole capacity.
        overload_window_ms: A starting host that is overloaded for this long fails.
        overload_multiple: That overload, as a multiple of the host's capacity at the time.
        answer_grace_ms: Time of its own that a client needs to take a response.
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
