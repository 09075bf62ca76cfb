"""The journal of levels: what a restart reads, and `level history` shows.

One line a record: the CRC-32 of the rest in hexadecimal, a space, a JSON object with a format number. A torn
tail or a spoilt line is passed over. While a level is in force a line a few seconds says that it still is.

A restart takes the newest record. Its level is in force at once if the record is no older than `remember`;
for each further `remember` it is one level lower. A record of the future, or of a newer format, is not
believed.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from zlib import crc32

FORMAT = 1
FUTURE_S = 5.0  # clocks of one machine across a restart differ by less
MOST_BYTES = 256 * 1024  # past it the journal is written anew with its last KEPT records
KEPT = 200
STILL_S = 2.0  # between the lines that say a level is still in force


@dataclass(frozen=True, slots=True)
class Record:
    """`at` and `since` in Unix seconds. `still`: nothing changed, the level is in force."""

    level: str
    at: float
    since: float
    old: str = ""
    cause: str = ""
    still: bool = False
    readings: dict[str, float] = field(default_factory=dict)


def line(record: Record) -> bytes:
    body = json.dumps({"format": FORMAT, **asdict(record)}, separators=(",", ":")).encode()
    return b"%08x %s\n" % (crc32(body), body)


@dataclass(frozen=True, slots=True)
class Journal:
    """What could be read. `spoilt` lines were passed over; `newer` records are of a format not known here."""

    records: tuple[Record, ...]
    spoilt: int = 0
    newer: int = 0


def read(raw: bytes) -> Journal:
    records: list[Record] = []
    spoilt = newer = 0
    for each in raw.split(b"\n"):
        if not each.strip():
            continue
        try:
            found = _record(each)
        except (ValueError, TypeError, KeyError):
            spoilt += 1
            continue
        if found is None:
            newer += 1
        else:
            records.append(found)
    return Journal(tuple(records), spoilt, newer)


def _record(raw: bytes) -> Record | None:
    """None for a newer format. Raises on anything spoilt."""
    told, _, body = raw.partition(b" ")
    if len(told) != 8 or int(told, 16) != crc32(body):
        raise ValueError("checksum")
    row = json.loads(body)
    if row.pop("format") > FORMAT:
        return None
    record = Record(**row)
    numbers = (record.at, record.since, *record.readings.values())
    if not isinstance(record.level, str) or not all(isinstance(n, int | float) for n in numbers):
        raise ValueError("types")
    return record


@dataclass(frozen=True, slots=True)
class Resumed:
    """Where a restart begins. `trusted` is false where nothing usable was found; `why` is for the log."""

    rank: int
    since_s: float
    trusted: bool
    why: str


def resume(journal: Journal, names: Iterable[str], now_s: float, remember_s: float) -> Resumed:
    """`names`: the levels by rank, normal first."""
    known = list(names)
    if not journal.records:
        why = "the journal can't be read" if journal.spoilt or journal.newer else "there is no journal"
        return Resumed(0, now_s, False, why)
    last = journal.records[-1]
    age = now_s - last.at
    if age < -FUTURE_S:
        return Resumed(0, now_s, False, f"the last record is {-age:.0f} s in the future")
    if last.level not in known:
        return Resumed(0, now_s, False, f"{last.level!r} is no more in the file")
    rank = known.index(last.level)
    lower = max(0, rank - int(max(0.0, age) // remember_s)) if remember_s > 0 else 0
    why = f"{last.level} was in force {max(0.0, age):.1f} s ago"
    if lower != rank:
        why += f", aged to {known[lower]}"
    return Resumed(lower, min(last.since, now_s), True, why)


def history(journal: Journal, most: int) -> list[Record]:
    """The last changes, the newest first."""
    return [record for record in reversed(journal.records) if not record.still][:most]
