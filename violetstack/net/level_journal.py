"""The file of the level journal. All methods block; they are called from a worker thread or at startup."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

from violetstack.load_shedding.journal import (
    MAX_BYTES,
    MAX_CHANGES_AFTER_REWRITE,
    Journal,
    JournalRecord,
    decode_journal,
    encode_record,
)


class LevelJournalFile:
    """An append-only journal that is rewritten with its latest records once it exceeds MAX_BYTES."""

    def __init__(self, path: str) -> None:
        """Uses the file at `path`, which need not exist."""
        self._path = Path(path)

    def read(self) -> Journal:
        """Reads the journal; a missing file is an empty journal.

        Raises:
            OSError: The file cannot be read.
        """
        try:
            return decode_journal(self._path.read_bytes())
        except FileNotFoundError:
            return Journal(())

    def set_aside(self) -> Path:
        """Renames an unusable journal, so that an operator can inspect it, and returns its new path.

        Raises:
            OSError: The file cannot be renamed.
        """
        aside = self._path.with_name(f"{self._path.name}.aside")
        self._path.replace(aside)
        return aside

    def append(self, records: Sequence[JournalRecord]) -> None:
        """Appends records and waits until they are on disk.

        Raises:
            OSError: The records cannot be written.
        """
        data = b"".join(encode_record(record) for record in records)
        with self._path.open("ab") as file:
            if file.tell() and not self._ends_with_newline():
                data = b"\n" + data  # ends a truncated line, which would otherwise corrupt the first record
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
            size = file.tell()
        if size > MAX_BYTES:
            self._rewrite()

    def _ends_with_newline(self) -> bool:
        with self._path.open("rb") as file:
            file.seek(-1, os.SEEK_END)
            return file.read(1) == b"\n"

    def _rewrite(self) -> None:
        records = self.read().records
        changes = [record for record in records if not record.is_heartbeat][-MAX_CHANGES_AFTER_REWRITE:]
        new = self._path.with_name(f"{self._path.name}.new")
        new.write_bytes(b"".join(encode_record(record) for record in [*changes, records[-1]]))
        new.replace(self._path)
