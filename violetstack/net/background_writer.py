"""Writes state records in groups and on a thread, so that a slow disk does not delay requests."""

from __future__ import annotations

from random import Random

import trio

from violetstack.log import log, log_rate_limited
from violetstack.state.snapshot import StateSnapshot
from violetstack.state.store import Directory, RecoveredState, SnapshotStore, recover

COMMIT_INTERVAL_S = 1.0  # records of one interval are written together, with one sync
RECOVERY_TIMEOUT_S = 1.0  # the longest time that a start waits for the disk
FIRST_RETRY_S = 1.0
MAX_RETRY_S = 60.0
MAX_PENDING_BYTES = 8 * 1024 * 1024  # more pending records are replaced by a snapshot
MAX_PROBLEMS_LOGGED = 20


class BackgroundWriter:
    """Group commit: writes a record to disk about `COMMIT_INTERVAL_S` after it was appended.

    Attributes:
        snapshot: The current state. Callers change it and append a record of each change.
    """

    def __init__(self, directory: Directory, rng: Random) -> None:
        """Creates a writer with an empty state; `rng` spreads the commits of several processes over time."""
        self.snapshot = StateSnapshot()
        self._directory = directory
        self._rng = rng
        self._pending: list[bytes] = []
        self._store: SnapshotStore | None = None  # None: created from the directory at the next write
        self._lock = trio.Lock()
        self._failures = 0

    async def recover(self) -> None:
        """Reads the state of an earlier process; the state stays empty if the disk fails or is too slow."""
        recovered: RecoveredState | None = None
        try:
            with trio.move_on_after(RECOVERY_TIMEOUT_S):
                recovered = await trio.to_thread.run_sync(recover, self._directory, abandon_on_cancel=True)
        except OSError as error:
            log("state_io_failed", error=str(error), operation="read")
        if recovered is None:
            return
        for problem in recovered.problems[:MAX_PROBLEMS_LOGGED]:
            log("state_corrupt", detail=problem)
        self.snapshot = recovered.snapshot
        self._store = SnapshotStore(self._directory, recovered)

    def append(self, record: bytes) -> None:
        """Queues an encoded record of a change that `snapshot` already includes."""
        if sum(map(len, self._pending)) + len(record) <= MAX_PENDING_BYTES:
            self._pending.append(record)
        else:
            self._pending = []
            self._store = None  # the next write is a snapshot, which includes the dropped changes

    async def run(self) -> None:
        """Writes pending records until cancelled; after a failure, retries with exponential backoff."""
        interval_s = COMMIT_INTERVAL_S
        while True:
            await trio.sleep(interval_s * (0.9 + 0.2 * self._rng.random()))
            if not self._pending:
                continue
            try:
                await self.flush()
                self._failures = 0
                interval_s = COMMIT_INTERVAL_S
            except Exception as error:  # a failure of the disk must not end the daemon
                self._failures += 1
                interval_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**self._failures)
                log_rate_limited(
                    "state_io_failed", error=str(error), operation="write", retry_in_s=round(interval_s)
                )

    async def flush(self) -> None:
        """Writes all pending records.

        Raises:
            OSError: They could not be written. They stay pending, and the next write is a snapshot.
        """
        async with self._lock:
            records = b"".join(self._pending)
            self._pending = []
            if not records:
                return
            try:
                await self._write(records)
            except OSError:
                self._pending.insert(0, records)
                raise

    async def _write(self, records: bytes) -> None:
        """Writes on a thread; a cancellation, as at the end of the process, does not wait for the thread."""
        store = self._store
        if store is None:
            recovered = await trio.to_thread.run_sync(recover, self._directory, abandon_on_cancel=True)
            store = SnapshotStore(self._directory, recovered)
            self._store = store
        if store.snapshot_due(len(records)):
            await trio.to_thread.run_sync(
                store.write_snapshot, self.snapshot.encode(), abandon_on_cancel=True
            )
        else:
            await trio.to_thread.run_sync(store.append, records, abandon_on_cancel=True)
