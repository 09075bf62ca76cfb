"""The messages that move an open stream from one process to its successor, by a two-phase commit.

    predecessor                                              successor
    StreamOffer, with the client's and the host's socket ->
                                                          <- READY or DECLINE
    COMMIT                                                ->

Until COMMIT only the predecessor reads and writes the two connections, and a successor that receives no
COMMIT closes its copies of the sockets. So a client never gets two answers, whichever process dies and
whichever message is lost.

The JSON keys and the three words are those of the first release, since the two processes may be of two
releases.
"""

from __future__ import annotations

import msgspec

from violetstack.handover.errors import InvalidOfferError
from violetstack.protocol.json_errors import DECODE_ERRORS

READY = b"ready"
DECLINE = b"no"
COMMIT = b"go"
MAX_MESSAGE_BYTES = 4096
VERSION = 1


class StreamOffer(msgspec.Struct, frozen=True):
    """The stream of one request, between two of its events.

    Attributes:
        id: Request id.
        class_index: Number of the request's class.
        tenant_index: Number of the request's tenant.
        server: Id of the host that sends the stream.
        age_ms: Age of the request.
        events_forwarded: Number of events that the client has been sent.
        cached_tokens: Prompt tokens that the host found in its cache.
        prompt_tokens: Size of the prompt.
        holds_remote_state: Whether a host may hold state for the request, to be released at its end.
        closing: Whether the response head announced that the client's connection closes after the response.
        version: Version of this message.
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


def encode_offer(offer: StreamOffer) -> bytes:
    """Returns the offer as JSON."""
    return msgspec.json.encode(offer)


def decode_offer(data: bytes, class_count: int) -> StreamOffer:
    """Reads an offer for a dispatcher with `class_count` request classes.

    Raises:
        InvalidOfferError: The data is no offer, or is of another version or an unknown class.
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
