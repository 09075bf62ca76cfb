"""Injects the faults of a soak, in addition to those of the campaign."""

from __future__ import annotations

import fcntl
import os
import random
import signal
import subprocess
import sys
from collections import defaultdict
from collections.abc import Mapping
from contextlib import suppress
from typing import IO

import trio

from violetstack.rehearsal.fleet.campaign_environment import FLOOD_RECOVERY_S, EnvironmentFaults
from violetstack.rehearsal.fleet.campaign_faults import EnvironmentEvent, EnvironmentFault
from violetstack.rehearsal.fleet.campaign_host import CampaignHost
from violetstack.rehearsal.fleet.campaign_processes import DispatcherProcesses
from violetstack.rehearsal.fleet.campaign_state import CaseState, Dispatcher, FaultSpan
from violetstack.rehearsal.fleet.fault_shim import ProcessFaults, SystemCall
from violetstack.rehearsal.fleet.minimal_http import connect
from violetstack.rehearsal.fleet.network import Agent
from violetstack.rehearsal.fleet.programs import die_with_parent
from violetstack.rehearsal.fleet.soak_faults import FailingCall, SoakEvent, SoakFault

PIPE_BYTES = 4096
CLOCK_STEP_S = 3_600.0
RELOAD_COUNT = 4
RELOAD_INTERVAL_S = 0.05
RELOAD_TIME_S = 0.3
MAX_SIGNAL_PAUSE_S = 0.7
FLOOD_INTERVAL_S = 0.02
HALF_REQUEST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
BUSY_PROGRAM = "while True: pass"
CONNECTING_CALLS = frozenset({SystemCall.SOCKET, SystemCall.CONNECT})
"""While these fail, the dispatcher may be unable to open a connection for a release."""
RESTARTS = frozenset({EnvironmentFault.SIGTERM, EnvironmentFault.SIGKILL})


