"""The PaxosLease acceptor: promises ballots, accepts one owner per lease, expires leases by its own clock."""

from __future__ import annotations

import msgspec

from violetstack.lease.clock_drift import with_drift_margin
from violetstack.lease.messages import Ballot, Message, MessageType
from violetstack.lease.quorum import majority

NO_BALLOT = Ballot(0, 0)


class AcceptorState(msgspec.Struct):
    """The state of one lease at an acceptor. Times are the acceptor's monotonic milliseconds.

    Attributes:
        promised: The highest ballot promised.
        accepted: The ballot of the accepted proposal.
        owner: The node id of the lease's owner; None if there is none.
        expires_at: When the accepted lease expires.
        fencing_token: The highest fencing token accepted.
        promised_at: When the last promise was made.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    owner: int | None = None
    expires_at: float = 0.0
    fencing_token: int = 0
    promised_at: float = 0.0


class Acceptor:
    """Grants leases as one of a fixed set of acceptors. Times are this process's monotonic milliseconds.

    An acceptor keeps nothing on disk, so after a restart it does not know which leases it granted before. It
    therefore answers no message for the longest lease duration, and then until enough of the other acceptors
    have replied with the highest fencing token that they know: as many as are a majority of all acceptors.
    If too many acceptors have restarted at the same time for that, it stops waiting for replies after
    another such duration.

    Attributes:
        quarantined_until: The time before which a restarted acceptor answers no message.
        recovery_deadline: The time after which it no longer waits for replies to its FENCE_QUERY.
        fence_replies_needed: How many other acceptors have to reply to the FENCE_QUERY.
        fence_replies_from: The dispatcher numbers of the acceptors that have replied.
        highest_token: The highest fencing token that this acceptor has seen, of any lease.
        leases: The state of each lease, by lease id.
    """

    def __init__(self, now: float, max_duration_ms: float, other_acceptors: int, *, restarted: bool) -> None:
        """Creates an acceptor.

        Args:
            now: The current time.
            max_duration_ms: The longest lease duration that is granted.
            other_acceptors: The number of acceptors besides this one.
            restarted: Whether an earlier process may have granted leases as this acceptor. False only in a
                tier where no lease was ever held.
        """
        self._max_duration_ms = max_duration_ms
        quarantine_ms = with_drift_margin(max_duration_ms) if restarted else 0.0
        self.quarantined_until = now + quarantine_ms
        self.recovery_deadline = self.quarantined_until + quarantine_ms
        self.fence_replies_needed = majority(other_acceptors + 1) if restarted and other_acceptors else 0
        self.fence_replies_from: set[int] = set()
        self.highest_token = 0
        self.leases: dict[int, AcceptorState] = {}

    def is_ready(self, now: float) -> bool:
        """Returns whether this acceptor answers messages; a restarted one at first does not."""
        if now < self.quarantined_until:
            return False
        return len(self.fence_replies_from) >= self.fence_replies_needed or now >= self.recovery_deadline

    def observe_token(self, token: int) -> None:
        """Records a fencing token that was seen in a message."""
        self.highest_token = max(self.highest_token, token)

    def on_fence_reply(self, acceptor: int, token: int) -> None:
        """Handles the reply of another acceptor to a FENCE_QUERY; only acceptors that are ready reply."""
        self.fence_replies_from.add(acceptor)
        self.observe_token(token)

    def handle(self, now: float, message: Message) -> list[Message]:
        """Handles a message and returns the answers to its sender: at most one."""
        if not self.is_ready(now):
            return []
        match message.type:
            case MessageType.FENCE_QUERY:
                return [message._replace(type=MessageType.FENCE_REPLY, fencing_token=self.highest_token)]
            case MessageType.PREPARE:
                return [self._prepare(now, message)]
            case MessageType.PROPOSE:
                return [self._propose(now, message)]
            case MessageType.RELEASE:
                self._release(now, message)
        return []

    def _prepare(self, now: float, message: Message) -> Message:
        state = self._current_state(now, message.lease_id)
        remaining_ms = 0 if state.owner is None else max(0, round(state.expires_at - now))
        token = max(state.fencing_token, self.highest_token)
        if message.ballot < state.promised:
            answer = MessageType.REJECTED
        else:
            answer = MessageType.PROMISE
            state.promised = message.ballot
            state.promised_at = now
        return Message(answer, message.lease_id, state.promised, token, remaining_ms, state.owner)

    def _propose(self, now: float, message: Message) -> Message:
        state = self._current_state(now, message.lease_id)
        if message.ballot < state.promised or message.duration_ms > self._max_duration_ms:
            return Message(MessageType.REJECTED, message.lease_id, state.promised)
        state.promised = message.ballot
        state.promised_at = now
        state.accepted = message.ballot
        state.owner = message.owner
        state.expires_at = now + with_drift_margin(message.duration_ms)
        state.fencing_token = max(state.fencing_token, message.fencing_token)
        self.observe_token(message.fencing_token)
        return Message(MessageType.ACCEPTED, message.lease_id, message.ballot, state.fencing_token)

    def _release(self, now: float, message: Message) -> None:
        state = self._current_state(now, message.lease_id)
        if state.accepted == message.ballot:
            state.owner = None
            state.expires_at = 0.0

    def _current_state(self, now: float, lease_id: int) -> AcceptorState:
        state = self.leases.setdefault(lease_id, AcceptorState())
        if state.owner is not None and now >= state.expires_at:
            state.owner = None
        return state

    def discard_expired(self, now: float) -> None:
        """Drops the state of leases without an owner and without a recent promise, to bound the memory.

        Fencing tokens still grow, because `highest_token` covers the dropped leases. A promise is kept for
        twice the longest lease duration: a proposal that the promise forbids was sent within the first
        duration, and the lease that it proposes ends within the second.
        """
        promise_ms = 2.0 * with_drift_margin(self._max_duration_ms)
        for lease_id, state in list(self.leases.items()):
            if now >= state.expires_at and now >= state.promised_at + promise_ms:
                self.observe_token(state.fencing_token)
                del self.leases[lease_id]
