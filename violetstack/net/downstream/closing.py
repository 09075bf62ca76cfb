"""Counts the closes of client connections by reason, and logs those that may lose data.

Closing a socket with unread input resets the connection (RFC 9112, section 9.6), and the reset destroys data
that the client has not received or not read yet. Each close is therefore checked for requests without a
response, unsent output and unread input.
"""

from __future__ import annotations

import fcntl
import struct
import termios
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec
import trio

from violetstack.net.downstream.connection_lifecycle import RESTING_STATES, ConnectionState
from violetstack.net.downstream.socket_state import tcp_stream

INT_BYTES = struct.calcsize("i")
RECENT_RESPONSE_MS = 1000
"""For this long after a response its client may still read it, or be writing its next request."""


class CloseReason(StrEnum):
    """Why this process closed a client connection."""

    CLIENT_ENDED = "client_ended"
    """The client closed the connection or its sending side."""
    CONNECTION_BROKEN = "connection_broken"
    """The client or the network reset the connection."""
    CLIENT_STALLED = "client_stalled"
    """The client did not read its response within the time limit."""
    RESPONSE_ENDED = "response_ended"
    """The response announced the close, or the client asked for it."""
    STREAM_BROKEN = "stream_broken"
    """The stream of the model host broke off."""
    REQUEST_REJECTED = "request_rejected"
    """The client's request was rejected, and the connection cannot go on after that."""
    REQUEST_TIMEOUT = "request_timeout"
    """The first request, or the rest of a request, did not arrive in time."""
    EVICTED = "evicted"
    """It was closed to make room for another connection."""
    SHUTDOWN_IDLE = "shutdown_idle"
    """The process shuts down, and no request was open on the connection."""
    MIGRATED = "migrated"
    """Another process took over the connection."""
    PROCESS_ENDED = "process_ended"
    """The process ended while the connection was open."""
    INTERNAL_ERROR = "internal_error"
    """The task of the connection failed."""


class Violation(StrEnum):
    """A promise that a close breaks to a client that is still connected."""

    ANSWER_OWED = "answer_owed"
    """A request that was read got no response."""
    STREAM_CUT = "stream_cut"
    """A response was cut off although the stream of its model host had not broken."""
    OUTPUT_UNSENT = "output_unsent"
    """Output was left in this process, or in the kernel, where a reset may still destroy it."""
    UNREAD_INPUT = "unread_input"
    """Input of an unfinished request was not read, and the end of the connection was not announced before."""
    QUEUE_CLOSED = "queue_closed"
    """A listening socket was closed while connections waited in its queue, which resets them."""


class Close(msgspec.Struct, frozen=True):
    """The state of a connection right before it is closed.

    Attributes:
        reason: Why it is closed.
        state: The state of the connection.
        request_id: Id of the last request on it; empty if there was none.
        unread_bytes: Input in the socket that was not read.
        unacknowledged_bytes: Output that the client's machine has not acknowledged.
        unwritten_bytes: Output that the kernel has not taken.
        idle_ms: Time since the last response ended or, without one, since the connection was accepted.
        end_announced: Whether a response announced the end of the connection, or its sending side was closed.
        client_ended: Whether the client closed the connection or its sending side.
    """

    reason: CloseReason
    state: ConnectionState
    request_id: str
    unread_bytes: int
    unacknowledged_bytes: int
    unwritten_bytes: int
    idle_ms: int
    end_announced: bool
    client_ended: bool

    @property
    def served_recently(self) -> bool:
        """Whether a response ended on the connection shortly before."""
        return bool(self.request_id) and self.idle_ms < RECENT_RESPONSE_MS

    def violations(self) -> list[Violation]:
        """The promises to the client that this close breaks."""
        if self.client_ended or self.reason in HARMLESS_REASONS:
            return []
        violations = []
        if self.state is ConnectionState.WAITING:
            violations.append(Violation.ANSWER_OWED)
        if self.state is ConnectionState.STREAMING and self.reason is not CloseReason.STREAM_BROKEN:
            violations.append(Violation.STREAM_CUT)
        waited_for_client = self.state is ConnectionState.LINGERING and not self.unread_bytes
        if self.unwritten_bytes or (self.unacknowledged_bytes and not waited_for_client):
            violations.append(Violation.OUTPUT_UNSENT)
        if self.unread_bytes and not self.end_announced and self.state not in RESTING_STATES:
            violations.append(Violation.UNREAD_INPUT)
        return violations


HARMLESS_REASONS = frozenset(
    {
        CloseReason.CLIENT_ENDED,
        CloseReason.CONNECTION_BROKEN,
        CloseReason.CLIENT_STALLED,
        CloseReason.MIGRATED,
    }
)
"""The client is gone, or the connection continues in another process."""


class CloseMonitor:
    """Counts closes by reason and violations by kind, for one process.

    Attributes:
        closes: Number of closes by reason.
        violations: Number of violations by kind.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        """`log` writes a rate-limited line."""
        self.closes: Counter[CloseReason] = Counter()
        self.violations: Counter[Violation] = Counter()
        self._log = log

    def record_close(self, close: Close) -> None:
        """Counts a close, and logs it if it breaks a promise."""
        self.closes[close.reason] += 1
        if close.served_recently and close.reason not in HARMLESS_REASONS:
            self._log("client_connection_closed", **_log_fields(close))
        for violation in close.violations():
            self.violations[violation] += 1
            self._log("client_connection_violation", violation=violation.value, **_log_fields(close))

    def record_queue_closed(self, address: str) -> None:
        """Records that a listening socket is closed while connections wait in its queue."""
        self.violations[Violation.QUEUE_CLOSED] += 1
        self._log("client_connection_violation", violation=Violation.QUEUE_CLOSED.value, listen=address)


def _log_fields(close: Close) -> dict[str, Any]:
    fields = msgspec.structs.asdict(close)
    fields["id"] = fields.pop("request_id")
    return fields


def unread_bytes(stream: trio.abc.Stream) -> int:
    """Unread bytes in the socket of the open stream; 0 if the system does not report them."""
    return _queued_bytes(stream, termios.FIONREAD)


def unacknowledged_bytes(stream: trio.abc.Stream) -> int:
    """Written bytes that the peer's machine has not acknowledged; 0 if the system does not report them.

    The end of the sending side (FIN) counts as one byte.
    """
    return _queued_bytes(stream, termios.TIOCOUTQ)


def _queued_bytes(stream: trio.abc.Stream, ioctl_request: int) -> int:
    transport = tcp_stream(stream)
    if transport is None or transport.socket.fileno() < 0:
        return 0
    try:
        result = fcntl.ioctl(transport.socket.fileno(), ioctl_request, bytes(INT_BYTES))
    except OSError:
        return 0
    return int(struct.unpack("i", result)[0])
