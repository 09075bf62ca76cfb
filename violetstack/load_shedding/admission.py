"""Who is served under a level: by worth of a unit of work, then by tenants' shares, then by luck.

Once a tick the demand of the last second, by class and tenant, is held against the work that the fleet takes
(`steer`), times the level's `admit`. Classes are filled from the dearest down. In the class where the
budget ends, tenants are filled by weight: each gets the same part of its share, and what one does not ask
for lifts the others' (water-filling, the fluid form of weighted fair queueing). It is computed anew from
demand each tick, so a share that was lent is back with its owner one second after it asks.

A decision is then one look at a table and one hash: the session's luck is a number of its name alone, so
that a session is served or not as a whole, and it costs no memory a session. Sessions under way are
remembered in two bounded sets and given twice the luck; what that lets through beyond a tenant's part is
taken from all of it again (`trim`), so that it comes out of the tenant's own new sessions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import exp

from violetstack.core.ports import Shed
from violetstack.load_shedding.state_machine import Measures

DEMAND_MS = 500.0  # memory of demand: 86% of a change is seen within a second
WORK_MS = 1_000.0  # of work done and work lost
FULL_FROM = 0.10  # of the work let through refused or late: the fleet is full
FOLLOW = 0.05  # a tick, of the way to the work done: about 5 s
# a tick, and at most
UP = 1.005
PROBE = 1.3
# a tick, where nothing is held back on purpose; and at most
QUICK = 1.05
MOST_OF_DONE = 3.0
MOST_CELLS = 50_000
MOST_SESSIONS = 50_000  # in each of two sets
FORGET_MS = 60_000.0  # a set of sessions is dropped after two of these
SPREAD = 3.0  # Retry-After runs from the level's advice to so many times it
READ_PART = 1.0  # work of a prompt token; an answer token's work is of the writers


@dataclass(frozen=True, slots=True)
class Weights:
    """Of the settings: by class its worth beside the dearest (1), by tenant its share (None: no shares)."""

    worth: tuple[float, ...]
    classes: tuple[str, ...]
    shares: tuple[float, ...]
    tenants: tuple[str, ...]
    over_share_worth: float = 1.0


class Decaying:
    """A rate that forgets: what was added, over `tau`."""

    __slots__ = ("at", "sum", "tau")

    def __init__(self, tau: float, now: float) -> None:
        self.tau = tau
        self.sum = 0.0
        self.at = now

    def add(self, now: float, amount: float) -> None:
        self.sum = self.sum * exp(min(0.0, self.at - now) / self.tau) + amount
        self.at = now

    def rate(self, now: float) -> float:
        """A millisecond."""
        return self.sum * exp(min(0.0, self.at - now) / self.tau) / self.tau


def luck(name: str) -> float:
    """From 0 to below 1, the same for a name at every dispatcher."""
    return int.from_bytes(blake2b(name.encode("utf-8", "replace"), digest_size=7).digest()) / 2**56


def fill(budget: float, demand: Mapping[int, float], weight: Mapping[int, float]) -> dict[int, float]:
    """Water-filling: what each gets, at most its demand, the unfilled all in proportion to their weights."""
    given: dict[int, float] = {}
    left = budget
    rest = sum(weight.get(n, 0.0) for n in demand)
    for n in sorted(demand, key=lambda n: demand[n] / max(weight.get(n, 0.0), 1e-9)):
        mine = weight.get(n, 0.0)
        part = left * mine / rest if rest > 0 else 0.0
        given[n] = min(demand[n], max(0.0, part))
        left = left - given[n]
        rest = rest - mine
    return given


class Admission:
    """`note` each request, `did` each one that ended well, `tick` four times a second, `decide` each one."""

    def __init__(self, weights: Weights) -> None:
        self.weights = weights
        self.demand: dict[tuple[int, int], Decaying] = {}
        self.work, self.late, self.refused = (Decaying(WORK_MS, 0.0) for _ in range(3))
        self.limit: float | None = None
        self.seen: float | None = None
        self.parts: dict[tuple[int, int], float] = {}  # admitted part of each cell; absent is all
        self.usual = 1.0  # for cells that the last tick did not know
        self.measures = Measures()
        self.by_cell: dict[tuple[int, int], float] = {}
        self.trim: dict[tuple[int, int], float] = {}  # by cell: what its part is multiplied by to meet it
        self.through: dict[tuple[int, int], Decaying] = {}  # by cell: work let through
        self.young: set[int] = set()
        self.old: set[int] = set()
        self.turned = 0.0
        self.shed = 0

    def set(self, measures: Measures) -> None:
        self.measures = measures
        self.parts = {}
        self.usual = 1.0
        classes = self.weights.classes
        tenants = self.weights.tenants
        self.by_cell = {}
        for cls, tenant, most in measures.by_cell:
            for c in [classes.index(cls)] if cls in classes else range(len(classes)):
                for t in [tenants.index(tenant)] if tenant in tenants else range(max(1, len(tenants))):
                    self.by_cell[c, t] = min(most, self.by_cell.get((c, t), 1.0))

    # --- what is seen ---

    def note(self, now: float, cls: int, tenant: int, prompt: float) -> None:
        cell = self.demand.get((cls, tenant))
        if cell is None:
            if len(self.demand) >= MOST_CELLS:
                return
            cell = self.demand[cls, tenant] = Decaying(DEMAND_MS, now)
        cell.add(now, READ_PART * prompt + 1.0)

    def did(self, now: float, prompt: float, ratio: float) -> None:
        """A first token came, after so many times the request's aim."""
        self.work.add(now, READ_PART * prompt + 1.0)
        if ratio > 1.0:
            self.late.add(now, READ_PART * prompt + 1.0)

    def lost(self, now: float, prompt: float) -> None:
        """Let through, and refused or failed all the same."""
        self.refused.add(now, READ_PART * prompt + 1.0)

    def steer(self, now: float) -> None:
        """What the fleet can do: the work that was done while it refused some. None until that was seen.

        Work done says what could be done only while the fleet turns work away; while the level itself holds
        work back it says no more than the level. So the limit follows the work done only then. Else it is
        tried upward: quickly, where the level means to let through all that the fleet can do; up to PROBE
        times what was last seen, where it holds back on purpose.
        """
        done = self.work.rate(now)
        late = self.late.rate(now)
        refused = self.refused.rate(now)
        tried = done + refused
        bad = (refused + late) / tried if tried > 0.0 else 0.0
        admit = self.measures.admit
        if bad > FULL_FROM:
            self.limit = done if self.limit is None else self.limit + FOLLOW * (done - self.limit)
            self.seen = self.limit
        elif self.limit is not None and self.seen is not None:
            self.seen = max(self.seen, done)
            if admit is not None and admit >= 1.0:
                self.limit = min(self.limit * QUICK, max(self.limit, done * MOST_OF_DONE))
            else:
                self.limit = max(self.limit, min(self.limit * UP, self.seen * PROBE))

    # --- once a tick ---

    def tick(self, now: float) -> None:
        self.steer(now)
        if now - self.turned > FORGET_MS:
            self.old = self.young
            self.young = set()
            self.turned = now
        asked = {cell: each.rate(now) for cell, each in self.demand.items()}
        for cell in [cell for cell, rate in asked.items() if rate < 1e-6]:
            del self.demand[cell], asked[cell]
            self.through.pop(cell, None)
            self.trim.pop(cell, None)
        total = sum(asked.values())
        admit = self.measures.admit
        if admit is None and not self.by_cell and not self.measures.within_share:
            self.parts = {}
            self.usual = 1.0
            return
        # Until the fleet was seen full, a level that holds back on purpose does so from what is asked.
        can = total if self.limit is None else self.limit
        budget = total if admit is None else admit * can
        self.parts = {}
        left = budget
        weight = dict(enumerate(self.weights.shares)) or {0: 1.0}
        for cls in sorted(range(len(self.weights.worth)), key=lambda c: -self.weights.worth[c]):
            cells = {t: rate * self.by_cell.get((c, t), 1.0) for (c, t), rate in asked.items() if c == cls}
            wanted = sum(cells.values())
            given = cells if wanted <= left else fill(max(0.0, left), cells, weight)
            if self.measures.within_share and self.weights.shares:
                given = {t: min(part, budget * weight.get(t, 0.0)) for t, part in given.items()}
            left -= sum(given.values())
            for t in cells:
                part = min(1.0, given[t] / asked[cls, t])
                self.parts[cls, t] = part * self._trimmed(now, (cls, t), part, given[t])
        self.usual = 1.0 if left > 0 else 0.0

    def _trimmed(self, now: float, cell: tuple[int, int], part: float, given: float) -> float:
        """Steers what is really let through to what was given; slowly up, faster down."""
        if part >= 1.0 or given <= 0.0:
            self.trim.pop(cell, None)
            return 1.0
        through = self.through[cell].rate(now) if cell in self.through else 0.0
        off = given / through if through > 0.0 else 1.1
        self.trim[cell] = min(1.5, max(0.2, self.trim.get(cell, 1.0) * min(1.1, max(0.8, off))))
        return self.trim[cell]

    # --- each request ---

    def decide(
        self, now: float, cls: int, tenant: int, name: str, prompt: float, *, session: bool
    ) -> Shed | None:
        """None: served. `name` is the session's, else the request's own; `session` says which."""
        measures = self.measures
        if measures.prompt is not None and prompt > measures.prompt:
            return self._shed("prompt", name)
        if self.weights.worth[cls] < measures.worth:
            return self._shed("worth", name)
        if not self.parts and not self.by_cell:
            return None
        part = self.parts.get((cls, tenant), self.by_cell.get((cls, tenant), self.usual))
        mine = 0.0 if part >= 1.0 else luck(name)
        if session and mine and self._under_way(name):
            mine *= 0.5
        if mine >= part:
            return self._shed("share" if measures.within_share else "admit", name)
        if session:
            self._remember(name)
        if (cls, tenant) not in self.through:
            self.through[cls, tenant] = Decaying(WORK_MS, now)
        self.through[cls, tenant].add(now, READ_PART * prompt + 1.0)
        return None

    def _shed(self, reason: str, name: str) -> Shed:
        self.shed += 1
        spread = luck(f"{self.shed}\n{name}")
        return Shed(reason, self.measures.retry_after_ms * (1.0 + (SPREAD - 1.0) * spread))

    def _under_way(self, name: str) -> bool:
        key = hash(name)
        return key in self.young or key in self.old

    def _remember(self, name: str) -> None:
        if len(self.young) >= MOST_SESSIONS:
            self.old = self.young
            self.young = set()
        self.young.add(hash(name))
