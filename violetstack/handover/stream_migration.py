"""A stream on its way from one process to its heir: what is told of it, and the words between the two.

    old: an offer, with the client's and the host's descriptor    new: READY, or NO
    old: GO, and forgets                                          new: goes on with it

Until GO only the old process acts on the two connections; without a GO the new one closes its copies. So
whichever dies, and whichever word is lost, a client never has two servers.
"""

from __future__ import annotations

import msgspec

READY = b"ready"
NO = b"no"
GO = b"go"
MAX_OFFER = 4096
VERSION = 1


class BadOffer(Exception):
    """Not to be taken; the text says why."""


class Stream(msgspec.Struct, frozen=True):
    """What goes on: the answer of `server` to request `id`, between two of its events."""

    id: str
    cls: int
    tenant: int
    server: str
    age_ms: float  # of the request
    events: int  # passed on so far
    cached: int
    prompt_tokens: float
    loose: bool  # something may be held for it somewhere, to be released at its end
    closing: bool  # the head told the client that its connection ends with this answer
    version: int = VERSION


def encode(stream: Stream) -> bytes:
    return msgspec.json.encode(stream)


def decode(data: bytes, classes: int) -> Stream:
    try:
        stream = msgspec.json.decode(data, type=Stream)
    except msgspec.MsgspecError as error:
        raise BadOffer(str(error)) from None
    if stream.version != VERSION:
        raise BadOffer(f"version {stream.version}")
    if not 0 <= stream.cls < classes:
        raise BadOffer(f"class {stream.cls}")
    return stream
