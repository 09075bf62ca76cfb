"""Idle connections to model hosts, tested with a mock clock."""

from __future__ import annotations

import contextlib
import errno
import math
import os
import resource
import socket
from collections.abc import Awaitable, Callable, Iterator
from types import SimpleNamespace

import pytest
import trio
from trio.testing import MockClock

from tests.router_harness import make_endpoint
from violetstack.net.upstream import connection_pool
from violetstack.net.upstream.connection import LocalFaultError, NotConnectedError, UpstreamConnection
from violetstack.net.upstream.connection_pool import LOCAL_FAULT_RETRY_S, ConnectionPool, UpstreamHost
from violetstack.policy_api import EndpointUpdate, UpdateScope

IDLE_CLOSE_MS = 1000.0


class PoolHarness:
    """A pool with one host, `w`, which closes connections that have been idle for a second."""

    def __init__(self, clock: MockClock, address: tuple[str, int]) -> None:
        self.clock = clock
        self.pool = ConnectionPool(0.0, IDLE_CLOSE_MS)
        self.pool.max_connections = 8
        self.pool.hosts["w"] = UpstreamHost(address, [])

    @property
    def idle(self) -> list[UpstreamConnection]:
        return self.pool.hosts["w"].idle

    async def acquire_from_host(
        self, *, wanted: bool = True, prerequisite: Callable[[], Awaitable[object]] | None = None
    ) -> UpstreamConnection | None:
        return await self.pool.acquire("w", lambda: wanted, prerequisite)

    def wait(self, seconds: float) -> None:
        self.clock.jump(seconds)


def play(story: Callable[[PoolHarness], Awaitable[None]], *, autojump: bool = False) -> None:
    clock = MockClock(autojump_threshold=0.01 if autojump else math.inf)

    async def main() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        harness = PoolHarness(clock, listeners[0].socket.getsockname())
        await story(harness)
        for connection in harness.pool.hosts["w"].idle:
            connection.close()
        for listener in listeners:
            await listener.aclose()

    trio.run(main, clock=clock)


def test_a_connection_returned_unused_keeps_its_idle_time() -> None:
    """Its idle time was restarted, so a request was written after the host's idle limit, and was reset."""

    async def story(harness: PoolHarness) -> None:
        assert await harness.acquire_from_host(wanted=False) is None
        harness.wait(0.5)
        assert await harness.acquire_from_host(wanted=False) is None
        (idle_connection,) = harness.idle
        harness.wait(0.4)
        new_connection = await harness.acquire_from_host()
        assert new_connection is not None
        assert new_connection is not idle_connection
        new_connection.close()

    play(story)


def test_a_connection_that_expires_while_its_request_waits_is_replaced() -> None:
    async def story(harness: PoolHarness) -> None:
        assert await harness.acquire_from_host(wanted=False) is None
        (idle_connection,) = harness.idle
        harness.wait(0.7)

        async def release_state() -> None:
            harness.wait(0.2)

        new_connection = await harness.acquire_from_host(prerequisite=release_state)
        assert new_connection is not None
        assert new_connection is not idle_connection
        new_connection.close()

    play(story)


def test_a_connection_is_used_again_within_its_idle_time() -> None:
    async def story(harness: PoolHarness) -> None:
        assert await harness.acquire_from_host(wanted=False) is None
        (idle_connection,) = harness.idle
        harness.wait(0.7)
        reused = await harness.acquire_from_host()
        assert reused is not None
        assert reused is idle_connection
        reused.close()

    play(story)


@pytest.mark.parametrize("address", ["", "nowhere", "10.0.0.1:", ":::"])
def test_a_host_with_an_invalid_address_gets_no_connections(address: str) -> None:
    """The error ended the process and every request in flight."""

    async def story(harness: PoolHarness) -> None:
        update = EndpointUpdate(UpdateScope.DELTA, (make_endpoint("w2", 1),), 2)
        harness.pool.update(update, {"w2": address})
        with pytest.raises(NotConnectedError):
            await harness.pool.acquire("w2", lambda: True)

    play(story)


