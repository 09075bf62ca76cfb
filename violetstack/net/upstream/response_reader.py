"""Reads a model host's response to one attempt, and forwards its events as they arrive."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt
from violetstack.log import log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.late_reads import LateReads
from violetstack.net.upstream.response_errors import StalledResponseError, UnfinishedStreamError
from violetstack.net.upstream.stream_progress import ResponseProgress, StreamPosition
from violetstack.net.upstream.stream_trailer import (
    LoadReport,
    StreamTrailer,
    cached_tokens_of,
    may_end_stream,
)
from violetstack.policy_api import AttemptStatus
from violetstack.protocol import sse
from violetstack.protocol.answer_events import AnswerEvent, EventKind, read_event
from violetstack.protocol.headers import parse_load_report
from violetstack.protocol.http_client import InvalidResponseError, ResponseData, ResponseEnd, ResponseHead

MIGRATION_RETRY_S = 0.1
"""Interval at which the migration of a stream is retried after it was not possible."""
MAX_BODY_BYTES = 64 * 1024
"""Limit for the body of a response that is not a stream."""
MAX_HELD_BACK_BYTES = 16 * 1024
"""Limit for comments before the first event of an answer."""
INVALID_REQUEST_STATUSES = frozenset({400, 404, 405, 411, 413, 414, 415, 422, 431})
"""The request itself is invalid: every other host would reject it, too."""
TOO_MANY_REQUESTS = 429
STATE_MISSING = 410
REJECTION_STATUSES = frozenset({STATE_MISSING, 503, 504})
"""With `Srv-Declined: 1` and one of these the host has not run the request; with any other it may have."""
STATE_MISSING_DETAIL = 1
"""`AttemptFinished.detail` of a rejection because the host no longer holds the prefilled state."""

MigrateStream = Callable[[Attempt, UpstreamConnection, Callable[[], StreamPosition]], Awaitable[bool]]
"""Hands a stream at its current position to another process; False if it must continue here."""


class AttemptResult(NamedTuple):
    """How an attempt ended; `detail` and `load_report` as in `AttemptFinished`."""

    status: AttemptStatus
    detail: int = 0
    load_report: LoadReport = None


class ResponseReader:
    """Reads one response, from its head to its end.

    A response that stops or is malformed while its connection stays open would keep the client waiting for
    ever. Timeouts therefore end every response that does not continue.
    """

    def __init__(
        self,
        core: Dispatcher,
        attempt: Attempt,
        connection: UpstreamConnection,
        *,
        report_fields: tuple[str, ...],
        openai_api: bool,
        current_migration: Callable[[], MigrateStream | None],
        set_receive_scope: Callable[[trio.CancelScope], None],
    ) -> None:
        self._core = core
        self._attempt = attempt
        self._connection = connection
        self._report_fields = report_fields
        self._openai_api = openai_api
        self._current_migration = current_migration
        self._set_receive_scope = set_receive_scope
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._splitter = sse.EventSplitter()
        self._held_back = bytearray()
        """Events before the first one with data."""
        self._trailer = StreamTrailer(report_fields)
        self._event_bytes = 0
        """Number of bytes of an incomplete event, as of the last read."""
        self._partial = False
        self._received = False
        """Whether the last read returned bytes."""
        self._late_reads = LateReads()
        self._progress = ResponseProgress()

    @property
    def done(self) -> bool | None:
        """Whether the marker at the end of the answer, `[DONE]`, has been received; None if unknown."""
        return self._trailer.done

    @property
    def idle_ms(self) -> float:
        """Time since the last event of the answer."""
        return self._progress.idle_ms

    def describe_position(self) -> str:
        """Returns where in the framing and in its events the received part of the response ends."""
        position = self._connection.http.describe_position()
        return f"{position}, {self._splitter.incomplete_bytes} bytes of an incomplete event"

    async def resume(self, position: StreamPosition) -> AttemptResult:
        """Continues a stream that another process has read up to `position`."""
        self._head = ResponseHead(200, {})
        self._trailer.cached_tokens = position.cached_tokens
        self._trailer.done = position.done
        self._progress.resume(position.idle_ms, done=position.done is True)
        return await self.read()

    async def read(self) -> AttemptResult:
        """Reads to the end of the response; the status CANCELLED means that the stream was migrated.

        Raises:
            InvalidResponseError: The response is not HTTP, or is incomplete.
            sse.InvalidEventError: Its body is not a stream of server-sent events.
            OSError: The connection broke.
        """
        while True:
            advances = self._progress.advances
            for event in await self._receive():
                if isinstance(event, ResponseHead):
                    self._read_head(event)
                elif isinstance(event, ResponseData) and self._head is not None:
                    self._read_body(self._head, event.data)
                elif isinstance(event, ResponseEnd) and self._head is not None:
                    return self._result(self._head)
            if self._attempt.stream_started:
                await self._wait_for_client(advanced=self._progress.advances > advances)
            self._update_partial()
            if await self._migrate():
                return AttemptResult(AttemptStatus.CANCELLED)

    async def _receive(self) -> list[ResponseHead | ResponseData | ResponseEnd]:
        """Reads once, until the time limit for the next part.

        Input that was waiting when the limit ended is read outside of the expired cancel scope, which would
        cancel every further read as well; see `LateReads`.

        Raises:
            StalledResponseError: Nothing that advances the response arrived within the limit.
        """
        deadline = self._progress.deadline(
            stream_started=self._attempt.stream_started,
            partial=self._partial,
            may_retry=self._core.may_retry(self._attempt),
        )
        receive_until = deadline
        if self._current_migration() is not None and self._attempt.stream_started:
            receive_until = min(receive_until, trio.current_time() + MIGRATION_RETRY_S)
        events: list[ResponseHead | ResponseData | ResponseEnd] = []
        with trio.move_on_at(receive_until) as timer:
            self._set_receive_scope(timer)
            events = await self._connection.receive()
        self._received = not timer.cancelled_caught
        if self._received:
            return events
        is_late = trio.current_time() >= deadline
        self._late_reads.look(is_late=is_late)
        if self._connection.has_input() and self._late_reads.allowed:
            self._received = True
            return await self._connection.receive()
        if is_late:
            part = "event of the answer" if self._attempt.stream_started else "first event"
            raise StalledResponseError(f"no {part} for {self._progress.idle_ms:.0f} ms")
        return events

    def _read_head(self, head: ResponseHead) -> None:
        framed = "transfer-encoding" in head.headers or "content-length" in head.headers
        if head.status == 200 and not framed and not self._openai_api:
            raise InvalidResponseError(
                "a stream without Content-Length or chunked encoding, whose end looks like a break"
            )
        self._head = head

    def _read_body(self, head: ResponseHead, data: memoryview) -> None:
        if head.status != 200:
            self._body += data
            if len(self._body) > MAX_BODY_BYTES:
                raise InvalidResponseError(
                    f"body of a response with status {head.status} exceeds {MAX_BODY_BYTES} bytes"
                )
            return
        for raw in self._splitter.feed(data):
            event = read_event(raw)
            self._check(event)
            self._trailer.read(event)
            if not self._attempt.stream_started:
                if event.kind is EventKind.COMMENT:
                    self._hold_back(event)
                    continue
                self._start_stream()
            self._progress.event_received(event)
            self._forward(event)
            self._partial = False

    def _check(self, event: AnswerEvent) -> None:
        """Checks that the client's front can go on with the event.

        Raises:
            InvalidResponseError: The response ends here, since any part of the answer may be missing.
        """
        reason = self._attempt.request.sink.why_unforwardable(event)
        if event.kind is EventKind.ERROR and self._openai_api:
            reason = reason or "the stream contains an error event"
        if not reason and event.kind is not EventKind.UNREADABLE:
            return
        is_first = not self._attempt.answer_spoilt
        self._core.answer_spoilt(now_ms(), self._attempt)
        if reason:
            raise InvalidResponseError(reason)
        if is_first:
            log_rate_limited(
                "upstream_event_unreadable",
                id=self._attempt.request.id,
                server=self._attempt.server,
                events=self._attempt.events_forwarded,
                reason=event.fault,
            )

    def _forward(self, event: AnswerEvent) -> None:
        if not self._core.forward_event(self._attempt, event):
            raise InvalidResponseError("an event that the client's front cannot forward")

    def _hold_back(self, event: AnswerEvent) -> None:
        """Keeps an event that may precede the answer: forwarding it would rule out another attempt."""
        self._held_back += event.raw
        if len(self._held_back) > MAX_HELD_BACK_BYTES:
            raise InvalidResponseError(f"more than {MAX_HELD_BACK_BYTES} bytes of comments before the answer")

    def _start_stream(self) -> None:
        if not self._core.stream_started(now_ms(), self._attempt):
            raise InvalidResponseError("the stream is not wanted any more: the core has rejected it")
        self._progress.stream_started()
        if self._held_back:
            self._forward(AnswerEvent(memoryview(self._held_back), EventKind.COMMENT))
            self._held_back = bytearray()

    async def _wait_for_client(self, *, advanced: bool) -> None:
        """Applies backpressure.

        The time spent waiting for a slow client does not count against the host, unless what the client has
        to read is no part of the answer.
        """
        wait_started_at = trio.current_time()
        await self._attempt.request.payload.wait_writable()
        if advanced:
            self._progress.client_waited(trio.current_time() - wait_started_at)

    def _update_partial(self) -> None:
        was_partial = self._partial
        if self._splitter.has_incomplete_data and self._splitter.incomplete_bytes != self._event_bytes:
            self._progress.event_part_received()
        self._event_bytes = self._splitter.incomplete_bytes
        incomplete = self._connection.http.partial or self._splitter.partial
        # An OpenAI-style host may send the head long before the first event.
        awaits_first_event = self._head is not None and not self._attempt.stream_started
        self._partial = incomplete or (awaits_first_event and not self._openai_api)
        if (incomplete and self._received) or (self._partial and not was_partial):
            self._progress.part_received()

    async def _migrate(self) -> bool:
        migrate = self._current_migration()
        if migrate is None or not self._attempt.stream_started or self._partial or self._openai_api:
            return False
        return await migrate(self._attempt, self._connection, self._position)

    def _position(self) -> StreamPosition:
        return StreamPosition(self._trailer.cached_tokens, self._trailer.done, self._progress.idle_ms)

    # --- result of a complete response ---

    def _result(self, head: ResponseHead) -> AttemptResult:
        if head.status != 200:
            return self._openai_result(head) if self._openai_api else self._platform_result(head)
        if not self._attempt.stream_started:
            raise UnfinishedStreamError("a stream ended without an event")
        rest = read_event(memoryview(self._splitter.end()))
        self._trailer.read(rest)
        # Framing alone does not show that the answer is complete: a host may end a stream at any event.
        if self._trailer.done is False:
            raise UnfinishedStreamError("a stream ended without [DONE]")
        if not may_end_stream(rest):
            raise UnfinishedStreamError("a stream ended inside an event")
        if rest.raw:
            self._forward(rest)
        cached = self._clamp_cached_tokens(self._trailer.cached_tokens)
        return AttemptResult(AttemptStatus.OK, cached, self._trailer.load_report)

    @staticmethod
    def _openai_result(head: ResponseHead) -> AttemptResult:
        """After a 429 the request has not run; after any other status it may have."""
        rejected = head.status == TOO_MANY_REQUESTS
        return AttemptResult(AttemptStatus.REJECTED if rejected else AttemptStatus.ERROR)

    def _platform_result(self, head: ResponseHead) -> AttemptResult:
        report = parse_load_report(head.headers.get("srv-load"), self._report_fields)
        if head.status == 202 and self._attempt.is_prefill:
            cached = self._clamp_cached_tokens(cached_tokens_of(self._body))
            return AttemptResult(AttemptStatus.PREFILLED, cached, report)
        if head.headers.get("srv-declined") == "1" and head.status in REJECTION_STATUSES:
            detail = STATE_MISSING_DETAIL if head.status == STATE_MISSING else 0
            return AttemptResult(AttemptStatus.REJECTED, detail, report)
        if head.status in INVALID_REQUEST_STATUSES:
            # The request is not retried at another host, and this host is not penalised.
            attempt = self._attempt
            log_rate_limited(
                "upstream_rejected_request", id=attempt.request.id, server=attempt.server, status=head.status
            )
            self._core.request_invalid(now_ms(), attempt)
        return AttemptResult(AttemptStatus.ERROR, 0, report)

    def _clamp_cached_tokens(self, cached_tokens: int) -> int:
        """Limits the host's count of cached tokens to the length of the prompt."""
        return int(max(0, min(cached_tokens, self._attempt.request.policy_request.prompt_tokens)))
