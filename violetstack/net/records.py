"""The files that the processes of one dispatcher leave for each other in their shared folder."""

from __future__ import annotations

import os
import re
from pathlib import Path

from violetstack.handover.record import MAX_RECORD, BadRecord, Record, decode, encode
from violetstack.log import log_rate_limited

SUFFIX = ".record"
OLD_MS = 3_600_000.0  # a record of a process that has been silent for so long is of no use to anybody


class Records:
    """One file a process, so that no two ever write the same one.

    Nothing is flushed to a disk: what a process wrote outlives it in the system's own memory, and the folder
    does not outlive the machine. So a write takes microseconds and nobody waits for it.
    """

    def __init__(self, folder: str, name: str, owner: str) -> None:
        plain = re.sub(r"[^A-Za-z0-9._-]", "_", name) or "_"
        self._folder = Path(folder)
        self._name = name
        self._prefix = f"violetstack-{plain}-"
        self._own = self._folder / f"{self._prefix}{owner}{SUFFIX}"
        self._seen: dict[Path, tuple[int, int]] = {}  # size and time of what was read, or refused

    def write(self, record: Record) -> None:
        """Whole or not at all. Raises OSError."""
        part = self._own.with_suffix(".part")
        part.write_bytes(encode(record))
        os.replace(part, self._own)

    def remove(self) -> None:
        for path in (self._own, self._own.with_suffix(".part")):
            path.unlink(missing_ok=True)

    def others(self, now: float) -> tuple[list[Record], dict[str, float]]:
        """What changed since the last call, and when each other process last was heard of, by owner."""
        new: list[Record] = []
        beats: dict[str, float] = {}
        try:
            rows = [row for row in os.scandir(self._folder) if self._is_record(row.name)]
        except OSError as error:
            log_rate_limited("handover_record_failed", error=str(error))
            return [], {}
        for row in rows:
            path = Path(row.path)
            if path == self._own:
                continue
            try:
                told = row.stat()
                beat = told.st_mtime * 1000.0
                if beat < now - OLD_MS:
                    path.unlink(missing_ok=True)
                    continue
                beats[row.name[len(self._prefix) : -len(SUFFIX)]] = beat
                version = (told.st_size, told.st_mtime_ns)
                if self._seen.get(path) == version:
                    continue
                self._seen[path] = version
                if told.st_size > MAX_RECORD:
                    raise BadRecord("too large")
                new.append(decode(path.read_bytes(), self._name, now))
            except FileNotFoundError:
                continue  # its process has just removed it
            except (OSError, BadRecord) as error:
                log_rate_limited("handover_record_invalid", file=row.name, reason=str(error))
        return new, beats

    def _is_record(self, name: str) -> bool:
        return name.startswith(self._prefix) and name.endswith(SUFFIX)
