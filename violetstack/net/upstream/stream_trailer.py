"""Data at the end of a stream besides the answer: token usage, a load report and the `[DONE]` marker."""

from __future__ import annotations

from typing import Any

import msgspec

from violetstack.protocol import sse
from violetstack.protocol.headers import parse_load_report
from violetstack.protocol.json_errors import DECODE_ERRORS

LoadReport = tuple[float | None, ...] | None
"""Values in the order of the settings' report fields; None if there is no report."""


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _PromptTokensDetails | None = None


class _UsageEvent(msgspec.Struct):
    usage: _Usage | None = None


class _ErrorEvent(msgspec.Struct):
    error: Any = None


class StreamTrailer:
    """Collects this data from the events of one stream while they are forwarded."""

    def __init__(self, report_fields: tuple[str, ...]) -> None:
        self._report_fields = report_fields
        self.cached_tokens = 0
        self.done: bool | None = False
        """Whether `[DONE]` has been received; None if that is unknown."""
        self.load_report: LoadReport = None

    def read(self, event: memoryview) -> None:
        """Reads one event; parts that cannot be parsed are ignored."""
        raw = bytes(event)
        if b"[DONE]" in raw and sse.payload(event).strip() == b"[DONE]":
            self.done = True
        if raw.startswith(b":") or b"\n:" in raw:
            self._read_comments(event)
        if b'"usage"' in raw:
            self._read_usage(event)

    def _read_comments(self, event: memoryview) -> None:
        for comment in sse.comments(event):
            name, _, value = comment.partition(":")
            if name.strip().lower() == "srv-load":
                self.load_report = parse_load_report(value, self._report_fields)

    def _read_usage(self, event: memoryview) -> None:
        try:
            usage = msgspec.json.decode(sse.payload(event), type=_UsageEvent).usage
        except DECODE_ERRORS:
            return
        if usage is not None and usage.prompt_tokens_details is not None:
            self.cached_tokens = usage.prompt_tokens_details.cached_tokens


def is_error_event(event: memoryview) -> bool:
    """Whether an OpenAI-style host reports an error in this event of its stream."""
    if b'"error"' not in bytes(event):
        return False
    try:
        return msgspec.json.decode(sse.payload(event), type=_ErrorEvent).error is not None
    except DECODE_ERRORS:
        return False


def may_end_stream(rest: memoryview) -> bool:
    """Whether a stream may end with these bytes, which no blank line follows: a comment or `[DONE]`."""
    line = bytes(rest).strip()
    return not line or line.startswith(b":") or sse.payload(rest).strip() == b"[DONE]"


def cached_tokens_of(body: bytes | bytearray) -> int:
    """The number of cached prompt tokens in the body of a prefill host's 202; 0 if it cannot be parsed."""
    try:
        return msgspec.json.decode(body, type=_PromptTokensDetails).cached_tokens
    except DECODE_ERRORS:
        return 0
