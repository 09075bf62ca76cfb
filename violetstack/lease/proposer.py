"""The PaxosLease proposer: acquires one lease for one dispatcher, renews it and transfers it.

The holder counts the lease duration from the time at which it sent the proposal. An acceptor counts it from
the time at which it received the proposal, and adds the drift margin. As long as the holder considers the
lease its own, a majority of the acceptors therefore does so too, whichever messages were lost, delayed or
duplicated.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import NamedTuple

import msgspec

from violetstack.lease.messages import Ballot, Message, MessageType, dispatcher_number_of
from violetstack.lease.retry_schedule import ATTEMPT_TIMEOUT_MS, RESEND_INTERVAL_MS, RetrySchedule


class Phase(Enum):
    """The phase of a ballot round."""

    IDLE = "idle"
    PREPARING = "preparing"
    PROPOSING = "proposing"


class HolderChange(NamedTuple):
    """A change of holder: this node acquired the lease (`held` is true) or lost it."""

    lease_id: int
    held: bool
    fencing_token: int
    reason: str


class BallotRound(msgspec.Struct):
    """One attempt to acquire, renew or transfer the lease; its phase is IDLE once it has ended.

    Attributes:
        ballot: The ballot of the attempt.
        request: The request of the current phase, which is resent to acceptors that may not have received it.
        phase: The current phase.
        sent_at: When the request of the phase was first sent; the lease duration counts from then.
        answered_by: The acceptors that have agreed in this phase.
        held_at_start: Whether this node held the lease when the round began.
        fencing_token: The proposed fencing token.
    """

    ballot: Ballot
    request: Message
    phase: Phase = Phase.IDLE
    sent_at: float = 0.0
    answered_by: set[int] = msgspec.field(default_factory=set)
    held_at_start: bool = False
    fencing_token: int = 0


class ObservedHolder(NamedTuple):
    """The other node that held the lease when acceptors were last asked, and the latest end of its lease.

    `node_id` is None if there was no other holder, or if its lease is known to have ended.
    """

    node_id: int | None = None
    expires_at: float = 0.0


class Proposer:
    """One dispatcher's part in one lease. Times are this process's monotonic milliseconds.

    Methods that return messages return those to be sent: a TRANSFER goes to its owner, a RELEASE to every
    dispatcher, and all others go to all acceptors.

    Attributes:
        lease_id: The id of the lease.
        node_id: The id of this process, see `messages.node_id_of`.
        duration_ms: The duration of the lease.
        quorum: How many acceptors have to agree.
        eligible: Whether this node may acquire the lease. It renews a lease that it holds in any case, until
            it resigns.
        expires_at: When the lease expires that this node holds; 0 if it does not hold the lease.
        fencing_token: The fencing token under which this node holds the lease or last held it.
        highest_token: The highest fencing token seen.
        round: The current ballot round.
        next_attempt_at: When to act next; None before the first call of `tick`.
        observed_holder: The other node that holds the lease, as far as known.
        changes: Acquisitions and losses of the lease; the caller clears the list after reading it.
    """

    def __init__(
        self, lease_id: int, node_id: int, quorum: int, duration_ms: float, schedule: RetrySchedule
    ) -> None:
        """Creates a proposer that does not hold the lease."""
        self.lease_id = lease_id
        self.node_id = node_id
        self.duration_ms = duration_ms
        self.quorum = quorum
        self.eligible = True
        self.expires_at = 0.0
        self.fencing_token = 0
        self.highest_token = 0
        ballot = Ballot(0, node_id)
        self.round = BallotRound(ballot, Message(MessageType.PREPARE, lease_id, ballot))
        self.next_attempt_at: float | None = None
        self.observed_holder = ObservedHolder()
        self.changes: list[HolderChange] = []
        self._schedule = schedule
        self._successor: int | None = None

    # --- the holder's side ---

    def holds(self, now: float) -> bool:
        """Returns whether this node holds the lease; to be checked right before each action under it."""
        return now < self.expires_at

    def remaining_ms(self, now: float) -> float:
        """Returns how long this node still holds the lease, 0 if it does not."""
        return max(0.0, self.expires_at - now)

    def resign(self, now: float, successor: int | None = None) -> list[Message]:
        """Gives up the lease, or transfers it to the node id `successor` by one more proposal.

        This node stops holding the lease before it sends that proposal, although the proposal may fail: the
        successor may learn that it was accepted before this node does. The lease is thus without a holder for
        about two round trips, but never has two.
        """
        self.eligible = False
        if not self.holds(now):
            return []
        if successor is not None:
            self._successor = successor
            self.round.phase = Phase.IDLE
            self.next_attempt_at = now
            return self.tick(now)
        self._record_loss(now, "resigned")
        return [self._release_message()]

    def on_newer_token(self, now: float, token: int) -> list[Message]:
        """Releases the lease because another dispatcher has seen a newer fencing token.

        That can happen only after all acceptors have lost their state at the same time.
        """
        self.highest_token = max(self.highest_token, token)
        if not self.holds(now):
            return []
        self._record_loss(now, f"fencing token {self.fencing_token} is older than {token}")
        self.next_attempt_at = now
        return [self._release_message()]

    def _release_message(self) -> Message:
        return Message(MessageType.RELEASE, self.lease_id, self.round.ballot)

    # --- timers ---

    def tick(self, now: float) -> list[Message]:
        """Starts, repeats or abandons an attempt; to be called at `next_tick_at` and after each message."""
        if self.expires_at and now >= self.expires_at:
            self._record_loss(now, "not renewed in time")
        if self.next_attempt_at is None:
            self.next_attempt_at = now + self._schedule.first_attempt_ms()
        if not self._has_reason_to_propose() or now < self.next_attempt_at:
            return []
        if self.round.phase is Phase.IDLE:
            return [self._prepare(now)]
        if now < self.round.sent_at + ATTEMPT_TIMEOUT_MS:
            self.next_attempt_at = now + RESEND_INTERVAL_MS
            return [self.round.request]
        self.abandon_round(now)
        return []

    def next_tick_at(self) -> float:
        """Returns when to call `tick` next; infinity if there is nothing to do before a message arrives."""
        attempt_at = inf
        if self._has_reason_to_propose():
            attempt_at = 0.0 if self.next_attempt_at is None else self.next_attempt_at
        return min(attempt_at, self.expires_at or inf)

    def _has_reason_to_propose(self) -> bool:
        return self.eligible or self._successor is not None

    def _prepare(self, now: float) -> Message:
        ballot = Ballot(self.round.ballot.round + 1, self.node_id)
        request = Message(MessageType.PREPARE, self.lease_id, ballot)
        self.round = BallotRound(ballot, request, Phase.PREPARING, sent_at=now, held_at_start=self.holds(now))
        self.next_attempt_at = now + RESEND_INTERVAL_MS
        return request

    # --- messages ---

    def handle(self, now: float, acceptor: int, message: Message) -> list[Message]:
        """Handles an acceptor's answer."""
        self.highest_token = max(self.highest_token, message.fencing_token)
        active = self.round.phase is not Phase.IDLE
        current = message.ballot == self.round.ballot
        match message.type:
            case MessageType.REJECTED if active and message.ballot > self.round.ballot:
                self._on_rejected(now, message)
            case MessageType.PROMISE if self.round.phase is Phase.PREPARING and current:
                return self._on_promise(now, acceptor, message)
            case MessageType.ACCEPTED if self.round.phase is Phase.PROPOSING and current:
                return self._on_accepted(now, acceptor)
        return []

    def on_transfer(self, now: float, message: Message) -> None:
        """Handles a holder's notice that it has transferred the lease to this node.

        The notice may be outdated and does not prove that this node holds the lease, so the node starts an
        attempt at once.
        """
        if message.owner == self.node_id and not self.holds(now):
            self.round.ballot = Ballot(max(message.ballot.round, self.round.ballot.round), self.node_id)
            self.highest_token = max(self.highest_token, message.fencing_token)
            self.round.phase = Phase.IDLE
            self.next_attempt_at = now

    def on_release(self, now: float, owner: int) -> None:
        """Handles a holder's notice that it has released the lease."""
        known = owner == self.observed_holder.node_id
        if known and self.round.phase is Phase.IDLE and not self.holds(now):
            self.observed_holder = self.observed_holder._replace(node_id=None)
            self.next_attempt_at = now + self._schedule.after_release_ms()

    def _on_rejected(self, now: float, message: Message) -> None:
        self.round.ballot = Ballot(message.ballot.round, self.node_id)
        if message.owner is None or message.owner == self.node_id or self.holds(now):
            self.abandon_round(now)
        else:
            self._wait_for_expiry(now, message.owner, message.duration_ms)

    def _on_promise(self, now: float, acceptor: int, message: Message) -> list[Message]:
        if message.owner is not None and message.owner != self.node_id:
            self._wait_for_expiry(now, message.owner, message.duration_ms)
            return []
        self.round.answered_by.add(acceptor)
        if len(self.round.answered_by) < self.quorum:
            return []
        renews = self.round.held_at_start and self.holds(now)
        if self._successor is not None:
            return [self._transfer(now, self._successor)] if renews else []
        token = self.fencing_token if renews else self.highest_token + 1
        return [self._propose(now, self.node_id, token)]

    def _on_accepted(self, now: float, acceptor: int) -> list[Message]:
        self.round.answered_by.add(acceptor)
        if len(self.round.answered_by) < self.quorum:
            return []
        self.round.phase = Phase.IDLE
        if self._successor is not None:
            successor = self._successor
            self._successor = None
            token = self.round.fencing_token
            return [Message(MessageType.TRANSFER, self.lease_id, self.round.ballot, token, 0, successor)]
        expires_at = self.round.sent_at + self.duration_ms
        if now >= expires_at:
            self.abandon_round(now)
        else:
            self._record_acquisition(now, expires_at, self.round.fencing_token)
        return []

    def _transfer(self, now: float, successor: int) -> Message:
        self._record_loss(now, f"transferred to {dispatcher_number_of(successor)}")
        return self._propose(now, successor, self.fencing_token + 1)

    def _propose(self, now: float, owner: int, token: int) -> Message:
        duration_ms = round(self.duration_ms)
        ballot = self.round.ballot
        request = Message(MessageType.PROPOSE, self.lease_id, ballot, token, duration_ms, owner)
        self.round = BallotRound(
            ballot,
            request,
            Phase.PROPOSING,
            sent_at=now,
            held_at_start=self.round.held_at_start,
            fencing_token=token,
        )
        self.next_attempt_at = now + RESEND_INTERVAL_MS
        return request

    # --- changes of holder ---

    def _record_acquisition(self, now: float, expires_at: float, token: int) -> None:
        if not self.expires_at:
            self.changes.append(HolderChange(self.lease_id, True, token, "elected"))
        self.observed_holder = self.observed_holder._replace(node_id=None)
        self.expires_at = expires_at
        self.fencing_token = token
        self._schedule.reset_failures()
        self.next_attempt_at = self._schedule.renewal_at(now)

    def _record_loss(self, now: float, reason: str) -> None:
        if self.expires_at:
            self.changes.append(HolderChange(self.lease_id, False, self.fencing_token, reason))
        self.expires_at = 0.0
        self.round.phase = Phase.IDLE
        self.next_attempt_at = now + self._schedule.backoff_ms()

    def abandon_round(self, now: float) -> None:
        """Abandons the current attempt and schedules the next one."""
        self.round.phase = Phase.IDLE
        self._schedule.record_failure()
        if self.holds(now):
            self.next_attempt_at = now + self._schedule.after_failed_renewal_ms()
            return
        self._successor = None
        self.next_attempt_at = now + self._schedule.after_failure_ms()

    def _wait_for_expiry(self, now: float, holder: int, remaining_ms: float) -> None:
        """Schedules the next attempt after another holder's lease has expired.

        It resets the backoff, which would only delay that attempt.
        """
        self.observed_holder = ObservedHolder(holder, now + remaining_ms)
        self.next_attempt_at = self.observed_holder.expires_at + self._schedule.after_expiry_ms()
        self.round.phase = Phase.IDLE
        self._schedule.reset_failures()
        self._successor = None
