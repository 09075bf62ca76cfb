"""Keeps the endpoint list: recovers it at startup, watches discovery, and updates the core and the pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
from msgspec.structs import replace

from violetstack.config import Config, parse_address
from violetstack.core.backoff import Backoff
from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.background_task import start_background_task
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.pause_detector import PauseDetector
from violetstack.net.startup_recovery import StartupRecovery
from violetstack.net.upstream.connection_pool import UpstreamHost
from violetstack.net.upstream.driver import UpstreamDriver
from violetstack.net.watch import Watch
from violetstack.policy_api import EndpointState, EndpointUpdate, UpdateScope
from violetstack.protocol.discovery import (
    STATES,
    EndpointListDecoder,
    EndpointListMessage,
    ListedEndpoint,
    WatchEvent,
)
from violetstack.recovery.start_times import StartTimes

if TYPE_CHECKING:
    from violetstack.admin.cordons import Cordons
    from violetstack.handover.record import HandoverRecord
    from violetstack.net.state_writer import StateWriter

# How long a process that takes over from a predecessor waits for discovery's list.
SUCCESSOR_LIST_TIMEOUT_S = 1.5
# How long any other process waits for the discovery agent on this machine, which responds at once if
# discovery is up.
AGENT_LIST_TIMEOUT_S = 0.3
MAX_ENDPOINTS_LOGGED = 50


class EndpointService:
    """Keeps the endpoint list as received from discovery; every update goes through `publish`.

    Attributes:
        listed_endpoints: The entries of the list by host id.
        watch: The watch of the endpoint list; None without discovery and before `start`.
    """

    def __init__(
        self,
        config: Config,
        core: Dispatcher,
        upstream_driver: UpstreamDriver,
        *,
        recovery: StartupRecovery,
        state_writer: StateWriter | None,
        cordons: Cordons | None,
        on_list_changed: Callable[[], None],
    ) -> None:
        """Creates the service; nothing is published before `start`.

        `on_list_changed` is called for each list or change from discovery and for the list known at startup.
        """
        self.listed_endpoints: dict[str, ListedEndpoint] = {}
        self.watch: Watch | None = None
        self._config = config
        self._core = core
        self._upstream_driver = upstream_driver
        self._recovery = recovery
        self._state_writer = state_writer
        self._cordons = cordons
        self._on_list_changed = on_list_changed
        self._start_times = StartTimes()
        self._decoder = EndpointListDecoder(config.settings_message, self._find_listed)
        self._nursery: trio.Nursery | None = None

    @property
    def version(self) -> int:
        """The version of the known list; 0 if no version is known."""
        return self.watch.version or 0 if self.watch is not None else 0

    def publish(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Passes an update to the connection pool and the core."""
        self._upstream_driver.pool.update(update, addresses)
        self._core.update_endpoints(now_ms(), update)

    # --- startup ---

    async def start(
        self, nursery: trio.Nursery, pause_detector: PauseDetector, predecessor: HandoverRecord | None
    ) -> None:
        """Publishes the endpoints that are known at startup, and starts the watch."""
        self._nursery = nursery
        self._add_openai_hosts()
        known = self._known_list(predecessor)
        known = await self._recovery.load_endpoints(known)
        self._handle_watch_event(self._decoder.to_event(known, UpdateScope.CACHED))
        if self._state_writer is not None:
            start_background_task(
                nursery,
                self._state_writer.endpoint_cache.verify,
                self.remove_unreachable,
                lambda: self._recovery.list_received,
            )
        if self._config.discovery is None:
            return
        settings = self._config.settings
        self.watch = Watch(
            self._config.discovery,
            self._decoder,
            self._known_version(),
            Backoff(settings.dispatcher_count, settings.seed, agent=not settings.watch_required),
            on_event=self._handle_watch_event,
            on_unchanged=self._handle_unchanged_list,
        )
        pause_detector.add_source(self.watch)
        # A failed watch has lost its connections, so the restarted one requests the complete list.
        start_background_task(nursery, self.watch.run, before_restart=self.watch.request_list)

    def _add_openai_hosts(self) -> None:
        operator = self._config.operator
        for host in operator.hosts if operator is not None else ():
            self._upstream_driver.pool.hosts[host.id] = UpstreamHost(
                parse_address(host.address), [], openai_api=True, api_key=host.key
            )
            self._core.stateless_hosts.add(host.id)

    def _known_list(self, predecessor: HandoverRecord | None) -> EndpointListMessage:
        """Returns the predecessor's list, which is the more recent, or else the list in the configuration."""
        if self._config.inherited_listener is None or predecessor is None:
            return self._config.node.known
        return EndpointListMessage(predecessor.list_version, True, list(predecessor.endpoints))

    def _known_version(self) -> int | None:
        """Returns the version from which the watch requests changes; None to request the complete list first.

        A predecessor's version may come from another discovery service, and the stored state merges several
        lists: changes to one list cannot be applied to either.
        """
        if self._config.inherited_listener is not None or self._state_writer is not None:
            return None
        return self._config.node.known.version

    async def wait_for_first_list(self) -> None:
        """Waits for the first response of discovery if the list known at startup may be stale.

        A new process must not route requests by an older list than the one that the agent on this machine
        has, and a successor not by an older list than the one that its predecessor had received. The wait is
        limited to `AGENT_LIST_TIMEOUT_S` or `SUCCESSOR_LIST_TIMEOUT_S`.
        """
        inherited = self._config.inherited_listener is not None
        if self.watch is None or (self._config.settings.watch_required and not inherited):
            return
        with trio.move_on_after(SUCCESSOR_LIST_TIMEOUT_S if inherited else AGENT_LIST_TIMEOUT_S):
            await self.watch.responded.wait()
        if not self.watch.responded.is_set():
            log("endpoint_list_missing", hosts=len(self.listed_endpoints))

    # --- updates ---

    def remove_unreachable(self, server: ListedEndpoint) -> None:
        """Removes a recovered endpoint that did not respond, until discovery lists it again."""
        endpoint = self._core.endpoints.get(server.id)
        if endpoint is not None and self.listed_endpoints.pop(server.id, None) is not None:
            gone = replace(endpoint, state=EndpointState.REMOVED)
            self.publish(EndpointUpdate(UpdateScope.DELTA, (gone,), 0), {})

    def _handle_watch_event(self, event: WatchEvent) -> None:
        if self._state_writer is not None and event.update.scope is UpdateScope.SNAPSHOT:
            event = self._retain_lost_hosts(event, self._state_writer)
        self._store_endpoints(event)
        update = self._start_times.translate(now_ms(), event.update)
        if update.scope is not UpdateScope.DELTA:
            # A complete list would remove the hosts of the operator's file, which discovery does not list.
            update = replace(update, endpoints=(*update.endpoints, *self._config.openai_endpoints))
        if self._cordons is not None:
            update = self._cordons.apply(update)
        self.publish(update, event.addresses)
        self._on_list_changed()
        if update.scope is not UpdateScope.CACHED:
            complete = update.scope is UpdateScope.SNAPSHOT
            self._recovery.list_changed(
                event.messages, update.version, complete=complete, listed=len(self.listed_endpoints)
            )
        log(
            "endpoint_list_updated",
            version=update.version,
            scope=update.scope.value,
            entries={endpoint.server: endpoint.state.value for endpoint in update.endpoints},
            skipped=event.skipped,
        )

    def _find_listed(self, server: str) -> ListedEndpoint | None:
        return self.listed_endpoints.get(server)

    def _store_endpoints(self, event: WatchEvent) -> None:
        if event.update.scope is not UpdateScope.DELTA:
            self.listed_endpoints = {}
        for endpoint in event.messages:
            self.listed_endpoints[endpoint.id] = endpoint
            if STATES.get(endpoint.state) is EndpointState.REMOVED:
                del self.listed_endpoints[endpoint.id]

    def _retain_lost_hosts(self, event: WatchEvent, state_writer: StateWriter) -> WatchEvent:
        """Adds the lost hosts to a list that lacks most known hosts, and schedules a new request for it."""
        loss = state_writer.panic_threshold.check(now_ms(), self.listed_endpoints, event.messages)
        if loss is None:
            return event
        log(
            "endpoint_list_loss_suspected",
            version=event.update.version,
            retained=[endpoint.id for endpoint in loss.endpoints][:MAX_ENDPOINTS_LOGGED],
        )
        if self._nursery is not None:
            self._nursery.start_soon(self._request_list_at, loss.until)
        merged = EndpointListMessage(event.update.version, True, [*event.messages, *loss.endpoints])
        return self._decoder.to_event(merged, UpdateScope.SNAPSHOT)

    async def _request_list_at(self, at_ms: float) -> None:
        await trio.sleep(max(0.0, at_ms - now_ms()) / 1000.0)
        if self.watch is not None:
            self.watch.request_list()

    def _handle_unchanged_list(self) -> None:
        """Reports that discovery has confirmed the list that was known at startup."""
        self._recovery.list_changed((), self.version, complete=False, listed=len(self.listed_endpoints))
