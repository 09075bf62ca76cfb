"""The messages that move an open stream from one process to its successor, in a two-phase commit.

    predecessor                                              successor
    StreamOffer, with the client's and the host's socket ->
                                                          <- READY or DECLINE
    COMMIT                                                ->

Until COMMIT only the predecessor reads from and writes to the two connections, and a successor that receives
no COMMIT closes its copies of the sockets. A client therefore never gets two answers, whichever process dies
and whichever message is lost.

The JSON keys and the texts of READY, DECLINE and COMMIT are those of the first release, since the two
processes may be of different releases.
"""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from violetstack.handover.errors import InvalidOfferError
from violetstack.protocol.json_errors import DECODE_ERRORS

READY = b"ready"
DECLINE = b"no"
COMMIT = b"go"
MAX_MESSAGE_BYTES = 4096
VERSION = 1


class StreamOffer(msgspec.Struct, frozen=True):
    """The state of one request's stream, between two of its events.

    Attributes:
        id: The request id.
        class_index: The number of the request's class.
        tenant_index: The number of the request's tenant.
        server: The id of the host that sends the stream.
        age_ms: The age of the request.
        events_forwarded: The number of events that the client has been sent.
        cached_tokens: The number of prompt tokens that the host found in its cache.
        prompt_tokens: The length of the prompt.
        holds_remote_state: Whether a host may hold state for the request that has to be released at its end.
        closing: Whether the response head announced that the client's connection closes after the response.
        version: The version of this message.
        done: Whether `[DONE]` has been received; earlier releases do not tell.
        idle_ms: Time since the last event of the answer; earlier releases do not tell.
    """

    id: str
    class_index: int = msgspec.field(name="cls")
    tenant_index: int = msgspec.field(name="tenant")
    server: str
    age_ms: float
    events_forwarded: int = msgspec.field(name="events")
    cached_tokens: int = msgspec.field(name="cached")
    prompt_tokens: float
    holds_remote_state: bool = msgspec.field(name="loose")
    closing: bool
    version: int = VERSION
    done: bool | UnsetType = UNSET
    idle_ms: float | UnsetType = UNSET


def encode_offer(offer: StreamOffer) -> bytes:
    """Encodes the offer as JSON."""
    return msgspec.json.encode(offer)


def decode_offer(data: bytes, class_count: int) -> StreamOffer:
    """Decodes an offer, for a dispatcher with `class_count` request classes.

    Raises:
        InvalidOfferError: The data is not an offer, or the offer is of another version or an unknown class.
    """
    try:
        offer = msgspec.json.decode(data, type=StreamOffer)
    except DECODE_ERRORS as error:
        raise InvalidOfferError(str(error)) from None
    if offer.version != VERSION:
        raise InvalidOfferError(f"version {offer.version}, expected {VERSION}")
    if not 0 <= offer.class_index < class_count:
        raise InvalidOfferError(f"class {offer.class_index}, expected less than {class_count}")
    return offer
