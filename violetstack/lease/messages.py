"""The wire format of leases: messages of 25 bytes, several to a datagram of at most 256 bytes.

The length of a datagram is never a multiple of three, which is what load gossip has on the same socket, so a
version without leases does not mistake one for gossip. Where a key is configured, the last eight bytes are a
keyed BLAKE2b hash (RFC 7693) of the rest and of the sender's number. A receiver without the key still reads
the messages, so a key can be rolled out to one dispatcher after another.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import NamedTuple

from violetstack.lease.errors import DatagramSizeError, DatagramTagError, DatagramVersionError

MAGIC = b"vL"
VERSION = 1
HEADER = struct.Struct(">2sBI")  # magic, version, the highest fencing token known to the sender
MESSAGE = struct.Struct(">BIIIIII")  # type, lease id, ballot round, ballot node, token, duration, owner
TAG_BYTES = 8
MAX_DATAGRAM_BYTES = 256
MAX_PADDING_BYTES = 2
NO_OWNER = 0xFFFFFFFF
MAX_MESSAGES = (MAX_DATAGRAM_BYTES - HEADER.size - TAG_BYTES - MAX_PADDING_BYTES) // MESSAGE.size
NUMBER_BITS = 12  # of a node id; the rest is the incarnation
NUMBER_MASK = (1 << NUMBER_BITS) - 1
INCARNATION_MASK = 0xFFFFF


class MessageType(IntEnum):
    """The kinds of message; the values are on the wire."""

    PREPARE = 1  # proposer to acceptors, phase 1
    PROMISE = 2  # acceptor: lower ballots are refused from now on; the owner, and the time that it has left
    PROPOSE = 3  # proposer to acceptors, phase 2: the owner, and the duration of its lease
    ACCEPTED = 4
    REJECTED = 5  # acceptor: a higher ballot was promised; the owner as in PROMISE
    RELEASE = 6  # holder to all: the lease is free
    TRANSFER = 7  # holder to its successor, once a majority has accepted the successor as the owner
    FENCE_QUERY = 8  # restarted acceptor to the others: what is the highest fencing token?
    FENCE_REPLY = 9
    BROADCAST = 10  # holder to all, under its fencing token; `duration_ms` is the value


MESSAGE_TYPES = frozenset(MessageType)


class Ballot(NamedTuple):
    """A ballot number, ordered by round and then by proposer, so that no two proposers use the same one."""

    round: int
    node_id: int


class Message(NamedTuple):
    """One message about one lease.

    Attributes:
        type: The kind of message.
        lease_id: The hash of the lease's name, see `lease_id_of`.
        ballot: The proposer's ballot, or the highest promised one in REJECTED.
        fencing_token: The token of the lease, or the highest one that the sender knows.
        duration_ms: How long a lease is or has left; in BROADCAST, the value.
        owner: The node id of the lease's owner; None if there is none.
    """

    type: MessageType
    lease_id: int
    ballot: Ballot
    fencing_token: int = 0
    duration_ms: int = 0
    owner: int | None = None


class Datagram(NamedTuple):
    """A decoded datagram: the highest fencing token known to its sender, and its messages."""

    highest_token: int
    messages: list[Message]


def node_id_of(number: int, incarnation: int) -> int:
    """Return the id of one process of dispatcher `number` (under 4,096).

    A process that was started again, or that took over by a hot restart, has another incarnation and so
    another id. The id is never NO_OWNER.
    """
    return (incarnation & INCARNATION_MASK) % INCARNATION_MASK << NUMBER_BITS | number


def dispatcher_number_of(node_id: int) -> int:
    """Return the dispatcher number of a node id."""
    return node_id & NUMBER_MASK


def lease_id_of(name: str) -> int:
    """Return the 32-bit id of a lease's name. Names with the same id share one lease, which is safe."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def encode(messages: list[Message], highest_token: int, sender: int = 0, key: bytes = b"") -> bytes:
    """Encode the first MAX_MESSAGES of `messages` as a datagram of dispatcher `sender`.

    An empty `key` leaves the authentication tag out.
    """
    parts = [HEADER.pack(MAGIC, VERSION, highest_token)]
    for kind, lease_id, ballot, token, duration, owner in messages[:MAX_MESSAGES]:
        owner_field = NO_OWNER if owner is None else owner
        parts.append(MESSAGE.pack(kind, lease_id, *ballot, token, duration, owner_field))
    data = b"".join(parts)
    tag_bytes = TAG_BYTES if key else 0
    data += b"\0" * ((1 - len(data) - tag_bytes) % 3)
    return data + authentication_tag(data, sender, key) if key else data


def authentication_tag(data: bytes, sender: int, key: bytes) -> bytes:
    """Return the keyed hash of a datagram and its sender: no dispatcher can send in another's name."""
    return blake2b(data, key=key, digest_size=TAG_BYTES, person=sender.to_bytes(4, "big")).digest()


def is_lease_datagram(data: bytes) -> bool:
    """Tell lease datagrams from load gossip, which shares the socket."""
    return len(data) % 3 == 1 and data[:2] == MAGIC


def decode(data: bytes, sender: int = 0, keys: tuple[bytes, ...] = ()) -> Datagram:
    """Decode a datagram of dispatcher `sender`; messages of unknown type are left out.

    Args:
        data: The datagram.
        sender: The number of the dispatcher that it came from.
        keys: If not empty, the authentication tag has to fit one of them.

    Raises:
        DatagramSizeError: It is too short, too long, or of a length that load gossip has.
        DatagramVersionError: It is of another protocol or version.
        DatagramTagError: Its authentication tag fits none of the keys.
    """
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES or len(data) % 3 != 1:
        raise DatagramSizeError(len(data))
    magic, version, highest_token = HEADER.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        raise DatagramVersionError(version)
    if keys:
        tag = data[-TAG_BYTES:]
        data = data[:-TAG_BYTES]
        if not any(compare_digest(authentication_tag(data, sender, key), tag) for key in keys):
            raise DatagramTagError
    messages = []
    for at in range(HEADER.size, len(data) - MESSAGE.size + 1, MESSAGE.size):
        kind, lease_id, ballot_round, node_id, token, duration, owner = MESSAGE.unpack_from(data, at)
        if kind in MESSAGE_TYPES:  # a later version may send others
            holder = None if owner == NO_OWNER else owner
            ballot = Ballot(ballot_round, node_id)
            messages.append(Message(MessageType(kind), lease_id, ballot, token, duration, holder))
    return Datagram(highest_token, messages)
