"""The journal of levels, from which a restart restores the level and `violetstack level history` is printed.

A record is one line: the CRC-32 of the rest of the line in hexadecimal, a space, and a JSON object with a
format number. Truncated and corrupt lines are skipped. While the level is not normal, a heartbeat record is
written every `HEARTBEAT_S`.

A restart restores the level of the newest record if that is younger than the `remember` setting of the
operator's file. For each full `remember` that has passed since the record, the level is one lower. A record
that is dated in the future or has a newer format is not used.
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
MAX_CLOCK_SKEW_S = 5.0  # the clock may have been set back between two processes
MAX_BYTES = 256 * 1024  # a larger journal is rewritten with its last MAX_CHANGES_AFTER_REWRITE changes
MAX_CHANGES_AFTER_REWRITE = 200
HEARTBEAT_S = 2.0
CHECKSUM_DIGITS = 8


class JournalRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of level, or a heartbeat; the stored names must not change, so that old journals can be read.

    Attributes:
        level: The level in force.
        recorded_s: Time at which the record was written, in Unix seconds.
        since_s: Time at which the level was entered, in Unix seconds.
        old: The previous level; empty in a heartbeat.
        cause: The reason for the change; empty in a heartbeat.
        is_heartbeat: Whether the record is a heartbeat, which records no change.
        readings: The known signals at the time of the change.
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
    """The decoded content of a journal.

    Attributes:
        records: The valid records, oldest first.
        corrupt_lines: Number of truncated or corrupt lines, which were skipped.
        newer_records: Number of records of a newer format, which were skipped.
    """

    records: tuple[JournalRecord, ...]
    corrupt_lines: int = 0
    newer_records: int = 0


@dataclass(frozen=True, slots=True)
class RestoredLevel:
    """The level at which a process starts.

    Attributes:
        rank: Rank of the level; 0 is normal.
        since_s: Time at which it was entered, in Unix seconds.
        is_known: Whether it comes from the journal; otherwise it is normal by default.
        reason: The reason for this level, for the log.
    """

    rank: int
    since_s: float
    is_known: bool
    reason: str


def encode_record(record: JournalRecord) -> bytes:
    """Encodes a record as a line of the journal."""
    body = json.dumps({"format": FORMAT, **record_fields(record)}, separators=(",", ":")).encode()
    return b"%08x %s\n" % (crc32(body), body)


def record_fields(record: JournalRecord) -> dict[str, Any]:
    """Returns the fields of a record under their stored names."""
    fields: dict[str, Any] = msgspec.to_builtins(record)
    return fields


def decode_journal(raw: bytes) -> Journal:
    """Decodes a journal, skipping truncated and corrupt lines and records of a newer format."""
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
    """Returns the level at which a process starts.

    Args:
        journal: The decoded journal.
        level_names: Names of the levels by rank, normal first.
        now_s: Current time in Unix seconds.
        restore_within_s: A record younger than this restores its level; each further period of this length
            lowers the level by one. With 0, every record restores normal.
    """
    if not journal.records:
        unreadable = journal.corrupt_lines or journal.newer_records
        reason = "no line of the journal can be used" if unreadable else "there is no journal"
        return RestoredLevel(0, now_s, False, reason)
    last = journal.records[-1]
    age_s = now_s - last.recorded_s
    if age_s < -MAX_CLOCK_SKEW_S:
        return RestoredLevel(0, now_s, False, f"the last record is dated {-age_s:.0f} s in the future")
    if last.level not in level_names:
        return RestoredLevel(0, now_s, False, f"the level {last.level!r} is no longer defined")
    age_s = max(0.0, age_s)
    rank = level_names.index(last.level)
    steps_down = int(age_s // restore_within_s) if restore_within_s > 0 else rank
    restored_rank = max(0, rank - steps_down)
    reason = f"{last.level} was in force {age_s:.1f} s ago"
    if restored_rank != rank:
        reason += f", lowered to {level_names[restored_rank]} because of its age"
    return RestoredLevel(restored_rank, min(last.since_s, now_s), True, reason)


def recent_changes(journal: Journal, limit: int) -> list[JournalRecord]:
    """Returns the last changes, newest first."""
    return [record for record in reversed(journal.records) if not record.is_heartbeat][:limit]


def _decode_record(line: bytes) -> JournalRecord | None:
    """Decodes a line; returns None if its format is newer.

    Raises:
        InvalidJournalLineError: The line is truncated, corrupt or no valid record.
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
