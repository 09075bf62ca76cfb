"""One dispatcher in its own process, with scripted hosts and a scripted discovery."""

from __future__ import annotations

import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import trio

from violetstack.config import Address
from violetstack.rehearsal.clients import BODY, Call, connect, platform_headers
from violetstack.rehearsal.fleet.addresses import loopback_address
from violetstack.rehearsal.fleet.network import Agent
from violetstack.rehearsal.fleet.plan import Plan
from violetstack.rehearsal.fleet.programs import ROOT, Program
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.stage import SETTINGS


@dataclass
class DispatcherProcess:
    """One dispatcher in its own process, to which signals can be sent."""

    program: Program
    address: Address
    agent: Agent

    async def send_request(
        self, request: str, kind: str = "consulta", body: bytes = BODY, **headers: str
    ) -> Call:
        """Sends a request on a connection of its own."""
        call = await connect(self.address)
        await call.send("POST", "/v1/chat/completions", platform_headers(request, kind, **headers), body)
        return call

    async def pause(self, duration_s: float) -> None:
        """Stops the process for a while, by SIGSTOP."""
        self.program.send(signal.SIGSTOP)
        await trio.sleep(duration_s)
        self.program.send(signal.SIGCONT)

    async def ended_within(self, limit_s: float) -> bool:
        """Waits until the process has ended, for `limit_s` at most; returns whether it has."""
        process = self.program.process
        assert process is not None
        with trio.move_on_after(limit_s):
            while process.poll() is None:
                await trio.sleep(0.02)
        return process.poll() is not None


@asynccontextmanager
async def dispatcher_process(
    *hosts: ModelHost,
    settings: dict[str, Any] | None = None,
    sockets: int = 96,
    prepare: Callable[[Program], None] | None = None,
    number: int = 0,
) -> AsyncIterator[DispatcherProcess]:
    """Starts a dispatcher with the deploy file's `run`, and yields it once it is ready for requests.

    Discovery lists the hosts that are not of the kind `openai`. `prepare` is called before the start.
    `number` tells apart several that run at the same time.
    """
    async with trio.open_nursery() as nursery:
        for host in hosts:
            await nursery.start(host.serve)
        rows = [host.row() for host in hosts if host.kind != "openai"]
        agent = Agent(0, rows, {}, time.monotonic)
        await nursery.start(agent.serve)
        address = loopback_address(number, 5000)
        configuration = {
            "name": "n0",
            "listen": f"{address[0]}:{address[1]}",
            "discovery": agent.address,
            "limits": {"sockets": sockets, "memory_mb": 192.0},
            "known": {"version": 1, "full": True, "servers": rows},
            "settings": {**SETTINGS, **(settings or {})},
        }
        program = Program(0, address, configuration, Plan(seed=1, sockets=sockets), ROOT)
        if prepare is not None:
            prepare(program)
        program.start(0.0, 1)
        try:
            await _until_ready(address)
            yield DispatcherProcess(program, address, agent)
        finally:
            program.end()
            program.log.close()
        nursery.cancel_scope.cancel()


async def _until_ready(address: Address) -> None:
    with trio.fail_after(30.0):
        while True:
            try:
                call = await connect(address)
                await call.send("GET", "/-/ready", [])
                if (await call.receive()).status == 200:
                    return
            except OSError:
                pass
            await trio.sleep(0.03)