def test_an_idle_connection_is_closed_when_no_descriptor_is_left() -> None:
    """The host counted as unreachable although idle connections held descriptors."""

    async def story(harness: PoolHarness) -> None:
        assert await harness.acquire_from_host(wanted=False) is None
        (idle_connection,) = harness.idle
        harness.pool.hosts["other"] = UpstreamHost(harness.pool.hosts["w"].address, [])
        with no_free_descriptors():
            connection = await harness.pool.acquire("other", lambda: True)
        assert connection is not None
        assert idle_connection.closed
        connection.close()

    play(story)


@contextlib.contextmanager
def no_free_descriptors() -> Iterator[None]:
    lowest_free = os.open(os.devnull, os.O_RDONLY)
    os.close(lowest_free)
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class FailingSockets:
    """Makes the creation of sockets fail, as when the whole machine has no descriptor left."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, error_number: int) -> None:
        self.error_number = error_number
        self.failing = True
        module = SimpleNamespace(**{**vars(socket), "socket": self._make})
        monkeypatch.setattr(connection_pool, "socket", module)

    def _make(self, family: socket.AddressFamily) -> socket.socket:
        if self.failing:
            raise OSError(self.error_number, os.strerror(self.error_number))
        return socket.socket(family)


@pytest.mark.parametrize("error_number", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_idle_connections_are_kept_when_the_machine_has_no_descriptors(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each attempt closed the idle connections of all hosts and failed; none was left for requests."""

    async def story(harness: PoolHarness) -> None:
        assert await harness.acquire_from_host(wanted=False) is None
        harness.pool.hosts["other"] = UpstreamHost(harness.pool.hosts["w"].address, [])
        sockets = FailingSockets(monkeypatch, error_number)
        began = trio.current_time()
        with pytest.raises(LocalFaultError):
            await harness.pool.acquire("other", lambda: True)
        assert trio.current_time() - began >= harness.pool.connect_timeout_s - 2 * LOCAL_FAULT_RETRY_S
        reused = await harness.acquire_from_host()
        assert reused is not None
        assert reused.from_pool
        sockets.failing = False
        reused.close()

    play(story, autojump=True)


def test_a_connection_is_established_once_a_local_fault_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(harness: PoolHarness) -> None:
        sockets = FailingSockets(monkeypatch, errno.ENFILE)

        async def recover() -> None:
            await trio.sleep(0.1)
            sockets.failing = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(recover)
            connection = await harness.acquire_from_host()
        assert connection is not None
        connection.close()

    play(story, autojump=True)


def test_the_rest_of_a_request_is_withheld_after_a_delay_of_the_process() -> None:
    """The deadline in the request head was out of date, however long the process had been stopped."""

    async def story(harness: PoolHarness) -> None:
        connection = await harness.acquire_from_host()
        assert connection is not None
        checks = 0

        def delay_process() -> bool:
            nonlocal checks
            checks += 1
            harness.wait(0.1)
            return True

        with pytest.raises(LocalFaultError):
            await connection.write([b"head", b"body"], lambda: None, delay_process, timeout_s=0.15)
        assert checks == 2
        connection.close()

    play(story)


def test_too_many_connections_are_a_local_fault() -> None:
    """Outlier detection, here and in the other dispatchers, counted it as a fault of the host."""

    async def story(harness: PoolHarness) -> None:
        harness.pool.max_connections = 0
        with pytest.raises(LocalFaultError):
            await harness.acquire_from_host()

    play(story, autojump=True)


def test_a_release_still_gets_a_connection_when_attempts_have_taken_all_others() -> None:
    """Attempts at unresponsive hosts keep their connections until they time out; releases must not wait."""

    async def story(harness: PoolHarness) -> None:
        taken = [await harness.acquire_from_host() for _ in range(harness.pool.max_connections - 1)]
        with pytest.raises(LocalFaultError):
            await harness.acquire_from_host()
        release = await harness.pool.acquire("w", lambda: True, for_release=True)
        for connection in (*taken, release):
            assert connection is not None
            harness.pool.close(connection)

    play(story, autojump=True)
