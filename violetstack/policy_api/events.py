"""Events that the policy handles, and the outcomes of attempts."""

from __future__ import annotations

from enum import Enum

import msgspec

from violetstack.policy_api.endpoints import EndpointUpdate
from violetstack.policy_api.requests import Request


class AttemptStatus(Enum):
    """How an attempt ended.

    REJECTED: the host was full, or no longer held the prefilled state (`AttemptFinished.detail`).
    CONNECT_FAILED: nothing reached the host. RESET: the connection broke. ALREADY_FINISHED: nothing was
    sent, since the request had ended or the attempt was not allowed. PREFILLED: the host holds the state.
    LOCAL_FAULT: nothing was sent, since this dispatcher's machine lacked a resource such as a file
    descriptor; the host is not penalized.
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
"""After these outcomes, the host may have executed the request."""

FAILURE_STATUSES = frozenset({AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED})
"""Failures of the host itself; other outcomes are caused by load."""

GOSSIPED_STATUSES = FAILURE_STATUSES
"""Failures that are reported to the other dispatchers."""

PENALIZED_STATUSES = FAILURE_STATUSES | {AttemptStatus.TIMEOUT, AttemptStatus.REJECTED}
"""Outcomes for which a host is penalized."""


class StreamStarted(msgspec.Struct, frozen=True):
    """The first event of an attempt's stream arrived, `duration_ms` after the attempt was sent."""

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
        request_finished: Whether the request got its final response.
        detail: After PREFILLED, the prompt tokens that the host found in its cache; after REJECTED, 1 if the
            host no longer held the request's state.
        load_report: Values of the host's load report, in the order of `Settings.load_report_fields`.
        answer_spoilt: Whether it failed since the host's answer could not be read, if need be after its first
            token.
    """

    id: str
    server: str
    attempt: int
    status: AttemptStatus
    duration_ms: float
    request_finished: bool
    detail: int
    load_report: tuple[float | None, ...] | None
    answer_spoilt: bool = False


class ReservationResult(msgspec.Struct, frozen=True):
    """A host accepted or refused a reservation; `attempt` is the number of the prefill attempt."""

    id: str
    server: str
    attempt: int
    reserved: bool


class ClientDisconnected(msgspec.Struct, frozen=True):
    """The client closed its connection, or its request needs no further work."""

    id: str


class TimerFired(msgspec.Struct, frozen=True):
    """A timer that `StartTimer` started has fired."""

    token: str


class HealthCheckResult(msgspec.Struct, frozen=True):
    """A health check ended; `load_report` is as in `AttemptFinished`."""

    server: str
    status: AttemptStatus
    duration_ms: float
    load_report: tuple[float | None, ...] | None


class GossipReceived(msgspec.Struct, frozen=True):
    """The dispatcher with the number `peer` sent a datagram."""

    peer: int
    payload: bytes


class ShutdownStarted(msgspec.Struct, frozen=True):
    """The process is about to end: requests without a first token must get their final answers now."""


class ProcessPaused(msgspec.Struct, frozen=True):
    """The process did not run for `pause_ms`; the other events of the batch arrived during the pause."""

    pause_ms: float


class OutlierCheckResult(msgspec.Struct, frozen=True):
    """An outlier check of a host started at another dispatcher or ended.

    Attributes:
        server: Id of the host.
        checked_elsewhere_ms: For how long another dispatcher checks it; 0 if this one or none does.
        recovered: Whether the check found that the host has recovered.
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
