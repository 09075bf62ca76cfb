"""The record of orders: what was sent where it may run, so that no retry runs it twice.

One SQLite file, shared by the dispatchers that serve the same clients. An order is known by tenant,
conversation and messages; keys (`Idempotency-Key`) point to orders. A row is committed before the order
may reach a host, and outlives the process: a row whose owner has gone away is an order that may have run.

Owners change their mark (`beat`) while they live. Whether one does is judged by watching that mark on one's
own monotonic clock, never by comparing clocks; an owner holds its orders for a lease from before its last
mark, on its own clock, and asks `holds` right before it sends. So what another has called failed is not sent.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

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
BUSY_S = 2.0


class Claim(Enum):
    """What a request for an order finds."""

    MINE = "mine"  # committed as running, it may be sent
    RUNNING = "running"
    FINISHED = "finished"  # with its outcome
    FAILED = "failed"  # it may have run
    OTHER_BODY = "other_body"  # the key was used with another body


class LedgerError(Exception):
    """The file can't be read or written now; nothing was committed."""


@dataclass(frozen=True, slots=True)
class Order:
    tenant: str
    key: str
    body: str
    digest: str


class Ledger:
    """Blocking; the net calls it from one thread, `holds` from any.

    Times are in seconds. `now` is handed in: the Unix clock's, for how long records are kept. `tick` is this
    process's monotonic clock, for who lives; it is read before and after what it times.
    """

    def __init__(
        self,
        path: str | Path,
        owner: str,
        keep_s: float,
        lease_s: float,
        tick: Callable[[], float] = time.monotonic,
    ) -> None:
        self._tick = tick
        self._path = str(path)
        self._owner = owner
        self._keep_s = keep_s
        self._lease_s = lease_s
        self._liveness = LivenessMonitor(lease_s)
        self._mark, self._until = 0.0, float("-inf")
        self._db: sqlite3.Connection | None = None

    def _open(self) -> sqlite3.Connection:
        if self._db is None:
            db = sqlite3.connect(self._path, timeout=BUSY_S, isolation_level=None, check_same_thread=False)
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")  # a commit that a crash can undo is none
            db.executescript(SCHEMA)
            self._db = db
        return self._db

    def close(self) -> None:
        if self._db is not None:
            self._db.close()
            self._db = None

    def holds(self) -> bool:
        """May what this owner claimed still be sent? Not once another may have called it failed."""
        return self._tick() < self._until

    def beat(self, now: float) -> None:
        """Tells the other owners that this one lives, looks who of them does; and forgets what is past its
        time."""
        began = self._tick()
        try:
            db = self._open()
            db.execute("BEGIN IMMEDIATE")
            with db:
                mark = now if now != self._mark else now + 0.001  # a clock set back may tell a time again
                db.execute("INSERT OR REPLACE INTO owners VALUES (?, ?)", (self._owner, mark))
                old = now - self._keep_s
                db.execute("DELETE FROM orders WHERE at < ? AND state != 'running'", (old,))
                others = "SELECT owner, beat FROM owners WHERE owner != ?"
                marks = db.execute(others, (self._owner,)).fetchall()
                read = self._tick()
                silent = [
                    owner for owner, beat in marks if self._liveness.is_expired(began, read, owner, beat)
                ]
                for owner in silent:
                    db.execute("DELETE FROM orders WHERE at < ? AND owner = ?", (old, owner))
                    db.execute(
                        "DELETE FROM owners WHERE owner = ? AND beat < ? AND NOT EXISTS "
                        "(SELECT 1 FROM orders o WHERE o.owner = owners.owner AND o.state = 'running')",
                        (owner, old),
                    )
                db.execute(
                    "DELETE FROM keys WHERE NOT EXISTS (SELECT 1 FROM orders o "
                    "WHERE o.tenant = keys.tenant AND o.digest = keys.digest)"
                )
        except sqlite3.Error as error:
            raise LedgerError(str(error)) from None
        self._mark = mark
        self._until = began + self._lease_s

    def claim(self, order: Order, now: float) -> tuple[Claim, bytes]:
        """Commits the order as running, or tells what became of it."""
        began = self._tick()
        try:
            db = self._open()
            db.execute("BEGIN IMMEDIATE")
            with db:
                return self._claim(db, order, now, began)
        except sqlite3.Error as error:
            raise LedgerError(str(error)) from None

    def _claim(self, db: sqlite3.Connection, order: Order, now: float, began: float) -> tuple[Claim, bytes]:
        row = db.execute(
            "SELECT body FROM keys WHERE tenant = ? AND key = ?", (order.tenant, order.key)
        ).fetchone()
        if row is not None and row[0] != order.body:
            return Claim.OTHER_BODY, b""
        found = db.execute(
            "SELECT state, owner, outcome FROM orders WHERE tenant = ? AND digest = ?",
            (order.tenant, order.digest),
        ).fetchone()
        state = found[0] if found is not None else "free"
        if state == "running" and not self._lives(db, found[1], began):
            # Guards against an order run again after its owner died: nobody knows how far it came.
            state = "failed"
            self._set(db, order, "failed", b"", now)
        if row is None:
            db.execute(
                "INSERT INTO keys VALUES (?, ?, ?, ?)",
                (order.tenant, order.key, order.body, order.digest),
            )
        if state != "free":
            return Claim(state), found[2] or b""
        db.execute("INSERT OR IGNORE INTO owners VALUES (?, ?)", (self._owner, now))
        db.execute(
            "INSERT OR REPLACE INTO orders VALUES (?, ?, 'running', ?, NULL, ?)",
            (order.tenant, order.digest, self._owner, now),
        )
        return Claim.MINE, b""

    def _lives(self, db: sqlite3.Connection, owner: str, began: float) -> bool:
        if owner == self._owner:
            return True
        row = db.execute("SELECT beat FROM owners WHERE owner = ?", (owner,)).fetchone()
        return not self._liveness.is_expired(began, self._tick(), owner, None if row is None else row[0])

    def _set(self, db: sqlite3.Connection, order: Order, state: str, outcome: bytes, now: float) -> None:
        db.execute(
            "UPDATE orders SET state = ?, outcome = ?, at = ? WHERE tenant = ? AND digest = ?",
            (state, outcome, now, order.tenant, order.digest),
        )

    def settle(self, order: Order, state: Claim | None, outcome: bytes, now: float) -> bool:
        """Finished or failed; None frees an order that provably did not run. False: another has judged it."""
        try:
            db = self._open()
            db.execute("BEGIN IMMEDIATE")
            with db:
                found = db.execute(
                    "SELECT state, owner FROM orders WHERE tenant = ? AND digest = ?",
                    (order.tenant, order.digest),
                ).fetchone()
                if found != ("running", self._owner):
                    return False
                self._set(db, order, "free" if state is None else state.value, outcome, now)
                return True
        except sqlite3.Error as error:
            raise LedgerError(str(error)) from None
