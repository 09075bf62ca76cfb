"""The durable records of non-idempotent requests.

One SQLite file is shared by the dispatchers that serve the same clients. A request is identified by its
tenant, conversation and messages; values of the ``Idempotency-Key`` header refer to requests. A record is
committed before its request may be sent to a host, and outlives the process: a running record whose owner has
failed is a request that may have run.

Each dispatcher holds a lease on the requests it has claimed, and renews it by changing its heartbeat in the
file. An observer measures the time since the last change on its own monotonic clock; clocks of two machines
are never compared, and the wall clock counts for nothing: ages are measured by the file's own clock
(`RetentionClock`). The holder counts its lease from before it wrote the heartbeat, and checks it right before
it sends. So a request that another dispatcher has declared failed is not sent any more.

The names of the tables, columns and states are those of the first release, which may share the file.
"""

from __future__ import annotations

import contextlib
import sqlite3
import time
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path
from typing import NamedTuple

import msgspec

from violetstack.lease.liveness import LivenessMonitor

SCHEMA = """
CREATE TABLE IF NOT EXISTS orders (
    tenant TEXT NOT NULL, digest TEXT NOT NULL, state TEXT NOT NULL, owner TEXT NOT NULL,
    outcome BLOB, at REAL NOT NULL, PRIMARY KEY (tenant, digest)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS keys (
    tenant TEXT NOT NULL, key TEXT NOT NULL, body TEXT NOT NULL, digest TEXT NOT NULL,
    PRIMARY KEY (tenant, key)) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS keys_of_order ON keys (tenant, digest);
CREATE TABLE IF NOT EXISTS owners (owner TEXT PRIMARY KEY, beat REAL NOT NULL) WITHOUT ROWID;
"""
RUNNING_STATE = "running"  # the stored state between a claim and its outcome
LOCK_TIMEOUT_S = 2.0
HEARTBEAT_STEP_S = 0.001  # added where the clock shows the same time as at the last heartbeat


class ClaimStatus(Enum):
    """What the claim of a request found."""

    ACQUIRED = "acquired"  # recorded as running: the caller may send it
    RUNNING = "running"  # another attempt holds it
    COMPLETED = "finished"  # it has a response
    FAILED = "failed"  # it may have run
    KEY_REUSED = "other_body"  # the key belongs to a request with another body


class Outcome(Enum):
    """How a running request ended; the values are the stored states."""

    COMPLETED = "finished"
    FAILED = "failed"  # it may have run
    RELEASED = "free"  # it certainly did not run, and may be claimed again


class IdempotencyStoreError(Exception):
    """The file cannot be read or written now, and nothing was committed; `reason` says why."""

    def __init__(self, reason: str) -> None:
        """Sets the reason, which is for the log."""
        super().__init__(reason)
        self.reason = reason


class KeyedRequest(msgspec.Struct, frozen=True):
    """A request with an idempotency key.

    Attributes:
        tenant: Name of the tenant; keys of two tenants are independent.
        key: Value of the ``Idempotency-Key`` header.
        fingerprint: Hash of the body, to detect a key that is used with another body.
        digest: Hash of tenant, conversation and messages, which identifies the request under all its keys.
    """

    tenant: str
    key: str
    fingerprint: str
    digest: str


class ClaimResult(NamedTuple):
    """The status of a claimed request, and the recorded response if it is COMPLETED."""

    status: ClaimStatus
    response: bytes


class _StoredRequest(NamedTuple):
    """A row of the table `orders`, without its key."""

    state: str
    owner: str
    outcome: bytes | None


class RetentionClock:
    """Real time as the processes that use the file have measured it together, in seconds.

    Heartbeats carry it from one process to the next: the latest one is what the file's clock showed then, and
    each process adds what its own monotonic clock has measured since it last read the file. So the clock
    never runs faster than real time, whatever the wall clocks do, and stands still while no process runs: a
    record may be kept for longer than the retention, never shorter.

    Only the first process of a file takes the Unix time, since an earlier release that shares the file
    compares with it. Such a release still measures by its wall clock.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Creates a clock that has not been read; `monotonic` returns seconds."""
        self._monotonic = monotonic
        self._last_read_at = 0.0
        self._last_reading_s = float("-inf")

    def read(self, database: sqlite3.Connection) -> float:
        """Returns the file's time; the caller's transaction holds the file."""
        now = self._monotonic()
        self._last_reading_s = max(
            _latest_heartbeat(database), self._last_reading_s + (now - self._last_read_at)
        )
        self._last_read_at = now
        return self._last_reading_s


