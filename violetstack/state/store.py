"""Snapshots and logs in a directory: writing them, and recovering the state from them.

Two generations of files are kept, each with a snapshot and a log. A snapshot is written under a temporary
name and renamed after it has been synced, so a file with the name of a snapshot is complete. Later changes
are appended to the log of the generation, with one sync for each group of records. Recovery uses the newest
generation whose snapshot is valid, and its log up to the first invalid record.
"""

from __future__ import annotations

import re
from typing import NamedTuple, Protocol

from violetstack.state.errors import (
    GenerationMismatchError,
    InvalidSnapshotError,
    RecordError,
    StateError,
    StateFileError,
)
from violetstack.state.records import RecordFile, decode_file, encode_header
from violetstack.state.snapshot import StateSnapshot

FILE_NAME = re.compile(r"state-(\d{1,18})\.(snapshot|log)\Z")
TEMPORARY_NAME = "state.part"
# A new snapshot is due once the log is larger than MIN_LOG_BYTES and than MAX_LOG_TO_SNAPSHOT_RATIO times the
# snapshot. This bounds the recovery time without writing snapshots too often.
MIN_LOG_BYTES = 64 * 1024
MAX_LOG_TO_SNAPSHOT_RATIO = 4
GENERATIONS_RETAINED = 2
NO_RECORD = "no record"


class Directory(Protocol):
    """A directory of files; each method may raise OSError."""

    def names(self) -> list[str]:
        """Returns the names of the files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def write(self, name: str, data: bytes) -> None:
        """Creates or replaces a file; creates the directory if it is missing; syncs both."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and syncs it; fails if the file does not exist."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file that has the new name, and syncs the directory."""

    def remove(self, name: str) -> None:
        """Removes a file."""


class RecoveredState(NamedTuple):
    """The state recovered from a directory.

    Attributes:
        snapshot: The recovered state; empty if there was none.
        generation: The generation from which the state was read; 0 if there was none.
        problems: The files that could not be read, or not to the end, with the reasons; one line each.
    """

    snapshot: StateSnapshot
    generation: int
    problems: list[str]


def snapshot_name(generation: int) -> str:
    """Returns the name of a generation's snapshot."""
    return f"state-{generation}.snapshot"


def log_name(generation: int) -> str:
    """Returns the name of a generation's log."""
    return f"state-{generation}.log"


def generations(names: list[str]) -> list[int]:
    """Returns the generations whose snapshot is among the file names, newest first."""
    found = {int(match[1]) for name in names if (match := FILE_NAME.match(name)) and match[2] == "snapshot"}
    return sorted(found, reverse=True)


def obsolete_files(names: list[str], newest: int) -> list[str]:
    """Returns the state files that recovery never reads: old generations, and logs without a snapshot."""
    retained = set(generations(names)[:GENERATIONS_RETAINED]) | {newest}
    matches = [match for name in names if (match := FILE_NAME.match(name))]
    return [match.string for match in matches if int(match[1]) not in retained]


def recover(directory: Directory) -> RecoveredState:
    """Recovers the state from the newest generation that can be read.

    Raises:
        OSError: The directory cannot be listed. A file that cannot be read is reported as a problem instead.
    """
    names = directory.names()
    problems: list[str] = []
    for generation in generations(names):
        try:
            snapshot = _read_snapshot(directory, generation)
        except (StateError, OSError) as error:
            problems.append(f"{snapshot_name(generation)}: {error}")
            continue
        if log_name(generation) in names:
            problems += _replay_log(directory, generation, snapshot)
        return RecoveredState(snapshot, generation, problems)
    return RecoveredState(StateSnapshot(), 0, problems)


def _read_snapshot(directory: Directory, generation: int) -> StateSnapshot:
    file = _read_file(directory, snapshot_name(generation), generation)
    if file.error or not file.records:
        raise InvalidSnapshotError(file.error or NO_RECORD)
    snapshot = StateSnapshot()
    snapshot.replay(file.records)
    return snapshot


def _replay_log(directory: Directory, generation: int, snapshot: StateSnapshot) -> list[str]:
    """Applies a log to its snapshot; returns the problems met, one line each."""
    name = log_name(generation)
    try:
        file = _read_file(directory, name, generation)
    except (StateFileError, OSError) as error:
        return [f"{name}: {error}"]
    try:
        snapshot.replay(file.records)
    except RecordError as error:
        return [f"{name}: {error}"]
    return [f"{name}: {file.error} at byte {file.valid_bytes}"] if file.error else []


def _read_file(directory: Directory, name: str, generation: int) -> RecordFile:
    file = decode_file(directory.read(name))
    if file.generation != generation:
        raise GenerationMismatchError(file.generation, generation)
    return file


class SnapshotStore:
    """Writes snapshots and logs; must be the only writer of its directory.

    After a method has raised an error, the state can still be recovered from the directory, and a snapshot is
    due.

    Attributes:
        generation: The generation of the latest snapshot.
    """

    def __init__(self, directory: Directory, recovered: RecoveredState) -> None:
        """Creates a store that continues from a recovered state. A snapshot is due at first.

        Raises:
            OSError: The directory cannot be listed.
        """
        self._directory = directory
        self.generation = max([recovered.generation, *generations(directory.names())], default=0)
        self._snapshot_bytes = 0
        self._log_bytes = 0
        self._consistent = False  # whether the generation's files hold exactly what this store has written

    def snapshot_due(self, additional_bytes: int) -> bool:
        """Returns whether to write a snapshot instead of appending `additional_bytes` to the log."""
        max_log_bytes = max(MIN_LOG_BYTES, MAX_LOG_TO_SNAPSHOT_RATIO * self._snapshot_bytes)
        return not self._consistent or self._log_bytes + additional_bytes > max_log_bytes

    def append(self, records: bytes) -> None:
        """Appends encoded records to the log; to be called only if no snapshot is due.

        Raises:
            OSError: The records may not have been written.
        """
        self._consistent = False
        name = log_name(self.generation)
        if self._log_bytes:
            self._directory.append(name, records)
        else:
            self._directory.write(name, encode_header(self.generation) + records)
        self._log_bytes += len(records)
        self._consistent = True

    def write_snapshot(self, snapshot: bytes) -> None:
        """Starts a new generation with an encoded snapshot, and removes obsolete files.

        Raises:
            OSError: The snapshot may not have been written, or an obsolete file could not be removed.
        """
        self._consistent = False
        generation = self.generation + 1
        data = encode_header(generation) + snapshot
        self._directory.write(TEMPORARY_NAME, data)
        self._directory.rename(TEMPORARY_NAME, snapshot_name(generation))
        self.generation = generation
        self._snapshot_bytes = len(data)
        self._log_bytes = 0
        self._consistent = True
        for name in obsolete_files(self._directory.names(), generation):
            self._directory.remove(name)
