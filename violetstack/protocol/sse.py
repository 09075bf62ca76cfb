"""Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete events and parses their lines."""

from __future__ import annotations

import re
from collections.abc import Iterator

MAX_EVENT_BYTES = 256 * 1024
LF_BLANK_LINE = b"\n\n"
CRLF_BLANK_LINE = b"\r\n\r\n"


class InvalidEventError(Exception):
    """The bytes are not an event, or belong to an event that is longer than MAX_EVENT_BYTES."""


EVENT_PATTERN = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)+\r?\n")
LAST_LINE = rb"(?:(?:data|event|id|retry)?:[^\n]*|[a-z]{0,5}|\r)"
INCOMPLETE_EVENT_PATTERN = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)*" + LAST_LINE)


class EventSplitter:
    """Splits a stream incrementally; an event that lies in one piece of data is yielded as a slice of it."""

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self._searched = 0
        """Number of these bytes that have no end of an event."""

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
                raise InvalidEventError(f"not a server-sent event: {bytes(raw[start : start + 40])!r}")
            yield view[start:end]
            start = end
        if len(raw) - start > MAX_EVENT_BYTES:
            raise InvalidEventError("server-sent event exceeds 256 KiB")
        if raw is not self._incomplete or start:
            self._incomplete = bytearray(view[start:])  # copied, since it has to outlive the caller's buffer
        self._searched = max(0, len(self._incomplete) - (len(CRLF_BLANK_LINE) - 1))

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
            raise InvalidEventError(f"not a server-sent event: {bytes(self._incomplete[:40])!r}")
        return bytes(self._incomplete)

    @property
    def partial(self) -> bool:
        """Whether the beginning of an event has been received but not its end."""
        return bool(self._incomplete)

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes received of an event that is not complete."""
        return len(self._incomplete)


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
