"""Cordons: operators take endpoints out of rotation; the cordons are an overlay on the endpoint list."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from msgspec.structs import replace

from violetstack.admin.errors import TooManyCordonsError, UnknownEndpointError
from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope

MAX_CORDONS = 1_000  # includes ended cordons, which are evicted first; limits the size of the handover record


class Cordon(msgspec.Struct, frozen=True):
    """The latest change of an endpoint's cordon; stored in the handover record under the short names.

    Attributes:
        active: Whether the endpoint is cordoned; false once the cordon was ended.
        changed_ms: Time of the change, in Unix milliseconds.
        since_ms: Time at which the endpoint was cordoned, in Unix milliseconds.
    """

    active: bool = msgspec.field(name="out")
    changed_ms: float = msgspec.field(name="at")
    since_ms: float = msgspec.field(name="since")


class Cordons:
    """The cordons of a dispatcher, laid over its endpoint list.

    The latest change of an endpoint's cordon applies, whichever of the dispatcher's processes received it. A
    cordoned endpoint is published as draining, whatever its state in the list. If it leaves the list, it is
    published as removed, and it is cordoned again if its id returns.

    The list may report late that an endpoint was restarted while cordoned. Until the list has a start time
    later than the start of the cordon, the end of the cordon is published as the start time: the endpoint
    gets a slow start, and earlier failures no longer count against it.

    Attributes:
        records: The latest change, by endpoint id.
    """

    def __init__(self) -> None:
        """Creates an instance without cordons."""
        self.records: dict[str, Cordon] = {}
        self._listed: dict[str, Endpoint] = {}

    def apply(self, update: EndpointUpdate) -> EndpointUpdate:
        """Records an update of the endpoint list and returns it with the cordons applied."""
        if update.scope is not UpdateScope.DELTA:
            self._listed = {}
        for endpoint in update.endpoints:
            self._listed[endpoint.server] = endpoint
            if endpoint.state is EndpointState.REMOVED:
                del self._listed[endpoint.server]
        if not self.records:
            return update
        return replace(update, endpoints=tuple(self._overlay(endpoint) for endpoint in update.endpoints))

    def cordon(self, now: float, endpoint_id: str) -> EndpointUpdate:
        """Cordons an endpoint and returns the update to publish; a repeated call changes no record.

        Raises:
            UnknownEndpointError: The endpoint is neither listed nor cordoned.
            TooManyCordonsError: `MAX_CORDONS` endpoints are already cordoned.
        """
        cordon = self.records.get(endpoint_id)
        if cordon is not None and cordon.active:
            return self._update(endpoint_id)
        if endpoint_id not in self._listed:
            raise UnknownEndpointError(endpoint_id)
        if len(self.records) >= MAX_CORDONS:
            self._evict_ended()
        # Later than the end of the previous cordon, even if that was set by a process whose clock is ahead.
        since_ms = now if cordon is None else max(now, cordon.changed_ms + 1.0)
        self.records[endpoint_id] = Cordon(True, since_ms, since_ms)
        return self._update(endpoint_id)

    def uncordon(self, now: float, endpoint_id: str) -> EndpointUpdate:
        """Ends a cordon and returns the update to publish; without a cordon it changes no record.

        Raises:
            UnknownEndpointError: The endpoint is neither listed nor cordoned.
        """
        cordon = self.records.get(endpoint_id)
        if cordon is not None and cordon.active:
            changed_ms = max(now, cordon.changed_ms + 1.0)
            self.records[endpoint_id] = Cordon(False, changed_ms, cordon.since_ms)
        elif endpoint_id not in self._listed:
            raise UnknownEndpointError(endpoint_id)
        return self._update(endpoint_id)

    def merge(self, records: Mapping[str, Cordon]) -> EndpointUpdate | None:
        """Merges another process's records; returns the update to publish, None if no record is newer."""
        newer = {
            endpoint_id: cordon
            for endpoint_id, cordon in records.items()
            if endpoint_id not in self.records or cordon.changed_ms > self.records[endpoint_id].changed_ms
        }
        self.records.update(newer)
        return self._update(*newer) if newer else None

    @property
    def active(self) -> list[str]:
        """The ids of the cordoned endpoints, sorted."""
        return sorted(endpoint_id for endpoint_id, cordon in self.records.items() if cordon.active)

    def _evict_ended(self) -> None:
        """Evicts the record that ended first, of an unlisted endpoint if there is one.

        Raises:
            TooManyCordonsError: No cordon has ended.
        """
        ended = [endpoint_id for endpoint_id, cordon in self.records.items() if not cordon.active]
        unlisted = [endpoint_id for endpoint_id in ended if endpoint_id not in self._listed]
        candidates = unlisted or ended
        if not candidates:
            raise TooManyCordonsError(MAX_CORDONS)
        del self.records[min(candidates, key=lambda endpoint_id: self.records[endpoint_id].changed_ms)]

    def _update(self, *endpoint_ids: str) -> EndpointUpdate:
        listed = [self._listed[endpoint_id] for endpoint_id in endpoint_ids if endpoint_id in self._listed]
        return EndpointUpdate(UpdateScope.DELTA, tuple(self._overlay(endpoint) for endpoint in listed), 0)

    def _overlay(self, endpoint: Endpoint) -> Endpoint:
        cordon = self.records.get(endpoint.server)
        if cordon is None or endpoint.state is EndpointState.REMOVED:
            return endpoint
        if cordon.active:
            return replace(endpoint, state=EndpointState.DRAINING)
        if (endpoint.started_ms or 0.0) < cordon.since_ms:
            return replace(endpoint, started_ms=cordon.changed_ms)
        return endpoint
