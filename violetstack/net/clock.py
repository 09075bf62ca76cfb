"""A monotonic clock in Unix milliseconds."""

from __future__ import annotations

import time

_OFFSET_MS = time.time() * 1000.0 - time.monotonic() * 1000.0


def now_ms() -> float:
    """Unix time as of the start of the process, continued monotonically.

    Hosts report their start as Unix time; a step of the system clock must not reach the timers.
    """
    return _OFFSET_MS + time.monotonic() * 1000.0
