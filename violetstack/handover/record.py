"""What a process leaves for others of its dispatcher: one line of a version, a sum and a JSON object."""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from violetstack.admin.cordons import Cordon
from violetstack.handover.learned import Learned
from violetstack.protocol.discovery import WServer

VERSION = "violetstack-record-1"
AHEAD_MS = 2_000.0  # both processes read one clock; what is dated later than this is not believed
MAX_RECORD = 4 * 1024 * 1024


class BadRecord(Exception):
    """Not to be believed; the text says why."""


class Record(msgspec.Struct, frozen=True):
    """`at`: when it was written; `born`: when its process started, Unix milliseconds."""

    name: str
    owner: str
    born: float
    at: float
    serving: bool
    version: int
    servers: tuple[WServer, ...]
    cordons: dict[str, Cordon] = msgspec.field(name="marks")
    learned: Learned | None = None


def encode(record: Record) -> bytes:
    body = msgspec.json.encode(record)
    return f"{VERSION} {blake2b(body, digest_size=16).hexdigest()}\n".encode() + body


def decode(data: bytes, name: str, now: float) -> Record:
    """Raises BadRecord for what is cut, spoilt, of another form, of another dispatcher or of the future."""
    head, _, body = data.partition(b"\n")
    version, _, told = head.decode("latin-1").partition(" ")
    if version != VERSION:
        raise BadRecord(f"another form: {version[:40]!r}")
    if told != blake2b(body, digest_size=16).hexdigest():
        raise BadRecord("cut or spoilt")
    try:
        record = msgspec.json.decode(body, type=Record)
    except msgspec.MsgspecError as error:
        raise BadRecord(str(error)) from None
    if record.name != name:
        raise BadRecord(f"of another dispatcher: {record.name[:40]!r}")
    cordon_times = (cordon.changed_ms for cordon in record.cordons.values())
    if max([record.at, record.born, *cordon_times]) > now + AHEAD_MS:
        raise BadRecord("from the future")
    return record
