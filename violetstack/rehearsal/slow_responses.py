"""Plays sound streams that their hosts write slowly, or in unusual pieces, through a real dispatcher process.

Each client has to get all of the stream, and each event soon after its last byte was written.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import trio

from violetstack.protocol.http_client import InvalidResponseError, ResponseData, ResponseEnd
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import Call
from violetstack.rehearsal.fleet.dispatcher_process import DispatcherProcess, dispatcher_process
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.peer import Break, PeerConnection
from violetstack.rehearsal.response_cells import DONE, HEAD, LAST_CHUNK, STOP, TOKEN, USAGE, chunk

MAX_EVENT_DELAY_S = 0.3
"""An event must reach its client within this time of its last byte."""
CLIENT_PATIENCE_S = 100.0
POLL_INTERVAL_S = 0.01
UNSAFE_CLASS = "orden"
"""No retry can hide that an attempt was given up."""
LARGE_EVENT_BYTES = 262_000
"""Close to the limit for an event, and for a body."""
LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
TRAILER = b"0\r\nX-Trailer: 1\r\n\r\n"
END = STOP + USAGE + DONE


class Framing(Enum):
    """How a host frames its stream."""

    CHUNKS = "a chunk for each part"
    ONE_CHUNK = "one chunk that stays open"
    LENGTH = "Content-Length"


@dataclass(frozen=True)
class Part:
    """Bytes of the stream, and how long the host waits before it writes them, in seconds."""

    data: bytes
    after_s: float = 0.0


@dataclass(frozen=True)
class SlowResponse:
    """A sound stream.

    Attributes:
        name: For the report.
        parts: What the host writes of the stream's events.
        framing: How it frames them.
        head_pause_s: Pause between two bytes of the head.
        end_pause_s: Pause between two bytes of the last chunk and the trailer.
        is_long: Whether it takes longer than a test may.
    """

    name: str
    parts: tuple[Part, ...]
    framing: Framing = Framing.CHUNKS
    head_pause_s: float = 0.0
    end_pause_s: float = 0.0
    is_long: bool = False

    @property
    def body(self) -> bytes:
        """All of the stream's events."""
        return b"".join(part.data for part in self.parts)

    @property
    def head(self) -> bytes:
        """The head of the response, with the header of the one chunk."""
        match self.framing:
            case Framing.CHUNKS:
                return HEAD
            case Framing.ONE_CHUNK:
                return HEAD + b"%x\r\n" % len(self.body)
            case Framing.LENGTH:
                return LENGTH_HEAD % len(self.body)

    @property
    def end(self) -> bytes:
        """What follows the stream's events."""
        match self.framing:
            case Framing.CHUNKS:
                return TRAILER if self.end_pause_s else LAST_CHUNK
            case Framing.ONE_CHUNK:
                return b"\r\n" + LAST_CHUNK
            case Framing.LENGTH:
                return b""

    def encode(self, part: Part) -> bytes:
        """Returns a part as the host writes it."""
        return chunk(part.data) if self.framing is Framing.CHUNKS else part.data


