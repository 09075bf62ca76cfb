"""Tells which events of a host's stream continue the answer, and which only keep the connection busy."""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import msgspec

from violetstack.protocol import sse
from violetstack.protocol.json_errors import DECODE_ERRORS

CONTENT = re.compile(rb'"content"\s*:\s*"[^"]')
"""In a JSON text this cannot be a part of a string, in which the quotes would be escaped."""
DONE_DATA = b"[DONE]"


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


class _Choice(msgspec.Struct):
    delta: dict[str, Any] | None = None
    finish_reason: str | None = None
    text: str | None = None

    @property
    def has_content(self) -> bool:
        """Whether the choice has more than its role."""
        delta = self.delta or {}
        return bool(self.finish_reason or self.text) or any(
            value for name, value in delta.items() if name != "role"
        )


class _AnswerEvent(msgspec.Struct):
    choices: list[_Choice] | None = None
    usage: dict[str, Any] | None = None


def classify_event(event: memoryview) -> EventKind:
    """Returns what an event means for the answer; data that cannot be parsed counts as EMPTY."""
    raw = bytes(event)
    is_one_line = raw.startswith(b"data:") and raw.count(b"\n") == 2  # and the blank line behind it
    if is_one_line and CONTENT.search(raw):
        return EventKind.CONTENT  # as most events are; parsing costs several times as much
    data = sse.payload(event).strip()
    if not data:
        return EventKind.COMMENT
    if data == DONE_DATA:
        return EventKind.DONE
    return _classify_data(data)


def _classify_data(data: bytes) -> EventKind:
    try:
        answer_event = msgspec.json.decode(data, type=_AnswerEvent)
    except DECODE_ERRORS:
        return EventKind.EMPTY
    if any(choice.has_content for choice in answer_event.choices or ()):
        return EventKind.CONTENT
    return EventKind.USAGE if answer_event.usage else EventKind.EMPTY
