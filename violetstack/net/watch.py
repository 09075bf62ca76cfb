"""The watch of the endpoint list: a long-lived connection to discovery that is replaced when it fails.

A change counts as known to the dispatcher as soon as an agent on this machine has it, whether or not a watch
is open, and some time after a stalled watch has missed it. A watch that ended is therefore reopened at once.
A watch that has stalled, or whose discovery has a new address, is still read until another connection has
sent something.
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
    MAX_OBJECT_BYTES,
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
# Discovery sends an empty line every 2 s as a heartbeat, and a change that a stalled watch misses counts as
# known 6 s after the watch stalled. So another connection is opened 1 s after a heartbeat is overdue.
STALL_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 2.0
FIRST_MESSAGE_TIMEOUT_S = 3.0  # from opening a connection to its first complete object or empty line
HEDGE_DELAY_S = 0.2  # after it without an answer from an agent, one more connection is opened
# The delay while SLOW_HEDGE_MIN_WAITING or more connections wait. At this rate connections time out after
# FIRST_MESSAGE_TIMEOUT_S before MAX_WAITING_CONNECTIONS is reached, so they never block the next one.
SLOW_HEDGE_DELAY_S = 0.5
SLOW_HEDGE_MIN_WAITING = 5
MAX_WAITING_CONNECTIONS = 10  # connections that have sent nothing yet
MIN_CONNECT_INTERVAL_S = 0.05  # bounds processor time if every connection ends at once
# The longest time from the start of one connection to the start of the next, while no connection is current.
MAX_CONNECT_INTERVAL_S = MAX_WINDOW_S
MIN_RETRY_DELAY_S = 0.5  # after a connection that took almost all of MAX_CONNECT_INTERVAL_S to fail
SPARE_DESCRIPTORS = 4  # for connections to discovery while clients hold all other descriptors
RECEIVE_BYTES = 64 * 1024
MAX_ERROR_LENGTH = 200
# A list is larger than the bodies that the protocol limits: that of 3,200 hosts takes some 450 KB.
MAX_BODY_BYTES = 2 * MAX_OBJECT_BYTES


class DiscoveryRejectedError(InvalidResponseError):
    """Discovery answered with a status other than 200."""


class WatchConnection:
    """One connection to discovery: waiting for its first message, current, or stalled.

    Attributes:
        index: The version from which changes are requested; None: the complete list is requested first.
        responded: Whether the connection has sent a message that was accepted.
    """

    def __init__(self, address: Address, index: int | None) -> None:
        """Creates a connection that is not open yet."""
        self.address = address
        self.index = index
        self.scope = trio.CancelScope()
        self.stream: trio.SocketStream | None = None
        self.last_message_at = (
            trio.current_time()
        )  # of the last complete object or empty line, or of the start
        self.last_read_at = self.last_message_at  # also counts reads without a complete object
        self.responded = False
        self.stalled = False
        self.dropped = False

    def drop(self) -> None:
        """Ends the connection and discards all of its data, including what has been read already.

        After an outage, discovery answers all waiting connections at the same moment, so a dropped connection
        may hold unread data that is older than what another connection has sent.
        """
        self.dropped = True
        self.scope.cancel()

    def has_unread_input(self) -> bool:
        """Whether the connection has unread data."""
        stream = self.stream
        if stream is None or stream.socket.fileno() < 0:
            return False
        return is_readable(stream.socket, if_unknown=False)


class Watch:
    """Passes each list and change that discovery sends to `on_event`, until it is cancelled.

    Attributes:
        address: Where discovery is reached.
        responded: Set once discovery has sent something.
        version: Version of the list that changes are requested from; None: no list is known.
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
        """Creates a watch that is not connected; `run` connects it.

        Args:
            address: Where discovery is reached.
            decoder: Decodes the messages of discovery.
            version: Version of the known list; None: the complete list is requested first.
            backoff: Computes the delays between connections.
            on_event: Called with each list and change.
            on_unchanged: Called once if discovery's first message is an empty line, which means that nothing
                has changed since `version`.
        """
        self.address = address
        self.responded = trio.Event()
        self.version: int | None = version
        self._decoder = decoder
        self._backoff = backoff
        self._on_event = on_event
        self._on_unchanged = on_unchanged
        self._list_needed = version is None  # the complete list has to be requested
        self._current: WatchConnection | None = None
        self._connections: set[WatchConnection] = set()
        self._connection_needed = True
        self._next_connect_at = -math.inf
        self._last_connect_at = -math.inf
        self._state_changed = trio.Event()
        self._reserve = DescriptorReserve(SPARE_DESCRIPTORS)

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._connections)

    @property
    def reconnecting(self) -> bool:
        """Whether a new connection is needed, because none is current or the complete list is missing."""
        return self._connection_needed

    def has_unread_input(self) -> bool:
        """Whether any connection has unread data."""
        return any(connection.has_unread_input() for connection in self._connections)

    def change_address(self, address: Address) -> None:
        """Watches another address from now on.

        Changes from the old discovery are applied until the new one has sent its complete list, which
        replaces the old list in one step: the versions of the two are not comparable.
        """
        if address == self.address:
            return
        self.address = address
        self._backoff.reset()
        self.request_list()

    def request_list(self) -> None:
        """Requests the complete list; the known list stays in use until the new one arrives."""
        self._list_needed = True
        for connection in [waiting for waiting in self._connections if not waiting.responded]:
            connection.drop()
        self._schedule_reconnect(rejected=False)

    async def run(self) -> None:
        """Keeps a watch open until cancelled."""
        self._reserve.refill()
        try:
            async with trio.open_nursery() as nursery:
                await self._open_connections(nursery)
        finally:
            self._reserve.close()

    async def _open_connections(self, nursery: trio.Nursery) -> None:
        while True:
            if (
                self._connection_needed
                and trio.current_time() >= self._next_connect_at
                and self._waiting_count < MAX_WAITING_CONNECTIONS
            ):
                self._open_connection(nursery)
            due = (
                self._next_connect_at
                if self._connection_needed and self._waiting_count < MAX_WAITING_CONNECTIONS
                else math.inf
            )
            with trio.move_on_at(due):
                await self._state_changed.wait()
            self._state_changed = trio.Event()

    # --- opening, selecting and replacing connections ---

    def _open_connection(self, nursery: trio.Nursery) -> None:
        connection = WatchConnection(self.address, None if self._list_needed else self.version)
        self._connections.add(connection)
        self._last_connect_at = connection.last_message_at
        self._next_connect_at = connection.last_message_at + self._hedge_delay_s()
        nursery.start_soon(self._run_connection, connection)

    @property
    def _waiting_count(self) -> int:
        return sum(not connection.responded for connection in self._connections)

    def _hedge_delay_s(self) -> float:
        if not self._backoff.agent:
            return MAX_CONNECT_INTERVAL_S
        return HEDGE_DELAY_S if self._waiting_count < SLOW_HEDGE_MIN_WAITING else SLOW_HEDGE_DELAY_S

    def _schedule_reconnect(self, *, rejected: bool, invalid: bool = False) -> None:
        """Schedules another connection after a backoff delay.

        The delay is shorter after a connection that took long to fail, so that MAX_CONNECT_INTERVAL_S holds.

        Args:
            rejected: Discovery answered, but not with a list.
            invalid: It answered with a message that cannot be decoded or applied.
        """
        now = trio.current_time()
        interval_began_at = self._last_connect_at if self._connection_needed else now
        longest_s = max(MIN_RETRY_DELAY_S, interval_began_at + MAX_CONNECT_INTERVAL_S - now)
        wait_s = self._backoff.next_delay_s(rejected=rejected, invalid=invalid, max_s=longest_s)
        self._connection_needed = True
        self._next_connect_at = max(now + wait_s, self._last_connect_at + MIN_CONNECT_INTERVAL_S)
        self._state_changed.set()

    def _make_current(self, connection: WatchConnection) -> None:
        """Makes this connection the source of changes and drops those that are no longer needed."""
        connection.responded = True
        self._current = connection
        self._connection_needed = self._list_needed
        for other in self._connections - {connection}:
            if other.responded or other.index is not None or not self._list_needed:
                other.drop()
        if not self._connection_needed:
            self._backoff.reset()
        self._state_changed.set()

    def _mark_alive(self, connection: WatchConnection) -> None:
        connection.last_message_at = trio.current_time()
        if connection.stalled:
            connection.stalled = False
            self._make_current(connection)

    async def _run_connection(self, connection: WatchConnection) -> None:
        error: Exception | None = None
        with connection.scope:
            try:
                await self._run_exchanges(connection)
            except (
                OSError,
                InvalidResponseError,
                trio.BrokenResourceError,
                trio.TooSlowError,
                EndpointListError,
            ) as caught:
                error = caught
        self._connections.discard(connection)
        self._state_changed.set()
        if connection.dropped:
            return
        log_rate_limited("watch_closed", index=connection.index, error=repr(error)[:MAX_ERROR_LENGTH])
        self._connection_closed(connection, error)

    def _connection_closed(self, connection: WatchConnection, error: Exception | None) -> None:
        rejected = isinstance(error, DiscoveryRejectedError)
        invalid = isinstance(error, EndpointListError)
        # Discovery would send an invalid change again if changes were requested from the same index.
        self._list_needed = self._list_needed or invalid
        if connection is self._current:
            self._current = None
            if not self._connection_needed:
                self._schedule_reconnect(rejected=rejected, invalid=invalid)
        elif self._connection_needed and (
            rejected or invalid or all(other.responded for other in self._connections)
        ):
            self._schedule_reconnect(rejected=rejected, invalid=invalid)

    # --- the exchange on one connection ---

    async def _run_exchanges(self, connection: WatchConnection) -> None:
        while True:
            stream = await self._connect(connection)
            try:
                await self._exchange(connection, stream)
            finally:
                self._reserve.close_socket(stream.socket)

    async def _exchange(self, connection: WatchConnection, stream: trio.SocketStream) -> None:
        """Fetches the complete list if it is needed, then receives changes until the connection fails.

        Returns if the server closes the connection after the list, so that the changes have to be requested
        on a new one.
        """
        http = HttpClientConnection(max_body_bytes=MAX_BODY_BYTES)
        if connection.index is None:
            await self._fetch_list(connection, stream, http)
            if not http.reuse():
                return
        target = f"{TARGETS_PATH}?stream=1&index={connection.index}"
        async for message in self._request_messages(connection, stream, http, target):
            self._receive_message(connection, message)
        raise InvalidResponseError("discovery ended the response of the watch")

    async def _connect(self, connection: WatchConnection) -> trio.SocketStream:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await open_tcp_connection(connection.address, self._reserve)
        connection.stream = stream
        return stream

    async def _fetch_list(
        self, connection: WatchConnection, stream: trio.SocketStream, http: HttpClientConnection
    ) -> None:
        received = False
        async for message in self._request_messages(connection, stream, http, TARGETS_PATH):
            if not message:
                continue
            if received:
                raise EndpointListError(
                    "discovery sent more than one list in its answer to a request for the complete list"
                )
            received = True
            event = self._decoder.decode(message)
            if event.update.scope is UpdateScope.DELTA:
                raise EndpointListError(
                    "discovery sent a change in its answer to a request for the complete list"
                )
            self._list_needed = False
            connection.last_message_at = trio.current_time()
            self._make_current(connection)
            self._publish(connection, event)
        if not received:
            raise EndpointListError("discovery sent no list in its answer to a request for the complete list")

    def _receive_message(self, connection: WatchConnection, message: bytes) -> None:
        """Handles a complete object or an empty line of the stream of changes."""
        event = self._decode(connection, message) if message else None
        self._mark_alive(connection)
        if connection is not self._current:
            self._make_current(connection)
        if event is not None:
            self._publish(connection, event)
        elif not message and not self.responded.is_set():
            self.responded.set()
            self._on_unchanged()

    def _decode(self, connection: WatchConnection, message: bytes) -> WatchEvent | None:
        try:
            return self._decoder.decode(message)
        except EndpointListError as error:
            if not connection.responded:
                raise
            log_rate_limited("endpoint_list_invalid", index=self.version, error=str(error)[:MAX_ERROR_LENGTH])
            if not self._list_needed:
                self._list_needed = True
                self._schedule_reconnect(rejected=True, invalid=True)
            return None

    def _publish(self, connection: WatchConnection, event: WatchEvent) -> None:
        update = event.update
        is_change = update.scope is UpdateScope.DELTA
        if is_change and self.version is not None and update.version < self.version:
            # Another connection has sent a newer version. A complete list is applied whatever its version:
            # discovery may have restarted, and the list that it has now is authoritative.
            log_rate_limited("endpoint_list_stale", version=update.version, known=self.version)
            if connection.index is not None and update.version < connection.index:
                raise EndpointListError(f"version {update.version} was sent after version {connection.index}")
            return
        self.version = update.version
        connection.index = update.version
        try:
            self._on_event(event)
        except Exception as error:  # no list or change may end the process
            raise EndpointListError(f"the update could not be applied: {error!r}") from error
        self.responded.set()

    async def _request_messages(
        self, connection: WatchConnection, stream: trio.SocketStream, http: HttpClientConnection, target: str
    ) -> AsyncIterator[bytes]:
        """Sends a GET request; yields each object or empty line of the response once it is complete."""
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
                    for message in splitter.feed(event.data):
                        await trio.lowlevel.checkpoint_if_cancelled()
                        yield message
                if isinstance(event, ResponseEnd):
                    return

    async def _receive(self, connection: WatchConnection, stream: trio.SocketStream) -> bytes:
        """Returns the next bytes; marks the connection as stalled if no complete message arrives in time.

        Bytes of an incomplete object do not extend the time.

        Raises:
            trio.TooSlowError: The connection has not sent any complete message in time.
        """
        if not connection.stalled:
            deadline = connection.last_message_at + (
                STALL_TIMEOUT_S if connection.responded else FIRST_MESSAGE_TIMEOUT_S
            )
            with trio.move_on_at(deadline):
                return await self._read(connection, stream)
            # If nothing was read after the deadline and data is waiting, this process may have been stopped:
            # the data is read first.
            if connection.last_read_at > deadline or not is_readable(stream.socket, if_unknown=False):
                self._mark_stalled(connection)
        return await self._read(connection, stream)

    async def _read(self, connection: WatchConnection, stream: trio.SocketStream) -> bytes:
        received = await stream.receive_some(RECEIVE_BYTES)
        connection.last_read_at = trio.current_time()
        return bytes(received)

    def _mark_stalled(self, connection: WatchConnection) -> None:
        """Marks the connection as stalled and schedules another; the stalled one is still read.

        Raises:
            trio.TooSlowError: The connection has not sent anything yet.
        """
        if not connection.responded:
            raise trio.TooSlowError
        connection.stalled = True
        log_rate_limited("watch_stalled", index=self.version)
        if connection is self._current and not self._connection_needed:
            self._schedule_reconnect(rejected=False)
