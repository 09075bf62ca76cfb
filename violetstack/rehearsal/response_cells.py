"""The forms of malformed responses that model hosts may write to a streamed request.

A cell of the matrix is a malformation (RFC 9112, 6 and 7), the position in the response at which it begins,
what the host does after it, and whether the response is the first one on its connection.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
STOP = b'data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":2}}\n\n'
DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"
MAX_ANSWER_BYTES = 256 * 1024
"""The protocol's limit for a body."""
GIGABYTES = 3 * 2**30
EVENT_CUT = 40
"""Byte of an event at which a malformation inside the event begins."""


def chunk(data: bytes) -> bytes:
    """Returns the data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


BEGINNING = HEAD + chunk(TOKEN) + chunk(TOKEN)
END = chunk(STOP) + chunk(USAGE) + chunk(DONE) + LAST_CHUNK
COMPLETE_RESPONSE = BEGINNING + END
ANSWER = TOKEN + TOKEN + STOP + USAGE + DONE


class Position(Enum):
    """Where in the response the malformation begins."""

    HEAD = "in the head"
    BEFORE_EVENTS = "before the first event"
    BETWEEN_EVENTS = "between two events"
    INSIDE_EVENT = "inside an event"
    AFTER_DONE = "after [DONE]"

    @property
    def precedes_events(self) -> bool:
        """Whether no event has been forwarded, so that the request may be attempted at another host."""
        return self in (Position.HEAD, Position.BEFORE_EVENTS)


IN_BODY = (Position.BEFORE_EVENTS, Position.BETWEEN_EVENTS, Position.INSIDE_EVENT, Position.AFTER_DONE)
SOUND_PARTS = {
    Position.HEAD: b"",
    Position.BEFORE_EVENTS: HEAD,
    Position.BETWEEN_EVENTS: BEGINNING,
    Position.INSIDE_EVENT: BEGINNING + chunk(TOKEN[:EVENT_CUT]),
    Position.AFTER_DONE: BEGINNING + chunk(STOP) + chunk(USAGE) + chunk(DONE),
}


class Continuation(Enum):
    """What the host does after the malformation."""

    NOTHING = "nothing"
    PACED = "events at their usual pace"
    FLOOD = "events without a pause"
    BYTES = "one byte at a time"
    FIN = "FIN"
    RESET = "reset"
    SECOND_RESPONSE = "a second response"


@dataclass(frozen=True)
class Malformation:
    """One way in which a response is malformed.

    Attributes:
        name: For the report.
        write: Returns the malformed bytes for the data that they should have framed.
        positions: Where it may begin.
        filler: What the host repeats if it goes on to write.
    """

    name: str
    write: Callable[[bytes], bytes]
    positions: tuple[Position, ...] = IN_BODY
    filler: bytes = TOKEN


@dataclass(frozen=True)
class Cell:
    """One malformed response."""

    malformation: Malformation
    position: Position
    continuation: Continuation
    on_later_response: bool

    @property
    def name(self) -> str:
        """Name of the cell, for the report."""
        which = "later" if self.on_later_response else "first"
        return f"{self.malformation.name}, {self.position.value}, then {self.continuation.value}, {which}"

    @property
    def response(self) -> bytes:
        """What the host writes before it goes on as the continuation says."""
        rest = TOKEN[EVENT_CUT:] if self.position is Position.INSIDE_EVENT else TOKEN
        malformed_part = self.malformation.write(rest)
        if malformed_part.startswith(b"HTTP/"):
            return malformed_part
        return SOUND_PARTS[self.position] + malformed_part


def _sized(size: bytes) -> Callable[[bytes], bytes]:
    return lambda data: size + b"\r\n" + data


def _fixed(data: bytes) -> Callable[[bytes], bytes]:
    return lambda _data: data


def _head(*fields: bytes, body: bytes = b"") -> Callable[[bytes], bytes]:
    rows = (b"HTTP/1.1 200 OK", b"Content-Type: text/event-stream", *fields)
    return _fixed(b"\r\n".join(rows) + b"\r\n\r\n" + body)


CHUNKED = b"Transfer-Encoding: chunked"
BODY_MALFORMATIONS = (
    Malformation("a size that is no number", lambda data: b"zz\r\n" + data + b"\r\n"),
    Malformation("a negative size", lambda data: b"-5\r\n" + data + b"\r\n"),
    Malformation("binary in place of a size", _fixed(b"\x00\xff\x16")),
    Malformation("a size with a bare line feed", lambda data: b"%x\n%s\n" % (len(data), data)),
    Malformation("a size that is too small", lambda data: b"5\r\n" + data + b"\r\n", filler=chunk(TOKEN)),
    Malformation(
        "a size that is too large by 9",
        lambda data: b"%x\r\n%s\r\n" % (len(data) + 9, data),
        filler=chunk(TOKEN),
    ),
    Malformation("a size of 256 KiB and one", _sized(b"%x" % (MAX_ANSWER_BYTES + 1))),
    Malformation("a size of 1 MiB", _sized(b"100000")),
    Malformation("a size of 3 GB", _sized(b"%x" % GIGABYTES)),
    Malformation("a size of 17 digits", _sized(b"1" + b"0" * 16)),
    Malformation("a size of 30 digits", _sized(b"f" * 30)),
    Malformation("leading zeros without end", _fixed(b"0" * 8), filler=b"0"),
    Malformation("a size line without end", _fixed(b"5"), filler=b"5"),
    Malformation("an extension without end", _fixed(b"50;"), filler=b"x"),
    Malformation("an extension of events", _fixed(b"50;"), filler=TOKEN),
    Malformation(
        "no line end behind the data", lambda data: b"%x\r\n%s" % (len(data), data), filler=chunk(TOKEN)
    ),
    Malformation("trailers without end", _fixed(b"0\r\n"), filler=b"a: b\r\n"),
    Malformation(
        "the last chunk too early",
        _fixed(LAST_CHUNK),
        (Position.BEFORE_EVENTS, Position.BETWEEN_EVENTS, Position.INSIDE_EVENT),
    ),
)
IN_HEAD = (Position.HEAD,)
HEAD_MALFORMATIONS = (
    Malformation("noise", _fixed(b"\x16\x03\x01 what is this\r\n\r\n"), IN_HEAD),
    Malformation("noise without end", _fixed(b"x" * 100), IN_HEAD, filler=b"x"),
    Malformation("a status line without end", _fixed(b"HTTP/1.1 200 O"), IN_HEAD, filler=b"K"),
    Malformation("another version", _fixed(b"HTTP/9.9 200 OK\r\n\r\n"), IN_HEAD),
    Malformation("a field without colon", _head(CHUNKED, b"no colon here"), IN_HEAD),
    Malformation("a field without end", _fixed(b"HTTP/1.1 200 OK\r\nX-More: "), IN_HEAD, filler=b"x"),
    Malformation("fields without end", _fixed(HEAD[:-2]), IN_HEAD, filler=b"a: b\r\n"),
    Malformation("2,000 fields", _head(CHUNKED, *([b"a: 0123456789"] * 2000)), IN_HEAD),
    Malformation("interim responses without end", _fixed(b""), IN_HEAD, filler=b"HTTP/1.1 103 X\r\n\r\n"),
    Malformation("switching protocols", _fixed(b"HTTP/1.1 101 X\r\n\r\n"), IN_HEAD),
    Malformation(
        "both framings", _head(CHUNKED, b"Content-Length: 5", body=COMPLETE_RESPONSE[len(HEAD) :]), IN_HEAD
    ),
    Malformation("a length of 3 GB", _head(b"Content-Length: %d" % GIGABYTES, body=TOKEN), IN_HEAD),
    Malformation(
        "a length of 256 KiB and one",
        _head(b"Content-Length: %d" % (MAX_ANSWER_BYTES + 1), body=TOKEN),
        IN_HEAD,
    ),
    Malformation("a length that is no number", _head(b"Content-Length: many", body=ANSWER), IN_HEAD),
    Malformation("a negative length", _head(b"Content-Length: -5", body=ANSWER), IN_HEAD),
    Malformation("a length of 30 digits", _head(b"Content-Length: " + b"9" * 30, body=TOKEN), IN_HEAD),
    Malformation("two lengths", _head(b"Content-Length: 5", b"Content-Length: 6", body=ANSWER), IN_HEAD),
    Malformation("a length inside the first event", _head(b"Content-Length: 20", body=ANSWER), IN_HEAD),
    Malformation("another coding", _head(b"Transfer-Encoding: gzip, chunked", body=ANSWER), IN_HEAD),
)


def _length_malformation(name: str, length: int, written: bytes) -> Malformation:
    """A response with a plausible Content-Length that does not fit; the events before it are sound."""
    position = Position.AFTER_DONE if written.endswith(DONE) else Position.BETWEEN_EVENTS
    return Malformation(name, _head(b"Content-Length: %d" % length, body=written), (position,))


LENGTH_MALFORMATIONS = (
    _length_malformation("a length that is too small", len(TOKEN * 2), TOKEN * 2 + STOP),
    _length_malformation("a length that is too large", len(ANSWER) + 9, ANSWER),
    _length_malformation("a length that is too large by far", MAX_ANSWER_BYTES, ANSWER),
)
SOUND_AFTER_ALL = {
    (name, Continuation.SECOND_RESPONSE)
    for name in ("a status line without end", "a field without end", "interim responses without end")
}
"""Cells in which a complete response ends the malformed part, so that the whole is sound."""


def all_cells(*, on_later_response: bool) -> Iterator[Cell]:
    """Yields every cell."""
    for malformation in BODY_MALFORMATIONS + HEAD_MALFORMATIONS + LENGTH_MALFORMATIONS:
        for position in malformation.positions:
            for continuation in Continuation:
                if (malformation.name, continuation) not in SOUND_AFTER_ALL:
                    yield Cell(malformation, position, continuation, on_later_response)
