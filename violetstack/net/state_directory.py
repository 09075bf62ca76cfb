"""The directory of stored state on a local disk."""

from __future__ import annotations

import os
from pathlib import Path

FILE_MODE = 0o600  # only the dispatcher's user may read the state


class StateDirectory:
    """Implements `violetstack.state.store.Directory` with synced writes; each method may raise OSError."""

    def __init__(self, folder: str) -> None:
        """Uses the directory at this path; it is created when it is first needed."""
        self._folder = Path(folder)

    def names(self) -> list[str]:
        """Returns the names of the files; creates the directory if it is missing."""
        self._folder.mkdir(parents=True, exist_ok=True)
        return os.listdir(self._folder)

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self._folder / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        """Creates or replaces a file, and syncs it and the directory."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._write_synced(name, data, os.O_CREAT | os.O_TRUNC)
        self._sync_folder()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and syncs it; fails if there is no such file."""
        self._write_synced(name, data, os.O_APPEND)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing one that has the new name, and syncs the directory."""
        os.replace(self._folder / old, self._folder / new)
        self._sync_folder()

    def remove(self, name: str) -> None:
        """Removes a file, if it is there."""
        (self._folder / name).unlink(missing_ok=True)

    def _write_synced(self, name: str, data: bytes, flags: int) -> None:
        file = os.open(self._folder / name, os.O_WRONLY | flags, FILE_MODE)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
            os.fsync(file)
        finally:
            os.close(file)

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
