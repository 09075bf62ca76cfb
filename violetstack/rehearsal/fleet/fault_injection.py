"""Carries out the troubles of a fleet run's plan."""

from __future__ import annotations

import math
import signal
import time
from typing import Any

import trio

from violetstack.rehearsal.fleet.fleet_processes import FleetProcesses
from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.plan import Trouble, numbers
from violetstack.rehearsal.fleet.programs import Program

TERM_S = 3.7


class FaultInjection:
    """The troubles of one run."""

    def __init__(self, state: FleetState, processes: FleetProcesses) -> None:
        self._state = state
        self._processes = processes

    async def inject(self, trouble: Trouble) -> None:
        """Waits for the trouble's time, and returns when it is over."""
        await trio.sleep(max(0.0, trouble.at - self._state.now()))
        match trouble.do:
            case "drain" | "replace":
                await self._change_hosts(trouble)
            case "fail":
                await self._fail_hosts(trouble)
            case "discovery":
                await self._disturb_discovery(trouble)
            case "link":
                await self._break_links(trouble)
            case "network":
                await self._disturb_network(trouble)
            case _:
                await self._signal(trouble, [self._state.programs[n] for n in self._targets(trouble)])

    def _targets(self, trouble: Trouble) -> list[int]:
        """The dispatchers that it befalls."""
        if trouble.who != "holder":
            return numbers(trouble.who, self._state.plan.dispatchers)
        holder = self._state.audit.holder()
        return [] if holder is None else [holder]

    async def _fail_hosts(self, trouble: Trouble) -> None:
        hosts = [self._state.engines[name.strip()] for name in trouble.who.split(",")]
        for engine in hosts:
            engine.fails = True
        await trio.sleep(trouble.lasts or math.inf)
        for engine in hosts:
            engine.fails = False

    async def _disturb_discovery(self, trouble: Trouble) -> None:
        targets = self._targets(trouble)
        self._set_agents(targets, trouble.how)
        await trio.sleep(trouble.lasts or math.inf)
        self._set_agents(targets, "")

    async def _break_links(self, trouble: Trouble) -> None:
        targets = set(self._targets(trouble))
        self._state.audit.broken |= targets
        self._state.broken_links |= targets
        await trio.sleep(trouble.lasts or math.inf)
        self._state.audit.broken -= targets

    async def _disturb_network(self, trouble: Trouble) -> None:
        relay = self._state.relay
        if relay is None:
            return
        targets = self._targets(trouble)
        relay.how.update(dict.fromkeys(targets, trouble.how))
        await trio.sleep(trouble.lasts or math.inf)
        for number in targets:
            relay.how.pop(number, None)

    def _set_agents(self, targets: list[int], mode: str) -> None:
        for n in targets:
            self._state.agents[n].mode = mode
            self._state.agents[n].hang_up()

    async def _signal(self, trouble: Trouble, programs: list[Program]) -> None:
        hit_numbers = {p.number for p in programs}
        if trouble.do == "stop":
            for p in programs:
                p.send(signal.SIGSTOP)
            await trio.sleep(trouble.lasts)
            self._state.audit.excuse(hit_numbers, self._state.now())
            for p in programs:
                p.send(signal.SIGCONT)
            return
        for p in programs:
            p.wanted = False
            p.send(signal.SIGTERM if trouble.do == "term" else signal.SIGKILL)
        if trouble.do == "term":
            async with trio.open_nursery() as nursery:
                for p in programs:
                    nursery.start_soon(self._restart, p, trouble.lasts or TERM_S)
            return
        self._state.audit.excuse(hit_numbers, self._state.now())
        await trio.sleep(trouble.lasts)
        for p in programs:
            p.end()
            self._processes.start(p)
            await trio.sleep(0.001)  # a fork takes long enough to count as late

    async def _restart(self, program: Program, within_s: float) -> None:
        """After SIGTERM: a new start once it has ended, SIGKILL where it does not."""
        with trio.move_on_after(within_s):
            while program.process is not None and program.process.poll() is None:
                await trio.sleep(0.02)
        self._state.audit.excuse({program.number}, self._state.now())
        program.end()
        self._processes.start(program)

    async def _change_hosts(self, trouble: Trouble) -> None:
        """A drain is told to all; a replaced host is gone, and its successor, with another id, is cold."""
        rows: list[dict[str, Any]] = []
        for name in (part.strip() for part in trouble.who.split(",")):
            engine = self._state.engines[name]
            engine.state = "leaving" if trouble.do == "drain" else "left"
            rows.append(engine.row())
            if trouble.do == "replace":
                engine.die()
                del self._state.engines[name]
                successor = self._state.new_host(f"{name}+", engine.kind, self._state.now())
                self._state.engines[successor.name] = successor
                await self._state.nursery.start(successor.serve)
                rows.append(successor.row(time.time() * 1000.0))
        for agent in self._state.agents:
            agent.publish(*rows)
