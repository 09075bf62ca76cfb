"""Answers chat requests: streamed, complete, or again from the idempotency store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from violetstack.fronts.chat_errors import JSON, ErrorResponse, no_answer, overloaded
from violetstack.fronts.completion_request import CompletionRequest
from violetstack.fronts.completion_response import Completion
from violetstack.fronts.reply import EVENTS, Reply
from violetstack.idempotency.store import Outcome
from violetstack.protocol import sse
from violetstack.protocol.http_server import Headers

MAX_COMPLETION_BYTES = 1024 * 1024
"""Of one answer, in memory and in the idempotency store."""
REPLAYED: Headers = [("Idempotent-Replayed", "true")]
RecordOutcome = Callable[[Outcome, bytes], None]
"""Records how a request with an idempotency key ended, with its answer."""


class ChatSink:
    """Answers one request: a status before the first event, exactly one final event after it.

    `idempotent`: a failed request may be sent again.
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
        self._too_long = False

    def stream_started(self) -> None:
        """Nothing yet: the head goes out with the first event, so that a break before it gets a status."""

    def event(self, data: memoryview) -> None:
        """Adds one event of a model host, and forwards it as a chunk."""
        text = sse.payload(data)
        if self._too_long or not text or text.strip() == b"[DONE]":
            return
        chunk = self._completion.add(text)
        self._too_long = self._completion.size > MAX_COMPLETION_BYTES
        if chunk is not None and self._request.stream:
            self._send_chunk(chunk)

    def finished(self) -> None:
        """The answer is complete."""
        if self._too_long:
            self._broken("The answer is longer than can be kept.")
            return
        self._record_outcome(Outcome.COMPLETED, self._completion.record())
        _finish(self._reply, self._completion, self._request, self._send_chunk)

    def stream_broken(self) -> None:
        """The stream broke after its first event."""
        self._broken("The stream broke before its end.")

    def rejected(self, retry_after_ms: float) -> None:
        """Nothing has run."""
        self._record_outcome(Outcome.RELEASED, b"")
        overloaded(retry_after_ms).send(self._reply)

    def failed(self, may_have_run: bool) -> None:
        """No answer came."""
        self._record_outcome(Outcome.FAILED if may_have_run else Outcome.RELEASED, b"")
        retry_is_safe = self._idempotent or not may_have_run
        no_answer("No answer came in time.", "no_answer", retry_is_safe=retry_is_safe).send(self._reply)

    def is_client_disconnected(self) -> bool:
        """Whether the client has closed its connection, or been answered."""
        return self._reply.gone

    def _send_chunk(self, chunk: dict[str, Any]) -> None:
        if not self._streaming:
            self._streaming = True
            self._reply.stream(200, EVENTS)
        _send_event(self._reply, orjson.dumps(chunk))

    def _broken(self, message: str) -> None:
        self._record_outcome(Outcome.FAILED, b"")
        if self._streaming:
            error = ErrorResponse(200, message, "server_error", code="stream_broken")
            _send_event(self._reply, error.body())
            self._reply.end()
        else:
            no_answer(message, "stream_broken", retry_is_safe=self._idempotent).send(self._reply)


def replay(completion: Completion, request: CompletionRequest, reply: Reply) -> None:
    """Answers with a recorded completion, in the form that this request asks for."""
    if not request.stream:
        reply.answer(200, [*JSON, *REPLAYED], orjson.dumps(completion.complete()))
        return
    reply.stream(200, [*EVENTS, *REPLAYED])

    def send_chunk(chunk: dict[str, Any]) -> None:
        _send_event(reply, orjson.dumps(chunk))

    for choice in completion.choices:
        send_chunk(completion.chunk([choice]))
    _finish(reply, completion, request, send_chunk)


def _finish(
    reply: Reply,
    completion: Completion,
    request: CompletionRequest,
    send_chunk: Callable[[dict[str, Any]], None],
) -> None:
    """Ends a stream, or sends the complete answer."""
    if not request.stream:
        reply.answer(200, JSON, orjson.dumps(completion.complete()))
        return
    if not completion.choices:
        empty = {"index": 0, "delta": {"role": "assistant"}, "finish_reason": "stop"}
        send_chunk(completion.chunk([empty]))
    usage = completion.usage_chunk()
    if request.include_usage and usage is not None:
        send_chunk(usage)
    _send_event(reply, b"[DONE]")
    reply.end()


def _send_event(reply: Reply, data: bytes) -> None:
    reply.data(b"data: " + data + b"\n\n")
