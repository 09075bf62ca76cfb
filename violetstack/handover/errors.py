"""Errors of the hot restart."""

from __future__ import annotations

import msgspec

# What msgspec raises for invalid bytes; deep nesting and bad UTF-8 have errors of their own.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class HandoverError(Exception):
    """Base class; `reason` names the value that was not accepted, for the log."""

    def __init__(self, reason: str) -> None:
        """Sets the reason, which is also the exception's text."""
        super().__init__(reason)
        self.reason = reason


class InvalidRecordError(HandoverError):
    """A handover record is truncated, corrupt, of another format or dispatcher, or dated in the future."""


class InvalidOfferError(HandoverError):
    """A stream offer cannot be decoded, or this process cannot accept the stream."""
