"""A monotonic clock in Unix milliseconds."""

from __future__ import annotations

import time

_OFFSET_MS = time.time() * 1000.0 - time.monotonic() * 1000.0


def now_ms() -> float:
    """Returns the Unix time at the start of the process plus the monotonic time since then.

    Unix time is needed because hosts report their start in it; steps of the system clock must not affect
    timers.
    """
    return _OFFSET_MS + time.monotonic() * 1000.0
