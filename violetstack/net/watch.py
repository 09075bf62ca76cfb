"""Discovery's watch: a connection that stays open, and others that are opened before it is given up."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Callable

import trio

from violetstack.config import Address
from violetstack.core.backoff import Backoff
from violetstack.log import log_rate_limited
from violetstack.policy_api import UpdateScope
from violetstack.protocol.discovery import BadList, ListReader, Targets, Values
from violetstack.protocol.host_side import Body, Broken, End, Head, HostSide

# An empty line is due every 2 s, and what a silent watch misses counts as told 6 s after it fell silent,
# at the earliest 6 s after its last word. So another is opened a second after a line did not come.
SILENT_S = 3.0
CONNECT_S = 2.0
UNHEARD_S = 1.5  # an agent on this machine answers within milliseconds, or not on this connection
AGAIN_S = 0.2  # without an answer from it, one more connection is opened beside those that wait
MOST_LINES = 10  # at once
APART_S = 0.05  # two are opened no sooner after each other: guards the processor where each ends at once


class TurnedAway(Broken):
    """Discovery answered, and not with a list."""


class Line:
    """One connection to discovery, which has told nothing yet, or is the one whose word counts."""

    def __init__(self, at: Address, index: int | None) -> None:
        # no index: the whole list comes first
        self.at = at
        self.index = index
        self.scope = trio.CancelScope()
        self.stream: trio.SocketStream | None = None
        self.alive_at = trio.current_time()  # its last whole word; a part of one is none
        self.heard = self.silent = self.dropped = False

    def drop(self) -> None:
        """Guards against its word after another's: what it has not told by now it does not tell any more.

        That holds for what has been read as well: a return of discovery answers all that wait in one instant.
        """
        self.dropped = True
        self.scope.cancel()

    def pending(self) -> bool:
        stream = self.stream
        return stream is not None and stream.socket.fileno() >= 0 and stream.socket.is_readable()


class Watch:
    """Tells what discovery tells, for ever.

    What an agent on this machine has counts as told whether or not a watch is open, and news that a silent
    watch misses after a while. So a watch that ended is opened again at once; one that fell silent, or that a
    new address replaces, is heard until another has told something.
    """

    def __init__(
        self,
        at: Address,
        reader: ListReader,
        version: int | None,
        told: Callable[[Targets], None],
        again: Backoff,
    ) -> None:
        self.confirmed: Callable[[], None] = lambda: None  # nothing has changed since `version`
        self.at = at
        self._reader = reader
        self._told = told
        self._again = again
        self.heard = trio.Event()  # discovery has told something
        self.version: int | None = version  # None: nothing that its changes could be asked from
        self._whole = version is None  # the whole list is owed, whatever is known
        self._line: Line | None = None
        self._lines: set[Line] = set()
        self._lost = True
        self._next_at = -math.inf
        self._opened_at = -math.inf
        self._stir = trio.Event()

    def pending(self) -> bool:
        return any(line.pending() for line in self._lines)

    def move(self, at: Address) -> None:
        """Another address from now on.

        The old watch's news count until the new discovery has told its whole list, which replaces the old one
        in the same step: versions of the one mean nothing to the other.
        """
        if at == self.at:
            return
        self.at = at
        self._again.answered()
        self.ask_again()

    def ask_again(self) -> None:
        """The whole list, whatever is known; what is known stays in use until it has come."""
        self._whole = True
        for line in [line for line in self._lines if not line.heard]:
            line.drop()
        self._lose(self._again.next_s(turned_away=False))

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                waiting = sum(not line.heard for line in self._lines)
                if self._lost and trio.current_time() >= self._next_at and waiting < MOST_LINES:
                    line = Line(self.at, None if self._whole else self.version)
                    self._lines.add(line)
                    self._opened_at = line.alive_at
                    self._next_at = line.alive_at + AGAIN_S if self._again.agent else math.inf
                    nursery.start_soon(self._follow, line)
                with trio.move_on_at(self._next_at if self._lost and waiting < MOST_LINES else math.inf):
                    await self._stir.wait()
                self._stir = trio.Event()

    # --- whose word counts ---

    def _lose(self, wait_s: float) -> None:
        self._lost = True
        self._next_at = max(trio.current_time() + wait_s, self._opened_at + APART_S)
        self._stir.set()

    def _take(self, line: Line) -> None:
        """Its word counts from here on, and no other's."""
        line.heard = True
        self._line = line
        self._lost = self._whole
        for other in self._lines - {line}:
            if other.heard or other.index is not None or not self._whole:
                other.drop()
        if not self._lost:
            self._again.answered()
        self._stir.set()

    def _alive(self, line: Line) -> None:
        line.alive_at = trio.current_time()
        if line.silent:
            line.silent = False
            self._take(line)

    async def _follow(self, line: Line) -> None:
        error: Exception | None = None
        with line.scope:
            try:
                await self._talk(line)
            except (OSError, Broken, trio.BrokenResourceError, trio.TooSlowError, BadList) as caught:
                error = caught
        self._lines.discard(line)
        self._stir.set()
        if line.dropped:
            return
        log_rate_limited("watch_closed", index=line.index, error=repr(error)[:200])
        away = isinstance(error, TurnedAway)
        bad = isinstance(error, BadList)
        self._whole = self._whole or bad  # guards against the same bad list, asked for again from its index
        if line is self._line:
            self._line = None
            if not self._lost:
                self._lose(self._again.next_s(turned_away=away, bad=bad))
        elif self._lost:
            wait_s = self._again.next_s(turned_away=away, bad=bad)
            if away or bad or not any(not each.heard for each in self._lines):
                self._lose(wait_s)

    # --- the connection ---

    async def _talk(self, line: Line) -> None:
        while True:
            await self._connect(line)
            assert line.stream is not None
            async with line.stream as stream:
                http = HostSide()
                if line.index is None:
                    await self._whole_list(line, stream, http)
                    if not http.reuse():
                        continue  # the changes follow on a connection of their own
                target = f"/api/targets?stream=1&index={line.index}"
                async for value in self._get(line, stream, http, target):
                    self._word(line, value)
                raise Broken("the watch has ended")

    async def _connect(self, line: Line) -> None:
        with trio.fail_after(UNHEARD_S if self._again.agent else CONNECT_S):
            line.stream = await trio.open_tcp_stream(*line.at)

    async def _whole_list(self, line: Line, stream: trio.SocketStream, http: HostSide) -> None:
        told = False
        async for value in self._get(line, stream, http, "/api/targets"):
            if value:
                if told:
                    raise BadList("two lists where one was asked for")
                told = True
                targets = self._reader.read(value)
                if targets.news.scope is UpdateScope.DELTA:
                    raise BadList("the whole list was asked for and a change came")
                self._whole = False
                self._take(line)
                self._tell(line, targets)
        if not told:
            raise BadList("no list where the whole one was asked for")

    def _word(self, line: Line, value: bytes) -> None:
        """A whole object or an empty line of the watch."""
        targets = self._read(line, value) if value else None
        self._alive(line)
        if line is not self._line:
            self._take(line)
        if targets is not None:
            self._tell(line, targets)
        elif not value and not self.heard.is_set():
            self.heard.set()
            self.confirmed()

    def _read(self, line: Line, value: bytes) -> Targets | None:
        try:
            return self._reader.read(value)
        except BadList as error:
            if not line.heard:
                raise
            log_rate_limited("endpoint_list_invalid", index=self.version, error=str(error)[:200])
            if not self._whole:
                self._whole = True
                self._lose(self._again.next_s(bad=True))
            return None

    def _tell(self, line: Line, targets: Targets) -> None:
        news = targets.news
        delta = news.scope is UpdateScope.DELTA
        if delta and self.version is not None and news.version < self.version:
            # Guards against news that were overtaken. A whole list counts whatever its version: discovery may
            # have begun anew, and what it has is what there is.
            log_rate_limited("endpoint_list_stale", version=news.version, known=self.version)
            return
        self.version = line.index = news.version
        self._told(targets)
        self.heard.set()

    async def _get(
        self, line: Line, stream: trio.SocketStream, http: HostSide, target: str
    ) -> AsyncIterator[bytes]:
        """An answer's objects and empty lines as they come whole."""
        for part in http.request("GET", target, [("Host", f"{line.at[0]}:{line.at[1]}")]):
            await stream.send_all(part)
        values = Values()
        while True:
            http.check()
            received = await self._receive(line, stream)
            for event in http.feed(bytes(received)):
                if isinstance(event, Head) and event.status != 200:
                    raise TurnedAway(f"status {event.status}")
                if isinstance(event, Body):
                    for value in values.feed(event.data):
                        await trio.lowlevel.checkpoint_if_cancelled()
                        yield value
                if isinstance(event, End):
                    return

    async def _receive(self, line: Line, stream: trio.SocketStream) -> bytes:
        """Guards against silence and words that never end: only a whole one is a sign of life."""
        while True:
            if line.silent:
                return bytes(await stream.receive_some(64 * 1024))
            patience = SILENT_S if line.heard or not self._again.agent else UNHEARD_S
            with trio.move_on_at(line.alive_at + patience):
                return bytes(await stream.receive_some(64 * 1024))
            if stream.socket.is_readable():
                return bytes(await stream.receive_some(64 * 1024))  # this process had not looked
            if not line.heard:
                raise trio.TooSlowError
            line.silent = True
            log_rate_limited("watch_stalled", index=self.version)
            if line is self._line and not self._lost:
                self._lose(self._again.next_s(turned_away=False))
