"""The reading half of a client connection: feeds the parser, within limits on time and size."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import trio
from trio.lowlevel import wait_readable

from violetstack.log import log_rate_limited
from violetstack.net.downstream.connection_lifecycle import RESTING_STATES, ConnectionEvent
from violetstack.net.downstream.read_times import ReadTimes
from violetstack.net.downstream.socket_state import wait_for_peer_end
from violetstack.net.transient_errors import receive_some

if TYPE_CHECKING:
    from violetstack.net.downstream.connection import DownstreamConnection

READ_SIZE = 32 * 1024
SLOW_INPUT_MS = 20.0  # processor time
REQUEST_TIMEOUT_S = 2.2
"""Limit for a new connection's first byte, and for the next bytes of a request that has begun."""
MAX_ARRIVAL_S = 15.0
"""Limit for a whole request; it is REQUEST_TIMEOUT_S if many connections are open or in a drain."""
LATE_READ_S = 0.05
"""Limit for reading bytes that wait in the socket at the deadline; with TLS they may be a partial record."""
REJECTION_DELAY_S = 0.05  # first delay of reads after consecutive rejections; each is twice the one before
MAX_REJECTION_DELAY_S = 0.1
MAX_UNREAD_BYTES = 512 * 1024
"""Limit for bytes kept behind an unanswered request; further ones are discarded."""
MAX_UNREAD_BYTES_WHEN_FULL = 64 * 1024
"""The same while the limit on buffered request bodies is exceeded."""
PIPELINE_BURST = 8
"""Consecutive requests with others behind them that are handled; further ones are rejected."""
PIPELINE_DELAY_S = 0.05
"""Delay before each request that is rejected for that, to save processor time."""
DISCARD_INTERVAL_S = 0.01
DISCARD_SIZE = 1024 * 1024


async def wait_for_first_byte(connection: DownstreamConnection) -> bool:
    """Waits for a new connection's first byte; False if it does not arrive in time."""
    if not isinstance(connection.stream, trio.SocketStream):
        return True  # bytes have arrived in the TLS handshake
    with trio.move_on_at(connection.last_used + REQUEST_TIMEOUT_S) as timer:
        await wait_readable(connection.stream.socket)
    if timer.cancelled_caught and not connection.has_unread():
        log_rate_limited("client_request_timeout")
        return False
    return True


