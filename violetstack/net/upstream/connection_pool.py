"""Addresses of the model hosts, and a pool of the idle connections to them."""

from __future__ import annotations

import bisect
import errno
import math
import socket
from collections.abc import Awaitable, Callable, Iterator

import msgspec
import trio

from violetstack.config import Address, ConfigError, parse_address
from violetstack.log import log_rate_limited
from violetstack.net.upstream.connection import LocalFaultError, NotConnectedError, UpstreamConnection
from violetstack.policy_api import EndpointState, EndpointUpdate, UpdateScope

DEFAULT_CONNECT_TIMEOUT_MS = 250.0
IDLE_LIFETIME_SHARE = 0.8
"""Idle connections are closed after this share of the time after which hosts close them."""
IDLE_CHECK_INTERVAL_S = 1.0
LOCAL_FAULT_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ENETDOWN,
    }
)
"""Errors of socket() and connect() that this machine causes; nothing was sent. EAGAIN: no free port."""
LOCAL_FAULT_RETRY_S = 0.02
"""Interval at which, after a local fault, a new connection or one that became idle is tried."""
RELEASE_RESERVED_CONNECTIONS = 4
"""Connections that only releases may open: attempts at unresponsive hosts can occupy all others."""
RESERVED_CONNECTIONS_DIVISOR = 8
"""At most the pool's limit divided by this is reserved for releases."""
CONNECTING_FAULT_MEMORY_S = 0.1
"""For this long after a local fault, new connections are expected to fail."""
REUSE_DELAY_S = 0.1
"""Delay before reuse after a response, to detect a spurious second response.

If that arrived after the next request was sent, it would be read as the response to it.
"""


class UpstreamHost(msgspec.Struct):
    """One host's address, and the idle connections to it, the most recently used at the end."""

    address: Address
    idle: list[UpstreamConnection]
    openai_api: bool = False
    """Whether the host speaks OpenAI's API, without the platform's calls."""
    api_key: str = ""
    started_ms: float | None = None
    last_response_at: float = 0.0

    def has_usable_idle(self) -> bool:
        """Whether there is an idle connection whose delay before reuse is over."""
        if not self.idle:
            return False
        now = trio.current_time()
        return any(connection.usable_from <= now for connection in self.idle)


