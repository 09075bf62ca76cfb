"""The endpoints that a starting dispatcher uses until service discovery sends its list."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio

from violetstack.config import ConfigError, parse_address
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.protocol.discovery import EndpointListMessage, ListedEndpoint, is_valid_address
from violetstack.recovery.cached_endpoints import CachedEndpoint, CacheStatus, EndpointSource, merge_sources
from violetstack.state.snapshot import StateSnapshot

VERIFY_INTERVAL_S = 0.1  # between connection attempts, to avoid a burst
VERIFY_TIMEOUT_S = 0.5
MAX_REASONS_LOGGED = 10


class EndpointCache:
    """Selects usable cached endpoints, and checks those that may no longer exist."""

    def __init__(self, *, warm_up_ms: float, max_age_ms: float, rng: Random) -> None:
        """Creates an empty cache.

        Args:
            warm_up_ms: How long an endpoint warms up after its start.
            max_age_ms: Stored lists of at least this age are not used.
            rng: Spreads the connection attempts of several processes over time.
        """
        self._warm_up_ms = warm_up_ms
        self._max_age_ms = max_age_ms
        self._rng = rng
        self._stale: list[ListedEndpoint] = []

    def load(self, configured: EndpointListMessage, stored: StateSnapshot) -> EndpointListMessage:
        """Merges the configured endpoints, whose age is unknown, with the stored ones."""
        now = now_ms()
        sources = [EndpointSource("known", None, configured.version, tuple(configured.servers))]
        if stored.received_at:
            endpoints_on_disk = tuple(stored.endpoints.values())
            sources.append(EndpointSource("disk", stored.received_at, stored.version, endpoints_on_disk))
        endpoints = merge_sources(sources, now, warm_up_ms=self._warm_up_ms, max_age_ms=self._max_age_ms)
        self._log_loaded(endpoints, now - stored.received_at if stored.received_at else None)
        self._stale = [e.listed for e in endpoints if e.status is CacheStatus.STALE]
        usable = [e.listed for e in endpoints if e.status is not CacheStatus.REJECTED]
        return EndpointListMessage(configured.version, True, usable)

    async def verify(
        self, remove: Callable[[ListedEndpoint], None], list_received: Callable[[], bool]
    ) -> None:
        """Connects to each stale endpoint in turn and removes the unreachable ones.

        An endpoint with an invalid address counts as unreachable.

        Args:
            remove: Called with an unreachable endpoint.
            list_received: Whether service discovery has sent its list, which ends the checks.
        """
        reachable = 0
        for server in self._stale:
            await trio.sleep(VERIFY_INTERVAL_S * (0.5 + self._rng.random()))
            if list_received():
                break
            try:
                await _connect_once(server.addr)
                reachable += 1
            except (OSError, ConfigError, trio.TooSlowError) as error:
                log("recovered_endpoint_unreachable", server=server.id, error=repr(error))
                remove(server)
        if self._stale:
            log("recovered_endpoints_verified", reachable=reachable, stale=len(self._stale))

    def _log_loaded(self, endpoints: list[CachedEndpoint], age_ms: float | None) -> None:
        counts = {status.value: sum(1 for e in endpoints if e.status is status) for status in CacheStatus}
        reasons = [f"{e.listed.id}: {e.reason}" for e in endpoints if e.status is CacheStatus.REJECTED]
        age_s = None if age_ms is None else round(age_ms / 1000.0, 1)
        log("endpoints_recovered", age_s=age_s, reasons=reasons[:MAX_REASONS_LOGGED], **counts)


async def _connect_once(address: str) -> None:
    """Connects to an address, then closes the connection.

    Raises:
        ConfigError: The address is invalid.
        OSError: The connection was refused or failed.
        trio.TooSlowError: The connection was not established within VERIFY_TIMEOUT_S.
    """
    if not is_valid_address(address):
        raise ConfigError(f"{address!r} is not a valid host address")
    with trio.fail_after(VERIFY_TIMEOUT_S):
        stream = await trio.open_tcp_stream(*parse_address(address))
    await stream.aclose()
