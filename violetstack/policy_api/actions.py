"""Actions that the policy returns."""

from __future__ import annotations

import msgspec


class SendAttempt(msgspec.Struct, frozen=True):
    """Send an attempt to a host; it times out at `deadline_ms`, or at the request's deadline if that is 0."""

    id: str
    server: str
    deadline_ms: float


class ReserveDecodeSlot(msgspec.Struct, frozen=True):
    """Reserve a decode slot for the response while the prompt is prefilled."""

    id: str
    server: str


class ReleaseState(msgspec.Struct, frozen=True):
    """Release what hosts hold for the request."""

    id: str


class CancelAttempt(msgspec.Struct, frozen=True):
    """Cancel an attempt."""

    id: str
    attempt: int


class RejectRequest(msgspec.Struct, frozen=True):
    """Reject the request, which may be retried after `retry_after_ms`; 0 for no advice."""

    id: str
    retry_after_ms: float


class FailRequest(msgspec.Struct, frozen=True):
    """Answer the request with a failure, which does not invite a retry."""

    id: str


class MigrateStream(msgspec.Struct, frozen=True):
    """Resume the request's stream at another host."""

    id: str


class StartTimer(msgspec.Struct, frozen=True):
    """Send the event `TimerFired` with this token after `delay_ms`."""

    delay_ms: float
    token: str


class SetWatch(msgspec.Struct, frozen=True):
    """Open or close the watch of the endpoint list."""

    enabled: bool


class FetchEndpoints(msgspec.Struct, frozen=True):
    """Fetch the complete endpoint list from discovery."""


class SendHealthCheck(msgspec.Struct, frozen=True):
    """Send a health check to a host."""

    server: str


class SendGossip(msgspec.Struct, frozen=True):
    """Send a datagram to every other dispatcher."""

    payload: bytes


class WriteLog(msgspec.Struct, frozen=True):
    """Write a log line."""

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
