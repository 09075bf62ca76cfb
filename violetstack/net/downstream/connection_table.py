"""The open connections of one listener: their limits, and the choice of one to close for a new one."""

from __future__ import annotations

import trio

from violetstack.net.downstream.closing import CloseReason
from violetstack.net.downstream.connection import DownstreamConnection

MIN_IDLE_S = 2.0
"""Connections that have been idle for this long are closed first to make room."""
MIN_SILENCE_S = 0.2
"""Connections without progress towards their first request for this long are closed next."""
SETTLE_S = 0.1
"""By this time after a response, its client has read it or has sent its next request."""
MAX_ENDED_AT_ONCE = 32
"""Idle connections that a shutdown ends in one step: hundreds at once would delay requests."""


class ConnectionTable:
    """Limits the number of connections and the bytes of their request bodies.

    The limits are set whenever those in force change. Idle connections and those without a complete request
    are kept in order, the longest unused first. A flood of new connections therefore needs no search, and a
    client that sends slowly is kept longer than one that sends nothing.
    """

    def __init__(self, max_over_limit: int) -> None:
        self.max_connections = 0
        self.max_over_limit = max_over_limit
        """Number of connections over the limit that are kept until they are answered."""
        self.max_buffered_bytes = 0
        self.buffered_bytes = 0
        self.handshakes = 0
        """TLS handshakes under way, which count as connections."""
        self.connections: set[DownstreamConnection] = set()
        self.idle: dict[DownstreamConnection, None] = {}
        self.awaiting_first_request: dict[DownstreamConnection, None] = {}
        self.over_limit: dict[DownstreamConnection, None] = {}
        """Connections over the limit: their requests are answered with 503, then they are closed."""
        self.over_limit_handshakes = 0
        self.closing: set[DownstreamConnection] = set()
        """Evicted connections that are not closed yet; they may have to answer a request just read."""

    # --- lifecycle of a connection ---

    def add(self, connection: DownstreamConnection) -> None:
        """Adds a new connection, on which no request has arrived yet."""
        self.connections.add(connection)
        self.awaiting_first_request[connection] = None

    def add_over_limit(self, connection: DownstreamConnection) -> None:
        """Adds a new connection over the limit, or one that is evicted but has to answer a request first."""
        self.connections.add(connection)
        self.over_limit[connection] = None

    def add_in_use(self, connection: DownstreamConnection) -> None:
        """Adds a connection with a response under way, taken over from another process."""
        self.connections.add(connection)

    def mark_progress(self, connection: DownstreamConnection) -> None:
        """Called when a part of the first request has arrived."""
        if connection in self.awaiting_first_request:
            del self.awaiting_first_request[connection]
            self.awaiting_first_request[connection] = None
            connection.progress_at = trio.current_time()

    def mark_in_use(self, connection: DownstreamConnection) -> None:
        """Called when a complete request has arrived."""
        self.awaiting_first_request.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_idle(self, connection: DownstreamConnection) -> None:
        """Called when a response has ended and another request may arrive."""
        self.idle[connection] = None

    def forget(self, connection: DownstreamConnection) -> None:
        """Removes a connection that is closed or about to be."""
        self.set_buffered_bytes(connection, 0)
        self.mark_in_use(connection)
        self.over_limit.pop(connection, None)
        self.closing.discard(connection)
        self.connections.discard(connection)

    # --- limits ---

    def set_buffered_bytes(self, connection: DownstreamConnection, size: int) -> None:
        """Sets the size of the request body that is arriving or being answered on the connection."""
        self.buffered_bytes += size - connection.buffered_bytes
        connection.buffered_bytes = size

    @property
    def bodies_full(self) -> bool:
        """Whether the limit on buffered request bodies is exceeded."""
        return self.buffered_bytes > self.max_buffered_bytes

    @property
    def output_memory_bytes(self) -> int:
        """Memory of all responses that the kernel has not accepted yet."""
        return sum(connection.output_memory_bytes for connection in self.connections)

    @property
    def connection_utilization(self) -> float | None:
        """Connections as a share of their limit; None if no limit is set."""
        return len(self.connections) / self.max_connections if self.max_connections else None

    @property
    def crowded(self) -> bool:
        """Whether more than half of the permitted connections are open, so that slow ones get less time."""
        return 2 * len(self.connections) > self.max_connections

    @property
    def body_utilization(self) -> float | None:
        """Buffered body bytes as a share of their limit; None if no limit is set."""
        return self.buffered_bytes / self.max_buffered_bytes if self.max_buffered_bytes else None

    def has_room(self) -> bool:
        """Whether one more connection may be kept; closes the least useful one for it if necessary."""
        kept = len(self.connections) - len(self.over_limit) + self.handshakes
        return kept < self.max_connections or self.evict_one()

    def may_serve_over_limit(self) -> bool:
        """Whether one more connection may be kept to be answered with 503.

        Closes a silent one for it if necessary. False means that all descriptors for such connections are in
        use: the new one is closed unread.
        """
        if len(self.over_limit) + self.over_limit_handshakes < self.max_over_limit:
            return True
        return any(self._evict_unless_used(c) for c in self.over_limit if not c.http.busy)

    def evict_one(self) -> bool:
        """Closes the least useful connection; False if all are in use.

        The order is: long idle connections, those without progress, any other idle connection.
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
        """Evicts the connection; False if its client still reads a response, or a request waits unread."""
        if not self._is_settled(connection) or connection.has_unread():
            return False
        if connection.http.busy and (
            connection.request_received or len(self.over_limit) >= self.max_over_limit
        ):
            return False  # the request has to be answered first
        self.evict(connection, reason)
        return True

    @staticmethod
    def _is_settled(connection: DownstreamConnection) -> bool:
        """Whether the client has received its last response and had time to send another request."""
        if connection.unwritten_bytes:
            return False
        if not connection.request_received:
            return True
        return connection.last_used <= trio.current_time() - SETTLE_S and not connection.unacknowledged_bytes

    def evict(self, connection: DownstreamConnection, reason: CloseReason = CloseReason.EVICTED) -> None:
        """Closes the connection, after answering a request that was read in part."""
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
        """Whether any response is under way, or a request waits unread on an idle connection."""
        any_in_use = any(
            c.lifecycle.answering or c.lifecycle.ending or c.http.busy or c.unwritten_bytes
            for c in self.connections
        )
        return any_in_use or bool(self.closing) or any(c.has_unread() for c in self.idle)

    @property
    def awaiting_requests(self) -> bool:
        """Whether any client has connected but not sent its first request yet."""
        return bool(self.awaiting_first_request or self.over_limit or self.handshakes)

    def close_idle(self) -> None:
        """Closes idle connections, but not those that are still awaiting their first request.

        A client that has just received a response may still be reading it, or be writing its next request:
        its connection stays open a little longer. Each close is orderly: a request may arrive just then.
        """
        ended = 0
        for connection in [c for c in self.idle if not c.lifecycle.answering and not c.http.busy]:
            if ended < MAX_ENDED_AT_ONCE and self._is_settled(connection) and not connection.has_unread():
                connection.end_when_idle(CloseReason.SHUTDOWN_IDLE)
                ended += 1
