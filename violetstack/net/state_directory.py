"""The directory of the stored state on a local disk."""

from __future__ import annotations

import os
from pathlib import Path

FILE_MODE = 0o600  # only the dispatcher's user may read the state


class StateDirectory:
    """Implements `violetstack.state.store.Directory` with synced writes; each method may raise OSError."""

    def __init__(self, path: str) -> None:
        """Uses the directory at this path, which is created when it is first needed."""
        self._path = Path(path)

    def names(self) -> list[str]:
        """Returns the names of all files; creates the directory if it is missing."""
        self._path.mkdir(parents=True, exist_ok=True)
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self._path / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Creates or replaces a file, and syncs it and the directory."""
        self._path.mkdir(parents=True, exist_ok=True)
        self._write_synced(name, data, os.O_CREAT | os.O_TRUNC)
        self._sync_directory()

    def append(self, name: str, data: bytes) -> None:
        """Appends to an existing file and syncs it."""
        self._write_synced(name, data, os.O_APPEND)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file with the new name, and syncs the directory."""
        os.replace(self._path / old, self._path / new)
        self._sync_directory()

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        (self._path / name).unlink(missing_ok=True)

    def _write_synced(self, name: str, data: bytes, flags: int) -> None:
        file = os.open(self._path / name, os.O_WRONLY | flags, FILE_MODE)
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(file, remaining) :]
            os.fsync(file)
        finally:
            os.close(file)

    def _sync_directory(self) -> None:
        directory = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
