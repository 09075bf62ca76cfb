"""Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete events and parses their lines."""

from __future__ import annotations

import re
from collections.abc import Iterator

MAX_EVENT_BYTES = 256 * 1024


class InvalidEventError(Exception):
    """The bytes are not an event, or belong to an event that is longer than MAX_EVENT_BYTES."""


EVENT_PATTERN = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)+\r?\n")
LAST_LINE = rb"(?:(?:data|event|id|retry)?:[^\n]*|[a-z]{0,5}|\r)"
INCOMPLETE_EVENT_PATTERN = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)*" + LAST_LINE)


class EventSplitter:
    """Splits a stream incrementally; an event that lies in one piece of data is yielded as a slice of it."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: memoryview) -> Iterator[memoryview]:
        """Yields the events that `data` completes, each with the blank line that ends it.

        Raises:
            InvalidEventError: The bytes are not an event, or an event is too long.
        """
        if self._incomplete:
            data = memoryview(self._incomplete + bytes(data))
            self._incomplete = b""
        raw = (
            data.obj
            if isinstance(data.obj, (bytes, bytearray)) and data.nbytes == len(data.obj)
            else bytes(data)
        )
        start = 0
        while (end := _event_end(raw, start)) >= 0:
            # A host that states a wrong chunk size lets parts of the HTTP framing appear between events.
            if not EVENT_PATTERN.fullmatch(raw, start, end):
                raise InvalidEventError(f"not a server-sent event: {raw[start : start + 40]!r}")
            yield data[start:end]
            start = end
        if len(raw) - start > MAX_EVENT_BYTES:
            raise InvalidEventError("server-sent event exceeds 256 KiB")
        self._incomplete = bytes(data[start:])  # copied, since it has to outlive the caller's buffer

    def end(self) -> bytes:
        """Returns the bytes after the last complete event.

        Raises:
            InvalidEventError: The bytes can't be the beginning of an event.
        """
        if not INCOMPLETE_EVENT_PATTERN.fullmatch(self._incomplete):
            raise InvalidEventError(f"not a server-sent event: {self._incomplete[:40]!r}")
        return self._incomplete

    @property
    def partial(self) -> bool:
        """Whether the beginning of an event has been received but not its end."""
        return bool(self._incomplete)


def _event_end(raw: bytes | bytearray, start: int) -> int:
    """Returns the index after the next blank line, with LF or CRLF line ends; -1 if there is none yet."""
    lf = raw.find(b"\n\n", start)
    crlf = raw.find(b"\r\n\r\n", start)
    if crlf >= 0 and (lf < 0 or crlf < lf):
        return crlf + 4
    return lf + 2 if lf >= 0 else -1


def payload(event: memoryview) -> bytes:
    """Returns the event's data lines, joined and without their field name; empty for a comment."""
    lines = [line[5:].removeprefix(b" ") for line in bytes(event).splitlines() if line.startswith(b"data:")]
    return b"\n".join(lines)


def comments(event: memoryview) -> list[str]:
    """Returns the event's comment lines without the colon."""
    return [line[1:].strip().decode("latin-1") for line in bytes(event).splitlines() if line.startswith(b":")]
