"""A model checker for leases: every order of events of the real acceptors and proposers of one lease.

There are three acceptors and a few proposers, usually two. A message that was sent may arrive at any later
moment, any number of times or never, which covers loss, delay, duplication and reordering. A proposer may
start a round or abandon it at any moment; time advances in a few steps between which leases expire; an
acceptor may restart. The proposers' clocks run 1% slow and the acceptors' 1% fast, the worst case for a
holder.

The search is breadth first, so the trace of a violation is a shortest one. Acceptors are interchangeable, so
states that differ by a permutation of them are one state, as are states that differ only by answers that no
proposer would use any more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from itertools import combinations, product
from typing import NamedTuple

from violetstack.lease.acceptor import Acceptor
from violetstack.lease.clock_drift import MAX_CLOCK_DRIFT
from violetstack.lease.messages import Ballot, Message, MessageType, node_id_of
from violetstack.lease.proposer import Phase, Proposer
from violetstack.simulation.model_state import (
    ACCEPTORS,
    AWAITED_ANSWER,
    FENCE_REPLIES_NEEDED,
    LEASE_MS,
    QUORUM,
    AcceptorSnapshot,
    ProposerSnapshot,
    SentMessage,
    State,
    TokenUse,
    acceptor_snapshot,
    fingerprint_of,
    is_useful,
    new_proposer,
    proposer_snapshot,
    restore_acceptor,
    restore_proposer,
    with_acceptor,
    without_useless_answers,
)

TIMES_MS = (0.0, 100.0, 103.0, 203.0, 206.0)  # within a lease, at its end, after it; and again
SLOW_CLOCK = 1.0 / (1.0 + MAX_CLOCK_DRIFT)
FAST_CLOCK = 1.0 / (1.0 - MAX_CLOCK_DRIFT)
NO_PROPOSER = -1


class Transition(NamedTuple):
    """An event, and the state after it."""

    event: str
    state: State


class AcceptorStep(NamedTuple):
    """An acceptor's state after a message, and its answers."""

    snapshot: AcceptorSnapshot
    answers: list[Message]


class Bounds(NamedTuple):
    """Limits of the search: rounds of each proposer, steps of time, restarts of acceptors."""

    rounds: tuple[int, ...] = (2, 1)
    times: int = 3
    restarts: int = 0


class Result(NamedTuple):
    """The outcome of a search.

    Attributes:
        states: How many states were reached.
        complete: Whether these are all within the bounds.
        violation: The violated rule; empty if none was.
        trace: The events that lead to the violation.
    """

    states: int
    complete: bool
    violation: str
    trace: list[str]