class ConnectionPool:
    """Opens connections to model hosts, keeps idle ones for reuse, and limits their number.

    `waiting_releases` is the number of releases that no host has accepted yet.
    `connect_timeout_ms`: 0 means the default. `idle_close_ms`: time after which hosts close idle connections.
    `wait_caught_up` returns once all sockets have been read after a pause of the process.
    """

    def __init__(self, connect_timeout_ms: float, idle_close_ms: float) -> None:
        self.connect_timeout_s = (connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS) / 1000.0
        self.idle_lifetime_s = idle_close_ms / 1000.0 * IDLE_LIFETIME_SHARE
        self.max_connections = 0
        self.open_connections = 0
        self.waiting_releases = 0
        self._connecting_fails_until = -math.inf
        self.hosts: dict[str, UpstreamHost] = {}
        self._by_latest_response: dict[
            str, None
        ] = {}  # ids of hosts that have answered, the latest at the end
        self.wait_caught_up: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint_if_cancelled

    # --- addresses ---

    def update(self, endpoint_update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Applies an endpoint update; `addresses` maps each server to its `host:port`."""
        for name, text in addresses.items():
            self._set_address(name, text)
        for entry in endpoint_update.endpoints:
            self._apply_entry(entry.server, entry.state, entry.started_ms)
        if endpoint_update.scope is not UpdateScope.DELTA:
            named = {entry.server for entry in endpoint_update.endpoints}
            for name in [name for name in self.hosts if name not in named]:
                self._remove_host(name)

    def _set_address(self, name: str, text: str) -> None:
        try:
            new_address = parse_address(text)
        except ConfigError as error:
            log_rate_limited("endpoint_address_invalid", server=name, error=str(error))
            return
        host = self.hosts.setdefault(name, UpstreamHost(new_address, []))
        if host.address != new_address:
            self._close_idle(host)
            host.address = new_address

    def _apply_entry(self, server: str, state: EndpointState, started_ms: float | None) -> None:
        host = self.hosts.get(server)
        if host is None:
            return
        if started_ms != host.started_ms:
            self._close_idle(host)  # the host's former process had these connections
        host.started_ms = started_ms
        if state is EndpointState.REMOVED:
            self._remove_host(server)

    def _remove_host(self, name: str) -> None:
        self._close_idle(self.hosts.pop(name))
        self._by_latest_response.pop(name, None)

    def _close_idle(self, host: UpstreamHost) -> None:
        for connection in host.idle:
            self.close(connection)
        host.idle = []

    def names_by_latest_response(self) -> Iterator[str]:
        """Yields the ids of the hosts that have answered a request, beginning with the latest."""
        return reversed(self._by_latest_response)

    # --- connections ---

    @property
    def connecting_fails(self) -> bool:
        """Whether no connection can be opened, to any host, because of a recent local fault."""
        return trio.current_time() < self._connecting_fails_until

    @property
    def release_reserve(self) -> int:
        """Number of connections that only releases may open, and may use while connecting fails."""
        return min(RELEASE_RESERVED_CONNECTIONS, self.max_connections // RESERVED_CONNECTIONS_DIVISOR)

    @property
    def uses_release_reserve(self) -> bool:
        """Whether only releases may open further connections."""
        return self.open_connections >= self.max_connections - self.release_reserve

    def close(self, connection: UpstreamConnection) -> None:
        """Closes a connection that this pool opened or adopted."""
        connection.close()
        self.open_connections -= 1

    def adopt(self, raw: socket.socket, server: str) -> UpstreamConnection:
        """Takes over a connection that another process opened."""
        self.open_connections += 1
        return UpstreamConnection(raw, server)

    async def close_expired(self) -> None:
        """Closes idle connections before their hosts do; runs until cancelled."""
        while True:
            await trio.sleep(IDLE_CHECK_INTERVAL_S)
            for host in self.hosts.values():
                keep = []
                for connection in host.idle:
                    if self._is_expired(connection) or connection.has_input():
                        self.close(connection)
                    else:
                        keep.append(connection)
                host.idle = keep

    async def acquire(
        self,
        server: str,
        still_wanted: Callable[[], bool],
        prerequisite: Callable[[], Awaitable[object]] | None = None,
        timeout_s: float = math.inf,
        *,
        for_release: bool = False,
    ) -> UpstreamConnection | None:
        """A connection on which the caller writes at once, before any other task runs.

        Args:
            server: The host to connect to.
            still_wanted: Called once the connection is established, since the host may have started to drain
                or been replaced or removed meanwhile, or the request may be over. If it returns False, the
                result is None.
            prerequisite: Awaited before `still_wanted` is called.
            timeout_s: Limits the time to connect if it is less than the pool's own timeout.
            for_release: Whether the connections reserved for releases may be used.

        Raises:
            NotConnectedError: No usable connection to the host could be established.
        """
        deadline = trio.current_time() + min(self.connect_timeout_s, timeout_s)
        while True:
            left_s = max(0.0, deadline - trio.current_time())
            connection = await self.open(server, left_s, for_release=for_release)
            usable = await self._wait_until_sendable(connection, prerequisite)
            if usable and still_wanted():
                return connection
            if usable:
                self._put_back_unused(connection)
                return None
            if not still_wanted():
                return None
            if not connection.from_pool:
                raise NotConnectedError(
                    f"new connection to {server} broke, or the host sent bytes before the request"
                )

    async def _wait_until_sendable(
        self, connection: UpstreamConnection, prerequisite: Callable[[], Awaitable[object]] | None
    ) -> bool:
        """Waits until the caller may send; False if the connection is unusable by then, and closed."""
        usable = False
        try:
            await trio.lowlevel.checkpoint_if_cancelled()
            if prerequisite is not None:
                await prerequisite()
            await self.wait_caught_up()
            usable = self._is_usable(connection)
        finally:
            if not usable:
                self.close(connection)
        return usable

    async def open(self, server: str, timeout_s: float, *, for_release: bool = False) -> UpstreamConnection:
        """An idle connection, or a new one that is established within `timeout_s`.

        After a local fault this waits until the fault is over or a connection to the host becomes idle. If it
        failed immediately, a request would use up all its attempts one after the other. Meanwhile the last
        idle connections are left to waiting releases.

        Raises:
            NotConnectedError: The host has no address, or no connection was established in time.
        """
        deadline = trio.current_time() + timeout_s
        while True:
            host = self.hosts.get(server)
            if host is None:
                raise NotConnectedError(f"no address is known for {server}")
            may_take_idle = for_release or not self._idle_are_for_releases()
            if may_take_idle and (idle := self._take_idle(host)) is not None:
                return idle
            left_s = deadline - trio.current_time()
            try:
                self._make_room(for_release=for_release)
                return await self._connect(server, host.address, max(0.0, left_s))
            except LocalFaultError:
                if left_s <= LOCAL_FAULT_RETRY_S:
                    raise
            await trio.sleep(LOCAL_FAULT_RETRY_S)

    def _make_room(self, *, for_release: bool) -> None:
        """Makes room for one more connection within the limit, by closing an idle one if necessary.

        Raises:
            LocalFaultError: The limit is reached, and no connection is idle.
        """
        is_full = self.open_connections >= self.max_connections if for_release else self.uses_release_reserve
        if is_full and not self._close_longest_idle():
            raise LocalFaultError(
                f"too many connections: {self.open_connections} of {self.max_connections} are open"
            )

    async def _connect(self, server: str, address: Address, timeout_s: float) -> UpstreamConnection:
        raw = self._new_socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        connection = UpstreamConnection(raw, server, address)
        self.open_connections += 1
        connected = False
        try:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with trio.fail_after(timeout_s):
                await connection.sock.connect(address)
            connected = True
            connection.idle_since = trio.current_time()
            self._connecting_fails_until = -math.inf
        except (OSError, trio.TooSlowError) as error:
            raise self._not_connected(error) from None
        finally:
            if not connected:
                self.close(connection)
        return connection

    def _new_socket(self, family: socket.AddressFamily) -> socket.socket:
        """A new socket; closes one idle connection for it if this process has no descriptor left.

        The idle connections are kept, since they serve requests meanwhile, if the whole machine has none left
        (ENFILE), or if closing one has not helped.
        """
        try:
            return socket.socket(family)
        except OSError as error:
            if error.errno != errno.EMFILE or not self._close_idle_for_descriptor():
                raise self._not_connected(error) from None
        try:
            return socket.socket(family)
        except OSError as error:
            raise self._not_connected(error) from None

    def _close_idle_for_descriptor(self) -> bool:
        return not self.connecting_fails and self._close_longest_idle()

    def _not_connected(self, error: OSError | trio.TooSlowError) -> NotConnectedError:
        """The error to raise; a local fault is remembered."""
        if isinstance(error, OSError) and error.errno in LOCAL_FAULT_ERRNOS:
            self._connecting_fails_until = trio.current_time() + CONNECTING_FAULT_MEMORY_S
            return LocalFaultError(repr(error))
        return NotConnectedError(repr(error))

    def _idle_are_for_releases(self) -> bool:
        """Whether releases wait, and need the few connections that are idle since no other can be opened."""
        if not self.waiting_releases or not self.connecting_fails:
            return False
        return sum(len(host.idle) for host in self.hosts.values()) <= self.release_reserve

    def _take_idle(self, host: UpstreamHost) -> UpstreamConnection | None:
        """The most recently used idle connection whose delay before reuse is over."""
        now = trio.current_time()
        for n in range(len(host.idle) - 1, -1, -1):
            connection = host.idle[n]
            if connection.usable_from > now:
                continue
            del host.idle[n]
            if not self._is_expired(connection) and not connection.has_input():
                return connection
            self.close(connection)
        return None

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        host = self.hosts.get(connection.server)
        if host is None or host.address != connection.address:
            return False
        if connection.from_pool and self._is_expired(connection):
            return False
        return not connection.closed and not connection.has_input()

    def _is_expired(self, connection: UpstreamConnection) -> bool:
        """Whether the connection has been idle for so long that its host may close it."""
        return connection.idle_since < trio.current_time() - self.idle_lifetime_s

    def _close_longest_idle(self) -> bool:
        hosts = [host for host in self.hosts.values() if host.idle]
        if not hosts:
            return False
        host = min(hosts, key=lambda h: h.idle[0].idle_since)
        self.close(host.idle.pop(0))
        return True

    def put_back(self, connection: UpstreamConnection) -> None:
        """Returns a connection to the pool after a complete response; closes it if it cannot be reused."""
        host = self.hosts.get(connection.server)
        address_changed = host is None or host.address != connection.address
        if host is None or address_changed or connection.closed or not connection.http.reuse():
            self.close(connection)
            return
        connection.from_pool = True
        connection.idle_since = trio.current_time()
        connection.usable_from = connection.idle_since + REUSE_DELAY_S
        host.last_response_at = connection.idle_since
        self._by_latest_response.pop(connection.server, None)
        self._by_latest_response[connection.server] = None
        host.idle.append(connection)

    def _put_back_unused(self, connection: UpstreamConnection) -> None:
        """Returns a connection that was not written to: it has been idle since before it was acquired."""
        host = self.hosts.get(connection.server)
        if host is None or connection.closed:
            self.close(connection)
        else:
            connection.from_pool = True
            bisect.insort(host.idle, connection, key=lambda idle: idle.idle_since)
