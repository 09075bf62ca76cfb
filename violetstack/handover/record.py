"""The handover record: the file that a process writes for the other processes of its dispatcher.

The file has two lines: the format version with the hexadecimal BLAKE2b-128 checksum of the second line, and a
JSON object. The JSON keys are those of the first release, since a process of an older release may read the
file; `msgspec.field(name=...)` maps them to the names here.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec

from violetstack.admin.cordons import Cordon
from violetstack.handover.errors import InvalidRecordError
from violetstack.handover.learned_state import LearnedState
from violetstack.protocol.discovery import ListedEndpoint
from violetstack.protocol.json_errors import DECODE_ERRORS

FORMAT_VERSION = "violetstack-record-1"
CHECKSUM_BYTES = 16
MAX_RECORD_BYTES = 4 * 1024 * 1024
MAX_CLOCK_SKEW_MS = 2_000.0  # both processes use the same clock, but it may be set back between two readings
MAX_NAME_IN_ERROR = 40


class HandoverRecord(msgspec.Struct, frozen=True):
    """The state of one process that its successor needs.

    Attributes:
        dispatcher: The name of the dispatcher, which all its processes share.
        process_id: The random name of the process.
        started_at_ms: When the process started, in Unix milliseconds.
        written_at_ms: When the record was written, in Unix milliseconds.
        accepting: Whether the process accepts client connections.
        list_version: The version of the endpoint list; 0 if service discovery has not answered.
        endpoints: The endpoint list as service discovery sent it.
        cordons: For each host, the last operator call that took it out of rotation or put it back.
        learned_state: The policy's estimates; None without an inherited listener, because no successor can
            follow then.
    """

    dispatcher: str = msgspec.field(name="name")
    process_id: str = msgspec.field(name="owner")
    started_at_ms: float = msgspec.field(name="born")
    written_at_ms: float = msgspec.field(name="at")
    accepting: bool = msgspec.field(name="serving")
    list_version: int = msgspec.field(name="version")
    endpoints: tuple[ListedEndpoint, ...] = msgspec.field(name="servers")
    cordons: dict[str, Cordon] = msgspec.field(name="marks")
    learned_state: LearnedState | None = msgspec.field(name="learned", default=None)


def encode_record(record: HandoverRecord) -> bytes:
    """Returns the record in its file format."""
    body = msgspec.json.encode(record)
    return f"{FORMAT_VERSION} {_checksum(body)}\n".encode() + body


def decode_record(data: bytes, dispatcher: str, now_ms: float) -> HandoverRecord:
    """Decodes a record of a process of `dispatcher`.

    A record that is dated more than MAX_CLOCK_SKEW_MS after `now_ms` was written before the wall clock was
    stepped back. Its estimates decay with time and are dropped; its cordons and its endpoint list remain
    valid.

    Raises:
        InvalidRecordError: The data is truncated, corrupt, of another format, or of another dispatcher.
    """
    header, _, body = data.partition(b"\n")
    version, _, checksum = header.decode("latin-1").partition(" ")
    if version != FORMAT_VERSION:
        raise InvalidRecordError(
            f"unknown format {version[:MAX_NAME_IN_ERROR]!r}, expected {FORMAT_VERSION!r}"
        )
    if checksum != _checksum(body):
        raise InvalidRecordError("checksum mismatch: truncated or corrupt")
    try:
        record = msgspec.json.decode(body, type=HandoverRecord)
    except DECODE_ERRORS as error:
        raise InvalidRecordError(str(error)) from None
    if record.dispatcher != dispatcher:
        raise InvalidRecordError(f"written by another dispatcher: {record.dispatcher[:MAX_NAME_IN_ERROR]!r}")
    if record.written_at_ms > now_ms + MAX_CLOCK_SKEW_MS:
        return msgspec.structs.replace(record, learned_state=None)
    return record


def _checksum(body: bytes) -> str:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest()
