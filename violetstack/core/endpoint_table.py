"""The core's copy of the endpoint list."""

from __future__ import annotations

from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, Role, Settings, UpdateScope


class EndpointTable:
    """The listed endpoints by host id, and which of them are draining.

    Attributes:
        endpoints: Endpoints by host id; updates change this dictionary in place.
        draining: Ids of listed hosts that are draining.
        stateless_hosts: Ids of hosts that hold no state and take no reservations or releases.
    """

    def __init__(self, settings: Settings) -> None:
        """Creates an empty table."""
        self._roles = settings.roles
        self.endpoints: dict[str, Endpoint] = {}
        self.draining: set[str] = set()
        self.stateless_hosts: set[str] = set()

    def update(self, update: EndpointUpdate) -> None:
        """Applies an update.

        Nothing is kept of a removed host: new hosts have new ids, so the table would grow without limit.
        """
        if update.scope is not UpdateScope.DELTA:
            self.endpoints.clear()
            self.draining.clear()
        for endpoint in update.endpoints:
            self.endpoints[endpoint.server] = endpoint
            if endpoint.state is EndpointState.DRAINING:
                self.draining.add(endpoint.server)
            else:
                self.draining.discard(endpoint.server)
            if endpoint.state is EndpointState.REMOVED:
                del self.endpoints[endpoint.server]

    def accepts_requests(self, server: str) -> bool:
        """Returns whether the host is listed and not draining."""
        return server in self.endpoints and server not in self.draining

    def is_prefill_host(self, server: str) -> bool:
        """Returns whether the host is listed as a prefill host, which does not decode."""
        endpoint = self.endpoints.get(server)
        if endpoint is None or endpoint.kind >= len(self._roles):
            return False
        return self._roles[endpoint.kind] is Role.PREFILL
