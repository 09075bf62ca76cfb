"""Keeps a dispatcher's state in its folder, on a thread: no disk, slow, full or gone, delays a request."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from pathlib import Path

import trio

from violetstack.config import address
from violetstack.handover.learned import Learned
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.operators import StateFile
from violetstack.protocol.discovery import WServer, WTargets
from violetstack.recovery.panic_threshold import Doubt
from violetstack.recovery.sources import AHEAD_MS, Source, Trust, merged
from violetstack.state import snapshot as kept
from violetstack.state.snapshot import Content
from violetstack.state.store import Recovered, Store, recover

LEARNED_S = 2.0  # between records of what was learned
# between two remembered hosts, and for each
VERIFY_S = 0.1
VERIFY_MOST_S = 0.5
GROUP_S = 1.0  # what came within it goes to the disk together
READ_S = 1.0  # a start waits for the disk for so long, then begins without what it has
AGAIN_S = 1.0
AGAIN_MOST_S = 60.0
LAST_S = 0.3
MOST_WAITING = 8 * 1024 * 1024


class Disk:
    """`state.store.Files` in a folder."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)

    def names(self) -> list[str]:
        self._folder.mkdir(parents=True, exist_ok=True)
        return os.listdir(self._folder)

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._put(name, data, os.O_CREAT | os.O_TRUNC)
        self._sync_folder()

    def append(self, name: str, data: bytes) -> None:
        self._put(name, data, os.O_APPEND)

    def _put(self, name: str, data: bytes, how: int) -> None:
        file = os.open(self._folder / name, os.O_WRONLY | how, 0o600)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
            os.fsync(file)
        finally:
            os.close(file)

    def rename(self, old: str, new: str) -> None:
        os.replace(self._folder / old, self._folder / new)
        self._sync_folder()

    def remove(self, name: str) -> None:
        (self._folder / name).unlink(missing_ok=True)

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class Keeper:
    """What is noted goes to the disk a second later at most, in one group with what came meanwhile."""

    def __init__(self, folder: str, seed: int) -> None:
        self._files, self._random = Disk(folder), random.Random(seed)
        self._waiting: list[bytes] = []
        self.content = Content()
        self._store: Store | None = None
        self._writing = trio.Lock()
        self.failed = 0

    async def begin(self) -> None:
        """Reads what an earlier process left. Guards a start against a disk that does not answer."""
        found: Recovered | None = None
        try:
            with trio.move_on_after(READ_S):
                found = await trio.to_thread.run_sync(recover, self._files, abandon_on_cancel=True)
        except OSError as error:
            log("state_io_failed", error=str(error), doing="read")
        if found is None:
            return
        for note in found.notes[:20]:
            log("state_corrupt", what=note)
        self.content = found.content
        self._store = Store(self._files, found)

    def note(self, frame: bytes) -> None:
        """On its way to the disk; `content` has it already."""
        if sum(map(len, self._waiting)) + len(frame) <= MOST_WAITING:
            self._waiting.append(frame)
        else:
            self._waiting = []  # the next generation has the whole
            self._store = None

    async def run(self) -> None:
        pause = GROUP_S
        while True:
            await trio.sleep(pause * (0.9 + 0.2 * self._random.random()))
            if not self._waiting:
                continue
            try:
                await self.flush()
                self.failed = 0
                pause = GROUP_S
            except Exception as error:  # no disk's failure ends the nursery
                self.failed += 1
                pause = min(AGAIN_MOST_S, AGAIN_S * 2.0**self.failed)
                log_rate_limited("state_io_failed", error=str(error), doing="write", again_s=round(pause))

    async def flush(self) -> None:
        """Raises OSError; what was to be written then is in the next generation's snapshot."""
        async with self._writing:
            await self._flush()

    async def _flush(self) -> None:
        frames = b"".join(self._waiting)
        self._waiting = []
        if not frames:
            return
        try:
            store = self._store
            if store is None:
                found = await trio.to_thread.run_sync(recover, self._files)
                store = self._store = Store(self._files, found)
            if store.due(len(frames)):
                await trio.to_thread.run_sync(store.begin, self.content.whole())
            else:
                await trio.to_thread.run_sync(store.append, frames)
        except OSError:
            self._waiting.insert(0, frames)
            raise


