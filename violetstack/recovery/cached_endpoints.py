"""Merges endpoint lists that were received earlier, and assesses how reliable each cached endpoint is.

A cached endpoint may have restarted since its list was received, and a restarted endpoint is warming up. Once
the list is older than the warm-up time, the start time of the endpoint is unknown and assumed to be now. All
dispatchers together then send the endpoint no more requests than one that is warming up, and its share grows
with time. The first list from service discovery replaces this assumption.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from violetstack.protocol.discovery import ListedEndpoint

MAX_CLOCK_SKEW_MS = 2_000.0  # the clock of a machine is set back by less than this during a restart


class CacheStatus(Enum):
    """The reliability of a cached endpoint; the values appear in the log."""

    FRESH = "fresh"  # listed so recently that an endpoint restarted since would still be warming up
    STALE = "stale"  # may have restarted since it was listed: used as if it had just started
    REJECTED = "rejected"  # not used


class EndpointSource(NamedTuple):
    """A source of cached endpoints: an endpoint list that was received earlier.

    Attributes:
        name: The name of the source, for the log.
        received_at: When the list was received from service discovery, in Unix milliseconds; None if unknown.
        version: The version of the list.
        endpoints: The endpoints in the list.
    """

    name: str
    received_at: float | None
    version: int
    endpoints: tuple[ListedEndpoint, ...]


class CachedEndpoint(NamedTuple):
    """An endpoint, its reliability, and the reason for that as a text for the log."""

    listed: ListedEndpoint
    status: CacheStatus
    reason: str


def merge_sources(
    sources: Iterable[EndpointSource], now: float, *, warm_up_ms: float, max_age_ms: float
) -> list[CachedEndpoint]:
    """Merges lists into one entry for each endpoint, taken from the most recent source that lists it.

    Args:
        sources: The lists, in any order.
        now: The current time, in Unix milliseconds.
        warm_up_ms: How long an endpoint warms up after its start.
        max_age_ms: The age beyond which a list is no longer used.

    Returns:
        All endpoints of all sources; those that must not be used have the status `REJECTED`.
    """
    newest_first = sorted(
        sources, key=lambda s: s.received_at if s.received_at is not None else float("-inf"), reverse=True
    )
    merged: dict[str, CachedEndpoint] = {}
    newer_list_exists = False
    for source in newest_first:
        for listed in source.endpoints:
            if listed.id in merged:
                continue
            cached = _assess(listed, source, now, warm_up_ms, max_age_ms)
            if newer_list_exists and cached.status is not CacheStatus.REJECTED and listed.state == "active":
                reason = f"{source.name}: not in a newer list"
                cached = CachedEndpoint(cached.listed, CacheStatus.REJECTED, reason)
            merged[listed.id] = cached
        newer_list_exists = newer_list_exists or bool(source.endpoints)
    return _reject_address_conflicts(list(merged.values()), now)


def _assess(
    listed: ListedEndpoint, source: EndpointSource, now: float, warm_up_ms: float, max_age_ms: float
) -> CachedEndpoint:
    started_now = msgspec.structs.replace(listed, started_ms=now)
    if source.received_at is None:
        return CachedEndpoint(started_now, CacheStatus.STALE, f"{source.name}: of unknown age")
    if source.received_at > now + MAX_CLOCK_SKEW_MS:
        # The clock was set back, so the age of the list is unknown.
        return CachedEndpoint(started_now, CacheStatus.STALE, f"{source.name}: dated in the future")
    age_ms = now - source.received_at
    reason = f"{source.name}: {age_ms / 1000.0:.0f} s old"
    if age_ms > max_age_ms:
        return CachedEndpoint(listed, CacheStatus.REJECTED, reason)
    if age_ms > warm_up_ms:
        return CachedEndpoint(started_now, CacheStatus.STALE, reason)
    return CachedEndpoint(listed, CacheStatus.FRESH, source.name)


def _reject_address_conflicts(cached_endpoints: list[CachedEndpoint], now: float) -> list[CachedEndpoint]:
    """Rejects all but one of the endpoints that have the same address: the most reliable, latest started one.

    Otherwise a request for one endpoint would reach another one.
    """
    best_first = sorted(
        cached_endpoints,
        key=lambda entry: (
            entry.status is CacheStatus.REJECTED,
            entry.status is CacheStatus.STALE,
            -min(entry.listed.started_ms, now),
        ),
    )
    id_by_address: dict[str, str] = {}
    resolved: list[CachedEndpoint] = []
    for cached in best_first:
        address = cached.listed.addr
        if cached.status is CacheStatus.REJECTED or not address:
            resolved.append(cached)
        elif address in id_by_address:
            reason = f"{address} belongs to {id_by_address[address]} now"
            resolved.append(CachedEndpoint(cached.listed, CacheStatus.REJECTED, reason))
        else:
            id_by_address[address] = cached.listed.id
            resolved.append(cached)
    return resolved
