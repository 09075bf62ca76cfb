"""The wire format of leases: messages of 25 bytes, several to a datagram of at most 256 bytes.

Load gossip uses the same socket, and its datagrams have a multiple of three bytes. The length of a lease
datagram is never a multiple of three, so that a release without leases does not mistake one for gossip. Where
a key is configured, the last eight bytes are a keyed BLAKE2b hash (RFC 7693) of the rest and of the sender's
number. A receiver without the key still reads the messages, so a key can be rolled out to one dispatcher
after another.
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
NUMBER_BITS = 12  # the low bits of a node id hold the dispatcher number, the others the incarnation
NUMBER_MASK = (1 << NUMBER_BITS) - 1
INCARNATION_MASK = 0xFFFFF


class MessageType(IntEnum):
    """The types of messages; the values are on the wire."""

    PREPARE = 1  # proposer to acceptors, phase 1
    PROMISE = 2  # acceptor to proposer: rejects lower ballots from now on; names the owner and its time left
    PROPOSE = 3  # proposer to acceptors, phase 2: proposes an owner and the duration of its lease
    ACCEPTED = 4  # acceptor to proposer
    REJECTED = 5  # acceptor to proposer: a higher ballot was promised; names the owner as in PROMISE
    RELEASE = 6  # holder to all dispatchers: the lease is free
    TRANSFER = 7  # holder to its successor, once a majority has accepted the successor as the owner
    FENCE_QUERY = 8  # restarted acceptor to the other acceptors: asks for the highest fencing token
    FENCE_REPLY = 9  # acceptor to the restarted acceptor
    BROADCAST = 10  # holder to all dispatchers, under its fencing token; `duration_ms` carries the value


MESSAGE_TYPES = frozenset(MessageType)


class Ballot(NamedTuple):
    """A ballot number, ordered by round, then by the proposer's node id, which makes it unique."""

    round: int
    node_id: int


class Message(NamedTuple):
    """One message about one lease.

    Attributes:
        type: The type of the message.
        lease_id: The hash of the lease's name, see `lease_id_of`.
        ballot: The proposer's ballot; in REJECTED, the highest promised one.
        fencing_token: The fencing token of the lease, or the highest one that the sender knows.
        duration_ms: The duration of a lease, or the time that it has left; in BROADCAST, the value.
        owner: The node id of the lease's owner; None if there is none.
    """

    type: MessageType
    lease_id: int
    ballot: Ballot
    fencing_token: int = 0
    duration_ms: int = 0
    owner: int | None = None


class Datagram(NamedTuple):
    """A decoded datagram: the highest fencing token known to its sender, and the messages."""

    highest_token: int
    messages: list[Message]


def node_id_of(number: int, incarnation: int) -> int:
    """Returns the node id of one process of dispatcher `number` (less than 4,096).

    A process that was started again, or that took over in a hot restart, has another incarnation and
    therefore another node id. The node id is never NO_OWNER.
    """
    return (incarnation & INCARNATION_MASK) % INCARNATION_MASK << NUMBER_BITS | number


def dispatcher_number_of(node_id: int) -> int:
    """Returns the dispatcher number of a node id."""
    return node_id & NUMBER_MASK


def lease_id_of(name: str) -> int:
    """Returns the 32-bit id of a lease's name. Names with the same id share one lease, which is safe."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def encode(messages: list[Message], highest_token: int, sender: int = 0, key: bytes = b"") -> bytes:
    """Encodes the first MAX_MESSAGES of `messages` as a datagram of dispatcher `sender`.

    With an empty `key` the datagram has no authentication tag.
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
    """Returns the keyed hash of a datagram and its sender's number.

    The number is part of the hash so that no datagram can be replayed in the name of another dispatcher.
    """
    return blake2b(data, key=key, digest_size=TAG_BYTES, person=sender.to_bytes(4, "big")).digest()


def is_lease_datagram(data: bytes) -> bool:
    """Returns whether a datagram is a lease datagram and not load gossip, which uses the same socket."""
    return len(data) % 3 == 1 and data[:2] == MAGIC


def decode(data: bytes, sender: int = 0, keys: tuple[bytes, ...] = ()) -> Datagram:
    """Decodes a datagram of dispatcher `sender`; messages of unknown type are skipped.

    Args:
        data: The datagram.
        sender: The number of the dispatcher that sent the datagram.
        keys: If not empty, the authentication tag has to match one of them.

    Raises:
        DatagramSizeError: The datagram is too short, too long, or not of the length of a lease datagram.
        DatagramVersionError: The datagram belongs to another protocol or version.
        DatagramTagError: The authentication tag matches none of the keys.
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
        if kind in MESSAGE_TYPES:  # a later release may send further types
            holder = None if owner == NO_OWNER else owner
            ballot = Ballot(ballot_round, node_id)
            messages.append(Message(MessageType(kind), lease_id, ballot, token, duration, holder))
    return Datagram(highest_token, messages)
