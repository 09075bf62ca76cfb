"""The errors of this package."""

from __future__ import annotations


class StateError(Exception):
    """The base class of errors in stored state."""


class StateFileError(StateError):
    """A file of which nothing can be used.

    Attributes:
        reason: What is wrong with the file, in words.
    """

    def __init__(self, reason: str) -> None:
        """Creates an error with the reason as its message."""
        super().__init__(reason)
        self.reason = reason


class RecordError(StateError):
    """A record whose checksum is right, but whose body cannot be decoded.

    Attributes:
        kind: The kind of the record.
        reason: What is wrong with its body, in words.
    """

    def __init__(self, kind: int, reason: str) -> None:
        """Creates an error that names the kind of the record."""
        super().__init__(f"record of kind {kind}: {reason}")
        self.kind = kind
        self.reason = reason
