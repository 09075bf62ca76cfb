"""Discovery's wire format: the endpoint list and its changes as JSON objects, decoded to endpoint updates."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from typing import Annotated, NamedTuple

import msgspec

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from violetstack.protocol.json_errors import DECODE_ERRORS
from violetstack.settings import SettingsMessage

MAX_OBJECT_BYTES = 1024 * 1024  # a hundred hosts take some 15,000
MAX_SKIPPED = 20  # entries of a list that are reported
SKIPPED_LENGTH = 60  # characters of each
ERROR_LENGTH = 200
OUTSIDE_STRING = re.compile(rb'[{}\[\]"]')  # the bytes that nest objects or begin a string
INSIDE_STRING = re.compile(rb'["\\]')  # the bytes that end a string or escape one
ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Fa-f:.]+|[A-Za-z0-9._-]+):([0-9]{1,5})")
MAX_HOST_LENGTH = 253  # of a name (RFC 1035)
MAX_LABEL_LENGTH = 63
MAX_PORT = 65535
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
STATES = {"active": EndpointState.HEALTHY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}


class ListedEndpoint(msgspec.Struct):
    """One host as discovery writes it; `started_ms` is Unix time, 0 where it is not known."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: Int64 = 0
    state: str = "active"
    weight: float = 1.0
    started_ms: float = 0.0


class EndpointListMessage(msgspec.Struct):
    """A complete list (`full`), or the entries that have changed since an earlier version."""

    version: Int64 = 0
    full: bool = False
    servers: list[ListedEndpoint] = []


class EntryIdentity(msgspec.Struct):
    """What is read of an entry that can't be decoded as a whole."""

    id: str
    state: str = ""


class UndecodedListMessage(msgspec.Struct):
    """A list whose entries are decoded one by one, because one of them could not be."""

    version: Int64 = 0
    full: bool = False
    servers: list[msgspec.Raw] = []


class EndpointListError(Exception):
    """Discovery sent something that is no endpoint list."""


class WatchEvent(msgspec.Struct, frozen=True):
    """A list or a change, decoded.

    Attributes:
        update: The entries that can be applied.
        addresses: The addresses of these hosts, by id.
        skipped: The ids, or the beginnings, of entries of which something could not be used.
        messages: The entries that can be applied, in discovery's form.
    """

    update: EndpointUpdate
    addresses: dict[str, str]
    skipped: tuple[str, ...] = ()
    messages: tuple[ListedEndpoint, ...] = ()


class _PartialList(NamedTuple):
    message: EndpointListMessage
    unreadable: tuple[str, ...]  # the beginning of each entry that could not be decoded


def is_valid_address(text: str) -> bool:
    """Whether the text is `host:port` with a host and a port that a socket can be given."""
    found = ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found[2]) <= MAX_PORT:
        return False
    labels = found[1].split(".")
    return len(found[1]) <= MAX_HOST_LENGTH and all(len(label) <= MAX_LABEL_LENGTH for label in labels)


def _nothing_known(_id: str) -> ListedEndpoint | None:
    return None


class EndpointListDecoder:
    """Decodes lists and changes to watch events.

    A host that is known keeps what an entry states in no usable form, so that neither its drain nor its
    place in a complete list is lost with a bad field. Of a host that is not known such an entry is left out.
    """

    def __init__(
        self,
        settings_message: SettingsMessage,
        known: Callable[[str], ListedEndpoint | None] = _nothing_known,
    ) -> None:
        """Takes the zones and kinds of the settings; `known` returns the entry in use for a host's id."""
        self._zones = {name: n for n, name in enumerate(settings_message.zones or ())}
        self._kinds = {name: n for n, name in enumerate(settings_message.kinds or ())}
        self._known = known
        self._decoder = msgspec.json.Decoder(EndpointListMessage)

    def decode(self, value: bytes) -> WatchEvent:
        """One JSON object of discovery. Raises EndpointListError if nothing of it can be read."""
        unreadable: tuple[str, ...] = ()
        try:
            message = self._decoder.decode(value)
        except DECODE_ERRORS as error:
            message, unreadable = self._decode_entries(value, str(error))
        event = self.to_event(message, UpdateScope.SNAPSHOT if message.full else UpdateScope.DELTA)
        if unreadable:
            event = msgspec.structs.replace(event, skipped=(event.skipped + unreadable)[:MAX_SKIPPED])
        return event

    def to_event(self, message: EndpointListMessage, scope: UpdateScope) -> WatchEvent:
        """The message as an update of the given scope. Of two entries with one id the later counts."""
        entries: dict[str, ListedEndpoint] = {}
        skipped = []
        for server in message.servers:
            usable = self._usable(server)
            if usable is not server or server.id in entries:
                skipped.append(server.id[:SKIPPED_LENGTH])
            if usable is not None:
                entries[server.id] = usable
        return WatchEvent(
            update=EndpointUpdate(scope, tuple(map(self._to_endpoint, entries.values())), message.version),
            addresses={server.id: server.addr for server in entries.values() if server.addr},
            skipped=tuple(skipped[:MAX_SKIPPED]),
            messages=tuple(entries.values()),
        )

    def _usable(self, server: ListedEndpoint) -> ListedEndpoint | None:
        """The entry, with what is known of the host in place of what can't be used; None if nothing is."""
        state_valid = server.state in STATES
        kind_valid = server.kind in self._kinds or not self._kinds
        address_valid = is_valid_address(server.addr)
        if server.id and state_valid and kind_valid and address_valid:
            return server
        known = self._known(server.id)
        if known is None:
            return None
        return msgspec.structs.replace(
            server,
            state=server.state if state_valid else known.state,
            kind=server.kind if kind_valid else known.kind,
            addr=server.addr if address_valid else known.addr,
        )

    def _decode_entries(self, value: bytes, reason: str) -> _PartialList:
        """Decodes each entry on its own, so that an invalid one does not hide the others, drains among them.

        Raises EndpointListError, with `reason`, where the object around the entries can't be decoded either.
        """
        servers = []
        unreadable = []
        try:
            message = msgspec.json.decode(value, type=UndecodedListMessage)
        except DECODE_ERRORS:
            raise EndpointListError(reason[:ERROR_LENGTH]) from None
        for entry in message.servers:
            try:
                servers.append(msgspec.json.decode(entry, type=ListedEndpoint))
            except DECODE_ERRORS:
                unreadable.append(bytes(entry)[:SKIPPED_LENGTH].decode("latin-1"))
                servers += self._known_part(entry)
        return _PartialList(
            EndpointListMessage(message.version, message.full, servers), tuple(unreadable[:MAX_SKIPPED])
        )

    def _known_part(self, entry: msgspec.Raw) -> list[ListedEndpoint]:
        """What an unreadable entry means for a known host: its new state, if that much can be read."""
        try:
            identity = msgspec.json.decode(entry, type=EntryIdentity)
        except DECODE_ERRORS:
            return []
        known = self._known(identity.id)
        if known is None:
            return []
        state = identity.state if identity.state in STATES else known.state
        return [msgspec.structs.replace(known, state=state)]

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
