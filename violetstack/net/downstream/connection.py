"""One client connection: one task reads requests, one writes responses."""

from __future__ import annotations

import math
import select
from typing import TYPE_CHECKING

import trio
from msgspec.structs import replace

from violetstack.core.records import OpenRequest
from violetstack.log import log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.downstream.read_times import ReadTimes
from violetstack.net.downstream.response_handle import ResponseHandle
from violetstack.net.downstream.write_queue import WriteQueue
from violetstack.protocol.http_server import (
    Headers,
    HttpRequest,
    HttpServerConnection,
    InvalidRequestError,
)

if TYPE_CHECKING:
    from violetstack.net.downstream.listener import Listener

READ_SIZE = 32 * 1024
REQUEST_TIMEOUT_S = 2.2
"""A new connection's first byte, and the next bytes of a request that has begun, come within this time."""
MAX_ARRIVAL_S = 15.0
"""A whole request arrives within this time; within REQUEST_TIMEOUT_S if connections are many."""
MIGRATION_FLUSH_TIMEOUT_S = 0.3
"""Output that is not written by then keeps a stream from being migrated to another process."""
LINGERING_CLOSE_S = 0.5
"""After the last response the client gets this long to close, counted from the last bytes it has sent."""
MAX_LINGERING_CLOSE_S = 2.2
REJECTION_DELAY_S = 0.05
MAX_REJECTION_DELAY_S = 0.1
MAX_UNREAD_BYTES = 512 * 1024
"""Bytes behind an unanswered request that are kept; what comes beyond them is dropped."""
MAX_UNREAD_BYTES_WHEN_FULL = 64 * 1024
"""The same while the bound on request bodies is exceeded."""
DISCARD_INTERVAL_S = 0.01
DISCARD_SIZE = 256 * 1024
CLIENT_END_POLL_S = 0.02
"""Bytes that are left unread in the socket hide the client's end; it is looked for this often."""
CLOSE_TIMEOUT_S = 1.0
BODIES_FULL = "too many requests are being held"
CLIENT_ENDED = "the client has ended its sending"

UNUSED_PARSER = HttpServerConnection()
"""Stands for the parser of every connection that has sent nothing yet; never fed."""


class _MigrationPause:
    """Reading stops for as long as the stream may pass to another process."""

    def __init__(self) -> None:
        self.reading_stopped = trio.Event()
        self.resumed = trio.Event()


