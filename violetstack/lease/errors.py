"""Errors of the lease package."""

from __future__ import annotations


class LeaseError(Exception):
    """Base class of the errors that this package raises."""


class InvalidDatagramError(LeaseError):
    """A datagram that can't be decoded or authenticated; its text is the reason."""


class DatagramSizeError(InvalidDatagramError):
    """A datagram has a length that no lease datagram has."""

    def __init__(self, size: int) -> None:
        """Keep the length in bytes."""
        super().__init__(f"{size} bytes")
        self.size = size


class DatagramVersionError(InvalidDatagramError):
    """A datagram is of another protocol or version."""

    def __init__(self, version: int) -> None:
        """Keep the version."""
        super().__init__(f"version {version}")
        self.version = version


class DatagramTagError(InvalidDatagramError):
    """A datagram's authentication tag fits none of the keys."""

    def __init__(self) -> None:
        """Name the reason."""
        super().__init__("its hash fits no key")
