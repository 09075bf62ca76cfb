"""Runs one case of the fault campaign: real dispatchers with scripted clients, hosts and discovery.

All inputs are drawn from the case's seed. The interleaving of events in real time is not, so the same case
may take a different course when it is repeated.
"""

from __future__ import annotations

from pathlib import Path

import trio

from violetstack.rehearsal.fleet.campaign_environment import EnvironmentFaults
from violetstack.rehearsal.fleet.campaign_faults import draw_environment
from violetstack.rehearsal.fleet.campaign_host import CampaignHost
from violetstack.rehearsal.fleet.campaign_processes import DispatcherProcesses
from violetstack.rehearsal.fleet.campaign_requests import CaseClients
from violetstack.rehearsal.fleet.campaign_result import CaseReport, CaseResult
from violetstack.rehearsal.fleet.campaign_settings import REPORT_FIELDS
from violetstack.rehearsal.fleet.campaign_state import CaseState
from violetstack.rehearsal.fleet.network import Agent
from violetstack.rehearsal.fleet.programs import ROOT

SETTLE_TIME_S = 0.4


class SimulatedPeers:
    """The simulated hosts and discovery agents of a case, and the measurement of their scheduling delay."""

    def __init__(self, state: CaseState) -> None:
        self._state = state

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the hosts, and one discovery agent for each dispatcher."""
        state = self._state
        message = state.deployment.message
        report = message["report"]
        load_report = "TEXT " + ", ".join(f"{name}=0.1" for name in REPORT_FIELDS) if report else ""
        for plan in state.deployment.hosts:
            host = CampaignHost(
                plan,
                state.evidence,
                state.scripts,
                state.now,
                seed=state.seed,
                health_checks=message["limits"]["probes"],
                load_report=load_report,
            )
            state.hosts.append(host)
            await nursery.start(host.serve)
        for number in range(state.deployment.dispatcher_count):
            agent = Agent(number, state.endpoint_list(), {}, state.now)
            state.agents.append(agent)
            await nursery.start(agent.serve)

    async def measure_delays(self) -> None:
        """Keeps measuring how late this process and the dispatchers run; runs until cancelled."""
        state = self._state
        programs = [dispatcher.program for dispatcher in state.dispatchers]
        async for _ in state.delays.samples(programs):
            state.evidence.lag_s = max(state.delays.lag_s, state.delays.starved_s)


class CampaignCase:
    """One case, from the start of its processes to the audit."""

    def __init__(self, seed: int, duration_s: float, root: Path = ROOT) -> None:
        self._duration_s = duration_s
        self._state = CaseState(seed, root)
        self._processes = DispatcherProcesses(self._state)
        self._faults = EnvironmentFaults(self._state, self._processes)
        self._clients = CaseClients(self._state)

    async def run(self) -> CaseResult:
        state = self._state
        deployment = state.deployment
        peers = SimulatedPeers(state)
        events = draw_environment(
            state.seed, self._duration_s, deployment.dispatcher_count, len(deployment.hosts)
        )
        async with trio.open_nursery() as nursery:
            try:
                await peers.start(nursery)
                await self._processes.start_all()
                state.begin_load()
                nursery.start_soon(peers.measure_delays)
                async with trio.open_nursery() as case_nursery:
                    for event in events:
                        case_nursery.start_soon(self._faults.inject, event)
                    case_nursery.start_soon(self._clients.send_requests, case_nursery, self._duration_s)
                await trio.sleep(SETTLE_TIME_S)
            finally:
                state.evidence.holds.ended_at = state.now()
                self._processes.end_all()
            nursery.cancel_scope.cancel()
        return CaseReport(state).result(events)


def play_case(seed: int, duration_s: float = 4.0, root: Path = ROOT) -> CaseResult:
    """Runs the case of this seed; clients send requests for `duration_s` seconds."""
    return trio.run(CampaignCase(seed, duration_s, root).run)
