"""A panic threshold for endpoint lists, modelled on Envoy's panic threshold for health checks.

If a complete list lacks too large a share of the active endpoints, service discovery has more likely lost its
state than the endpoints have gone. The missing endpoints are then retained for a limited time; a list that
still lacks them after that time is accepted. Endpoints that were announced as leaving or left are never
retained. The threshold is off unless the operator's file sets a share: on the platform, an endpoint that is
not listed is gone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from violetstack.protocol.discovery import ListedEndpoint


class RetainedEndpoints(NamedTuple):
    """Endpoints that remain in use although the list lacks them.

    Attributes:
        endpoints: The missing endpoints, with the start time set to now.
        until: When a list without them will be accepted, in Unix milliseconds.
    """

    endpoints: tuple[ListedEndpoint, ...]
    until: float


class PanicThreshold:
    """Decides whether a complete list is accepted as it is."""

    def __init__(self, missing_share: float, retention_ms: float) -> None:
        """Creates a threshold that has not been reached.

        Args:
            missing_share: The share of missing active endpoints from which they are retained; infinity turns
                the threshold off.
            retention_ms: How long missing endpoints are retained.
        """
        self._missing_share = missing_share
        self._retention_ms = retention_ms
        self._retained_until: float | None = None

    def check(
        self, now: float, current: Mapping[str, ListedEndpoint], received: Iterable[ListedEndpoint]
    ) -> RetainedEndpoints | None:
        """Checks a complete list against the endpoints in use.

        Args:
            now: The current time, in Unix milliseconds.
            current: The endpoints in use, by id.
            received: The endpoints of the list.

        Returns:
            The endpoints to retain, or None if the list is accepted as it is.
        """
        listed = {endpoint.id for endpoint in received}
        active = [endpoint for endpoint in current.values() if endpoint.state == "active"]
        missing = [endpoint for endpoint in active if endpoint.id not in listed]
        if not missing or len(missing) < self._missing_share * len(active):
            self._retained_until = None
            return None
        if self._retained_until is None:
            self._retained_until = now + self._retention_ms
        if now >= self._retained_until:
            self._retained_until = None
            return None
        endpoints = (msgspec.structs.replace(endpoint, started_ms=now) for endpoint in missing)
        return RetainedEndpoints(tuple(endpoints), self._retained_until)
