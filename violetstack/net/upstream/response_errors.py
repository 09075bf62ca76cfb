"""Why the response of a model host is not complete, for the log and for the outcome of its attempt."""

from __future__ import annotations

from enum import StrEnum

from violetstack.protocol import sse
from violetstack.protocol.http_client import InvalidResponseError


class BrokenReason(StrEnum):
    """The kinds of incomplete responses; the values are written to the log."""

    CONNECTION_BROKEN = "connection_broken"
    INVALID = "invalid"
    STALLED = "stalled"
    UNFINISHED = "unfinished"


class StalledResponseError(InvalidResponseError):
    """The response did not continue within its time limit."""


class UnfinishedStreamError(InvalidResponseError):
    """The host ended its stream before the end of the answer."""


ResponseError = InvalidResponseError | sse.InvalidEventError
"""Raised for a response that is invalid or not complete while its connection works."""


def broken_reason(error: ResponseError) -> BrokenReason:
    """Returns the kind of an incomplete response."""
    if isinstance(error, StalledResponseError):
        return BrokenReason.STALLED
    if isinstance(error, UnfinishedStreamError):
        return BrokenReason.UNFINISHED
    return BrokenReason.INVALID
