"""Starts the dispatcher processes of a fleet run, and checks their health for the clients."""

from __future__ import annotations

import math
from typing import Any

import trio

from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.hosts import COLD_S, COLD_SHARE
from violetstack.rehearsal.fleet.minimal_http import Client, Ended, connect
from violetstack.rehearsal.fleet.network import ADVERTISED_GOSSIP_PORT, GOSSIP_PORT
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.stage import SETTINGS

ADMIN_PORT = 5001
LISTEN_PORT = 5000
START_TIMEOUT_S = 30.0
READINESS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


class FleetProcesses:
    """The dispatchers of one run."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._starts = 0

    async def start_all(self, rows: list[dict[str, Any]]) -> None:
        """Start each with this endpoint list; return once all are ready."""
        state = self._state
        for number in range(state.plan.dispatchers):
            address = state.address(number, LISTEN_PORT)
            program = Program(number, address, self._configuration(number, rows), state.plan, state.root)
            state.programs.append(program)
            self.start(program)
            state.nursery.start_soon(self._monitor, program)
        with trio.fail_after(START_TIMEOUT_S):
            while any(program.ready_at == math.inf for program in state.programs):
                await trio.sleep(0.02)

    def _configuration(self, number: int, rows: list[dict[str, Any]]) -> dict[str, Any]:
        plan = self._state.plan
        settings = {
            **SETTINGS,
            "fleet_size": plan.dispatchers,
            "me": number,
            "parties": [{"name": "acme", "fraction": 1.0, "allowance_per_s": 2.0 * plan.rate}],
            "limits": {**SETTINGS["limits"], "peers": plan.gossip},
            "rules": {**SETTINGS["rules"], "cold_share": COLD_SHARE, "cold": COLD_S * 1000.0},
        }
        own = self._state.address(number, GOSSIP_PORT)
        relayed = self._state.relayed
        peers = [
            self._state.address(n, ADVERTISED_GOSSIP_PORT if relayed and n != number else GOSSIP_PORT)
            for n in range(plan.dispatchers)
        ]
        broadcast = self._state.address(number, ADVERTISED_GOSSIP_PORT) if relayed else None
        host, port = self._state.address(number, 5000)
        return {
            "mgmt": f"{host}:{ADMIN_PORT}" if plan.admin_api else None,
            "name": f"n{number}",
            "listen": f"{host}:{port}",
            "discovery": self._state.agents[number].address,
            "peer_listen": f"{own[0]}:{own[1]}",
            "peers": [f"{host}:{port}" for host, port in peers],
            "peers_all": f"{broadcast[0]}:{broadcast[1]}" if broadcast is not None else None,
            "limits": {"sockets": plan.sockets, "memory_mb": 192.0},
            "known": {"version": 1, "full": True, "servers": rows},
            "settings": settings,
        }

    def start(self, program: Program) -> None:
        self._starts += 1
        program.start(self._state.now(), self._state.plan.seed * 10_000 + self._starts)

    async def _monitor(self, program: Program) -> None:
        """Check the readiness of one dispatcher, and whether its process runs."""
        while True:
            exit_status = program.process.poll() if program.process is not None else None
            if program.expected_running and exit_status == 0 and self._state.plan.supervised:
                self._state.audit.excuse({program.number}, self._state.now())
                self.start(program)
            elif program.expected_running and exit_status is not None:
                self._state.crashed.append(f"dispatcher {program.number} ended with status {exit_status}")
                program.expected_running = False
            is_ready = self._state.now() - program.last_ready_at < self._state.plan.ejection_delay_s
            try:
                with trio.fail_after(0.5):
                    async with await connect(program.address) as stream:
                        client = Client(stream)
                        await client.send(READINESS_REQUEST)
                        if client.answer.status == 200:
                            program.last_ready_at = self._state.now()
                            if program.ready_at == math.inf:
                                program.ready_at = program.last_ready_at
                                self._state.ready_s.append(program.ready_at - program.started_at)
            except (OSError, Ended, trio.TooSlowError):
                pass
            await trio.sleep(0.4 if is_ready else 0.05)
