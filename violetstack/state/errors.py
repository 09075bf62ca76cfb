"""The errors of this package."""

from __future__ import annotations


class StateError(Exception):
    """The base class of errors in the stored state."""


class StateFileError(StateError):
    """The base class of errors after which nothing in a file can be used."""


class TruncatedHeaderError(StateFileError):
    """A file is shorter than its header.

    Attributes:
        size: The length of the file in bytes.
        header_size: The length of a header in bytes.
    """

    def __init__(self, size: int, header_size: int) -> None:
        """Creates an error that names both lengths."""
        super().__init__(f"header cut off after {size} of {header_size} bytes")
        self.size = size
        self.header_size = header_size


class UnknownFormatError(StateFileError):
    """A file was not written by this program.

    Attributes:
        magic: The first bytes of the file.
    """

    def __init__(self, magic: bytes) -> None:
        """Creates an error that names the first bytes of the file."""
        super().__init__(f"not a state file: begins with {magic!r}")
        self.magic = magic


class UnsupportedVersionError(StateFileError):
    """A file has a format version that this release cannot read.

    Attributes:
        version: The version of the file.
        supported: The version that can be read.
    """

    def __init__(self, version: int, supported: int) -> None:
        """Creates an error that names both versions."""
        super().__init__(f"format version {version}, supported is {supported}")
        self.version = version
        self.supported = supported


class GenerationMismatchError(StateFileError):
    """The generation in a file's header differs from the one in its name.

    Attributes:
        generation: The generation in the header.
        expected: The generation in the name.
    """

    def __init__(self, generation: int, expected: int) -> None:
        """Creates an error that names both generations."""
        super().__init__(f"header of generation {generation}, expected {expected}")
        self.generation = generation
        self.expected = expected


class InvalidSnapshotError(StateFileError):
    """A snapshot is incomplete.

    Attributes:
        reason: Why the snapshot is invalid, as a text.
    """

    def __init__(self, reason: str) -> None:
        """Creates an error with the reason as its message."""
        super().__init__(reason)
        self.reason = reason


class RecordError(StateError):
    """The body of a record cannot be decoded although its checksum is right.

    Attributes:
        kind: The kind of the record.
        reason: Why the body is invalid, as a text.
    """

    def __init__(self, kind: int, reason: str) -> None:
        """Creates an error that names the kind of the record."""
        super().__init__(f"record of kind {kind}: {reason}")
        self.kind = kind
        self.reason = reason
