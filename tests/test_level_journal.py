"""The journal of levels: what a restart takes from it."""

from __future__ import annotations

from zlib import crc32

from tests.levels import NAMES, records
from violetstack.load_shedding.journal import (
    JournalRecord,
    decode_journal,
    encode_record,
    restore_level,
)
from violetstack.load_shedding.levels import NORMAL


def test_a_restart_restores_a_recent_level_and_lowers_an_old_one() -> None:
    journal = decode_journal(records("strained", "crisis"))
    ages = {1_002.0: 2, 1_060.0: 2, 1_062.0: 1, 1_130.0: 0, 2_000.0: 0}
    assert {now: restore_level(journal, NAMES, now, 60.0).rank for now in ages} == ages
    assert all(restore_level(journal, NAMES, now, 60.0).is_known for now in ages)
    for now, names in ((900.0, NAMES), (1_002.0, (NORMAL, "other"))):  # the future; a level that is gone
        resumed = restore_level(journal, names, now, 60.0)
        assert (resumed.rank, resumed.is_known) == (0, False)
    assert restore_level(journal, NAMES, 998.0, 60.0).rank == 2  # the clock went back a little


def test_a_journal_truncated_anywhere_gives_its_complete_records() -> None:
    whole = records("strained", "crisis", "strained")
    ends = [n + 1 for n, byte in enumerate(whole) if byte == 10]
    for cut in range(len(whole)):
        journal = decode_journal(whole[:cut])
        before = sum(1 for end in ends if cut >= end - 1)
        assert len(journal.records) == before
        resumed = restore_level(journal, NAMES, 1_003.0, 60.0)
        assert resumed.is_known is (before > 0)
    for at in range(0, len(whole), 7):
        spoilt = bytearray(whole)
        spoilt[at] ^= 0x55
        assert len(decode_journal(bytes(spoilt)).records) <= 3  # and never raises
    newer = encode_record(JournalRecord("crisis", 1.0, 1.0)).replace(b'"format":1', b'"format":9')
    body = newer.partition(b" ")[2].rstrip(b"\n")

    assert decode_journal(b"%08x %s\n" % (crc32(body), body)).newer_records == 1
