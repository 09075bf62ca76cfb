"""Start times of hosts, translated to this process's clock.

Service discovery reports the start times of hosts by its wall clock. The clock of this process continues the
wall clock from the process's start, and that may have been stepped before. Where the two cannot both be
right, the latest possible start time is used: a warm host that is assumed to be warming up gets fewer
requests for a while, but a host that is warming up and assumed to be warm would be overloaded.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec.structs import replace

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope

MAX_RESTART_NOTICE_MS = 10_000.0
"""Service discovery reports the restart of a listed host within this time."""


class _StartTime(NamedTuple):
    """The start time of a host, as listed by service discovery and on this process's clock."""

    listed_ms: float
    local_ms: float


class StartTimes:
    """Translates the start times in endpoint updates. A repeated start time is translated as before."""

    def __init__(self) -> None:
        """Starts without hosts."""
        self._starts: dict[str, _StartTime] = {}

    def translate(self, now: float, update: EndpointUpdate) -> EndpointUpdate:
        """Returns the update with start times on this process's clock.

        A start time in the future becomes now. If the start time of a listed host changes, the host has
        restarted at most MAX_RESTART_NOTICE_MS ago, however old the new start time is.

        Args:
            now: The current time, on this process's clock.
            update: The update as service discovery sent it.
        """
        endpoints = tuple(self._translate(now, entry) for entry in update.endpoints)
        if update.scope is not UpdateScope.DELTA:
            listed = {entry.server for entry in update.endpoints}
            self._starts = {server: start for server, start in self._starts.items() if server in listed}
        return replace(update, endpoints=endpoints)

    def _translate(self, now: float, entry: Endpoint) -> Endpoint:
        if entry.state is EndpointState.REMOVED:
            self._starts.pop(entry.server, None)
            return entry
        listed_ms = entry.started_ms or 0.0
        known = self._starts.get(entry.server)
        if known is None or known.listed_ms != listed_ms:
            local_ms = min(now, listed_ms)
            if known is not None and listed_ms:
                local_ms = max(local_ms, now - MAX_RESTART_NOTICE_MS)
            known = _StartTime(listed_ms, local_ms)
            self._starts[entry.server] = known
        return entry if known.local_ms == listed_ms else replace(entry, started_ms=known.local_ms)
