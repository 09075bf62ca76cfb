"""Time until the next lease holder, and the cost of leases, in virtual time on a network with packet loss.

    python -m benchmarks.leases [--runs N] [--minutes M]

For fleets of 5, 40 and 200 dispatchers and packet losses of 0, 10 and 30%, prints the time until the first
holder, and until the next one after the holder was killed, partitioned, or partitioned one way so that it
receives nothing (median and maximum of N runs; a lease lasts 2 s, and 2% longer for acceptors). Then prints
the changes of holder in M minutes without faults, and the cost of leases: datagrams and bytes a second of the
whole fleet for 1, 100 and 1,000 leases, and the CPU time of a renewal.
"""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Callable
from statistics import median
from typing import NamedTuple

from violetstack.lease.node import LeaseNode, NodeSettings
from violetstack.lease.outbox import ALL_PEERS
from violetstack.simulation.lease_cluster import LEASE_MS, Cluster, Process

STEP_MS = 10.0
MAX_WAIT_MS = 60_000.0
SETTLE_MS = 6_000.0  # before a fault is injected at the holder
MINUTE_MS = 60_000.0
LATENCY_MS = 3.0
COST_SETTLE_MS = 20_000.0
RENEWAL_INTERVAL_MS = LEASE_MS * 0.3  # on average, with the jitter
DATAGRAMS_PER_S = 1_000.0

HolderFault = Callable[[Cluster, Process], None]


class Workload(NamedTuple):
    """The size of a fleet, its number of leases, and the seconds for which it is measured."""

    fleet_size: int
    leases: int
    seconds: float


WORKLOADS = (
    Workload(5, 1, 30.0),
    Workload(40, 1, 30.0),
    Workload(200, 1, 10.0),
    Workload(40, 100, 10.0),
    Workload(40, 1000, 6.0),
)


class Traffic(NamedTuple):
    """The numbers of datagrams and bytes sent."""

    datagrams: int
    size: int


def wait_for_holder(cluster: Cluster, former: Process | None = None) -> float:
    """Run until a process other than `former` holds the lease; return the elapsed milliseconds."""
    started = cluster.time
    while not any(process.holds() for process in cluster.processes if process is not former):
        if cluster.time - started > MAX_WAIT_MS:
            return MAX_WAIT_MS
        cluster.run(cluster.time + STEP_MS)
    return cluster.time - started


def kill(cluster: Cluster, holder: Process) -> None:
    """Stop the holder for good."""
    cluster.pause(holder.number, float("inf"))


def partition(cluster: Cluster, holder: Process) -> None:
    """Cut the holder off in both directions."""
    cluster.partitioned |= {(holder.number, n) for n in range(cluster.size)}
    partition_inbound(cluster, holder)


def partition_inbound(cluster: Cluster, holder: Process) -> None:
    """Cut off the holder's inbound direction: it can send, but receives nothing."""
    cluster.partitioned |= {(n, holder.number) for n in range(cluster.size)}


def failover_ms(seed: int, size: int, loss: float, inject: HolderFault) -> float:
    """Return the milliseconds until another process holds the lease, after a fault of the first holder."""
    cluster = Cluster(seed, size, loss, faults=False)
    cluster.run(SETTLE_MS)
    wait_for_holder(cluster)
    holder = next(process for process in cluster.processes if process.holds())
    inject(cluster, holder)
    return wait_for_holder(cluster, holder)


def print_failover(runs: int) -> None:
    """Print the times until the first and until the next holder."""
    print(
        "size loss  first: median max | next after a kill | a partition | an inbound partition  (ms)",
        flush=True,
    )
    for size in (5, 40, 200):
        for loss in (0.0, 0.1, 0.3):
            first = sorted(wait_for_holder(Cluster(seed, size, loss, faults=False)) for seed in range(runs))
            row = f"{size:4d} {loss:4.0%}  {median(first):6.0f} {first[-1]:7.0f}"
            for inject in (kill, partition, partition_inbound):
                times_ms = sorted(failover_ms(seed, size, loss, inject) for seed in range(runs))
                row += f" | {median(times_ms):6.0f} {times_ms[-1]:6.0f}"
            print(row, flush=True)


