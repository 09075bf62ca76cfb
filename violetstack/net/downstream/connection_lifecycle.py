"""The life of a client connection: its states, and one table of the events that change them.

The table is what the code runs by, as h11's is for a message: an event that a state does not know changes
nothing, is logged, and fails the tests. Who may cause an event stands beside it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import ClassVar


class ConnectionState(StrEnum):
    """How far a client connection has come."""

    UNREAD = "unread"
    """It has been accepted, and nothing of it was read."""
    READING = "reading"
    """A request has begun to arrive."""
    WAITING = "waiting"
    """A request has arrived, or been rejected, and its response has not begun."""
    STREAMING = "streaming"
    """A response has begun and not ended."""
    IDLE = "idle"
    """Responses have ended, and another request may come."""
    FLUSHING = "flushing"
    """The connection ends once its output is written; no further request is taken."""
    LINGERING = "lingering"
    """All output is with the kernel; its arrival and the client's end are awaited."""
    CLOSED = "closed"
    """The socket is closed, or about to be in this very step."""


class ConnectionEvent(StrEnum):
    """What changes the state, and who causes it."""

    REQUEST_BEGUN = "request_begun"
    """Reader: bytes of a request have come."""
    REQUEST_READ = "request_read"
    """Reader: a request is complete, or can only be rejected; a response to it follows."""
    RESPONSE_BEGUN = "response_begun"
    """Front: the head of a streamed response is queued."""
    RESPONSE_ENDED = "response_ended"
    """Front: a response is queued to its end, and the connection may go on."""
    LAST_RESPONSE_ENDED = "last_response_ended"
    """Front: a response is queued to its end or broken off, and the connection ends with it."""
    END_BEGUN = "end_begun"
    """Reader: nothing is under way and nothing more is wanted: a shutdown, a timeout, a flood."""
    OUTPUT_WRITTEN = "output_written"
    """Writer: the kernel has taken all output of a connection that ends."""
    STREAM_ADOPTED = "stream_adopted"
    """Listener: another process has begun the response that goes on here."""
    SOCKET_CLOSED = "socket_closed"
    """`DownstreamConnection._close`, which alone closes the socket."""


S = ConnectionState
E = ConnectionEvent

TRANSITIONS: dict[ConnectionState, dict[ConnectionEvent, ConnectionState]] = {
    S.UNREAD: {
        E.REQUEST_BEGUN: S.READING,
        E.REQUEST_READ: S.WAITING,
        E.END_BEGUN: S.FLUSHING,
        E.STREAM_ADOPTED: S.STREAMING,
        E.SOCKET_CLOSED: S.CLOSED,
    },
    S.READING: {
        E.REQUEST_READ: S.WAITING,
        E.END_BEGUN: S.FLUSHING,
        E.SOCKET_CLOSED: S.CLOSED,
    },
    S.WAITING: {
        E.RESPONSE_BEGUN: S.STREAMING,
        E.RESPONSE_ENDED: S.IDLE,
        E.LAST_RESPONSE_ENDED: S.FLUSHING,
        E.SOCKET_CLOSED: S.CLOSED,
    },
    S.STREAMING: {
        E.RESPONSE_ENDED: S.IDLE,
        E.LAST_RESPONSE_ENDED: S.FLUSHING,
        E.SOCKET_CLOSED: S.CLOSED,
    },
    S.IDLE: {
        E.REQUEST_BEGUN: S.READING,
        E.REQUEST_READ: S.WAITING,
        E.END_BEGUN: S.FLUSHING,
        E.SOCKET_CLOSED: S.CLOSED,
    },
    S.FLUSHING: {
        E.OUTPUT_WRITTEN: S.LINGERING,
        E.SOCKET_CLOSED: S.CLOSED,
    },
    S.LINGERING: {
        E.SOCKET_CLOSED: S.CLOSED,
    },
    S.CLOSED: {},
}

ANSWERING_STATES = frozenset({S.WAITING, S.STREAMING})
"""A response is owed, or under way."""
ENDING_STATES = frozenset({S.FLUSHING, S.LINGERING})
"""The connection ends once its output has arrived."""
RESTING_STATES = frozenset({S.UNREAD, S.IDLE})
"""Between requests a connection may end; a client whose request crosses that sends it once more."""


class InvalidTransitionError(Exception):
    """An event that the state does not know; raised in tests alone."""

    def __init__(self, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"{event.value} in state {state.value}")
        self.state = state
        self.event = event


class ConnectionLifecycle:
    """The state of one connection.

    Attributes:
        state: The current state.
        strict: Whether an invalid event raises InvalidTransitionError; else it is logged and changes nothing.
    """

    __slots__ = ("_log", "state")
    strict: ClassVar[bool] = False

    def __init__(self, log: Callable[..., None]) -> None:
        """Begins in the state UNREAD; `log` writes a rate-limited line."""
        self.state = ConnectionState.UNREAD
        self._log = log

    def apply(self, event: ConnectionEvent) -> None:
        """Changes the state as the table says."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is not None:
            self.state = next_state
            return
        if self.strict:
            raise InvalidTransitionError(self.state, event)
        self._log("connection_state_invalid", state=self.state.value, cause=event.value)

    @property
    def answering(self) -> bool:
        """Whether a response is owed, or under way."""
        return self.state in ANSWERING_STATES

    @property
    def ending(self) -> bool:
        """Whether the connection ends once its output has arrived; no further request is taken."""
        return self.state in ENDING_STATES

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.state is ConnectionState.CLOSED
