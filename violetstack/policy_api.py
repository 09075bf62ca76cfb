"""Types of the decision module: settings, events in, actions out. No decision is taken here."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec


class Idempotency(Enum):
    """May a request that perhaps ran be sent again?"""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Role(Enum):
    PREFILL = "read"
    DECODE = "write"
    MIXED = "both"


class EndpointState(Enum):
    HEALTHY = "healthy"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateScope(Enum):
    DELTA = "delta"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ALREADY_FINISHED = "moot"
    PREFILLED = "read"


MAY_HAVE_RUN_STATUSES = frozenset(
    {AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED}
)
FAILURE_STATUSES = frozenset({AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED})
"""Failures of the host itself; the others are a matter of load."""
GOSSIPED_STATUSES = FAILURE_STATUSES
BLAMED_STATUSES = FAILURE_STATUSES | {AttemptStatus.TIMEOUT, AttemptStatus.REJECTED}


class ClassSettings(msgspec.Struct, frozen=True):
    latency_objective_ms: float
    client_timeout_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    priority_weight: float
    late_priority_weight: float
    objective_ms_per_1000_tokens: float
    objective_stretch: float
    inter_token_objective_ms: float


class TenantSettings(msgspec.Struct, frozen=True):
    quota_share: float
    quota_per_s: float


class Settings(msgspec.Struct, frozen=True):
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


class Endpoint(msgspec.Struct, frozen=True):
    """One server as the list has it; started_ms is None when it started a long time back."""

    server: str
    cell: int
    weight: float
    zone: int
    state: EndpointState
    kind: int
    started_ms: float | None


class EndpointUpdate(msgspec.Struct, frozen=True):
    scope: UpdateScope
    endpoints: tuple[Endpoint, ...]
    version: int


class Route(Protocol):
    """What a request's route allows, asked at each choice; times in milliseconds."""

    max_attempts: int

    def active_pool(self, now: float) -> str:
        """The pool in use; requests of one pool do not wait for those of another. Empty: all servers."""

    def contains(self, server: str, now: float) -> bool:
        """Is the server in that pool?"""

    def reservation_allowed(self, now: float) -> bool:
        """May a place be held ahead?"""

    def take_retry(self, now: float) -> bool:
        """May one more attempt follow a failed one? Each yes is counted."""


class Request(msgspec.Struct):
    """answer_ms is the rough length of the answer, as time at the class's token aim, where it is told.

    Without a course, every server may be chosen and the settings alone bound the attempts. The routing sets
    the course, and the deadline that its policy caps, before the request is taken; nothing changes it later.
    (Not frozen for that one step: a frozen copy costs more than finding the route.)
    """

    id: str
    class_index: int
    tenant_index: int
    session: str | None
    expires_in_ms: float
    expected_answer_ms: float | None
    prefix_id: str | None
    prompt_tokens: float
    prefix_tokens: float
    max_tokens: float
    is_retry: bool
    is_resumed: bool
    route: Route | None = None
    age_ms: float = 0.0  # it may have lain unread for so long; off expires_in_ms already


class StreamStarted(msgspec.Struct, frozen=True):
    id: str
    server: str
    attempt: int
    duration_ms: float


class AttemptFinished(msgspec.Struct, frozen=True):
    """How one attempt ended; settled when the request is over; report in the order of report_names."""

    id: str
    server: str
    attempt: int
    status: AttemptStatus
    duration_ms: float
    request_finished: bool
    detail: int
    load_report: tuple[float | None, ...] | None


class ReservationResult(msgspec.Struct, frozen=True):
    id: str
    server: str
    attempt: int
    reserved: bool


class ClientDisconnected(msgspec.Struct, frozen=True):
    id: str


class TimerFired(msgspec.Struct, frozen=True):
    token: str


class HealthCheckResult(msgspec.Struct, frozen=True):
    server: str
    status: AttemptStatus
    duration_ms: float
    load_report: tuple[float | None, ...] | None


class GossipReceived(msgspec.Struct, frozen=True):
    peer: int
    payload: bytes


class ShutdownStarted(msgspec.Struct, frozen=True):
    """The process is about to end: what has no first token is given up while its client can be told."""


class ProcessPaused(msgspec.Struct, frozen=True):
    """The process saw nothing for so long; the other events of this batch came in that time."""

    pause_ms: float


class OutlierCheckResult(msgspec.Struct, frozen=True):
    """Another front tries this server, which failed, for so long yet; 0: ours does, or none. `well`: it is
    well again."""

    server: str
    checked_elsewhere_ms: float
    recovered: bool


Event = (
    ProcessPaused
    | OutlierCheckResult
    | ShutdownStarted
    | EndpointUpdate
    | Request
    | StreamStarted
    | AttemptFinished
    | ReservationResult
    | ClientDisconnected
    | TimerFired
    | HealthCheckResult
    | GossipReceived
)


class SendAttempt(msgspec.Struct, frozen=True):
    """stop_at_ms 0: until the client gives up."""

    id: str
    server: str
    deadline_ms: float


class ReserveDecodeSlot(msgspec.Struct, frozen=True):
    id: str
    server: str


class ReleaseState(msgspec.Struct, frozen=True):
    id: str


class CancelAttempt(msgspec.Struct, frozen=True):
    id: str
    attempt: int


class RejectRequest(msgspec.Struct, frozen=True):
    id: str
    retry_after_ms: float


class FailRequest(msgspec.Struct, frozen=True):
    id: str


class MigrateStream(msgspec.Struct, frozen=True):
    id: str


class StartTimer(msgspec.Struct, frozen=True):
    delay_ms: float
    token: str


class SetWatch(msgspec.Struct, frozen=True):
    enabled: bool


class FetchEndpoints(msgspec.Struct, frozen=True):
    pass


class SendHealthCheck(msgspec.Struct, frozen=True):
    server: str


class SendGossip(msgspec.Struct, frozen=True):
    """A datagram to every other dispatcher of the tier."""

    payload: bytes


class WriteLog(msgspec.Struct, frozen=True):
    text: str


Action = (
    SendAttempt
    | ReserveDecodeSlot
    | ReleaseState
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | MigrateStream
    | StartTimer
    | SetWatch
    | FetchEndpoints
    | SendHealthCheck
    | SendGossip
    | WriteLog
)
