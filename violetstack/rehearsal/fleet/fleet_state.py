"""What the parts of one fleet run share: its plan, its processes and stand-ins, and the auditor."""

from __future__ import annotations

import math
import random
import time
from itertools import count
from pathlib import Path

import trio

from violetstack.config import Address
from violetstack.rehearsal.fleet.addresses import loopback_address
from violetstack.rehearsal.fleet.audit import Audit
from violetstack.rehearsal.fleet.hosts import STREAM_S, Engine
from violetstack.rehearsal.fleet.network import Agent, Relay
from violetstack.rehearsal.fleet.plan import Plan
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.stage import SETTINGS

PREFILL_S = 0.1
"""How long a prefill host needs for the mean prompt."""
RUNS = count()
"""Each run of this process has addresses of its own."""


class FleetState:
    """One run's parts.

    Attributes:
        relayed: Whether datagrams between dispatchers pass the relay. It costs each sender a call a receiver,
            so it is used only where something is to be lost.
        in_flight: The most requests at once inside of one prefill host, by time.
        broken_links: Dispatchers whose path to all hosts was broken at any time.
        lag: How late the stand-ins were at most.
    """

    nursery: trio.Nursery

    def __init__(self, plan: Plan, root: Path) -> None:
        self.plan = plan
        self.root = root
        self.random = random.Random(plan.seed)
        rules = SETTINGS["rules"]
        self.audit = Audit(
            rules["stop_sending_within"] / 1000.0,
            SETTINGS["family_info"]["release"] / 1000.0,
            rules["fall"] / 1000.0,
            rules["fall_multiple"],
        )
        self.relay: Relay | None = None
        self.programs: list[Program] = []
        self.agents: list[Agent] = []
        self.engines: dict[str, Engine] = {}
        self.in_flight: list[tuple[float, int]] = []
        self.ready_s: list[float] = []
        self.crashed: list[str] = []
        self.relayed = "duties" in plan.file or any(each.do == "network" for each in plan.trouble)
        self.broken_links: set[int] = set()
        self.lag = 0.0
        self._run = next(RUNS)
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the load began."""
        return time.monotonic() - self._began

    def load_begins(self) -> None:
        """Forgets what happened before: the start is no part of the run."""
        self._began = time.monotonic()
        self.lag = 0.0
        self.audit.holders = []
        self.in_flight = []
        self.ready_s = []
        for agent in self.agents:
            agent.calls = []
        for program in self.programs:
            program.last_yes = 0.0

    def address(self, number: int, port: int) -> Address:
        """A dispatcher's address in this run."""
        return loopback_address(number, port, self._run)

    def new_host(self, name: str, kind: str, born: float | None = None) -> Engine:
        """A host with the capacity that the plan's load needs; `born`: when it started, if it is cold."""
        plan = self.plan
        host_count = plan.readers if kind == "prefill" else plan.writers
        work_s = PREFILL_S if kind == "prefill" else STREAM_S
        slots = max(2, math.ceil(plan.rate / host_count / plan.load * work_s))
        return Engine(
            name,
            kind,
            slots=slots,
            queue=4 * slots,
            work_s=work_s,
            audit=self.audit,
            clock=self.now,
            born=born,
        )
