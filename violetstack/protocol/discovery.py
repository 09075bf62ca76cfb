"""Decodes discovery's wire format: the endpoint list and its changes, sent as JSON objects."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from typing import Annotated, NamedTuple

import msgspec

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from violetstack.protocol.json_errors import DECODE_ERRORS
from violetstack.settings import SettingsMessage

MAX_OBJECT_BYTES = 1024 * 1024  # a list of 100 hosts takes about 15,000
MAX_SKIPPED = 20  # skipped entries that are reported per list
SKIPPED_LENGTH = 60  # characters reported of a skipped entry
ERROR_LENGTH = 200  # characters of a decoder's error message
OUTSIDE_STRING = re.compile(rb'[{}\[\]"]')  # bytes that begin or end an object, an array or a string
INSIDE_STRING = re.compile(rb'["\\]')  # bytes that end a string or begin an escape sequence
ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Fa-f:.]+|[A-Za-z0-9._-]+):([0-9]{1,5})")
MAX_HOST_LENGTH = 253  # of a host name (RFC 1035)
MAX_LABEL_LENGTH = 63
MAX_PORT = 65535
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
STATES = {"active": EndpointState.HEALTHY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}


class ListedEndpoint(msgspec.Struct):
    """One host as discovery sends it; `started_ms` is Unix time, 0 if it is unknown."""

    id: str
    addr: str = ""
    zone: str = ""
    kind: str = ""
    cell: Int64 = 0
    state: str = "active"
    weight: float = 1.0
    started_ms: float = 0.0


class EndpointListMessage(msgspec.Struct):
    """A complete list (`full`), or the entries that changed since an earlier version."""

    version: Int64 = 0
    full: bool = False
    servers: list[ListedEndpoint] = []


class EntryIdentity(msgspec.Struct):
    """The fields that are decoded from an entry that is otherwise invalid."""

    id: str
    state: str = ""


class UndecodedListMessage(msgspec.Struct):
    """A list with undecoded entries; used if at least one of them is invalid."""

    version: Int64 = 0
    full: bool = False
    servers: list[msgspec.Raw] = []


class EndpointListError(Exception):
    """Discovery sent data that is not an endpoint list."""


class WatchEvent(msgspec.Struct, frozen=True):
    """A decoded list or change.

    Attributes:
        update: The entries that can be applied.
        addresses: The addresses of these hosts, by id.
        skipped: Entries that were left out or used only in part, by id or by the beginning of their text.
        messages: The entries that can be applied, as discovery sends them.
    """

    update: EndpointUpdate
    addresses: dict[str, str]
    skipped: tuple[str, ...] = ()
    messages: tuple[ListedEndpoint, ...] = ()


class _PartialList(NamedTuple):
    message: EndpointListMessage
    undecodable: tuple[str, ...]  # the beginning of the text of each entry that could not be decoded


def is_valid_address(text: str) -> bool:
    """Returns whether the text is `host:port` with a host and a port that can be connected to."""
    address = ADDRESS.fullmatch(text)
    if address is None or not 0 < int(address[2]) <= MAX_PORT:
        return False
    labels = address[1].split(".")
    return len(address[1]) <= MAX_HOST_LENGTH and all(len(label) <= MAX_LABEL_LENGTH for label in labels)


def _no_known_entry(_id: str) -> ListedEndpoint | None:
    return None


class EndpointListDecoder:
    """Decodes lists and changes to watch events.

    An invalid field of a known host's entry is replaced by its known value, so that an invalid field hides
    neither a drain nor the host's presence in a complete list. Invalid entries of unknown hosts are skipped.
    """

    def __init__(
        self,
        settings_message: SettingsMessage,
        known: Callable[[str], ListedEndpoint | None] = _no_known_entry,
    ) -> None:
        """Creates a decoder for the zones and kinds of the settings.

        `known` returns the entry in use for a host's id, None if the host is unknown.
        """
        self._zones = {name: n for n, name in enumerate(settings_message.zones or ())}
        self._kinds = {name: n for n, name in enumerate(settings_message.kinds or ())}
        self._known = known
        self._decoder = msgspec.json.Decoder(EndpointListMessage)

    def decode(self, value: bytes) -> WatchEvent:
        """Decodes one JSON object of discovery.

        Raises:
            EndpointListError: The object around the entries is invalid too.
        """
        undecodable: tuple[str, ...] = ()
        try:
            message = self._decoder.decode(value)
        except DECODE_ERRORS as error:
            message, undecodable = self._decode_entries(value, str(error))
        event = self.to_event(message, UpdateScope.SNAPSHOT if message.full else UpdateScope.DELTA)
        if undecodable:
            event = msgspec.structs.replace(event, skipped=(event.skipped + undecodable)[:MAX_SKIPPED])
        return event

    def to_event(self, message: EndpointListMessage, scope: UpdateScope) -> WatchEvent:
        """Converts the message to an update of the scope; of several entries with one id the last is used."""
        entries: dict[str, ListedEndpoint] = {}
        skipped = []
        for server in message.servers:
            entry = self._repair_entry(server)
            if entry is not server or server.id in entries:
                skipped.append(server.id[:SKIPPED_LENGTH])
            if entry is not None:
                entries[server.id] = entry
        return WatchEvent(
            update=EndpointUpdate(scope, tuple(map(self._to_endpoint, entries.values())), message.version),
            addresses={server.id: server.addr for server in entries.values() if server.addr},
            skipped=tuple(skipped[:MAX_SKIPPED]),
            messages=tuple(entries.values()),
        )

    def _repair_entry(self, server: ListedEndpoint) -> ListedEndpoint | None:
        """Returns the entry with known values in place of invalid ones.

        Returns a valid entry unchanged, and None for an invalid entry of an unknown host.
        """
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
        """Decodes each entry on its own, so that an invalid entry does not hide the others and their drains.

        Raises:
            EndpointListError: The object around the entries is invalid too; the text is `reason`.
        """
        servers = []
        undecodable = []
        try:
            message = msgspec.json.decode(value, type=UndecodedListMessage)
        except DECODE_ERRORS:
            raise EndpointListError(reason[:ERROR_LENGTH]) from None
        for entry in message.servers:
            try:
                servers.append(msgspec.json.decode(entry, type=ListedEndpoint))
            except DECODE_ERRORS:
                undecodable.append(bytes(entry)[:SKIPPED_LENGTH].decode("latin-1"))
                servers += self._partial_entry(entry)
        return _PartialList(
            EndpointListMessage(message.version, message.full, servers), tuple(undecodable[:MAX_SKIPPED])
        )

    def _partial_entry(self, entry: msgspec.Raw) -> list[ListedEndpoint]:
        """Returns a known host's entry with the new state, as far as the invalid entry states it.

        The result is empty if the entry's id can't be decoded or belongs to no known host.
        """
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
            is_zone_known=not self._zones or server.zone in self._zones,
        )


class JsonObjectSplitter:
    """Splits a byte stream into JSON objects and empty lines; an empty line is yielded as b"".

    Objects may be indented, so a line end does not end an object; one read may have several objects or a
    part of one. Each byte is scanned once, so that data that arrives byte by byte costs no more per byte.
    """

    def __init__(self) -> None:
        """Creates a splitter that expects an object or an empty line."""
        self._incomplete = bytearray()  # the beginning of an object
        self._depth = 0
        self._in_string = False
        self._escaped = False
        self._object_on_line = False  # the current line has a part of an object, so it is not empty

    def feed(self, data: memoryview | bytes) -> Iterator[bytes]:
        """Yields the objects and empty lines that `data` completes.

        Raises:
            EndpointListError: Bytes between objects can't begin one, or an object exceeds MAX_OBJECT_BYTES.
        """
        raw = bytes(data)
        index = 0
        while index < len(raw):
            if not self._depth:
                begin = raw.find(b"{", index)
                yield from self._empty_lines(raw[index : begin if begin >= 0 else len(raw)])
                if begin < 0:
                    return
                index = begin + 1
                self._begin_object()
            end = self._scan_object(raw, index)
            self._append(raw[index:end])
            index = end
            if not self._depth:
                json_object = bytes(self._incomplete)
                self._incomplete = bytearray()
                yield json_object

    def _begin_object(self) -> None:
        self._depth = 1
        self._object_on_line = True
        self._incomplete = bytearray(b"{")

    def _append(self, part: bytes) -> None:
        self._incomplete += part
        if len(self._incomplete) > MAX_OBJECT_BYTES:
            raise EndpointListError(f"endpoint list exceeds {MAX_OBJECT_BYTES} bytes")

    def _empty_lines(self, raw: bytes) -> Iterator[bytes]:
        if raw.strip():
            raise EndpointListError(f"not a JSON object: {raw.strip()[:40]!r}")
        for _ in range(raw.count(b"\n")):
            if not self._object_on_line:
                yield b""
            self._object_on_line = False

    def _scan_object(self, raw: bytes, index: int) -> int:
        """Returns the index after the end of the incomplete object, or after all of `raw`."""
        if self._escaped and index < len(raw):
            index += 1
            self._escaped = False
        while index < len(raw):
            special_byte = (INSIDE_STRING if self._in_string else OUTSIDE_STRING).search(raw, index)
            if special_byte is None:
                return len(raw)
            index = special_byte.end()
            match special_byte.group():
                case b'"':
                    self._in_string = not self._in_string
                case b"\\":
                    self._escaped = index == len(raw)
                    index += 1
                case b"{" | b"[":
                    self._depth += 1
                case _:
                    self._depth -= 1
                    if not self._depth:
                        return index
        return len(raw)
