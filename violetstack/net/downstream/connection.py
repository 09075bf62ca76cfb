"""One client connection: one task reads requests, another writes responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from msgspec.structs import replace

from violetstack.core.records import OpenRequest
from violetstack.log import log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.downstream.closing import (
    Close,
    CloseReason,
    unacknowledged_bytes,
    unread_bytes,
)
from violetstack.net.downstream.connection_lifecycle import (
    RESTING_STATES,
    ConnectionEvent,
    ConnectionLifecycle,
    ConnectionState,
)
from violetstack.net.downstream.connection_reader import ConnectionReader, wait_for_first_byte
from violetstack.net.downstream.lingering import LingeringClose
from violetstack.net.downstream.response_handle import ResponseHandle
from violetstack.net.downstream.socket_state import has_unread, peer_has_closed
from violetstack.net.downstream.write_queue import WriteQueue
from violetstack.protocol.http_server import (
    Headers,
    HttpRequest,
    HttpServerConnection,
    InvalidRequestError,
)

if TYPE_CHECKING:
    from violetstack.net.downstream.listener import Listener

MIGRATION_FLUSH_TIMEOUT_S = 0.3
"""A stream is not migrated to another process if its output is not written by then."""
CLOSE_TIMEOUT_S = 1.0
BODIES_FULL = "too many requests are being held"
CLIENT_ENDED = "the client has ended its sending"

UNUSED_PARSER = HttpServerConnection()
"""Placeholder for the parser of all connections that have sent nothing yet; never fed."""


class MigrationPause:
    """Stops the reading task while the stream may be handed over to another process."""

    def __init__(self) -> None:
        self.reading_stopped = trio.Event()
        self.resumed = trio.Event()

    async def wait(self) -> None:
        """Called by the reading task; returns once the stream continues in this process."""
        self.reading_stopped.set()
        await self.resumed.wait()


class DownstreamConnection:
    """One client's connection. The methods that send a response never wait: they queue their output.

    The parser, the output queue and the writing task are created with the first byte, so that connections
    that send nothing use little memory.
    """

    __slots__ = (
        "__weakref__",
        "_output",
        "_reader",
        "_request_id",
        "_response",
        "_streamed",
        "buffered_bytes",
        "close_reason",
        "ends_when_idle",
        "evicted",
        "http",
        "last_used",
        "lifecycle",
        "listener",
        "migration_pause",
        "over_limit",
        "progress_at",
        "request",
        "request_received",
        "scope",
        "stream",
        "unread_since",
    )
    _output: WriteQueue
    _reader: ConnectionReader

    def __init__(self, stream: trio.abc.Stream, listener: Listener, *, over_limit: bool = False) -> None:
        self.stream = stream
        self.listener = listener
        self.http = UNUSED_PARSER
        self.request: OpenRequest | None = None
        self.lifecycle = ConnectionLifecycle(log_rate_limited)
        self.last_used = trio.current_time()
        self.progress_at = self.last_used
        self.request_received = False
        """Whether at least one complete request has arrived."""
        self.buffered_bytes = 0
        """Memory of the request that is arriving or being answered, and of the bytes behind it."""
        self.unread_since = 0.0
        """The bytes that are read next may have waited in the socket since this time; 0 if they have not."""
        self.over_limit = over_limit
        """Whether the connection exceeds the limit on connections: its requests are answered with 503."""
        self.scope = trio.CancelScope()
        self.evicted = False
        self.ends_when_idle = False
        """Whether the connection is to end in an orderly way, unless a request has just arrived."""
        self.close_reason: CloseReason | None = None
        """The first reason why this process closes the connection."""
        self.migration_pause: MigrationPause | None = None
        self._request_id = ""
        self._streamed = False
        """Whether the last response was a stream whose last chunk has been queued."""
        self._response: ResponseHandle | None = None

    def start_parsing(self, http: HttpServerConnection) -> None:
        """Called before the first byte is read, or when another process has handed over the connection."""
        self.http = http
        self._output = WriteQueue()
        self._reader = ConnectionReader(self)

    def adopt_response(self) -> ResponseHandle:
        """Returns the handle of a response whose beginning another process has written."""
        self.lifecycle.apply(ConnectionEvent.STREAM_ADOPTED)
        self.request_received = True
        self._response = ResponseHandle(self)
        return self._response

    # --- responses, called by ResponseHandle ---

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Queues a complete response."""
        self._announce_close()
        self._streamed = False
        rejected = 400 <= status < 500 and self.request is None
        self._reader.consecutive_rejections = self._reader.consecutive_rejections + 1 if rejected else 0
        self._output.put(self.http.answer(status, headers, body))
        self._response_ended(broken=False)

    def stream_head(self, status: int, headers: Headers) -> None:
        """Queues the head of a streamed response."""
        self._announce_close()
        if self.http.closing:
            self._reader.interrupt()  # further input is left unread
        self._streamed = False
        self._reader.consecutive_rejections = 0
        self._output.put(self.http.stream(status, headers))
        self.lifecycle.apply(ConnectionEvent.RESPONSE_BEGUN)

    def data(self, data: memoryview | bytes) -> None:
        """Queues a part of a streamed response's body."""
        self._output.put(self.http.data(data))

    def end(self) -> None:
        """Queues the last chunk."""
        self._output.put(self.http.end())
        self._streamed = True
        self._response_ended(broken=False)

    def cut(self) -> None:
        """Closes after all output, but without the last chunk: a broken stream must not look complete."""
        self.note_close_reason(CloseReason.STREAM_BROKEN)
        self._response_ended(broken=True)

    def note_close_reason(self, reason: CloseReason) -> None:
        """Notes why this process closes the connection; the first reason is kept."""
        if self.close_reason is None:
            self.close_reason = reason

    async def wait_writable(self) -> None:
        """Returns once the client has read enough, or the connection is closed."""
        if not self.lifecycle.closed:
            await self._output.wait_writable()

    def _announce_close(self) -> None:
        """While this process drains, announces the end of the connection, unless another request was read."""
        if self.listener.draining and not self.http.unread:
            self.http.closing = True

    def _count_buffered_bytes(self) -> None:
        self.listener.table.set_buffered_bytes(self, self.http.buffered_bytes)

    def _response_ended(self, *, broken: bool) -> None:
        self.request = None
        self.last_used = trio.current_time()
        reusable = not broken and not self.http.closing and self.http.reuse()
        self.http.drop_request()
        self._count_buffered_bytes()
        if not reusable:
            self.note_close_reason(CloseReason.RESPONSE_ENDED)
            self.lifecycle.apply(ConnectionEvent.LAST_RESPONSE_ENDED)
        else:
            self.lifecycle.apply(ConnectionEvent.RESPONSE_ENDED)
            if not self.evicted:
                self.listener.table.mark_idle(self)
        if self.lifecycle.ending or self.http.unread:
            self._reader.interrupt()  # no more input is needed, or the next request was already read
        self._output.wake()

    # --- migration of a stream to another process ---

    async def pause_for_migration(self) -> bool:
        """Stops reading and writing between two events; False, without effect, if not possible now."""
        if not self._can_migrate() or not self._reader.waiting_for_input:
            return False
        pause = self.migration_pause = MigrationPause()
        self._output.expect_flush()
        self._reader.interrupt()
        with trio.move_on_after(MIGRATION_FLUSH_TIMEOUT_S):
            await pause.reading_stopped.wait()
            await self._output.wait_flushed()
        ready = pause.reading_stopped.is_set() and not self.lifecycle.closed and self.http.can_migrate
        if not ready or self._output.pending_bytes:
            self.resume()
            return False
        return True

    def _can_migrate(self) -> bool:
        if self.lifecycle.state is not ConnectionState.STREAMING or self.migration_pause is not None:
            return False
        return isinstance(self.stream, trio.SocketStream) and self.http.can_migrate

    @property
    def descriptor(self) -> int | None:
        """The socket's file descriptor; None for TLS and for closed connections."""
        if self.lifecycle.closed or not isinstance(self.stream, trio.SocketStream):
            return None
        return self.stream.socket.fileno()

    def resume(self) -> None:
        """Continues the stream here after a migration that did not take place."""
        if self.migration_pause is not None:
            self.migration_pause.resumed.set()
        self.migration_pause = None

    def detach(self) -> None:
        """Closes this end without shutting down the connection, which another process now has."""
        self.note_close_reason(CloseReason.MIGRATED)
        self.request = None
        self._response = None
        self.listener.table.forget(self)
        self.scope.cancel()

    def evict(self, reason: CloseReason = CloseReason.EVICTED) -> None:
        """Closes the connection; a request that was read, even in part, is answered first.

        A read that has already taken bytes from the socket returns them although it is cancelled.
        """
        self.note_close_reason(reason)
        self.evicted = True
        if self.http is not UNUSED_PARSER and self._reader.waiting_for_input:
            self._reader.interrupt()
        else:
            self.scope.cancel()

    def end_when_idle(self, reason: CloseReason) -> None:
        """Ends an idle connection in an orderly way; a request that was read meanwhile is answered first."""
        if not self._reader.waiting_for_input:
            return  # the reading task is about to handle new input
        self.ends_when_idle = True
        self._streamed = False  # the client has had time to read the response
        self.note_close_reason(reason)
        self._reader.interrupt()

    def begin_close(self) -> None:
        """Ends a connection without a request under way, once all output is written."""
        self.lifecycle.apply(ConnectionEvent.END_BEGUN)
        self.listener.table.mark_in_use(self)
        self._output.wake()

    # --- state of the socket ---

    def client_has_closed(self) -> bool:
        """Whether the client has closed the connection or its sending side, even behind unread bytes."""
        return self.lifecycle.closed or peer_has_closed(self.stream)

    def has_unread(self) -> bool:
        """Whether unread bytes or the client's close wait in the socket."""
        return not self.lifecycle.closed and has_unread(self.stream)

    @property
    def client_ended(self) -> trio.Event:
        """Set once the client has closed its sending side; only for connections that have read a byte."""
        return self._reader.client_ended

    @property
    def unacknowledged_bytes(self) -> int:
        """Written bytes that the client's machine has not acknowledged."""
        return 0 if self.lifecycle.closed else unacknowledged_bytes(self.stream)

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of responses that the kernel has not accepted yet."""
        return self._output.pending_bytes if self.http is not UNUSED_PARSER else 0

    @property
    def output_memory_bytes(self) -> int:
        """Memory of responses that the kernel has not accepted yet."""
        return self._output.memory_bytes if self.http is not UNUSED_PARSER else 0

    # --- tasks ---

    async def serve(self) -> None:
        """Reads requests and writes responses until the connection ends; raises only trio.Cancelled."""
        try:
            with self.scope:
                if self.http is not UNUSED_PARSER or await self._start():
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._write)
                        await self._reader.run()
                        if not self.lifecycle.ending:
                            self.note_close_reason(CloseReason.CLIENT_ENDED)
                            nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close_reason = CloseReason.CONNECTION_BROKEN  # replaces any earlier reason
        except* trio.TooSlowError:
            self.close_reason = CloseReason.CLIENT_STALLED
        except* Exception as errors:  # a failing connection must not end the listener
            self.close_reason = CloseReason.INTERNAL_ERROR
            log_rate_limited("connection_failed", error=repr(errors.exceptions[0]))
        finally:
            await self._close()

    async def _close(self) -> None:
        self.listener.closes.record_close(self._describe_close())
        if self._response is not None:
            self._response.connection_lost()
            self._response = None
        self.lifecycle.apply(ConnectionEvent.SOCKET_CLOSED)
        self.listener.table.forget(self)
        if self.request is not None:
            self.listener.core.client_disconnected(now_ms(), self.request)
            self.request = None
        if self.http is not UNUSED_PARSER:
            self._output.release_waiters()
            self._reader.detach()
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CLOSE_TIMEOUT_S):
            await trio.aclose_forcefully(self.stream)

    def _describe_close(self) -> Close:
        return Close(
            reason=self.close_reason or CloseReason.PROCESS_ENDED,
            state=self.lifecycle.state,
            request_id=self.request.id if self.request is not None else self._request_id,
            unread_bytes=unread_bytes(self.stream),
            unacknowledged_bytes=unacknowledged_bytes(self.stream),
            unwritten_bytes=self.unwritten_bytes,
            idle_ms=round((trio.current_time() - self.last_used) * 1000.0),
            end_announced=self.http.closing or self.lifecycle.ending,
            client_ended=self.client_has_closed(),
        )

    async def _start(self) -> bool:
        """Waits for the first byte; False if it does not arrive in time."""
        if not await wait_for_first_byte(self):
            self.note_close_reason(CloseReason.REQUEST_TIMEOUT)
            return False
        self.start_parsing(HttpServerConnection())
        # Prevents eviction as a silent connection before these bytes are read.
        self.listener.table.mark_progress(self)
        return True

    # --- requests, called by ConnectionReader ---

    def reading_ended(self) -> None:
        """Cancels the request that waits for its response, and rejects it: the client may still read.

        A client that has closed the connection looks the same as one that has only closed its sending side.
        """
        if self.lifecycle.state is not ConnectionState.WAITING:
            return
        request = self.request
        self.request = None
        may_have_run = request is not None and request.may_have_run_or_is_running
        if request is not None:
            self.listener.core.client_disconnected(now_ms(), request)
        if self.lifecycle.answering:
            if self._response is not None:
                self._response.connection_lost()
            self._reject(500 if may_have_run else 503, CLIENT_ENDED)

    def request_timed_out(self) -> None:
        """Called when the first request of a connection, or the rest of one, has not arrived in time."""
        self.note_close_reason(CloseReason.REQUEST_TIMEOUT)
        if self.http.busy and self.http.can_answer:
            self._reject(408, "the request did not arrive in time")
        else:
            log_rate_limited("client_request_timeout")
            self.scope.cancel()
            self.lifecycle.apply(ConnectionEvent.END_BEGUN)

    def _reject(self, status: int, reason: str) -> None:
        self.note_close_reason(CloseReason.REQUEST_REJECTED)
        self.http.closing = True
        if self.lifecycle.state is not ConnectionState.WAITING:
            self.lifecycle.apply(ConnectionEvent.REQUEST_READ)
        self.listener.front.reject(status, reason, ResponseHandle(self))

    def _reject_complete_request(self, reason: str) -> None:
        """Rejects a complete request; the connection ends unless another request was read behind it."""
        self.http.closing = self.http.closing or not self.http.unread
        self.lifecycle.apply(ConnectionEvent.REQUEST_READ)
        self.request_received = True
        self.listener.table.mark_in_use(self)
        self.listener.front.reject(503, reason, ResponseHandle(self))

    def _reject_evicted(self, inbound: HttpRequest | None) -> None:
        reason = "the connection was closed to make room"
        if inbound is not None:
            self._reject_complete_request(reason)
        else:
            self._reject(503, reason)

    def handle_next_request(self) -> None:
        """Hands the next complete request to the front once the previous one is answered."""
        while not self.lifecycle.answering and not self.lifecycle.ending:
            if self._reader.must_delay_pipeline:
                return
            try:
                inbound = self.http.next_request()
            except InvalidRequestError as error:
                self._reject(error.status, error.reason)
                return
            self._count_buffered_bytes()
            if self.http.input_pending and not self._bodies_full:
                return
            self._reader.count_pipelined(inbound is not None)
            if self.evicted:
                self._reject_evicted(inbound)
                continue
            if inbound is None:
                self._await_rest_of_request()
                return
            reason = self._rejection_reason()
            if reason:
                self._reject_complete_request(reason)
            else:
                self._hand_to_front(inbound)

    @property
    def _bodies_full(self) -> bool:
        """Whether the current request has a body and the limit on buffered request bodies is exceeded."""
        return self.listener.table.bodies_full and self.http.has_body

    def _await_rest_of_request(self) -> None:
        if self.http.busy and self.lifecycle.state in RESTING_STATES:
            self.lifecycle.apply(
                ConnectionEvent.REQUEST_BEGUN
            )  # its bytes were read behind the previous request
        if self._bodies_full:
            self._reject(503, BODIES_FULL)
        elif self._reader.discarded and self.http.busy:
            self._reject(503, "more was sent at once than is kept")
        elif self._reader.discarded:
            self.note_close_reason(CloseReason.REQUEST_REJECTED)
            self.lifecycle.apply(ConnectionEvent.END_BEGUN)
            self._output.wake()
        elif self.http.awaits_100_continue:
            self._output.put([self.http.continue_100()])

    def _rejection_reason(self) -> str:
        """The reason to reject a complete request; empty if it is to be handed to the front."""
        if self.over_limit:
            return "the dispatcher holds too many connections"
        if self._reader.exceeds_pipeline_limit:
            return "too many requests at once on one connection"
        if self._bodies_full:
            return BODIES_FULL
        if self.listener.rejecting_requests:
            # The end of this process would cut off the response; the client retries elsewhere.
            return "this process ends"
        if self.client_has_closed():
            # No request is started for it. It may have closed only its sending side, and still read.
            return CLIENT_ENDED
        return ""

    def _hand_to_front(self, inbound: HttpRequest) -> None:
        self.lifecycle.apply(ConnectionEvent.REQUEST_READ)
        self.request_received = True
        self.listener.table.mark_in_use(self)
        self._response = ResponseHandle(self)
        waited_ms = inbound.waited_ms + self._reader.waited_ms(self.http.unread)
        inbound = replace(inbound, waited_ms=waited_ms)
        try:
            self.listener.front.handle(inbound, self._response)
            self._request_id = self.request.id if self.request is not None else ""
        except Exception as error:  # an internal fault must not leave the request without a response
            log_rate_limited("request_failed", error=repr(error))
            if self.lifecycle.answering and self.request is None:
                self._response.connection_lost()
                self._reject(500, "the request could not be handled")

    async def _write(self) -> None:
        while True:
            await self._output.write_all(self.stream)
            if self.lifecycle.ending:
                self.lifecycle.apply(ConnectionEvent.OUTPUT_WRITTEN)
                await LingeringClose(self).run(client_closes_first=self._streamed)
                self.scope.cancel()
                return
            await self._output.wait_for_output()
