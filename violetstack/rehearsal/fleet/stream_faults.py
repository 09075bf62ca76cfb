"""The ways in which a campaign's host writes a stream that stops, ends early, or is slow.

They are drawn apart from the scripts of the requests, so that a seed's other faults do not depend on them.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import NamedTuple

import trio

from violetstack.rehearsal.fleet.minimal_http import LAST_CHUNK, Wire, chunk
from violetstack.rehearsal.fleet.socket_audit import HostAttempt

COMMENT = b": ping\n\n"
COMMENT_INTERVAL_S = 0.3
EVENT_BEGINNING = b'data: {"choices":[{"index":0,"delta":{"content":"'
SOUND_EVENT = EVENT_BEGINNING + b'x"},"finish_reason":null}]}\n\n'
TRICKLE_INTERVAL_S = 0.2
SLOW_EVENT_PIECES = (5, 16)
SLOW_EVENT_PIECE_INTERVAL_S = 0.5
OVERSIZED_CHUNK = b"c0000000\r\n"
SIZE_LINE_DIGIT = b"0"


class StoppedStream(Enum):
    """What a host does after it has stopped its answer."""

    SILENT = "silent"
    COMMENTS = "goes on with comments"
    ENDS_EARLY = "ends the response"
    TRICKLES = "goes on with single bytes of an event"
    OVERSIZED_CHUNK = "goes on with events in a chunk of gigabytes"
    SIZE_LINE = "goes on with digits of a chunk size"


class SlowEvent(NamedTuple):
    """The event that a host writes slowly; its `number` is 0 for none."""

    number: int
    pieces: int

    def split(self, event: bytes) -> list[bytes]:
        """Splits an event into the pieces that the host writes."""
        size = -(-len(event) // self.pieces)
        return [event[start : start + size] for start in range(0, len(event), size)]


NO_SLOW_EVENT = SlowEvent(0, 1)


class StreamFaults:
    """Draws and carries out the faults of one host's streams."""

    def __init__(self, name: str) -> None:
        """`name` seeds the draws."""
        self._rng = random.Random(f"stream faults {name}")

    async def stop(self, wire: Wire, attempt: HostAttempt) -> StoppedStream:
        """Stops the answer; returns only if the response has ended."""
        stopped = self._rng.choice(list(StoppedStream))
        match stopped:
            case StoppedStream.SILENT:
                await trio.sleep_forever()
            case StoppedStream.COMMENTS:
                await self._write_comments(wire, attempt)
            case StoppedStream.TRICKLES:
                attempt.event_incomplete = True
                await wire.send(chunk(EVENT_BEGINNING))
                await _repeat(wire, chunk(b"x"))
            case StoppedStream.OVERSIZED_CHUNK:
                await wire.send(OVERSIZED_CHUNK)
                await _repeat(wire, SOUND_EVENT)
            case StoppedStream.SIZE_LINE:
                await _repeat(wire, SIZE_LINE_DIGIT)
            case StoppedStream.ENDS_EARLY:
                await wire.send(LAST_CHUNK)
        return stopped

    async def _write_comments(self, wire: Wire, attempt: HostAttempt) -> None:
        while True:
            attempt.events += COMMENT  # the client receives them; they are no events of the answer
            await wire.send(chunk(COMMENT))
            await trio.sleep(COMMENT_INTERVAL_S)

    def draw_slow_event(self, events: int) -> SlowEvent:
        """Draws which event is written slowly, and in how many pieces."""
        number = self._rng.choice((0, self._rng.randrange(1, events)))
        return SlowEvent(number, self._rng.choice(SLOW_EVENT_PIECES))


async def _repeat(wire: Wire, data: bytes) -> None:
    """Writes the data again and again, until the connection ends."""
    while True:
        await wire.send(data)
        await trio.sleep(TRICKLE_INTERVAL_S)