def print_holder_changes(minutes: float) -> None:
    """Print how often the holder changes when no fault is injected."""
    for size, loss in ((5, 0.3), (40, 0.3)):
        cluster = Cluster(1, size, loss, faults=False)
        cluster.run(minutes * MINUTE_MS)
        held = cluster.held_ms / (minutes * MINUTE_MS)
        print(
            f"{size} dispatchers, {loss:.0%} loss, {minutes:.0f} min: {cluster.holder_changes - 1} changes "
            f"of holder, held {held:.1%} of the time, violations {len(cluster.violations)}",
            flush=True,
        )


class LosslessFleet:
    """Lease nodes whose datagrams all arrive after `LATENCY_MS`, and the CPU time that the nodes use."""

    def __init__(self, fleet_size: int, leases: int) -> None:
        """Start nodes of which each campaigns for every lease."""
        self.now = 0.0
        self.cpu_s = 0.0
        self.names = [f"d{n}" for n in range(leases)]
        self.nodes = [_new_node(number, fleet_size) for number in range(fleet_size)]
        self._in_flight: list[tuple[int, int, bytes]] = []
        for node in self.nodes:
            for name in self.names:
                node.campaign(name)

    def run(self, duration_ms: float) -> None:
        """Run the nodes for `duration_ms` of virtual time."""
        until = self.now + duration_ms
        while self.now < until:
            self.now += LATENCY_MS
            started = time.process_time()
            self._step()
            self.cpu_s += time.process_time() - started

    def _step(self) -> None:
        arriving = self._in_flight
        self._in_flight = []
        for sender, receiver, data in arriving:
            for number in range(len(self.nodes)) if receiver == ALL_PEERS else (receiver,):
                if number != sender:
                    self.nodes[number].receive(self.now, sender, data)
        for node in self.nodes:
            if node.next_tick_at(self.now) <= self.now:
                self._in_flight += [(node.number, to, data) for to, data in node.tick(self.now)]

    def traffic(self) -> Traffic:
        """Return the traffic of all nodes since the start."""
        datagrams = sum(node.outbox.datagrams_sent for node in self.nodes)
        return Traffic(datagrams, sum(node.outbox.bytes_sent for node in self.nodes))

    def held(self) -> list[int]:
        """Return how many leases each node holds."""
        return [sum(node.holds(self.now, name) for name in self.names) for node in self.nodes]


def _new_node(number: int, fleet_size: int) -> LeaseNode:
    settings = NodeSettings(
        number=number,
        fleet_size=fleet_size,
        incarnation=1,
        duration_ms=LEASE_MS,
        datagrams_per_s=DATAGRAMS_PER_S,
        restarted=False,
    )
    return LeaseNode(0.0, settings, rng=random.Random(number))


def print_cost(workload: Workload) -> None:
    """Print the traffic and the CPU time of a workload."""
    fleet = LosslessFleet(workload.fleet_size, workload.leases)
    fleet.run(COST_SETTLE_MS)
    before = fleet.traffic()
    cpu_before_s = fleet.cpu_s
    fleet.run(workload.seconds * 1000.0)
    after = fleet.traffic()
    held = fleet.held()
    renewals = workload.leases * workload.seconds * 1000.0 / RENEWAL_INTERVAL_MS
    renewal_us = 1e6 * (fleet.cpu_s - cpu_before_s) / renewals
    print(
        f"{workload.fleet_size} dispatchers, {workload.leases} leases: "
        f"{(after.datagrams - before.datagrams) / workload.seconds:.0f} datagrams and "
        f"{(after.size - before.size) / workload.seconds:.0f} bytes a second in all, held {sum(held)}, "
        f"at one {min(held)} to {max(held)}, {renewal_us:.0f} us of CPU a renewal "
        "at all dispatchers together",
        flush=True,
    )


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--runs", "--plays", type=int, default=20)
    parser.add_argument("--minutes", type=float, default=60.0)
    options = parser.parse_args()
    print_failover(options.runs)
    print_holder_changes(options.minutes)
    for workload in WORKLOADS:
        print_cost(workload)


if __name__ == "__main__":
    main()
