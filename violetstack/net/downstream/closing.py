"""Why client connections are closed: typed reasons, their counts, and a line where a close may cost bytes.

A close over unread input resets the connection (RFC 9112, section 9.6), and the reset destroys what the
client has not received, or not read. Each close is therefore looked at for what is owed, unsent and unread.
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
"""A client may still be reading a response that has ended since, or be writing its next request."""


class CloseReason(StrEnum):
    """What made this process close a client connection."""

    CLIENT_ENDED = "client_ended"
    """The client has closed the connection, or ended its sending."""
    CONNECTION_BROKEN = "connection_broken"
    """The client or the network has reset it."""
    CLIENT_STALLED = "client_stalled"
    """The client has read nothing for as long as is waited for that."""
    RESPONSE_ENDED = "response_ended"
    """The response has announced it, or the client has asked for it."""
    STREAM_BROKEN = "stream_broken"
    """The model host's stream has ended before its time."""
    REQUEST_REJECTED = "request_rejected"
    """What the client has sent cannot be answered otherwise."""
    REQUEST_TIMEOUT = "request_timeout"
    """A first request, or the rest of one, did not come in time."""
    EVICTED = "evicted"
    """To make room for another connection."""
    SHUTDOWN_IDLE = "shutdown_idle"
    """No request was open on it while the process shuts down."""
    MIGRATED = "migrated"
    """Another process goes on with it."""
    PROCESS_ENDED = "process_ended"
    """The process ends while it is open."""
    INTERNAL_ERROR = "internal_error"
    """Its task has failed."""


class Violation(StrEnum):
    """What a close may not do to a client that is still there."""

    ANSWER_OWED = "answer_owed"
    """A request that was read has no response."""
    STREAM_CUT = "stream_cut"
    """A response has begun and not ended, and its model host's stream has not broken."""
    OUTPUT_UNSENT = "output_unsent"
    """Output is left in this process, or in the kernel, where a reset may still destroy it."""
    UNREAD_INPUT = "unread_input"
    """Input of a request under way was never read, and the client was told of no end before it."""
    QUEUE_CLOSED = "queue_closed"
    """A listening socket is closed while connections wait in its queue, which resets them."""


class Close(msgspec.Struct, frozen=True):
    """One close, as it is found right before.

    Attributes:
        reason: What caused it.
        state: The state of the connection.
        request_id: The last request on it; empty if there was none.
        unread_bytes: Input in the socket that was never read.
        unacknowledged_bytes: Output that the client's machine has not acknowledged.
        unwritten_bytes: Output that the kernel has not taken.
        idle_ms: Time since the last response has ended, or since the connection was accepted.
        end_announced: The client has been told that the connection ends, or its sending half has been closed.
        client_ended: The client has closed the connection, or ended its sending.
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
        """Whether a response has ended on it shortly before."""
        return bool(self.request_id) and self.idle_ms < RECENT_RESPONSE_MS

    def violations(self) -> list[Violation]:
        """Which promises to the client it breaks."""
        if self.client_ended or self.reason in HARMLESS_REASONS:
            return []
        broken = []
        if self.state is ConnectionState.WAITING:
            broken.append(Violation.ANSWER_OWED)
        if self.state is ConnectionState.STREAMING and self.reason is not CloseReason.STREAM_BROKEN:
            broken.append(Violation.STREAM_CUT)
        waited_for_client = self.state is ConnectionState.LINGERING and not self.unread_bytes
        if self.unwritten_bytes or (self.unacknowledged_bytes and not waited_for_client):
            broken.append(Violation.OUTPUT_UNSENT)
        if self.unread_bytes and not self.end_announced and self.state not in RESTING_STATES:
            broken.append(Violation.UNREAD_INPUT)
        return broken


HARMLESS_REASONS = frozenset(
    {
        CloseReason.CLIENT_ENDED,
        CloseReason.CONNECTION_BROKEN,
        CloseReason.CLIENT_STALLED,
        CloseReason.MIGRATED,
    }
)
"""The client has gone, or the connection lives on in another process."""


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
        """A listening socket is closed over connections that nobody has accepted."""
        self.violations[Violation.QUEUE_CLOSED] += 1
        self._log("client_connection_violation", violation=Violation.QUEUE_CLOSED.value, listen=address)


def _log_fields(close: Close) -> dict[str, Any]:
    fields = msgspec.structs.asdict(close)
    fields["id"] = fields.pop("request_id")
    return fields


def unread_bytes(stream: trio.abc.Stream) -> int:
    """Bytes that wait in the socket of the open stream; 0 where the system does not tell."""
    return _queued_bytes(stream, termios.FIONREAD)


def unacknowledged_bytes(stream: trio.abc.Stream) -> int:
    """Written bytes that the peer's machine has not acknowledged; 0 where the system does not tell.

    The end of the sending counts as one byte.
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
