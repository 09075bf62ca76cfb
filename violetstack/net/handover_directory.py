"""The directory in which the processes of one dispatcher keep their handover records."""

from __future__ import annotations

import os
import re
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

from violetstack.handover.errors import InvalidRecordError
from violetstack.handover.record import MAX_RECORD_BYTES, HandoverRecord, decode_record, encode_record
from violetstack.log import log_rate_limited

RECORD_SUFFIX = ".record"
PARTIAL_SUFFIX = ".part"
UNSAFE_IN_FILE_NAME = re.compile(r"[^A-Za-z0-9._-]")
NS_PER_MS = 1_000_000.0
MAX_RECORD_AGE_MS = 3_600_000.0  # older records are deleted because their processes have ended


class DirectoryScan(msgspec.Struct):
    """Result of a scan of the directory.

    Attributes:
        changed: The valid records that were written since the previous scan.
        last_seen_ms: When each other process, by its id, last wrote its record, on the clock of the scan.
    """

    changed: list[HandoverRecord]
    last_seen_ms: dict[str, float]


class _FileVersion(NamedTuple):
    size: int
    modified_ns: int


class _WrittenVersion(NamedTuple):
    """A version of a record file, and when it was written on the clock of the scans."""

    version: _FileVersion
    written_at_ms: float


def safe_file_name(dispatcher: str) -> str:
    """Returns the part of a file's name that stands for the dispatcher."""
    return UNSAFE_IN_FILE_NAME.sub("_", dispatcher) or "_"


class HandoverDirectory:
    """Reads the records of the other processes and writes the record of this one.

    Each process writes a file of its own and replaces it atomically, so that readers never see a partial
    record. Files are not flushed to disk: the page cache outlives the process, and records need not survive a
    restart of the machine.
    """

    def __init__(
        self, path: str, dispatcher: str, process_id: str, wall_clock_s: Callable[[], float] = time.time
    ) -> None:
        """Creates a directory that has not been scanned.

        Args:
            path: The directory; it must exist.
            dispatcher: Name of the dispatcher, the same for all of its processes.
            process_id: Random name of this process.
            wall_clock_s: The clock of file modification times, in Unix seconds. It only determines the age
                of a file that is seen for the first time; from then on the clock of the scans is used.
        """
        self._wall_clock_s = wall_clock_s
        self._written_versions: dict[Path, _WrittenVersion] = {}
        file_name = safe_file_name(dispatcher)
        self._path = Path(path)
        self._dispatcher = dispatcher
        self._prefix = f"violetstack-{file_name}-"
        self._own_path = self._path / f"{self._prefix}{process_id}{RECORD_SUFFIX}"
        self._read_versions: dict[Path, _FileVersion] = {}  # versions that were read, valid or not

    def write(self, record: HandoverRecord) -> None:
        """Replaces this process's record.

        Raises:
            OSError: The file cannot be written; the previous record is still in place.
        """
        partial_path = self._own_path.with_suffix(PARTIAL_SUFFIX)
        partial_path.write_bytes(encode_record(record))
        os.replace(partial_path, self._own_path)

    def remove(self) -> None:
        """Deletes this process's record.

        Raises:
            OSError: The file exists and cannot be deleted.
        """
        for path in (self._own_path, self._own_path.with_suffix(PARTIAL_SUFFIX)):
            path.unlink(missing_ok=True)

    def scan(self, now_ms: float) -> DirectoryScan:
        """Reads the records that changed since the last call, and deletes those older than MAX_RECORD_AGE_MS.

        An invalid record is logged once for each version of its file.
        """
        scan = DirectoryScan([], {})
        try:
            entries = [entry for entry in os.scandir(self._path) if self._is_record(entry.name)]
        except OSError as error:
            log_rate_limited("handover_record_failed", error=str(error))
            return scan
        listed = {Path(entry.path) for entry in entries}
        self._written_versions = {
            path: written for path, written in self._written_versions.items() if path in listed
        }
        for entry in entries:
            if Path(entry.path) != self._own_path:
                self._scan_entry(entry, now_ms, scan)
        return scan

    def _scan_entry(self, entry: os.DirEntry[str], now_ms: float, scan: DirectoryScan) -> None:
        path = Path(entry.path)
        try:
            status = entry.stat()
            version = _FileVersion(status.st_size, status.st_mtime_ns)
            written_at_ms = self._written_at_ms(path, version, now_ms)
            if written_at_ms < now_ms - MAX_RECORD_AGE_MS:
                path.unlink(missing_ok=True)
                return
            scan.last_seen_ms[self._process_id(entry.name)] = written_at_ms
            if self._read_versions.get(path) == version:
                return
            self._read_versions[path] = version
            scan.changed.append(self._read(path, version.size, now_ms))
        except FileNotFoundError:
            return  # its process removed it after the directory was listed
        except (OSError, InvalidRecordError) as error:
            log_rate_limited("handover_record_invalid", file=entry.name, reason=str(error))

    def _written_at_ms(self, path: Path, version: _FileVersion, now_ms: float) -> float:
        """Returns when this version was written, on the clock of the scans, which has no steps."""
        written = self._written_versions.get(path)
        if written is None:
            age_ms = max(0.0, self._wall_clock_s() * 1000.0 - version.modified_ns / NS_PER_MS)
            written = _WrittenVersion(version, now_ms - age_ms)
        elif written.version != version:
            written = _WrittenVersion(version, now_ms)
        self._written_versions[path] = written
        return written.written_at_ms

    def _read(self, path: Path, size: int, now_ms: float) -> HandoverRecord:
        """Raises InvalidRecordError or OSError."""
        if size > MAX_RECORD_BYTES:
            raise InvalidRecordError(f"record of {size} bytes exceeds the limit of {MAX_RECORD_BYTES}")
        return decode_record(path.read_bytes(), self._dispatcher, now_ms)

    def _is_record(self, file_name: str) -> bool:
        return file_name.startswith(self._prefix) and file_name.endswith(RECORD_SUFFIX)

    def _process_id(self, file_name: str) -> str:
        return file_name[len(self._prefix) : -len(RECORD_SUFFIX)]
