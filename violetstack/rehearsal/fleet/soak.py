"""Plays one seed of the soak: many dispatchers, a longer load, and troubles that overlap at the same process.

It is the campaign (`campaign.py`) with more processes, with the troubles of `soak_faults.py`, and with the
dispatchers' own invariants beside the auditor of the sockets.
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
"""Of all dispatchers together: what one process of clients and hosts keeps up with."""
MAX_REQUESTS_PER_DISPATCHER_S = 14.0


@dataclass(frozen=True)
class SoakPlan:
    """What one seed of a soak is: its dispatchers, how long clients send, and the library of faulty calls."""

    seed: int
    processes: int
    duration_s: float
    shim: Path | None
    root: Path = ROOT

    def draw(self, hosts: int) -> list[SoakEvent]:
        """The troubles of this seed."""
        return draw_soak(self.seed, self.duration_s, self.processes, hosts)


class Soak:
    """One seed, from the start of its processes to the judgement."""

    def __init__(self, plan: SoakPlan, events: list[SoakEvent] | None = None) -> None:
        """`events` are played in place of those that the seed draws."""
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
        """Plays and judges the seed."""
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
                    nursery.start_soon(peers.measure_lag)
                    await self._run_load_and_faults(nursery)
                finally:
                    self._state.evidence.holds.ended_at = self._state.now()
                    self._processes.end_all()
                await trio.sleep(SETTLE_TIME_S)  # for what the log's pipes still hold
                nursery.cancel_scope.cancel()
        for faults in self._process_faults.values():
            faults.close()
        return CaseReport(self._state).result(self.events)

    async def _run_load_and_faults(self, peers: trio.Nursery) -> None:
        async with trio.open_nursery() as case_nursery:
            for event in self.events:
                case_nursery.start_soon(self._environment.inject, event, peers)
            case_nursery.start_soon(self._clients.send_requests, case_nursery, self._plan.duration_s)
        await trio.sleep(SETTLE_TIME_S)

    def _prepare(self, program: Program) -> None:
        """Gives a program the shim and a pipe for its log; both outlive its restarts."""
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
    """Plays one seed, with these troubles in place of its own if there are any."""
    return trio.run(Soak(plan, events).run)


def shrink(plan: SoakPlan, result: CaseResult) -> list[SoakEvent]:
    """Drops troubles one after the other while one of the result's rules is still broken without them."""
    kept = Soak(plan).events
    rules = _violated_rules(result)
    for event in list(kept):
        fewer = [each for each in kept if each is not event]
        if rules & _violated_rules(play_soak(plan, fewer)):
            kept = fewer
    return kept


def _violated_rules(result: CaseResult) -> set[str]:
    crash = {"crash"} if result.crashed else set()
    return {each.rule for each in result.violations} | set(result.invariants) | crash
