"""What candidates and electors tell each other: items of 25 bytes, several to a datagram of at most 256.

A datagram is never a multiple of three bytes long, as rows of amounts are, so a version that knows no leases
takes it for none of them and ignores it. Where there is a key, the last eight bytes are a keyed hash over the
rest and its sender's number; a version or a dispatcher without the key reads the items all the same.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import NamedTuple

MAGIC = b"vL"
VERSION = 1
HEAD = struct.Struct(">2sBI")  # magic, version, the highest fencing number that the sender has heard of
ITEM = struct.Struct(">BIIIIII")  # kind, duty, round, who, fence, length, owner
SEAL_BYTES = 8
MAX_DATAGRAM = 256
NOBODY = 0xFFFFFFFF
MOST_ITEMS = (MAX_DATAGRAM - HEAD.size - SEAL_BYTES - 2) // ITEM.size


class Kind(IntEnum):
    PREPARE = 1  # candidate: may I?
    PROMISE = 2  # elector: nothing older from me; who has it, and for how long yet
    PROPOSE = 3  # candidate: it is the owner's for so long
    ACCEPTED = 4
    REFUSED = 5  # elector: a later ballot was promised; who has it, as with PROMISE
    RELEASE = 6  # holder: I no longer have it
    GRANT = 7  # holder to its successor: it is yours from now on
    ASK = 8  # a restarted elector: how far have the fencing numbers come?
    FLOOR = 9
    EFFECT = 10  # holder to all: what it did or found by the duty; `length_ms` is the value


KINDS = frozenset(Kind)


class Ballot(NamedTuple):
    """Ordered by round, then by who asks, so no two candidates have the same."""

    round: int
    who: int


class Item(NamedTuple):
    """`length_ms`: of a lease, or what is left of one; `owner` None: nobody."""

    kind: Kind
    duty: int
    ballot: Ballot
    fence: int = 0
    length_ms: int = 0
    owner: int | None = None


class BadDatagram(Exception):
    """Not what a dispatcher of this version sends."""


def who(number: int, incarnation: int) -> int:
    """A process of dispatcher `number` (under 4,096): its heir, or itself after a restart, is another."""
    return (incarnation & 0xFFFFF) % 0xFFFFF << 12 | number


def duty_of(name: str) -> int:
    """Names stay with those who use them; two of one number would only hold each other up."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def encode(items: list[Item], floor: int, sender: int = 0, key: bytes = b"") -> bytes:
    """At most MOST_ITEMS of them."""
    rows = [HEAD.pack(MAGIC, VERSION, floor)]
    for kind, duty, ballot, fence, length, owner in items[:MOST_ITEMS]:
        rows.append(ITEM.pack(kind, duty, *ballot, fence, length, NOBODY if owner is None else owner))
    data = b"".join(rows)
    sealed = SEAL_BYTES if key else 0
    data += b"\0" * ((1 - len(data) - sealed) % 3)
    return data + seal(data, sender, key) if key else data


def seal(data: bytes, sender: int, key: bytes) -> bytes:
    """The sender is hashed with it, so what one sent can't be told in another's name."""
    return blake2b(data, key=key, digest_size=SEAL_BYTES, person=sender.to_bytes(4, "big")).digest()


def is_lease(data: bytes) -> bool:
    return len(data) % 3 == 1 and data[:2] == MAGIC


def decode(data: bytes, sender: int = 0, keys: tuple[bytes, ...] = ()) -> tuple[int, list[Item]]:
    """The sender's highest number, and the items. With keys, one of them must fit. Raises BadDatagram."""
    if not HEAD.size <= len(data) <= MAX_DATAGRAM or len(data) % 3 != 1:
        raise BadDatagram(f"{len(data)} bytes")
    magic, version, floor = HEAD.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        raise BadDatagram(f"version {version}")
    if keys:
        data, told = data[:-SEAL_BYTES], data[-SEAL_BYTES:]
        if not any(compare_digest(seal(data, sender, key), told) for key in keys):
            raise BadDatagram("its hash fits no key")
    items = []
    for at in range(HEAD.size, len(data) - ITEM.size + 1, ITEM.size):
        kind, duty, turn, asks, fence, length, owner = ITEM.unpack_from(data, at)
        if kind in KINDS:  # else a later version's
            holder = None if owner == NOBODY else owner
            items.append(Item(Kind(kind), duty, Ballot(turn, asks), fence, length, holder))
    return floor, items
