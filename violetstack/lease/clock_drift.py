"""The margin by which an observer extends a duration that another machine's clock measures."""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.01  # a clock runs at most 1% fast or slow


def with_drift_margin(duration: float) -> float:
    """Return how long `duration` of another machine's clock can take on this one, in the same unit.

    The worst case is an owner's clock that runs slow and an observer's that runs fast, by MAX_CLOCK_DRIFT
    each.
    """
    return duration * (1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT)
