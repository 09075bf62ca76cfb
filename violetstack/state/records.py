"""The file format: a header, then records, each with its length and a CRC-32 checksum.

The checksum detects records that were cut off by a crash (torn writes) or corrupted later. All integers are
big-endian:

- header: magic (4 bytes), format version (2), generation (8);
- record: length of the body (4), CRC-32 of kind and body (4), kind (1), body.
"""

from __future__ import annotations

import struct
from typing import NamedTuple
from zlib import crc32

from violetstack.state.errors import TruncatedHeaderError, UnknownFormatError, UnsupportedVersionError

MAGIC = b"vlst"
FORMAT_VERSION = 1
FILE_HEADER = struct.Struct(">4sHQ")
RECORD_HEADER = struct.Struct(">IIB")
MAX_BODY_BYTES = 8 * 1024 * 1024  # a greater length in a record header is treated as corruption


class Record(NamedTuple):
    """A record; the caller defines the meaning of `kind`."""

    kind: int
    body: bytes


class RecordFile(NamedTuple):
    """A decoded file.

    Attributes:
        generation: The generation in the header.
        records: The records before the first invalid one.
        valid_bytes: The length of the header and these records.
        error: Why the next record is invalid; empty if all records are valid.
    """

    generation: int
    records: list[Record]
    valid_bytes: int
    error: str


def encode_header(generation: int) -> bytes:
    """Returns the header of a file."""
    return FILE_HEADER.pack(MAGIC, FORMAT_VERSION, generation)


def encode_record(kind: int, body: bytes) -> bytes:
    """Returns a record with its checksum; `kind` is at most 255."""
    return RECORD_HEADER.pack(len(body), crc32(body, kind), kind) + body


def decode_file(data: bytes) -> RecordFile:
    """Decodes a file up to the first invalid record.

    Raises:
        StateFileError: If the header is invalid.
    """
    generation = _decode_header(data)
    records: list[Record] = []
    position = FILE_HEADER.size
    while position < len(data):
        if len(data) - position < RECORD_HEADER.size:
            return RecordFile(generation, records, position, "torn record")
        length, checksum, kind = RECORD_HEADER.unpack_from(data, position)
        if length > MAX_BODY_BYTES:
            return RecordFile(generation, records, position, f"corrupted length {length}")
        body_start = position + RECORD_HEADER.size
        body = data[body_start : body_start + length]
        if len(body) < length:
            return RecordFile(generation, records, position, "torn record")
        if crc32(body, kind) != checksum:
            return RecordFile(generation, records, position, "checksum mismatch")
        records.append(Record(kind, body))
        position = body_start + length
    return RecordFile(generation, records, position, "")


def _decode_header(data: bytes) -> int:
    if len(data) < FILE_HEADER.size:
        raise TruncatedHeaderError(len(data), FILE_HEADER.size)
    magic, version, generation = FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise UnknownFormatError(magic)
    if version != FORMAT_VERSION:
        raise UnsupportedVersionError(version, FORMAT_VERSION)
    return int(generation)
