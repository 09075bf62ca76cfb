"""Idle connections to model hosts, on a clock that the tests move."""

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
    """A pool with one host, `w`, that closes connections which have been idle for a second."""

    def __init__(self, clock: MockClock, address: tuple[str, int]) -> None:
        self.clock = clock
        self.pool = ConnectionPool(0.0, IDLE_CLOSE_MS)
        self.pool.max_connections = 8
        self.pool.hosts["w"] = UpstreamHost(address, [])

    @property
    def idle(self) -> list[UpstreamConnection]:
        return self.pool.hosts["w"].idle

    async def take(
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


def test_a_connection_that_was_not_used_does_not_count_as_used() -> None:
    """Its idle time began anew, and a request was written to it after its host's limit: a reset."""

    async def story(harness: PoolHarness) -> None:
        assert await harness.take(wanted=False) is None
        harness.wait(0.5)
        assert await harness.take(wanted=False) is None
        (resting,) = harness.idle
        harness.wait(0.4)
        fresh = await harness.take()
        assert fresh is not None
        assert fresh is not resting
        fresh.close()

    play(story)


def test_a_connection_that_expires_while_its_request_waits_is_replaced() -> None:
    async def story(harness: PoolHarness) -> None:
        assert await harness.take(wanted=False) is None
        (resting,) = harness.idle
        harness.wait(0.7)

        async def release_state() -> None:
            harness.wait(0.2)

        fresh = await harness.take(prerequisite=release_state)
        assert fresh is not None
        assert fresh is not resting
        fresh.close()

    play(story)


def test_a_connection_is_used_again_within_its_idle_time() -> None:
    async def story(harness: PoolHarness) -> None:
        assert await harness.take(wanted=False) is None
        (resting,) = harness.idle
        harness.wait(0.7)
        again = await harness.take()
        assert again is not None
        assert again is resting
        again.close()

    play(story)


@pytest.mark.parametrize("address", ["", "nowhere", "10.0.0.1:", ":::"])
def test_an_address_that_cannot_be_read_leaves_its_host_without_connections(address: str) -> None:
    """The error ended the process, with every request in flight."""

    async def story(harness: PoolHarness) -> None:
        update = EndpointUpdate(UpdateScope.DELTA, (make_endpoint("w2", 1),), 2)
        harness.pool.update(update, {"w2": address})
        with pytest.raises(NotConnectedError):
            await harness.pool.acquire("w2", lambda: True)

    play(story)


def test_an_idle_connection_gives_way_when_the_descriptors_are_used_up() -> None:
    """The host counted as one that could not be connected to, though idle connections held descriptors."""

    async def story(harness: PoolHarness) -> None:
        assert await harness.take(wanted=False) is None
        (resting,) = harness.idle
        harness.pool.hosts["other"] = UpstreamHost(harness.pool.hosts["w"].address, [])
        with no_free_descriptors():
            connection = await harness.pool.acquire("other", lambda: True)
        assert connection is not None
        assert resting.closed
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
    """While it is in force, no socket can be made, as when the whole machine has no descriptor left."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, number: int) -> None:
        self.number = number
        self.failing = True
        module = SimpleNamespace(**{**vars(socket), "socket": self._make})
        monkeypatch.setattr(connection_pool, "socket", module)

    def _make(self, family: socket.AddressFamily) -> socket.socket:
        if self.failing:
            raise OSError(self.number, os.strerror(self.number))
        return socket.socket(family)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_idle_connections_outlast_a_machine_without_descriptors(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each attempt closed all idle connections, of every host, and failed at once; none was left to serve."""

    async def story(harness: PoolHarness) -> None:
        assert await harness.take(wanted=False) is None
        harness.pool.hosts["other"] = UpstreamHost(harness.pool.hosts["w"].address, [])
        sockets = FailingSockets(monkeypatch, number)
        began = trio.current_time()
        with pytest.raises(LocalFaultError):
            await harness.pool.acquire("other", lambda: True)
        assert trio.current_time() - began >= harness.pool.connect_timeout_s - 2 * LOCAL_FAULT_RETRY_S
        kept = await harness.take()
        assert kept is not None
        assert kept.from_pool
        sockets.failing = False
        kept.close()

    play(story, autojump=True)


def test_a_connection_comes_up_as_soon_as_a_local_fault_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(harness: PoolHarness) -> None:
        sockets = FailingSockets(monkeypatch, errno.ENFILE)

        async def recover() -> None:
            await trio.sleep(0.1)
            sockets.failing = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(recover)
            connection = await harness.take()
        assert connection is not None
        connection.close()

    play(story, autojump=True)


def test_a_process_that_was_held_up_between_two_parts_withholds_the_rest() -> None:
    """The last part told its host a deadline that had gone out of date, however long the process stood."""

    async def story(harness: PoolHarness) -> None:
        connection = await harness.take()
        assert connection is not None
        asked = 0

        def hold_up() -> bool:
            nonlocal asked
            asked += 1
            harness.wait(0.1)
            return True

        with pytest.raises(LocalFaultError):
            await connection.write([b"head", b"body"], lambda: None, hold_up, timeout_s=0.15)
        assert asked == 2
        connection.close()

    play(story)


def test_too_many_connections_are_a_local_fault() -> None:
    """Outlier detection, and that of the other dispatchers, took it for the host's."""

    async def story(harness: PoolHarness) -> None:
        harness.pool.max_connections = 0
        with pytest.raises(LocalFaultError):
            await harness.take()

    play(story, autojump=True)


def test_a_release_still_gets_a_connection_when_attempts_have_taken_all_others() -> None:
    """Attempts that no host answers keep theirs to their time-outs; what is held is released before."""

    async def story(harness: PoolHarness) -> None:
        taken = [await harness.take() for _ in range(harness.pool.max_connections - 1)]
        with pytest.raises(LocalFaultError):
            await harness.take()
        release = await harness.pool.acquire("w", lambda: True, for_release=True)
        for connection in (*taken, release):
            assert connection is not None
            harness.pool.close(connection)

    play(story, autojump=True)
