"""A panic threshold for endpoint lists, after the one that Envoy applies to health checks.

If a complete list lacks too large a share of the endpoints that were active, it is more likely that service
discovery lost its state than that the endpoints are gone. The missing endpoints are then retained for a
while. A list that still lacks them after that time is accepted. Endpoints that are announced as leaving or
left are never retained. The threshold is off unless the operator's file sets a share: on the platform, an
endpoint that is not listed is gone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from violetstack.protocol.discovery import ListedEndpoint


class RetainedEndpoints(NamedTuple):
    """Endpoints that count although the list lacks them.

    Attributes:
        servers: The missing endpoints, as if they had just started.
        until: When a list without them is accepted, in Unix milliseconds.
    """

    servers: tuple[ListedEndpoint, ...]
    until: float


class PanicThreshold:
    """Decides whether a complete list is accepted as it is."""

    def __init__(self, missing_share: float, retention_ms: float) -> None:
        """Creates a threshold that has not been reached.

        Args:
            missing_share: The share of the active endpoints that has to be missing; infinity turns it off.
            retention_ms: For how long missing endpoints are retained.
        """
        self._missing_share = missing_share
        self._retention_ms = retention_ms
        self._retained_until: float | None = None

    def check(
        self, now: float, current: Mapping[str, ListedEndpoint], received: Iterable[ListedEndpoint]
    ) -> RetainedEndpoints | None:
        """Checks a complete list against the endpoints in use.

        Args:
            now: The current time.
            current: The endpoints in use, by id.
            received: The endpoints of the list.

        Returns:
            The endpoints to retain, or None if the list is accepted as it is.
        """
        listed = {server.id for server in received}
        active = [server for server in current.values() if server.state == "active"]
        missing = [server for server in active if server.id not in listed]
        if not missing or len(missing) < self._missing_share * len(active):
            self._retained_until = None
            return None
        if self._retained_until is None:
            self._retained_until = now + self._retention_ms
        if now >= self._retained_until:
            self._retained_until = None
            return None
        servers = (msgspec.structs.replace(server, started_ms=now) for server in missing)
        return RetainedEndpoints(tuple(servers), self._retained_until)
