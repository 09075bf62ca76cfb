"""The state that the components of one fleet run share: plan, processes, simulated peers and audit."""

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
from violetstack.rehearsal.fleet.hosts import STREAM_S, SimulatedHost
from violetstack.rehearsal.fleet.network import Agent, Relay
from violetstack.rehearsal.fleet.plan import Plan
from violetstack.rehearsal.fleet.process_delays import ProcessDelays
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.stage import SETTINGS

PREFILL_S = 0.1
"""How long a prefill host needs for the mean prompt."""
RUNS = count()
"""Numbers the runs of this process, so that each has addresses of its own."""


class FleetState:
    """The state of one run.

    Attributes:
        relayed: Whether datagrams between dispatchers pass the relay. A sender then makes one call for each
            receiver, so the relay is used only for plans with network faults or leases.
        in_flight: The most requests at one prefill host, by time.
        ready_s: The time from each start of a process to its first readiness.
        crashed: The dispatchers that ended unexpectedly.
        broken_links: Dispatchers whose path to all hosts was broken at any time.
        delays: How late the simulated hosts and clients were at most.
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
        self.hosts: dict[str, SimulatedHost] = {}
        self.in_flight: list[tuple[float, int]] = []
        self.ready_s: list[float] = []
        self.crashed: list[str] = []
        self.relayed = "duties" in plan.operator_file or any(fault.kind == "network" for fault in plan.faults)
        self.broken_links: set[int] = set()
        self.delays = ProcessDelays()
        self._run = next(RUNS)
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the load began."""
        return time.monotonic() - self._began_at

    def begin_load(self) -> None:
        """Set the time to 0 and discard earlier records; the start of the fleet is not part of the run."""
        self._began_at = time.monotonic()
        self.delays.reset()
        self.audit.tenures = []
        self.in_flight = []
        self.ready_s = []
        for agent in self.agents:
            agent.calls = []
        for program in self.programs:
            program.last_ready_at = 0.0

    def address(self, number: int, port: int) -> Address:
        """Return a dispatcher's address in this run."""
        return loopback_address(number, port, self._run)

    def new_host(self, name: str, kind: str, started_at: float | None = None) -> SimulatedHost:
        """Return a host with the capacity for the plan's load; `started_at` is None if it is warm."""
        plan = self.plan
        host_count = plan.prefill_hosts if kind == "prefill" else plan.decode_hosts
        work_s = PREFILL_S if kind == "prefill" else STREAM_S
        slots = max(2, math.ceil(plan.rate / host_count / plan.utilization * work_s))
        return SimulatedHost(
            name,
            kind,
            slots=slots,
            queue=4 * slots,
            work_s=work_s,
            audit=self.audit,
            clock=self.now,
            started_at=started_at,
        )
