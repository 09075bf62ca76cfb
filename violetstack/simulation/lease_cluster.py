"""A cluster of lease nodes in virtual time, under faults, with a check of every action under the lease."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count

from violetstack.lease.messages import lease_id_of
from violetstack.lease.node import LeaseNode, NodeSettings
from violetstack.lease.outbox import ALL_PEERS
from violetstack.lease.proposer import Proposer
from violetstack.lease.quorum import acceptor_numbers

LEASE_MS = 2_000.0
LEASE_NAME = "tickets r0"
LEASE_ID = lease_id_of(LEASE_NAME)
KEYS = (b"new", b"old")
MAX_CLOCK_OFFSET_MS = 1e6
CLOCK_DRIFT = 0.009  # a little less than the protocol allows
STEP_MS = 20.0  # how often a process runs its timers
FIRST_FAULT_MS = 1_000.0
MEAN_FAULT_INTERVAL_MS = 1_500.0
DUPLICATE_SHARE = 0.1  # of the datagrams
DELAYED_SHARE = 0.01
DELAYED_MS = 5_000.0
LATENCY_MS = (2.0, 33.0)
HOLDER_FAULT_SHARE = 0.4  # of the faults affect the holder
TWO_WAY_SHARE = 0.5  # of the partitions
ALL_ACCEPTORS_SHARE = 0.2  # of the fifth of faults that may restart all acceptors
PAUSED_ACTION_SHARE = 0.02  # of the actions have a pause between check and action


class Process:
    """One dispatcher's process. Its clock has an offset and a rate of its own.

    Attributes:
        cluster: The cluster that it is part of.
        number: Its dispatcher's number.
        incarnation: How often that dispatcher was started, this time included.
        paused_until: Until when it neither runs nor receives; in the cluster's time.
        pending_action: Token and node id of an action that was checked and is not yet performed.
        node: Its lease node.
        proposer: The node's proposer for the lease.
    """

    def __init__(self, cluster: Cluster, number: int, incarnation: int, *, restarted: bool) -> None:
        """Start a process that tries to acquire the lease."""
        self.cluster = cluster
        self.number = number
        self.incarnation = incarnation
        rng = random.Random(f"{cluster.seed} {number} {incarnation}")
        self._clock_rate = 1.0 + rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        self._clock_offset_ms = rng.uniform(0.0, MAX_CLOCK_OFFSET_MS)
        self.paused_until = 0.0
        self.pending_action: tuple[int, int] | None = None
        settings = NodeSettings(
            number=number,
            fleet_size=cluster.size,
            incarnation=incarnation,
            duration_ms=LEASE_MS,
            keys=KEYS,
            restarted=restarted,
        )
        self.node = LeaseNode(self.now(), settings, rng=rng)
        self.proposer: Proposer = self.node.campaign(LEASE_NAME)

    def now(self) -> float:
        """Return the process's own time, in milliseconds."""
        return self._clock_offset_ms + self.cluster.time * self._clock_rate

    def holds(self) -> bool:
        """Return whether the process holds the lease by its own clock."""
        return self.proposer.holds(self.now())


