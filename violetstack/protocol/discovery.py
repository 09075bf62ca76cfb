"""Discovery's lists and the changes that its watch tells as the module's news."""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from violetstack.settings import SettingsMessage

MAX_LIST = 1024 * 1024  # bytes; a hundred hosts take some 15,000
PLAIN = re.compile(rb'[{}\[\]"]')  # what ends or nests outside a string
QUOTED = re.compile(rb'["\\]')  # and within one
STATES = {"active": EndpointState.HEALTHY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}


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


class WLoose(msgspec.Struct):
    """A list of which an entry can't be read: the others count all the same."""

    version: int = 0
    full: bool = False
    servers: list[msgspec.Raw] = []


class BadList(Exception):
    """Discovery wrote something that is no list."""


class Targets(msgspec.Struct, frozen=True):
    news: EndpointUpdate
    addresses: dict[str, str]
    skipped: tuple[str, ...] = ()  # entries of an unknown state or kind: one of them must not stop the list
    rows: tuple[WServer, ...] = ()  # as they came


class ListReader:
    def __init__(self, settings_message: SettingsMessage) -> None:
        self._zones = {name: n for n, name in enumerate(settings_message.zones or ())}
        self._kinds = {name: n for n, name in enumerate(settings_message.kinds or ())}
        self._decoder = msgspec.json.Decoder(WTargets)

    def read(self, value: bytes) -> Targets:
        """Raises BadList."""
        unread: tuple[str, ...] = ()
        try:
            told = self._decoder.decode(value)
        except msgspec.MsgspecError as error:
            told, unread = _loosely(value, str(error))
        targets = self.targets(told, UpdateScope.SNAPSHOT if told.full else UpdateScope.DELTA)
        return msgspec.structs.replace(targets, skipped=targets.skipped + unread) if unread else targets

    def targets(self, told: WTargets, scope: UpdateScope) -> Targets:
        entries = []
        skipped = []
        for server in told.servers:
            if server.state in STATES and (server.kind in self._kinds or not self._kinds):
                entries.append(self._entry(server))
            else:
                skipped.append(server.id)
        known = {entry.server for entry in entries}
        addresses = {server.id: server.addr for server in told.servers if server.addr and server.id in known}
        return Targets(
            EndpointUpdate(scope, tuple(entries), told.version),
            addresses,
            tuple(skipped),
            tuple(told.servers),
        )

    def _entry(self, server: WServer) -> Endpoint:
        return Endpoint(
            server=server.id,
            cell=server.cell,
            weight=server.weight,
            zone=self._zones.get(server.zone, 0),
            state=STATES[server.state],
            kind=self._kinds.get(server.kind, 0),
            started_ms=server.started_ms or None,
        )


def _loosely(value: bytes, why: str) -> tuple[WTargets, tuple[str, ...]]:
    """What can be read of a list, and how each other entry begins; raises BadList where nothing can.

    Guards against one spoilt entry that keeps all the others, drains among them, from being known.
    """
    rows = []
    unread = []
    try:
        loose = msgspec.json.decode(value, type=WLoose)
    except msgspec.MsgspecError:
        raise BadList(why[:200]) from None
    for row in loose.servers:
        try:
            rows.append(msgspec.json.decode(row, type=WServer))
        except msgspec.MsgspecError:
            unread.append(bytes(row)[:60].decode("latin-1"))
    return WTargets(loose.version, loose.full, rows), tuple(unread[:20])


class Values:
    """Whole JSON objects out of an answer's bytes, cut anywhere; b"" for an empty line between them.

    Guards against lists that come indented, several in one read or one in many: a line is no measure. Each
    byte is looked at once, so that one cut at every byte costs no more than one that comes in a piece. Raises
    BadList for what can't be the beginning of an object, and for one that is larger than MAX_LIST.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []  # of the object that has begun
        self._size = self._depth = 0
        self._quoted = self._escaped = False
        self._ended = False  # an object ended on this line: its line's end is no empty line

    def feed(self, data: memoryview | bytes) -> Iterator[bytes]:
        raw = bytes(data)
        at = 0
        while at < len(raw):
            if not self._depth:
                begin = raw.find(b"{", at)
                yield from self._between(raw[at : begin if begin >= 0 else len(raw)])
                if begin < 0:
                    return
                at = begin + 1
                self._depth = 1
                self._ended = True
                self._parts = [b"{"]
                self._size = 1
            end = self._scan(raw, at)
            self._parts.append(raw[at:end])
            self._size += end - at
            if self._size > MAX_LIST:
                raise BadList(f"a list of more than {MAX_LIST} bytes")
            at = end
            if not self._depth:
                whole = b"".join(self._parts)
                self._parts = []
                yield whole

    def _between(self, raw: bytes) -> Iterator[bytes]:
        if raw.strip():
            raise BadList(f"no list: {raw.strip()[:40]!r}")
        for _ in range(raw.count(b"\n")):
            if not self._ended:
                yield b""
            self._ended = False

    def _scan(self, raw: bytes, at: int) -> int:
        """The index behind the object that has begun, or behind all that came."""
        if self._escaped and at < len(raw):
            at = at + 1
            self._escaped = False
        while at < len(raw):
            found = (QUOTED if self._quoted else PLAIN).search(raw, at)
            if found is None:
                return len(raw)
            at = found.end()
            mark = found.group()
            if mark == b'"':
                self._quoted = not self._quoted
            elif mark == b"\\":
                self._escaped = at == len(raw)
                at += 1
            elif mark in b"{[":
                self._depth += 1
            else:
                self._depth -= 1
                if not self._depth:
                    return at
        return len(raw)