def _pieces(event: bytes, count: int, duration_s: float) -> Iterator[Part]:
    """Splits an event into pieces that come evenly."""
    size = -(-len(event) // count)
    starts = range(0, len(event), size)
    for start in starts:
        yield Part(event[start : start + size], duration_s / len(starts))


def _event_of(size: int) -> bytes:
    return TOKEN.replace(b"oqvh", b"x" * (size - len(TOKEN) + len(b"oqvh")))


REST = (Part(TOKEN), Part(END))
BEGINNING = (Part(TOKEN), Part(TOKEN))
SLOW_RESPONSES = (
    SlowResponse("pauses of 4.6 s", (*BEGINNING, *[Part(TOKEN, 4.6)] * 3, Part(END))),
    SlowResponse("an event over 4.5 s", (*BEGINNING, *_pieces(TOKEN, 20, 4.5), *REST)),
    SlowResponse("an event over 4.5 s, byte by byte", (*BEGINNING, *_pieces(TOKEN, 80, 4.5), *REST)),
    SlowResponse("an event over 8 s", (*BEGINNING, *_pieces(TOKEN, 40, 8.0), *REST)),
    SlowResponse("three events over 6 s each", (*BEGINNING, *[*_pieces(TOKEN, 20, 6.0)] * 3, *REST)),
    SlowResponse(
        "an event over 6 s in one chunk", (*BEGINNING, *_pieces(TOKEN, 40, 6.0), *REST), Framing.ONE_CHUNK
    ),
    SlowResponse("100 KB over 8 s", (*BEGINNING, *_pieces(_event_of(100_000), 80, 8.0), *REST)),
    SlowResponse("an event near the limit", (Part(_event_of(LARGE_EVENT_BYTES)), *REST)),
    SlowResponse(
        "an event near the limit in 256 chunks",
        (*BEGINNING, *_pieces(_event_of(LARGE_EVENT_BYTES), 256, 1.0), *REST),
    ),
    SlowResponse("events in chunks of a byte", (*_pieces(TOKEN * 20, 1640, 0.0), Part(END))),
    SlowResponse("200 events in a chunk", (Part(TOKEN * 200), Part(END))),
    SlowResponse("a chunk that stays open", (*[Part(TOKEN, 0.2)] * 30, Part(END)), Framing.ONE_CHUNK),
    SlowResponse("a Content-Length", (*[Part(TOKEN, 0.2)] * 30, Part(END)), Framing.LENGTH),
    SlowResponse("a slow last chunk and trailer", (*BEGINNING, Part(END)), end_pause_s=0.2),
    SlowResponse("a slow head", (*BEGINNING, Part(END)), head_pause_s=0.03),
    SlowResponse("a pause of 3 s behind the head", (Part(TOKEN, 3.0), *REST)),
    SlowResponse("a pause of 3 s in the first event", (Part(TOKEN[:40]), Part(TOKEN[40:], 3.0), *REST)),
    SlowResponse("a first event over 4 s", (*_pieces(TOKEN, 4, 4.0), *REST)),
    SlowResponse("pauses of 0.5 s", (*[Part(TOKEN, 0.5)] * 120, Part(END)), is_long=True),
    SlowResponse("events over a second each", (*[*_pieces(TOKEN, 20, 1.0)] * 60, Part(END)), is_long=True),
    SlowResponse("an event over 9 s", (*BEGINNING, *_pieces(TOKEN, 60, 9.0), *REST), is_long=True),
)


RESPONSE_DURING_PAUSE = SlowResponse("an event over 6 s", (*BEGINNING, *_pieces(TOKEN, 12, 6.0), *REST))
PAUSE_S = 4.6
"""The process goes on shortly before the time limit of the event."""


@dataclass(frozen=True)
class Progress:
    """At which time how many bytes of a stream's events had been written or received."""

    at: float
    total_bytes: int


@dataclass
class SlowOutcome:
    """What became of one stream."""

    response: SlowResponse
    written: list[Progress] = field(default_factory=list)
    received: list[Progress] = field(default_factory=list)
    complete: bool = False

    @property
    def event_delays_s(self) -> list[float]:
        """The delay of each event that was received, from its last byte to the client."""
        body = self.response.body
        ends = [end + 2 for end in range(len(body)) if body.startswith(b"\n\n", end)]
        delays = []
        for end in ends:
            received_at = _time_of(self.received, end)
            if received_at is not None:
                delays.append(received_at - (_time_of(self.written, end) or received_at))
        return delays

    def violations(self) -> Iterator[str]:
        """Yields what the client was owed and did not get."""
        if not self.complete:
            received = self.received[-1].total_bytes if self.received else 0
            yield f"cut after {received} of {len(self.response.body)} bytes"
        slowest = max(self.event_delays_s, default=0.0)
        if slowest > MAX_EVENT_DELAY_S:
            yield f"an event reached its client {slowest:.2f} s late"


def _time_of(progress: list[Progress], total_bytes: int) -> float | None:
    return next((each.at for each in progress if each.total_bytes >= total_bytes), None)


class SlowHost(ModelHost):
    """A decode host that writes each request's stream; ids are those of the outcomes."""

    def __init__(self, outcomes: dict[str, SlowOutcome]) -> None:
        super().__init__("w", "decode")
        self._outcomes = outcomes

    async def play(self, act: object, inbound: HttpRequest, connection: PeerConnection) -> None:
        """Writes the stream of one request, and records when."""
        outcome = self._outcomes[inbound.headers["req-id"]]
        response = outcome.response
        await _write(connection, response.head, response.head_pause_s)
        total_bytes = 0
        for part in response.parts:
            if part.after_s:
                await trio.sleep(part.after_s)
            await connection.raw(response.encode(part))
            total_bytes += len(part.data)
            outcome.written.append(Progress(trio.current_time(), total_bytes))
        await _write(connection, response.end, response.end_pause_s)
        await connection.until_closed()
        raise Break


async def _write(connection: PeerConnection, data: bytes, pause_s: float) -> None:
    if not pause_s:
        await connection.raw(data)
        return
    for byte in range(len(data)):
        await trio.sleep(pause_s)
        await connection.raw(data[byte : byte + 1])


async def _ask(process: DispatcherProcess, name: str, outcome: SlowOutcome) -> None:
    call = await process.send_request(name, UNSAFE_CLASS)
    with trio.move_on_after(CLIENT_PATIENCE_S):
        await _receive(call, outcome)
    await call.stream.aclose()


async def _receive(call: Call, outcome: SlowOutcome) -> None:
    total_bytes = 0
    while not outcome.complete:
        try:
            events = call.http.feed(bytes(await call.stream.receive_some(64 * 1024)))
        except (InvalidResponseError, trio.BrokenResourceError):
            return
        total_bytes += sum(len(event.data) for event in events if isinstance(event, ResponseData))
        outcome.received.append(Progress(trio.current_time(), total_bytes))
        ended = any(isinstance(event, ResponseEnd) for event in events)
        outcome.complete = ended and total_bytes == len(outcome.response.body)
        if ended:
            return


async def _play(responses: list[SlowResponse], pause_s: float = 0.0) -> list[SlowOutcome]:
    outcomes = {f"s{number}": SlowOutcome(response) for number, response in enumerate(responses)}
    hosts = (ModelHost("r", "prefill"), SlowHost(outcomes))
    async with dispatcher_process(*hosts) as process, trio.open_nursery() as nursery:
        for name, outcome in outcomes.items():
            nursery.start_soon(_ask, process, name, outcome)
        if pause_s:
            await _until_begun(list(outcomes.values()))
            await process.pause(pause_s)
    return list(outcomes.values())


async def _until_begun(outcomes: list[SlowOutcome]) -> None:
    """Waits until each client has received the events before the slow ones."""
    total_bytes = sum(len(part.data) for part in BEGINNING)
    while not all(_time_of(outcome.received, total_bytes) for outcome in outcomes):
        await trio.sleep(POLL_INTERVAL_S)


def play_slow_responses(*, long_ones: bool) -> list[SlowOutcome]:
    """Plays all streams at the same time; without `long_ones` those that take under 20 s."""
    return trio.run(_play, [each for each in SLOW_RESPONSES if long_ones or not each.is_long])


def play_slow_event_during_pause() -> SlowOutcome:
    """Plays an event that is written evenly, while the dispatcher is stopped for most of it."""
    (outcome,) = trio.run(_play, [RESPONSE_DURING_PAUSE], PAUSE_S)
    return outcome
