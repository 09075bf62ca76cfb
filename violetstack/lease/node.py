"""One dispatcher's part in all duties: elector where it is one, candidate for each duty that it wants.

Datagrams in, datagrams out. Items for one receiver share datagrams, and what goes out in a second is bounded;
what must wait is replaced by what comes after it, so a bound costs time and never truth.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from hashlib import blake2b
from math import inf
from typing import Any, NamedTuple

from violetstack.lease.candidate import TRY_MS, Candidate, Change, electors
from violetstack.lease.elector import Elector
from violetstack.lease.messages import MOST_ITEMS, Ballot, Item, Kind, decode, duty_of, encode, who

EVERYONE = -1
ASK_MS = 500.0
FORGET_MS = 1_000.0
GATHER_MS = 10.0  # items wait so long for others that go the same way
AWAY_LEASES = 2.0  # for so long who was told to give a duty up leaves it to others
MOST_SEEN = 4_096  # duties whose last effect is remembered
FOR_ELECTORS = frozenset({Kind.PREPARE, Kind.PROPOSE, Kind.RELEASE, Kind.ASK})


class Budget:
    """Datagrams a second, in bursts of at most half a second's."""

    def __init__(self, per_s: float) -> None:
        self._rate = per_s / 1000.0
        self._most = max(1.0, per_s / 2.0)
        self._level = self._most
        self._as_of = 0.0

    def take(self, now: float) -> bool:
        self._level = self.left(now)
        self._as_of = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def left(self, now: float) -> float:
        return min(self._most, self._level + self._rate * max(0.0, now - self._as_of))

    def next(self, now: float) -> float:
        return now + max(0.0, 1.0 - self._level) / self._rate


class Effect(NamedTuple):
    """What the holder of a duty did or found, told to all. `duty`: see `messages.duty_of`."""

    duty: int
    by: int
    fence: int
    value: int


class Tenure(NamedTuple):
    """For operators: one duty as this dispatcher sees it. `holder` None: nobody, or not known."""

    name: str
    holder: int | None
    mine: bool
    fence: int
    left_ms: float
    since: float | None
    why: str


