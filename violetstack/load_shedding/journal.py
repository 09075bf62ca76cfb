"""The journal of levels: what a restart reads, and `violetstack level history` shows.

One line a record: the CRC-32 of the rest in hexadecimal, a space, a JSON object with a format number. A
truncated tail or a corrupt line is skipped. While a level is in force, a heartbeat record every few seconds
says so.

A restart takes the newest record. Its level is in force at once if the record is no older than the file's
`remember`; for each further `remember` it is one level lower. A record of the future, or of a newer format,
is not used.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from zlib import crc32

import msgspec

from violetstack.load_shedding.errors import InvalidJournalLineError, JournalChecksumError

FORMAT = 1
MAX_CLOCK_SKEW_S = 5.0  # the clock may be set back between the processes
MAX_BYTES = 256 * 1024  # beyond it the journal is rewritten with its last MAX_CHANGES_AFTER_REWRITE changes
MAX_CHANGES_AFTER_REWRITE = 200
HEARTBEAT_S = 2.0
CHECKSUM_DIGITS = 8


class JournalRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of level, or a heartbeat; stored under the names of the first release.

    Attributes:
        level: The level in force from then on.
        recorded_s: When the record was written, in Unix seconds.
        since_s: When the level was entered, in Unix seconds.
        old: The level before; empty in a heartbeat.
        cause: Why it changed; empty in a heartbeat.
        is_heartbeat: Whether nothing has changed.
        readings: The known signals at the change.
    """

    level: str
    recorded_s: float = msgspec.field(name="at")
    since_s: float = msgspec.field(name="since")
    old: str = ""
    cause: str = ""
    is_heartbeat: bool = msgspec.field(name="still", default=False)
    readings: dict[str, float] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Journal:
    """What could be read of a journal.

    Attributes:
        records: The valid records, oldest first.
        corrupt_lines: How many lines were skipped.
        newer_records: How many records are of a newer format.
    """

    records: tuple[JournalRecord, ...]
    corrupt_lines: int = 0
    newer_records: int = 0


@dataclass(frozen=True, slots=True)
class RestoredLevel:
    """The level that a restart begins with.

    Attributes:
        rank: 0 for normal.
        since_s: When it was entered, in Unix seconds.
        is_known: Whether the journal said so; otherwise the level is normal by default.
        reason: For the log.
    """

    rank: int
    since_s: float
    is_known: bool
    reason: str


def encode_record(record: JournalRecord) -> bytes:
    """Returns the line of a record."""
    body = json.dumps({"format": FORMAT, **record_fields(record)}, separators=(",", ":")).encode()
    return b"%08x %s\n" % (crc32(body), body)


def record_fields(record: JournalRecord) -> dict[str, Any]:
    """Returns the fields of a record under their stored names."""
    fields: dict[str, Any] = msgspec.to_builtins(record)
    return fields


def decode_journal(raw: bytes) -> Journal:
    """Reads a journal, skipping what is corrupt."""
    records: list[JournalRecord] = []
    corrupt_lines = 0
    newer_records = 0
    for line in raw.split(b"\n"):
        if not line.strip():
            continue
        try:
            record = _decode_record(line)
        except InvalidJournalLineError:
            corrupt_lines += 1
            continue
        if record is None:
            newer_records += 1
        else:
            records.append(record)
    return Journal(tuple(records), corrupt_lines, newer_records)


def restore_level(
    journal: Journal, level_names: Sequence[str], now_s: float, restore_within_s: float
) -> RestoredLevel:
    """Returns the level that a restart at a time begins with.

    Args:
        journal: The journal.
        level_names: Names of the levels by rank, normal first.
        now_s: Unix seconds.
        restore_within_s: Age of a record up to which its level is restored; 0 for any age.
    """
    if not journal.records:
        unreadable = journal.corrupt_lines or journal.newer_records
        reason = "the journal can't be read" if unreadable else "there is no journal"
        return RestoredLevel(0, now_s, False, reason)
    last = journal.records[-1]
    age_s = now_s - last.recorded_s
    if age_s < -MAX_CLOCK_SKEW_S:
        return RestoredLevel(0, now_s, False, f"the last record is {-age_s:.0f} s in the future")
    if last.level not in level_names:
        return RestoredLevel(0, now_s, False, f"{last.level!r} is no more in the file")
    age_s = max(0.0, age_s)
    rank = level_names.index(last.level)
    steps_down = int(age_s // restore_within_s) if restore_within_s > 0 else rank
    restored_rank = max(0, rank - steps_down)
    reason = f"{last.level} was in force {age_s:.1f} s ago"
    if restored_rank != rank:
        reason += f", aged to {level_names[restored_rank]}"
    return RestoredLevel(restored_rank, min(last.since_s, now_s), True, reason)


def recent_changes(journal: Journal, limit: int) -> list[JournalRecord]:
    """Returns the last changes, newest first."""
    return [record for record in reversed(journal.records) if not record.is_heartbeat][:limit]


def _decode_record(line: bytes) -> JournalRecord | None:
    """Returns the record, None if its format is newer.

    Raises:
        InvalidJournalLineError: The line is truncated, corrupt or of another shape.
    """
    checksum, _, body = line.partition(b" ")
    try:
        if len(checksum) != CHECKSUM_DIGITS or int(checksum, 16) != crc32(body):
            raise JournalChecksumError
        fields = json.loads(body)
        if fields.pop("format") > FORMAT:
            return None
        return msgspec.convert(fields, JournalRecord)
    except (ValueError, TypeError, KeyError, AttributeError, msgspec.MsgspecError) as error:
        raise InvalidJournalLineError(str(error)) from error
