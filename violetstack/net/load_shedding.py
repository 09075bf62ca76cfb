"""Drives the levels: a tick, their journal on a thread, and a socket for `violetstack level`."""

from __future__ import annotations

import json
import os
import socket
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.load_shedding import history
from violetstack.load_shedding.control import TICK_MS, Levels
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.router import Router

COMPLAIN_S = 60.0  # between two lines on a journal that can't be written
MAX_ASK = 64 * 1024
ASK_S = 5.0  # for one question on the socket
MOST_ASKING = 8


class JournalFile:
    """Runs on a thread: whole lines appended, rewritten with its tail when it is long."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)

    def read(self) -> history.Journal:
        try:
            return history.read(self.path.read_bytes())
        except FileNotFoundError:
            return history.Journal(())

    def set_aside(self) -> Path:
        """What can't be believed is kept for a person to look at."""
        aside = self.path.with_name(f"{self.path.name}.aside")
        self.path.replace(aside)
        return aside

    def append(self, records: list[history.Record]) -> None:
        data = b"".join(history.line(record) for record in records)
        with self.path.open("ab") as file:
            if file.tell() and not self._ends_whole():
                data = b"\n" + data  # after a torn tail
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
            size = file.tell()
        if size > history.MOST_BYTES:
            self._rewrite()

    def _ends_whole(self) -> bool:
        with self.path.open("rb") as file:
            file.seek(-1, os.SEEK_END)
            return file.read(1) == b"\n"

    def _rewrite(self) -> None:
        kept = self.read().records
        changes = [record for record in kept if not record.still][-history.KEPT :]
        beside = self.path.with_name(f"{self.path.name}.new")
        beside.write_bytes(b"".join(history.line(record) for record in [*changes, kept[-1]]))
        beside.replace(self.path)