class ModelChecker:
    """Explores the states within some bounds.

    The real objects are reused: each is set to a snapshot, gets one event, and is read into a snapshot again.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Start with the initial state, in which no event has happened."""
        self._bounds = bounds
        node_ids = [node_id_of(number, 1) for number in range(len(bounds.rounds))]
        self._proposers = [new_proposer(node_id) for node_id in node_ids]
        self._acceptor = Acceptor(0.0, LEASE_MS, ACCEPTORS - 1, restarted=False)
        self._initial = State(
            time=0,
            acceptors=(AcceptorSnapshot(),) * ACCEPTORS,
            proposers=tuple(ProposerSnapshot(Phase.IDLE, Ballot(0, node_id)) for node_id in node_ids),
            sent=frozenset(),
            newest=TokenUse(0, NO_PROPOSER),
            restarts=0,
        )
        self._steps: dict[tuple[AcceptorSnapshot, Message, int], AcceptorStep] = {}

    def explore(self, max_states: int) -> Result:
        """Search until a violation, the end of the bounds, or `max_states`."""
        seen = {fingerprint_of(self._initial)}
        reached_by = dict[int, tuple[int, str]]()
        queue = deque([self._initial])
        while queue and len(seen) < max_states:
            state = queue.popleft()
            origin = fingerprint_of(state)
            for event, after in self._transitions(state):
                fingerprint = fingerprint_of(after)
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                reached_by[fingerprint] = (origin, event)
                violation = self._violation(state, after)
                if violation:
                    return Result(len(seen), False, violation, _trace(reached_by, fingerprint))
                queue.append(after)
        return Result(len(seen), not queue, "", [])

    def _violation(self, before: State, after: State) -> str:
        """Check that there is one holder at most, and that a new one has a newer token than all before."""
        now = TIMES_MS[after.time] * SLOW_CLOCK
        holders = [
            number
            for number, snapshot in enumerate(after.proposers)
            if snapshot.expires_at and restore_proposer(self._proposers[number], snapshot).holds(now)
        ]
        if len(holders) > 1:
            return "two holders"
        for number in holders:
            token = after.proposers[number].fencing_token
            newest = before.newest
            acquired = not before.proposers[number].expires_at
            reused = token == newest.fencing_token and number != newest.proposer
            if acquired and (token < newest.fencing_token or reused):
                return f"{number} holds by token {token}, {newest.proposer} held by {newest.fencing_token}"
        return ""

    # --- transitions ---

    def _transitions(self, state: State) -> Iterator[Transition]:
        for number in range(len(state.proposers)):
            yield from self._proposer_transitions(state, number)
        for index, snapshot in enumerate(state.acceptors):
            if snapshot in state.acceptors[:index]:
                continue  # interchangeable with one that was examined
            yield from self._deliveries(state, index)
            yield from self._restarts(state, index)
            yield from self._fence_replies(state, index)
        if state.time + 1 < self._bounds.times:
            yield _advance_time(state)

    def _proposer_transitions(self, state: State, number: int) -> Iterator[Transition]:
        snapshot = state.proposers[number]
        now = TIMES_MS[state.time] * SLOW_CLOCK
        if snapshot.phase is Phase.IDLE:
            if snapshot.rounds < self._bounds.rounds[number]:
                proposer = restore_proposer(self._proposers[number], snapshot)
                sent = proposer.tick(now)
                after = self._with_proposer(state, number, proposer, sent, snapshot.rounds + 1)
                yield Transition(f"{number} starts a round", after)
            return
        proposer = restore_proposer(self._proposers[number], snapshot)
        proposer.abandon_round(now)
        after = self._with_proposer(state, number, proposer, [], snapshot.rounds)
        yield Transition(f"{number} abandons its round", after)
        yield from self._agreements(state, number, now)
        yield from self._rejections(state, number, now)

    def _agreements(self, state: State, number: int, now: float) -> Iterator[Transition]:
        """Give a proposer the answers of one or two acceptors at once, where that completes its phase."""
        snapshot = state.proposers[number]
        awaited = AWAITED_ANSWER[snapshot.phase]
        answers = [
            [
                answer.message
                for answer in acceptor.answers
                if answer.proposer == number
                and answer.message.type is awaited
                and answer.message.ballot == snapshot.ballot
            ]
            for acceptor in state.acceptors
        ]
        for size in range(1, QUORUM + 1):
            for acceptors in combinations(range(ACCEPTORS), size):
                for messages in product(*(answers[index] for index in acceptors)):
                    proposer = restore_proposer(self._proposers[number], snapshot)
                    sent = list[Message]()
                    for index, message in zip(acceptors, messages, strict=True):
                        if proposer.round.phase is snapshot.phase:
                            sent = proposer.handle(now, index, message)
                    if proposer.round.phase is not snapshot.phase:
                        after = self._with_proposer(state, number, proposer, sent, snapshot.rounds)
                        yield Transition(f"{number} has {size} answers {awaited.name}", after)

    def _rejections(self, state: State, number: int, now: float) -> Iterator[Transition]:
        snapshot = state.proposers[number]
        for index, acceptor in enumerate(state.acceptors):
            for receiver, message in acceptor.answers:
                rejected = message.type is MessageType.REJECTED and message.ballot > snapshot.ballot
                if receiver == number and rejected:
                    proposer = restore_proposer(self._proposers[number], snapshot)
                    proposer.handle(now, index, message)
                    after = self._with_proposer(state, number, proposer, [], snapshot.rounds)
                    yield Transition(f"{number} is rejected", after)

    def _deliveries(self, state: State, index: int) -> Iterator[Transition]:
        """Deliver each message that was ever sent to an acceptor."""
        snapshot = state.acceptors[index]
        for number, message in state.sent:
            after, answers = self._step_acceptor(snapshot, message, state.time)
            proposer = state.proposers[number]
            useful = (SentMessage(number, answer) for answer in answers if is_useful(proposer, answer))
            all_answers = after.answers.union(useful)
            if after != snapshot or all_answers != snapshot.answers:
                event = f"{message.type.name} of {number} at an acceptor"
                yield Transition(event, with_acceptor(state, index, after._replace(answers=all_answers)))

    def _step_acceptor(self, snapshot: AcceptorSnapshot, message: Message, time: int) -> AcceptorStep:
        bare = snapshot._replace(answers=frozenset())
        key = (bare, message, time)
        if key not in self._steps:
            acceptor = restore_acceptor(self._acceptor, bare)
            answers = acceptor.handle(TIMES_MS[time] * FAST_CLOCK, message)
            self._steps[key] = AcceptorStep(acceptor_snapshot(acceptor, bare), answers)
        after, answers = self._steps[key]
        return AcceptorStep(after._replace(answers=snapshot.answers), answers)

    def _restarts(self, state: State, index: int) -> Iterator[Transition]:
        if state.restarts < self._bounds.restarts:
            now = TIMES_MS[state.time] * FAST_CLOCK
            acceptor = Acceptor(now, LEASE_MS, ACCEPTORS - 1, restarted=True)
            # The answers that it gave before may still arrive.
            after = acceptor_snapshot(acceptor, state.acceptors[index])
            restarted = with_acceptor(state, index, after)._replace(restarts=state.restarts + 1)
            yield Transition("an acceptor restarts", restarted)

    def _fence_replies(self, state: State, index: int) -> Iterator[Transition]:
        snapshot = state.acceptors[index]
        now = TIMES_MS[state.time] * FAST_CLOCK
        if snapshot.fence_replies >= FENCE_REPLIES_NEEDED:
            return
        for other_index, other in enumerate(state.acceptors):
            if other_index != index and restore_acceptor(self._acceptor, other).is_ready(now):
                token = other.highest_token
                acceptor = restore_acceptor(self._acceptor, snapshot)
                acceptor.on_fence_reply(snapshot.fence_replies, token)
                after = with_acceptor(state, index, acceptor_snapshot(acceptor, snapshot))
                yield Transition("a restarted acceptor gets a reply", after)

    def _with_proposer(
        self, state: State, number: int, proposer: Proposer, sent: list[Message], rounds: int
    ) -> State:
        """Return the state with a proposer's new snapshot and the messages it has sent."""
        before = state.proposers[number]
        after = proposer_snapshot(proposer, rounds)
        proposers = list(state.proposers)
        proposers[number] = after
        newest = state.newest
        if proposer.expires_at:
            newest = max(newest, TokenUse(proposer.fencing_token, number))
        all_sent = state.sent.union(SentMessage(number, message) for message in sent) if sent else state.sent
        acceptors = state.acceptors
        if after.ballot != before.ballot or after.phase is not before.phase:
            pruned = (without_useless_answers(acceptor, number, after) for acceptor in acceptors)
            acceptors = tuple(sorted(pruned, key=hash))
        return state._replace(proposers=tuple(proposers), sent=all_sent, newest=newest, acceptors=acceptors)


def _advance_time(state: State) -> Transition:
    time = state.time + 1
    now = TIMES_MS[time] * SLOW_CLOCK
    proposers = tuple(
        snapshot if now < snapshot.expires_at else snapshot._replace(expires_at=0.0, fencing_token=0)
        for snapshot in state.proposers
    )
    return Transition(f"time {TIMES_MS[time]:.0f}", state._replace(time=time, proposers=proposers))


def _trace(reached_by: dict[int, tuple[int, str]], fingerprint: int) -> list[str]:
    events: list[str] = []
    while fingerprint in reached_by:
        fingerprint, event = reached_by[fingerprint]
        events.append(event)
    return events[::-1]
