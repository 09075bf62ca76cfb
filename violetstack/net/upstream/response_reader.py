"""Reads a model host's response to one attempt, and forwards its events as they come."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt
from violetstack.log import log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.stream_trailer import (
    LoadReport,
    StreamTrailer,
    cached_tokens_of,
    is_error_event,
)
from violetstack.policy_api import AttemptStatus
from violetstack.protocol import sse
from violetstack.protocol.headers import report_of
from violetstack.protocol.http_client import InvalidResponseError, ResponseData, ResponseEnd, ResponseHead

HEAD_TIMEOUT_S = 30.0
"""For the first byte of a response; the attempt's own deadline is far shorter."""
EVENT_TIMEOUT_S = 4.3
"""Between two events: clients may be left waiting on a stream that has stopped for less than 5 s."""
PARTIAL_TIMEOUT_S = 1.5
"""The rest of a head, of a first event or of a chunk comes with its beginning, or never."""
MIGRATION_RETRY_S = 0.1
"""A stream that could not be migrated is tried again after this time."""
MAX_BODY_BYTES = 64 * 1024
"""Of a response that is no stream."""
INVALID_REQUEST_STATUSES = frozenset({400, 404, 405, 411, 413, 414, 415, 422, 431})
"""The request itself is at fault: every other host would reject it, too."""
TOO_MANY_REQUESTS = 429
STATE_MISSING = 410
REJECTION_STATUSES = frozenset({STATE_MISSING, 503, 504})
"""With `Srv-Declined: 1` the host has not run the request; with any other status it may have."""
STATE_MISSING_DETAIL = 1
"""`AttemptFinished.detail` of a rejection because the state is no longer there."""

MigrateStream = Callable[[Attempt, UpstreamConnection, int], Awaitable[bool]]
"""Hands a stream to another process, with the tokens that were cached; False: it goes on here."""


class AttemptResult(NamedTuple):
    """How an attempt ended; `detail` and `load_report` as in `AttemptFinished`."""

    status: AttemptStatus
    detail: int = 0
    load_report: LoadReport = None


