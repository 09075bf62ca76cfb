"""The ways in which a campaign's host writes a stream that stops, ends early, or is slow.

They are drawn apart from the scripts of the requests, so that a seed's other faults do not depend on them.
"""

from __future__ import annotations

import random
from enum import Enum

import trio

from violetstack.rehearsal.fleet.minimal_http import LAST_CHUNK, Wire, chunk
from violetstack.rehearsal.fleet.socket_audit import HostAttempt

COMMENT = b": ping\n\n"
COMMENT_INTERVAL_S = 0.3
EVENT_BEGINNING = b'data: {"choices":[{"index":0,"delta":{"content":"'
TRICKLE_INTERVAL_S = 0.2
SLOW_EVENT_PIECES = 5
SLOW_EVENT_PIECE_INTERVAL_S = 0.5
SLOW_EVENT_S = SLOW_EVENT_PIECES * SLOW_EVENT_PIECE_INTERVAL_S


class StoppedStream(Enum):
    """What a host does after it has stopped its answer."""

    SILENT = "silent"
    COMMENTS = "goes on with comments"
    ENDS_EARLY = "ends the response"
    TRICKLES = "goes on with single bytes of an event"


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
                await wire.send(chunk(EVENT_BEGINNING))
                while True:
                    await wire.send(chunk(b"x"))
                    await trio.sleep(TRICKLE_INTERVAL_S)
            case StoppedStream.ENDS_EARLY:
                await wire.send(LAST_CHUNK)
        return stopped

    async def _write_comments(self, wire: Wire, attempt: HostAttempt) -> None:
        while True:
            attempt.events += COMMENT  # the client receives them; they are no events of the answer
            await wire.send(chunk(COMMENT))
            await trio.sleep(COMMENT_INTERVAL_S)

    def draw_slow_event(self, events: int) -> int:
        """Draws the number of the event that is written slowly; 0 for none."""
        return self._rng.choice((0, self._rng.randrange(1, events)))


def split_event(event: bytes) -> list[bytes]:
    """Splits an event into the pieces that a slow host writes."""
    size = -(-len(event) // SLOW_EVENT_PIECES)
    return [event[start : start + size] for start in range(0, len(event), size)]
