"""The phases of a dispatcher's start, as a state machine.

| phase | requests | ends when |
| --- | --- | --- |
| no_endpoints | rejected, with Retry-After | a list is received, or a cached one is loaded |
| cached_endpoints | admitted; a stale endpoint is treated as warming up | service discovery sends a list |
| warming_up | admitted; endpoints that warm up get a limited share | the warm-up time has passed |
| ready | admitted | the list becomes empty |

From every phase an empty list leads back to `no_endpoints`.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Phase(Enum):
    """The phase of a start; the values appear in the log."""

    NO_ENDPOINTS = "no_endpoints"
    CACHED_ENDPOINTS = "cached_endpoints"
    WARMING_UP = "warming_up"
    READY = "ready"


class PhaseChange(NamedTuple):
    """A transition between two phases, and the reason for it as a text for the log."""

    old: Phase
    new: Phase
    reason: str


class StartupPhases:
    """The state machine of one start; each event method returns the transition that it caused, if any."""

    def __init__(self, now: float, warm_up_ms: float) -> None:
        """Starts without endpoints.

        Args:
            now: The start time of the process.
            warm_up_ms: The time from the first list until observations outweigh the prior estimates.
        """
        self.phase = Phase.NO_ENDPOINTS
        self._started_at = now
        self._warm_up_ms = warm_up_ms
        self._listed_at: float | None = None

    def cache_loaded(self, endpoints: int) -> PhaseChange | None:
        """Handles the loading of cached endpoints of an earlier run; `endpoints` is their number."""
        if endpoints and self.phase is Phase.NO_ENDPOINTS:
            return self._change_to(Phase.CACHED_ENDPOINTS, f"{endpoints} cached endpoints")
        return None

    def list_received(self, now: float, endpoints: int) -> PhaseChange | None:
        """Handles a message of service discovery; `endpoints` is the number of endpoints listed after it."""
        if not endpoints:
            self._listed_at = None
            if self.phase is Phase.NO_ENDPOINTS:
                return None
            return self._change_to(Phase.NO_ENDPOINTS, "no endpoint is listed")
        if self.phase in (Phase.NO_ENDPOINTS, Phase.CACHED_ENDPOINTS):
            self._listed_at = now
            return self._change_to(Phase.WARMING_UP, f"{endpoints} endpoints listed")
        return None

    def learned_state_restored(self) -> PhaseChange | None:
        """Handles the restoration of a previous process's estimates, which makes a warm-up unnecessary."""
        if self.phase is Phase.WARMING_UP:
            return self._change_to(Phase.READY, "learned state restored")
        return None

    def tick(self, now: float) -> PhaseChange | None:
        """Handles the passage of time; to be called at `warm_up_ends_at`."""
        ends_at = self.warm_up_ends_at
        if ends_at is not None and now >= ends_at:
            return self._change_to(Phase.READY, f"{(now - self._started_at) / 1000.0:.1f} s after the start")
        return None

    @property
    def warm_up_ends_at(self) -> float | None:
        """When the warm-up ends, or None outside of one."""
        if self.phase is not Phase.WARMING_UP or self._listed_at is None:
            return None
        return self._listed_at + self._warm_up_ms

    def _change_to(self, phase: Phase, reason: str) -> PhaseChange:
        change = PhaseChange(self.phase, phase, reason)
        self.phase = phase
        return change
