"""Errors of load shedding."""

from __future__ import annotations


class LoadSheddingError(Exception):
    """Base class of the errors of this package."""


class TooManyRegionsError(LoadSheddingError):
    """A condition expands into more regions than are worth comparing.

    Attributes:
        limit: How many are.
    """

    def __init__(self, limit: int) -> None:
        """Takes the limit."""
        super().__init__(f"the condition has more than {limit} cases")
        self.limit = limit


class InvalidJournalLineError(LoadSheddingError):
    """A line of the journal that is truncated, corrupt or of another shape."""


class JournalChecksumError(InvalidJournalLineError):
    """A line of the journal whose checksum does not match."""

    def __init__(self) -> None:
        """The line itself is not kept."""
        super().__init__("checksum mismatch")


class UnknownLevelError(LoadSheddingError):
    """No level has this name.

    Attributes:
        level: The name that was asked for.
    """

    def __init__(self, level: str) -> None:
        """Takes the name that was asked for."""
        super().__init__(f"there is no level {level!r}")
        self.level = level
