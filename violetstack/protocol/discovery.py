"""Discovery's wire format: the endpoint list and its changes as JSON objects, decoded to endpoint updates."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from violetstack.settings import SettingsMessage

MAX_OBJECT_BYTES = 1024 * 1024  # a hundred hosts take some 15,000
MAX_UNREADABLE = 20  # entries of a list that are reported
UNREADABLE_LENGTH = 60  # bytes of each
ERROR_LENGTH = 200
OUTSIDE_STRING = re.compile(rb'[{}\[\]"]')  # the bytes that nest objects or begin a string
INSIDE_STRING = re.compile(rb'["\\]')  # the bytes that end a string or escape one
STATES = {"active": EndpointState.HEALTHY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}


class ListedEndpoint(msgspec.Struct):
    """One host as discovery writes it; `started_ms` is Unix time, 0 where it is not known."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "active"
    weight: float = 1.0
    started_ms: float = 0.0


class EndpointListMessage(msgspec.Struct):
    """A complete list (`full`), or the entries that have changed since an earlier version."""

    version: int = 0
    full: bool = False
    servers: list[ListedEndpoint] = []


class UndecodedListMessage(msgspec.Struct):
    """A list whose entries are decoded one by one, because one of them could not be."""

    version: int = 0
    full: bool = False
    servers: list[msgspec.Raw] = []


class EndpointListError(Exception):
    """Discovery sent something that is no endpoint list."""


class WatchEvent(msgspec.Struct, frozen=True):
    """A list or a change, decoded. `messages` are the entries as they came."""

    update: EndpointUpdate
    addresses: dict[str, str]
    skipped: tuple[
        str, ...
    ] = ()  # entries of an unknown state or kind, and the beginnings of unreadable ones
    messages: tuple[ListedEndpoint, ...] = ()


class _PartialList(NamedTuple):
    message: EndpointListMessage
    unreadable: tuple[str, ...]  # the beginning of each entry that could not be decoded


class EndpointListDecoder:
    """Decodes lists and changes to watch events."""

    def __init__(self, settings_message: SettingsMessage) -> None:
        """Takes the zones and kinds of the settings."""
        self._zones = {name: n for n, name in enumerate(settings_message.zones or ())}
        self._kinds = {name: n for n, name in enumerate(settings_message.kinds or ())}
        self._decoder = msgspec.json.Decoder(EndpointListMessage)

    def decode(self, value: bytes) -> WatchEvent:
        """One JSON object of discovery. Raises EndpointListError if nothing of it can be read."""
        unreadable: tuple[str, ...] = ()
        try:
            message = self._decoder.decode(value)
        except msgspec.MsgspecError as error:
            message, unreadable = _decode_entries(value, str(error))
        event = self.to_event(message, UpdateScope.SNAPSHOT if message.full else UpdateScope.DELTA)
        if unreadable:
            event = msgspec.structs.replace(event, skipped=event.skipped + unreadable)
        return event

    def to_event(self, message: EndpointListMessage, scope: UpdateScope) -> WatchEvent:
        """The message as an update of the given scope; entries of an unknown state or kind are left out."""
        endpoints = []
        skipped = []
        for server in message.servers:
            if server.state in STATES and (server.kind in self._kinds or not self._kinds):
                endpoints.append(self._to_endpoint(server))
            else:
                skipped.append(server.id)
        known = {endpoint.server for endpoint in endpoints}
        return WatchEvent(
            update=EndpointUpdate(scope, tuple(endpoints), message.version),
            addresses={s.id: s.addr for s in message.servers if s.addr and s.id in known},
            skipped=tuple(skipped),
            messages=tuple(message.servers),
        )

    def _to_endpoint(self, server: ListedEndpoint) -> Endpoint:
        return Endpoint(
            server=server.id,
            cell=server.cell,
            weight=server.weight,
            zone=self._zones.get(server.zone, 0),
            state=STATES[server.state],
            kind=self._kinds.get(server.kind, 0),
            started_ms=server.started_ms or None,
        )


def _decode_entries(value: bytes, reason: str) -> _PartialList:
    """Decodes each entry on its own, so that an invalid one does not hide the others, drains among them.

    Raises EndpointListError, with `reason`, where the object around the entries can't be decoded either.
    """
    servers = []
    unreadable = []
    try:
        message = msgspec.json.decode(value, type=UndecodedListMessage)
    except msgspec.MsgspecError:
        raise EndpointListError(reason[:ERROR_LENGTH]) from None
    for server in message.servers:
        try:
            servers.append(msgspec.json.decode(server, type=ListedEndpoint))
        except msgspec.MsgspecError:
            unreadable.append(bytes(server)[:UNREADABLE_LENGTH].decode("latin-1"))
    return _PartialList(
        EndpointListMessage(message.version, message.full, servers), tuple(unreadable[:MAX_UNREADABLE])
    )


class JsonObjectSplitter:
    """Splits a stream of JSON objects, cut anywhere, into the objects; b"" stands for an empty line.

    Objects may be indented, several in one read or one in many, so the end of a line does not end an object.
    Each byte is looked at once: a stream that is cut at every byte costs no more than one that is not.
    """

    def __init__(self) -> None:
        """Starts between two objects."""
        self._parts: list[bytes] = []  # of the object that has begun
        self._size = 0
        self._depth = 0
        self._in_string = False
        self._escaped = False
        self._object_on_line = False  # an object ended on this line: the line's end is no empty line

    def feed(self, data: memoryview | bytes) -> Iterator[bytes]:
        """The objects and empty lines that `data` completes.

        Raises EndpointListError for bytes that can't begin an object and for more than MAX_OBJECT_BYTES.
        """
        raw = bytes(data)
        at = 0
        while at < len(raw):
            if not self._depth:
                begin = raw.find(b"{", at)
                yield from self._between(raw[at : begin if begin >= 0 else len(raw)])
                if begin < 0:
                    return
                at = begin + 1
                self._begin_object()
            end = self._scan(raw, at)
            self._append(raw[at:end])
            at = end
            if not self._depth:
                complete = b"".join(self._parts)
                self._parts = []
                yield complete

    def _begin_object(self) -> None:
        self._depth = 1
        self._object_on_line = True
        self._parts = [b"{"]
        self._size = 1

    def _append(self, part: bytes) -> None:
        self._parts.append(part)
        self._size += len(part)
        if self._size > MAX_OBJECT_BYTES:
            raise EndpointListError(f"a list of more than {MAX_OBJECT_BYTES} bytes")

    def _between(self, raw: bytes) -> Iterator[bytes]:
        if raw.strip():
            raise EndpointListError(f"no list: {raw.strip()[:40]!r}")
        for _ in range(raw.count(b"\n")):
            if not self._object_on_line:
                yield b""
            self._object_on_line = False

    def _scan(self, raw: bytes, at: int) -> int:
        """The index after the end of the object that has begun, or after all of `raw`."""
        if self._escaped and at < len(raw):
            at += 1
            self._escaped = False
        while at < len(raw):
            found = (INSIDE_STRING if self._in_string else OUTSIDE_STRING).search(raw, at)
            if found is None:
                return len(raw)
            at = found.end()
            match found.group():
                case b'"':
                    self._in_string = not self._in_string
                case b"\\":
                    self._escaped = at == len(raw)
                    at += 1
                case b"{" | b"[":
                    self._depth += 1
                case _:
                    self._depth -= 1
                    if not self._depth:
                        return at
        return len(raw)
