"""Runs one seed of the soak: many dispatchers, a longer load, and overlapping faults of the same process.

The soak extends the campaign (`campaign.py`) by more processes and the faults of `soak_faults.py`, and checks
the dispatchers' own invariants in addition to the socket audit.
"""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import trio

from violetstack.rehearsal.fleet.campaign import SETTLE_TIME_S, SimulatedPeers
from violetstack.rehearsal.fleet.campaign_environment import EnvironmentFaults
from violetstack.rehearsal.fleet.campaign_processes import DispatcherProcesses
from violetstack.rehearsal.fleet.campaign_requests import CaseClients
from violetstack.rehearsal.fleet.campaign_result import CaseReport, CaseResult
from violetstack.rehearsal.fleet.campaign_state import CaseState
from violetstack.rehearsal.fleet.fault_shim import ProcessFaults
from violetstack.rehearsal.fleet.programs import ROOT, Program
from violetstack.rehearsal.fleet.soak_environment import LogPipe, SoakEnvironment
from violetstack.rehearsal.fleet.soak_faults import SoakEvent, draw_soak

TOTAL_REQUESTS_S = 90.0
"""For all dispatchers together: the rate that one process of simulated clients and hosts can sustain."""
MAX_REQUESTS_PER_DISPATCHER_S = 14.0


@dataclass(frozen=True)
class SoakPlan:
    """The parameters of one seed of a soak.

    Attributes:
        processes: The number of dispatchers.
        duration_s: How long clients send requests.
        shim: The library that makes system calls fail; None if it could not be built.
        root: The directory that the dispatchers are run from.
    """

    seed: int
    processes: int
    duration_s: float
    shim: Path | None
    root: Path = ROOT

    def draw(self, hosts: int) -> list[SoakEvent]:
        """Draws the faults of this seed."""
        return draw_soak(self.seed, self.duration_s, self.processes, hosts)


class Soak:
    """One seed, from the start of its processes to the audit."""

    def __init__(self, plan: SoakPlan, events: list[SoakEvent] | None = None) -> None:
        """`events` replace the faults that are drawn from the seed."""
        self._plan = plan
        self._state = CaseState(plan.seed, plan.root, plan.processes)
        self._process_faults: dict[int, ProcessFaults] = {}
        self._pipes: dict[int, LogPipe] = {}
        self._processes = DispatcherProcesses(self._state, self._prepare)
        self._environment = SoakEnvironment(
            self._state,
            EnvironmentFaults(self._state, self._processes),
            self._processes,
            self._process_faults,
            self._pipes,
        )
        rate = min(MAX_REQUESTS_PER_DISPATCHER_S, TOTAL_REQUESTS_S / plan.processes)
        self._clients = CaseClients(self._state, rate)
        self.events = plan.draw(len(self._state.deployment.hosts)) if events is None else events

    async def run(self) -> CaseResult:
        """Runs and audits the seed."""
        peers = SimulatedPeers(self._state)
        with ExitStack() as stack:
            async with trio.open_nursery() as nursery:
                try:
                    await peers.start(nursery)
                    await self._processes.start_all()
                    for number, pipe in self._pipes.items():
                        nursery.start_soon(pipe.copy, self._state.dispatchers[number].program.log)
                        stack.callback(pipe.close)
                    self._state.begin_load()
                    nursery.start_soon(peers.measure_delays)
                    await self._run_load_and_faults(nursery)
                finally:
                    self._state.evidence.holds.ended_at = self._state.now()
                    self._processes.end_all()
                await trio.sleep(SETTLE_TIME_S)  # so that the data left in the log pipes is copied
                nursery.cancel_scope.cancel()
        for faults in self._process_faults.values():
            faults.close()
        return CaseReport(self._state).result(self.events)

    async def _run_load_and_faults(self, peer_nursery: trio.Nursery) -> None:
        async with trio.open_nursery() as case_nursery:
            for event in self.events:
                case_nursery.start_soon(self._environment.inject, event, peer_nursery)
            case_nursery.start_soon(self._clients.send_requests, case_nursery, self._plan.duration_s)
        await trio.sleep(SETTLE_TIME_S)

    def _prepare(self, program: Program) -> None:
        """Sets up the shim and a log pipe for a program; both outlive its restarts."""
        pipe = LogPipe()
        self._pipes[program.number] = pipe
        program.output = pipe.write_end
        if self._plan.shim is None:
            return
        faults = ProcessFaults()
        self._process_faults[program.number] = faults
        program.preload = {"LD_PRELOAD": str(self._plan.shim), "SOAK_FAULTS_FD": str(faults.descriptor)}
        program.shared = (faults.descriptor,)


def play_soak(plan: SoakPlan, events: list[SoakEvent] | None = None) -> CaseResult:
    """Runs one seed; `events`, if given, replace the faults drawn from it."""
    return trio.run(Soak(plan, events).run)


def shrink(plan: SoakPlan, result: CaseResult) -> list[SoakEvent]:
    """Removes faults one by one as long as at least one rule of the result is still violated without them."""
    needed = Soak(plan).events
    rules = _violated_rules(result)
    for event in list(needed):
        reduced = [other for other in needed if other is not event]
        if rules & _violated_rules(play_soak(plan, reduced)):
            needed = reduced
    return needed


def _violated_rules(result: CaseResult) -> set[str]:
    crash = {"crash"} if result.crashed else set()
    return {violation.rule for violation in result.violations} | set(result.invariants) | crash
