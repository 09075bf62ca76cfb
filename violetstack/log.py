"""One JSON line an event, on standard output."""

from __future__ import annotations

import sys
import time
from typing import Any

import orjson

quiet = False  # set by the rehearsal command


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
