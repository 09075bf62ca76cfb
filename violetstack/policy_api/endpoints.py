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
    """What an endpoint update covers.

    A DELTA lists what changed, a SNAPSHOT the whole list. CACHED is a whole list that this process remembered
    or inherited, and FAILED says that discovery could not be reached.
    """

    DELTA = "delta"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


class Endpoint(msgspec.Struct, frozen=True):
    """A host in the endpoint list.

    Attributes:
        server: Id of the host.
        cell: Number of the group of hosts that share a deduplication record and a fast network.
        weight: Relative capacity.
        zone: Index of its zone.
        state: Its state in the list.
        kind: Index of its kind, by which it has a role.
        started_ms: When it started; None if that was long ago.
    """

    server: str
    cell: int
    weight: float
    zone: int
    state: EndpointState
    kind: int
    started_ms: float | None


class EndpointUpdate(msgspec.Struct, frozen=True):
    """The endpoint list, or a change of it, at a version of discovery's numbering."""

    scope: UpdateScope
    endpoints: tuple[Endpoint, ...]
    version: int
