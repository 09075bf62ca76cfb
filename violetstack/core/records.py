"""Records of open requests, their attempts, and the other calls that are made to hosts for them."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from violetstack.core.ports import ResponseEvent, Sink
from violetstack.core.remote_hold import RemoteHold
from violetstack.core.timers import Timer
from violetstack.policy_api import AttemptStatus, Endpoint, Request


class RequestOutcome(StrEnum):
    """How a request ended; the values are those of the log field `answer`."""

    COMPLETED = "served"
    REJECTED = "refused"
    SHED = "shed"
    FAILED = "failed"
    INVALID = "unusable"
    """A host has reported the request as invalid."""
    DEADLINE_EXCEEDED = "overdue"
    TRUNCATED = "cut"
    """The stream broke after its first event."""
    CLIENT_DISCONNECTED = "left"
    MIGRATED = "moved"
    """Another process took over the stream."""


class ReservationOutcome(StrEnum):
    """A host's answer to a reservation; the values are those of the log field `places`."""

    RESERVED = "held"
    NOT_RESERVED = "not_held"
    UNKNOWN = "unknown"


class ClosedSink:
    """Replaces the sink of a closed request and ignores all calls."""

    def stream_started(self) -> None:
        """Does nothing."""

    def why_unforwardable(self, event: ResponseEvent) -> str:  # noqa: ARG002 - the same for all
        """Returns an empty text: nothing is forwarded any more."""
        return ""

    def event(self, event: ResponseEvent) -> None:
        """Does nothing."""

    def finished(self) -> None:
        """Does nothing."""

    def stream_broken(self) -> None:
        """Does nothing."""

    def rejected(self, retry_after_ms: float, may_have_run: bool) -> None:
        """Does nothing."""

    def failed(self, may_have_run: bool) -> None:
        """Does nothing."""

    def is_client_disconnected(self) -> bool:
        """Returns True, since the client has its response."""
        return True


CLOSED_SINK = ClosedSink()


class AttemptLogEntry(msgspec.Struct, frozen=True):
    """A finished attempt in the log line of its request.

    Attributes:
        server: Id of the host.
        status: How the attempt ended.
        duration_ms: Time from its start to its end.
        reason: Why it was withheld, or why its response is not complete; empty if that does not apply.
        is_repeat: Whether it was written although an earlier attempt may have run the request.
    """

    server: str
    status: AttemptStatus
    duration_ms: int
    reason: str = ""
    is_repeat: bool = False

    def as_row(self) -> tuple[str | int, ...]:
        """Returns the entry as it is logged: host, status, duration in ms, and the reason if any."""
        row = (self.server, self.status.value, self.duration_ms)
        return (*row, self.reason) if self.reason else row


class ReservationLogEntry(msgspec.Struct, frozen=True):
    """A finished reservation in the log line of its request."""

    server: str
    outcome: ReservationOutcome


class WrittenExecution(NamedTuple):
    """A completely written attempt that is not a prefill: its number, the time, and its host's endpoint."""

    attempt_number: int
    written_at: float
    endpoint: Endpoint | None


class Attempt(msgspec.Struct, eq=False):
    """One attempt of a request at one host. Times are in milliseconds.

    Attributes:
        request: The request that the attempt belongs to.
        number: Number of the attempt within the request, from 0.
        server: Id of the host.
        endpoint: The host's entry in the endpoint list when the attempt was started.
        is_prefill: Whether the host only prefills the prompt, which may be repeated without effect.
        sent_at: When the attempt was started.
        deadline: When it times out.
        request_written: Whether the last byte may have been sent; the driver sets it in that step, never
            earlier.
        first_byte_at: When its first byte was written.
        written_at: When its last byte was handed to the kernel.
        withhold_reason: Why the attempt was not sent, or not completely; empty if it was.
        broken_reason: Why its response is not complete; the driver sets it when it reports the end.
        is_repeat: Whether its last byte was written although an earlier attempt may have run the request.
        answer_spoilt: Whether the host wrote an event that cannot be read, or reported an error in one.
        stream_started: Whether the first event of its response was accepted.
        events_forwarded: Number of events that were forwarded to the client.
        answered: Whether its host has responded, with any status.
        finished: Whether its outcome is known.
        timer: The timer of its deadline.
    """

    request: OpenRequest
    number: int
    server: str
    is_prefill: bool
    sent_at: float
    deadline: float
    request_written: bool = False
    first_byte_at: float = 0.0
    written_at: float = 0.0
    withhold_reason: str = ""
    broken_reason: str = ""
    is_repeat: bool = False
    answer_spoilt: bool = False
    stream_started: bool = False
    events_forwarded: int = 0
    answered: bool = False
    finished: bool = False
    timer: Timer | None = None
    endpoint: Endpoint | None = None

    @property
    def awaits_response(self) -> bool:
        """Whether it was completely written and its host has not begun to stream."""
        return self.request_written and not self.stream_started and not self.finished


class ReservationCall(msgspec.Struct, eq=False):
    """The reservation of a decode slot while the prompt is prefilled.

    Attributes:
        request: The request that the slot is for.
        server: Id of the decode host.
        attempt: The prefill attempt that the reservation accompanies, if one is in flight.
        written_at: When its last byte was handed to the kernel, in milliseconds; None before that.
    """

    request: OpenRequest
    server: str
    attempt: Attempt | None
    written_at: float | None = None


