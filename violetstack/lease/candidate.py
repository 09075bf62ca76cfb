"""One dispatcher's part in one duty: asks for it, holds it, renews it, hands it on.

The holder's time runs from the moment at which it sent its proposal; an elector's from when it got it, and a
little longer. So whoever holds by its own clock does so by a majority's, whatever was lost, late or doubled.
"""

from __future__ import annotations

import random
from enum import Enum
from math import inf
from typing import NamedTuple

from violetstack.lease.messages import Ballot, Item, Kind

# for a majority's answer; until it is sent again to those that may lack it
TRY_MS = 300.0
RESEND_MS = 70.0
TURN_MS = 60.0  # between one and the next in line for a duty: what two round trips take
BACK_OFF_MS = 100.0
BACK_OFF_MOST_MS = 2_000.0
RENEW_SHARE = 1 / 3  # of the lease: two renewals may be lost
GRID_SHARE = 1 / 20  # of the lease
# the nearest look for a duty's end each lease, each two further half as often
NEAR = 2
MOST_DOUBLED = 10


class Phase(Enum):
    IDLE = "idle"
    PREPARING = "preparing"
    PROPOSING = "proposing"


class Change(NamedTuple):
    """`holds` from now on, or no longer; for the log."""

    duty: int
    holds: bool
    fence: int
    why: str


