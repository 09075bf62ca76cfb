"""Events that the policy is given, and the outcomes of attempts."""

from __future__ import annotations

from enum import Enum

import msgspec

from violetstack.policy_api.endpoints import EndpointUpdate
from violetstack.policy_api.requests import Request


class AttemptStatus(Enum):
    """How an attempt ended.

    REJECTED: the host was full, or no longer held the state (`AttemptFinished.detail`). CONNECT_FAILED:
    nothing reached the host. RESET: the connection broke. ALREADY_FINISHED: nothing was sent, since the
    request was over or the attempt not allowed. PREFILLED: the host holds the state of the prefilled prompt.
    LOCAL_FAULT: nothing was sent for lack of something on this dispatcher's own machine, such as a
    descriptor; the host is not to blame.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ALREADY_FINISHED = "moot"
    PREFILLED = "read"
    LOCAL_FAULT = "local_fault"


MAY_HAVE_RUN_STATUSES = frozenset(
    {AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED}
)
"""After these, the host may have executed the request."""

FAILURE_STATUSES = frozenset({AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED})
"""Failures of the host itself; the others come from load."""

GOSSIPED_STATUSES = FAILURE_STATUSES
"""Failures that the other dispatchers are told of."""

BLAMED_STATUSES = FAILURE_STATUSES | {AttemptStatus.TIMEOUT, AttemptStatus.REJECTED}
"""Outcomes that make the policy avoid the host for a while."""


class StreamStarted(msgspec.Struct, frozen=True):
    """The first event of an attempt's stream arrived, `duration_ms` after it was sent."""

    id: str
    server: str
    attempt: int
    duration_ms: float


class AttemptFinished(msgspec.Struct, frozen=True):
    """An attempt ended.

    Attributes:
        id: Id of the request.
        server: Id of the host.
        attempt: Number of the attempt.
        status: How it ended.
        duration_ms: Time since it was sent.
        request_finished: Whether the request has its final response.
        detail: After PREFILLED, the prompt tokens that the host found in its cache; after REJECTED, 1 if the
            host no longer held the request's state.
        load_report: The host's load, in the order of `Settings.load_report_fields`.
    """

    id: str
    server: str
    attempt: int
    status: AttemptStatus
    duration_ms: float
    request_finished: bool
    detail: int
    load_report: tuple[float | None, ...] | None


class ReservationResult(msgspec.Struct, frozen=True):
    """A host has answered whether it reserved a decode slot; `attempt` is the prefill attempt beside it."""

    id: str
    server: str
    attempt: int
    reserved: bool


class ClientDisconnected(msgspec.Struct, frozen=True):
    """The client closed its connection, or nothing more is to be done for it."""

    id: str


class TimerFired(msgspec.Struct, frozen=True):
    """A timer of `StartTimer` is due."""

    token: str


class HealthCheckResult(msgspec.Struct, frozen=True):
    """A health check ended; the load report is as in `AttemptFinished`."""

    server: str
    status: AttemptStatus
    duration_ms: float
    load_report: tuple[float | None, ...] | None


class GossipReceived(msgspec.Struct, frozen=True):
    """Another dispatcher, by its number, sent a datagram."""

    peer: int
    payload: bytes


class ShutdownStarted(msgspec.Struct, frozen=True):
    """The process is about to end: requests without a first token are answered while that is possible."""


class ProcessPaused(msgspec.Struct, frozen=True):
    """The process did not run for `pause_ms`; the other events of the batch arrived in that time."""

    pause_ms: float


class OutlierCheckResult(msgspec.Struct, frozen=True):
    """The check of a host that failed changed hands or ended.

    Attributes:
        server: Id of the host.
        checked_elsewhere_ms: For how long another dispatcher checks it; 0 if this one does, or none.
        recovered: Whether the host is well again.
    """

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
