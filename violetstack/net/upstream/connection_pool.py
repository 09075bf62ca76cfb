"""Addresses of the model hosts, and the idle connections to them."""

from __future__ import annotations

import bisect
import errno
import math
import socket
from collections.abc import Awaitable, Callable

import msgspec
import trio

from violetstack.config import Address, ConfigError, parse_address
from violetstack.log import log_rate_limited
from violetstack.net.upstream.connection import LocalFaultError, NotConnectedError, UpstreamConnection
from violetstack.policy_api import EndpointState, EndpointUpdate, UpdateScope

DEFAULT_CONNECT_TIMEOUT_MS = 250.0
IDLE_LIFETIME_SHARE = 0.8
"""Idle connections are closed after this part of the time after which hosts close them."""
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
"""Of socket() and connect(): nothing has been sent, and the fault is this machine's. EAGAIN: no free port."""
LOCAL_FAULT_RETRY_S = 0.02
"""After a local fault a connection is tried again, or one that became idle is taken, at this interval."""
RELEASE_RESERVED_CONNECTIONS = 4
"""Connections of the pool that only releases may open: attempts that nobody answers can take all others."""
RESERVED_CONNECTIONS_DIVISOR = 8
"""At most one of so many connections is kept back."""
REUSE_DELAY_S = 0.1
"""Rest after a response: a spurious second one that comes late would be read as the next request's."""


class UpstreamHost(msgspec.Struct):
    """One host's address, and the idle connections to it, the one used last at the end."""

    address: Address
    idle: list[UpstreamConnection]
    openai_api: bool = False
    """It speaks OpenAI's API and has none of the platform's calls."""
    api_key: str = ""
    started_ms: float | None = None
    last_response_at: float = 0.0

    def has_usable_idle(self) -> bool:
        """Whether a connection is idle that has rested since its last response."""
        now = trio.current_time()
        return any(connection.usable_from <= now for connection in self.idle)


class ConnectionPool:
    """Opens, keeps and bounds connections to model hosts.

    `connect_timeout_ms`: 0 means the default; `idle_close_ms`: after this long hosts close idle connections.
    `wait_caught_up` returns once all sockets have been read after a pause of the process.
    """

    def __init__(self, connect_timeout_ms: float, idle_close_ms: float) -> None:
        self.connect_timeout_s = (connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS) / 1000.0
        self.idle_lifetime_s = idle_close_ms / 1000.0 * IDLE_LIFETIME_SHARE
        self.max_connections = 0
        self.open_connections = 0
        self.hosts: dict[str, UpstreamHost] = {}
        self.wait_caught_up: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint_if_cancelled

    # --- addresses ---

    def update(self, endpoint_update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Applies an endpoint update; `addresses` has a `host:port` for each server."""
        for name, text in addresses.items():
            self._set_address(name, text)
        for entry in endpoint_update.endpoints:
            self._apply_entry(entry.server, entry.state, entry.started_ms)
        if endpoint_update.scope is not UpdateScope.DELTA:
            named = {entry.server for entry in endpoint_update.endpoints}
            for name in [name for name in self.hosts if name not in named]:
                self._close_idle(self.hosts.pop(name))

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
        if state is EndpointState.REMOVED or started_ms != host.started_ms:
            self._close_idle(host)  # these connections belong to a process that has ended
        host.started_ms = started_ms
        if state is EndpointState.REMOVED:
            del self.hosts[server]

    def _close_idle(self, host: UpstreamHost) -> None:
        for connection in host.idle:
            self.close(connection)
        host.idle = []

    # --- connections ---

    def close(self, connection: UpstreamConnection) -> None:
        """Closes a connection that this pool has opened or adopted."""
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
        """A connection for bytes that are written in this very step; None if they are not wanted any more.

        `wanted` is asked once the connection is up: meanwhile the host may have been told to drain, been
        replaced or removed, or the request may be over. `prerequisite` is awaited before that; `timeout_s`
        bounds the connecting, if it is less than the pool's own time-out. `for_release` may use the
        connections that are kept back.

        Raises NotConnectedError.
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
                raise NotConnectedError("it broke, or the host sent bytes before it was asked")

    async def _wait_until_sendable(
        self, connection: UpstreamConnection, prerequisite: Callable[[], Awaitable[object]] | None
    ) -> bool:
        """Returns whether the connection can still be used once its caller may send; closed if it cannot."""
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
        """An idle connection, or a new one within `timeout_s`; raises NotConnectedError.

        After a local fault this waits until the fault is over or a connection to the host becomes idle: at
        once, all attempts of a request would fail one after the other.
        """
        deadline = trio.current_time() + timeout_s
        while True:
            host = self.hosts.get(server)
            if host is None:
                raise NotConnectedError("no address")
            if (idle := self._take_idle(host)) is not None:
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
        """Has one more connection fit within the limit, or raises LocalFaultError."""
        reserved = (
            0
            if for_release
            else min(RELEASE_RESERVED_CONNECTIONS, self.max_connections // RESERVED_CONNECTIONS_DIVISOR)
        )
        if self.open_connections >= self.max_connections - reserved and not self._close_longest_idle():
            raise LocalFaultError("too many connections")

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
        except (OSError, trio.TooSlowError) as error:
            raise _not_connected(error) from None
        finally:
            if not connected:
                self.close(connection)
        return connection

    def _new_socket(self, family: socket.AddressFamily) -> socket.socket:
        """A socket, for which one idle connection gives way if this process has no descriptor left.

        Where the whole machine has none, the idle connections are what serves requests meanwhile.
        """
        try:
            return socket.socket(family)
        except OSError as error:
            if error.errno != errno.EMFILE or not self._close_longest_idle():
                raise _not_connected(error) from None
        try:
            return socket.socket(family)
        except OSError as error:
            raise _not_connected(error) from None

    def _take_idle(self, host: UpstreamHost) -> UpstreamConnection | None:
        """The one used last of those that have rested since."""
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
        """Whether its host may close it by now, as one that has been idle for too long."""
        return connection.idle_since < trio.current_time() - self.idle_lifetime_s

    def _close_longest_idle(self) -> bool:
        hosts = [host for host in self.hosts.values() if host.idle]
        if not hosts:
            return False
        host = min(hosts, key=lambda h: h.idle[0].idle_since)
        self.close(host.idle.pop(0))
        return True

    def put_back(self, connection: UpstreamConnection) -> None:
        """Keeps a connection after a complete response, if it can be used again."""
        host = self.hosts.get(connection.server)
        address_changed = host is None or host.address != connection.address
        if host is None or address_changed or connection.closed or not connection.http.reuse():
            self.close(connection)
            return
        connection.from_pool = True
        connection.idle_since = trio.current_time()
        connection.usable_from = connection.idle_since + REUSE_DELAY_S
        host.last_response_at = connection.idle_since
        host.idle.append(connection)

    def _put_back_unused(self, connection: UpstreamConnection) -> None:
        """Keeps a connection that was not written to: for its host it has been idle all the time."""
        host = self.hosts.get(connection.server)
        if host is None or connection.closed:
            self.close(connection)
        else:
            connection.from_pool = True
            bisect.insort(host.idle, connection, key=lambda each: each.idle_since)


def _not_connected(error: OSError | trio.TooSlowError) -> NotConnectedError:
    if isinstance(error, OSError) and error.errno in LOCAL_FAULT_ERRNOS:
        return LocalFaultError(repr(error))
    return NotConnectedError(repr(error))
