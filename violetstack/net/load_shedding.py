"""Drives load shedding: restores the level at startup, samples the gauges and writes the journal."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.load_shedding.headroom import headroom
from violetstack.load_shedding.journal import (
    Journal,
    JournalRecord,
    RestoredLevel,
    recent_changes,
    restore_level,
)
from violetstack.load_shedding.levels import LevelPlan
from violetstack.load_shedding.load_shedder import TICK_MS, LoadShedder
from violetstack.load_shedding.signals import EndpointCounts
from violetstack.load_shedding.status import LevelStatus
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.level_journal import LevelJournalFile
from violetstack.net.level_socket import LevelSocket
from violetstack.policy.router import Router

WRITE_TIMEOUT_S = 5.0
WRITE_ERROR_LOG_S = 60.0  # between two log lines about a journal that cannot be written
MIN_INTERVAL_S = 1e-6
MIN_CORES = 0.01


class ProcessorTime(NamedTuple):
    """Processor time used by the process at a time of the event loop's clock, both in seconds."""

    used_s: float
    at_s: float


class LoadSheddingService:
    """The load shedder of a daemon, with its timer, journal and socket.

    Attributes:
        load_shedder: Determines the current level and which requests are served at it.
    """

    def __init__(
        self,
        load_shedder: LoadShedder,
        core: Dispatcher,
        router: Router,
        listeners: Sequence[Listener],
        cores: float,
    ) -> None:
        """Creates the service; call `start`, then `run`.

        Args:
            load_shedder: The load shedder to drive.
            core: Provides the endpoint list and the waiting requests.
            router: Provides the headroom of the best hosts.
            listeners: Provide their utilization.
            cores: Processor cores available to this process.
        """
        self.load_shedder = load_shedder
        self._core = core
        self._router = router
        self._listeners = listeners
        self._cores = cores
        journal_path = load_shedder.plan.journal_path
        self._journal = LevelJournalFile(journal_path) if journal_path else None
        self._write_error_logged_s = -WRITE_ERROR_LOG_S

    def start(self) -> None:
        """Restores the level from the journal; called before requests are accepted."""
        wall_s = time.time()
        journal = Journal(()) if self._journal is None else self._read_journal(self._journal)
        names = self.load_shedder.state_machine.names
        restored = restore_level(journal, names, wall_s, self.load_shedder.plan.restore_within_s)
        has_lines = bool(journal.records or journal.corrupt_lines or journal.newer_records)
        if self._journal is not None and has_lines and not restored.is_known:
            self._set_aside(self._journal, restored)
        self.load_shedder.start(now_ms(), wall_s, restored)

    def reload(self, plan: LevelPlan) -> None:
        """Applies the levels of a reloaded operator's file."""
        self.load_shedder.reload(now_ms(), time.time(), plan)

    async def run(self) -> None:
        """Ticks every TICK_MS until cancelled."""
        tick_due_s = trio.current_time()
        last = ProcessorTime(time.process_time(), tick_due_s)
        while True:
            tick_due_s = max(tick_due_s + TICK_MS / 1000.0, trio.current_time())
            await trio.sleep_until(tick_due_s)
            sample = ProcessorTime(time.process_time(), trio.current_time())
            self._tick((sample.at_s - tick_due_s) * 1000.0, self._processor_share(last, sample))
            last = sample
            records = self.load_shedder.take_records()
            if self._journal is not None and records:
                await self._write(self._journal, records)

    async def serve_socket(self, path: str) -> None:
        """Serves `violetstack level` until cancelled.

        Raises:
            OSError: The path cannot be bound.
        """
        await LevelSocket(self).serve(path)

    # --- operations of the socket ---

    def status(self) -> LevelStatus:
        """Returns the current level and the conditions that would change it."""
        return self.load_shedder.status(now_ms(), time.time())

    def recent_changes(self, limit: int) -> list[JournalRecord] | None:
        """Returns the latest changes, newest first; None without a journal.

        Raises:
            OSError: The journal cannot be read.
        """
        return None if self._journal is None else recent_changes(self._journal.read(), limit)

    def pin(self, level: str, duration_ms: float, by: str) -> None:
        """Pins a level for `duration_ms`.

        Raises:
            UnknownLevelError: There is no such level.
        """
        self.load_shedder.pin(now_ms(), time.time(), level, duration_ms, by)

    def unpin(self) -> None:
        """Ends the pin, so that the signals determine the level again."""
        self.load_shedder.unpin()

    # --- ticks ---

    def _tick(self, lag_ms: float, processor_share: float) -> None:
        now = now_ms()
        host_headroom = headroom(self._router, now)
        tables = [listener.table for listener in self._listeners]
        gauges = {
            "reader_free": host_headroom.prefill,
            "writer_free": host_headroom.decode,
            "lag": lag_ms,
            "cpu": processor_share,
            "clients": _highest(table.connection_utilization for table in tables),
            "bytes": _highest(table.body_utilization for table in tables),
        }
        self.load_shedder.tick(
            now, time.time(), gauges, self._endpoint_counts(now), self._core.waiting_objective_ratios(now)
        )

    def _endpoint_counts(self, now: float) -> EndpointCounts:
        slow_start_ms = self._core.settings.slow_start_ms
        start_times = [
            endpoint.started_ms
            for endpoint in self._core.endpoints.values()
            if endpoint.server not in self._core.draining
        ]
        in_slow_start = sum(
            1 for started_ms in start_times if started_ms is not None and now < started_ms + slow_start_ms
        )
        return EndpointCounts(len(start_times), in_slow_start)

    def _processor_share(self, last: ProcessorTime, sample: ProcessorTime) -> float:
        interval_s = max(MIN_INTERVAL_S, sample.at_s - last.at_s)
        return (sample.used_s - last.used_s) / interval_s / max(MIN_CORES, self._cores)

    # --- journal ---

    def _read_journal(self, file: LevelJournalFile) -> Journal:
        try:
            return file.read()
        except OSError as error:
            log("level_journal_failed", error=str(error))
            return Journal(())

    def _set_aside(self, file: LevelJournalFile, restored: RestoredLevel) -> None:
        try:
            aside = file.set_aside()
        except OSError as error:
            log("level_journal_failed", error=str(error))
        else:
            log("level_journal_corrupt", why=restored.reason, kept=str(aside))

    async def _write(self, file: LevelJournalFile, records: Sequence[JournalRecord]) -> None:
        """Writes records on a thread; if the disk is full, slow or missing, only journal records are lost."""
        with trio.move_on_after(WRITE_TIMEOUT_S):
            try:
                await trio.to_thread.run_sync(file.append, records, abandon_on_cancel=True)
            except OSError as error:
                if trio.current_time() - self._write_error_logged_s >= WRITE_ERROR_LOG_S:
                    self._write_error_logged_s = trio.current_time()
                    log("level_journal_failed", error=str(error))


def _highest(values: Iterable[float | None]) -> float | None:
    return max((value for value in values if value is not None), default=None)