class Kept:
    """What a state on disk means for a start, and what goes there. `compose` tells what was learned."""

    def __init__(self, told: StateFile, seed: int, cold_ms: float, compose: Callable[[], Learned]) -> None:
        self._keeper = Keeper(told.folder, seed)
        self._cold_ms = cold_ms
        self._compose = compose
        self._random = random.Random(seed)
        self.unverified: list[WServer] = []
        self.doubt = Doubt(told.doubt or float("inf"), told.doubt_s * 1000.0)
        self._keep_ms = told.keep_hours * 3_600_000.0

    async def remembered(self, known: WTargets) -> WTargets:
        await self._keeper.begin()
        now = now_ms()
        found = self._keeper.content
        sources = [Source("known", None, known.version, tuple(known.servers))]
        if found.heard_at:
            sources.append(Source("disk", found.heard_at, found.version, tuple(found.servers.values())))
        entries = merged(sources, now, self._cold_ms, self._keep_ms)
        rows = [entry.server for entry in entries if entry.trust is not Trust.REFUSED]
        counts = {trust.value: sum(1 for e in entries if e.trust is trust) for trust in Trust}
        why = [f"{e.server.id}: {e.why}" for e in entries if e.trust is Trust.REFUSED]
        age_s = round((now - found.heard_at) / 1000.0, 1) if found.heard_at else None
        log("endpoints_recovered", age_s=age_s, why=why[:10], **counts)
        self.unverified = [entry.server for entry in entries if entry.trust is Trust.DOUBTFUL]
        return WTargets(known.version, True, rows)

    async def verify(self, gone: Callable[[WServer], None], settled: Callable[[], bool]) -> None:
        """A doubtful host that refuses a connection is none. One at a time, so that hosts see no burst.

        Ends when discovery has told the list: `settled`.
        """
        met = 0
        for server in self.unverified:
            await trio.sleep(VERIFY_S * (0.5 + self._random.random()))
            if settled():
                break
            try:
                with trio.fail_after(VERIFY_MOST_S):
                    stream = await trio.open_tcp_stream(*address(server.addr))
                await stream.aclose()
                met += 1
            except (OSError, ValueError, trio.TooSlowError) as error:
                log("recovered_endpoint_unreachable", server=server.id, error=repr(error))
                gone(server)
        if self.unverified:
            log("recovered_endpoints_verified", met=met, of=len(self.unverified))

    def learned(self) -> Learned | None:
        """What the process before this one had learned, if its time can be believed."""
        found = self._keeper.content.learned
        if found is None or not -AHEAD_MS <= now_ms() - found.at <= self._keep_ms:
            return None
        return found

    def told(self, rows: tuple[WServer, ...], version: int, *, full: bool) -> None:
        news = kept.Told(now_ms(), version, rows)
        kept.apply(self._keeper.content, news, full=full)
        self._keeper.note(kept.told(news, full=full))

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keeper.run)
            while True:
                await trio.sleep(LEARNED_S)
                self.learn()

    def learn(self) -> None:
        """What is known now goes with the next group."""
        learned = self._keeper.content.learned = self._compose()
        self._keeper.note(kept.known(learned))

    async def flush(self) -> None:
        """Raises OSError."""
        await self._keeper.flush()

    async def stop(self) -> None:
        """The last word, if the disk takes it soon."""
        with trio.move_on_after(LAST_S):
            try:
                await self._keeper.flush()
            except OSError as error:
                log("state_io_failed", error=str(error), doing="write", again_s=0)
