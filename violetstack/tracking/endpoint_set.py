"""The endpoints of the list, and which of them can prefill or decode."""

from __future__ import annotations

import random

from msgspec.structs import replace

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, Role, Settings, UpdateScope
from violetstack.tracking.affinity import PrefillAffinity
from violetstack.tracking.endpoint import EndpointKind, TrackedEndpoint

DEFAULT_KIND = EndpointKind(Role.MIXED, memory_tokens=100_000.0)  # for kinds without settings
FULL_PENALTY = 1.0  # the freeness of an idle endpoint


class EndpointSet:
    """This dispatcher's records of all listed endpoints. A mixed host is in both pools."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Starts without endpoints; `rng` draws the jitter of each one's slow start."""
        self.by_name: dict[str, TrackedEndpoint] = {}
        self.prefill_hosts: list[TrackedEndpoint] = []
        self.decode_hosts: list[TrackedEndpoint] = []
        self.affinity = PrefillAffinity()
        self._kinds = _kinds(settings)
        self._rng = rng

    def pool(self, *, is_prefill: bool) -> list[TrackedEndpoint]:
        """Returns the usable hosts of one stage."""
        return self.prefill_hosts if is_prefill else self.decode_hosts

    def apply(self, update: EndpointUpdate, now: float) -> list[TrackedEndpoint]:
        """Applies an endpoint update, and returns the endpoints that restarted with an unchanged id.

        Removed endpoints are kept until `discard_removed` is called.
        """
        if update.scope is not UpdateScope.DELTA:
            listed = {entry.server for entry in update.endpoints}
            for name, endpoint in self.by_name.items():
                if name not in listed:
                    endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
        restarted = [
            self.by_name[entry.server] for entry in update.endpoints if self._apply_entry(entry, now)
        ]
        self._rebuild_pools()
        return restarted

    def discard_removed(self) -> None:
        """Deletes removed endpoints without attempts; new ids appear all day, so records would accumulate."""
        removed = [endpoint for endpoint in self.by_name.values() if endpoint.removed]
        for endpoint in removed:
            if not endpoint.in_flight:
                del self.by_name[endpoint.name]

    def unavailable(self, now: float) -> int:
        """Returns how many listed endpoints are out of rotation: draining, or with a full penalty."""
        return sum(
            1
            for endpoint in self.by_name.values()
            if not endpoint.removed
            and (not endpoint.usable or endpoint.statistics.penalty.value_at(now) >= FULL_PENALTY)
        )

    def _apply_entry(self, entry: Endpoint, now: float) -> bool:
        """Applies one entry, and returns whether its endpoint restarted."""
        kind = self._kinds[entry.kind] if entry.kind < len(self._kinds) else DEFAULT_KIND
        endpoint = self.by_name.get(entry.server)
        if endpoint is None:
            self.by_name[entry.server] = TrackedEndpoint(entry, kind, self._rng.random(), now)
            return False
        restarted = entry.started_ms is not None and entry.started_ms != endpoint.entry.started_ms
        if restarted:
            endpoint.forget_learned(now)
        endpoint.set_entry(entry, kind)
        return restarted

    def _rebuild_pools(self) -> None:
        for endpoint in self.by_name.values():
            endpoint.usable = endpoint.entry.state is EndpointState.HEALTHY
        usable = [endpoint for endpoint in self.by_name.values() if endpoint.usable]
        self.prefill_hosts = [endpoint for endpoint in usable if endpoint.role is not Role.DECODE]
        self.decode_hosts = [endpoint for endpoint in usable if endpoint.role is not Role.PREFILL]
        self.affinity.set_hosts(self.prefill_hosts)


def _kinds(settings: Settings) -> list[EndpointKind]:
    """Returns the settings of each kind, by its index."""
    roles = settings.roles
    sizes = settings.memory_tokens
    kinds = []
    for index in range(max(len(roles), len(sizes))):
        role = roles[index] if index < len(roles) else DEFAULT_KIND.role
        memory_tokens = sizes[index] if index < len(sizes) else 0.0
        kinds.append(EndpointKind(role, memory_tokens if memory_tokens > 0 else DEFAULT_KIND.memory_tokens))
    return kinds
