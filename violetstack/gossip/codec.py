"""The load gossip datagram.

A datagram is a sequence of three-byte entries: the two-byte tag of an endpoint (a hash of its id) and a
one-byte code. Codes 0 to 254 are the sender's own load in flight at that endpoint, on a logarithmic scale
with sixteen steps per doubling; 255 reports that an attempt of the sender failed there. A datagram of a
single zero byte is a reset: the sender has nothing in flight at any endpoint.

Loads are absolute values, not differences, so the next datagram about an endpoint makes up for a lost one.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from hashlib import blake2b
from math import exp2, log2
from typing import NamedTuple

ENTRY = struct.Struct("2sB")  # tag, code
TAG_BYTES = 2
MAX_DATAGRAM_BYTES = 256
MAX_ENTRIES = MAX_DATAGRAM_BYTES // ENTRY.size
RESET_DATAGRAM = b"\0"
FAILURE_CODE = 255
MAX_LOAD_CODE = FAILURE_CODE - 1
NOT_ANNOUNCED = -1  # as the last announced code of an endpoint: equals no code, so it is announced again
SMALLEST_LOAD = 10.0  # the unit of the scale, in the policy's load units (prefill cost or tokens)
STEPS_PER_DOUBLING = 16.0
SMALLEST_STEP = SMALLEST_LOAD / STEPS_PER_DOUBLING


class GossipError(Exception):
    """Base class of the errors of this package."""


class GossipDecodeError(GossipError):
    """The length of a datagram is not a multiple of the length of an entry.

    Attributes:
        size_bytes: Length of the rejected datagram.
    """

    def __init__(self, size_bytes: int) -> None:
        """Creates an error that names the length of the rejected datagram."""
        super().__init__(f"{size_bytes} bytes are not a sequence of {ENTRY.size}-byte entries")
        self.size_bytes = size_bytes


class LoadEntry(NamedTuple):
    """One entry of a datagram: an endpoint's tag, and a load code or `FAILURE_CODE`."""

    tag: bytes
    code: int


def endpoint_tag(endpoint_id: str) -> bytes:
    """Returns the tag that identifies an endpoint on the wire; two endpoints may have the same tag."""
    return blake2b(endpoint_id.encode(), digest_size=TAG_BYTES).digest()


def encode_load(load: float) -> int:
    """Returns the code nearest to a load; up to the largest code, it decodes to within 2.2% of the load."""
    return min(MAX_LOAD_CODE, round(STEPS_PER_DOUBLING * log2(1.0 + max(0.0, load) / SMALLEST_LOAD)))


def decode_load(code: int) -> float:
    """Returns the load of a code from 0 to `MAX_LOAD_CODE`."""
    return SMALLEST_LOAD * (exp2(code / STEPS_PER_DOUBLING) - 1.0)


def encode_datagram(entries: Sequence[tuple[bytes, int]]) -> bytes:
    """Encodes the first `MAX_ENTRIES` entries; the caller sends the rest in a later datagram."""
    return b"".join(ENTRY.pack(tag, code) for tag, code in entries[:MAX_ENTRIES])


def decode_datagram(payload: bytes) -> Iterator[tuple[bytes, int]]:
    """Decodes a datagram other than a reset into the tag and the code of each entry.

    The entries are plain tuples and not `LoadEntry` for speed: in a large tier a dispatcher receives
    thousands of datagrams per second.

    Raises:
        GossipDecodeError: The datagram is empty, or its length is not a multiple of the length of an entry.
    """
    if not payload or len(payload) % ENTRY.size:
        raise GossipDecodeError(len(payload))
    return ENTRY.iter_unpack(payload)
