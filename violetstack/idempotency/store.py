"""Durable records of non-idempotent requests.

Dispatchers that serve the same clients share one SQLite file. A request is identified by its tenant,
conversation and messages; values of the ``Idempotency-Key`` header refer to such requests. A record is
committed before its request may be sent to a host, and it outlives the process: if the owner of a record in
state running has failed, the request may have been executed.

Each dispatcher holds a lease on the requests that it has claimed, and renews it by changing its heartbeat in
the file. The other dispatchers measure the time since the last change with their own monotonic clocks; clocks
of two machines are never compared. Wall clocks are not used either: the age of records is measured by the
clock of the file (`RetentionClock`). The owner counts its lease from before it wrote the heartbeat, and
checks it right before it sends a request. So it no longer sends a request that another dispatcher has
declared failed.

The names of the tables, columns and states are those of the first release, which may use the same file.
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
RUNNING_STATE = "running"  # the stored state of a request between its claim and its outcome
LOCK_TIMEOUT_S = 2.0
HEARTBEAT_STEP_S = 0.001  # increment if the clock has not advanced since the last heartbeat


class ClaimStatus(Enum):
    """The result of claiming a request."""

    ACQUIRED = "acquired"  # the request is recorded as running, and the caller may send it
    RUNNING = "running"  # the request was claimed before and is still running
    COMPLETED = "finished"  # a response is recorded
    FAILED = "failed"  # the request may have been executed
    KEY_REUSED = "other_body"  # the key was used for a request with another body


class Outcome(Enum):
    """How a running request ended; the values are the stored states."""

    COMPLETED = "finished"
    FAILED = "failed"  # the request may have been executed
    RELEASED = "free"  # the request was certainly not executed, and may be claimed again


class IdempotencyStoreError(Exception):
    """The file cannot be read or written, and nothing was committed.

    Attributes:
        reason: The cause, for the log.
    """

    def __init__(self, reason: str) -> None:
        """Creates the error with the reason for the log."""
        super().__init__(reason)
        self.reason = reason


class KeyedRequest(msgspec.Struct, frozen=True):
    """A request with an idempotency key.

    Attributes:
        tenant: Name of the tenant; keys of different tenants are independent.
        key: Value of the ``Idempotency-Key`` header, and who wrote it.
        fingerprint: Hash of the body, to detect that a key is reused with another body.
        digest: Hash of tenant, conversation and messages, which identifies the request whatever its key.
    """

    tenant: str
    key: str
    fingerprint: str
    digest: str


class ClaimResult(NamedTuple):
    """The status of a claim, and the recorded response if the status is COMPLETED."""

    status: ClaimStatus
    response: bytes


class _StoredRequest(NamedTuple):
    """A row of the table `orders` without its primary key."""

    state: str
    owner: str
    outcome: bytes | None


class RetentionClock:
    """The clock of the file: the time in seconds that the processes using the file have measured together.

    The latest heartbeat in the file is the clock's time when it was written. Each process adds the time that
    its own monotonic clock has measured since it last read the file. So the clock never runs faster than real
    time, whatever the wall clocks do, and it stops while no process runs: a record may be kept for longer
    than the retention time, but never for less.

    Only the first process that uses a file starts the clock with the Unix time, since an earlier release that
    shares the file compares its own time with it. Such a release still uses its wall clock.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Creates a clock that was not read yet; `monotonic` returns seconds."""
        self._monotonic = monotonic
        self._last_read_at = 0.0
        self._last_reading_s = float("-inf")

    def read(self, database: sqlite3.Connection) -> float:
        """Returns the time of the file; must be called within a write transaction."""
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
    """Keeps the records in an SQLite file.

    All methods block. `holds_lease` may be called from any thread, the other methods from one thread at a
    time.
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
            path: Path of the SQLite file, which is created if it does not exist.
            owner: Unique name of this process.
            retention_s: How long records of ended requests are kept.
            lease_s: Lease duration: how long after its last heartbeat an owner keeps the requests it claimed.
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
        """Writes a heartbeat, observes the heartbeats of other owners, and deletes expired records.

        Raises:
            IdempotencyStoreError: The lease was not renewed.
        """
        started_at = self._monotonic()
        with self._transaction() as database:
            now_s = self._clock.read(database)
            expire_before = now_s - self._retention_s
            # An owner counts as alive while its heartbeat changes, so it must never stay the same.
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
        """Records a request as running, or returns the existing record.

        Args:
            request: The request; its key is recorded too.

        Raises:
            IdempotencyStoreError: Nothing was recorded, so the request must not be sent.
        """
        started_at = self._monotonic()
        with self._transaction() as database:
            return self._claim(database, request, self._clock.read(database), started_at)

    def record_outcome(self, request: KeyedRequest, outcome: Outcome, response: bytes) -> bool:
        """Records how a request that this process claimed has ended.

        Args:
            request: The claimed request.
            outcome: How it ended.
            response: The response for retries if the outcome is COMPLETED.

        Returns:
            False if the lease was lost and another owner has recorded the request as failed; that is not
            changed.

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
            # Its owner may have sent it before it failed, so the request must not be executed again.
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
        """Returns the owners whose heartbeat has not changed for a whole lease."""
        rows = database.execute("SELECT owner, beat FROM owners WHERE owner != ?", (self._owner,)).fetchall()
        read_at = self._monotonic()
        return [owner for owner, beat in rows if self._liveness.is_expired(started_at, read_at, owner, beat)]

    def _delete_owner_records(self, database: sqlite3.Connection, owner: str, expire_before: float) -> None:
        """Deletes expired records of a failed owner, and the owner itself once it has no running request."""
        database.execute("DELETE FROM orders WHERE at < ? AND owner = ?", (expire_before, owner))
        database.execute(
            "DELETE FROM owners WHERE owner = ? AND beat < ? AND NOT EXISTS "
            "(SELECT 1 FROM orders o WHERE o.owner = owners.owner AND o.state = ?)",
            (owner, expire_before, RUNNING_STATE),
        )

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        """Opens a write transaction that is committed at the end and rolled back by an exception."""
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
            database.execute("PRAGMA synchronous=FULL")  # commits must survive a crash of the machine
            database.executescript(SCHEMA)
            self._database = database
        return self._database
