"""Records in a file, each with its length and a CRC-32: a torn tail shows, and a flipped bit."""

from __future__ import annotations

import struct
from typing import NamedTuple
from zlib import crc32

FORMAT = 1
HEADER = struct.Struct(">4sHQ")  # magic, format, generation
FRAME = struct.Struct(">IIB")  # length of the body, CRC-32 of kind and body, kind
MAGIC = b"vlst"
MAX_BODY = 8 * 1024 * 1024


class BadFile(Exception):
    """Nothing of it can be used; the text says why."""


class Frame(NamedTuple):
    kind: int
    body: bytes


class Found(NamedTuple):
    """`good`: bytes up to the first frame that can't be believed; `why` it can't, empty if all could."""

    generation: int
    frames: list[Frame]
    good: int
    why: str


def header(generation: int) -> bytes:
    return HEADER.pack(MAGIC, FORMAT, generation)


def frame(kind: int, body: bytes) -> bytes:
    return FRAME.pack(len(body), crc32(body, kind), kind) + body


def read(data: bytes) -> Found:
    """Raises BadFile where not even the header can be believed."""
    if len(data) < HEADER.size:
        raise BadFile("cut in its header")
    magic, form, generation = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise BadFile("no file of this program")
    if form != FORMAT:
        raise BadFile(f"format {form}")
    frames: list[Frame] = []
    at = HEADER.size
    while at < len(data):
        if len(data) - at < FRAME.size:
            return Found(generation, frames, at, "torn")
        length, told, kind = FRAME.unpack_from(data, at)
        if length > MAX_BODY:
            return Found(generation, frames, at, "spoilt")
        body = data[at + FRAME.size : at + FRAME.size + length]
        if len(body) < length:
            return Found(generation, frames, at, "torn")
        if crc32(body, kind) != told:
            return Found(generation, frames, at, "spoilt")
        frames.append(Frame(kind, body))
        at += FRAME.size + length
    return Found(generation, frames, at, "")