async def _keep_machine_busy(duration_s: float) -> None:
    """Runs other programs that use processor time, one for every two processors."""
    programs = []
    try:
        for _ in range(max(1, len(os.sched_getaffinity(0)) // 2)):
            programs.append(_start_busy_program())  # noqa: PERF401 - each is ended even if a later start fails
        await trio.sleep(duration_s)
    finally:
        for program in programs:
            program.kill()
            program.wait()


def _start_busy_program() -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-c", BUSY_PROGRAM],
        preexec_fn=die_with_parent,  # noqa: PLW1509 - the rehearsal has one thread
    )


class LogPipe:
    """A small pipe between a dispatcher and its log; its reader can be stalled."""

    def __init__(self) -> None:
        self.read_end, self.write_end = os.pipe()
        fcntl.fcntl(self.read_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self._not_stalled = trio.Event()
        self._not_stalled.set()

    def stall(self) -> None:
        """Stops reading until `resume`."""
        self._not_stalled = trio.Event()

    def resume(self) -> None:
        self._not_stalled.set()

    async def copy(self, log: IO[bytes]) -> None:
        """Copies the pipe to the log until cancelled."""
        async with trio.lowlevel.FdStream(os.dup(self.read_end)) as stream:
            while True:
                await self._not_stalled.wait()
                data = await stream.receive_some(PIPE_BYTES)
                log.seek(0, os.SEEK_END)
                log.write(data)

    def close(self) -> None:
        os.close(self.read_end)
        os.close(self.write_end)


class SoakEnvironment:
    """Injects the faults of one seed. Faults that restart the same process are serialized by a lock."""

    def __init__(
        self,
        state: CaseState,
        campaign: EnvironmentFaults,
        processes: DispatcherProcesses,
        process_faults: Mapping[int, ProcessFaults],
        pipes: Mapping[int, LogPipe],
    ) -> None:
        self._state = state
        self._campaign = campaign
        self._processes = processes
        self._process_faults = process_faults
        self._pipes = pipes
        self._restart_locks: dict[int, trio.Lock] = defaultdict(trio.Lock)

    async def inject(self, event: SoakEvent, peer_nursery: trio.Nursery) -> None:
        """Waits for the event's time, injects its fault and records when it was in force."""
        await trio.sleep(max(0.0, event.at - self._state.now()))
        if isinstance(event.fault, EnvironmentFault):
            await self._inject_campaign_fault(event, event.fault)
            return
        began_at = self._state.now()
        await self._inject(event, event.fault, peer_nursery)
        self._state.fault_spans.append(FaultSpan(event.fault, event.target, began_at, self._state.now()))

    async def _inject_campaign_fault(self, event: SoakEvent, fault: EnvironmentFault) -> None:
        campaign_event = EnvironmentEvent(event.at, event.duration_s, fault, event.target)
        if fault not in RESTARTS:
            await self._campaign.inject(campaign_event)
            return
        async with self._restart_locks[event.target]:
            await self._campaign.inject(campaign_event)

    async def _inject(self, event: SoakEvent, fault: SoakFault, peer_nursery: trio.Nursery) -> None:
        match fault:
            case SoakFault.HOST_RESETS_CONNECTIONS:
                self._state.hosts[event.target].hang_up()
            case SoakFault.HOST_HANGS:
                await self._hang_host(event)
            case SoakFault.HOST_FREEZES_AND_BEGINS | SoakFault.HOST_FREEZES_AND_RESETS:
                resets = fault is SoakFault.HOST_FREEZES_AND_RESETS
                await self._freeze([self._state.hosts[event.target]], event.duration_s, resets=resets)
            case SoakFault.HOST_GROUP_FREEZES:
                hosts = self._state.hosts[event.target % 2 :: 2]
                await self._freeze(hosts, event.duration_s, resets=bool(event.target % 2))
            case SoakFault.HOST_BECOMES_UNREACHABLE:
                await self._make_unreachable(self._state.hosts[event.target], event.duration_s)
            case SoakFault.SIGNAL_SERIES:
                await self._send_signal_series(event)
            case SoakFault.CONNECTION_FLOOD:
                await self._flood_with_incomplete_requests(
                    self._state.dispatchers[event.target], event.duration_s
                )
            case SoakFault.CPU_CONTENTION:
                await _keep_machine_busy(event.duration_s)
            case SoakFault.LOG_STALLS:
                await self._stall_log(event)
            case SoakFault.RELOADS:
                await self._reload(self._state.dispatchers[event.target])
            case SoakFault.DISCOVERY_MOVES:
                await self._move_discovery(self._state.dispatchers[event.target], peer_nursery)
            case SoakFault.CLOCK_FORWARD | SoakFault.CLOCK_BACK | SoakFault.CLOCK_STEP_AND_RESTART:
                await self._step_clock(event, fault)
            case _:
                await self._fail_calls(event, FailingCall[fault.name])

    async def _hang_host(self, event: SoakEvent) -> None:
        """Makes the host accept attempts and leave them unanswered."""
        host = self._state.hosts[event.target]
        host.hanging = True
        await trio.sleep(event.duration_s)
        host.hanging = False

    async def _freeze(self, hosts: list[CampaignHost], duration_s: float, *, resets: bool) -> None:
        """Makes the hosts accept connections and data, but begin no request."""
        for host in hosts:
            host.freeze()
        await trio.sleep(duration_s)
        for host in hosts:
            host.thaw(resets=resets)

    async def _make_unreachable(self, host: CampaignHost, duration_s: float) -> None:
        """Silences open connections and establishes no new ones; at the end the silent ones are reset."""
        host.freeze()
        host.stop_connecting()
        await trio.sleep(duration_s)
        host.resume_connecting()
        host.thaw(resets=True)

    async def _send_signal_series(self, event: SoakEvent) -> None:
        """Restarts the dispatcher twice with a reload in between, with pauses up to MAX_SIGNAL_PAUSE_S."""
        dispatcher = self._state.dispatchers[event.target]
        rng = random.Random(f"signals {self._state.seed} {event.at}")
        async with self._restart_locks[event.target]:
            await self._processes.restart(dispatcher)
            await trio.sleep(rng.random() * MAX_SIGNAL_PAUSE_S)
            dispatcher.program.send(signal.SIGHUP)
            await trio.sleep(rng.random() * MAX_SIGNAL_PAUSE_S)
            await self._processes.restart(dispatcher)

    async def _flood_with_incomplete_requests(self, dispatcher: Dispatcher, duration_s: float) -> None:
        """Keeps opening connections that send half a request each, also during restarts."""
        dispatcher.begin_flood(self._state.now())
        streams: list[trio.SocketStream] = []
        ends_at = self._state.now() + duration_s
        while self._state.now() < ends_at:
            with suppress(OSError, trio.BrokenResourceError):
                stream = await connect(dispatcher.program.address)
                streams.append(stream)
                await stream.send_all(HALF_REQUEST)
            await trio.sleep(FLOOD_INTERVAL_S)
        for stream in streams:
            stream.socket.close()
        dispatcher.end_flood(self._state.now() + FLOOD_RECOVERY_S)

    async def _stall_log(self, event: SoakEvent) -> None:
        pipe = self._pipes[event.target]
        pipe.stall()
        await trio.sleep(event.duration_s)
        pipe.resume()

    async def _reload(self, dispatcher: Dispatcher) -> None:
        for _ in range(RELOAD_COUNT):
            dispatcher.program.send(signal.SIGHUP)
            await trio.sleep(RELOAD_INTERVAL_S)
        await trio.sleep(RELOAD_TIME_S)

    async def _move_discovery(self, dispatcher: Dispatcher, peer_nursery: trio.Nursery) -> None:
        """Moves the endpoint list to a new agent, names it in the configuration, and sends SIGHUP."""
        program = dispatcher.program
        agent = Agent(program.number, self._state.endpoint_list(), {}, self._state.now)
        agent.begin_at(self._state.agents[program.number].version)
        await peer_nursery.start(agent.serve)
        self._state.move_agent(program.number, agent)
        program.node_config["discovery"] = agent.address
        async with self._restart_locks[program.number]:
            if program.process is not None and program.process.poll() is None:
                program.rewrite_configuration()
                program.send(signal.SIGHUP)
        await trio.sleep(RELOAD_TIME_S)

    async def _step_clock(self, event: SoakEvent, fault: SoakFault) -> None:
        faults = self._process_faults.get(event.target)
        if faults is None:
            return
        faults.step_wall_clock(-CLOCK_STEP_S if fault is SoakFault.CLOCK_BACK else CLOCK_STEP_S)
        if fault is SoakFault.CLOCK_STEP_AND_RESTART:
            async with self._restart_locks[event.target]:
                await self._processes.restart(self._state.dispatchers[event.target])
        await trio.sleep(event.duration_s)
        faults.step_wall_clock(0.0)

    async def _fail_calls(self, event: SoakEvent, failing: FailingCall) -> None:
        faults = self._process_faults.get(event.target)
        if faults is None:
            return
        call, error, period = failing.value
        faults.fail(call, error, period)
        await trio.sleep(event.duration_s)
        faults.stop_failing(call)
        if call in CONNECTING_CALLS:
            self._state.excuse_holds(event.target, self._state.now() + FLOOD_RECOVERY_S)