class Member:
    """`number` of `fleet`; `incarnation` tells this process from others of the same number."""

    def __init__(
        self,
        now: float,
        number: int,
        fleet: int,
        incarnation: int,
        length_ms: float,
        *,
        luck: random.Random,
        keys: tuple[bytes, ...] = (),
        per_s: float = 200.0,
        fresh: bool = True,
    ) -> None:
        self.number = number
        self.fleet = fleet
        self.length_ms = length_ms
        self.me, self.electors = who(number, incarnation), electors(fleet)
        self.fit = True
        self.elector: Elector | None = None
        if number in self.electors:
            self.elector = Elector(now, length_ms, len(self.electors) - 1, fresh=fresh)
        self.log: Callable[..., None] = lambda event, **told: None
        self.applied: Callable[[float, Effect], None] = lambda now, effect: None
        self.sent = self.sent_bytes = 0
        self._luck = luck
        self._keys = keys
        self._budget = Budget(per_s)
        self._names: dict[int, str] = {}
        self._mine: dict[int, Candidate] = {}
        self._due: list[tuple[float, int]] = []
        self._away: dict[int, float] = {}
        self._own: set[int] = set()
        self._acts_until: dict[int, float] = {}  # by effects that wait to be sent
        self._since: dict[int, tuple[float, str]] = {}
        self._seen: dict[int, tuple[int, int]] = {}  # of the last effect: number, whose
        self._out: dict[int, dict[tuple[Kind, int, int], Item]] = {}
        self._ask_at = self._forget_at = now
        self._gathers_from: float | None = None

    # --- what its user asks ---

    def want(self, name: str, *, own: bool = False) -> None:
        """Asks for the duty from now on. `own`: it is this dispatcher's own matter, so nobody is nearer to
        it, and it is asked for fit or not."""
        duty = duty_of(name)
        if duty not in self._mine:
            rank = 0 if own else self.nearest(name).index(self.number)
            count = len(self.electors)
            mine = Candidate(duty, self.me, count, self.length_ms, luck=self._luck, rank=rank)
            mine.fit = self.fit or own
            if own:
                self._own.add(duty)
            self._mine[duty] = mine
            self._names[duty] = name
            heapq.heappush(self._due, (0.0, duty))

    def drop(self, now: float, name: str) -> None:
        """No longer: what is held goes back."""
        if (mine := self._mine.get(duty_of(name))) is None:
            return
        self._spread(now, mine.resign(now))
        self._told(now, mine)
        for kept in (self._mine, self._names, self._away, self._since):
            kept.pop(mine.duty, None)
        self._own.discard(mine.duty)

    def give_up(self, now: float, name: str, successor: int | None = None) -> bool:
        """The duty goes to others, or to one of them (`messages.who`); this one stays away for two leases.
        False: it was not held here."""
        mine = self._mine.get(duty_of(name))
        if mine is None or not mine.holds(now):
            return False
        self._away[mine.duty] = now + AWAY_LEASES * self.length_ms
        self._spread(now, mine.resign(now, successor))
        self._told(now, mine)
        self._push(now, mine)
        return True

    def leave(self, now: float, but: frozenset[str] = frozenset()) -> None:
        """This process ends: everything it holds goes back but the named ones, and it asks for nothing."""
        self.fit = False
        for duty, mine in list(self._mine.items()):
            if self._names[duty] not in but:
                self._spread(now, mine.resign(now))
                self._told(now, mine)

    def holds(self, now: float, name: str) -> bool:
        mine = self._mine.get(duty_of(name))
        return mine is not None and mine.holds(now)

    def effect(self, now: float, name: str, value: int) -> bool:
        """Tells all what was done or found by the duty; False, and nothing, if it is not held."""
        mine = self._mine.get(duty_of(name))
        if mine is None or not mine.holds(now):
            return False
        self._seen[mine.duty] = (mine.fence, self.me)
        self._acts_until[mine.duty] = mine.until
        item = Item(Kind.EFFECT, mine.duty, Ballot(mine.fence, self.me), mine.fence, value, self.me)
        self._put(EVERYONE, item)
        return True

    def tenures(self, now: float) -> list[Tenure]:
        rows = []
        for duty, name in sorted(self._names.items(), key=lambda row: row[1]):
            mine = self._mine[duty]
            since, why = self._since.get(duty, (None, ""))
            if mine.holds(now):
                rows.append(Tenure(name, self.number, True, mine.fence, mine.left_ms(now), since, why))
            else:
                other = mine.other if now < mine.other_until + TRY_MS else None  # it is asked about then
                left = max(0.0, mine.other_until - now)
                holder = None if other is None else other & 0xFFF
                rows.append(Tenure(name, holder, False, mine.fence, left, since, why))
        return rows

    def nearest(self, name: str) -> list[int]:
        """All dispatchers, in the duty's own order, so that many duties are spread evenly."""

        def place(n: int) -> bytes:
            return blake2b(f"{name}\n{n}".encode(), digest_size=8).digest()

        return sorted(range(self.fleet), key=place)

    # --- time ---

    def tick(self, now: float) -> list[tuple[int, bytes]]:
        """What to send now, with its receivers' numbers; EVERYONE for all."""
        elector = self.elector
        if elector is not None and now >= self._forget_at:
            elector.forget(now)
            self._forget_at = now + FORGET_MS
        if elector is not None and not elector.speaks(now) and now >= self._ask_at:
            self._ask_at = now + ASK_MS * (0.5 + self._luck.random())
            for to in self.electors:
                if to != self.number:
                    self._put(to, Item(Kind.ASK, 0, Ballot(0, self.me)))
        for duty in [duty for duty, until in self._away.items() if now >= until]:
            del self._away[duty]
        later = list[tuple[float, int]]()
        room = self._budget.left(now) * MOST_ITEMS / 3.0
        while self._due and self._due[0][0] <= now:
            _, duty = heapq.heappop(self._due)
            mine = self._mine.get(duty)
            if mine is None:
                continue
            mine.fit = (self.fit or duty in self._own) and duty not in self._away
            if not mine.holds(now) and sum(map(len, self._out.values())) > room:
                # Guards against asking for more than can be kept: what is held is renewed first.
                later.append((now + TRY_MS * (0.5 + self._luck.random()), duty))
                continue
            if mine.due() <= now:
                self._spread(now, mine.tick(now))
                self._told(now, mine)
            self._push(now, mine)
        for row in later:
            heapq.heappush(self._due, row)
        if self._out and self._gathers_from is None:
            self._gathers_from = now
        return self._flush(now) if self._ready(now) else []

    def due(self, now: float) -> float:
        """When to call `tick` again."""
        first = self._due[0][0] if self._due else inf
        if self._out:
            gathered = now if self._gathers_from is None else self._gathers_from + GATHER_MS
            first = min(first, max(gathered, self._budget.next(now)))
        if self.elector is not None:
            first = min(first, self._forget_at if self.elector.speaks(now) else self._ask_at)
        return first

    # --- what others tell ---

    def hear(self, now: float, sender: int, data: bytes) -> None:
        """Raises BadDatagram; then nothing of it counts."""
        floor, items = decode(data, sender, self._keys)
        if self.elector is not None:
            self.elector.heard(floor)
        for item in items:
            self._take(now, sender, item)

    def _take(self, now: float, sender: int, item: Item) -> None:
        if item.kind in FOR_ELECTORS:
            if item.kind is Kind.RELEASE and (mine := self._mine.get(item.duty)) is not None:
                mine.freed(now, item.ballot.who)
                self._push(now, mine)
            if self.elector is not None and item.ballot.who & 0xFFF == sender:  # none asks in another's name
                for answer in self.elector.on(now, item):
                    if sender == self.number:
                        self._take(now, sender, answer)
                    else:
                        self._put(sender, answer)
        elif item.kind is Kind.FLOOR:
            if self.elector is not None and sender in self.electors:
                self.elector.told(sender, item.fence)
        elif item.kind is Kind.EFFECT:
            self._apply(now, sender, item)
        elif (mine := self._mine.get(item.duty)) is not None:
            if item.kind is Kind.GRANT:
                if mine.fit:
                    mine.granted(now, item)
            elif sender in self.electors:
                self._spread(now, mine.on(now, sender, item))
            self._told(now, mine)
            self._push(now, mine)

    def _apply(self, now: float, sender: int, item: Item) -> None:
        """Guards against a holder that was stopped between its check and its sending: its number is old."""
        last = self._seen.get(item.duty, (0, item.ballot.who))
        told = (item.fence, item.ballot.who)
        if (
            item.ballot.who & 0xFFF != sender
            or item.fence < last[0]
            or (item.fence == last[0] and told[1] != last[1])
        ):
            self.log("effect_refused", sender=sender, fence=item.fence, seen=last[0])
            return
        self._seen.pop(item.duty, None)
        self._seen[item.duty] = told
        if len(self._seen) > MOST_SEEN:
            del self._seen[next(iter(self._seen))]
        if (mine := self._mine.get(item.duty)) is not None and item.fence >= mine.fence:
            self._spread(now, mine.refused(now, item.fence))  # all electors had forgotten who holds it
            self._told(now, mine)
        self.applied(now, Effect(item.duty, sender, item.fence, item.length_ms))

    # --- inside ---

    def _push(self, now: float, mine: Candidate) -> None:
        due = mine.due()
        if mine.duty in self._away:
            due = min(due, self._away[mine.duty])
        if due < inf:
            heapq.heappush(self._due, (max(due, now + 1.0), mine.duty))

    def refit(self, now: float, fit: bool) -> None:
        """May it take on duties? What it holds it keeps: a change costs more than a slow holder."""
        if fit != self.fit:
            self.fit = fit
            for duty in self._mine:
                heapq.heappush(self._due, (now, duty))

    def _told(self, now: float, mine: Candidate) -> None:
        for change in mine.changes:
            self._since[mine.duty] = (now, change.why)
            self.log("duty", **told(self._names[mine.duty], change))
        mine.changes.clear()

    def _spread(self, now: float, items: list[Item]) -> None:
        for item in items:
            if item.kind is Kind.GRANT and item.owner is not None:
                self._put(item.owner & 0xFFF, item)
                continue
            # Of an end all hear, so that rivals need not wait for the lease to run out.
            to = (EVERYONE, self.number) if item.kind is Kind.RELEASE else self.electors
            for number in to:
                if number == self.number:
                    self._take(now, number, item)
                else:
                    self._put(number, item)

    def _put(self, to: int, item: Item) -> None:
        waiting = self._out.setdefault(to, {})
        # Of one sender's items for a duty the last is right; answers to two candidates are two.
        key = (item.kind, item.duty, item.ballot.who)
        waiting.pop(key, None)
        waiting[key] = item

    def _floor(self) -> int:
        known = max((mine.fence for mine in self._mine.values()), default=0)
        return max(known, self.elector.floor if self.elector is not None else 0)

    def _ready(self, now: float) -> bool:
        since = self._gathers_from
        if since is None:
            return False
        return now >= since + GATHER_MS or any(len(rows) >= MOST_ITEMS for rows in self._out.values())

    def _flush(self, now: float) -> list[tuple[int, bytes]]:
        """Whoever has waited longest goes first, so that a bound starves nobody."""
        sent = []
        key = self._keys[0] if self._keys else b""
        floor = self._floor() if self._out else 0
        while self._out and self._budget.take(now):
            to, waiting = next(iter(self._out.items()))
            del self._out[to]
            taken = [waiting.pop(each) for each in list(waiting)[:MOST_ITEMS]]
            items = [item for item in taken if self._counts(now, item)]
            if waiting:
                self._out[to] = waiting
            if items:
                sent.append((to, encode(items, floor, self.number, key)))
                self.sent += 1
                self.sent_bytes += len(sent[-1][1])
        self._gathers_from = None if not self._out else now
        return sent

    def _counts(self, now: float, item: Item) -> bool:
        """Guards against an effect that waited here across a stop: its holder is asked in the last step."""
        return item.kind is not Kind.EFFECT or now < self._acts_until.pop(item.duty, 0.0)


def told(name: str, change: Change) -> dict[str, Any]:
    return {"name": name, "held": change.holds, "fence": change.fence, "why": change.why}
