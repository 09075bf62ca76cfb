"""Hosts out by hand: an overlay on discovery's list, which the core and the module see only through it."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from msgspec.structs import replace

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope

MOST = 1_000  # marks kept; a call beyond that is answered with a no


class Unknown(Exception):
    """No listed host has this id, and none that is out."""


class TooMany(Exception):
    """As many hosts have been taken out as can be kept track of."""


class Mark(msgspec.Struct, frozen=True):
    """The last call for a host: out or back, and when. `since`: when it went out. Unix milliseconds."""

    out: bool
    at: float
    since: float


class Cordons:
    """Whichever call for a host is the latest holds, at whatever process of this dispatcher it came in.

    A host that is out reads as draining, whatever lists say; one that is gone stays gone, and is out again
    should its id come back. Whether a host that is put back was restarted meanwhile may be told late, so
    until the list tells of a start since it went out, it counts as started when it was put back: guards
    against a cold host that gets a warm one's share, and against old failures that keep it unused.
    """

    def __init__(self) -> None:
        self.marks: dict[str, Mark] = {}
        self._listed: dict[str, Endpoint] = {}

    def told(self, news: EndpointUpdate) -> EndpointUpdate:
        """Discovery's news as the core is to see it."""
        if news.scope is not UpdateScope.DELTA:
            self._listed = {}
        for entry in news.endpoints:
            self._listed[entry.server] = entry
            if entry.state is EndpointState.REMOVED:
                del self._listed[entry.server]
        if not self.marks:
            return news
        return replace(news, endpoints=tuple(self._seen(entry) for entry in news.endpoints))

    def cordon(self, now: float, server: str) -> EndpointUpdate:
        """Raises Unknown or TooMany. Taken out twice, it is out since the first call."""
        mark = self.marks.get(server)
        if mark is not None and mark.out:
            return self._news(server)
        if server not in self._listed:
            raise Unknown(server)
        if len(self.marks) >= MOST:
            self._forget()
        self.marks[server] = Mark(True, now, now)
        return self._news(server)

    def uncordon(self, now: float, server: str) -> EndpointUpdate:
        """Raises Unknown. For a host that is not out it changes nothing."""
        mark = self.marks.get(server)
        if mark is not None and mark.out:
            self.marks[server] = Mark(False, max(now, mark.at + 1.0), mark.since)
        elif server not in self._listed:
            raise Unknown(server)
        return self._news(server)

    def merge(self, marks: Mapping[str, Mark]) -> EndpointUpdate | None:
        """Another process's marks; the news that follows, if any."""
        newer = {s: m for s, m in marks.items() if s not in self.marks or m.at > self.marks[s].at}
        self.marks.update(newer)
        return self._news(*newer) if newer else None

    @property
    def out(self) -> list[str]:
        return sorted(server for server, mark in self.marks.items() if mark.out)

    def _forget(self) -> None:
        """Guards the memory: what was said of hosts that are back goes, unlisted ones first."""
        old = [s for s, mark in self.marks.items() if s not in self._listed and not mark.out]
        old = old or [s for s, mark in self.marks.items() if not mark.out]
        if not old:
            raise TooMany(f"{MOST} hosts are out")
        del self.marks[min(old, key=lambda s: self.marks[s].at)]

    def _news(self, *servers: str) -> EndpointUpdate:
        listed = [self._listed[s] for s in servers if s in self._listed]
        return EndpointUpdate(UpdateScope.DELTA, tuple(self._seen(entry) for entry in listed), 0)

    def _seen(self, entry: Endpoint) -> Endpoint:
        mark = self.marks.get(entry.server)
        if mark is None or entry.state is EndpointState.REMOVED:
            return entry
        if mark.out:
            return replace(entry, state=EndpointState.DRAINING)
        if (entry.started_ms or 0.0) < mark.since:
            return replace(entry, started_ms=mark.at)
        return entry
