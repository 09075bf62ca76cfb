"""Connections to model hosts: who is where, which idle ones may be used again, and how many are open."""

from __future__ import annotations

import math
import socket
from collections.abc import Awaitable, Callable

import msgspec
import trio

from violetstack.config import Address, address
from violetstack.core.records import always
from violetstack.log import log
from violetstack.policy_api import EndpointState, EndpointUpdate, UpdateScope
from violetstack.protocol.host_side import Body, Broken, End, Head, HostSide

READ_SIZE = 32 * 1024
IDLE_SHARE = 0.8  # connections are retired at this part of the time after which hosts close them
REST_S = 0.1  # after an answer: a second one that comes late would be taken for the next request's


class NotUp(Exception):
    """No connection, or it broke before the last byte was written: nothing has run."""


class Withheld(Exception):
    """The request may no longer be sent; the host got no whole one."""


class HostConnection:
    """One connection; one request at a time travels on it."""

    def __init__(self, raw: socket.socket, server: str, at: Address | None = None) -> None:
        self._raw = raw
        self.server = server
        self.sock = trio.socket.from_stdlib_socket(raw)
        self.at = at
        self.closed = False
        self.pooled = False  # an answer has come on it before
        self.http = HostSide()
        self.idle_since = self.rested_at = 0.0

    async def write(
        self,
        parts: list[bytes | memoryview],
        written: Callable[[], None],
        allowed: Callable[[], bool] = always,
    ) -> None:
        """Calls `written` in the same step in which the last byte goes to the kernel, and never before.

        Raises Withheld, with the last byte unsent, as soon as `allowed` says no.

        Guards against an attempt that was sent and yet is told as not run: trio's own send lets other
        tasks run between the system call and its return, and a deadline in between would see no write.
        """
        for n, part in enumerate(parts):
            rest = memoryview(part)
            while rest:
                if not allowed():
                    raise Withheld
                try:
                    rest = rest[self._raw.send(rest) :]
                except BlockingIOError:
                    await trio.lowlevel.wait_writable(self._raw)
            if n == len(parts) - 1:
                written()

    async def receive(self) -> list[Head | Body | End]:
        self.http.check()
        data = await self.sock.recv(READ_SIZE)
        if self.closed:
            raise Broken("aborted")
        return self.http.feed(data)

    def dead(self) -> bool:
        """Something to read. On an idle connection that is its end: its host has closed it."""
        return self.sock.is_readable()

    def close(self) -> None:
        self.closed = True
        self.sock.close()


class Host(msgspec.Struct):
    """An address, and the idle connections there."""

    at: Address
    idle: list[HostConnection]
    plain: bool = False  # speaks OpenAI's API and nothing of the platform's
    key: str = ""
    started_ms: float | None = None
    heard_at: float = 0.0


