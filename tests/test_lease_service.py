"""Leases in fleets whose dispatchers are paused, killed and partitioned, and `violetstack fleet`."""

from __future__ import annotations

from functools import partial
from typing import Any, NamedTuple

import msgspec
import pytest
import trio
from click.testing import CliRunner

from violetstack.commands.main import main
from violetstack.config import Config, ConfigError, NodeConfig
from violetstack.operator_config import OperatorConfig
from violetstack.rehearsal.fleet.fleet_processes import ADMIN_PORT
from violetstack.rehearsal.fleet.plan import Plan, PlannedFault
from violetstack.rehearsal.fleet.report import Result
from violetstack.rehearsal.fleet.runner import FleetRun
from violetstack.rehearsal.stage import SETTINGS

HOLDER_FAULTS = [
    PlannedFault(3.0, "stop", "holder", 2.2),
    PlannedFault(7.0, "kill", "holder"),
    PlannedFault(10.5, "network", "holder", 2.0, "deaf"),
]
HOLDER_FAULTS_PLAN = Plan(
    seed=7,
    dispatchers=5,
    prefill_hosts=4,
    rate=30,
    warm_up_s=1,
    duration_s=13.5,
    ejection_delay_s=4,
    operator_file='duties { lease = 600ms trials = true keys = ["of the tier"] }',
    faults=[PlannedFault(0.1, "fail", "r0"), *HOLDER_FAULTS],
)
SHUTDOWN_PLAN = Plan(
    seed=8,
    dispatchers=4,
    rate=20,
    warm_up_s=1,
    duration_s=12,
    admin_api=True,
    operator_file="duties { lease = 500ms leave = 1 leave_wait = 20s }",
    faults=[PlannedFault(2.0, "term", "0-2", 25.0), PlannedFault(2.0, "network", "all", 6.0, "loss")],
)
ROLLING_RESTART_PLAN = Plan(
    seed=9,
    dispatchers=3,
    rate=10,
    warm_up_s=1,
    duration_s=14,
    admin_api=True,
    supervised=True,
    operator_file="duties { lease = 500ms leave = 1 }",
    faults=[PlannedFault(0.2, "network", "2", 60.0, "cut")],
)


class CommandResult(NamedTuple):
    """The exit status and the output of a command."""

    exit_code: int
    output: str


class Fleets:
    """Three tiers with addresses of their own, run concurrently since they are idle most of the time."""

    def __init__(self) -> None:
        self.holder_faults: Result
        self.shutdown: Result
        self.commands: list[CommandResult] = []
        self.rolling_restart = FleetRun(ROLLING_RESTART_PLAN)
        self.admin_addresses = [
            ":".join(map(str, self.rolling_restart.address(n, ADMIN_PORT))) for n in range(3)
        ]
        trio.run(self._run)

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_rolling_restart)
            nursery.start_soon(self._run_holder_faults)
            nursery.start_soon(self._run_shutdown)

    async def _run_holder_faults(self) -> None:
        self.holder_faults = await FleetRun(HOLDER_FAULTS_PLAN).run()

    async def _run_shutdown(self) -> None:
        self.shutdown = await FleetRun(SHUTDOWN_PLAN).run()

    async def _command(self, *arguments: str) -> None:
        result = await trio.to_thread.run_sync(partial(CliRunner().invoke, main, ["fleet", *arguments]))
        self.commands.append(CommandResult(result.exit_code, result.output))

    async def _run_rolling_restart(self) -> None:
        fleet = self.rolling_restart
        first, second, partitioned = self.admin_addresses
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run)
            while 2 not in fleet.network_faults:
                await trio.sleep(0.05)
            await self._command("roll", "--dry-run", first, second, partitioned)
            await self._command("roll", "--within", "9", first, second)
            await self._command("roll", "--within", "1.5", partitioned, first)
            await self._command("who", first, second)
            await self._command("resign", first, "leave:0")
            nursery.cancel_scope.cancel()


@pytest.fixture(scope="module")
def fleets() -> Fleets:
    return Fleets()


def test_lease_has_one_holder_at_a_time_when_holders_are_paused_killed_and_partitioned(
    fleets: Fleets,
) -> None:
    """The relay audits each broadcast; a breach is two holders, or a fencing token that decreases."""
    result = fleets.holder_faults
    assert (result.violations, result.crashed) == ([], [])
    assert result.outcomes["served"] > 300
    assert "failed" not in result.outcomes
    tokens = [holder.fencing_token for holder in result.holders]
    assert tokens == sorted(set(tokens))
    assert len(tokens) >= 4
    for fault in HOLDER_FAULTS:  # soon after the lease expires, another dispatcher holds it
        before = [holder for holder in result.holders if holder.first <= fault.at]
        after = [holder for holder in result.holders if holder.first > fault.at]
        assert before
        assert after
        assert after[0].dispatcher != before[-1].dispatcher
        assert after[0].first - fault.at < 3.0


def test_dispatchers_get_their_permits_and_shut_down_one_at_a_time(fleets: Fleets) -> None:
    result = fleets.shutdown
    assert (result.violations, result.crashed) == ([], [])
    assert result.events["restart_permit_acquired"] == 3
    assert "restart_permit_denied" not in result.events
    assert result.events["started"] == 7
    assert sorted(number for *_, number in result.shutdowns) == [0, 1, 2]
    for (_, ended, _), (began, _, _) in zip(result.shutdowns, result.shutdowns[1:], strict=False):
        assert began > ended


def test_rolling_restart_stops_at_a_partitioned_dispatcher(fleets: Fleets) -> None:
    (dry_run, rolled, stopped, who, resigned) = fleets.commands
    addresses = fleets.admin_addresses
    assert dry_run == (0, "".join(f"{n + 1}. {address}: serves\n" for n, address in enumerate(addresses)))
    assert rolled == (0, f"1. {addresses[0]}: back\n2. {addresses[1]}: back\n")
    assert stopped.exit_code == 1
    assert "no majority" in stopped.output
    assert f"not restarted: {addresses[0]}" in stopped.output
    assert who.exit_code == 0
    assert f"{addresses[1]}: dispatcher 1, " in who.output
    assert resigned.exit_code == 1
    assert "is not held here" in resigned.output


def test_leases_require_the_addresses_of_all_peers() -> None:
    def config(size: int, permits: int, **options: Any) -> Config:
        file = msgspec.convert({"duties": {"leave": permits}}, OperatorConfig)
        settings = {**SETTINGS, "fleet_size": size, "me": 0}
        return Config(msgspec.convert({"settings": settings, **options}, NodeConfig), file)

    peers = ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"]
    assert config(3, 1, peer_listen=peers[0], peers=peers).operator is not None
    for size, permits, options in ((3, 1, {}), (4, 1, {"peers": peers}), (3, 3, {"peers": peers})):
        with pytest.raises(ConfigError, match="duties"):
            config(size, permits, peer_listen=peers[0], **options)
