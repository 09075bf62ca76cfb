"""All endpoints of the list, and which of them may prefill or decode."""

from __future__ import annotations

import random

from msgspec.structs import replace

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, Role, Settings, UpdateScope
from violetstack.tracking.affinity import PrefillAffinity
from violetstack.tracking.endpoint import EndpointKind, TrackedEndpoint

DEFAULT_KIND = EndpointKind(Role.MIXED, memory_tokens=100_000.0)  # what the settings do not tell
FULL_PENALTY = 1.0  # all the freeness of an idle endpoint


class EndpointSet:
    """The endpoint list with this dispatcher's records of each. A mixed host is in both pools."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Start without endpoints; `rng` staggers the dispatchers' slow start of each."""
        self.by_name: dict[str, TrackedEndpoint] = {}
        self.prefill_hosts: list[TrackedEndpoint] = []
        self.decode_hosts: list[TrackedEndpoint] = []
        self.affinity = PrefillAffinity()
        self._kinds = _kinds(settings)
        self._rng = rng

    def pool(self, *, is_prefill: bool) -> list[TrackedEndpoint]:
        """The usable hosts of one stage."""
        return self.prefill_hosts if is_prefill else self.decode_hosts

    def apply(self, update: EndpointUpdate, now: float) -> list[TrackedEndpoint]:
        """Take a change of the list, and return the endpoints that restarted under their old ids.

        Removed endpoints stay until `discard_removed`.
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
        """Forget removed endpoints, each once its last attempt has ended: hosts get new ids all day."""
        removed = [endpoint for endpoint in self.by_name.values() if endpoint.removed]
        for endpoint in removed:
            if not endpoint.in_flight:
                del self.by_name[endpoint.name]

    def unavailable(self, now: float) -> int:
        """How many listed endpoints are not chosen now: draining, or without freeness for their failures."""
        return sum(
            1
            for endpoint in self.by_name.values()
            if not endpoint.removed
            and (not endpoint.usable or endpoint.statistics.penalty.value_at(now) >= FULL_PENALTY)
        )

    def _apply_entry(self, entry: Endpoint, now: float) -> bool:
        """Take one entry; has its endpoint restarted?"""
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
    """What the settings say of each kind, by its number."""
    roles = settings.roles
    sizes = settings.memory_tokens
    kinds = []
    for index in range(max(len(roles), len(sizes))):
        role = roles[index] if index < len(roles) else DEFAULT_KIND.role
        told_size = sizes[index] if index < len(sizes) else 0.0
        kinds.append(EndpointKind(role, told_size if told_size > 0 else DEFAULT_KIND.memory_tokens))
    return kinds
