"""Splits a stream of server-sent events into whole events, and reads what the last ones tell."""

from __future__ import annotations

from collections.abc import Iterator

MAX_EVENT = 256 * 1024


class TooLong(Exception):
    """An event without an end would fill the memory."""


class Splitter:
    """Fed slices; yields whole events (with their blank line) as slices wherever they lie in one piece."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: memoryview) -> Iterator[memoryview]:
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
            yield data[start:cut]
            start = cut
        if len(raw) - start > MAX_EVENT:
            raise TooLong("an event of more than 256 KiB")
        self._rest = bytes(data[start:])  # the one copy: it must outlive the buffer

    @property
    def rest(self) -> bytes:
        return self._rest


def _blank_line(raw: bytes | bytearray, start: int) -> int:
    """The index after the next blank line, whichever line ends the host uses; -1 if there is none yet."""
    plain, crlf = raw.find(b"\n\n", start), raw.find(b"\r\n\r\n", start)
    if crlf >= 0 and (plain < 0 or crlf < plain):
        return crlf + 4
    return plain + 2 if plain >= 0 else -1


def payload(event: memoryview) -> bytes:
    """The event's data lines joined, without their field name; empty for a comment."""
    lines = [line[5:].removeprefix(b" ") for line in bytes(event).splitlines() if line.startswith(b"data:")]
    return b"\n".join(lines)


def comments(event: memoryview) -> list[str]:
    return [line[1:].strip().decode("latin-1") for line in bytes(event).splitlines() if line.startswith(b":")]
