"""Injects environment faults: of whole hosts, discovery, processes and file descriptors."""

from __future__ import annotations

import signal
from contextlib import suppress

import trio

from violetstack.rehearsal.fleet.campaign_faults import EnvironmentEvent, EnvironmentFault
from violetstack.rehearsal.fleet.campaign_processes import DispatcherProcesses
from violetstack.rehearsal.fleet.campaign_state import CaseState, Dispatcher, FaultSpan
from violetstack.rehearsal.fleet.minimal_http import connect

IDLE_CLIENT_COUNT = 140
COMPLETE_LIST_INTERVAL_S = 0.1
FLOOD_RECOVERY_S = 0.4
RELOAD_TIME_S = 0.2
"""The time within which a dispatcher reloads its configuration after SIGHUP."""


class EnvironmentFaults:
    """Injects the drawn faults."""

    def __init__(self, state: CaseState, processes: DispatcherProcesses) -> None:
        self._state = state
        self._processes = processes

    async def inject(self, event: EnvironmentEvent) -> None:
        """Waits for the event's time, injects its fault and records when it was in force."""
        await trio.sleep(max(0.0, event.at - self._state.now()))
        began_at = self._state.now()
        if event.fault.name.startswith("HOST"):
            await self._inject_host_fault(event)
        elif event.fault.name.startswith("DISCOVERY"):
            await self._inject_discovery_fault(event)
        elif event.fault is EnvironmentFault.DESCRIPTORS_FULL:
            await self._exhaust_descriptors(self._state.dispatchers[event.target], event.duration_s)
        else:
            await self._inject_process_fault(self._state.dispatchers[event.target], event)
        self._state.fault_spans.append(FaultSpan(event.fault, event.target, began_at, self._state.now()))

    async def _inject_host_fault(self, event: EnvironmentEvent) -> None:
        host = self._state.hosts[event.target]
        match event.fault:
            case EnvironmentFault.HOST_REFUSES:
                host.refuse_connections()
                await trio.sleep(event.duration_s)
                host.stop_refusing()
            case EnvironmentFault.HOST_CONNECTS_LATE | EnvironmentFault.HOST_NEVER_CONNECTS:
                host.stop_connecting()
                host.hang_up()
                await trio.sleep(event.duration_s)
                host.resume_connecting()
            case _:
                host.state = "leaving"
                for agent in self._state.all_agents:
                    agent.publish(host.row())
                await trio.sleep(event.duration_s)

    async def _inject_discovery_fault(self, event: EnvironmentEvent) -> None:
        agent = self._state.agents[event.target]
        if event.fault is EnvironmentFault.DISCOVERY_COMPLETE_LISTS:
            for _ in range(int(event.duration_s / COMPLETE_LIST_INTERVAL_S)):
                agent.publish_complete_list(self._state.endpoint_list())
                await trio.sleep(COMPLETE_LIST_INTERVAL_S)
            return
        if event.fault is EnvironmentFault.DISCOVERY_RESET:
            agent.hang_up()
            await trio.sleep(event.duration_s)
            return
        modes = {EnvironmentFault.DISCOVERY_SILENT: "silent", EnvironmentFault.DISCOVERY_LATE: "slow"}
        agent.mode = modes.get(event.fault, "")
        agent.hang_up()
        await trio.sleep(event.duration_s)
        agent.mode = ""
        agent.hang_up()

    async def _exhaust_descriptors(self, dispatcher: Dispatcher, duration_s: float) -> None:
        """Uses up the dispatcher's descriptors by idle connections, which are closed after `duration_s`."""
        dispatcher.begin_flood(self._state.now())
        streams = []
        with trio.move_on_after(duration_s):
            for _ in range(IDLE_CLIENT_COUNT):
                with suppress(OSError):
                    streams.append(await connect(dispatcher.program.address))
            await trio.sleep(duration_s)
        for stream in streams:
            stream.socket.close()
        dispatcher.end_flood(self._state.now() + FLOOD_RECOVERY_S)

    async def _inject_process_fault(self, dispatcher: Dispatcher, event: EnvironmentEvent) -> None:
        program = dispatcher.program
        match event.fault:
            case EnvironmentFault.SIGHUP:
                program.send(signal.SIGHUP)
                await trio.sleep(RELOAD_TIME_S)
            case (
                EnvironmentFault.SIGSTOP_SHORT
                | EnvironmentFault.SIGSTOP_LONG
                | EnvironmentFault.SIGSTOP_OVER_STREAM_TIMEOUT
            ):
                await self._processes.pause(dispatcher, event.duration_s)
            case EnvironmentFault.SIGKILL:
                await self._processes.kill(dispatcher, event.duration_s)
            case _:
                await self._processes.restart(dispatcher)
