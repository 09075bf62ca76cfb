"""The journal of levels: its lines, and the level that a restart restores from it."""

from __future__ import annotations

from zlib import crc32

from tests.levels import LEVEL_NAMES, journal_bytes
from violetstack.load_shedding.journal import (
    JournalRecord,
    decode_journal,
    encode_record,
    restore_level,
)
from violetstack.load_shedding.levels import NORMAL


def test_a_restart_restores_a_recent_level_and_lowers_an_old_one() -> None:
    journal = decode_journal(journal_bytes("strained", "crisis"))
    ages = {1_002.0: 2, 1_060.0: 2, 1_062.0: 1, 1_130.0: 0, 2_000.0: 0}
    assert {now: restore_level(journal, LEVEL_NAMES, now, 60.0).rank for now in ages} == ages
    assert all(restore_level(journal, LEVEL_NAMES, now, 60.0).is_known for now in ages)
    # A record dated in the future, and a level that is no longer defined.
    for now, names in ((900.0, LEVEL_NAMES), (1_002.0, (NORMAL, "other"))):
        restored = restore_level(journal, names, now, 60.0)
        assert (restored.rank, restored.is_known) == (0, False)
    assert restore_level(journal, LEVEL_NAMES, 998.0, 60.0).rank == 2  # the clock was set back a little


def test_a_journal_truncated_at_any_byte_yields_its_complete_records() -> None:
    whole = journal_bytes("strained", "crisis", "strained")
    ends = [n + 1 for n, byte in enumerate(whole) if byte == 10]
    for length in range(len(whole)):
        journal = decode_journal(whole[:length])
        complete_records = sum(1 for end in ends if length >= end - 1)
        assert len(journal.records) == complete_records
        restored = restore_level(journal, LEVEL_NAMES, 1_003.0, 60.0)
        assert restored.is_known is (complete_records > 0)
    for position in range(0, len(whole), 7):
        corrupt = bytearray(whole)
        corrupt[position] ^= 0x55
        assert len(decode_journal(bytes(corrupt)).records) <= 3  # and does not raise an error
    newer = encode_record(JournalRecord("crisis", 1.0, 1.0)).replace(b'"format":1', b'"format":9')
    body = newer.partition(b" ")[2].rstrip(b"\n")

    assert decode_journal(b"%08x %s\n" % (crc32(body), body)).newer_records == 1