class Candidate:
    """`me`: see `messages.who`. `rank`: how many others are to go before it; 0 tries at once.

    The further from a duty, the less often it looks: all of a fleet, however large, costs four looks a lease
    for a duty, and where the two nearest are gone, the next is there a lease later.
    """

    def __init__(
        self, duty: int, me: int, electors: int, length_ms: float, *, luck: random.Random, rank: int = 0
    ) -> None:
        self.duty = duty
        self.me = me
        self.length_ms = length_ms
        self.fit = True  # may it hold? Not while it starts, is overloaded or ends
        self.until = 0.0
        self.fence = 0
        self.phase, self.changes = Phase.IDLE, list[Change]()
        self._majority = electors // 2 + 1
        self._luck = luck
        self._rank = rank
        self._ballot = Ballot(0, me)
        self._sent_at = 0.0
        self._answers: set[int] = set()
        self._highest = 0  # fencing number that was heard of
        self._was_mine = self._told = False
        self._next_at: float | None = None
        self._failures = 0
        self._offset = (me % 97) / 97 * length_ms * GRID_SHARE
        self._successor: int | None = None
        self._asked = Item(Kind.PREPARE, duty, self._ballot)
        self._proposed = 0
        self.other: int | None = None  # who held it when electors were last asked, and until when
        self.other_until = 0.0

    # --- what its user asks ---

    def holds(self, now: float) -> bool:
        """Ask right before each effect; a yes is good for `left_ms`."""
        return now < self.until

    def left_ms(self, now: float) -> float:
        return max(0.0, self.until - now)

    def resign(self, now: float, successor: int | None = None) -> list[Item]:
        """To electors. With a successor the lease is made its own by a last proposal.

        From that proposal on this one no longer holds it, though it may fail: the successor may know of it
        before this one does. So there is a gap of some two round trips, and never two holders.
        """
        self.fit = False
        if not self.holds(now):
            return []
        if successor is not None:
            self._successor = successor
            self.phase = Phase.IDLE
            self._next_at = now
            return self.tick(now)
        self._lose(now, "resigned")
        return [Item(Kind.RELEASE, self.duty, self._ballot)]

    def refused(self, now: float, fence: int) -> list[Item]:
        """Whoever applies an effect has seen a later number: all electors had forgotten it. To electors."""
        self._highest = max(self._highest, fence)
        if not self.holds(now):
            return []
        self._lose(now, f"number {self.fence} was behind {fence}")
        self._next_at = now
        return [Item(Kind.RELEASE, self.duty, self._ballot)]

    # --- time ---

    def tick(self, now: float) -> list[Item]:
        """What to send to all electors now. Call when `due` says, and after each answer."""
        if self.until and now >= self.until:
            self._lose(now, "not renewed in time")
        if self._next_at is None:
            self._next_at = now + self._turn() + self._luck.random() * BACK_OFF_MS
        if (not self.fit and self._successor is None) or now < self._next_at:
            return []
        if self.phase is not Phase.IDLE:
            if now < self._sent_at + TRY_MS:
                self._next_at = now + RESEND_MS
                return [self._asked]
            self._again(now)  # no majority answered
            return []
        self._ballot = Ballot(self._ballot.round + 1, self.me)
        self.phase = Phase.PREPARING
        self._answers = set()
        self._sent_at = now
        self._was_mine = self.holds(now)
        self._next_at = now + RESEND_MS
        self._asked = Item(Kind.PREPARE, self.duty, self._ballot)
        return [self._asked]

    def due(self) -> float:
        """When to call `tick` next; inf where there is nothing to do until something comes."""
        asks = self.fit or self._successor is not None
        first = (0.0 if self._next_at is None else self._next_at) if asks else inf
        return min(first, self.until or inf)

    def _turn(self) -> float:
        leases = 2.0 ** min(MOST_DOUBLED, self._rank // NEAR) - 1.0
        return self._rank % NEAR * TURN_MS + leases * self.length_ms

    # --- what electors answer ---

    def on(self, now: float, elector: int, item: Item) -> list[Item]:
        """Returns what to send to all electors; a GRANT is for its owner alone."""
        self._highest = max(self._highest, item.fence)
        match item.kind:
            case Kind.REFUSED if self.phase is not Phase.IDLE and item.ballot > self._ballot:
                self._ballot = Ballot(item.ballot.round, self.me)
                if item.owner in (None, self.me) or self.holds(now):
                    self._again(now)
                else:  # behind a holder that renews, not beside a rival: a longer wait helps nobody
                    self._in_line(now, item)
            case Kind.PROMISE if self.phase is Phase.PREPARING and item.ballot == self._ballot:
                if item.owner not in (None, self.me):
                    self._in_line(now, item)
                    return []
                self._answers.add(elector)
                if len(self._answers) >= self._majority:
                    mine = self._was_mine and self.holds(now)
                    if self._successor is not None:
                        return self._hand_on(now, self._successor) if mine else []
                    return self._propose(now, self.me, self.fence if mine else self._highest + 1)
            case Kind.ACCEPTED if self.phase is Phase.PROPOSING and item.ballot == self._ballot:
                self._answers.add(elector)
                if len(self._answers) >= self._majority:
                    return self._granted(now)
        return []

    def granted(self, now: float, item: Item) -> None:
        """A holder made the lease this one's. It asks at once; the word itself may be late, so it counts for
        nothing more."""
        if item.owner == self.me and not self.holds(now):
            self._ballot = Ballot(max(item.ballot.round, self._ballot.round), self.me)
            self._highest = max(self._highest, item.fence)
            self.phase = Phase.IDLE
            self._next_at = now

    def freed(self, now: float, owner: int) -> None:
        """The one who held it let it go."""
        if owner == self.other and self.phase is Phase.IDLE and not self.holds(now):
            self.other, self._next_at = None, now + self._wait(BACK_OFF_MS) + self._rank % NEAR * TURN_MS

    # --- inside ---

    def _hand_on(self, now: float, successor: int) -> list[Item]:
        fence = self.fence + 1
        self._lose(now, f"handed on to {successor & 0xFFF}")
        return self._propose(now, successor, fence)

    def _propose(self, now: float, owner: int, fence: int) -> list[Item]:
        self.phase = Phase.PROPOSING
        self._answers = set()
        self._sent_at = now
        self._proposed = fence
        self._next_at = now + RESEND_MS
        self._asked = Item(Kind.PROPOSE, self.duty, self._ballot, fence, round(self.length_ms), owner)
        return [self._asked]

    def _granted(self, now: float) -> list[Item]:
        self.phase = Phase.IDLE
        until = self._sent_at + self.length_ms
        if self._successor is not None:
            item = Item(Kind.GRANT, self.duty, self._ballot, self._proposed, 0, self._successor)
            self._successor = None
            return [item]
        if now >= until:
            self._again(now)
            return []
        self._hold(now, until, self._proposed, "elected")
        return []

    def _hold(self, now: float, until: float, fence: int, why: str) -> None:
        if not self.until:
            self.changes.append(Change(self.duty, True, fence, why))
        self.other = None
        self.until = until
        self.fence = fence
        self._failures = 0
        self.phase = Phase.IDLE
        # With jitter, so that members do not renew in step; on a grid of its own clock, so that a member's
        # renewals share datagrams.
        grid = self.length_ms * GRID_SHARE
        renew_at = now + self.length_ms * RENEW_SHARE * (0.8 + 0.2 * self._luck.random())
        self._next_at = renew_at - (renew_at - self._offset) % grid

    def _lose(self, now: float, why: str) -> None:
        if self.until:
            self.changes.append(Change(self.duty, False, self.fence, why))
        self.until = 0.0
        self.phase = Phase.IDLE
        self._next_at = now + self._wait(BACK_OFF_MS)

    def _again(self, now: float) -> None:
        """Guards against two rivals for ever: each waits in a window that doubles."""
        self.phase = Phase.IDLE
        self._failures += 1
        if self.holds(now):  # nobody else may have it, so there is no rival to make way for
            self._next_at = now + self._wait(RESEND_MS)
            return
        self._successor = None
        self._next_at = now + self._wait(min(BACK_OFF_MOST_MS, BACK_OFF_MS * 2.0 ** min(self._failures, 10)))

    def _in_line(self, now: float, item: Item) -> None:
        self.other = item.owner
        self.other_until = now + item.length_ms
        self._next_at = self.other_until + self._wait(BACK_OFF_MS) + self._turn()
        self.phase = Phase.IDLE
        self._failures = 0
        self._successor = None

    def _wait(self, most: float) -> float:
        return most * (0.2 + 0.8 * self._luck.random())


def electors(fleet: int) -> tuple[int, ...]:
    """The dispatchers that grant, by number: all of up to four, five of more, seven of fifty and more."""
    count = fleet if fleet <= 4 else 5 if fleet < 50 else 7
    return tuple(n * fleet // count for n in range(count))