class LevelDriver:
    def __init__(
        self, levels: Levels, core: Dispatcher, router: Router, listeners: list[Listener], cores: float
    ) -> None:
        self.levels = levels
        self.core = core
        self.router = router
        self.listeners = listeners
        self.cores = cores
        self.journal = JournalFile(levels.plan.journal) if levels.plan.journal else None
        self.complained = -COMPLAIN_S
        self.cold_ms = core.settings.slow_start_ms

    def start(self) -> None:
        """Before anything is taken: the level that the journal tells, or a cautious normal."""
        wall = time.time()
        journal = history.Journal(())
        if self.journal is not None:
            try:
                journal = self.journal.read()
            except OSError as error:
                log("level_journal_failed", error=str(error))
        names = [self.levels.machine.name_of(n) for n in range(len(self.levels.machine.specs) + 1)]
        resumed = history.resume(journal, names, wall, self.levels.plan.remember_s)
        told = journal.records or journal.spoilt or journal.newer
        if self.journal is not None and not resumed.trusted and told:
            try:
                aside = self.journal.set_aside()
                log("level_journal_corrupt", why=resumed.why, kept=str(aside))
            except OSError as error:
                log("level_journal_failed", error=str(error))
        self.levels.start(now_ms(), wall, resumed)

    async def run(self) -> None:
        due = trio.current_time()
        cpu = time.process_time()
        since = trio.current_time()
        while True:
            due = max(due + TICK_MS / 1000.0, trio.current_time())
            await trio.sleep_until(due)
            woke = trio.current_time()
            used = time.process_time()
            share = (used - cpu) / max(1e-6, woke - since) / max(0.01, self.cores)
            cpu = used
            since = woke
            self.tick((woke - due) * 1000.0, share)
            if self.journal is not None and self.levels.records:
                records = self.levels.records
                self.levels.records = []
                await self._write(self.journal, records)
            elif self.journal is None:
                self.levels.records.clear()

    async def _write(self, journal: JournalFile, records: list[history.Record]) -> None:
        """Guards the service: a full, slow or missing disk costs lines of the journal and nothing else."""
        with trio.move_on_after(5.0):
            try:
                await trio.to_thread.run_sync(journal.append, records, abandon_on_cancel=True)
                return
            except OSError as error:
                reason = str(error)
            if trio.current_time() - self.complained >= COMPLAIN_S:
                self.complained = trio.current_time()
                log("level_journal_failed", error=reason)

    def tick(self, lag_ms: float, cpu: float) -> None:
        now = now_ms()
        reader, writer = self.router.headroom(now)
        gauges = {
            "reader_free": reader,
            "writer_free": writer,
            "lag": lag_ms,
            "cpu": cpu,
            "clients": _highest(listener.table.connection_utilization for listener in self.listeners),
            "bytes": _highest(listener.table.body_utilization for listener in self.listeners),
        }
        entries = [e for e in self.core.endpoints.values() if e.server not in self.core.draining]
        cold = sum(1 for e in entries if e.started_ms is not None and now < e.started_ms + self.cold_ms)
        self.levels.tick(now, time.time(), gauges, (len(entries), cold), self.core.waiting_ratios(now))

    # --- the socket ---

    async def serve_socket(self, path: str) -> None:
        """One JSON object a line each way. Only the owner may open the socket."""
        Path(path).unlink(missing_ok=True)
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as server:
            before = os.umask(0o177)
            try:
                await server.bind(path)
            finally:
                os.umask(before)
            server.listen(MOST_ASKING)
            asking = trio.CapacityLimiter(MOST_ASKING)
            try:
                async with trio.open_nursery() as nursery:
                    while True:
                        stream, _ = await server.accept()
                        nursery.start_soon(self._asked, trio.SocketStream(stream), asking)
            finally:
                Path(path).unlink(missing_ok=True)

    async def _asked(self, stream: trio.SocketStream, asking: trio.CapacityLimiter) -> None:
        async with asking, stream:
            try:
                with trio.fail_after(ASK_S):
                    data = b""
                    while not data.endswith(b"\n") and len(data) < MAX_ASK:
                        part = await stream.receive_some(4096)
                        if not part:
                            return
                        data += part
                    await stream.send_all(json.dumps(self.answer(data)).encode() + b"\n")
            except (trio.TooSlowError, trio.BrokenResourceError):
                pass

    def answer(self, data: bytes) -> dict[str, Any]:
        try:
            asked = json.loads(data)
            handler: Callable[[dict[str, Any]], dict[str, Any]] = getattr(self, f"do_{asked['do']}")
        except (ValueError, TypeError, KeyError, AttributeError):
            return {"error": "ask one of show, history, pin, unpin"}
        return handler(asked)

    def do_show(self, asked: dict[str, Any]) -> dict[str, Any]:
        return self.levels.show(now_ms(), time.time())

    def do_history(self, asked: dict[str, Any]) -> dict[str, Any]:
        if self.journal is None:
            return {"error": "no journal is configured"}
        try:
            rows = history.history(self.journal.read(), 50)
        except OSError as error:
            return {"error": str(error)}
        return {"changes": [json.loads(history.line(row).partition(b" ")[2]) for row in rows]}

    def do_pin(self, asked: dict[str, Any]) -> dict[str, Any]:
        level = asked.get("level")
        for_ms = asked.get("for_ms")
        by = asked.get("by")
        if not isinstance(level, str) or not isinstance(for_ms, int | float) or not 0 < for_ms < 1e9:
            return {"error": "a pin needs a level and a time"}
        if not self.levels.pin(now_ms(), time.time(), level, for_ms, str(by)[:60]):
            return {"error": f"there is no level {level!r}"}
        return self.do_show(asked)

    def do_unpin(self, asked: dict[str, Any]) -> dict[str, Any]:
        self.levels.unpin()
        return self.do_show(asked)


def _highest(values: Iterable[float | None]) -> float | None:
    return max((value for value in values if value is not None), default=None)
