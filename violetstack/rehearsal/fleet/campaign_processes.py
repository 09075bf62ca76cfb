"""Starts, stops, kills and restarts the dispatcher processes of one case."""

from __future__ import annotations

import math
import signal
from collections.abc import Callable
from typing import Any

import trio

from violetstack.rehearsal.fleet.addresses import loopback_address
from violetstack.rehearsal.fleet.campaign_client import READY_REQUEST
from violetstack.rehearsal.fleet.campaign_state import CaseState, Dispatcher
from violetstack.rehearsal.fleet.minimal_http import Client, Ended, connect
from violetstack.rehearsal.fleet.network import GOSSIP_PORT
from violetstack.rehearsal.fleet.plan import Plan
from violetstack.rehearsal.fleet.programs import Program

LISTEN_PORT = 5000
SOCKET_LIMIT = 96
START_TIMEOUT_S = 30.0
NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.3
LATE_REQUEST_S = 0.7
"""A request sent later than this after SIGTERM counts as lost if SIGKILL finds it unanswered."""
MAX_DRAIN_S = 3.0
RESUME_GRACE_S = 0.5
"""The time that a process has after SIGCONT to handle the input that arrived during the stop."""
POLL_INTERVAL_S = 0.02


def _prepare_nothing(_: Program) -> None:
    """The default, for programs that need no preparation."""


