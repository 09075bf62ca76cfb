"""Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete events and parses their lines."""

from __future__ import annotations

import re
from collections.abc import Iterator

MAX_EVENT_BYTES = 256 * 1024
MAX_REPORTED_BYTES = 40
"""Of invalid bytes, in an error message."""
LF_BLANK_LINE = b"\n\n"
CRLF_BLANK_LINE = b"\r\n\r\n"


class InvalidEventError(Exception):
    """The bytes are not an event, or belong to an event that is longer than MAX_EVENT_BYTES."""

    @classmethod
    def of(cls, invalid: bytes | bytearray) -> InvalidEventError:
        """Returns the error for bytes that are not an event."""
        return cls(f"not a server-sent event: {bytes(invalid[:MAX_REPORTED_BYTES])!r}")


EVENT_PATTERN = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)+\r?\n")
LAST_LINE = rb"(?:(?:data|event|id|retry)?:[^\n]*|[a-z]{0,5}|\r)"
COMPLETE_LINES = re.compile(rb"(?:(?:(?:data|event|id|retry)?:[^\n]*|\r?)\n)*")
DATA_FIELD = b"data:"
LINE_STARTS = (DATA_FIELD, b":", b"event:", b"id:", b"retry:", b"\r\n")
INCOMPLETE_EVENT_PATTERN = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)*" + LAST_LINE)


class EventSplitter:
    """Splits a stream incrementally; an event that lies in one piece of data is yielded as a slice of it."""

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self._searched = 0
        """Number of these bytes that have no end of an event."""
        self._checked = 0
        """Number of these bytes that belong to complete lines, which are valid."""

    def feed(self, data: memoryview) -> Iterator[memoryview]:
        """Yields the events that `data` completes, each with the blank line that ends it.

        Raises:
            InvalidEventError: The bytes are not an event, or an event is too long.
        """
        raw = self._received(data)
        view = memoryview(raw)
        start = 0
        for end in _event_ends(raw, self._searched):
            # A host that states a wrong chunk size lets parts of the HTTP framing appear between events.
            if not EVENT_PATTERN.fullmatch(raw, start, end):
                raise InvalidEventError.of(raw[start:end])
            yield view[start:end]
            start = end
        if len(raw) - start > MAX_EVENT_BYTES:
            raise InvalidEventError("server-sent event exceeds 256 KiB")
        if raw is not self._incomplete or start:
            self._incomplete = bytearray(view[start:])  # copied, since it has to outlive the caller's buffer
            self._checked = 0
        self._check_incomplete()
        self._searched = max(0, len(self._incomplete) - (len(CRLF_BLANK_LINE) - 1))

    def _check_incomplete(self) -> None:
        """Checks the lines of an event that is not complete; a host may never complete it.

        Raises:
            InvalidEventError: They cannot belong to an event.
        """
        raw = self._incomplete
        line_start = raw.rfind(b"\n", self._checked) + 1 or self._checked
        are_lines_valid = COMPLETE_LINES.fullmatch(raw, self._checked, line_start)
        self._checked = line_start
        if not are_lines_valid or not _can_begin_line(raw, line_start):
            raise InvalidEventError.of(raw)

    def _received(self, data: memoryview) -> bytes | bytearray:
        """Returns all bytes that belong to no complete event yet."""
        if self._incomplete:
            self._incomplete += data
            return self._incomplete
        if isinstance(data.obj, (bytes, bytearray)) and data.nbytes == len(data.obj):
            return data.obj
        return bytes(data)

    def end(self) -> bytes:
        """Returns the bytes after the last complete event.

        Raises:
            InvalidEventError: The bytes can't be the beginning of an event.
        """
        if not INCOMPLETE_EVENT_PATTERN.fullmatch(self._incomplete):
            raise InvalidEventError.of(self._incomplete)
        return bytes(self._incomplete)

    @property
    def partial(self) -> bool:
        """Whether the beginning of an event has been received but not its end."""
        return bool(self._incomplete)

    @property
    def has_incomplete_data(self) -> bool:
        """Whether the beginning of an event's data has been received but not the event's end."""
        return self._incomplete.lstrip(b"\r\n").startswith(DATA_FIELD)

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes received of an event that is not complete."""
        return len(self._incomplete)


def _can_begin_line(raw: bytes | bytearray, line_start: int) -> bool:
    """Returns whether the bytes from `line_start` on are a line of an event, or the beginning of one."""
    for start in LINE_STARTS:
        if raw.startswith(start, line_start) or start.startswith(raw[line_start : line_start + len(start)]):
            return True
    return False


def _event_ends(raw: bytes | bytearray, start: int) -> Iterator[int]:
    """Yields the index after each blank line, with LF or CRLF line ends, from `start` on."""
    lf = raw.find(LF_BLANK_LINE, start)
    crlf = raw.find(CRLF_BLANK_LINE, start)
    while lf >= 0 or crlf >= 0:
        crlf_is_next = crlf >= 0 and (lf < 0 or crlf < lf)
        end = crlf + len(CRLF_BLANK_LINE) if crlf_is_next else lf + len(LF_BLANK_LINE)
        yield end
        # Each kind is searched for again only behind its last match, so that each byte is scanned once.
        if 0 <= lf < end:
            lf = raw.find(LF_BLANK_LINE, end)
        if 0 <= crlf < end:
            crlf = raw.find(CRLF_BLANK_LINE, end)


def payload(event: memoryview) -> bytes:
    """Returns the event's data lines, joined and without their field name; empty for a comment."""
    lines = [line[5:].removeprefix(b" ") for line in bytes(event).splitlines() if line.startswith(b"data:")]
    return b"\n".join(lines)


def comments(event: memoryview) -> list[str]:
    """Returns the event's comment lines without the colon."""
    return [line[1:].strip().decode("latin-1") for line in bytes(event).splitlines() if line.startswith(b":")]