class DownstreamConnection:
    """One client's connection. The answering methods never wait: what they write is queued.

    Parser, output queue and the writing task are made with the first byte: connections that send nothing
    cost little memory.
    """

    __slots__ = (
        "__weakref__",
        "_answered",
        "_arriving_since",
        "_client_ended",
        "_close_when_written",
        "_discarded",
        "_evicted",
        "_migration",
        "_read_times",
        "_output",
        "_read_timer",
        "_rejections_in_a_row",
        "_response",
        "answering",
        "buffered_bytes",
        "closed",
        "http",
        "last_used",
        "listener",
        "progress_at",
        "refused",
        "request",
        "scope",
        "served",
        "stream",
        "unread_since",
    )
    _output: WriteQueue
    _client_ended: trio.Event
    _answered: trio.Event
    _read_times: ReadTimes

    def __init__(self, stream: trio.abc.Stream, listener: Listener, *, refused: bool = False) -> None:
        self.stream = stream
        self.listener = listener
        self.http = UNUSED_PARSER
        self.request: OpenRequest | None = None
        self.answering = False
        """A request was handed to the front and its answer has not ended."""
        self.last_used = trio.current_time()
        self.progress_at = self.last_used
        self.served = False
        """At least one complete request has arrived."""
        self.buffered_bytes = 0
        """Size of the body of the request that is arriving or being answered."""
        self.unread_since = 0.0
        """The bytes that are read next may have waited in the socket since then; 0 if they have not."""
        self.closed = False
        self.refused = refused
        """Over the bound on connections: requests are answered 503."""
        self.scope = trio.CancelScope()
        self._rejections_in_a_row = 0
        self._close_when_written = False
        self._response: ResponseHandle | None = None
        self._read_timer: trio.CancelScope | None = None
        self._migration: _MigrationPause | None = None
        self._arriving_since = self.last_used
        """When the first byte of the request that is arriving came; 0 while none is."""
        self._evicted = False
        self._discarded = False
        """Bytes behind the requests that are kept were dropped."""

    def start_parsing(self, http: HttpServerConnection) -> None:
        """Called with the first byte, or when another process has handed the connection over."""
        self.http = http
        self._output = WriteQueue()
        self._client_ended = trio.Event()
        self._answered = trio.Event()
        self._read_times = ReadTimes()

    def adopt_response(self) -> ResponseHandle:
        """The handle of a response whose beginning another process has written."""
        self.answering = True
        self.served = True
        self._response = ResponseHandle(self)
        return self._response

    # --- responses, called by ResponseHandle ---

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Queues a complete response."""
        self._announce_close()
        rejected = 400 <= status < 500 and self.request is None
        self._rejections_in_a_row = self._rejections_in_a_row + 1 if rejected else 0
        self._output.put(self.http.answer(status, headers, body))
        self._response_ended()

    def stream_head(self, status: int, headers: Headers) -> None:
        """Queues the head of a streamed response."""
        self._announce_close()
        if self.http.closing and self._read_timer is not None:
            self._read_timer.cancel()  # what comes now is left unread
        self._rejections_in_a_row = 0
        self._output.put(self.http.stream(status, headers))

    def data(self, data: memoryview | bytes) -> None:
        """Queues a part of a streamed response's body."""
        self._output.put(self.http.data(data))

    def end(self) -> None:
        """Queues the last chunk."""
        self._output.put(self.http.end())
        self._response_ended()

    def cut(self) -> None:
        """Closes once all is written, without the last chunk: a broken stream must not look complete."""
        self._close_when_written = True
        self._response_ended()

    async def wait_writable(self) -> None:
        """Returns once the client has read enough, or the connection is closed."""
        if not self.closed:
            await self._output.wait_writable()

    def _announce_close(self) -> None:
        """Announces the connection's end while this process ends, unless another request has been read."""
        if self.listener.draining and not self.http.unread:
            self.http.closing = True

    def _response_ended(self) -> None:
        self.answering = False
        self.request = None
        self.last_used = trio.current_time()
        self.listener.table.set_buffered_bytes(self, 0)
        if self.http.closing or (not self._close_when_written and not self.http.reuse()):
            self._close_when_written = True
        if not self._close_when_written and not self.closed and not self._evicted:
            self.listener.table.mark_idle(self)
        if self._read_timer is not None and (self._close_when_written or self.http.unread):
            self._read_timer.cancel()  # the next request has been read already, or nothing more is wanted
        self._output.wake()
        self._answered.set()

    # --- migration of a stream to another process ---

    async def pause_for_migration(self) -> bool:
        """Stops reading and writing between two events; False, with no effect, if not possible now."""
        if not self._can_migrate() or self._read_timer is None:
            return False
        pause = self._migration = _MigrationPause()
        self._output.expect_flush()
        self._read_timer.cancel()
        with trio.move_on_after(MIGRATION_FLUSH_TIMEOUT_S):
            await pause.reading_stopped.wait()
            await self._output.wait_flushed()
        ready = pause.reading_stopped.is_set() and not self.closed and self.http.passable
        if not ready or self._output.pending_bytes:
            self.resume()
            return False
        return True

    def _can_migrate(self) -> bool:
        if self.closed or self._close_when_written or self._migration is not None:
            return False
        return isinstance(self.stream, trio.SocketStream) and self.answering and self.http.passable

    @property
    def descriptor(self) -> int | None:
        """The socket's file descriptor; None for TLS and for closed connections."""
        if self.closed or not isinstance(self.stream, trio.SocketStream):
            return None
        return self.stream.socket.fileno()

    def resume(self) -> None:
        """Goes on after a migration that did not take place."""
        if self._migration is not None:
            self._migration.resumed.set()
        self._migration = None

    def detach(self) -> None:
        """Another process has the connection: this end is closed without shutting it down."""
        self.request = None
        self._response = None
        self.listener.table.forget(self)
        self.scope.cancel()

    def evict(self) -> None:
        """Closes the connection; a request that has been read, or begun to be, is answered first.

        A read that has already taken bytes from the socket returns them, although it is cancelled.
        """
        self._evicted = True
        if self._read_timer is not None:
            self._read_timer.cancel()
        else:
            self.scope.cancel()

    # --- state of the socket ---

    @property
    def _transport(self) -> trio.SocketStream | None:
        """The TCP connection, also below TLS."""
        stream = self.stream.transport_stream if isinstance(self.stream, trio.SSLStream) else self.stream
        return stream if isinstance(stream, trio.SocketStream) else None

    def client_has_closed(self) -> bool:
        """Whether the client has closed its connection, or ended its sending, even behind unread bytes.

        Reading alone shows the end only after all bytes before it: a request and the close behind it may both
        have waited in the kernel's queue while the listener had no room, or while this process was busy.
        """
        transport = self._transport
        if self.closed or transport is None:
            return self.closed
        poll = select.poll()
        poll.register(transport.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def has_unread(self) -> bool:
        """Whether bytes, or the client's end, wait in the socket."""
        return isinstance(self.stream, trio.SocketStream) and self.stream.socket.is_readable()

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of responses that wait for the client to read."""
        return self._output.pending_bytes if self.http is not UNUSED_PARSER else 0

    # --- tasks ---

    async def serve(self) -> None:
        """Reads requests and writes responses until the connection ends; raises nothing but Cancelled."""
        try:
            with self.scope:
                if self.http is not UNUSED_PARSER or await self._first_byte():
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._write)
                        await self._read()
                        if not self._close_when_written:
                            nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception as errors:  # a failing connection must not end the listener
            log_rate_limited("connection_failed", error=repr(errors.exceptions[0]))
        finally:
            await self._close()

    async def _close(self) -> None:
        if self._response is not None:
            self._response.connection_lost()
            self._response = None
        self.closed = True
        self.listener.table.forget(self)
        if self.request is not None:
            self.listener.core.client_disconnected(now_ms(), self.request)
            self.request = None
        if self.http is not UNUSED_PARSER:
            self._output.release_waiters()
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CLOSE_TIMEOUT_S):
            await trio.aclose_forcefully(self.stream)

    async def _first_byte(self) -> bool:
        """Waits for the first byte; False if the time for one is over."""
        if isinstance(self.stream, trio.SocketStream):
            with trio.move_on_at(self.last_used + REQUEST_TIMEOUT_S) as timer:
                await trio.lowlevel.wait_readable(self.stream.socket)
            if timer.cancelled_caught:
                log_rate_limited("client_request_timeout")
                return False
        self.start_parsing(HttpServerConnection())
        # Not to be evicted as silent between the arrival of these bytes and their use.
        self.listener.table.mark_progress(self)
        return True

    async def _read(self) -> None:
        while not self._close_when_written:
            self._handle_next_request()
            if self._close_when_written:
                break
            if self._migration is not None:
                self._migration.reading_stopped.set()
                await self._migration.resumed.wait()
                continue
            if self.answering and self.http.closing:
                open_for_more = await self._wait_for_answer()
            elif self.answering and self.http.unread > self._max_unread_bytes:
                open_for_more = await self._discard_until_answered()
            else:
                open_for_more = await self._receive(self._receive_deadline())
            if not open_for_more:
                self._reading_ended()
                return
        await self._drop_rest_of_request()
        await self._wait_for_client_end()
        self._client_ended.set()

    async def _drop_rest_of_request(self) -> None:
        """Reads on while the client may still send a request that has been rejected."""
        while self.http.arriving and await self.stream.receive_some(READ_SIZE):
            self.progress_at = trio.current_time()

    async def _wait_for_client_end(self) -> None:
        """Returns once the client has closed its connection; what it sends is left unread in the socket.

        The connection's end has been announced. A request that crosses it is not read, so that its client
        sends it once more.
        """
        transport = self._transport
        while transport is not None and not self.client_has_closed():
            if transport.socket.is_readable():
                await trio.sleep(CLIENT_END_POLL_S)
            else:
                await trio.lowlevel.wait_readable(transport.socket)

    def _reading_ended(self) -> None:
        """Ends the request that waits for its answer, and answers it: the client may still read.

        A client that has closed its connection and one that has only ended its sending look alike.
        """
        self._client_ended.set()
        if not self.answering or not self.http.can_answer:
            return
        request, self.request = self.request, None
        may_have_run = request is not None and request.possibly_executed
        if request is not None:
            self.listener.core.client_disconnected(now_ms(), request)
        if self.answering:
            if self._response is not None:
                self._response.connection_lost()
            self._reject(500 if may_have_run else 503, CLIENT_ENDED)

    def _receive_deadline(self) -> float:
        """When the next bytes have to be there, on trio's clock; infinite if nothing has to come."""
        if self.answering or (self.served and not self.http.busy):
            self._arriving_since = 0.0
            return math.inf
        now = trio.current_time()
        self._arriving_since = self._arriving_since or now
        in_haste = self.listener.draining or self.listener.table.crowded
        longest = REQUEST_TIMEOUT_S if in_haste else MAX_ARRIVAL_S
        return min(now + REQUEST_TIMEOUT_S, self._arriving_since + longest)

    async def _receive(self, deadline: float) -> bool:
        """Reads once, until `deadline` on trio's clock; False if the connection has ended."""
        if trio.current_time() >= deadline and self.has_unread():
            deadline = math.inf  # it came in time, and this process looks late
        data: bytes | bytearray = b""
        with trio.move_on_at(deadline) as timer:
            self._read_timer = timer
            if self._rejections_in_a_row > 1 and not self.answering:
                await self._delay_after_rejections()
            data = await self.stream.receive_some(READ_SIZE)
        self._read_timer = None
        if timer.cancelled_caught:
            return self._receiving_stopped(deadline)
        if not data:
            return False
        self.http.feed(bytes(data))
        read_at = self.unread_since or trio.current_time()
        self.unread_since = 0.0
        self._read_times.add(len(data), read_at, behind_request=self.answering)
        if self.answering:
            self.listener.table.set_buffered_bytes(self, self.http.size + self.http.unread)
        if not self.served:
            self.listener.table.mark_progress(self)
        return True

    def _receiving_stopped(self, deadline: float) -> bool:
        """No bytes were read; False if the connection is to be closed at once."""
        if self._evicted:
            return self.http.busy
        if trio.current_time() >= deadline and self._migration is None and not self.has_unread():
            self._request_timed_out()
        return True

    @property
    def _max_unread_bytes(self) -> int:
        return MAX_UNREAD_BYTES_WHEN_FULL if self.listener.table.bodies_full else MAX_UNREAD_BYTES

    async def _wait_for_answer(self) -> bool:
        """Waits for the answer's end with nothing read any more; False if the client ends first."""
        with trio.CancelScope() as self._read_timer:
            await self._wait_for_client_end()
            return False
        return True

    async def _discard_until_answered(self) -> bool:
        """Drops what comes behind the requests that are kept; False if the client ends before the answer.

        Reading on is the only way to notice that a client which sent much at once has gone. It is done
        slowly, to spare the processor. The connection ends once what is kept has been answered.
        """
        self._discarded = True
        with trio.CancelScope() as self._read_timer:
            while self.answering:
                await trio.sleep(DISCARD_INTERVAL_S)
                if not await self.stream.receive_some(DISCARD_SIZE):
                    return False
        return True

    async def _delay_after_rejections(self) -> None:
        """Reads less often from a client whose requests are all invalid, to spare the processor."""
        delay = REJECTION_DELAY_S * 2.0 ** (self._rejections_in_a_row - 2)
        began = trio.current_time()
        await trio.sleep(min(MAX_REJECTION_DELAY_S, delay))
        if self.has_unread():
            self.unread_since = began

    def _request_timed_out(self) -> None:
        if self.http.busy and self.http.can_answer:
            self._reject(408, "the request did not arrive in time")
        else:
            log_rate_limited("client_request_timeout")
            self.scope.cancel()
        self._close_when_written = True

    def _reject(self, status: int, reason: str) -> None:
        self.http.closing = True
        self.answering = True
        self.listener.front.rejected(status, reason, ResponseHandle(self))

    def _turn_away(self, reason: str) -> None:
        """Rejects a complete request; the connection ends unless another has been read behind it."""
        self.http.closing = self.http.closing or not self.http.unread
        self.answering = True
        self.listener.front.rejected(503, reason, ResponseHandle(self))

    def _reject_evicted(self, inbound: HttpRequest | None) -> None:
        reason = "the connection was closed to make room"
        if inbound is not None:
            self._turn_away(reason)
        else:
            self._reject(503, reason)

    def _handle_next_request(self) -> None:
        """Hands the next complete request to the front, once the one before is answered."""
        while not self.answering and not self._close_when_written:
            try:
                inbound = self.http.next_request()
            except InvalidRequestError as error:
                self._reject(error.status, error.reason)
                return
            if self._evicted:
                self._reject_evicted(inbound)
                continue
            self.listener.table.set_buffered_bytes(self, self.http.size)
            if inbound is None:
                self._await_rest_of_request()
                return
            reason = self._reason_to_turn_away()
            if reason:
                self._turn_away(reason)
            else:
                self._hand_to_front(inbound)

    def _await_rest_of_request(self) -> None:
        if self.listener.table.bodies_full and self.http.size:
            self._reject(503, BODIES_FULL)
        elif self._discarded and self.http.busy:
            self._reject(503, "more was sent at once than is kept")
        elif self._discarded:
            self._close_when_written = True
            self._output.wake()
        elif self.http.wants_continue:
            self._output.put([self.http.continue_100()])

    def _reason_to_turn_away(self) -> str:
        """Why a complete request is not handed to the front; empty if it is."""
        if self.refused:
            return "the dispatcher holds too many connections"
        if self.listener.table.bodies_full and self.http.size:
            return BODIES_FULL
        if self.listener.refusing:
            # The end of this process would cut the answer off; the client asks again elsewhere.
            return "this process ends"
        if self.client_has_closed():
            # Nothing is begun for it; it may have ended its sending alone, and still read.
            return CLIENT_ENDED
        return ""

    def _hand_to_front(self, inbound: HttpRequest) -> None:
        self.answering = True
        self.served = True
        self._answered = trio.Event()
        self.listener.table.mark_engaged(self)
        self._response = ResponseHandle(self)
        read_at = self._read_times.of_last_byte(self.http.unread)
        if read_at is not None:
            waited_ms = (trio.current_time() - read_at) * 1000.0
            inbound = replace(inbound, waited_ms=waited_ms)
        try:
            self.listener.front.handle(inbound, self._response)
        except Exception as error:  # a fault that one request shows must not cost it its answer
            log_rate_limited("request_failed", error=repr(error))
            if self.answering and self.request is None:
                self._response.connection_lost()
                self._reject(500, "the request could not be handled")

    async def _write(self) -> None:
        while True:
            await self._output.write_all(self.stream)
            if self._close_when_written:
                await self._lingering_close()
                self.scope.cancel()
                return
            await self._output.wait_for_output()

    async def _lingering_close(self) -> None:
        """Ends the sending, and waits for the client's end: a reset could overtake what was written.

        See RFC 9112, section 9.6.
        """
        if self._transport is None:
            return
        await self._transport.send_eof()
        self.progress_at = trio.current_time()
        latest = self.progress_at + MAX_LINGERING_CLOSE_S
        while not self._client_ended.is_set():
            deadline = min(latest, self.progress_at + LINGERING_CLOSE_S)
            if trio.current_time() >= deadline:
                return
            with trio.move_on_at(deadline):
                await self._client_ended.wait()
