"""Records on disk written by an earlier release: the current code reads every value, and writes them alike.

The files were written by ``tests/fixtures/make_handover_records.py`` with the code of commit 5a5ffca.
"""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import msgspec

from violetstack.admin.cordons import Cordon
from violetstack.handover.learned_state import (
    BucketSnapshot,
    DecayingSumSnapshot,
    EndpointSnapshot,
    LearnedState,
    TimedSample,
)
from violetstack.handover.record import HandoverRecord, decode_record, encode_record
from violetstack.handover.stream_migration import StreamOffer, decode_offer, encode_offer
from violetstack.idempotency.store import ClaimStatus, IdempotencyStore, KeyedRequest, Outcome
from violetstack.load_shedding.journal import Journal, JournalRecord, decode_journal, restore_level
from violetstack.load_shedding.journal import encode_record as encode_level_record
from violetstack.protocol.discovery import ListedEndpoint

FIXTURES = Path(__file__).parent / "fixtures"
WRITTEN_AT_MS = 1_700_000_000_000.0
WRITTEN_AT_S = 1_700_000_000.0

HANDOVER_RECORD = HandoverRecord(
    dispatcher="n0",
    process_id="a1b2",
    started_at_ms=WRITTEN_AT_MS - 60_000.0,
    written_at_ms=WRITTEN_AT_MS,
    accepting=True,
    list_version=7,
    endpoints=(
        ListedEndpoint("r1", "127.0.0.1:1", "z", "prefill", 2, "active", 1.5, 500.0),
        ListedEndpoint("w1", "127.0.0.1:2", "z", "decode", 0, "leaving"),
    ),
    cordons={
        "r1": Cordon(True, WRITTEN_AT_MS - 10.0, WRITTEN_AT_MS - 20.0),
        "w1": Cordon(False, WRITTEN_AT_MS - 30.0, WRITTEN_AT_MS - 40.0),
    },
    learned_state=LearnedState(
        captured_at_ms=WRITTEN_AT_MS - 500.0,
        totals={
            "cleared": DecayingSumSnapshot(1.0, 2.0),
            "busy_ms": DecayingSumSnapshot(3.0, 4.0),
            "claimed": DecayingSumSnapshot(5.0, 6.0),
            "found": DecayingSumSnapshot(7.0, 8.0),
            "read": DecayingSumSnapshot(9.0, 10.0),
            "written": DecayingSumSnapshot(11.0, None),
        },
        started_by_scope={"scope": DecayingSumSnapshot(19.0, 20.0)},
        prefill_times=[TimedSample(21.0, 22.0)],
        first_token_times=[TimedSample(23.0, 24.0), TimedSample(25.0, 26.0)],
        tenants={0: BucketSnapshot(0.75, 27.0)},
        endpoints={
            "r1": EndpointSnapshot(
                started_ms=500.0,
                prefill_cost=DecayingSumSnapshot(11.0, 12.0),
                busy_ms=DecayingSumSnapshot(13.0, 14.0),
                failure_penalty=DecayingSumSnapshot(15.0, None),
                failure_streak=3,
                failed_at_ms=16.0,
                slow_start_tokens=BucketSnapshot(0.25, 17.0),
                memory_share=0.5,
                reported_at_ms=18.0,
            )
        },
    ),
)
STREAM_OFFER = StreamOffer(
    id="q0",
    class_index=1,
    tenant_index=2,
    server="w1",
    age_ms=1234.5,
    events_forwarded=3,
    cached_tokens=4,
    prompt_tokens=567.0,
    holds_remote_state=True,
    closing=False,
)


def test_a_handover_record_of_an_earlier_release_is_decoded_and_encoded_identically() -> None:
    stored = (FIXTURES / "handover.record").read_bytes()
    assert decode_record(stored, "n0", WRITTEN_AT_MS) == HANDOVER_RECORD
    assert encode_record(HANDOVER_RECORD) == stored  # a process of the earlier release may still read it


def test_the_learned_state_has_the_same_keys_in_the_state_folder() -> None:
    """The state folder stores it as MessagePack, with the keys of the handover record."""
    stored = (FIXTURES / "handover.record").read_bytes().partition(b"\n")[2]
    learned = msgspec.json.decode(stored)["learned"]
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(HANDOVER_RECORD.learned_state), strict=False) == {
        **learned,
        "tenants": {0: [0.75, 27.0]},
    }
    assert list(learned) == ["at", "sums", "begun", "reads", "waits", "tenants", "servers"]


