"""The reading half of a client connection: bytes into the parser, in time and within bounds."""

from __future__ import annotations

import math
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
REQUEST_TIMEOUT_S = 2.2
"""A new connection's first byte, and the next bytes of a request that has begun, come within this time."""
MAX_ARRIVAL_S = 15.0
"""A whole request arrives within this time; within REQUEST_TIMEOUT_S if connections are many."""
LATE_READ_S = 0.05
"""For bytes that are in the socket when the time for them is over; under TLS they may be no whole record."""
REJECTION_DELAY_S = 0.05
MAX_REJECTION_DELAY_S = 0.1
MAX_UNREAD_BYTES = 512 * 1024
"""Bytes behind an unanswered request that are kept; what comes beyond them is dropped."""
MAX_UNREAD_BYTES_WHEN_FULL = 64 * 1024
"""The same while the bound on request bodies is exceeded."""
PIPELINE_BURST = 8
"""So many requests in a row that have others behind them are handled; further ones are rejected."""
PIPELINE_DELAY_S = 0.05
"""Before each request that is rejected for that, to spare the processor."""
DISCARD_INTERVAL_S = 0.01
DISCARD_SIZE = 1024 * 1024


async def wait_for_first_byte(connection: DownstreamConnection) -> bool:
    """Waits for a new connection's first byte; False if the time for one is over."""
    if not isinstance(connection.stream, trio.SocketStream):
        return True  # a TLS handshake has been made
    with trio.move_on_at(connection.last_used + REQUEST_TIMEOUT_S) as timer:
        await wait_readable(connection.stream.socket)
    if timer.cancelled_caught and not connection.has_unread():
        log_rate_limited("client_request_timeout")
        return False
    return True