def _latest_heartbeat(database: sqlite3.Connection) -> float:
    (latest,) = database.execute("SELECT max(beat) FROM owners").fetchone()
    return time.time() if latest is None else float(latest)


class IdempotencyStore:
    """The SQLite file.

    All methods block. `holds_lease` may be called from any thread, the others from one at a time.
    """

    def __init__(
        self,
        path: str | Path,
        owner: str,
        retention_s: float,
        lease_s: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a store; the file is opened by the first call.

        Args:
            path: The SQLite file; it is created if it is missing.
            owner: Unique name of this process.
            retention_s: How long records of ended requests are kept.
            lease_s: How long after its last heartbeat an owner keeps the requests it claimed.
            monotonic: The clock for leases and for the retention, in seconds.
        """
        self._path = str(path)
        self._owner = owner
        self._retention_s = retention_s
        self._lease_s = lease_s
        self._monotonic = monotonic
        self._liveness = LivenessMonitor(lease_s)
        self._clock = RetentionClock(monotonic)
        self._heartbeat = 0.0
        self._lease_end = float("-inf")
        self._database: sqlite3.Connection | None = None

    def close(self) -> None:
        """Closes the file."""
        if self._database is not None:
            self._database.close()
            self._database = None

    def holds_lease(self) -> bool:
        """Returns whether a request that this process claimed may still be sent."""
        return self._monotonic() < self._lease_end

    def renew_lease(self) -> None:
        """Writes a heartbeat, observes those of the other owners, and deletes expired records.

        Raises:
            IdempotencyStoreError: The lease is not renewed.
        """
        started_at = self._monotonic()
        with self._transaction() as database:
            now_s = self._clock.read(database)
            expire_before = now_s - self._retention_s
            # An owner is alive while its heartbeat changes.
            heartbeat = max(now_s, self._heartbeat + HEARTBEAT_STEP_S)
            database.execute("INSERT OR REPLACE INTO owners VALUES (?, ?)", (self._owner, heartbeat))
            database.execute("DELETE FROM orders WHERE at < ? AND state != ?", (expire_before, RUNNING_STATE))
            for owner in self._failed_owners(database, started_at):
                self._delete_owner_records(database, owner, expire_before)
            database.execute(
                "DELETE FROM keys WHERE NOT EXISTS (SELECT 1 FROM orders o "
                "WHERE o.tenant = keys.tenant AND o.digest = keys.digest)"
            )
        self._heartbeat = heartbeat
        self._lease_end = started_at + self._lease_s

    def claim(self, request: KeyedRequest) -> ClaimResult:
        """Records a request as running, or returns what is recorded of it.

        Args:
            request: The request; its key is recorded as well.

        Raises:
            IdempotencyStoreError: Nothing was recorded, so the request must not be sent.
        """
        started_at = self._monotonic()
        with self._transaction() as database:
            return self._claim(database, request, self._clock.read(database), started_at)

    def record_outcome(self, request: KeyedRequest, outcome: Outcome, response: bytes) -> bool:
        """Records how a request ended that this process claimed.

        Args:
            request: The claimed request.
            outcome: How it ended.
            response: What a retry is answered, if it is COMPLETED.

        Returns:
            False if the lease was lost and another owner has declared the request failed, which stands.

        Raises:
            IdempotencyStoreError: Nothing was recorded.
        """
        with self._transaction() as database:
            stored = self._find(database, request)
            if stored is None or (stored.state, stored.owner) != (RUNNING_STATE, self._owner):
                return False
            self._update(database, request, outcome, response, self._clock.read(database))
            return True

    def _claim(
        self, database: sqlite3.Connection, request: KeyedRequest, now_s: float, started_at: float
    ) -> ClaimResult:
        key_row = database.execute(
            "SELECT body FROM keys WHERE tenant = ? AND key = ?", (request.tenant, request.key)
        ).fetchone()
        if key_row is not None and key_row[0] != request.fingerprint:
            return ClaimResult(ClaimStatus.KEY_REUSED, b"")
        stored = self._find(database, request)
        state = stored.state if stored is not None else Outcome.RELEASED.value
        if (
            stored is not None
            and state == RUNNING_STATE
            and not self._is_owner_alive(database, stored.owner, started_at)
        ):
            # How far its owner came is unknown, so it must not run again.
            state = Outcome.FAILED.value
            self._update(database, request, Outcome.FAILED, b"", now_s)
        if key_row is None:
            database.execute(
                "INSERT INTO keys VALUES (?, ?, ?, ?)",
                (request.tenant, request.key, request.fingerprint, request.digest),
            )
        if stored is not None and state != Outcome.RELEASED.value:
            return ClaimResult(ClaimStatus(state), stored.outcome or b"")
        database.execute("INSERT OR IGNORE INTO owners VALUES (?, ?)", (self._owner, now_s))
        database.execute(
            "INSERT OR REPLACE INTO orders VALUES (?, ?, ?, ?, NULL, ?)",
            (request.tenant, request.digest, RUNNING_STATE, self._owner, now_s),
        )
        return ClaimResult(ClaimStatus.ACQUIRED, b"")

    def _find(self, database: sqlite3.Connection, request: KeyedRequest) -> _StoredRequest | None:
        row = database.execute(
            "SELECT state, owner, outcome FROM orders WHERE tenant = ? AND digest = ?",
            (request.tenant, request.digest),
        ).fetchone()
        return None if row is None else _StoredRequest(*row)

    def _update(
        self,
        database: sqlite3.Connection,
        request: KeyedRequest,
        outcome: Outcome,
        response: bytes,
        now_s: float,
    ) -> None:
        database.execute(
            "UPDATE orders SET state = ?, outcome = ?, at = ? WHERE tenant = ? AND digest = ?",
            (outcome.value, response, now_s, request.tenant, request.digest),
        )

    def _is_owner_alive(self, database: sqlite3.Connection, owner: str, started_at: float) -> bool:
        if owner == self._owner:
            return True
        row = database.execute("SELECT beat FROM owners WHERE owner = ?", (owner,)).fetchone()
        heartbeat = None if row is None else row[0]
        return not self._liveness.is_expired(started_at, self._monotonic(), owner, heartbeat)

    def _failed_owners(self, database: sqlite3.Connection, started_at: float) -> list[str]:
        """Owners whose heartbeat has not changed for a lease."""
        rows = database.execute("SELECT owner, beat FROM owners WHERE owner != ?", (self._owner,)).fetchall()
        read_at = self._monotonic()
        return [owner for owner, beat in rows if self._liveness.is_expired(started_at, read_at, owner, beat)]

    def _delete_owner_records(self, database: sqlite3.Connection, owner: str, expire_before: float) -> None:
        """Deletes the expired records of a failed owner, and the owner once it has no running request."""
        database.execute("DELETE FROM orders WHERE at < ? AND owner = ?", (expire_before, owner))
        database.execute(
            "DELETE FROM owners WHERE owner = ? AND beat < ? AND NOT EXISTS "
            "(SELECT 1 FROM orders o WHERE o.owner = owners.owner AND o.state = ?)",
            (owner, expire_before, RUNNING_STATE),
        )

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        """A write transaction, committed at the end and rolled back by an exception."""
        try:
            database = self._connect()
            database.execute("BEGIN IMMEDIATE")
            with database:
                yield database
        except sqlite3.Error as error:
            raise IdempotencyStoreError(str(error)) from None

    def _connect(self) -> sqlite3.Connection:
        if self._database is None:
            database = sqlite3.connect(
                self._path, timeout=LOCK_TIMEOUT_S, isolation_level=None, check_same_thread=False
            )
            database.execute("PRAGMA journal_mode=WAL")
            database.execute("PRAGMA synchronous=FULL")  # a commit must survive a crash of the machine
            database.executescript(SCHEMA)
            self._database = database
        return self._database