class ReleaseCall(msgspec.Struct, eq=False):
    """The release of the prefilled state and the decode slots that hosts hold for a request.

    Attributes:
        request: The request that they are held for.
        started_at: When the release was started, in milliseconds.
        superseded: Whether an attempt or a reservation was sent since then; its end decides what is held.
        attempts_at_start: Numbers of the attempts that were in flight when the release was started. Hosts
            keep what such an attempt waits for, so another release follows after the attempt's end.
    """

    request: OpenRequest
    started_at: float
    superseded: bool = False
    attempts_at_start: frozenset[int] = frozenset()


def always_allowed() -> bool:
    """Returns True: the default for `OpenRequest.sending_allowed`."""
    return True


class OpenRequest(msgspec.Struct, eq=False):
    """A request, from its acceptance until no host holds anything for it. Times are in milliseconds.

    Attributes:
        policy_request: The request as the policy sees it.
        sink: Receives its response.
        payload: The front's data for the driver; opaque to the core.
        arrived_at: When it was accepted.
        deadline: When its client gives up.
        in_flight: Unfinished attempts by number.
        attempts_sent: Number of attempts that were started.
        committed_attempt: The attempt whose stream is forwarded to the client.
        host_key: By this key hosts know repeats of the request; empty if any host may run it again.
        sending_allowed: Called in each step that writes a part of an attempt; if it returns False, the rest
            is not sent.
        survives_disconnect: Whether an attempt that a host may be executing continues after the client has
            disconnected, so that the client's retry finds the response.
        client_disconnected: Whether its client has closed the connection.
        done: Whether it has its final response.
        may_have_run: Whether a host may have executed a finished attempt; prefills do not count.
        execution_recorded: Whether its id is among the executed requests because of an attempt of its own.
        first_execution_at: When the first such attempt was started.
        first_execution_endpoint: The host of that attempt.
        attempt_closed_at: When the connection of an attempt was last closed before the host responded.
        hold: What hosts may hold for it.
        hold_timer: The timer of the next release or check of the hold, while its clock runs.
        reservations_in_flight: Number of unfinished reservations.
        reservations_unanswered: Number of those that were written.
        release: The release that is in flight.
        deadline_timer: The timer of its deadline.
        outcome: How it ended; None while it is open.
        finished_at: When it ended.
        first_event_at: When the first event of its response was forwarded; 0 if none was.
        reservation_log: Finished reservations, for the log.
        attempt_log: Finished attempts, for the log.
        executions: Completely written attempts other than prefills, except those that were certainly not
            executed. Only for the invariant check on repeated execution, which must not rely on the code that
            it checks.
    """

    policy_request: Request
    sink: Sink
    payload: Any
    arrived_at: float
    deadline: float
    in_flight: dict[int, Attempt] = {}
    attempts_sent: int = 0
    committed_attempt: Attempt | None = None
    host_key: str = ""
    sending_allowed: Callable[[], bool] = always_allowed
    survives_disconnect: bool = False
    client_disconnected: bool = False
    done: bool = False
    may_have_run: bool = False
    execution_recorded: bool = False
    first_execution_at: float = 0.0
    first_execution_endpoint: Endpoint | None = None
    attempt_closed_at: float = float("-inf")
    hold: RemoteHold = msgspec.field(default_factory=RemoteHold)
    hold_timer: Timer | None = None
    reservations_in_flight: int = 0
    reservations_unanswered: int = 0
    release: ReleaseCall | None = None
    deadline_timer: Timer | None = None
    outcome: RequestOutcome | None = None
    finished_at: float = 0.0
    first_event_at: float = 0.0
    reservation_log: list[ReservationLogEntry] = []
    attempt_log: list[AttemptLogEntry] = []
    executions: list[WrittenExecution] = []

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.policy_request.id

    @property
    def has_response(self) -> bool:
        """Whether the request is over or its client already receives a stream."""
        return self.done or self.committed_attempt is not None

    @property
    def accepts_attempts(self) -> bool:
        """Whether attempts may still be sent: the request has no response and its client waits for one."""
        return not self.has_response and not self.client_disconnected

    @property
    def executing(self) -> bool:
        """Whether a host may be executing the request; prefills do not count."""
        return any(attempt.request_written and not attempt.is_prefill for attempt in self.in_flight.values())

    @property
    def may_have_run_or_is_running(self) -> bool:
        """Whether a host may have executed the request, or may be executing it."""
        return self.may_have_run or self.executing

    def unresponsive_hosts(self) -> set[str]:
        """Returns the hosts that have not responded to an attempt of this request yet, or have timed out."""
        hosts = {attempt.server for attempt in self.in_flight.values() if attempt.awaits_response}
        hosts.update(entry.server for entry in self.attempt_log if entry.status is AttemptStatus.TIMEOUT)
        return hosts

    def close(self) -> None:
        """Drops the references to the front and the connection.

        They refer back to this record, so otherwise the memory would not be freed before the garbage
        collector finds the cycle.
        """
        self.sink = CLOSED_SINK
        self.payload = None
        self.committed_attempt = None
