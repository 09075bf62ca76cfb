"""The margin by which an observer extends a duration measured by another machine's clock."""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.01  # a clock runs at most 1% fast or slow


def with_drift_margin(duration: float) -> float:
    """Returns how long a `duration` on another machine's clock may take on this machine's, in the same unit.

    In the worst case the owner's clock runs slow and the observer's clock runs fast, each by MAX_CLOCK_DRIFT.
    """
    return duration * (1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT)
