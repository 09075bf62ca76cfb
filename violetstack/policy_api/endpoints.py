"""The endpoint list."""

from __future__ import annotations

from enum import Enum

import msgspec


class EndpointState(Enum):
    """State of a host in the endpoint list."""

    HEALTHY = "healthy"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateScope(Enum):
    """What an endpoint update contains.

    DELTA: the entries that changed. SNAPSHOT: the complete list. CACHED: a complete list that this process
    stored earlier or inherited. FAILED: nothing; discovery could not be reached.
    """

    DELTA = "delta"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


class Endpoint(msgspec.Struct, frozen=True):
    """A host in the endpoint list.

    Attributes:
        server: Id of the host.
        cell: Number of its cell, a group of hosts that share deduplication records and a fast network.
        weight: Relative capacity.
        zone: Index of its zone.
        state: Its state in the list.
        kind: Index of its kind, which determines its role.
        started_ms: When it started; None if that was long ago.
        is_zone_known: Whether the list tells its zone, and the settings name it.
        is_cell_known: Whether the list tells its cell; the operator's file tells neither of its hosts.
    """

    server: str
    cell: int
    weight: float
    zone: int
    state: EndpointState
    kind: int
    started_ms: float | None
    is_zone_known: bool = True
    is_cell_known: bool = True


class EndpointUpdate(msgspec.Struct, frozen=True):
    """The endpoint list or a change of it; discovery numbers the versions."""

    scope: UpdateScope
    endpoints: tuple[Endpoint, ...]
    version: int
