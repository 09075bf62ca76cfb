"""Failure detection from changes of a heartbeat record, without comparing clocks of different machines.

A live process keeps changing its heartbeat record. An observer measures on its own clock for how long the
record has stayed the same; the owner counts its lease from before it wrote the record. Both clocks may drift
by 1%.
"""

from __future__ import annotations

from typing import NamedTuple

from violetstack.lease.clock_drift import with_drift_margin

MAX_OBSERVED_OWNERS = 4_096  # beyond this, the owner whose record changed longest ago is dropped


class Observation(NamedTuple):
    """A heartbeat record and when it was first seen."""

    heartbeat: object
    first_seen: float


class LivenessMonitor:
    """Detects owners whose heartbeat has not changed for a whole lease duration."""

    def __init__(self, lease_duration: float) -> None:
        """Creates a monitor without observations; `lease_duration` is in the caller's unit of time."""
        self._silence_limit = with_drift_margin(lease_duration)
        self._observations: dict[str, Observation] = {}

    @property
    def observed_owners(self) -> int:
        """The number of owners under observation."""
        return len(self._observations)

    def is_expired(self, read_started: float, read_finished: float, owner: str, heartbeat: object) -> bool:
        """Records an owner's heartbeat record and returns whether the owner's lease has expired.

        An owner that is observed for the first time counts as alive.

        Args:
            read_started: When reading the record began.
            read_finished: When reading the record ended.
            owner: The owner of the record.
            heartbeat: The record; None if the owner has none.
        """
        last = self._observations.get(owner)
        if last is None or last.heartbeat != heartbeat:
            self._observations.pop(owner, None)
            self._observations[owner] = Observation(heartbeat, read_finished)
            if len(self._observations) > MAX_OBSERVED_OWNERS:
                # A dropped owner that is observed again counts as alive for another lease, which is safe.
                del self._observations[next(iter(self._observations))]
            return False
        return read_started - last.first_seen >= self._silence_limit
