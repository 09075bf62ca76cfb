"""Pools of hosts: their members, whether a pool is usable, and which fallback replaces it.

A pool has enough members while at least `min_members` hosts are healthy, among them one that can prefill and
one that can decode. The states of a pool and their transitions:

    usable      too few members                        -> lost, at once
    lost        enough members                         -> recovering
    recovering  too few members                        -> lost
    recovering  enough members for the recovery delay  -> usable

The recovery delay is `return_after_ms`, doubled for each consecutive loss within a minute of a recovery, up
to a factor of eight, so that a flapping pool gets its traffic back less and less often. Before its first loss
a pool is usable as soon as it has enough members, since a start is not a recovery.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from violetstack.policy_api import Endpoint, Role
from violetstack.routing.conditions import ALWAYS, Condition, Values, holds

FLAP_MS = 60_000.0  # a loss within this time after a recovery counts as flapping
MAX_DOUBLINGS = 3  # of the recovery delay


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """A pool as the operator's file defines it; `fallback` lists the pools that replace it, in order."""

    name: str
    members: Condition = ALWAYS
    min_members: int = 1
    fallback: tuple[str, ...] = ()
    return_after_ms: float = 5_000.0
    location: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class HostAttributes:
    """Attributes of a host from the endpoint list and the operator's file."""

    values: Values
    can_prefill: bool
    can_decode: bool


@dataclass(slots=True)
class PoolState:
    """The members of a pool, and whether it is usable.

    Attributes:
        members: ids of its healthy hosts.
        usable: whether requests are sent to it.
        sufficient_since: since when it has had enough members; None while it has too few.
        recovered_at: when it last became usable.
        lost: whether it was ever lost.
        consecutive_flaps: consecutive losses, each soon after a recovery.
    """

    members: set[str] = field(default_factory=set)
    usable: bool = False
    sufficient_since: float | None = None
    recovered_at: float | None = None
    lost: bool = False
    consecutive_flaps: int = 0


@dataclass(frozen=True, slots=True)
class PoolChange:
    """A pool was lost or has recovered; `active_pool` is the pool that its requests go to now."""

    pool: str
    lost: bool
    members: int
    active_pool: str


