"""Grants leases: promises no older ballot, accepts one owner at a time, forgets when its own timer ends."""

from __future__ import annotations

import msgspec

from violetstack.lease.messages import Ballot, Item, Kind

DRIFT = 0.01  # two clocks count a length alike to within so much
NONE = Ballot(0, 0)


def longest(length_ms: float) -> float:
    """How long an elector counts a lease that its owner counts for `length_ms`: whichever clock runs fast."""
    return length_ms * (1.0 + DRIFT) / (1.0 - DRIFT)


class Granted(msgspec.Struct):
    promised: Ballot = NONE
    ballot: Ballot = NONE
    owner: int | None = None
    until: float = 0.0
    fence: int = 0
    promised_at: float = 0.0


class Elector:
    """`most_ms`: the longest lease there is. Times are this process's monotonic milliseconds.

    Guards against two holders: one that has just started remembers nothing of what it granted, so it says
    nothing for the longest lease. After that a majority of the other electors tells it how far fencing
    numbers have come; where a majority has restarted as well, it takes what it was told by then.
    """

    def __init__(self, now: float, most_ms: float, others: int, *, fresh: bool) -> None:
        """`others`: how many electors there are besides. `fresh` False: a tier that never had any holder."""
        self._most_ms = most_ms
        self.silent_until = now + longest(most_ms) if fresh else now
        self._alone_until = self.silent_until + longest(most_ms) if fresh else now
        self._need = (others + 1) // 2 + 1 if fresh and others else 0
        self._told: set[int] = set()
        self.floor = 0
        self.duties: dict[int, Granted] = {}

    def speaks(self, now: float) -> bool:
        return now >= self.silent_until and (len(self._told) >= self._need or now >= self._alone_until)

    def heard(self, floor: int) -> None:
        self.floor = max(self.floor, floor)

    def told(self, sender: int, floor: int) -> None:
        """An elector that had not restarted answered an ASK."""
        self._told.add(sender)
        self.heard(floor)

    def on(self, now: float, item: Item) -> list[Item]:
        """What to answer its sender."""
        if item.kind is Kind.ASK:
            return [item._replace(kind=Kind.FLOOR, fence=self.floor)] if self.speaks(now) else []
        if not self.speaks(now):
            return []
        state = self._current(now, item.duty)
        match item.kind:
            case Kind.PREPARE:
                left = max(0, round(state.until - now)) if state.owner is not None else 0
                told = Item(Kind.PROMISE, item.duty, item.ballot, self._fence(state), left, state.owner)
                if item.ballot < state.promised:
                    return [told._replace(kind=Kind.REFUSED, ballot=state.promised)]
                state.promised = item.ballot
                state.promised_at = now
                return [told]
            case Kind.PROPOSE:
                if item.ballot < state.promised or item.length_ms > self._most_ms:
                    return [Item(Kind.REFUSED, item.duty, state.promised)]
                state.promised = state.ballot = item.ballot
                state.promised_at = now
                state.owner, state.until = item.owner, now + longest(item.length_ms)
                state.fence = max(state.fence, item.fence)
                self.heard(item.fence)
                return [Item(Kind.ACCEPTED, item.duty, item.ballot, state.fence)]
            case Kind.RELEASE:
                if state.ballot == item.ballot:
                    state.owner = None
                    state.until = 0.0
        return []

    def _current(self, now: float, duty: int) -> Granted:
        state = self.duties.setdefault(duty, Granted())
        if state.owner is not None and now >= state.until:
            state.owner = None
        return state

    def _fence(self, state: Granted) -> int:
        return max(state.fence, self.floor)

    def forget(self, now: float) -> None:
        """Guards the memory: what nobody holds or asks for goes; the floor keeps the numbers growing.

        A promise is kept for two of the longest leases: a proposal that it forbids was sent before the first
        of them was over, and counts for no longer than the second.
        """
        kept_ms = 2.0 * longest(self._most_ms)
        for duty, state in list(self.duties.items()):
            if now >= state.until and now >= state.promised_at + kept_ms:
                self.heard(state.fence)
                del self.duties[duty]
