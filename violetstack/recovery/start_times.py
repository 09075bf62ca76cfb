"""Starts of hosts, on this process's own clock.

Discovery dates the starts of hosts by its wall clock. This process continues the wall clock that it found at
its own start, which may have been stepped before that. Where the two cannot both be right, the latest start
that is possible counts: a host that is taken for colder than it is gets fewer requests for a while; one that
is taken for warmer is overloaded.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec.structs import replace

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope

MAX_RESTART_NOTICE_MS = 10_000.0
"""A restart of a listed host is told within this time."""


class _StartTime(NamedTuple):
    """When a host started, as discovery dates it, and on this process's clock."""

    listed_ms: float
    local_ms: float


class StartTimes:
    """Translates the starts in endpoint updates. The same start keeps the same translation."""

    def __init__(self) -> None:
        """Begins without any host."""
        self._starts: dict[str, _StartTime] = {}

    def translate(self, now: float, update: EndpointUpdate) -> EndpointUpdate:
        """Returns the update with starts on this process's clock.

        A start that is dated in the future took place by now. A listed host that is told to have restarted
        did so a short time ago, however long ago its start is dated.

        Args:
            now: The time, on this process's clock.
            update: The update as discovery sent it.
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
