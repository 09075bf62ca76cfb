"""Judges a run by what the sockets showed: the rules that were broken, and when service was whole again.

Nothing here does I/O or reads a clock. Times are seconds of the run.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from statistics import median

SLACK_S = 0.05  # the protocol page's, on every time limit
LATE_ANSWER_S = 0.5  # past its time an answer earns nothing; later than this it is lost
BUCKET_S = 0.5
WHOLE_FOR_S = 1.0  # service is whole from when it has been so for this long
# of the first tries; times the median before the first trouble
SERVED_PART = 0.98
FIRST_TOKEN_MOST = 1.5


@dataclass(slots=True)
class Asked:
    """One request as its client saw it. `excused`: its dispatcher was killed or stopped under it."""

    id: str
    dispatcher: int
    order: bool
    first_try: bool
    sent: float
    until: float
    answer: str = ""
    first: float | None = None
    ended: float | None = None
    excused: bool = False


@dataclass
class Held:
    """What is held for one request anywhere."""

    hosts: set[str]
    since: float  # when the last thing happened to it


@dataclass
class Holder:
    """A dispatcher that acted under a lease, its fencing token, and the times of its first and last act."""

    lease_id: int
    dispatcher: int
    fencing_token: int
    first: float
    last: float


@dataclass
class Audit:
    drain_s: float
    release_s: float
    fall_s: float
    fall_multiple: float
    breaches: list[str] = field(default_factory=list)
    asked: dict[str, Asked] = field(default_factory=dict)
    told: dict[tuple[int, str], float] = field(default_factory=dict)  # a drain, written to a dispatcher
    runs: dict[str, int] = field(default_factory=dict)
    held: dict[str, Held] = field(default_factory=dict)
    out: Counter[str] = field(default_factory=Counter)  # attempts of a request that are at hosts now
    failures: Counter[str] = field(default_factory=Counter)  # answers of failing hosts
    broken: set[int] = field(default_factory=set)  # dispatchers whose path to all hosts is broken
    stale: int = 0  # sends past the drain's time
    holders: list[Holder] = field(default_factory=list)  # of leases, one after the other
    lag: float = 0.0  # how late the stand-ins themselves are at most: no breach is theirs
    _work: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)

    def lease_broadcast(self, now: float, dispatcher: int, lease_id: int, token: int) -> None:
        """Checks a broadcast under a lease: fencing tokens never go down, and each has one holder."""
        last = next((row for row in reversed(self.holders) if row.lease_id == lease_id), None)
        if last is None or token > last.fencing_token:
            self.holders.append(Holder(lease_id, dispatcher, token, now, now))
        elif token == last.fencing_token and dispatcher == last.dispatcher:
            last.last = now
        else:
            self._broken(
                "lease",
                f"{dispatcher} acted with token {token} after {last.dispatcher} with {last.fencing_token}",
            )

    def holder(self) -> int | None:
        """Returns the dispatcher that acted last under any lease."""
        return max(self.holders, key=lambda row: row.last).dispatcher if self.holders else None

    def _broken(self, rule: str, text: str) -> None:
        self.breaches.append(f"{rule}: {text}")

    # --- what hosts see ---

    def arrived(self, now: float, host: str, request: str, work: float, capacity: float | None) -> bool:
        """A request, whole, at a host; False if the host falls over. `capacity`: work a second while cold."""
        asked = self.asked.get(request)
        told = self.told.get((asked.dispatcher, host)) if asked is not None else None
        if told is not None and now - told > self.drain_s + SLACK_S + self.lag:
            self.stale += 1
            self._broken("drain", f"{host} got {request} {now - told:.2f} s after dispatcher was told")
        self.out[request] += 1
        if capacity is None:
            return True
        window = self._work.setdefault(host, deque())
        window.append((now, work))
        while window[0][0] <= now - self.fall_s:
            window.popleft()
        most = self.fall_multiple * capacity * self.fall_s
        if sum(each for _, each in window) <= most + 2 * work:  # a little slack for chance
            return True
        self._broken("cold", f"{host} fell over: {len(window)} sends in {self.fall_s} s")
        return False

    def ran(self, host: str, request: str) -> None:
        """An answer was begun at a writer."""
        self.runs[request] = self.runs.get(request, 0) + 1
        if self.runs[request] > 1 and request in self.asked and self.asked[request].order:
            self._broken("order", f"{request} ran again at {host}")

    def holds(self, now: float, host: str, request: str) -> None:
        held = self.held.setdefault(request, Held(set(), now))
        held.hosts.add(host)
        held.since = now

    def rests(self, now: float, request: str) -> None:
        """An attempt of the request ended at its host."""
        self.out[request] -= 1
        if (held := self.held.get(request)) is not None:
            held.since = now

    def let_go(self, now: float, request: str) -> None:
        held = self.held.pop(request, None)
        if held is not None:
            self._pinned(now, request, held)

    def _pinned(self, now: float, request: str, held: Held) -> None:
        asked = self.asked.get(request)
        over = now - held.since - self.release_s - 0.3 - SLACK_S - self.lag
        if not self.out[request] and over > 0 and asked is not None and not asked.excused:
            who = f"{request} of dispatcher {asked.dispatcher} at {sorted(held.hosts)}"
            self._broken("held", f"{who} for {now - held.since:.2f} s")

    # --- the end ---

    def excuse(self, dispatchers: set[int], now: float) -> None:
        """Killed or stopped now: what was open there is the trouble's doing, not the program's."""
        for asked in self.asked.values():
            if asked.dispatcher in dispatchers and (asked.ended is None or asked.ended > now - 0.05):
                asked.excused = True

    def close(self, now: float) -> None:
        for asked in self.asked.values():
            late = (asked.first if asked.first is not None else asked.ended) or now
            over = late - asked.until - LATE_ANSWER_S - self.lag
            if not asked.excused and (asked.answer in ("", "lost") or over > 0):
                self._broken(
                    "answer", f"{asked.id} {asked.answer or 'none'} at dispatcher {asked.dispatcher}"
                )
        for request, held in self.held.items():
            self._pinned(now, request, held)


@dataclass(slots=True)
class Line:
    """Half a second of a run, by when its first tries were sent."""

    at: float
    asked: int = 0
    served: int = 0
    refused: int = 0
    lost: int = 0  # failed, cut, unreached, never answered
    first_ms: float | None = None
    most_inside: int = 0
    calls: int = 0


def lines(
    asked: list[Asked], inside: list[tuple[float, int]], calls: list[float], until: float
) -> list[Line]:
    rows = [Line(n * BUCKET_S) for n in range(int(until / BUCKET_S))]
    firsts: dict[int, list[float]] = {}
    for each in asked:
        n = int(each.sent / BUCKET_S)
        if not each.first_try or not 0 <= n < len(rows):
            continue
        rows[n].asked += 1
        rows[n].served += each.answer == "served"
        rows[n].refused += each.answer == "refused"
        rows[n].lost += each.answer not in ("served", "refused")
        if each.first is not None:
            firsts.setdefault(n, []).append((each.first - each.sent) * 1000.0)
    for n, row in enumerate(rows):
        row.first_ms = round(median(firsts[n]), 1) if n in firsts else None
        row.most_inside = max((most for at, most in inside if int(at / BUCKET_S) == n), default=0)
        row.calls = sum(1 for at in calls if int(at / BUCKET_S) == n)
    return rows


def to_full_s(rows: list[Line], warm: float, fault_at: float, over_at: float) -> float | None:
    """From the end of the last trouble (a start, a waking) to whole service: for a second, 98% of first
    tries are served, with a median first token of at most 1.5 times that before the first. None if it never
    came."""
    before = [row.first_ms for row in rows if warm <= row.at < fault_at and row.first_ms is not None]
    if not before:
        return None
    usual = median(before)
    need = int(WHOLE_FOR_S / BUCKET_S)

    def whole(row: Line) -> bool:
        if not row.asked or row.first_ms is None:
            return False
        return row.served >= SERVED_PART * row.asked and row.first_ms <= FIRST_TOKEN_MOST * usual

    first = int(over_at / BUCKET_S)
    for n in range(first, len(rows) - need + 1):
        if all(whole(row) for row in rows[n : n + need]):
            return max(0.0, rows[n].at - over_at)
    return None
