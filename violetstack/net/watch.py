"""The watch of the endpoint list: one long-lived connection to discovery, and its replacements.

What an agent on this machine has counts as known to the dispatcher whether or not a watch is open, and so
does a change that a stalled watch has missed for a while. A watch that ended is therefore opened again at
once; one that has stalled, or whose discovery has a new address, is read until another has sent something.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Callable

import trio

from violetstack.config import Address
from violetstack.core.backoff import MAX_WINDOW_S, Backoff
from violetstack.log import log_rate_limited
from violetstack.net.descriptor_reserve import DescriptorReserve, open_tcp_connection
from violetstack.net.transient_errors import is_readable
from violetstack.policy_api import UpdateScope
from violetstack.protocol.discovery import (
    EndpointListDecoder,
    EndpointListError,
    JsonObjectSplitter,
    WatchEvent,
)
from violetstack.protocol.http_client import (
    HttpClientConnection,
    InvalidResponseError,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)

TARGETS_PATH = "/api/targets"
# Discovery sends an empty line every 2 s, and a change that a stalled watch misses counts as known 6 s after
# the watch stalled. So another connection is opened a second after a line did not come.
STALLED_S = 3.0
CONNECT_S = 2.0
FIRST_WORD_S = 3.0  # from the beginning of a connection to the end of its first object or empty line
HEDGE_S = 0.2  # without an answer from an agent, one more connection is opened beside those that wait
SLOW_HEDGE_S = 0.5  # the same while many wait: none that is still open after FIRST_WORD_S bars the next one
MANY_WAITING = 5
MAX_WAITING = 10  # connections that have sent nothing yet
MIN_INTERVAL_S = 0.05  # between two connections: bounds processor time where each ends at once
# The longest time from the beginning of one connection to that of the next, for as long as none is current.
MAX_INTERVAL_S = MAX_WINDOW_S
MIN_WAIT_S = 0.5  # after a connection that took almost all of that time to fail
SPARE_DESCRIPTORS = 4  # for connections to discovery while clients hold all others
RECEIVE_BYTES = 64 * 1024
MAX_ERROR_LENGTH = 200


class DiscoveryRejectedError(InvalidResponseError):
    """Discovery answered with another status than 200."""


class WatchConnection:
    """One connection to discovery: it waits for its first word, or it is the current one, or it has stalled.

    `index` is the version that changes are asked for from; None: the complete list is asked for first.
    """

    def __init__(self, address: Address, index: int | None) -> None:
        """Connects to nothing yet."""
        self.address = address
        self.index = index
        self.scope = trio.CancelScope()
        self.stream: trio.SocketStream | None = None
        self.alive_at = trio.current_time()  # of the last complete object or empty line
        self.read_at = self.alive_at  # of the last read, whatever came
        self.heard = False  # it has sent something that was taken
        self.stalled = False
        self.dropped = False

    def drop(self) -> None:
        """Ends the connection; nothing of it counts any more, and what has been read of it does not either.

        When discovery comes back it answers all that wait in one instant, so a dropped connection may have
        unread data that is older than what another has sent.
        """
        self.dropped = True
        self.scope.cancel()

    def has_unread_input(self) -> bool:
        """Is there anything unread?"""
        stream = self.stream
        if stream is None or stream.socket.fileno() < 0:
            return False
        return is_readable(stream.socket, if_unknown=False)


class Watch:
    """Calls `on_event` with each list and change that discovery sends, until it is cancelled.

    `on_unchanged` is called once if the first word is an empty line: nothing has changed since `version`.
    """

    def __init__(
        self,
        address: Address,
        decoder: EndpointListDecoder,
        version: int | None,
        backoff: Backoff,
        *,
        on_event: Callable[[WatchEvent], None],
        on_unchanged: Callable[[], None],
    ) -> None:
        """`version` is that of the list that is known; None: the complete list is asked for first."""
        self.address = address
        self.heard = trio.Event()  # set once discovery has sent something
        self.version: int | None = version  # None: no list is known that changes could be asked for from
        self._decoder = decoder
        self._backoff = backoff
        self._on_event = on_event
        self._on_unchanged = on_unchanged
        self._list_owed = version is None  # the complete list is to be asked for
        self._current: WatchConnection | None = None
        self._connections: set[WatchConnection] = set()
        self._lost = True
        self._next_at = -math.inf
        self._opened_at = -math.inf
        self._changed = trio.Event()
        self._reserve = DescriptorReserve(SPARE_DESCRIPTORS)

    @property
    def connection_count(self) -> int:
        """Of connections that are open or being opened."""
        return len(self._connections)

    @property
    def reconnecting(self) -> bool:
        """Is another connection to be opened, since none is current or the complete list is missing?"""
        return self._lost

    def has_unread_input(self) -> bool:
        """Is anything unread on any connection?"""
        return any(connection.has_unread_input() for connection in self._connections)

    def move(self, address: Address) -> None:
        """Watches another address from now on.

        Changes from the old one count until the new one has sent its complete list, which replaces the old
        list in the same step: the versions of the two are not comparable.
        """
        if address == self.address:
            return
        self.address = address
        self._backoff.answered()
        self.request_list()

    def request_list(self) -> None:
        """Asks for the complete list; what is known stays in use until it has come."""
        self._list_owed = True
        for connection in [each for each in self._connections if not each.heard]:
            connection.drop()
        self._lose(turned_away=False)

    async def run(self) -> None:
        """Opens connections when they are due, until cancelled."""
        self._reserve.refill()
        try:
            async with trio.open_nursery() as nursery:
                await self._open_when_due(nursery)
        finally:
            self._reserve.close()

    async def _open_when_due(self, nursery: trio.Nursery) -> None:
        while True:
            if self._lost and trio.current_time() >= self._next_at and self._waiting < MAX_WAITING:
                self._open(nursery)
            due = self._next_at if self._lost and self._waiting < MAX_WAITING else math.inf
            with trio.move_on_at(due):
                await self._changed.wait()
            self._changed = trio.Event()

    # --- which connection counts ---

    def _open(self, nursery: trio.Nursery) -> None:
        connection = WatchConnection(self.address, None if self._list_owed else self.version)
        self._connections.add(connection)
        self._opened_at = connection.alive_at
        self._next_at = connection.alive_at + self._hedge_s()
        nursery.start_soon(self._follow, connection)

    @property
    def _waiting(self) -> int:
        return sum(not connection.heard for connection in self._connections)

    def _hedge_s(self) -> float:
        if not self._backoff.agent:
            return MAX_INTERVAL_S
        return HEDGE_S if self._waiting < MANY_WAITING else SLOW_HEDGE_S

    def _lose(self, *, turned_away: bool, bad: bool = False) -> None:
        """Has another connection opened after the wait of one more failure.

        A call that took long to fail is waited after for less, so that the next one begins in time.
        """
        now = trio.current_time()
        since = self._opened_at if self._lost else now
        longest_s = max(MIN_WAIT_S, since + MAX_INTERVAL_S - now)
        wait_s = self._backoff.next_s(turned_away=turned_away, bad=bad, longest_s=longest_s)
        self._lost = True
        self._next_at = max(now + wait_s, self._opened_at + MIN_INTERVAL_S)
        self._changed.set()

    def _make_current(self, connection: WatchConnection) -> None:
        """Takes changes from this connection on, and drops those that it makes superfluous."""
        connection.heard = True
        self._current = connection
        self._lost = self._list_owed
        for other in self._connections - {connection}:
            if other.heard or other.index is not None or not self._list_owed:
                other.drop()
        if not self._lost:
            self._backoff.answered()
        self._changed.set()

    def _mark_alive(self, connection: WatchConnection) -> None:
        connection.alive_at = trio.current_time()
        if connection.stalled:
            connection.stalled = False
            self._make_current(connection)

    async def _follow(self, connection: WatchConnection) -> None:
        error: Exception | None = None
        with connection.scope:
            try:
                await self._converse(connection)
            except (
                OSError,
                InvalidResponseError,
                trio.BrokenResourceError,
                trio.TooSlowError,
                EndpointListError,
            ) as caught:
                error = caught
        self._connections.discard(connection)
        self._changed.set()
        if connection.dropped:
            return
        log_rate_limited("watch_closed", index=connection.index, error=repr(error)[:MAX_ERROR_LENGTH])
        self._closed(connection, error)

    def _closed(self, connection: WatchConnection, error: Exception | None) -> None:
        rejected = isinstance(error, DiscoveryRejectedError)
        invalid = isinstance(error, EndpointListError)
        # An invalid change would come again if it were asked for from the same index.
        self._list_owed = self._list_owed or invalid
        if connection is self._current:
            self._current = None
            if not self._lost:
                self._lose(turned_away=rejected, bad=invalid)
        elif self._lost and (rejected or invalid or all(other.heard for other in self._connections)):
            self._lose(turned_away=rejected, bad=invalid)

    # --- the exchange on one connection ---

    async def _converse(self, connection: WatchConnection) -> None:
        while True:
            stream = await self._connect(connection)
            try:
                await self._exchange(connection, stream)
            finally:
                self._reserve.close_socket(stream.socket)

    async def _exchange(self, connection: WatchConnection, stream: trio.SocketStream) -> None:
        """Follows the changes, after the complete list if that is asked for.

        Returns if the changes have to be asked for on another connection.
        """
        http = HttpClientConnection()
        if connection.index is None:
            await self._fetch_list(connection, stream, http)
            if not http.reuse():
                return
        target = f"{TARGETS_PATH}?stream=1&index={connection.index}"
        async for value in self._get(connection, stream, http, target):
            self._receive_value(connection, value)
        raise InvalidResponseError("the watch has ended")

    async def _connect(self, connection: WatchConnection) -> trio.SocketStream:
        with trio.fail_after(CONNECT_S):
            stream = await open_tcp_connection(connection.address, self._reserve)
        connection.stream = stream
        return stream

    async def _fetch_list(
        self, connection: WatchConnection, stream: trio.SocketStream, http: HttpClientConnection
    ) -> None:
        received = False
        async for value in self._get(connection, stream, http, TARGETS_PATH):
            if not value:
                continue
            if received:
                raise EndpointListError("two lists where one was asked for")
            received = True
            event = self._decoder.decode(value)
            if event.update.scope is UpdateScope.DELTA:
                raise EndpointListError("the whole list was asked for and a change came")
            self._list_owed = False
            connection.alive_at = trio.current_time()
            self._make_current(connection)
            self._publish(connection, event)
        if not received:
            raise EndpointListError("no list where the whole one was asked for")

    def _receive_value(self, connection: WatchConnection, value: bytes) -> None:
        """A complete object, or an empty line, of the stream of changes."""
        event = self._decode(connection, value) if value else None
        self._mark_alive(connection)
        if connection is not self._current:
            self._make_current(connection)
        if event is not None:
            self._publish(connection, event)
        elif not value and not self.heard.is_set():
            self.heard.set()
            self._on_unchanged()

    def _decode(self, connection: WatchConnection, value: bytes) -> WatchEvent | None:
        try:
            return self._decoder.decode(value)
        except EndpointListError as error:
            if not connection.heard:
                raise
            log_rate_limited("endpoint_list_invalid", index=self.version, error=str(error)[:MAX_ERROR_LENGTH])
            if not self._list_owed:
                self._list_owed = True
                self._lose(turned_away=True, bad=True)
            return None

    def _publish(self, connection: WatchConnection, event: WatchEvent) -> None:
        update = event.update
        is_change = update.scope is UpdateScope.DELTA
        if is_change and self.version is not None and update.version < self.version:
            # The change was overtaken. A complete list counts whatever its version: discovery may have begun
            # anew, and what it has is what there is.
            log_rate_limited("endpoint_list_stale", version=update.version, known=self.version)
            if connection.index is not None and update.version < connection.index:
                raise EndpointListError(f"version {update.version} after {connection.index}")
            return
        self.version = update.version
        connection.index = update.version
        try:
            self._on_event(event)
        except Exception as error:  # no list may end the dispatcher
            raise EndpointListError(f"not applied: {error!r}") from error
        self.heard.set()

    async def _get(
        self, connection: WatchConnection, stream: trio.SocketStream, http: HttpClientConnection, target: str
    ) -> AsyncIterator[bytes]:
        """The objects and empty lines of a response, each when it is complete."""
        host = f"{connection.address[0]}:{connection.address[1]}"
        for part in http.request("GET", target, [("Host", host)]):
            await stream.send_all(part)
        splitter = JsonObjectSplitter()
        while True:
            http.check()
            received = await self._receive(connection, stream)
            for event in http.feed(bytes(received)):
                if isinstance(event, ResponseHead) and event.status != 200:
                    raise DiscoveryRejectedError(f"status {event.status}")
                if isinstance(event, ResponseData):
                    for value in splitter.feed(event.data):
                        await trio.lowlevel.checkpoint_if_cancelled()
                        yield value
                if isinstance(event, ResponseEnd):
                    return

    async def _receive(self, connection: WatchConnection, stream: trio.SocketStream) -> bytes:
        """The next bytes; a connection without a complete object or line for too long stalls or ends.

        Raises trio.TooSlowError for one that has sent nothing yet. Incomplete objects are no sign of life.
        """
        if not connection.stalled:
            deadline = connection.alive_at + (STALLED_S if connection.heard else FIRST_WORD_S)
            with trio.move_on_at(deadline):
                return await self._read(connection, stream)
            # If this process has not read since the deadline, it may have been stopped: what came counts.
            if connection.read_at > deadline or not is_readable(stream.socket, if_unknown=False):
                self._give_up(connection)
        return await self._read(connection, stream)

    async def _read(self, connection: WatchConnection, stream: trio.SocketStream) -> bytes:
        received = await stream.receive_some(RECEIVE_BYTES)
        connection.read_at = trio.current_time()
        return bytes(received)

    def _give_up(self, connection: WatchConnection) -> None:
        """Marks the connection as stalled, and has another opened; it is still read.

        Raises trio.TooSlowError for one that has sent nothing yet.
        """
        if not connection.heard:
            raise trio.TooSlowError
        connection.stalled = True
        log_rate_limited("watch_stalled", index=self.version)
        if connection is self._current and not self._lost:
            self._lose(turned_away=False)