class ConnectionReader:
    """Reads one connection, and has it handle each request that is complete.

    It refers to the connection until `detach`, so that no reference cycle is left.
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
        """Answers 4xx since the last request that was acceptable."""
        self._pipeline_delayed = False
        """The next request has waited already."""
        self.consecutive_pipelined = 0
        """Requests behind which another had been read when they were handled."""
        self.discarded = False
        """Bytes behind the requests that are kept were dropped."""
        self._connection: DownstreamConnection | None = connection
        self._read_times = ReadTimes()
        self._wait_scope: trio.CancelScope | None = None
        """The wait for bytes that is under way."""
        self._arriving_since = connection.last_used
        """When the first byte of the request that is arriving came; 0 while none is."""

    def detach(self) -> None:
        """The connection is closed."""
        self._connection = None

    @property
    def waiting_for_input(self) -> bool:
        """Whether a wait for bytes is under way."""
        return self._wait_scope is not None

    def interrupt(self) -> None:
        """Ends the wait for bytes that is under way; a read that has taken bytes still returns them."""
        if self._wait_scope is not None:
            self._wait_scope.cancel()

    def waited_ms(self, bytes_behind: int) -> float:
        """How long a complete request has waited since its last byte came; `unused` bytes lie behind it."""
        read_at = self._read_times.last_byte_read_at(bytes_behind)
        return 0.0 if read_at is None else (trio.current_time() - read_at) * 1000.0

    async def run(self) -> None:
        """Reads until the client has ended its sending, or the connection is to be closed."""
        connection = self._connection
        assert connection is not None
        while not connection.lifecycle.ending:
            connection.handle_next_request()
            if connection.lifecycle.ending:
                break
            if self.must_delay_pipeline and not connection.lifecycle.answering:
                await self._delay_pipeline()
                continue
            if connection.migration_pause is not None:
                await connection.migration_pause.wait()
            elif not await self._read_or_wait(connection):
                self.client_ended.set()
                connection.reading_ended()
                return
        while connection.http.arriving and await receive_some(connection.stream, READ_SIZE):
            connection.progress_at = trio.current_time()  # the rest of a request that has been rejected
        # A request that crosses the announced end is left unread, so that its client sends it once more.
        await wait_for_peer_end(connection.stream)
        self.client_ended.set()

    def count_pipelined(self, complete: bool) -> None:
        """A request was taken from the parser, or `complete` is False and more bytes have to come for one."""
        connection = self._connection
        self._pipeline_delayed = False
        if complete and connection is not None and connection.http.unread:
            self.consecutive_pipelined += 1
        else:
            self.consecutive_pipelined = 0

    @property
    def must_delay_pipeline(self) -> bool:
        """Whether the next request that has been read is to wait, as its client sends many at once.

        Each is answered in its turn, unless the client goes first.
        """
        connection = self._connection
        if self._pipeline_delayed or connection is None or connection.listener.draining or connection.evicted:
            return False
        return self.consecutive_pipelined >= PIPELINE_BURST and connection.http.unread > 0

    @property
    def exceeds_pipeline_limit(self) -> bool:
        """Whether the request that was taken from the parser last is one too many at once."""
        return self.consecutive_pipelined > PIPELINE_BURST

    async def _delay_pipeline(self) -> None:
        self._pipeline_delayed = True
        with trio.CancelScope() as self._wait_scope:
            await trio.sleep(PIPELINE_DELAY_S)
        self._wait_scope = None

    async def _read_or_wait(self, connection: DownstreamConnection) -> bool:
        """False if the client has ended its sending, or the connection is to be closed at once."""
        try:
            if connection.lifecycle.answering and connection.http.closing:
                return await self._wait_for_answer(connection)
            if connection.lifecycle.answering and connection.http.unread > _max_unread_bytes(connection):
                return await self._discard_until_answered(connection)
            return await self._receive(connection, self._deadline(connection))
        finally:
            self._wait_scope = None

    def _deadline(self, connection: DownstreamConnection) -> float:
        """When the next bytes have to be there, on trio's clock; infinite if nothing has to come."""
        if connection.lifecycle.answering or (connection.request_received and not connection.http.busy):
            self._arriving_since = 0.0
            return math.inf
        now = trio.current_time()
        self._arriving_since = self._arriving_since or now
        short_of_capacity = connection.listener.draining or connection.listener.table.crowded
        max_arrival_s = REQUEST_TIMEOUT_S if short_of_capacity else MAX_ARRIVAL_S
        return min(now + REQUEST_TIMEOUT_S, self._arriving_since + max_arrival_s)

    async def _receive(self, connection: DownstreamConnection, deadline: float) -> bool:
        """Reads once, until `deadline`."""
        now = trio.current_time()
        if now >= deadline and connection.has_unread():
            deadline = now + LATE_READ_S  # it came in time, and this process looks late
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
        """What came after the connection had been chosen to be closed; empty if that is the client's end."""
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
        if connection.lifecycle.answering:
            table.set_buffered_bytes(connection, connection.http.size + connection.http.unread)
        if not connection.request_received:
            table.mark_progress(connection)

    async def _wait_for_answer(self, connection: DownstreamConnection) -> bool:
        """Waits for the answer's end with nothing read any more; False if the client ends first."""
        with trio.CancelScope() as self._wait_scope:
            await wait_for_peer_end(connection.stream)
            return False
        return True

    async def _discard_until_answered(self, connection: DownstreamConnection) -> bool:
        """Drops what comes behind the requests that are kept; False if the client ends before the answer.

        Reading on is the only way to notice that a client which sent much at once has gone. It is done
        slowly, to spare the processor. The connection ends once what is kept has been answered.
        """
        self.discarded = True
        with trio.CancelScope() as self._wait_scope:
            while connection.lifecycle.answering:
                await trio.sleep(DISCARD_INTERVAL_S)
                if not await receive_some(connection.stream, DISCARD_SIZE):
                    return False
        return True

    async def _delay_after_rejections(self, connection: DownstreamConnection) -> None:
        """Reads less often from a client whose requests are all invalid, to spare the processor."""
        delay = REJECTION_DELAY_S * 2.0 ** (self.consecutive_rejections - 2)
        began = trio.current_time()
        await trio.sleep(min(MAX_REJECTION_DELAY_S, delay))
        if connection.has_unread():
            connection.unread_since = began


def _earliest_arrival(connection: DownstreamConnection) -> float:
    """When what is read from the connection now can have come at the earliest, on trio's clock."""
    return trio.current_time() - connection.listener.core.max_unread_ms() / 1000.0


def _note_unread(connection: DownstreamConnection) -> None:
    """A read has failed that is made again: what waits then has waited since before this one."""
    if not connection.unread_since and connection.has_unread():
        connection.unread_since = _earliest_arrival(connection)


def _max_unread_bytes(connection: DownstreamConnection) -> int:
    return MAX_UNREAD_BYTES_WHEN_FULL if connection.listener.table.bodies_full else MAX_UNREAD_BYTES


def _handle_no_data(connection: DownstreamConnection, deadline: float) -> bool:
    """No bytes were read; False if the connection is to be closed at once."""
    if connection.evicted:
        return connection.http.busy
    if connection.ends_when_idle and not connection.http.busy:
        connection.begin_close()
        return True
    too_late = trio.current_time() >= deadline and connection.migration_pause is None
    if too_late and not connection.has_unread():
        connection.request_timed_out()
    return True
