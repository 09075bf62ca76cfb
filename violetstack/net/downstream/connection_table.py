"""The open connections of one listener: their bounds, and which one is closed to make room for another."""

from __future__ import annotations

import trio

from violetstack.net.downstream.closing import CloseReason
from violetstack.net.downstream.connection import DownstreamConnection

MIN_IDLE_S = 2.0
"""A connection that has been idle for this long is the first to be closed to make room."""
MIN_SILENCE_S = 0.2
"""A connection that has made no progress towards its first request for this long comes next."""
SETTLE_S = 0.1
"""A client that goes on with a connection sends its next request this soon, or has read the response."""
MAX_ENDED_AT_ONCE = 32
"""Idle connections that a shutdown ends in one step: hundreds at once would hold up requests."""


class ConnectionTable:
    """Connections bounded in number, and their request bodies bounded in bytes.

    The bounds are set whenever the limits in force change. Idle connections and those without a complete
    request are kept in order, the longest unused first, so that a flood of new connections costs no search,
    and a client that writes slowly outlives one that writes nothing.
    """

    def __init__(self, max_over_limit: int) -> None:
        self.max_connections = 0
        self.max_over_limit = max_over_limit
        """Connections over the bound that are kept until they have been answered."""
        self.max_buffered_bytes = 0
        self.buffered_bytes = 0
        self.handshakes = 0
        """TLS handshakes under way; they count as connections."""
        self.connections: set[DownstreamConnection] = set()
        self.idle: dict[DownstreamConnection, None] = {}
        self.awaiting_first_request: dict[DownstreamConnection, None] = {}
        self.over_limit: dict[DownstreamConnection, None] = {}
        """Connections over the bound: their requests are answered 503, then they are closed."""
        self.over_limit_handshakes = 0
        self.closing: set[DownstreamConnection] = set()
        """Evicted connections that are not closed yet: one may still have to answer what it has just read."""

    # --- life of a connection ---

    def add(self, connection: DownstreamConnection) -> None:
        """A new connection, of which no request has arrived yet."""
        self.connections.add(connection)
        self.awaiting_first_request[connection] = None

    def add_over_limit(self, connection: DownstreamConnection) -> None:
        """A new connection over the bound, or one that is evicted and has to be answered first."""
        self.connections.add(connection)
        self.over_limit[connection] = None

    def add_in_use(self, connection: DownstreamConnection) -> None:
        """A connection with a response under way, taken over from another process."""
        self.connections.add(connection)

    def mark_progress(self, connection: DownstreamConnection) -> None:
        """A part of a first request has arrived."""
        if connection in self.awaiting_first_request:
            del self.awaiting_first_request[connection]
            self.awaiting_first_request[connection] = None
            connection.progress_at = trio.current_time()

    def mark_in_use(self, connection: DownstreamConnection) -> None:
        """A complete request has arrived."""
        self.awaiting_first_request.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_idle(self, connection: DownstreamConnection) -> None:
        """A response has ended, and another request may come."""
        self.idle[connection] = None

    def forget(self, connection: DownstreamConnection) -> None:
        """The connection is closed, or about to be."""
        self.set_buffered_bytes(connection, 0)
        self.mark_in_use(connection)
        self.over_limit.pop(connection, None)
        self.closing.discard(connection)
        self.connections.discard(connection)

    # --- bounds ---

    def set_buffered_bytes(self, connection: DownstreamConnection, size: int) -> None:
        """Accounts for the body of the request that is arriving or being answered."""
        self.buffered_bytes += size - connection.buffered_bytes
        connection.buffered_bytes = size

    @property
    def bodies_full(self) -> bool:
        """Whether the bound on buffered request bodies is exceeded."""
        return self.buffered_bytes > self.max_buffered_bytes

    @property
    def connection_utilization(self) -> float | None:
        """Connections as a part of their bound; None where none is set."""
        return len(self.connections) / self.max_connections if self.max_connections else None

    @property
    def crowded(self) -> bool:
        """Whether so many connections are open that slow ones are not waited for at length."""
        return 2 * len(self.connections) > self.max_connections

    @property
    def body_utilization(self) -> float | None:
        """Buffered bodies as a part of their bound; None where none is set."""
        return self.buffered_bytes / self.max_buffered_bytes if self.max_buffered_bytes else None

    def has_room(self) -> bool:
        """Whether one more connection may be kept; closes the least useful one for it if need be."""
        kept = len(self.connections) - len(self.over_limit) + self.handshakes
        return kept < self.max_connections or self.evict_one()

    def may_serve_over_limit(self) -> bool:
        """Whether one more connection may be kept to be answered 503; closes a silent one for it if need be.

        False means that the descriptors for such connections are all in use: the new one is closed unread.
        """
        if len(self.over_limit) + self.over_limit_handshakes < self.max_over_limit:
            return True
        return any(self._evict_unless_used(c) for c in self.over_limit if not c.http.busy)

    def evict_one(self) -> bool:
        """Closes the least useful connection; False if all are in use.

        Long idle connections go first, then those without progress, then any that is idle.
        """
        now = trio.current_time()
        oldest = next(iter(self.idle), None)
        if oldest is not None and oldest.last_used < now - MIN_IDLE_S and self._evict_unless_used(oldest):
            return True
        for connection in self.awaiting_first_request:
            if connection.progress_at > now - MIN_SILENCE_S:
                break
            if self._evict_unless_used(connection):
                return True
        return any(self._evict_unless_used(connection) for connection in self.idle)

    def _evict_unless_used(
        self, connection: DownstreamConnection, reason: CloseReason = CloseReason.EVICTED
    ) -> bool:
        """False if a response is still being read by its client, or a request has arrived unread."""
        if not self._is_settled(connection) or connection.has_unread():
            return False
        if connection.http.busy and (
            connection.request_received or len(self.over_limit) >= self.max_over_limit
        ):
            return False  # it has to be answered first
        self.evict(connection, reason)
        return True

    @staticmethod
    def _is_settled(connection: DownstreamConnection) -> bool:
        """Whether the client has got its last response, and has had the time to send another request."""
        if connection.unwritten_bytes:
            return False
        if not connection.request_received:
            return True
        return connection.last_used <= trio.current_time() - SETTLE_S and not connection.unacknowledged_bytes

    def evict(self, connection: DownstreamConnection, reason: CloseReason = CloseReason.EVICTED) -> None:
        """Closes the connection, once it has answered what was read of a request."""
        answer_first = connection.http.busy
        self.forget(connection)
        if answer_first:
            self.add_over_limit(connection)
        else:
            self.closing.add(connection)
        connection.evict(reason)

    # --- shutdown ---

    @property
    def busy(self) -> bool:
        """Whether any response is under way, or a request lies unread on an idle connection."""
        any_in_use = any(
            c.lifecycle.answering or c.lifecycle.ending or c.http.busy or c.unwritten_bytes
            for c in self.connections
        )
        return any_in_use or bool(self.closing) or any(c.has_unread() for c in self.idle)

    @property
    def awaiting_requests(self) -> bool:
        """Whether a client has connected and not sent its first request yet."""
        return bool(self.awaiting_first_request or self.over_limit or self.handshakes)

    def close_idle(self) -> None:
        """Closes idle connections; one that has never sent a request is given its time for that.

        A client that has just got a response may be reading it, or writing its next request: its connection
        is left open for a moment. It ends in order, for a request may come in this very moment.
        """
        ended = 0
        for connection in [c for c in self.idle if not c.lifecycle.answering and not c.http.busy]:
            if ended < MAX_ENDED_AT_ONCE and self._is_settled(connection) and not connection.has_unread():
                connection.end_when_idle(CloseReason.SHUTDOWN_IDLE)
                ended += 1
