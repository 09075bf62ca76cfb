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
from violetstack.rehearsal.fleet.soak_faults import Fault
from violetstack.rehearsal.fleet.socket_audit import ClientExchange, Evidence


class FaultSpan(NamedTuple):
    """When a fault of the environment began and ended."""

    fault: Fault
    target: int
    began: float
    ended: float


class Dispatcher:
    """One dispatcher's process as the clients' front sees it."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.accepting = False
        """New connections go there."""
        self.kept: list[tuple[ClientConnection, ClientExchange]] = []
        self.flooded_from = math.inf
        self.flooded_until = -math.inf
        self._floods = 0

    def flood_begins(self, now: float) -> None:
        """Clients take what descriptors there are; several floods may overlap."""
        if not self._floods:
            self.flooded_from = now
        self._floods += 1
        self.flooded_until = math.inf

    def flood_ends(self, until: float) -> None:
        """One flood is over; with the last one, its aftermath ends at `until`."""
        self._floods -= 1
        if not self._floods:
            self.flooded_until = until

    def forget_connections(self) -> None:
        for connection, _ in self.kept:
            connection.close()
        self.kept.clear()


class CaseState:
    """Attributes are by dispatcher or host number, or by request id; `open` are requests without an end."""

    def __init__(self, seed: int, root: Path, dispatchers: int | None = None) -> None:
        self.seed = seed
        self.root = root
        self.deployment = draw_deployment(seed, dispatchers)
        self.evidence = Evidence()
        self.scripts: dict[str, RequestScript] = {}
        self.open: dict[str, ClientExchange] = {}
        self.hosts: list[CampaignHost] = []
        self.agents: list[Agent] = []
        """The agent that each dispatcher's configuration names."""
        self.former_agents: list[Agent] = []
        self.dispatchers: list[Dispatcher] = []
        self.crashed: list[str] = []
        self.statuses: Counter[str] = Counter()
        self.spans: list[FaultSpan] = []
        self.lag_s = 0.0
        self.starved_s = 0.0
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the load began."""
        return time.monotonic() - self._began

    def load_begins(self) -> None:
        self._began = time.monotonic()
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

    def rows(self) -> list[dict[str, Any]]:
        """The complete endpoint list."""
        return [host.row() for host in self.hosts]
