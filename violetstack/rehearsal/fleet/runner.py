"""A fleet run: processes, agents, relay, hosts and clients, and the troubles of its plan.

Nothing outlives it: processes die with this one, and each run has loopback addresses of its own.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import trio

from violetstack.config import Address
from violetstack.lease.messages import MessageType, decode, is_lease_datagram
from violetstack.rehearsal.fleet.fault_injection import FaultInjection
from violetstack.rehearsal.fleet.fleet_processes import FleetProcesses
from violetstack.rehearsal.fleet.fleet_result import FleetSummary
from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.load_clients import GIVE_UP_S, LoadClients
from violetstack.rehearsal.fleet.network import Agent, Relay
from violetstack.rehearsal.fleet.plan import Plan
from violetstack.rehearsal.fleet.programs import ROOT
from violetstack.rehearsal.fleet.report import Result

LAG_INTERVAL_S = 0.02
LAST_ANSWERS_S = GIVE_UP_S + 0.6


class FleetRun:
    """One run of a plan. `root`: the tree whose `run` is started."""

    def __init__(self, plan: Plan, root: Path = ROOT) -> None:
        self._state = FleetState(plan, root)
        self._processes = FleetProcesses(self._state)
        self._faults = FaultInjection(self._state, self._processes)
        self._clients = LoadClients(self._state)

    def address(self, number: int, port: int) -> Address:
        """Where a dispatcher of this run listens."""
        return self._state.address(number, port)

    @property
    def network_faults(self) -> dict[int, str]:
        """What befalls the network of dispatchers now, by number."""
        relay = self._state.relay
        return relay.how if relay is not None else {}

    async def run(self) -> Result:
        state = self._state
        async with trio.open_nursery() as nursery:
            state.nursery = nursery
            rows = await self._start_hosts()
            await self._start_network(rows)
            try:
                await self._processes.start_all(rows)
                state.load_begins()
                nursery.start_soon(self._measure)
                for trouble in state.plan.trouble:
                    nursery.start_soon(self._faults.inject, trouble)
                await self._clients.run()
                await trio.sleep(LAST_ANSWERS_S)
            finally:
                for program in state.programs:
                    program.end()
                if state.relay is not None:
                    state.relay.close()
            nursery.cancel_scope.cancel()
        return FleetSummary(state).result()

    async def _start_hosts(self) -> list[dict[str, Any]]:
        """Returns the endpoint list."""
        state = self._state
        kinds = [("prefill", f"r{n}") for n in range(state.plan.readers)]
        kinds += [("decode", f"w{n}") for n in range(state.plan.writers)]
        for kind, name in kinds:
            state.engines[name] = state.new_host(name, kind)
            await state.nursery.start(state.engines[name].serve)
        return [engine.row() for engine in state.engines.values()]

    async def _start_network(self, rows: list[dict[str, Any]]) -> None:
        state = self._state
        plan = state.plan
        relay = Relay(plan.dispatchers, plan.seed, state.address, state.nursery)
        state.relay = relay
        if state.relayed:
            relay.saw = self._audit_datagram
            await relay.open()
        for number in range(plan.dispatchers):
            agent = Agent(number, rows, state.audit.told, state.now)
            state.agents.append(agent)
            await state.nursery.start(agent.serve)
            if state.relayed:
                state.nursery.start_soon(relay.run, number)

    def _audit_datagram(self, sender: int, data: bytes) -> None:
        """Audits each broadcast under a lease as it leaves its holder."""
        if not is_lease_datagram(data):
            return
        for message in decode(data).messages:
            if message.type is MessageType.BROADCAST:
                self._state.audit.lease_broadcast(
                    self._state.now(), sender, message.lease_id, message.fencing_token
                )

    async def _measure(self) -> None:
        """How late the stand-ins are, and the most requests at once inside of one host."""
        state = self._state
        while True:
            before = state.now()
            await trio.sleep(LAG_INTERVAL_S)
            state.lag = max(state.lag, state.now() - before - LAG_INTERVAL_S)
            state.audit.lag = state.lag
            in_flight = [engine.inside for engine in state.engines.values() if engine.kind == "prefill"]
            state.in_flight.append((state.now(), max(in_flight, default=0)))


def play(plan: Plan, root: Path = ROOT) -> Result:
    """`root`: the tree whose `run` is started. The stand-ins have a core of their own, if there are three."""
    return trio.run(FleetRun(plan, root).run)
