"""Pools of hosts: who is in one, whether it can be used, and which stands in for it.

A pool can be used while it has at least `least` healthy members, among them one that reads and one that
writes. States of a pool, and what moves it:

    whole      too few members            -> lost, at once
    lost       enough members             -> returning, since now
    returning  too few members            -> lost
    returning  enough for `hold` in a row -> whole

`hold` is `return_after`, doubled for each loss in a row that came within a minute of a return, up to eight
times, so that a pool that flaps is given less and less chance to take its traffic back only to drop it
again. Before its first loss a pool is whole as soon as it has members enough: a start is not a return.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from violetstack.policy_api import Endpoint, Role
from violetstack.routing.conditions import ALWAYS, Condition, Values, holds

FLAP_MS = 60_000.0
MAX_DOUBLINGS = 3


@dataclass(frozen=True, slots=True)
class PoolSpec:
    name: str
    members: Condition = ALWAYS
    least: int = 1
    fallback: tuple[str, ...] = ()
    return_after_ms: float = 5_000.0
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class HostFacts:
    """What the list or the operator's file tells of one host."""

    values: Values
    reads: bool
    writes: bool


@dataclass(slots=True)
class PoolState:
    members: set[str] = field(default_factory=set)
    usable: bool = False
    enough_since: float | None = None
    back_at: float | None = None  # since when it is whole
    lost: bool = False  # ever
    flaps: int = 0  # losses in a row, each soon after a return


@dataclass(frozen=True, slots=True)
class Change:
    """`lost` or `back`, for the log."""

    pool: str
    lost: bool
    members: int
    instead: str


class PoolBook:
    """All pools of a generation. `told` is called with every news of the list, `active` at each choice."""

    def __init__(self, specs: Mapping[str, PoolSpec]) -> None:
        self.specs = specs
        self.hosts: dict[str, HostFacts] = {}
        self.states = {name: PoolState() for name in specs}
        self.chains = {name: chain(specs, name) for name in specs}
        self.changes: list[Change] = []

    def take_over(self, old: PoolBook, now: float) -> None:
        """A reload: a pool defined as before keeps its state, so that a new file makes none return early."""
        self.hosts = dict(old.hosts)
        for name, spec in self.specs.items():
            state = self.states[name]
            if old.specs.get(name) == spec:
                was = old.states[name]
                self.states[name] = replace(was, members=set(was.members))
            else:
                state.members = {s for s, f in self.hosts.items() if holds(spec.members, f.values)}
                self._judge(name, now)

    def told(self, now: float, here: Mapping[str, HostFacts], gone: Iterable[str], whole: bool) -> None:
        """Healthy hosts and what is known of them; those that drain or are gone. `whole`: all there is."""
        if whole:
            self.hosts = {}
            for state in self.states.values():
                state.members = set()
        for server in gone:
            self.hosts.pop(server, None)
            for state in self.states.values():
                state.members.discard(server)
        for server, facts in here.items():
            if self.hosts.get(server) == facts:
                continue
            self.hosts[server] = facts
            for name, spec in self.specs.items():
                members = self.states[name].members
                if holds(spec.members, facts.values):
                    members.add(server)
                else:
                    members.discard(server)
        for name in self.specs:
            self._judge(name, now)

    def _enough(self, name: str) -> bool:
        members = self.states[name].members
        if len(members) < self.specs[name].least:
            return False
        reads = any(self.hosts[s].reads for s in members)
        return reads and any(self.hosts[s].writes for s in members)

    def _judge(self, name: str, now: float) -> None:
        state = self.states[name]
        if not self._enough(name):
            state.enough_since = None
            if state.usable:
                soon = state.lost and state.back_at is not None and now < state.back_at + FLAP_MS
                state.flaps = state.flaps + 1 if soon else 0
                state.usable = False
                state.lost = True
                self.changes.append(Change(name, True, len(state.members), self.active(name, now)))
        elif state.enough_since is None:
            state.enough_since = now
            if not state.lost:
                state.usable = True
                state.back_at = now

    def hold_ms(self, name: str) -> float:
        """How long it must stay whole before it takes its traffic back."""
        return self.specs[name].return_after_ms * 2.0 ** min(MAX_DOUBLINGS, self.states[name].flaps)

    def usable(self, name: str, now: float) -> bool:
        state = self.states[name]
        if not state.usable and state.enough_since is not None:
            if now < state.enough_since + self.hold_ms(name):
                return False
            state.usable = True
            state.back_at = now
            self.changes.append(Change(name, False, len(state.members), name))
        return state.usable

    def active(self, name: str, now: float) -> str:
        """The first of the pool and its fallbacks that can be used; else the first that has anyone at all."""
        order = self.chains[name]
        for each in order:
            if self.usable(each, now):
                return each
        return next((each for each in order if self.states[each].members), name)


def chain(specs: Mapping[str, PoolSpec], name: str) -> tuple[str, ...]:
    """The pool, then its fallbacks in order, each followed by its own; every pool once."""
    order: list[str] = []
    ahead = [name]
    while ahead:
        each = ahead.pop()
        if each in order or each not in specs:
            continue
        order.append(each)
        ahead.extend(reversed(specs[each].fallback))
    return tuple(order)


def cycle(specs: Mapping[str, PoolSpec], name: str) -> list[str] | None:
    """The way by which a pool falls back to itself, if it does."""
    ahead: list[tuple[str, tuple[str, ...]]] = [(name, (name,))]
    seen: set[str] = set()
    while ahead:
        each, path = ahead.pop()
        for following in specs[each].fallback if each in specs else ():
            if following == name:
                return [*path, name]
            if following not in seen:
                seen.add(following)
                ahead.append((following, (*path, following)))
    return None


def facts_of(
    entry: Endpoint,
    roles: tuple[Role, ...],
    kinds: tuple[str, ...],
    zones: tuple[str, ...],
    labels: frozenset[str] = frozenset(),
) -> HostFacts:
    """A list entry in the words of the operator's file."""

    def named(names: tuple[str, ...], index: int) -> str:
        return names[index] if 0 <= index < len(names) else str(index)

    role = roles[entry.kind] if entry.kind < len(roles) else Role.MIXED
    values: Values = {
        "host": entry.server,
        "kind": named(kinds, entry.kind),
        "zone": named(zones, entry.zone),
        "cell": str(entry.cell),
        "label": labels,
    }
    return HostFacts(values, role is not Role.DECODE, role is not Role.PREFILL)
