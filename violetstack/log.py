"""One JSON line an event, on standard output."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

import orjson

quiet = False  # set by the rehearsal command
MOST_A_SECOND = 20  # lines of one kind that outsiders can cause
MAX_TEXT = 200


def log(event: str, **fields: Any) -> None:
    """Guards against its own end: a reader of the log that went away must not stop the service."""
    if quiet:
        return
    line = {"at": round(time.time(), 3), "event": event, **fields}
    try:
        sys.stdout.buffer.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        sys.stdout.buffer.flush()
    except (OSError, ValueError):
        pass


class Bounded:
    """For what outsiders can cause at will: so many lines a second of each kind, and short ones.

    What was left out is counted in the next line's `unlogged`. Guards the processor and the log's disk.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._kinds: dict[str, tuple[int, int, int]] = {}  # second, lines in it, left out so far

    def __call__(self, event: str, **fields: Any) -> None:
        second = int(self._clock())
        at, lines, unlogged = self._kinds.get(event, (second, 0, 0))
        lines = lines if at == second else 0
        if lines >= MOST_A_SECOND:
            self._kinds[event] = (second, lines, unlogged + 1)
            return
        self._kinds[event] = (second, lines + 1, 0)
        short = {k: v[:MAX_TEXT] if isinstance(v, str) else v for k, v in fields.items()}
        log(event, **short, **({"unlogged": unlogged} if unlogged else {}))


log_outside = Bounded()
