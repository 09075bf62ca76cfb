"""A fleet run: processes, discovery agents, relay, hosts and clients, and the faults of its plan.

Its processes are killed when this one ends, and each run has loopback addresses of its own.
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

LAST_RESPONSES_S = GIVE_UP_S + 0.6


class FleetRun:
    """One run of a plan.

    `root` is the source tree whose dispatcher is started, by the `run` command of its deploy file.
    """

    def __init__(self, plan: Plan, root: Path = ROOT) -> None:
        self._state = FleetState(plan, root)
        self._processes = FleetProcesses(self._state)
        self._faults = FaultInjection(self._state, self._processes)
        self._clients = LoadClients(self._state)

    def address(self, number: int, port: int) -> Address:
        """Return the address of a dispatcher of this run."""
        return self._state.address(number, port)

    @property
    def network_faults(self) -> dict[int, str]:
        """The present fault of each dispatcher's network, by number."""
        relay = self._state.relay
        return relay.faults if relay is not None else {}

    async def run(self) -> Result:
        """Play the plan; return the result once the last requests have had time to end."""
        state = self._state
        async with trio.open_nursery() as nursery:
            state.nursery = nursery
            rows = await self._start_hosts()
            await self._start_network(rows)
            try:
                await self._processes.start_all(rows)
                state.begin_load()
                nursery.start_soon(self._measure_delays)
                for fault in state.plan.faults:
                    nursery.start_soon(self._faults.inject, fault)
                await self._clients.run()
                await trio.sleep(LAST_RESPONSES_S)
            finally:
                for program in state.programs:
                    program.end()
                if state.relay is not None:
                    state.relay.close()
            nursery.cancel_scope.cancel()
        return FleetSummary(state).result()

    async def _start_hosts(self) -> list[dict[str, Any]]:
        """Start the hosts of the plan; return the endpoint list."""
        state = self._state
        kinds = [("prefill", f"r{n}") for n in range(state.plan.prefill_hosts)]
        kinds += [("decode", f"w{n}") for n in range(state.plan.decode_hosts)]
        for kind, name in kinds:
            state.hosts[name] = state.new_host(name, kind)
            await state.nursery.start(state.hosts[name].serve)
        return [host.row() for host in state.hosts.values()]

    async def _start_network(self, rows: list[dict[str, Any]]) -> None:
        state = self._state
        plan = state.plan
        relay = Relay(plan.dispatchers, plan.seed, state.address, state.nursery)
        state.relay = relay
        if state.relayed:
            relay.on_datagram = self._audit_datagram
            await relay.open()
        for number in range(plan.dispatchers):
            agent = Agent(number, rows, state.audit.drains_written, state.now)
            state.agents.append(agent)
            await state.nursery.start(agent.serve)
            if state.relayed:
                state.nursery.start_soon(relay.run, number)

    def _audit_datagram(self, sender: int, data: bytes) -> None:
        """Audit the broadcasts under a lease in a datagram, as its sender sends it."""
        if not is_lease_datagram(data):
            return
        for message in decode(data).messages:
            if message.type is MessageType.BROADCAST:
                self._state.audit.lease_broadcast(
                    self._state.now(), sender, message.lease_id, message.fencing_token
                )

    async def _measure_delays(self) -> None:
        """Record how late this process runs, and the most requests at one prefill host."""
        state = self._state
        async for _ in state.delays.samples():
            state.audit.lag = state.delays.lag_s
            in_flight = [host.in_flight for host in state.hosts.values() if host.kind == "prefill"]
            state.in_flight.append((state.now(), max(in_flight, default=0)))


def play(plan: Plan, root: Path = ROOT) -> Result:
    """Run a plan. With three cores or more, the simulated hosts and clients have the first to themselves."""
    return trio.run(FleetRun(plan, root).run)
