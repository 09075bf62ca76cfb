"""Every order of events, up to a bound: the real electors and candidates of one duty, explored breadth first.

Three electors, two candidates. A message that was sent may arrive at any later moment, any number of times,
or never: so loss, delay, doubling and any order are all there. Candidates start a try, or give one up,
whenever they may; time goes on in a few steps between which leases run out; an elector may restart.
Candidates' clocks run 1% slow and electors' 1% fast, the worst for whoever holds. Electors are alike, so
states that differ by their names alone are one; so are those that differ by answers which change nothing yet.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from itertools import combinations, product
from typing import NamedTuple

from violetstack.lease.candidate import Candidate, Phase
from violetstack.lease.elector import Elector, Granted
from violetstack.lease.messages import Ballot, Item, Kind, who

LENGTH_MS = 100.0
DUTY = 7
ELECTORS = 3
TIMES = (0.0, 100.0, 103.0, 203.0, 206.0)  # within a lease, at its end, after it; and again
SLOW = 1.0 / 1.01
FAST = 1.0 / 0.99
ANSWER_TO = {Phase.PREPARING: Kind.PROMISE, Phase.PROPOSING: Kind.ACCEPTED}
ZERO = Ballot(0, 0)


class Luck(random.Random):
    """No wait of a candidate matters here: each may act whenever it likes."""

    def random(self) -> float:
        return 0.0


class Voter(NamedTuple):
    """An elector; `answers` are those it ever gave, by candidate."""

    promised: Ballot = ZERO
    ballot: Ballot = ZERO
    owner: int | None = None
    until: float = 0.0
    fence: int = 0
    floor: int = 0
    silent_until: float = 0.0
    told: int = 2
    answers: frozenset[tuple[int, Item]] = frozenset()


class Asker(NamedTuple):
    """A candidate; `until` 0: it does not hold the duty."""

    phase: Phase
    ballot: Ballot
    sent_at: float = 0.0
    highest: int = 0
    was_mine: bool = False
    proposed: int = 0
    until: float = 0.0
    fence: int = 0
    starts: int = 0


class State(NamedTuple):
    """`sent`: to all electors, by candidate. `last`: the highest number by which any held, and who did."""

    time: int
    voters: tuple[Voter, ...]
    askers: tuple[Asker, ...]
    sent: frozenset[tuple[int, Item]]
    last: tuple[int, int]
    restarts: int


class Bounds(NamedTuple):
    """Tries of each candidate, steps of time, restarts of electors."""

    starts: tuple[int, ...] = (2, 1)
    times: int = 3
    restarts: int = 0


class Found(NamedTuple):
    """`whole`: nothing was left to explore. A `breach` comes with the shortest way to it."""

    states: int
    whole: bool
    breach: str
    trace: list[str]


class Explorer:
    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        count = range(len(bounds.starts))
        self._candidates = [Candidate(DUTY, who(n, 1), ELECTORS, LENGTH_MS, luck=Luck()) for n in count]
        self._elector = Elector(0.0, LENGTH_MS, ELECTORS - 1, fresh=False)
        askers = tuple(Asker(Phase.IDLE, Ballot(0, who(n, 1))) for n in count)
        self.first = State(0, (Voter(),) * ELECTORS, askers, frozenset(), (0, -1), 0)
        self._heard: dict[tuple[Voter, Item, int], tuple[Voter, list[Item]]] = {}

    # --- the real objects, in a state and back ---

    def _as_elector(self, at: Voter) -> Elector:
        each = self._elector
        each.silent_until = at.silent_until
        each.floor = at.floor
        each._alone_until, each._need, each._told = float("inf"), 2, set(range(at.told))
        each.duties = {DUTY: Granted(at.promised, at.ballot, at.owner, at.until, at.fence, 0.0)}
        return each

    def _as_voter(self, each: Elector, at: Voter) -> Voter:
        row = each.duties.get(DUTY) or Granted()
        until = row.until if row.owner is not None else 0.0
        return at._replace(
            promised=row.promised,
            ballot=row.ballot,
            owner=row.owner,
            until=until,
            fence=row.fence,
            floor=each.floor,
            silent_until=each.silent_until,
            told=len(each._told),
        )

    def _as_candidate(self, n: int, at: Asker) -> Candidate:
        each = self._candidates[n]
        each.phase = at.phase
        each._ballot = at.ballot
        each._sent_at = at.sent_at
        each._answers = set()
        each._highest = at.highest
        each._was_mine = at.was_mine
        each._proposed = at.proposed
        each.until = at.until
        each.fence = at.fence
        each._next_at = 0.0
        each.changes.clear()
        return each

    def _as_asker(self, each: Candidate, starts: int) -> Asker:
        busy = each.phase is not Phase.IDLE
        return Asker(
            each.phase,
            each._ballot,
            each._sent_at if busy else 0.0,
            each._highest,
            each._was_mine and busy,
            each._proposed if busy else 0,
            each.until,
            each.fence if each.until else 0,
            starts,
        )

    # --- what may happen next ---

    def following(self, at: State) -> Iterator[tuple[str, State]]:
        mine = TIMES[at.time] * SLOW
        theirs = TIMES[at.time] * FAST
        for n, asker in enumerate(at.askers):
            yield from self._asks(at, n, asker, mine)
        for e, voter in enumerate(at.voters):
            if e and voter in at.voters[:e]:
                continue  # the same as what was done with its like
            for n, item in at.sent:
                after, answers = self._hears(voter, item, at.time)
                given = after.answers.union((n, each) for each in answers if _matters(at.askers[n], each))
                if after != voter or given != voter.answers:
                    text = f"{item.kind.name} of {n} at an elector"
                    yield text, _with(at, e, after._replace(answers=given))
            yield from self._restarts(at, e, voter, theirs)
        if at.time + 1 < self.bounds.times:
            later = TIMES[at.time + 1] * SLOW
            rows = tuple(row if later < row.until else row._replace(until=0.0, fence=0) for row in at.askers)
            yield f"time {TIMES[at.time + 1]:.0f}", at._replace(time=at.time + 1, askers=rows)

    def _asks(self, at: State, n: int, asker: Asker, now: float) -> Iterator[tuple[str, State]]:
        if asker.phase is Phase.IDLE:
            if asker.starts < self.bounds.starts[n]:
                each = self._as_candidate(n, asker)
                yield f"{n} starts", self._moved(at, n, each, each.tick(now), asker.starts + 1)
            return
        each = self._as_candidate(n, asker)
        each._again(now)
        yield f"{n} gives up its try", self._moved(at, n, each, [], asker.starts)
        kind = ANSWER_TO[asker.phase]
        rows = [
            [i for m, i in v.answers if m == n and i.kind is kind and i.ballot == asker.ballot]
            for v in at.voters
        ]
        for some in (*combinations(range(ELECTORS), 1), *combinations(range(ELECTORS), 2)):
            for items in product(*(rows[e] for e in some)):
                each = self._as_candidate(n, asker)
                more = list[Item]()
                for e, item in zip(some, items, strict=True):
                    if each.phase is asker.phase:
                        more = each.on(now, e, item)
                if each.phase is not asker.phase:
                    text = f"{n} has {len(some)} answers {kind.name}"
                    yield text, self._moved(at, n, each, more, asker.starts)
        for e, voter in enumerate(at.voters):
            for m, item in voter.answers:
                if m == n and item.kind is Kind.REFUSED and item.ballot > asker.ballot:
                    each = self._as_candidate(n, asker)
                    each.on(now, e, item)
                    yield f"{n} is refused", self._moved(at, n, each, [], asker.starts)

    def _hears(self, voter: Voter, item: Item, time: int) -> tuple[Voter, list[Item]]:
        bare = voter._replace(answers=frozenset())
        key = (bare, item, time)
        if key not in self._heard:
            each = self._as_elector(bare)
            answers = each.on(TIMES[time] * FAST, item)
            self._heard[key] = self._as_voter(each, bare), answers
        after, answers = self._heard[key]
        return after._replace(answers=voter.answers), answers

    def _restarts(self, at: State, e: int, voter: Voter, now: float) -> Iterator[tuple[str, State]]:
        if at.restarts < self.bounds.restarts:
            fresh = Elector(now, LENGTH_MS, ELECTORS - 1, fresh=True)
            after = self._as_voter(fresh, voter)  # what it has answered may still be on its way
            yield "an elector restarts", _with(at, e, after)._replace(restarts=at.restarts + 1)
        for f, other in enumerate(at.voters):
            if f != e and voter.told < 2 and self._as_elector(other).speaks(now):
                floor = other.floor
                each = self._as_elector(voter)
                each.told(voter.told, floor)
                yield "a restarted elector is told", _with(at, e, self._as_voter(each, voter))

    def _moved(self, at: State, n: int, each: Candidate, items: list[Item], starts: int) -> State:
        rows = list(at.askers)
        rows[n] = self._as_asker(each, starts)
        last = max(at.last, (each.fence, n)) if each.until else at.last
        sent = at.sent.union((n, item) for item in items) if items else at.sent
        voters = at.voters
        if rows[n].ballot != at.askers[n].ballot or rows[n].phase is not at.askers[n].phase:
            voters = tuple(sorted((self._awaited(v, n, rows[n]) for v in voters), key=hash))
        return at._replace(askers=tuple(rows), sent=sent, last=last, voters=voters)

    def _awaited(self, voter: Voter, n: int, asker: Asker) -> Voter:
        """Answers that change nothing any more are left out: no later try has this ballot."""
        kept = frozenset((m, i) for m, i in voter.answers if m != n or _matters(asker, i))
        return voter._replace(answers=kept)

    # --- what must hold ---

    def breach(self, before: State, after: State) -> str:
        now = TIMES[after.time] * SLOW
        rows = enumerate(after.askers)
        holding = [n for n, row in rows if row.until and self._as_candidate(n, row).holds(now)]
        if len(holding) > 1:
            return "two hold it"
        for n in holding:
            fence = after.askers[n].fence
            (highest, whose) = before.last
            if not before.askers[n].until and (fence < highest or (fence == highest and n != whose)):
                return f"{n} holds by {fence}, {whose} had by {highest}"
        return ""

    def explore(self, most: int) -> Found:
        """Up to `most` states, the nearest first."""
        seen = {_key(self.first)}
        came = dict[int, tuple[int, str]]()
        queue = deque([self.first])
        while queue and len(seen) < most:
            at = queue.popleft()
            here = _key(at)
            for text, after in self.following(at):
                key = _key(after)
                if key in seen:
                    continue
                seen.add(key)
                came[key] = (here, text)
                if breach := self.breach(at, after):
                    return Found(len(seen), False, breach, _trace(came, key))
                queue.append(after)
        return Found(len(seen), not queue, "", [])


def _with(at: State, e: int, voter: Voter) -> State:
    rows = list(at.voters)
    rows[e] = voter
    return at._replace(voters=tuple(sorted(rows, key=hash)))


def _matters(asker: Asker, answer: Item) -> bool:
    if asker.phase is Phase.IDLE:
        return False
    if answer.kind is Kind.REFUSED:
        return answer.ballot > asker.ballot
    return answer.kind is ANSWER_TO[asker.phase] and answer.ballot == asker.ballot


def _key(at: State) -> int:
    """64 bits: of a million states two pass for one in one run of thirty million."""
    return hash(at)


def _trace(came: dict[int, tuple[int, str]], key: int) -> list[str]:
    steps: list[str] = []
    while key in came:
        key, text = came[key]
        steps.append(text)
    return steps[::-1]
