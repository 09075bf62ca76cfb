"""Errors of load shedding."""

from __future__ import annotations


class LoadSheddingError(Exception):
    """Base class of the errors of this package."""


class TooManyRegionsError(LoadSheddingError):
    """A condition expands into more regions than the limit.

    Attributes:
        limit: The largest number of regions.
    """

    def __init__(self, limit: int) -> None:
        """Creates the error for the limit."""
        super().__init__(f"the condition has more than {limit} cases")
        self.limit = limit


class InvalidJournalLineError(LoadSheddingError):
    """A line of the journal is truncated, corrupt or no valid record."""


class JournalChecksumError(InvalidJournalLineError):
    """The checksum of a line of the journal does not match."""

    def __init__(self) -> None:
        """Creates the error."""
        super().__init__("checksum mismatch")


class UnknownLevelError(LoadSheddingError):
    """No level has this name.

    Attributes:
        level: The requested name.
    """

    def __init__(self, level: str) -> None:
        """Creates the error for the requested name."""
        super().__init__(f"there is no level {level!r}")
        self.level = level
