"""The choice of a host for a release: the best of all, found without a search of the whole list."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio
import trio.testing

from tests.executed_lines import count_lines
from violetstack.net.upstream.connection_pool import ConnectionPool, UpstreamHost
from violetstack.net.upstream.state_release import StateReleaser

SMALL_FLEET = 100
LARGE_FLEET = 3200


class IdleConnection:
    """An idle connection of a host, as the pool and the choice of a host for a release see it."""

    def __init__(self, server: str, address: tuple[str, int]) -> None:
        self.server = server
        self.address = address
        self.closed = False
        self.from_pool = False
        self.idle_since = 0.0
        self.usable_from = 0.0
        self.http = SimpleNamespace(reuse=lambda: True)


class ReleaseHarness:
    """The choice of a host for a release among the hosts of a pool."""

    def __init__(self, fleet_size: int) -> None:
        names = [f"s{n}" for n in range(fleet_size)]
        core = SimpleNamespace(
            endpoints=dict.fromkeys(names), draining=set[str](), stateless_hosts=set[str]()
        )
        self.core = cast(Any, core)
        self.pool = ConnectionPool(0.0, 30_000.0)
        self.pool.hosts.update({name: UpstreamHost(("127.0.0.1", n), []) for n, name in enumerate(names)})
        self.releaser = StateReleaser(self.core, self.pool)
        self.unresponsive: set[str] = set()
        self.request: Any = SimpleNamespace(unresponsive_hosts=lambda: self.unresponsive)

    def answer(self, name: str, *, usable: bool = True) -> None:
        connection: Any = IdleConnection(name, self.pool.hosts[name].address)
        self.pool.put_back(connection)
        connection.usable_from = 0.0 if usable else float("inf")

    def best(self, tried: set[str]) -> str | None:
        return self.releaser._best_host(self.request, tried)

    def best_of_all(self, tried: set[str]) -> str | None:
        """The choice by a search of the whole list."""

        def rank(name: str) -> tuple[bool, bool, bool, float]:
            host = self.pool.hosts[name]
            usable = host.has_usable_idle()
            return (
                name not in self.unresponsive,
                name not in self.core.draining,
                usable,
                host.last_response_at,
            )

        names = [name for name in self.core.endpoints if name in self.pool.hosts and name not in tried]
        return max((name for name in names if name not in self.core.stateless_hosts), key=rank, default=None)


# Guards against releases that search all hosts of a large fleet, once for each request.
def test_the_host_of_a_release_is_found_with_as_much_work_in_any_fleet() -> None:
    async def lines(fleet_size: int) -> int:
        harness = ReleaseHarness(fleet_size)
        for name in ("s1", "s2", "s3"):
            harness.answer(name)
        found: list[str | None] = []
        lines = count_lines(lambda: found.append(harness.best(set())))
        assert found == ["s3"]
        return lines

    assert trio.run(lines, LARGE_FLEET) == trio.run(lines, SMALL_FLEET)


@pytest.mark.parametrize("seed", range(20))
def test_the_host_of_a_release_is_the_best_of_all(seed: int) -> None:
    async def play() -> None:
        rng = random.Random(seed)
        harness = ReleaseHarness(8)
        names = list(harness.core.endpoints)
        for _ in range(40):
            groups = (harness.core.draining, harness.core.stateless_hosts, harness.unresponsive)
            group = rng.choice(groups)
            group ^= {rng.choice(names)}
            if rng.random() < 0.1:
                harness.core.endpoints.pop(rng.choice(names), None)
            await trio.sleep(0.001)  # the times of answers differ
            harness.answer(rng.choice(names), usable=rng.random() < 0.5)
            tried = set(rng.sample(names, rng.randrange(4)))
            assert harness.best(tried) == harness.best_of_all(tried)

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0.0))
