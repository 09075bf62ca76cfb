"""The policy's interface: settings, the events that it is given, and the actions that it returns.

`Router.handle(now, events)` returns the actions that follow from a batch of events. Times are in milliseconds
of the caller's monotonic clock; names that end in `_ms` are durations, except for `deadline_ms` and
`started_ms`, which are times. The values of the enums are words of the simulator's wire, of the endpoint list
or of log lines, and do not change.
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
    BLAMED_STATUSES,
    FAILURE_STATUSES,
    GOSSIPED_STATUSES,
    MAY_HAVE_RUN_STATUSES,
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
    "BLAMED_STATUSES",
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
