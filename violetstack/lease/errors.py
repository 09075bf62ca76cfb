"""Errors of the lease package."""

from __future__ import annotations


class LeaseError(Exception):
    """Base class of the errors that this package raises."""


class InvalidDatagramError(LeaseError):
    """A datagram cannot be decoded or authenticated; the error's text is the reason."""


class DatagramSizeError(InvalidDatagramError):
    """The length of a datagram is not that of a lease datagram."""

    def __init__(self, size: int) -> None:
        """Creates an error that names the length in bytes."""
        super().__init__(f"{size} bytes is not the length of a lease datagram")
        self.size = size


class DatagramVersionError(InvalidDatagramError):
    """A datagram belongs to another protocol or another version of this one."""

    def __init__(self, version: int) -> None:
        """Creates an error that names the version."""
        super().__init__(f"unknown protocol, or unknown version {version}")
        self.version = version


class DatagramTagError(InvalidDatagramError):
    """The authentication tag of a datagram matches none of the keys."""

    def __init__(self) -> None:
        """Creates an error with a fixed text."""
        super().__init__("authentication tag matches no key")