def test_a_stream_offer_of_an_earlier_release_is_decoded_and_encoded_identically() -> None:
    stored = (FIXTURES / "stream_offer.json").read_bytes()
    assert decode_offer(stored, 2) == STREAM_OFFER
    assert encode_offer(STREAM_OFFER) == stored


def copied_database(tmp_path: Path) -> Path:
    path = tmp_path / "idempotency.sqlite"
    shutil.copy(FIXTURES / path.name, path)
    return path


def request(state: str, body: str = "") -> KeyedRequest:
    return KeyedRequest("acme", f"key-{state}", body or f"body-{state}", f"digest-{state}")


def test_an_idempotency_database_of_an_earlier_release_is_read(tmp_path: Path) -> None:
    clock_s = [0.0]
    store = IdempotencyStore(copied_database(tmp_path), "n0/second", 86_400.0, 10.0, lambda: clock_s[0])
    assert store.claim(request("finished")) == (ClaimStatus.COMPLETED, b'{"outcome":1}')
    assert store.claim(request("failed")) == (ClaimStatus.FAILED, b"")
    assert store.claim(request("freed")) == (ClaimStatus.ACQUIRED, b"")
    assert store.claim(request("running")) == (ClaimStatus.RUNNING, b"")
    assert store.claim(request("finished", "another")) == (ClaimStatus.KEY_REUSED, b"")
    clock_s[0] = 20.0  # the lease of the earlier owner has expired
    assert store.claim(request("running")) == (ClaimStatus.FAILED, b"")
    store.close()


def test_the_idempotency_database_keeps_its_tables_and_values(tmp_path: Path) -> None:
    """A process of an earlier release may use the same file and has to read what the current code writes."""
    path = copied_database(tmp_path)
    with sqlite3.connect(path) as database:
        tables_before = database.execute("SELECT name, sql FROM sqlite_master ORDER BY name").fetchall()
    database.close()
    clock_s = [0.0]
    store = IdempotencyStore(path, "n0/second", 86_400.0, 10.0, lambda: clock_s[0])
    store.renew_lease()
    clock_s[0] = 1.0
    store.renew_lease()
    for outcome, response in ((Outcome.COMPLETED, b"answer"), (Outcome.FAILED, b""), (Outcome.RELEASED, b"")):
        written = KeyedRequest("acme", f"new-{outcome.name}", "body", f"new-{outcome.name}")
        store.claim(written)
        clock_s[0] = 2.0
        store.record_outcome(written, outcome, response)
    store.close()
    with sqlite3.connect(path) as database:
        tables = database.execute("SELECT name, sql FROM sqlite_master ORDER BY name").fetchall()
        states = database.execute(
            "SELECT state, outcome, at FROM orders WHERE owner = 'n0/second' ORDER BY state"
        ).fetchall()
        owners = database.execute("SELECT owner, beat FROM owners ORDER BY owner").fetchall()
    database.close()
    assert tables == tables_before
    assert states == [
        ("failed", b"", WRITTEN_AT_S + 2.0),
        ("finished", b"answer", WRITTEN_AT_S + 2.0),
        ("free", b"", WRITTEN_AT_S + 2.0),
    ]
    assert owners == [("n0/first", WRITTEN_AT_S), ("n0/second", WRITTEN_AT_S + 1.0)]


def test_a_journal_of_levels_of_an_earlier_release_is_decoded_and_encoded_identically() -> None:
    stored = (FIXTURES / "levels.journal").read_bytes()
    level_change = JournalRecord(
        level="reduced",
        recorded_s=WRITTEN_AT_S,
        since_s=WRITTEN_AT_S,
        old="normal",
        cause="lag > 80 ms",
        readings={"lag": 91.5, "cpu": 0.25},
    )
    heartbeat = JournalRecord(
        level="reduced", recorded_s=WRITTEN_AT_S + 2.0, since_s=WRITTEN_AT_S, is_heartbeat=True
    )
    journal = decode_journal(stored)
    assert journal == Journal((level_change, heartbeat), corrupt_lines=1)
    restored = restore_level(journal, ["normal", "reduced", "minimal"], WRITTEN_AT_S + 3.0, 60.0)
    assert (restored.rank, restored.since_s, restored.is_known) == (1, WRITTEN_AT_S, True)
    assert b"".join(map(encode_level_record, journal.records)) == stored[: stored.rindex(b"\n") + 1]