class PoolTracker:
    """All pools of a generation.

    `update_hosts` is called with each endpoint update, `active_pool` at each choice of a host.
    """

    def __init__(self, specs: Mapping[str, PoolSpec]) -> None:
        """Starts without hosts."""
        self.specs = specs
        self.hosts: dict[str, HostAttributes] = {}
        self.states = {name: PoolState() for name in specs}
        self.fallback_chains = {name: fallback_chain(specs, name) for name in specs}
        self.changes: list[PoolChange] = []

    def inherit_state(self, old: PoolTracker, now: float) -> None:
        """Takes over the hosts of the previous generation after a reload.

        A pool with an unchanged definition keeps its state, so that a reload does not end its recovery early.
        """
        self.hosts = dict(old.hosts)
        for name, spec in self.specs.items():
            state = self.states[name]
            if old.specs.get(name) == spec:
                previous = old.states[name]
                self.states[name] = replace(previous, members=set(previous.members))
            else:
                state.members = {
                    server
                    for server, attributes in self.hosts.items()
                    if holds(spec.members, attributes.values)
                }
                self._update_state(name, now)

    def update_hosts(
        self, now: float, healthy: Mapping[str, HostAttributes], removed: Iterable[str], is_complete: bool
    ) -> None:
        """Takes a change of the endpoint list.

        Args:
            now: milliseconds.
            healthy: attributes of healthy hosts, by id.
            removed: ids of hosts that drain or are no longer listed.
            is_complete: `healthy` has all healthy hosts, not only those that changed.
        """
        if is_complete:
            self.hosts = {}
            for state in self.states.values():
                state.members = set()
        for server in removed:
            self.hosts.pop(server, None)
            for state in self.states.values():
                state.members.discard(server)
        for server, attributes in healthy.items():
            if self.hosts.get(server) == attributes:
                continue
            self.hosts[server] = attributes
            for name, spec in self.specs.items():
                members = self.states[name].members
                if holds(spec.members, attributes.values):
                    members.add(server)
                else:
                    members.discard(server)
        for name in self.specs:
            self._update_state(name, now)

    def _has_enough_members(self, name: str) -> bool:
        members = self.states[name].members
        if len(members) < self.specs[name].min_members:
            return False
        can_prefill = any(self.hosts[server].can_prefill for server in members)
        return can_prefill and any(self.hosts[server].can_decode for server in members)

    def _update_state(self, name: str, now: float) -> None:
        state = self.states[name]
        if not self._has_enough_members(name):
            state.sufficient_since = None
            if state.usable:
                is_flap = state.lost and state.recovered_at is not None and now < state.recovered_at + FLAP_MS
                state.consecutive_flaps = state.consecutive_flaps + 1 if is_flap else 0
                state.usable = False
                state.lost = True
                self.changes.append(PoolChange(name, True, len(state.members), self.active_pool(name, now)))
        elif state.sufficient_since is None:
            state.sufficient_since = now
            if not state.lost:
                state.usable = True
                state.recovered_at = now

    def recovery_delay_ms(self, name: str) -> float:
        """Returns for how long a lost pool must have enough members before it is usable again."""
        return self.specs[name].return_after_ms * 2.0 ** min(
            MAX_DOUBLINGS, self.states[name].consecutive_flaps
        )

    def is_usable(self, name: str, now: float) -> bool:
        """Returns whether the pool is usable, and records its recovery once the recovery delay is over."""
        state = self.states[name]
        if not state.usable and state.sufficient_since is not None:
            if now < state.sufficient_since + self.recovery_delay_ms(name):
                return False
            state.usable = True
            state.recovered_at = now
            self.changes.append(PoolChange(name, False, len(state.members), name))
        return state.usable

    def active_pool(self, name: str, now: float) -> str:
        """Returns the first usable pool of its fallback chain; if there is none, the first with a member."""
        chain = self.fallback_chains[name]
        for pool_name in chain:
            if self.is_usable(pool_name, now):
                return pool_name
        return next((pool_name for pool_name in chain if self.states[pool_name].members), name)


def fallback_chain(specs: Mapping[str, PoolSpec], name: str) -> tuple[str, ...]:
    """Returns the pool and its fallbacks in order, each followed by its own fallbacks; every pool once."""
    chain: list[str] = []
    pending = [name]
    while pending:
        pool_name = pending.pop()
        if pool_name in chain or pool_name not in specs:
            continue
        chain.append(pool_name)
        pending.extend(reversed(specs[pool_name].fallback))
    return tuple(chain)


def fallback_cycle(specs: Mapping[str, PoolSpec], name: str) -> list[str] | None:
    """Returns the path by which a pool falls back to itself, or None."""
    pending: list[tuple[str, tuple[str, ...]]] = [(name, (name,))]
    visited: set[str] = set()
    while pending:
        pool_name, path = pending.pop()
        for fallback_name in specs[pool_name].fallback if pool_name in specs else ():
            if fallback_name == name:
                return [*path, name]
            if fallback_name not in visited:
                visited.add(fallback_name)
                pending.append((fallback_name, (*path, fallback_name)))
    return None


def host_attributes(
    entry: Endpoint,
    roles: tuple[Role, ...],
    kinds: tuple[str, ...],
    zones: tuple[str, ...],
    labels: frozenset[str] = frozenset(),
) -> HostAttributes:
    """Returns a host's attributes with the names that the operator's file uses."""

    def name_of(names: tuple[str, ...], index: int) -> str:
        return names[index] if 0 <= index < len(names) else str(index)

    role = roles[entry.kind] if entry.kind < len(roles) else Role.MIXED
    values: Values = {
        "host": entry.server,
        "kind": name_of(kinds, entry.kind),
        "zone": name_of(zones, entry.zone),
        "cell": str(entry.cell),
        "label": labels,
    }
    return HostAttributes(values, role is not Role.DECODE, role is not Role.PREFILL)
