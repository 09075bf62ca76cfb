"""Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete events, and reads their fields."""

from __future__ import annotations

import re
from collections.abc import Iterator

MAX_EVENT = 256 * 1024


class InvalidEventError(Exception):
    """The bytes are not an event, or an event without an end that would fill the memory."""


EVENT = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)+\r?\n")
LAST = rb"(?:(?:data|event|id|retry)?:[^\n]*|[a-z]{0,5}|\r)"
BEGINNING = re.compile(rb"(?:\r?\n)*(?:(?:data|event|id|retry)?:[^\n]*\n)*" + LAST)


class Splitter:
    """Incremental splitter; complete events are slices of the fed data wherever they lie in one piece."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: memoryview) -> Iterator[memoryview]:
        """Yields the events that `data` completes, with their blank line; raises InvalidEventError."""
        if self._rest:
            data = memoryview(self._rest + bytes(data))
            self._rest = b""
        raw = (
            data.obj
            if isinstance(data.obj, (bytes, bytearray)) and data.nbytes == len(data.obj)
            else bytes(data)
        )
        start = 0
        while (cut := _blank_line(raw, start)) >= 0:
            # A chunk of the wrong size would show as HTTP framing between the events.
            if not EVENT.fullmatch(raw, start, cut):
                raise InvalidEventError(f"not an event: {raw[start : start + 40]!r}")
            yield data[start:cut]
            start = cut
        if len(raw) - start > MAX_EVENT:
            raise InvalidEventError("an event of more than 256 KiB")
        self._rest = bytes(data[start:])  # the one copy: it must outlive the buffer

    def end(self) -> bytes:
        """Bytes after the last complete event; raises InvalidEventError if no event can begin like this."""
        if not BEGINNING.fullmatch(self._rest):
            raise InvalidEventError(f"not an event: {self._rest[:40]!r}")
        return self._rest

    @property
    def partial(self) -> bool:
        """Whether a part of an event has come, and not its end."""
        return bool(self._rest)


def _blank_line(raw: bytes | bytearray, start: int) -> int:
    """The index after the next blank line, whichever line ends the host uses; -1 if there is none yet."""
    plain = raw.find(b"\n\n", start)
    crlf = raw.find(b"\r\n\r\n", start)
    if crlf >= 0 and (plain < 0 or crlf < plain):
        return crlf + 4
    return plain + 2 if plain >= 0 else -1


def payload(event: memoryview) -> bytes:
    """The event's data lines joined, without their field name; empty for a comment."""
    lines = [line[5:].removeprefix(b" ") for line in bytes(event).splitlines() if line.startswith(b"data:")]
    return b"\n".join(lines)


def comments(event: memoryview) -> list[str]:
    """The event's comment lines, without the colon."""
    return [line[1:].strip().decode("latin-1") for line in bytes(event).splitlines() if line.startswith(b":")]
