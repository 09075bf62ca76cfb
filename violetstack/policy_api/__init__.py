"""The policy's interface: its settings, the events that it handles, and the actions that it returns.

`Router.handle(now, events)` returns the actions for a batch of events. Times are in milliseconds of the
caller's monotonic clock; names that end in `_ms` are durations, except `deadline_ms` and `started_ms`, which
are times. The values of the enums are part of the simulator's protocol, of the endpoint list or of log lines,
and must not change.
"""

from __future__ import annotations

from violetstack.policy_api.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    MigrateStream,
    RejectRequest,
    ReleaseState,
    ReserveDecodeSlot,
    SendAttempt,
    SendGossip,
    SendHealthCheck,
    SetWatch,
    StartTimer,
    WriteLog,
)
from violetstack.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from violetstack.policy_api.events import (
    FAILURE_STATUSES,
    GOSSIPED_STATUSES,
    MAY_HAVE_RUN_STATUSES,
    PENALIZED_STATUSES,
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    Event,
    GossipReceived,
    HealthCheckResult,
    OutlierCheckResult,
    ProcessPaused,
    ReservationResult,
    ShutdownStarted,
    StreamStarted,
    TimerFired,
)
from violetstack.policy_api.requests import Request, Route
from violetstack.policy_api.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    Role,
    Settings,
    TenantSettings,
)

__all__ = [
    "Action",
    "AttemptFinished",
    "AttemptStatus",
    "CancelAttempt",
    "ClassSettings",
    "ClientDisconnected",
    "DeduplicationScope",
    "Endpoint",
    "EndpointState",
    "EndpointUpdate",
    "Event",
    "FAILURE_STATUSES",
    "FailRequest",
    "FetchEndpoints",
    "GOSSIPED_STATUSES",
    "GossipReceived",
    "HealthCheckResult",
    "Idempotency",
    "MAY_HAVE_RUN_STATUSES",
    "MigrateStream",
    "OutlierCheckResult",
    "PENALIZED_STATUSES",
    "ProcessPaused",
    "RejectRequest",
    "ReleaseState",
    "Request",
    "ReservationResult",
    "ReserveDecodeSlot",
    "Role",
    "Route",
    "SendAttempt",
    "SendGossip",
    "SendHealthCheck",
    "SetWatch",
    "Settings",
    "ShutdownStarted",
    "StartTimer",
    "StreamStarted",
    "TenantSettings",
    "TimerFired",
    "UpdateScope",
    "WriteLog",
]
