"""Sends the responses to chat requests: streamed, complete, or replayed from the idempotency store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from violetstack.fronts.chat_errors import JSON_HEADERS, ErrorResponse, overloaded, request_failed
from violetstack.fronts.completion_request import CompletionRequest
from violetstack.fronts.completion_response import Completion, why_not_one_choice
from violetstack.fronts.reply import EVENT_STREAM_HEADERS, Reply
from violetstack.idempotency.store import Outcome
from violetstack.protocol.answer_events import AnswerEvent, EventKind
from violetstack.protocol.http_server import Headers

MAX_COMPLETION_BYTES = 1024 * 1024
"""Maximum length of one answer, in memory and in the idempotency store."""
REPLAYED_HEADERS: Headers = [("Idempotent-Replayed", "true")]
RecordOutcome = Callable[[Outcome, bytes], None]
"""Records the outcome of a request with an idempotency key, with the encoded answer."""


class ChatSink:
    """Sends the response to one request.

    A failure before the first chunk is reported by the status, a later one by exactly one final event.
    `idempotent` says that a request that has failed may be sent again.
    """

    def __init__(
        self,
        request: CompletionRequest,
        reply: Reply,
        completion: Completion,
        record_outcome: RecordOutcome,
        *,
        idempotent: bool,
    ) -> None:
        self._request = request
        self._reply = reply
        self._completion = completion
        self._record_outcome = record_outcome
        self._idempotent = idempotent
        self._streaming = False
        self._exceeds_limit = False

    def stream_started(self) -> None:
        """Sends nothing: the head goes out with the first chunk, so that an earlier failure gets a status."""

    def why_unforwardable(self, event: AnswerEvent) -> str:
        """Returns why the answer cannot go on with this event; empty if it can be added.

        The answer is translated, so an event that cannot be read would be missing from it unnoticed.
        """
        match event.kind:
            case EventKind.ERROR:
                return "the stream contains an error event"
            case EventKind.UNREADABLE:
                return event.fault
            case _:
                return why_not_one_choice(event.choices) or self._why_too_long(event)

    def _why_too_long(self, event: AnswerEvent) -> str:
        """Returns why the answer cannot be kept together with this event; empty if it can."""
        if self._completion.size + len(event.data) <= MAX_COMPLETION_BYTES:
            return ""
        self._exceeds_limit = True
        return f"the answer exceeds {MAX_COMPLETION_BYTES} bytes"

    def event(self, event: AnswerEvent) -> None:
        """Adds one event of the model host to the answer; a streamed answer forwards it as a chunk."""
        if event.kind in (EventKind.COMMENT, EventKind.DONE):
            return
        chunk = self._completion.add(event)
        if chunk is not None and self._request.stream:
            self._send_chunk(chunk)

    def finished(self) -> None:
        """Records the answer and ends the response."""
        record = self._completion.record()
        _finish(self._reply, self._completion, self._request, self._send_chunk)
        self._record_outcome(Outcome.COMPLETED, record)

    def stream_broken(self) -> None:
        """Reports that the stream broke after its first event."""
        message = "The stream broke before its end."
        if self._exceeds_limit:
            message = "The answer is longer than can be kept."
        self._fail_incomplete(message)

    def rejected(self, retry_after_ms: float, may_have_run: bool) -> None:
        """Rejects the request; one that may have run has failed, unless it may be repeated at any time.

        The record of a claim tells nothing of the window in which hosts know the request, so a retry of the
        client would send it again after the window, too.
        """
        if may_have_run and not self._idempotent:
            self.failed(may_have_run)
            return
        self._record_outcome(Outcome.RELEASED, b"")
        overloaded(retry_after_ms).send(self._reply)

    def failed(self, may_have_run: bool) -> None:
        """Reports that no answer came."""
        self._record_outcome(Outcome.FAILED if may_have_run else Outcome.RELEASED, b"")
        retry_is_safe = self._idempotent or not may_have_run
        request_failed("No answer came in time.", "no_answer", retry_is_safe=retry_is_safe).send(self._reply)

    def is_client_disconnected(self) -> bool:
        """Returns whether the client has closed its connection or already has its response."""
        return self._reply.is_closed

    def _send_chunk(self, chunk: dict[str, Any]) -> None:
        if not self._streaming:
            self._streaming = True
            self._reply.stream(200, EVENT_STREAM_HEADERS)
        _send_event(self._reply, orjson.dumps(chunk))

    def _fail_incomplete(self, message: str) -> None:
        self._record_outcome(Outcome.FAILED, b"")
        if self._streaming:
            error = ErrorResponse(200, message, "server_error", code="stream_broken")
            _send_event(self._reply, error.body())
            self._reply.end()
        else:
            request_failed(message, "stream_broken", retry_is_safe=self._idempotent).send(self._reply)


def replay(completion: Completion, request: CompletionRequest, reply: Reply) -> None:
    """Sends a recorded completion again, streamed or complete as this request asks for."""
    if not request.stream:
        reply.answer(200, [*JSON_HEADERS, *REPLAYED_HEADERS], orjson.dumps(completion.complete()))
        return
    reply.stream(200, [*EVENT_STREAM_HEADERS, *REPLAYED_HEADERS])

    def send_chunk(chunk: dict[str, Any]) -> None:
        _send_event(reply, orjson.dumps(chunk))

    for choice in completion.choices():
        send_chunk(completion.chunk([choice]))
    _finish(reply, completion, request, send_chunk)


def _finish(
    reply: Reply,
    completion: Completion,
    request: CompletionRequest,
    send_chunk: Callable[[dict[str, Any]], None],
) -> None:
    """Ends a streamed response, or sends the complete answer."""
    if not request.stream:
        reply.answer(200, JSON_HEADERS, orjson.dumps(completion.complete()))
        return
    if not completion.has_choices:
        empty_choice = {"index": 0, "delta": {"role": "assistant"}, "finish_reason": "stop"}
        send_chunk(completion.chunk([empty_choice]))
    usage = completion.usage_chunk()
    if request.include_usage and usage is not None:
        send_chunk(usage)
    _send_event(reply, b"[DONE]")
    reply.end()


def _send_event(reply: Reply, data: bytes) -> None:
    reply.data(b"data: " + data + b"\n\n")
