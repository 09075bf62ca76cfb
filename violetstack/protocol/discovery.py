"""Discovery's lists and the lines of its watch as the module's news."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from violetstack import interface as t
from violetstack.facts import WFacts

MAX_LINE = 1024 * 1024
STATES = {"active": t.ServerState.HEALTHY, "leaving": t.ServerState.DRAINING, "left": t.ServerState.GONE}


class WServer(msgspec.Struct):
    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "active"
    weight: float = 1.0
    started_ms: float = 0.0


class WTargets(msgspec.Struct):
    version: int = 0
    full: bool = False
    servers: list[WServer] = []


class BadList(Exception):
    """Discovery wrote something that is no list."""


class Targets(msgspec.Struct, frozen=True):
    news: t.ListNews
    addresses: dict[str, str]
    skipped: tuple[str, ...] = ()  # entries of an unknown state or kind: one of them must not stop the list
    rows: tuple[WServer, ...] = ()  # as they came


class ListReader:
    def __init__(self, facts: WFacts) -> None:
        self._zones = {name: n for n, name in enumerate(facts.zones or ())}
        self._kinds = {name: n for n, name in enumerate(facts.kinds or ())}
        self._decoder = msgspec.json.Decoder(WTargets)

    def read(self, line: bytes) -> Targets:
        try:
            targets = self._decoder.decode(line)
        except msgspec.MsgspecError as error:
            raise BadList(str(error)) from None
        return self.targets(targets, t.ListScope.FULL if targets.full else t.ListScope.DELTA)

    def targets(self, told: WTargets, scope: t.ListScope) -> Targets:
        entries, skipped = [], []
        for server in told.servers:
            if server.state in STATES and (server.kind in self._kinds or not self._kinds):
                entries.append(self._entry(server))
            else:
                skipped.append(server.id)
        known = {entry.server for entry in entries}
        addresses = {server.id: server.addr for server in told.servers if server.addr and server.id in known}
        return Targets(t.ListNews(scope, tuple(entries), told.version), addresses, tuple(skipped),
                       tuple(told.servers))

    def _entry(self, server: WServer) -> t.Entry:
        return t.Entry(
            server=server.id,
            cell=server.cell,
            weight=server.weight,
            zone=self._zones.get(server.zone, 0),
            state=STATES[server.state],
            kind=self._kinds.get(server.kind, 0),
            started_ms=server.started_ms or None,
        )


class LineSplitter:
    """Whole lines out of a chunked answer; an empty one means that nothing changed."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: memoryview) -> Iterator[bytes]:
        lines = (self._rest + bytes(data)).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > MAX_LINE:
            raise BadList("a line without an end")
        yield from (line.strip() for line in lines)
