"""Reads the events of a host's stream as parts of a chat completion.

Every event is of one of a few kinds. The reader of responses, the fronts and the collected answer all go by
the kind that is decided here: what cannot be read is never taken for an event without content. In an event, a
field that is null counts as one that is left out, and unknown fields are allowed everywhere.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from violetstack.protocol import sse
from violetstack.protocol.json_errors import DECODE_ERRORS

DATA_FIELD = b"data:"
DONE_DATA = b"[DONE]"
ERROR_NAME = re.compile(rb"^event: ?error\r?$", re.MULTILINE)
"""The line by which a host names an event an error."""
CONTENT_FIELD = re.compile(rb'"content"\s*:\s*"[^"]')
"""In a JSON text this cannot be a part of a string, in which the quotes would be escaped."""
TEXT_FIELDS = frozenset({"role", "content", "refusal", "reasoning_content", "reasoning"})
"""Fields of a delta that hold a piece of text."""
ENVELOPE_FIELDS = frozenset(
    {"id", "object", "created", "model", "usage", "system_fingerprint", "service_tier", "type"}
)
"""Fields beside `choices` that hold no part of an answer."""


class EventKind(Enum):
    """What an event means for the answer."""

    CONTENT = "content"
    """A part of the answer, or the reason why it ends."""
    USAGE = "usage"
    """Token counts, without a part of the answer."""
    DONE = "done"
    """The marker at the end of the answer."""
    EMPTY = "empty"
    """An event with data that adds nothing to the answer, for example a choice without text."""
    COMMENT = "comment"
    """An event without data: comments, a retry time or an empty data line."""
    ERROR = "error"
    """The host reports that the answer failed."""
    UNREADABLE = "unreadable"
    """The data is not a chunk of a chat completion, so it may have been any part of the answer."""


class InvalidChunkError(Exception):
    """Data that is not a chunk of a chat completion; the message says where and why."""


CHUNK_ERRORS: tuple[type[Exception], ...] = (*DECODE_ERRORS, InvalidChunkError)
UNKNOWN_JSON_ERRORS: tuple[type[Exception], ...] = (*DECODE_ERRORS, AttributeError, TypeError)
"""Raised where JSON is read whose types are not known."""


class Function(msgspec.Struct):
    """A piece of a function call."""

    name: str | None = None
    arguments: str | None = None


class ToolCall(msgspec.Struct):
    """A piece of a tool call."""

    index: int | None = None
    id: str | None = None
    type: str | None = None
    function: Function | None = None


class Choice(msgspec.Struct):
    """A piece of one choice; `text` is that of the older completions API."""

    index: Any = None
    delta: dict[str, Any] | None | UnsetType = UNSET
    finish_reason: str | None = None
    text: str | None = None

    def check(self) -> bool:
        """Checks what the types of the fields do not tell; returns whether there is more than a role.

        Raises:
            InvalidChunkError: The choice is not a piece of an answer.
        """
        has_content = bool(self.finish_reason or self.text)
        if self.delta is UNSET and not has_content:
            raise InvalidChunkError("a choice without delta")
        if self.delta:
            for name, value in self.delta.items():
                if value is not None:
                    _check_delta_field(name, value)
                    has_content = has_content or (name != "role" and bool(value))
        return has_content


class Chunk(msgspec.Struct):
    """A chunk of a chat completion, as far as its kind depends on it."""

    choices: list[Choice] | None = None
    usage: Any = None
    error: Any = None


CHUNK_DECODER = msgspec.json.Decoder(Chunk)


class AnswerEvent(msgspec.Struct, frozen=True):
    """One event of a host's stream.

    Attributes:
        raw: The event as it was received; valid until the next read from its connection.
        kind: What it means for the answer.
        data: Its data lines, joined and without their field name.
        choices: The choices of its chunk.
        usage: The token counts, if the host states any.
        fault: Why it cannot be read; empty unless it is UNREADABLE.
        continues_answer: Whether the answer goes on with it; an unreadable event with text counts as well.
    """

    raw: memoryview
    kind: EventKind
    data: bytes = b""
    choices: list[Choice] = []
    usage: dict[str, Any] | None = None
    fault: str = ""
    continues_answer: bool = False


def read_event(raw: memoryview) -> AnswerEvent:
    """Returns an event with its kind; `raw` may lack the blank line at its end."""
    text = bytes(raw)
    is_one_line = text.startswith(DATA_FIELD) and text.count(b"\n") == 2  # and the blank line behind it
    data = (text[len(DATA_FIELD) :] if is_one_line else sse.payload(raw)).strip()
    if not data:
        return AnswerEvent(raw, EventKind.COMMENT)
    if data == DONE_DATA:
        return AnswerEvent(raw, EventKind.DONE, data, continues_answer=True)
    if not is_one_line and ERROR_NAME.search(text):
        return AnswerEvent(raw, EventKind.ERROR, data)
    try:
        chunk = CHUNK_DECODER.decode(data)
        has_content = _check_chunk(chunk, data)
    except CHUNK_ERRORS as error:
        continues = _resembles_content(data)
        return AnswerEvent(
            raw, EventKind.UNREADABLE, data, fault=str(error) or repr(error), continues_answer=continues
        )
    choices = chunk.choices or []
    usage = chunk.usage if isinstance(chunk.usage, dict) else None
    if chunk.error is not None:
        return AnswerEvent(raw, EventKind.ERROR, data)
    if has_content:
        return AnswerEvent(raw, EventKind.CONTENT, data, choices, usage, continues_answer=True)
    kind = EventKind.USAGE if usage else EventKind.EMPTY
    return AnswerEvent(raw, kind, data, choices, usage)


def check_stored_choice(choice: Any) -> None:
    """Checks a choice of an answer that was recorded, maybe by an earlier release.

    Raises:
        InvalidChunkError: It cannot be read.
    """
    try:
        msgspec.convert(choice, Choice).check()
    except msgspec.MsgspecError as error:
        raise InvalidChunkError(str(error)) from None


def _check_chunk(chunk: Chunk, data: bytes) -> bool:
    """Checks what the types of the fields do not tell; returns whether there is a part of the answer.

    Raises:
        InvalidChunkError: The data is not a chunk.
    """
    if chunk.choices is None:
        _check_no_content(data)
        return False
    has_content = False
    for choice in chunk.choices:
        has_content = choice.check() or has_content
    return has_content


def _check_no_content(data: bytes) -> None:
    """Checks that an object without choices, such as a keep-alive, can hold no part of an answer.

    Raises:
        InvalidChunkError: It has a field that may hold one.
    """
    for name, value in msgspec.json.decode(data).items():
        is_scalar = value is None or isinstance(value, (bool, int, float))
        if not is_scalar and name not in ENVELOPE_FIELDS and name != "error":
            raise InvalidChunkError(f"an object without choices, but with `{name[:40]}`")


def _check_delta_field(name: str, value: Any) -> None:
    if name in TEXT_FIELDS:
        if not isinstance(value, str):
            raise InvalidChunkError(f"`{name}` of a delta is not text")
        return
    try:
        if name == "tool_calls":
            msgspec.convert(value, list[ToolCall | None])
        elif name == "function_call":
            msgspec.convert(value, Function)
    except msgspec.MsgspecError as error:
        raise InvalidChunkError(f"`{name}` of a delta: {error}") from None


def _resembles_content(data: bytes) -> bool:
    """Whether data that cannot be read seems to hold text, so that its stream still goes on."""
    if CONTENT_FIELD.search(data):
        return True
    try:
        chunk = msgspec.json.decode(data)
        choices = chunk.get("choices")
        return any(choice.get("delta") or choice.get("finish_reason") for choice in choices)
    except UNKNOWN_JSON_ERRORS:
        return False
