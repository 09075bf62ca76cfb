"""One dispatcher's part in all leases: its acceptor, if it has one, and a proposer for each lease it wants.

The node turns received datagrams and the passage of time into datagrams to send. The caller has to call
`LeaseNode.tick` at `next_tick_at` and after each received datagram.
"""

from __future__ import annotations

import heapq
import random
from functools import partial
from hashlib import blake2b
from math import inf

import msgspec

from violetstack.lease.acceptor import Acceptor
from violetstack.lease.candidacy import Candidacy, LeaseView
from violetstack.lease.fencing import FencingFilter
from violetstack.lease.messages import (
    Ballot,
    Message,
    MessageType,
    decode,
    dispatcher_number_of,
    lease_id_of,
    node_id_of,
)
from violetstack.lease.observer import Broadcast, LeaseObserver, NullObserver
from violetstack.lease.outbox import ALL_PEERS, Outbox
from violetstack.lease.proposer import Proposer
from violetstack.lease.quorum import acceptor_numbers, majority
from violetstack.lease.retry_schedule import ATTEMPT_TIMEOUT_MS, RetrySchedule

FENCE_QUERY_INTERVAL_MS = 500.0
DISCARD_INTERVAL_MS = 1_000.0  # between two calls of `Acceptor.discard_expired`
COOLDOWN_LEASE_DURATIONS = 2.0  # how long a node does not campaign for a lease that it has resigned
MIN_TIMER_DELAY_MS = 1.0
PREFERENCE_HASH_BYTES = 8
DEFAULT_DATAGRAMS_PER_S = 200.0
ACCEPTOR_MESSAGES = frozenset(
    {MessageType.PREPARE, MessageType.PROPOSE, MessageType.RELEASE, MessageType.FENCE_QUERY}
)


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a lease node.

    Attributes:
        number: This dispatcher's number in its tier.
        fleet_size: The number of dispatchers in the tier.
        incarnation: Distinguishes this process from earlier and later ones of the same dispatcher number.
        duration_ms: The duration of a lease.
        keys: Secret keys. Sent datagrams are authenticated by the first key, received ones by any of them.
        datagrams_per_s: The highest rate of sent datagrams.
        restarted: Whether an earlier process of this dispatcher number may have granted leases.
    """

    number: int
    fleet_size: int
    incarnation: int
    duration_ms: float
    keys: tuple[bytes, ...] = ()
    datagrams_per_s: float = DEFAULT_DATAGRAMS_PER_S
    restarted: bool = True


class LeaseNode:
    """One dispatcher's part in all leases. Times are this process's monotonic milliseconds.

    Attributes:
        settings: The node's settings.
        node_id: The id of this process, see `messages.node_id_of`.
        eligible: Whether this node may acquire leases.
        acceptors: The numbers of the dispatchers that are acceptors.
        acceptor: This dispatcher's acceptor; None if it is not one of the acceptors.
        outbox: The messages that wait to be sent.
    """

    def __init__(
        self,
        now: float,
        settings: NodeSettings,
        *,
        rng: random.Random,
        observer: LeaseObserver | None = None,
    ) -> None:
        """Creates a node; `rng` is the random source of all delays."""
        self.settings = settings
        self.node_id = node_id_of(settings.number, settings.incarnation)
        self.eligible = True
        self.acceptors = acceptor_numbers(settings.fleet_size)
        self.acceptor: Acceptor | None = None
        if settings.number in self.acceptors:
            other_acceptors = len(self.acceptors) - 1
            self.acceptor = Acceptor(now, settings.duration_ms, other_acceptors, restarted=settings.restarted)
        self.outbox = Outbox(settings.number, settings.keys, settings.datagrams_per_s)
        self._observer = NullObserver() if observer is None else observer
        self._rng = rng
        self._candidacies: dict[int, Candidacy] = {}
        self._timers: list[tuple[float, int]] = []  # a heap; entries may be out of date
        self._fencing = FencingFilter()
        self._next_query_at = now
        self._next_discard_at = now

    @property
    def number(self) -> int:
        """This dispatcher's number."""
        return self.settings.number

    @property
    def duration_ms(self) -> float:
        """The duration of a lease."""
        return self.settings.duration_ms

    # --- leases by name ---

    def campaign(self, name: str, *, unconditional: bool = False) -> Proposer:
        """Starts a campaign for the lease, unless there is one already, and returns its proposer.

        An `unconditional` campaign continues while the node is not eligible, and ignores the lease's
        preference order. It is meant for leases that each dispatcher needs for itself.
        """
        lease_id = lease_id_of(name)
        candidacy = self._candidacies.get(lease_id)
        if candidacy is not None:
            return candidacy.proposer
        rank = 0 if unconditional else self.preference_order(name).index(self.number)
        schedule = RetrySchedule(self.node_id, self.duration_ms, rank, self._rng)
        quorum = majority(len(self.acceptors))
        proposer = Proposer(lease_id, self.node_id, quorum, self.duration_ms, schedule)
        proposer.eligible = self.eligible or unconditional
        self._candidacies[lease_id] = Candidacy(name, proposer, unconditional=unconditional)
        heapq.heappush(self._timers, (0.0, lease_id))
        return proposer

    def withdraw(self, now: float, name: str) -> None:
        """Ends the campaign, and releases the lease if it is held."""
        candidacy = self._candidacies.get(lease_id_of(name))
        if candidacy is None:
            return
        self._send_all(now, candidacy.proposer.resign(now))
        self._report_changes(now, candidacy)
        del self._candidacies[candidacy.proposer.lease_id]

    def resign(self, now: float, name: str, successor: int | None = None) -> bool:
        """Releases the lease, or transfers it to the node id `successor`, and pauses the campaign.

        The pause is COOLDOWN_LEASE_DURATIONS long, so that another dispatcher acquires the lease.

        Returns:
            False if this node does not hold the lease.
        """
        candidacy = self._candidacies.get(lease_id_of(name))
        if candidacy is None or not candidacy.proposer.holds(now):
            return False
        candidacy.cooldown_until = now + COOLDOWN_LEASE_DURATIONS * self.duration_ms
        self._send_all(now, candidacy.proposer.resign(now, successor))
        self._report_changes(now, candidacy)
        self._schedule_tick(now, candidacy)
        return True

    def shut_down(self, now: float, keep: frozenset[str] = frozenset()) -> None:
        """Releases all leases except those named in `keep`, and stops acquiring leases."""
        self.eligible = False
        for candidacy in list(self._candidacies.values()):
            if candidacy.name not in keep:
                self._send_all(now, candidacy.proposer.resign(now))
                self._report_changes(now, candidacy)

    def set_eligible(self, now: float, eligible: bool) -> None:
        """Sets whether this node may acquire leases; does nothing if that has not changed.

        The node continues to renew the leases that it holds in any case: a change of holder costs more than
        a slow holder.
        """
        if eligible != self.eligible:
            self.eligible = eligible
            for lease_id in self._candidacies:
                heapq.heappush(self._timers, (now, lease_id))

    def holds(self, now: float, name: str) -> bool:
        """Returns whether this node holds the lease; to be checked right before each action under it."""
        candidacy = self._candidacies.get(lease_id_of(name))
        return candidacy is not None and candidacy.proposer.holds(now)

    def broadcast(self, now: float, name: str, value: int) -> bool:
        """Announces a value to all dispatchers under the lease's fencing token.

        Returns:
            False if this node does not hold the lease; nothing is sent then.
        """
        candidacy = self._candidacies.get(lease_id_of(name))
        if candidacy is None or not candidacy.proposer.holds(now):
            return False
        proposer = candidacy.proposer
        token = proposer.fencing_token
        ballot = Ballot(token, self.node_id)
        message = Message(MessageType.BROADCAST, proposer.lease_id, ballot, token, value, self.node_id)
        self._fencing.record(proposer.lease_id, token, self.node_id)
        self.outbox.put_broadcast(message, proposer.expires_at)
        return True

    def on_newer_token(self, now: float, name: str, token: int) -> None:
        """Releases the lease because an action under it was rejected in favour of a newer fencing token."""
        candidacy = self._candidacies.get(lease_id_of(name))
        if candidacy is not None:
            self._release_outdated(now, candidacy, token)

    def views(self, now: float) -> list[LeaseView]:
        """Returns the views of all leases that this node campaigns for, sorted by name."""
        rows = sorted(self._candidacies.values(), key=lambda candidacy: candidacy.name)
        return [candidacy.view(now, self.number) for candidacy in rows]

    def preference_order(self, name: str) -> list[int]:
        """Returns all dispatcher numbers, ordered by a hash of the lease's name and the number.

        Since the order differs from lease to lease, many leases are spread evenly over the dispatchers.
        """
        return sorted(range(self.settings.fleet_size), key=partial(_preference_hash, name))

    # --- timers ---

    def tick(self, now: float) -> list[tuple[int, bytes]]:
        """Returns the datagrams to send now, each with its receiver's dispatcher number or ALL_PEERS."""
        if self.acceptor is not None:
            self._tick_acceptor(now, self.acceptor)
        self._tick_proposers(now)
        if not self.outbox.is_ready(now):
            return []
        return self.outbox.flush(now, self._highest_token())

    def next_tick_at(self, now: float) -> float:
        """Returns when to call `tick` next."""
        proposers_at = self._timers[0][0] if self._timers else inf
        acceptor_at = inf
        if self.acceptor is not None:
            acceptor_at = self._next_discard_at if self.acceptor.is_ready(now) else self._next_query_at
        return min(proposers_at, acceptor_at, self.outbox.next_flush_at(now))

    def _tick_acceptor(self, now: float, acceptor: Acceptor) -> None:
        if now >= self._next_discard_at:
            acceptor.discard_expired(now)
            self._next_discard_at = now + DISCARD_INTERVAL_MS
        if not acceptor.is_ready(now) and now >= self._next_query_at:
            self._next_query_at = now + FENCE_QUERY_INTERVAL_MS * (0.5 + self._rng.random())
            query = Message(MessageType.FENCE_QUERY, 0, Ballot(0, self.node_id))
            for number in self.acceptors:
                if number != self.number:
                    self.outbox.put(number, query)

    def _tick_proposers(self, now: float) -> None:
        postponed = list[tuple[float, int]]()
        while self._timers and self._timers[0][0] <= now:
            _, lease_id = heapq.heappop(self._timers)
            candidacy = self._candidacies.get(lease_id)
            if candidacy is None:
                continue
            self._update_eligibility(now, candidacy)
            proposer = candidacy.proposer
            if not proposer.holds(now) and self.outbox.is_congested(now):
                # Renewals take precedence, so that no more leases are acquired than can be renewed.
                postponed.append((now + ATTEMPT_TIMEOUT_MS * (0.5 + self._rng.random()), lease_id))
                continue
            if proposer.next_tick_at() <= now:
                self._send_all(now, proposer.tick(now))
                self._report_changes(now, candidacy)
            self._schedule_tick(now, candidacy)
        for timer in postponed:
            heapq.heappush(self._timers, timer)

    def _update_eligibility(self, now: float, candidacy: Candidacy) -> None:
        if candidacy.cooldown_until is not None and now >= candidacy.cooldown_until:
            candidacy.cooldown_until = None
        wanted = self.eligible or candidacy.unconditional
        candidacy.proposer.eligible = wanted and candidacy.cooldown_until is None

    def _schedule_tick(self, now: float, candidacy: Candidacy) -> None:
        at = candidacy.next_tick_at()
        if at < inf:
            heapq.heappush(self._timers, (max(at, now + MIN_TIMER_DELAY_MS), candidacy.proposer.lease_id))

    # --- messages ---

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Handles a datagram of dispatcher `sender`.

        Raises:
            InvalidDatagramError: The datagram cannot be decoded or authenticated; it was ignored.
        """
        datagram = decode(data, sender, self.settings.keys)
        if self.acceptor is not None:
            self.acceptor.observe_token(datagram.highest_token)
        for message in datagram.messages:
            self._handle(now, sender, message)

    def _handle(self, now: float, sender: int, message: Message) -> None:
        if message.type in ACCEPTOR_MESSAGES:
            if message.type is MessageType.RELEASE:
                self._handle_release(now, message)
            self._handle_as_acceptor(now, sender, message)
        elif message.type is MessageType.FENCE_REPLY:
            if self.acceptor is not None and sender in self.acceptors:
                self.acceptor.on_fence_reply(sender, message.fencing_token)
        elif message.type is MessageType.BROADCAST:
            self._handle_broadcast(now, sender, message)
        else:
            self._handle_as_proposer(now, sender, message)

    def _handle_release(self, now: float, message: Message) -> None:
        candidacy = self._candidacies.get(message.lease_id)
        if candidacy is not None:
            candidacy.proposer.on_release(now, message.ballot.node_id)
            self._schedule_tick(now, candidacy)

    def _handle_as_acceptor(self, now: float, sender: int, message: Message) -> None:
        if self.acceptor is None or dispatcher_number_of(message.ballot.node_id) != sender:
            return  # a dispatcher may not send requests in the name of another one
        for answer in self.acceptor.handle(now, message):
            self._send(now, sender, answer)

    def _handle_as_proposer(self, now: float, sender: int, message: Message) -> None:
        candidacy = self._candidacies.get(message.lease_id)
        if candidacy is None:
            return
        if message.type is MessageType.TRANSFER:
            if candidacy.proposer.eligible:
                candidacy.proposer.on_transfer(now, message)
        elif sender in self.acceptors:
            self._send_all(now, candidacy.proposer.handle(now, sender, message))
        self._report_changes(now, candidacy)
        self._schedule_tick(now, candidacy)

    def _handle_broadcast(self, now: float, sender: int, message: Message) -> None:
        lease_id = message.lease_id
        token = message.fencing_token
        node_id = message.ballot.node_id
        if dispatcher_number_of(node_id) != sender or self._fencing.is_stale(lease_id, token, node_id):
            self._observer.broadcast_rejected(sender, token, self._fencing.newest(lease_id))
            return
        self._fencing.record(lease_id, token, node_id)
        candidacy = self._candidacies.get(lease_id)
        if candidacy is not None and token >= candidacy.proposer.fencing_token:
            self._release_outdated(now, candidacy, token)
        self._observer.broadcast_received(now, Broadcast(lease_id, sender, token, message.duration_ms))

    def _release_outdated(self, now: float, candidacy: Candidacy, token: int) -> None:
        self._send_all(now, candidacy.proposer.on_newer_token(now, token))
        self._report_changes(now, candidacy)

    def _report_changes(self, now: float, candidacy: Candidacy) -> None:
        for change in candidacy.proposer.changes:
            candidacy.record_change(now, change)
            self._observer.lease_changed(candidacy.name, change)
        candidacy.proposer.changes.clear()

    def _send_all(self, now: float, messages: list[Message]) -> None:
        for message in messages:
            if message.type is MessageType.TRANSFER and message.owner is not None:
                self.outbox.put(dispatcher_number_of(message.owner), message)
                continue
            # A release goes to all dispatchers, so that the next holder does not have to wait for the lease
            # to expire.
            receivers_of_release = (ALL_PEERS, self.number)
            for receiver in receivers_of_release if message.type is MessageType.RELEASE else self.acceptors:
                self._send(now, receiver, message)

    def _send(self, now: float, receiver: int, message: Message) -> None:
        if receiver == self.number:
            self._handle(now, receiver, message)
        else:
            self.outbox.put(receiver, message)

    def _highest_token(self) -> int:
        tokens = (candidacy.proposer.fencing_token for candidacy in self._candidacies.values())
        known = max(tokens, default=0)
        return max(known, self.acceptor.highest_token if self.acceptor is not None else 0)


def _preference_hash(name: str, number: int) -> bytes:
    return blake2b(f"{name}\n{number}".encode(), digest_size=PREFERENCE_HASH_BYTES).digest()
