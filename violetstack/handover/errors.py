"""The errors of this package."""

from __future__ import annotations


class HandoverError(Exception):
    """Base class; `reason` is a text for the log that names the rejected value."""

    def __init__(self, reason: str) -> None:
        """Creates an error with the reason as its text."""
        super().__init__(reason)
        self.reason = reason


class InvalidRecordError(HandoverError):
    """A handover record is too long, truncated, corrupt, of another format, or of another dispatcher."""


class InvalidOfferError(HandoverError):
    """A stream offer cannot be decoded, or this process cannot accept the stream."""
