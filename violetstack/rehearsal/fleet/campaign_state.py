"""The state that the components of a case share: deployment, simulated peers, evidence for the audit."""

from __future__ import annotations

import math
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from violetstack.rehearsal.fleet.campaign_client import ClientConnection
from violetstack.rehearsal.fleet.campaign_faults import RequestScript
from violetstack.rehearsal.fleet.campaign_host import CampaignHost
from violetstack.rehearsal.fleet.campaign_settings import draw_deployment
from violetstack.rehearsal.fleet.network import Agent
from violetstack.rehearsal.fleet.process_delays import ProcessDelays
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.fleet.soak_faults import InjectedFault
from violetstack.rehearsal.fleet.socket_audit import ClientExchange, Evidence


class FaultSpan(NamedTuple):
    """The time from the beginning to the end of an environment fault, in seconds of the run."""

    fault: InjectedFault
    target: int
    began_at: float
    ended_at: float


class Dispatcher:
    """The process of one dispatcher, and the connections that clients have to it."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.accepting = False
        """Whether clients open new connections to it."""
        self.idle_connections: list[tuple[ClientConnection, ClientExchange]] = []
        self.flood_began_at = math.inf
        self.flood_ended_at = -math.inf
        self._active_floods = 0

    def begin_flood(self, now: float) -> None:
        """Notes that clients take up all descriptors from now on; several floods may overlap."""
        if not self._active_floods:
            self.flood_began_at = now
        self._active_floods += 1
        self.flood_ended_at = math.inf

    def end_flood(self, until: float) -> None:
        """Notes the end of a flood; after the last one, new connections may still fail before `until`."""
        self._active_floods -= 1
        if not self._active_floods:
            self.flood_ended_at = until

    def close_idle_connections(self) -> None:
        for connection, _ in self.idle_connections:
            connection.close()
        self.idle_connections.clear()


class CaseState:
    """The shared state of one case, keyed by the number of a dispatcher or host, or by request id.

    `open_exchanges` holds the requests that have not ended yet.
    """

    def __init__(self, seed: int, root: Path, dispatchers: int | None = None) -> None:
        self.seed = seed
        self.root = root
        self.deployment = draw_deployment(seed, dispatchers)
        self.evidence = Evidence()
        self.scripts: dict[str, RequestScript] = {}
        self.open_exchanges: dict[str, ClientExchange] = {}
        self.hosts: list[CampaignHost] = []
        self.agents: list[Agent] = []
        """The discovery agents that the dispatchers' current configurations name."""
        self.former_agents: list[Agent] = []
        self.dispatchers: list[Dispatcher] = []
        self.crashed: list[str] = []
        self.statuses: Counter[str] = Counter()
        self.fault_spans: list[FaultSpan] = []
        self.delays = ProcessDelays()
        self._load_began_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the load began."""
        return time.monotonic() - self._load_began_at

    def begin_load(self) -> None:
        self._load_began_at = time.monotonic()
        self.evidence.process_starts.clear()  # the first processes count as running from the beginning
        self.delays.reset()

    @property
    def all_agents(self) -> list[Agent]:
        """All agents that a configuration has named so far; the current ones come last."""
        return [*self.former_agents, *self.agents]

    def move_agent(self, number: int, agent: Agent) -> None:
        """Replaces the agent that the dispatcher's configuration names."""
        self.former_agents.append(self.agents[number])
        self.agents[number] = agent

    def excuse_holds(self, dispatcher: int, until: float) -> None:
        """Excuses holds of the dispatcher's requests, as it was unable to release them before `until`.

        `until` is infinite if the dispatcher has left them to the hosts' retention time.
        """
        exchanges = self.evidence.exchanges.values()
        self.evidence.holds.excuse(
            (exchange.id for exchange in exchanges if exchange.dispatcher == dispatcher), until
        )

    def endpoint_list(self) -> list[dict[str, Any]]:
        """Returns the complete endpoint list."""
        return [host.row() for host in self.hosts]
