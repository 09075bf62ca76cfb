"""Failure detection by watching a record change, without comparing clocks of different machines.

A process changes its heartbeat record while it lives. An observer measures, on its own clock, for how long it
has seen the same record; the owner counts its lease from before it wrote. Both clocks may drift by 1%.
"""

from __future__ import annotations

from typing import NamedTuple

from violetstack.lease.clock_drift import with_drift_margin

MAX_OBSERVED_OWNERS = 4_096  # observed at a time; the one that was observed first is dropped


class Observation(NamedTuple):
    """A heartbeat record, and when it was first seen."""

    heartbeat: object
    first_seen: float


class LivenessMonitor:
    """Decides which owners have been silent for their whole lease."""

    def __init__(self, lease_duration: float) -> None:
        """Start without any observation; `lease_duration` is in the caller's unit of time."""
        self._silence_limit = with_drift_margin(lease_duration)
        self._observations: dict[str, Observation] = {}

    @property
    def observed_owners(self) -> int:
        """How many owners are remembered."""
        return len(self._observations)

    def is_expired(self, read_started: float, read_finished: float, owner: str, heartbeat: object) -> bool:
        """Take an owner's heartbeat record, and return whether its lease is over.

        An owner that is seen for the first time counts as alive.

        Args:
            read_started: When reading the record began.
            read_finished: When it ended.
            owner: Whose record it is.
            heartbeat: The record; None if the owner has none.
        """
        last = self._observations.get(owner)
        if last is None or last.heartbeat != heartbeat:
            self._observations.pop(owner, None)
            self._observations[owner] = Observation(heartbeat, read_finished)
            if len(self._observations) > MAX_OBSERVED_OWNERS:
                # Should it be seen again, it counts as alive for another lease, which is safe.
                del self._observations[next(iter(self._observations))]
            return False
        return read_started - last.first_seen >= self._silence_limit
