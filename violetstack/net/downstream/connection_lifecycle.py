"""The lifecycle of a client connection: its states, and one table of the events that change them.

The code is driven by this table, as h11 is by its table of message states. An event that is not valid in the
current state changes nothing and is logged; in tests it raises an error. Each event's docstring begins with
the component that causes it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import ClassVar


class ConnectionState(StrEnum):
    """The state of a client connection."""

    UNREAD = "unread"
    """The connection was accepted, and nothing was read from it."""
    READING = "reading"
    """A request has begun to arrive."""
    WAITING = "waiting"
    """A request has arrived or was rejected, and its response has not begun."""
    STREAMING = "streaming"
    """A response has begun and not ended."""
    IDLE = "idle"
    """All responses have ended, and another request may arrive."""
    FLUSHING = "flushing"
    """The connection ends once its output is written; no further request is accepted."""
    LINGERING = "lingering"
    """The kernel has all output; waits until the client has received it and closed the connection."""
    CLOSED = "closed"
    """The socket is closed, or is closed before any other task runs."""


class ConnectionEvent(StrEnum):
    """An event that changes the state, with the component that causes it."""

    REQUEST_BEGUN = "request_begun"
    """Reader: the first bytes of a request have arrived."""
    REQUEST_READ = "request_read"
    """Reader: a request is complete or has to be rejected; a response follows."""
    RESPONSE_BEGUN = "response_begun"
    """Front: the head of a streamed response is queued."""
    RESPONSE_ENDED = "response_ended"
    """Front: a response is queued to its end, and the connection stays open."""
    LAST_RESPONSE_ENDED = "last_response_ended"
    """Front: a response is queued to its end or broken off, and the connection ends after it."""
    END_BEGUN = "end_begun"
    """Reader: the connection ends without a request under way: shutdown, timeout or too much input."""
    OUTPUT_WRITTEN = "output_written"
    """Writer: the kernel has accepted all output of a connection that ends."""
    STREAM_ADOPTED = "stream_adopted"
    """Listener: took over a connection whose response another process has begun."""
    SOCKET_CLOSED = "socket_closed"
    """`DownstreamConnection._close`, the only place that closes the socket."""


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
"""A response is due or under way."""
ENDING_STATES = frozenset({S.FLUSHING, S.LINGERING})
"""The connection ends once the client has received its output."""
RESTING_STATES = frozenset({S.UNREAD, S.IDLE})
"""The connection may end in these states; a client whose request crosses the close sends it once more."""


class InvalidTransitionError(Exception):
    """An event that is not valid in the current state; raised only in tests."""

    def __init__(self, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"event {event.value} is not valid in state {state.value}")
        self.state = state
        self.event = event


class ConnectionLifecycle:
    """The state of one connection.

    Attributes:
        state: The current state.
        strict: Whether an invalid event raises InvalidTransitionError; otherwise it is only logged.
    """

    __slots__ = ("_log", "state")
    strict: ClassVar[bool] = False

    def __init__(self, log: Callable[..., None]) -> None:
        """Starts in the state UNREAD; `log` writes a rate-limited line."""
        self.state = ConnectionState.UNREAD
        self._log = log

    def apply(self, event: ConnectionEvent) -> None:
        """Changes the state according to the table."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is not None:
            self.state = next_state
            return
        if self.strict:
            raise InvalidTransitionError(self.state, event)
        self._log("connection_state_invalid", state=self.state.value, cause=event.value)

    @property
    def answering(self) -> bool:
        """Whether a response is due or under way."""
        return self.state in ANSWERING_STATES

    @property
    def ending(self) -> bool:
        """Whether the connection ends once the client has received its output; accepts no further request."""
        return self.state in ENDING_STATES

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.state is ConnectionState.CLOSED
