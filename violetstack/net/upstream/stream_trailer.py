"""Data at the end of a stream besides the answer: token usage, a load report and the `[DONE]` marker."""

from __future__ import annotations

from typing import Any

import msgspec

from violetstack.protocol import sse
from violetstack.protocol.answer_events import AnswerEvent, EventKind
from violetstack.protocol.headers import parse_load_report
from violetstack.protocol.json_errors import DECODE_ERRORS

LoadReport = tuple[float | None, ...] | None
"""Values in the order of the settings' report fields; None if there is no report."""


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _PromptTokensDetails | None = None


class StreamTrailer:
    """Collects this data from the events of one stream while they are forwarded."""

    def __init__(self, report_fields: tuple[str, ...]) -> None:
        self._report_fields = report_fields
        self.cached_tokens = 0
        self.done: bool | None = False
        """Whether `[DONE]` has been received; None if that is unknown."""
        self.load_report: LoadReport = None

    def read(self, event: AnswerEvent) -> None:
        """Reads one event; parts that cannot be parsed are ignored."""
        if event.kind is EventKind.DONE:
            self.done = True
        raw = bytes(event.raw)
        if raw.startswith(b":") or b"\n:" in raw:
            self._read_comments(event.raw)
        if event.usage is not None:
            self._read_usage(event.usage)

    def _read_comments(self, event: memoryview) -> None:
        for comment in sse.comments(event):
            name, _, value = comment.partition(":")
            if name.strip().lower() == "srv-load":
                self.load_report = parse_load_report(value, self._report_fields)

    def _read_usage(self, usage: dict[str, Any]) -> None:
        try:
            details = msgspec.convert(usage, _Usage).prompt_tokens_details
        except msgspec.MsgspecError:
            return
        if details is not None:
            self.cached_tokens = details.cached_tokens


def may_end_stream(rest: AnswerEvent) -> bool:
    """Whether a stream may end with these bytes, which no blank line follows: a comment or `[DONE]`."""
    line = bytes(rest.raw).strip()
    return not line or line.startswith(b":") or rest.kind is EventKind.DONE


def cached_tokens_of(body: bytes | bytearray) -> int:
    """The number of cached prompt tokens in the body of a prefill host's 202; 0 if it cannot be parsed."""
    try:
        return msgspec.json.decode(body, type=_PromptTokensDetails).cached_tokens
    except DECODE_ERRORS:
        return 0
