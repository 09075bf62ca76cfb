"""Slow start: how much of its capacity an endpoint has that started a short time ago."""

from __future__ import annotations

from violetstack.policy_api import Settings

RAMP = 0.5  # the part of the missing capacity that is taken to have come back by the end of the warm-up


def capacity_fraction(started_ms: float | None, settings: Settings, now: float) -> float:
    """From `slow_start_capacity` at the start up to 1 after `slow_start_ms`; 1 if the start is not known."""
    if started_ms is None or now >= started_ms + settings.slow_start_ms:
        return 1.0
    share = settings.slow_start_capacity
    return share + (1.0 - share) * RAMP * max(0.0, now - started_ms) / settings.slow_start_ms
