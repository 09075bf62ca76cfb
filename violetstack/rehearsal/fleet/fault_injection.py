"""Injects the faults of a fleet run's plan."""

from __future__ import annotations

import math
import signal
import time
from typing import Any

import trio

from violetstack.rehearsal.fleet.fleet_processes import FleetProcesses
from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.plan import PlannedFault, parse_numbers
from violetstack.rehearsal.fleet.programs import Program

DEFAULT_TERM_S = 3.7


class FaultInjection:
    """The faults of one run."""

    def __init__(self, state: FleetState, processes: FleetProcesses) -> None:
        self._state = state
        self._processes = processes

    async def inject(self, fault: PlannedFault) -> None:
        """Wait until the fault is due, inject it, and return when it is over."""
        await trio.sleep(max(0.0, fault.at - self._state.now()))
        match fault.kind:
            case "drain" | "replace":
                await self._change_hosts(fault)
            case "fail":
                await self._fail_hosts(fault)
            case "discovery":
                await self._disturb_discovery(fault)
            case "link":
                await self._break_links(fault)
            case "network":
                await self._disturb_network(fault)
            case _:
                await self._signal_processes(fault, [self._state.programs[n] for n in self._targets(fault)])

    def _targets(self, fault: PlannedFault) -> list[int]:
        """Return the numbers of the dispatchers that a fault affects."""
        if fault.target != "holder":
            return parse_numbers(fault.target, self._state.plan.dispatchers)
        holder = self._state.audit.holder()
        return [] if holder is None else [holder]

    async def _fail_hosts(self, fault: PlannedFault) -> None:
        hosts = [self._state.hosts[name.strip()] for name in fault.target.split(",")]
        for host in hosts:
            host.fails = True
        await trio.sleep(fault.duration_s or math.inf)
        for host in hosts:
            host.fails = False

    async def _disturb_discovery(self, fault: PlannedFault) -> None:
        targets = self._targets(fault)
        self._set_agents(targets, fault.mode)
        await trio.sleep(fault.duration_s or math.inf)
        self._set_agents(targets, "")

    async def _break_links(self, fault: PlannedFault) -> None:
        targets = set(self._targets(fault))
        self._state.audit.broken_links |= targets
        self._state.broken_links |= targets
        await trio.sleep(fault.duration_s or math.inf)
        self._state.audit.broken_links -= targets

    async def _disturb_network(self, fault: PlannedFault) -> None:
        relay = self._state.relay
        if relay is None:
            return
        targets = self._targets(fault)
        relay.faults.update(dict.fromkeys(targets, fault.mode))
        await trio.sleep(fault.duration_s or math.inf)
        for number in targets:
            relay.faults.pop(number, None)

    def _set_agents(self, targets: list[int], mode: str) -> None:
        for n in targets:
            self._state.agents[n].mode = mode
            self._state.agents[n].hang_up()

    async def _signal_processes(self, fault: PlannedFault, programs: list[Program]) -> None:
        numbers = {p.number for p in programs}
        if fault.kind == "stop":
            for p in programs:
                p.send(signal.SIGSTOP)
            await trio.sleep(fault.duration_s)
            self._state.audit.excuse(numbers, self._state.now())
            for p in programs:
                p.send(signal.SIGCONT)
            return
        for p in programs:
            p.expected_running = False
            p.send(signal.SIGTERM if fault.kind == "term" else signal.SIGKILL)
        if fault.kind == "term":
            async with trio.open_nursery() as nursery:
                for p in programs:
                    nursery.start_soon(self._restart, p, fault.duration_s or DEFAULT_TERM_S)
            return
        self._state.audit.excuse(numbers, self._state.now())
        await trio.sleep(fault.duration_s)
        for p in programs:
            p.end()
            self._processes.start(p)
            await trio.sleep(0.001)  # several forks without a pause would count as lag

    async def _restart(self, program: Program, within_s: float) -> None:
        """Wait for a process after SIGTERM, kill it if it has not ended in time, and start it again."""
        with trio.move_on_after(within_s):
            while program.process is not None and program.process.poll() is None:
                await trio.sleep(0.02)
        self._state.audit.excuse({program.number}, self._state.now())
        program.end()
        self._processes.start(program)

    async def _change_hosts(self, fault: PlannedFault) -> None:
        """Announce that hosts drain or left; a host that left gets a cold successor with another id."""
        rows: list[dict[str, Any]] = []
        for name in (part.strip() for part in fault.target.split(",")):
            host = self._state.hosts[name]
            host.state = "leaving" if fault.kind == "drain" else "left"
            rows.append(host.row())
            if fault.kind == "replace":
                host.die()
                del self._state.hosts[name]
                successor = self._state.new_host(f"{name}+", host.kind, self._state.now())
                self._state.hosts[successor.name] = successor
                await self._state.nursery.start(successor.serve)
                rows.append(successor.row(time.time() * 1000.0))
        for agent in self._state.agents:
            agent.publish(*rows)