class Cluster:
    """A cluster of `size` dispatchers that compete for one lease. Times are milliseconds of the simulation.

    Datagrams are lost, duplicated and delayed. With faults, a process is paused, restarted, partitioned or
    resigns every 1.5 s on average, and sometimes all acceptors restart at once.

    Attributes:
        time: The present time.
        size: How many dispatchers there are.
        partitioned: The links, as pairs of sender and receiver, that lose every datagram.
        processes: The present process of each dispatcher.
        violations: Each time that the lease had two holders, or an action came with an outdated token.
        held_ms: For how long the lease was held.
        holder_changes: How often another node than before acted.
    """

    def __init__(self, seed: int, size: int, loss: float, *, faults: bool = True) -> None:
        """Start a cluster whose network loses the share `loss` of all datagrams."""
        self.seed = seed
        self.size = size
        self.time = 0.0
        self.partitioned: set[tuple[int, int]] = set()
        self.violations: list[str] = []
        self.held_ms = 0.0
        self.holder_changes = 0
        self._loss = loss
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_order = count()
        self._newest_token = 0  # of the actions that were accepted
        self._last_actor: int | None = None
        self._all_acceptors_restarted = False
        self.processes = [Process(self, n, 1, restarted=False) for n in range(size)]
        for n in range(size):
            self._schedule(self._rng.uniform(0.0, STEP_MS), partial(self._step, n))
        if faults:
            self._schedule(FIRST_FAULT_MS, self._inject_fault)

    def run(self, until: float) -> None:
        """Run the simulation up to a time."""
        while self._events and self._events[0][0] <= until:
            self.time, _, event = heapq.heappop(self._events)
            event()
        self.time = until

    def holder(self) -> Process | None:
        """Return a process that holds the lease; None if none does."""
        return next((process for process in self.processes if process.holds()), None)

    def pause(self, number: int, until: float) -> None:
        """Stop a process up to a time; datagrams sent to it meanwhile are lost."""
        self.processes[number].paused_until = until

    def restart(self, number: int) -> None:
        """Replace a process by a new one without any state."""
        incarnation = self.processes[number].incarnation + 1
        self.processes[number] = Process(self, number, incarnation, restarted=True)

    def _schedule(self, delay_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.time + delay_ms, next(self._event_order), event))

    # --- the network ---

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        for number in range(self.size) if receiver == ALL_PEERS else [receiver]:
            for _ in range(1 + (self._rng.random() < DUPLICATE_SHARE)):
                if number != sender and self._rng.random() >= self._loss:
                    self._send_one(sender, number, data)

    def _send_one(self, sender: int, receiver: int, data: bytes) -> None:
        if (sender, receiver) in self.partitioned:
            return
        delayed = self._rng.random() < DELAYED_SHARE
        latency_ms = DELAYED_MS if delayed else self._rng.uniform(*LATENCY_MS)
        self._schedule(latency_ms, partial(self._deliver, sender, receiver, data))

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        process = self.processes[receiver]
        if self.time >= process.paused_until:
            process.node.receive(process.now(), sender, data)
            self._flush(process)

    def _flush(self, process: Process) -> None:
        for receiver, data in process.node.tick(process.now()):
            self._send(process.number, receiver, data)

    # --- the processes ---

    def _step(self, number: int) -> None:
        """Run a process's timers, and let it act under the lease if it holds it."""
        self._schedule(STEP_MS, partial(self._step, number))
        process = self.processes[number]
        if self.time < process.paused_until:
            return
        if process.pending_action is not None:
            self._act(*process.pending_action, delayed=True)
            process.pending_action = None
        self._flush(process)
        if not process.holds():
            return
        self.held_ms += STEP_MS
        if any(other.holds() for other in self.processes if other is not process):
            self.violations.append(f"{self.time:.0f}: two holders")
        token = process.proposer.fencing_token
        node_id = process.node.node_id
        self._act(token, node_id, delayed=False)
        if self._rng.random() < PAUSED_ACTION_SHARE:
            process.pending_action = (token, node_id)

    def _act(self, token: int, node_id: int, *, delayed: bool) -> None:
        """Apply an action under the lease unless its token is outdated, as the receiver of one would."""
        changed = node_id != self._last_actor
        if token < self._newest_token or (token == self._newest_token and changed):
            if not delayed:
                self._reject(token, node_id)
            return
        self.holder_changes += changed
        self._last_actor = node_id
        self._newest_token = token

    def _reject(self, token: int, node_id: int) -> None:
        process = next((process for process in self.processes if process.node.node_id == node_id), None)
        if process is None:
            return
        if not self._all_acceptors_restarted:
            self.violations.append(f"{self.time:.0f}: token {token} after {self._newest_token}")
        process.node.on_newer_token(process.now(), LEASE_NAME, self._newest_token)

    # --- faults ---

    def _inject_fault(self) -> None:
        self._schedule(self._rng.expovariate(1 / MEAN_FAULT_INTERVAL_MS), self._inject_fault)
        number = self._rng.randrange(self.size)
        if self._rng.random() < HOLDER_FAULT_SHARE:
            holder = self.holder()
            number = number if holder is None else holder.number
        match self._rng.randrange(5):
            case 0:
                self.pause(number, self.time + self._rng.uniform(100.0, 6_000.0))
            case 1:
                self.restart(number)
            case 2:
                self._partition(number)
            case 3:
                if self._rng.random() < ALL_ACCEPTORS_SHARE:
                    self._restart_all_acceptors()
            case 4:
                self._resign(number)

    def _partition(self, number: int) -> None:
        others = self._rng.sample(range(self.size), self.size // 2)
        links = {(number, other) for other in others}
        if self._rng.random() < TWO_WAY_SHARE:
            links |= {(other, number) for other in others}
        self.partitioned |= links
        heal = partial(self.partitioned.difference_update, links)
        self._schedule(self._rng.uniform(500.0, 5_000.0), heal)

    def _restart_all_acceptors(self) -> None:
        """Restart all acceptors; only the receivers of actions know the newest token after this."""
        self._all_acceptors_restarted = True
        for number in acceptor_numbers(self.size):
            self.restart(number)

    def _resign(self, number: int) -> None:
        other = self._rng.randrange(self.size)
        successor = self.processes[other].node.node_id if other != number else None
        process = self.processes[number]
        process.node.resign(process.now(), LEASE_NAME, successor)