class ResponseReader:
    """One response, from its head to its end.

    Responses that are spoilt while their connection stays open would keep the client waiting for ever: what
    does not end where it should is broken off by time-outs.
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
        self._resumed = False
        """Another process has read the head, of a response in chunks."""
        self._body = b""
        self._splitter = sse.Splitter()
        self._trailer = StreamTrailer(report_fields)
        self._partial = False
        self._progress_at = trio.current_time()
        """The last complete event, or the beginning of what is incomplete."""

    async def resume(self, cached_tokens: int) -> AttemptResult:
        """Goes on with a stream whose beginning another process has read."""
        self._head = ResponseHead(200, {})
        self._resumed = True
        self._trailer.cached_tokens = cached_tokens
        return await self.read()

    async def read(self) -> AttemptResult:
        """Reads until the response's end; the status CANCELLED means that the stream was migrated.

        Raises:
            InvalidResponseError: The response is not HTTP, or is incomplete.
            sse.InvalidEventError: Its body is no stream of events.
            OSError: The connection broke.
        """
        while True:
            for event in await self._receive():
                if isinstance(event, ResponseHead):
                    self._read_head(event)
                elif isinstance(event, ResponseData) and self._head is not None:
                    self._read_body(self._head, event.data)
                elif isinstance(event, ResponseEnd) and self._head is not None:
                    return self._result(self._head)
            if self._attempt.stream_started:
                await self._wait_for_client()
            self._update_partial()
            if await self._migrate():
                return AttemptResult(AttemptStatus.CANCELLED)

    async def _receive(self) -> list[ResponseHead | ResponseData | ResponseEnd]:
        """Reads once, at the latest when the time is over.

        It may be over before this process has looked at its input, as after a pause. What lies there is read
        first then, outside of the expired timer, which would cancel each further read as well.
        """
        timeout_s = HEAD_TIMEOUT_S
        if self._partial:
            timeout_s = PARTIAL_TIMEOUT_S
        elif self._attempt.stream_started:
            timeout_s = EVENT_TIMEOUT_S
        deadline = self._progress_at + timeout_s
        receive_until = deadline
        if self._current_migration() is not None and self._attempt.stream_started:
            receive_until = min(receive_until, trio.current_time() + MIGRATION_RETRY_S)
        events: list[ResponseHead | ResponseData | ResponseEnd] = []
        with trio.move_on_at(receive_until) as timer:
            self._set_receive_scope(timer)
            events = await self._connection.receive()
        if timer.cancelled_caught and self._connection.has_input():
            return await self._connection.receive()
        if timer.cancelled_caught and trio.current_time() >= deadline:
            raise InvalidResponseError("the rest of the answer does not come" if self._partial else "silent")
        return events

    def _read_head(self, head: ResponseHead) -> None:
        framed = "transfer-encoding" in head.headers or "content-length" in head.headers
        if head.status == 200 and not framed and not self._openai_api:
            raise InvalidResponseError("a stream whose end cannot be told from a break")
        self._head = head

    def _read_body(self, head: ResponseHead, data: memoryview) -> None:
        if head.status != 200:
            self._body += bytes(data)
            if len(self._body) > MAX_BODY_BYTES:
                raise InvalidResponseError("an answer without an end")
            return
        for event in self._splitter.feed(data):
            if self._openai_api and is_error_event(event):
                raise InvalidResponseError("an error in the stream")
            if not self._attempt.stream_started and not self._core.stream_started(now_ms(), self._attempt):
                raise InvalidResponseError("an answer that nobody wants")
            self._trailer.read(event)
            self._core.forward_event(self._attempt, event)
            self._progress_at = trio.current_time()
            self._partial = False

    async def _wait_for_client(self) -> None:
        """Backpressure: a slow client's time does not count against the host."""
        wait_started_at = trio.current_time()
        await self._attempt.request.payload.wait_writable()
        self._progress_at += trio.current_time() - wait_started_at

    def _update_partial(self) -> None:
        was_partial = self._partial
        # An OpenAI-style host sends the head long before the first event.
        awaits_first_event = self._head is not None and not self._attempt.stream_started
        self._partial = (
            self._connection.http.partial
            or self._splitter.partial
            or (awaits_first_event and not self._openai_api)
        )
        if self._partial and not was_partial:
            self._progress_at = trio.current_time()

    async def _migrate(self) -> bool:
        migrate = self._current_migration()
        if migrate is None or not self._attempt.stream_started or self._partial or self._openai_api:
            return False
        return await migrate(self._attempt, self._connection, self._trailer.cached_tokens)

    # --- what a complete response means ---

    def _result(self, head: ResponseHead) -> AttemptResult:
        if head.status != 200:
            return self._openai_result(head) if self._openai_api else self._platform_result(head)
        # A wrong Content-Length ends a stream anywhere; the last chunk is written by whoever knows the end.
        chunked = "transfer-encoding" in head.headers or self._resumed
        if not self._trailer.done and (self._openai_api or not chunked):
            raise InvalidResponseError("a stream without [DONE]")
        if not self._attempt.stream_started:
            raise InvalidResponseError("a stream without an event")
        if rest := self._splitter.end():
            self._core.forward_event(self._attempt, memoryview(rest))
        cached = self._clamp_cached_tokens(self._trailer.cached_tokens)
        return AttemptResult(AttemptStatus.OK, cached, self._trailer.load_report)

    @staticmethod
    def _openai_result(head: ResponseHead) -> AttemptResult:
        """A 429 has not run, anything else may have."""
        rejected = head.status == TOO_MANY_REQUESTS
        return AttemptResult(AttemptStatus.REJECTED if rejected else AttemptStatus.ERROR)

    def _platform_result(self, head: ResponseHead) -> AttemptResult:
        report = report_of(head.headers.get("srv-load"), self._report_fields)
        if head.status == 202 and self._attempt.is_prefill:
            cached = self._clamp_cached_tokens(cached_tokens_of(self._body))
            return AttemptResult(AttemptStatus.PREFILLED, cached, report)
        if head.headers.get("srv-declined") == "1" and head.status in REJECTION_STATUSES:
            detail = STATE_MISSING_DETAIL if head.status == STATE_MISSING else 0
            return AttemptResult(AttemptStatus.REJECTED, detail, report)
        if head.status in INVALID_REQUEST_STATUSES:
            # No other host is asked, and none is blamed.
            attempt = self._attempt
            log_rate_limited(
                "upstream_rejected_request", id=attempt.request.id, server=attempt.server, status=head.status
            )
            self._core.request_invalid(now_ms(), attempt)
        return AttemptResult(AttemptStatus.ERROR, 0, report)

    def _clamp_cached_tokens(self, cached_tokens: int) -> int:
        """A count of cached tokens within the prompt's length, whatever the host says."""
        return int(max(0, min(cached_tokens, self._attempt.request.policy_request.prompt_tokens)))