class ConnectionReader:
    """Reads from one connection, and makes it handle each complete request.

    It keeps its reference to the connection until `detach`, which breaks the reference cycle.
    """

    __slots__ = (
        "_arriving_since",
        "_connection",
        "_pipeline_delayed",
        "_read_times",
        "_wait_scope",
        "client_ended",
        "consecutive_pipelined",
        "consecutive_rejections",
        "discarded",
    )

    def __init__(self, connection: DownstreamConnection) -> None:
        self.client_ended = trio.Event()
        self.consecutive_rejections = 0
        """Number of 4xx responses since the last acceptable request."""
        self._pipeline_delayed = False
        """Whether the next request was already delayed."""
        self.consecutive_pipelined = 0
        """Number of consecutive requests that were handled when another had already been read behind them."""
        self.discarded = False
        """Whether bytes behind the kept requests were discarded."""
        self._connection: DownstreamConnection | None = connection
        self._read_times = ReadTimes()
        self._wait_scope: trio.CancelScope | None = None
        """Cancel scope of the current wait for input; None if there is none."""
        self._arriving_since = connection.last_used
        """When the first byte of the arriving request was read, on trio's clock; 0 if none is arriving."""

    def detach(self) -> None:
        """Drops the reference to the connection, which is closed."""
        self._connection = None

    @property
    def waiting_for_input(self) -> bool:
        """Whether a wait for input is under way."""
        return self._wait_scope is not None

    def interrupt(self) -> None:
        """Ends the current wait for input; a read that has already taken bytes still returns them."""
        if self._wait_scope is not None:
            self._wait_scope.cancel()

    def waited_ms(self, bytes_behind: int) -> float:
        """Time since the last byte of a complete request was read; `bytes_behind` further bytes follow it."""
        read_at = self._read_times.last_byte_read_at(bytes_behind)
        return 0.0 if read_at is None else (trio.current_time() - read_at) * 1000.0

    async def run(self) -> None:
        """Reads until the client closes its sending side, or the connection is to be closed."""
        connection = self._connection
        assert connection is not None
        while not connection.lifecycle.ending:
            self._handle_input(connection)
            if connection.lifecycle.ending:
                break
            if self.must_delay_pipeline and not connection.lifecycle.answering:
                await self._delay_pipeline()
                continue
            if connection.http.input_pending and not connection.lifecycle.answering:
                await self._wait_for_turn(connection)
                continue
            if connection.migration_pause is not None:
                await connection.migration_pause.wait()
            elif not await self._read_or_wait(connection):
                self.client_ended.set()
                connection.reading_ended()
                return
        while connection.http.request_incomplete and await receive_some(connection.stream, READ_SIZE):
            connection.progress_at = trio.current_time()  # discards the rest of a rejected request
        # A request that crosses the announced end is left unread, so that its client sends it again.
        await wait_for_peer_end(connection.stream)
        self.client_ended.set()

    def _handle_input(self, connection: DownstreamConnection) -> None:
        """Handles the requests that are complete; logs it if that took long: no other task runs then."""
        started_at_s = time.thread_time()
        connection.handle_next_request()
        cpu_ms = (time.thread_time() - started_at_s) * 1000.0
        if cpu_ms >= SLOW_INPUT_MS:
            log_rate_limited(
                "client_input_slow",
                cpu_ms=round(cpu_ms),
                received_bytes=connection.http.size,
                buffered_bytes=connection.buffered_bytes,
            )

    def count_pipelined(self, complete: bool) -> None:
        """Counts consecutive pipelined requests.

        `complete`: whether a request was taken from the parser; otherwise it needs more bytes for one.
        """
        connection = self._connection
        self._pipeline_delayed = False
        if complete and connection is not None and connection.http.unread:
            self.consecutive_pipelined += 1
        else:
            self.consecutive_pipelined = 0

    @property
    def must_delay_pipeline(self) -> bool:
        """Whether the next request that was read has to wait, because its client pipelines too many.

        Each is answered in turn, unless the client disconnects first.
        """
        connection = self._connection
        if self._pipeline_delayed or connection is None or connection.listener.draining or connection.evicted:
            return False
        return self.consecutive_pipelined >= PIPELINE_BURST and connection.http.unread > 0

    @property
    def exceeds_pipeline_limit(self) -> bool:
        """Whether the request last taken from the parser exceeds the limit on pipelined requests."""
        return self.consecutive_pipelined > PIPELINE_BURST

    async def _delay_pipeline(self) -> None:
        self._pipeline_delayed = True
        with trio.CancelScope() as self._wait_scope:
            await trio.sleep(PIPELINE_DELAY_S)
        self._wait_scope = None

    async def _wait_for_turn(self, connection: DownstreamConnection) -> None:
        """Waits until more of the input may be parsed, so that clients with much of it delay no others."""
        began = trio.current_time()
        with trio.CancelScope() as self._wait_scope:
            await connection.listener.input_turns.wait()
        self._wait_scope = None
        if not connection.unread_since and connection.has_unread():
            connection.unread_since = began

    async def _read_or_wait(self, connection: DownstreamConnection) -> bool:
        """Reads or waits once; False if the client closed its sending side or the connection must close."""
        try:
            if connection.lifecycle.answering and connection.http.closing:
                return await self._wait_for_answer(connection)
            if connection.lifecycle.answering and connection.http.unread > _max_unread_bytes(connection):
                return await self._discard_until_answered(connection)
            return await self._receive(connection, self._deadline(connection))
        finally:
            self._wait_scope = None

    def _deadline(self, connection: DownstreamConnection) -> float:
        """Deadline for the next bytes, on trio's clock; infinite if no request is expected."""
        if connection.lifecycle.answering or (connection.request_received and not connection.http.busy):
            self._arriving_since = 0.0
            return math.inf
        now = trio.current_time()
        self._arriving_since = self._arriving_since or now
        use_short_limit = connection.listener.draining or connection.listener.table.crowded
        max_arrival_s = REQUEST_TIMEOUT_S if use_short_limit else MAX_ARRIVAL_S
        return min(now + REQUEST_TIMEOUT_S, self._arriving_since + max_arrival_s)

    async def _receive(self, connection: DownstreamConnection, deadline: float) -> bool:
        """Reads once, until `deadline`."""
        now = trio.current_time()
        if now >= deadline and connection.has_unread():
            deadline = now + LATE_READ_S  # it arrived in time, but this process was late to read it
        data: bytes | bytearray = b""
        with trio.move_on_at(deadline) as self._wait_scope:
            if (
                self.consecutive_rejections > 1
                and not connection.lifecycle.answering
                and not connection.http.busy
            ):
                await self._delay_after_rejections(connection)
            data = await receive_some(connection.stream, READ_SIZE, lambda: _note_unread(connection))
        if self._wait_scope is not None and self._wait_scope.cancelled_caught:
            if connection.evicted and connection.has_unread():
                data = await self._read_at_eviction(connection)
            if not data:
                return _handle_no_data(connection, deadline)
        if data:
            self._feed(connection, bytes(data))
        return bool(data)

    async def _read_at_eviction(self, connection: DownstreamConnection) -> bytes | bytearray:
        """Reads input that arrived after the choice to evict; empty if the client closed its sending side."""
        with trio.move_on_after(LATE_READ_S):
            return await receive_some(connection.stream, READ_SIZE)
        return b""

    def _feed(self, connection: DownstreamConnection, data: bytes) -> None:
        connection.http.feed(data)
        if connection.lifecycle.state in RESTING_STATES:
            connection.lifecycle.apply(ConnectionEvent.REQUEST_BEGUN)
        read_at = connection.unread_since or _earliest_arrival(connection)
        connection.unread_since = 0.0
        self._read_times.add(len(data), read_at, behind_request=connection.lifecycle.answering)
        table = connection.listener.table
        table.set_buffered_bytes(connection, connection.http.buffered_bytes)
        if not connection.request_received:
            table.mark_progress(connection)

    async def _wait_for_answer(self, connection: DownstreamConnection) -> bool:
        """Waits for the end of the response without reading; False if the client disconnects first."""
        with trio.CancelScope() as self._wait_scope:
            await wait_for_peer_end(connection.stream)
            return False
        return True

    async def _discard_until_answered(self, connection: DownstreamConnection) -> bool:
        """Discards input behind the kept requests; False if the client disconnects before the response.

        Only reading on shows that a client that sent much at once has disconnected. Reads are infrequent, to
        save processor time. The connection ends once the kept requests are answered.
        """
        self.discarded = True
        with trio.CancelScope() as self._wait_scope:
            while connection.lifecycle.answering:
                await trio.sleep(DISCARD_INTERVAL_S)
                if not await receive_some(connection.stream, DISCARD_SIZE):
                    return False
        return True

    async def _delay_after_rejections(self, connection: DownstreamConnection) -> None:
        """Delays the next read from a client whose requests are all invalid, to save processor time."""
        delay = REJECTION_DELAY_S * 2.0 ** (self.consecutive_rejections - 2)
        began = trio.current_time()
        await trio.sleep(min(MAX_REJECTION_DELAY_S, delay))
        if connection.has_unread():
            connection.unread_since = began


def _earliest_arrival(connection: DownstreamConnection) -> float:
    """Earliest time at which input that is read now can have arrived, on trio's clock."""
    return trio.current_time() - connection.listener.core.max_unread_ms() / 1000.0


def _note_unread(connection: DownstreamConnection) -> None:
    """Called when a read has to be retried: notes since when the waiting input may have been there."""
    if not connection.unread_since and connection.has_unread():
        connection.unread_since = _earliest_arrival(connection)


def _max_unread_bytes(connection: DownstreamConnection) -> int:
    return MAX_UNREAD_BYTES_WHEN_FULL if connection.listener.table.bodies_full else MAX_UNREAD_BYTES


def _handle_no_data(connection: DownstreamConnection, deadline: float) -> bool:
    """Handles a read without data; False if the connection must be closed now."""
    if connection.evicted:
        return connection.http.busy
    if connection.ends_when_idle and not connection.http.busy:
        connection.begin_close()
        return True
    too_late = trio.current_time() >= deadline and connection.migration_pause is None
    if too_late and not connection.has_unread():
        connection.request_timed_out()
    return True