class DispatcherProcesses:
    """Controls the dispatcher processes, and records which requests a killed process need not answer."""

    def __init__(self, state: CaseState, prepare: Callable[[Program], None] = _prepare_nothing) -> None:
        """`prepare` is called with each program before its first start."""
        self._state = state
        self._prepare = prepare
        self._starts = 0

    async def start_all(self) -> None:
        """Starts all dispatchers, and returns once each is ready."""
        for number in range(self._state.deployment.dispatcher_count):
            address = loopback_address(number, LISTEN_PORT)
            limits = Plan(seed=self._state.seed, sockets=SOCKET_LIMIT)
            program = Program(number, address, self._configuration(number), limits, self._state.root)
            self._prepare(program)
            dispatcher = Dispatcher(program)
            self._state.dispatchers.append(dispatcher)
            self.start(dispatcher)
        for dispatcher in self._state.dispatchers:
            await self.await_ready(dispatcher)

    def end_all(self) -> None:
        """Kills all dispatchers, and records those that had ended on their own."""
        for dispatcher in self._state.dispatchers:
            self._record_crash(dispatcher)
            dispatcher.program.end()

    def start(self, dispatcher: Dispatcher) -> None:
        self._starts += 1
        starts = self._state.evidence.process_starts.setdefault(dispatcher.program.number, [])
        starts.append(self._state.now())
        dispatcher.program.start(self._state.now(), self._state.seed * 1000 + self._starts)

    async def await_ready(self, dispatcher: Dispatcher) -> None:
        """Returns once clients may connect; records a crash if the dispatcher is not ready in time."""
        start_deadline = self._state.now() + START_TIMEOUT_S
        while not dispatcher.accepting:
            if self._state.now() > start_deadline:
                self._state.crashed.append(
                    f"dispatcher {dispatcher.program.number} was not ready within {START_TIMEOUT_S:g} s"
                )
                return
            try:
                with trio.fail_after(0.5):
                    async with await connect(dispatcher.program.address) as stream:
                        client = Client(stream)
                        await client.send(READY_REQUEST)
                        dispatcher.accepting = client.answer.status == 200
            except (OSError, Ended, trio.TooSlowError):
                pass
            await trio.sleep(0.03)

    def _configuration(self, number: int) -> dict[str, Any]:
        count = self._state.deployment.dispatcher_count
        peers = [loopback_address(n, GOSSIP_PORT) for n in range(count)]
        host, port = loopback_address(number, LISTEN_PORT)
        return {
            "name": f"n{number}",
            "listen": f"{host}:{port}",
            "discovery": self._state.agents[number].address,
            "peer_listen": f"{peers[number][0]}:{peers[number][1]}",
            "peers": [f"{host}:{port}" for host, port in peers],
            "limits": {"sockets": SOCKET_LIMIT, "memory_mb": 192.0},
            "known": {"version": 1, "full": True, "servers": self._state.endpoint_list()},
            "settings": self._state.deployment.for_dispatcher(number),
        }

    async def kill(self, dispatcher: Dispatcher, down_s: float) -> None:
        """Sends SIGKILL, and starts the process again after `down_s` seconds."""
        self._record_crash(dispatcher)
        self._kill(dispatcher, sent_until=math.inf)
        await trio.sleep(down_s)
        self.start(dispatcher)
        await self.await_ready(dispatcher)

    async def restart(self, dispatcher: Dispatcher) -> None:
        """Sends SIGTERM, then SIGKILL once the time allowed for the shutdown is over, and starts it again.

        Leaves the process alone that another restart, which began meanwhile, has started.
        """
        program = dispatcher.program
        signalled = program.process
        self._record_crash(dispatcher)
        program.expected_running = False
        program.send(signal.SIGTERM)
        signalled_at = self._state.now()
        kill_after_s = min(self._state.deployment.longest_timeout_s, MAX_DRAIN_S) + LATE_REQUEST_S
        with trio.move_on_after(kill_after_s):
            await trio.sleep(NEW_CONNECTIONS_AFTER_SIGTERM_S)
            dispatcher.accepting = False
            while program.process is signalled and signalled is not None and signalled.poll() is None:
                await trio.sleep(POLL_INTERVAL_S)
        if program.process is not signalled:
            await self.await_ready(dispatcher)
            return
        self._kill(dispatcher, sent_until=signalled_at + LATE_REQUEST_S)
        self.start(dispatcher)
        await self.await_ready(dispatcher)

    async def pause(self, dispatcher: Dispatcher, duration_s: float) -> None:
        """Stops the process with SIGSTOP for `duration_s`, and extends the deadlines of its open requests."""
        program = dispatcher.program
        if program.process is None or program.process.poll() is not None:
            return
        program.send(signal.SIGSTOP)
        ends_at = self._state.now() + duration_s
        while self._state.now() < ends_at:
            for exchange in self._state.open_exchanges.values():
                if exchange.dispatcher == program.number:
                    exchange.paused_until = max(exchange.paused_until, ends_at + RESUME_GRACE_S)
            await trio.sleep(POLL_INTERVAL_S)
        program.send(signal.SIGCONT)
        self._state.excuse_holds(program.number, self._state.now() + RESUME_GRACE_S)

    def _kill(self, dispatcher: Dispatcher, sent_until: float) -> None:
        """Sends SIGKILL, and excuses unanswered requests that were sent by `sent_until` and are not overdue.

        Also excused are requests that wait for an earlier answer on their connection, and requests whose
        process was stopped.
        """
        now = self._state.now()
        dispatcher.accepting = False
        if dispatcher.program.process is not None and dispatcher.program.process.poll() is None:
            self._state.excuse_holds(dispatcher.program.number, math.inf)
        dispatcher.program.end()
        for exchange in self._state.open_exchanges.values():
            if exchange.dispatcher != dispatcher.program.number:
                continue
            sent_at = exchange.sent_at
            if exchange.pipelined_after is not None and exchange.pipelined_after.answered_at is None:
                exchange.excused = "killed behind a stream"
                continue
            begun_or_in_time = exchange.committed_at is not None or now < exchange.latest_answer_at
            if sent_at is None or (sent_at <= sent_until and begun_or_in_time):
                exchange.excused = "killed"
            elif exchange.paused_until >= now:
                exchange.excused = "killed while stopped"
        dispatcher.close_idle_connections()

    def _record_crash(self, dispatcher: Dispatcher) -> None:
        program = dispatcher.program
        code = program.process.poll() if program.process is not None else None
        if program.expected_running and code is not None:
            lines = [str(line) for line in program.events()[-2:]]
            self._state.crashed.append(
                f"dispatcher {program.number} ended with status {code}: {' '.join(lines)}"
            )