class Pool:
    """Addresses, and the connections there."""

    def __init__(self, connect_timeout_ms: float, idle_close_ms: float) -> None:
        self.connect_s = (connect_timeout_ms or 250.0) / 1000.0
        self.idle_s = idle_close_ms / 1000.0 * IDLE_SHARE
        self.most = 0
        self.connections = 0
        self.hosts: dict[str, Host] = {}
        self.fresh: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint_if_cancelled

    # --- addresses ---

    def told(self, news: EndpointUpdate, addresses: dict[str, str]) -> None:
        for name, text in addresses.items():
            try:
                at = address(text)
            except ValueError as error:
                log("endpoint_address_invalid", server=name, error=str(error))
                continue
            host = self.hosts.setdefault(name, Host(at, []))
            if host.at != at:
                self._drop_idle(host)
                host.at = at
        for entry in news.endpoints:
            known = self.hosts.get(entry.server)
            if known is None:
                continue
            if entry.state is EndpointState.REMOVED or entry.started_ms != known.started_ms:
                self._drop_idle(known)  # what was open belongs to a process that is no more
            known.started_ms = entry.started_ms
            if entry.state is EndpointState.REMOVED:
                del self.hosts[entry.server]
        if news.scope is not UpdateScope.DELTA:
            # Guards the memory: whoever a whole list does not name is gone, with its connections.
            named = {entry.server for entry in news.endpoints}
            for name in [name for name in self.hosts if name not in named]:
                self._drop_idle(self.hosts.pop(name))

    def _drop_idle(self, host: Host) -> None:
        for connection in host.idle:
            self._close(connection)
        host.idle = []

    def _close(self, connection: HostConnection) -> None:
        connection.close()
        self.connections -= 1

    async def retire_idle(self) -> None:
        """Guards against writing on a connection that its host is about to close."""
        while True:
            await trio.sleep(1.0)
            before = trio.current_time() - self.idle_s
            for host in self.hosts.values():
                keep = []
                for connection in host.idle:
                    if connection.idle_since < before or connection.dead():
                        self._close(connection)
                    else:
                        keep.append(connection)
                host.idle = keep

    # --- connections ---

    async def _open(self, server: str, timeout: float) -> HostConnection:
        """An idle connection, or a new one within `timeout` seconds; raises NotUp."""
        host = self.hosts.get(server)
        if host is None:
            raise NotUp("no address")
        if (kept := self._rested(host)) is not None:
            return kept
        if self.connections >= self.most and not self._spare():
            raise NotUp("too many connections")
        raw = socket.socket(socket.AF_INET6 if ":" in host.at[0] else socket.AF_INET)
        connection = HostConnection(raw, server, host.at)
        self.connections += 1
        up = False
        try:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with trio.fail_after(timeout):
                await connection.sock.connect(host.at)
            up = True
        except (OSError, trio.TooSlowError) as error:
            raise NotUp(repr(error)) from None
        finally:
            if not up:
                self._close(connection)
        return connection

    def _rested(self, host: Host) -> HostConnection | None:
        """The one used last that has rested since: what comes on it later belongs to the next request."""
        now = trio.current_time()
        for n in range(len(host.idle) - 1, -1, -1):
            connection = host.idle[n]
            if connection.rested_at > now:
                continue
            del host.idle[n]
            if connection.idle_since >= now - self.idle_s and not connection.dead():
                return connection
            self._close(connection)
        return None

    async def _ready(
        self,
        server: str,
        wanted: Callable[[], bool],
        after: Callable[[], Awaitable[object]] | None = None,
        most_s: float = math.inf,
    ) -> HostConnection | None:
        """A connection for bytes written in this very step; None if they are not wanted any more.

        Guards against what happens while a connection comes up, or while the process did not look: a host
        told as leaving, replaced or gone, a request that is over, an idle connection that its host has
        closed. Raises NotUp. `after`: what has to be first. `most_s`: for connections to come up, if less.
        """
        until = trio.current_time() + min(self.connect_s, most_s)
        while True:
            connection = await self._open(server, max(0.0, until - trio.current_time()))
            sound = False
            try:
                await trio.lowlevel.checkpoint_if_cancelled()
                if after is not None:
                    await after()
                await self.fresh()
                sound = self._sound(connection)
                if sound and wanted():
                    return connection
            finally:
                if not sound:
                    self._close(connection)
            if sound or not wanted():
                if sound:
                    self._put_back_unused(connection)
                return None
            if not connection.pooled:
                raise NotUp("it broke, or spoke before it was asked")

    def _sound(self, connection: HostConnection) -> bool:
        host = self.hosts.get(connection.server)
        there = host is not None and host.at == connection.at
        return there and not connection.closed and not connection.dead()

    def _spare(self) -> bool:
        """Guards against running out of descriptors: the longest idle connection anywhere makes room."""
        hosts = [host for host in self.hosts.values() if host.idle]
        if not hosts:
            return False
        host = min(hosts, key=lambda h: h.idle[0].idle_since)
        self._close(host.idle.pop(0))
        return True

    def _put_back(self, connection: HostConnection) -> None:
        """After a whole answer."""
        host = self.hosts.get(connection.server)
        moved = host is None or host.at != connection.at
        if host is None or moved or connection.closed or not connection.http.reuse():
            self._close(connection)
            return
        connection.pooled = True
        connection.idle_since = trio.current_time()
        connection.rested_at = connection.idle_since + REST_S
        host.heard_at = connection.idle_since
        host.idle.append(connection)

    def _put_back_unused(self, connection: HostConnection) -> None:
        host = self.hosts.get(connection.server)
        if host is None or connection.closed:
            self._close(connection)
        else:
            connection.idle_since = trio.current_time()
            host.idle.append(connection)
