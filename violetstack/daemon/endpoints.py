"""The endpoint list: remembered hosts, discovery's watch, and updates to the core and the pool."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
from msgspec.structs import replace

from violetstack.config import Config, address
from violetstack.core.backoff import Backoff
from violetstack.core.dispatcher import Dispatcher
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.pause_detector import PauseDetector
from violetstack.net.startup_recovery import StartupRecovery
from violetstack.net.upstream.connection_pool import UpstreamHost
from violetstack.net.upstream.driver import UpstreamDriver
from violetstack.net.watch import Watch
from violetstack.policy_api import EndpointState, EndpointUpdate, UpdateScope
from violetstack.protocol.discovery import ListReader, Targets, WServer, WTargets

if TYPE_CHECKING:
    from violetstack.admin.cordons import Cordons
    from violetstack.handover.record import HandoverRecord
    from violetstack.net.state_writer import StateWriter

FIRST_LIST_S = 1.5  # a new version that takes over waits for discovery's list for so long
AGENT_LIST_S = 0.3  # and any other for an agent on this machine, which answers at once if discovery is up
MAX_ENDPOINTS_LOGGED = 50


class EndpointService:
    """Owns the list as discovery has it (`rows`); every update goes through `publish`."""

    def __init__(
        self,
        config: Config,
        core: Dispatcher,
        hosts: UpstreamDriver,
        *,
        recovery: StartupRecovery,
        state_writer: StateWriter | None,
        cordons: Cordons | None,
        changed: Callable[[], None],
    ) -> None:
        self._config = config
        self._core = core
        self._hosts = hosts
        self._recovery = recovery
        self._state_writer = state_writer
        self._cordons = cordons
        self._changed = changed
        self._reader = ListReader(config.settings_message)
        self._nursery: trio.Nursery | None = None
        self.rows: dict[str, WServer] = {}
        self.watch: Watch | None = None

    @property
    def version(self) -> int:
        """Of the list that is known; 0 where there is none."""
        return self.watch.version or 0 if self.watch is not None else 0

    def publish(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Hands an update to the connection pool and the core."""
        self._hosts.pool.update(update, addresses)
        self._core.update_endpoints(now_ms(), update)

    # --- startup ---

    async def start(
        self, nursery: trio.Nursery, pause_detector: PauseDetector, predecessor: HandoverRecord | None
    ) -> None:
        """Publishes the hosts that are remembered and starts the watch."""
        self._nursery = nursery
        config = self._config
        for host in config.operator.hosts if config.operator is not None else ():
            self._hosts.pool.hosts[host.id] = UpstreamHost(
                address(host.address), [], openai_api=True, api_key=host.key
            )
            self._core.stateless_hosts.add(host.id)
        known = config.told.known
        version: int | None = known.version
        if config.inherited is not None:
            # What a predecessor heard a moment ago is newer than what the configuration remembers; versions
            # may be those of another discovery, so the whole list is asked for first.
            version = None
            if predecessor is not None:
                known = WTargets(predecessor.list_version, True, list(predecessor.endpoints))
        if self._state_writer is not None:
            version = None  # what is remembered is of several lists: changes of one would not fit
        known = await self._recovery.load_endpoints(known)
        self._told(self._reader.targets(known, UpdateScope.CACHED))
        if self._state_writer is not None:
            nursery.start_soon(
                self._state_writer.endpoint_cache.verify,
                self.remove_unreachable,
                lambda: self._recovery.list_received,
            )
        if config.discovery is not None:
            settings = config.settings
            again = Backoff(settings.dispatcher_count, settings.seed, agent=not settings.watch_required)
            self.watch = Watch(config.discovery, self._reader, version, self._told, again)
            self.watch.confirmed = self._confirmed
            pause_detector.add_source(self.watch)
            nursery.start_soon(self.watch.run)

    async def wait_for_first_list(self) -> None:
        """Guards against sends on an old list: what an agent has counts as told from the first moment, and
        what a predecessor was told counts for its successor.
        """
        inherited = self._config.inherited is not None
        if self.watch is None or (self._config.settings.watch_required and not inherited):
            return
        with trio.move_on_after(FIRST_LIST_S if inherited else AGENT_LIST_S):
            await self.watch.heard.wait()
        if not self.watch.heard.is_set():
            log("endpoint_list_missing", hosts=len(self.rows))

    # --- updates ---

    def remove_unreachable(self, server: WServer) -> None:
        """A remembered host that is not there; discovery may still tell of it."""
        entry = self._core.endpoints.get(server.id)
        if entry is not None and self.rows.pop(server.id, None) is not None:
            gone = replace(entry, state=EndpointState.REMOVED)
            self.publish(EndpointUpdate(UpdateScope.DELTA, (gone,), 0), {})

    def _told(self, targets: Targets) -> None:
        if self._state_writer is not None and targets.news.scope is UpdateScope.SNAPSHOT:
            targets = self._with_retained(targets, self._state_writer)
        news = targets.news
        if news.scope is not UpdateScope.DELTA:
            self.rows = {}
        for row in targets.rows:
            self.rows[row.id] = row
            if row.state == "left":
                del self.rows[row.id]
        if news.scope is not UpdateScope.DELTA:
            # Guards against losing the chat file's own hosts, which discovery does not know.
            news = replace(news, endpoints=(*news.endpoints, *self._config.plain))
        if self._cordons is not None:
            news = self._cordons.apply(news)
        self.publish(news, targets.addresses)
        self._changed()
        if news.scope is not UpdateScope.CACHED:
            complete = news.scope is UpdateScope.SNAPSHOT
            self._recovery.list_changed(targets.rows, news.version, complete=complete, listed=len(self.rows))
        entries = {entry.server: entry.state.value for entry in news.endpoints}
        log(
            "endpoint_list_updated",
            version=news.version,
            scope=news.scope.value,
            entries=entries,
            skipped=targets.skipped,
        )

    def _with_retained(self, targets: Targets, state_writer: StateWriter) -> Targets:
        """A list that lost most hosts counts with them for a while; then it is asked for again."""
        found = state_writer.panic_threshold.check(now_ms(), self.rows, targets.rows)
        if found is None:
            return targets
        log(
            "endpoint_list_loss_suspected",
            version=targets.news.version,
            retained=[row.id for row in found.servers][:MAX_ENDPOINTS_LOGGED],
        )
        if self._nursery is not None:
            self._nursery.start_soon(self._ask_again, found.until)
        told = WTargets(targets.news.version, True, [*targets.rows, *found.servers])
        return self._reader.targets(told, UpdateScope.SNAPSHOT)

    async def _ask_again(self, until: float) -> None:
        await trio.sleep(max(0.0, until - now_ms()) / 1000.0)
        if self.watch is not None:
            self.watch.ask_again()

    def _confirmed(self) -> None:
        self._recovery.list_changed((), self.version, complete=False, listed=len(self.rows))
