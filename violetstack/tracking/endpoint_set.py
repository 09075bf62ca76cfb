"""The endpoints of the list, and which of them can prefill or decode."""

from __future__ import annotations

import random
from collections.abc import ValuesView

from msgspec.structs import replace

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, Role, Settings, UpdateScope
from violetstack.tracking.affinity import PrefillAffinity
from violetstack.tracking.endpoint import EndpointKind, TrackedEndpoint

DEFAULT_KIND = EndpointKind(Role.MIXED, memory_tokens=100_000.0)  # for kinds without settings
FULL_PENALTY = 1.0  # the freeness of an idle endpoint


class EndpointSet:
    """This dispatcher's records of all listed endpoints. A mixed host is in both pools.

    Applying a change costs time for the entries of the change, however many endpoints are listed: in a large
    fleet a change may come every millisecond.

    Attributes:
        by_name: All records, by endpoint id; includes removed endpoints that still have attempts.
        prefill_hosts: A view of the usable prefill hosts.
        decode_hosts: A view of the usable decode hosts.
        affinity: The ranking of the prefill hosts for each prompt.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Starts without endpoints; `rng` draws the jitter of each one's slow start."""
        self.by_name: dict[str, TrackedEndpoint] = {}
        self._prefill_hosts: dict[str, TrackedEndpoint] = {}
        self._decode_hosts: dict[str, TrackedEndpoint] = {}
        self._removed: dict[str, TrackedEndpoint] = {}
        self.prefill_hosts: ValuesView[TrackedEndpoint] = self._prefill_hosts.values()
        self.decode_hosts: ValuesView[TrackedEndpoint] = self._decode_hosts.values()
        self.affinity = PrefillAffinity(self.prefill_hosts)
        self._kinds = _kinds(settings)
        self._rng = rng

    def pool(self, *, is_prefill: bool) -> ValuesView[TrackedEndpoint]:
        """Returns a view of the usable hosts of one stage."""
        return self.prefill_hosts if is_prefill else self.decode_hosts

    def apply(self, update: EndpointUpdate, now: float) -> list[TrackedEndpoint]:
        """Applies an endpoint update; returns the endpoints in it that lost their work.

        These are the endpoints that are draining or removed, and those that restarted with an unchanged id.
        Removed endpoints are kept until `discard_removed` is called.
        """
        entries = update.endpoints
        if update.scope is not UpdateScope.DELTA:
            entries = (*entries, *self._unlisted_entries(update))
        return [endpoint for entry in entries if (endpoint := self._apply_entry(entry, now)) is not None]

    def discard_removed(self) -> None:
        """Deletes removed endpoints without attempts; new ids appear all day, so records would accumulate."""
        for name, endpoint in list(self._removed.items()):
            if not endpoint.in_flight:
                del self._removed[name]
                del self.by_name[name]

    def unavailable(self, now: float) -> int:
        """Returns how many listed endpoints are out of rotation: draining, or with a full penalty."""
        return sum(
            1
            for endpoint in self.by_name.values()
            if not endpoint.removed
            and (not endpoint.usable or endpoint.statistics.penalty.value_at(now) >= FULL_PENALTY)
        )

    def _unlisted_entries(self, update: EndpointUpdate) -> list[Endpoint]:
        """Returns an entry that removes each endpoint that a complete list no longer has."""
        listed = {entry.server for entry in update.endpoints}
        return [
            replace(endpoint.entry, state=EndpointState.REMOVED)
            for name, endpoint in self.by_name.items()
            if name not in listed
        ]

    def _apply_entry(self, entry: Endpoint, now: float) -> TrackedEndpoint | None:
        """Applies one entry; returns its endpoint if that is unusable or restarted with an unchanged id."""
        kind = self._kinds[entry.kind] if entry.kind < len(self._kinds) else DEFAULT_KIND
        endpoint = self.by_name.get(entry.server)
        restarted = False
        if endpoint is None:
            endpoint = TrackedEndpoint(entry, kind, self._rng.random(), now)
            self.by_name[entry.server] = endpoint
        else:
            restarted = entry.started_ms is not None and entry.started_ms != endpoint.entry.started_ms
            if restarted:
                endpoint.forget_learned(now)
            endpoint.set_entry(entry, kind)
        self._update_pools(endpoint)
        return endpoint if restarted or not endpoint.usable else None

    def _update_pools(self, endpoint: TrackedEndpoint) -> None:
        can_prefill = endpoint.usable and endpoint.role is not Role.DECODE
        can_decode = endpoint.usable and endpoint.role is not Role.PREFILL
        if _set_member(self._prefill_hosts, endpoint, is_member=can_prefill):
            self.affinity.hosts_changed()
        _set_member(self._decode_hosts, endpoint, is_member=can_decode)
        _set_member(self._removed, endpoint, is_member=endpoint.removed)


def _set_member(group: dict[str, TrackedEndpoint], endpoint: TrackedEndpoint, *, is_member: bool) -> bool:
    """Adds the endpoint to the group or removes it, and returns whether that changed the group."""
    if is_member == (endpoint.name in group):
        return False
    if is_member:
        group[endpoint.name] = endpoint
    else:
        del group[endpoint.name]
    return True


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
