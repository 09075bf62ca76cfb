"""The handover record: the file that a process writes for the other processes of its dispatcher.

Two lines: the format version with the BLAKE2b-128 checksum of the rest in hexadecimal, then a JSON object.
The JSON keys are those of the first release, since a process of an older release may read the file; the
attributes have names of their own.
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
MAX_CLOCK_SKEW_MS = 2_000.0  # both processes read the same clock, which may be set back between two reads
MAX_NAME_IN_ERROR = 40


class HandoverRecord(msgspec.Struct, frozen=True):
    """What one process knows and does.

    Attributes:
        dispatcher: Name of the dispatcher, which all its processes share.
        process_id: Random name of the process.
        started_at_ms: When the process started, in Unix milliseconds.
        written_at_ms: When the record was written, in Unix milliseconds.
        accepting: Whether the process accepts client connections.
        list_version: Version of the endpoint list, 0 if discovery has not answered.
        endpoints: The endpoint list as discovery sent it.
        cordons: By host, the last call of an operator that took it out of rotation or put it back.
        learned_state: The policy's estimates; None without an inherited listener, where no successor can
            follow.
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
    """Reads a record of a process of `dispatcher`.

    A record that is dated more than MAX_CLOCK_SKEW_MS after `now_ms` was written before the wall clock was
    stepped back. Its estimates decay by the time and are left out; what operators and discovery said holds.

    Raises:
        InvalidRecordError: The data is truncated, corrupt, of another format or another dispatcher.
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
