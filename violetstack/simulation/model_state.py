"""States of the lease model: snapshots of the real acceptors and proposers, and back.

Snapshots are immutable and hashable. They leave out everything that can no longer make a difference, so that
fewer states are distinct.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from violetstack.lease.acceptor import Acceptor, AcceptorState
from violetstack.lease.messages import Ballot, Message, MessageType
from violetstack.lease.proposer import BallotRound, Phase, Proposer
from violetstack.lease.quorum import majority
from violetstack.lease.retry_schedule import RetrySchedule

LEASE_MS = 100.0
LEASE_ID = 7
ACCEPTORS = 3
QUORUM = majority(ACCEPTORS)
AWAITED_ANSWER = {Phase.PREPARING: MessageType.PROMISE, Phase.PROPOSING: MessageType.ACCEPTED}
NO_BALLOT = Ballot(0, 0)
FENCE_REPLIES_NEEDED = 2


class ZeroRandom(random.Random):
    """Makes all delays minimal: a proposer of the model may act at any moment anyway."""

    def random(self) -> float:
        """Return 0."""
        return 0.0


class SentMessage(NamedTuple):
    """A message, and the proposer that sent it or is to get it."""

    proposer: int
    message: Message


class AcceptorSnapshot(NamedTuple):
    """An acceptor's state, and the answers it ever gave that may still matter."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    owner: int | None = None
    expires_at: float = 0.0
    fencing_token: int = 0
    highest_token: int = 0
    quarantined_until: float = 0.0
    fence_replies: int = FENCE_REPLIES_NEEDED
    answers: frozenset[SentMessage] = frozenset()


class ProposerSnapshot(NamedTuple):
    """A proposer's state, and how many rounds it has started; `expires_at` 0: it does not hold the lease."""

    phase: Phase
    ballot: Ballot
    sent_at: float = 0.0
    highest_token: int = 0
    held_at_start: bool = False
    proposed_token: int = 0
    expires_at: float = 0.0
    fencing_token: int = 0
    rounds: int = 0


class TokenUse(NamedTuple):
    """The newest fencing token by which the lease was held, and the proposer that held it."""

    fencing_token: int
    proposer: int


class State(NamedTuple):
    """A state of the whole model; `time` is an index into TIMES_MS, `sent` has all messages ever sent."""

    time: int
    acceptors: tuple[AcceptorSnapshot, ...]
    proposers: tuple[ProposerSnapshot, ...]
    sent: frozenset[SentMessage]
    newest: TokenUse
    restarts: int


def restore_acceptor(acceptor: Acceptor, snapshot: AcceptorSnapshot) -> Acceptor:
    """Set an acceptor to a snapshot; it then waits for fence replies without limit."""
    acceptor.quarantined_until = snapshot.quarantined_until
    acceptor.highest_token = snapshot.highest_token
    acceptor.recovery_deadline = float("inf")
    acceptor.fence_replies_needed = FENCE_REPLIES_NEEDED
    acceptor.fence_replies_from = set(range(snapshot.fence_replies))
    acceptor.leases = {
        LEASE_ID: AcceptorState(
            snapshot.promised,
            snapshot.accepted,
            snapshot.owner,
            snapshot.expires_at,
            snapshot.fencing_token,
        )
    }
    return acceptor


def restore_proposer(proposer: Proposer, snapshot: ProposerSnapshot) -> Proposer:
    """Set a proposer to a snapshot; its next attempt is due at once."""
    proposer.round = BallotRound(
        snapshot.ballot,
        proposer.round.request,
        snapshot.phase,
        sent_at=snapshot.sent_at,
        held_at_start=snapshot.held_at_start,
        fencing_token=snapshot.proposed_token,
    )
    proposer.highest_token = snapshot.highest_token
    proposer.expires_at = snapshot.expires_at
    proposer.fencing_token = snapshot.fencing_token
    proposer.next_attempt_at = 0.0
    proposer.changes.clear()
    return proposer


def new_proposer(node_id: int) -> Proposer:
    """Return a proposer of the model, with the shortest delays."""
    schedule = RetrySchedule(node_id, LEASE_MS, rank=0, rng=ZeroRandom())
    return Proposer(LEASE_ID, node_id, QUORUM, LEASE_MS, schedule)


def acceptor_snapshot(acceptor: Acceptor, before: AcceptorSnapshot) -> AcceptorSnapshot:
    """Read an acceptor; its answers are those of the snapshot `before`."""
    state = acceptor.leases.get(LEASE_ID) or AcceptorState()
    return before._replace(
        promised=state.promised,
        accepted=state.accepted,
        owner=state.owner,
        expires_at=state.expires_at if state.owner is not None else 0.0,
        fencing_token=state.fencing_token,
        highest_token=acceptor.highest_token,
        quarantined_until=acceptor.quarantined_until,
        fence_replies=len(acceptor.fence_replies_from),
    )


def proposer_snapshot(proposer: Proposer, rounds: int) -> ProposerSnapshot:
    """Read a proposer; fields without meaning while it is idle are left out, so more states are equal."""
    active = proposer.round.phase is not Phase.IDLE
    return ProposerSnapshot(
        phase=proposer.round.phase,
        ballot=proposer.round.ballot,
        sent_at=proposer.round.sent_at if active else 0.0,
        highest_token=proposer.highest_token,
        held_at_start=proposer.round.held_at_start and active,
        proposed_token=proposer.round.fencing_token if active else 0,
        expires_at=proposer.expires_at,
        fencing_token=proposer.fencing_token if proposer.expires_at else 0,
        rounds=rounds,
    )


def with_acceptor(state: State, index: int, snapshot: AcceptorSnapshot) -> State:
    """Return the state with an acceptor replaced; the acceptors are sorted, as they are interchangeable."""
    acceptors = list(state.acceptors)
    acceptors[index] = snapshot
    return state._replace(acceptors=tuple(sorted(acceptors, key=hash)))


def without_useless_answers(
    acceptor: AcceptorSnapshot, number: int, proposer: ProposerSnapshot
) -> AcceptorSnapshot:
    """Drop the answers to a proposer that it can't use any more, as no later round has their ballot."""
    answers = frozenset(
        answer
        for answer in acceptor.answers
        if answer.proposer != number or is_useful(proposer, answer.message)
    )
    return acceptor._replace(answers=answers)


def is_useful(proposer: ProposerSnapshot, answer: Message) -> bool:
    """Return whether a proposer would react to an answer."""
    if proposer.phase is Phase.IDLE:
        return False
    if answer.type is MessageType.REJECTED:
        return answer.ballot > proposer.ballot
    return answer.type is AWAITED_ANSWER[proposer.phase] and answer.ballot == proposer.ballot


def fingerprint_of(state: State) -> int:
    """Return 64 bits for a state: among a million states, two collide in one of some thirty million runs."""
    return hash(state)
