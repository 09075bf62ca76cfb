"""What the parts of one case share: its deployment, its stand-ins, and the evidence for the auditor."""

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
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.fleet.soak_faults import InjectedFault
from violetstack.rehearsal.fleet.socket_audit import ClientExchange, Evidence


class FaultSpan(NamedTuple):
    """When a fault of the environment began and ended."""

    fault: InjectedFault
    target: int
    began_at: float
    ended_at: float


class Dispatcher:
    """One dispatcher's process as the clients' front sees it."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.accepting = False
        """New connections go there."""
        self.idle_connections: list[tuple[ClientConnection, ClientExchange]] = []
        self.flood_began_at = math.inf
        self.flood_ended_at = -math.inf
        self._active_floods = 0

    def begin_flood(self, now: float) -> None:
        """Clients take what descriptors there are; several floods may overlap."""
        if not self._active_floods:
            self.flood_began_at = now
        self._active_floods += 1
        self.flood_ended_at = math.inf

    def end_flood(self, until: float) -> None:
        """One flood is over; with the last one, its aftermath ends at `until`."""
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
        """The agent that each dispatcher's configuration names."""
        self.former_agents: list[Agent] = []
        self.dispatchers: list[Dispatcher] = []
        self.crashed: list[str] = []
        self.statuses: Counter[str] = Counter()
        self.fault_spans: list[FaultSpan] = []
        self.lag_s = 0.0
        self.starved_s = 0.0
        self._load_began_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the load began."""
        return time.monotonic() - self._load_began_at

    def begin_load(self) -> None:
        self._load_began_at = time.monotonic()
        self.evidence.process_starts.clear()  # those before count from the beginning
        self.lag_s = 0.0
        self.starved_s = 0.0

    @property
    def all_agents(self) -> list[Agent]:
        """Every agent that was named, those of now last."""
        return [*self.former_agents, *self.agents]

    def move_agent(self, number: int, agent: Agent) -> None:
        """The dispatcher's configuration names another agent from now on."""
        self.former_agents.append(self.agents[number])
        self.agents[number] = agent

    def excuse_holds(self, dispatcher: int, until: float) -> None:
        """The dispatcher could not release anything until then; infinite: it has left that to the hosts."""
        exchanges = self.evidence.exchanges.values()
        self.evidence.holds.excuse((each.id for each in exchanges if each.dispatcher == dispatcher), until)

    def endpoint_list(self) -> list[dict[str, Any]]:
        """The complete endpoint list."""
        return [host.row() for host in self.hosts]
