"""The program's clock: Unix milliseconds that never step back."""

from __future__ import annotations

import time

_OFFSET_MS = time.time() * 1000.0 - time.monotonic() * 1000.0


def now_ms() -> float:
    """Model hosts' starts come as Unix time, so the module's clock is that, carried on monotonically."""
    return _OFFSET_MS + time.monotonic() * 1000.0
