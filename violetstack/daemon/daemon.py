"""One dispatcher: builds its parts in order, serves, takes new configurations and shuts down."""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from violetstack.config import Address, Config
from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.endpoints import EndpointService
from violetstack.daemon.event_loop import EventLoop, WakeSignal
from violetstack.daemon.fronts import FrontServers, listen_on
from violetstack.daemon.lifecycle import Lifecycle
from violetstack.daemon.limits import LimitAllocator
from violetstack.daemon.optional_services import (
    build_routing,
    start_lease_service,
    start_load_shedding,
    start_state_writer,
)
from violetstack.daemon.reload import read_config, until_restart
from violetstack.daemon.shutdown import GracefulShutdown
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.gossip import GossipReceiver, GossipTransport
from violetstack.net.pause_detector import PauseDetector
from violetstack.net.startup_recovery import StartupRecovery
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.net.upstream.driver import UpstreamDriver
from violetstack.policy.router import Router
from violetstack.policy_api import EndpointUpdate

if TYPE_CHECKING:
    from violetstack.admin.cordons import Cordons
    from violetstack.daemon.hot_restart import HotRestart
    from violetstack.handover.learned_state import LearnedState
    from violetstack.load_shedding.levels import LevelPlan
    from violetstack.net.handover import HandoverService
    from violetstack.net.lease_service import LeaseService
    from violetstack.net.load_shedding import LoadSheddingService
    from violetstack.net.state_writer import StateWriter
    from violetstack.net.watch import Watch
    from violetstack.routing.generations import Routing


class Serving(msgspec.Struct, frozen=True):
    """Where a started daemon listens."""

    platform: Address | None
    chat: Address | None
    challenge: Address | None
    admin: Address | None = None


class Daemon:
    """One dispatcher: `serve` until `stop`, then finish what was taken."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.lifecycle = Lifecycle()
        self.listeners: list[Listener] = []
        self.cordons: Cordons | None = None
        self.hot_restart: HotRestart | None = None
        self.routing: Routing | None = None
        self.load_shedding: LoadSheddingService | None = None
        self.state_writer: StateWriter | None = None
        self.leases: LeaseService | None = None

    async def serve(self, task_status: trio.TaskStatus[Serving] = trio.TASK_STATUS_IGNORED) -> None:
        """Raises ConfigError, in a group, for an address that can't be bound."""
        for text in self.config.warnings:
            log("config_warning", text=text)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            serving = await self._start()
            log(
                "started",
                name=self.config.node.name,
                platform=serving.platform,
                chat=serving.chat,
                admin=serving.admin,
            )
            gc.freeze()
            gc.enable()
            task_status.started(serving)
            await self.lifecycle.stop.wait()
            await self._stop()
            nursery.cancel_scope.cancel()

    def reload(self, read_again: Callable[[], Config]) -> None:
        """Takes what can change while serving; requests in flight go on. A bad file changes nothing."""
        new = read_config(read_again, self.config)
        if new is None:
            return
        config = new.config
        self.config.limits = config.limits
        self.config.routing_plan = config.routing_plan
        self._route()
        self._shed_load(config.load_shedding_plan)
        self.limits.apply()
        if self.fronts.chat is not None and new.chat is not None:
            self.fronts.chat.config = new.chat
        if self.fronts.certificate is not None:
            self.fronts.certificate.reload()
        if self.watch is not None and config.discovery is not None:
            self.watch.move(config.discovery)
        generation = self.routing.current.number if self.routing is not None else 0
        log(
            "config_reloaded",
            discovery=config.discovery,
            until_restart=until_restart(self.config, config),
            generation=generation,
        )

    # --- for the admin service ---

    @property
    def started(self) -> bool:
        """Is the endpoint list known?"""
        return self.lifecycle.started

    @property
    def taking(self) -> bool:
        """Are new requests taken?"""
        return self.lifecycle.accepting

    @property
    def stop(self) -> trio.Event:
        """Set to shut down."""
        return self.lifecycle.stop

    @property
    def handover(self) -> HandoverService | None:
        """The record that this process keeps for another of its dispatcher."""
        return self.hot_restart.handover if self.hot_restart is not None else None

    @property
    def watch(self) -> Watch | None:
        """Discovery's watch, where there is a discovery."""
        return self.endpoints.watch

    def news(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Hands an update of the endpoint list to the connection pool and the core."""
        self.endpoints.publish(update, addresses)

    # --- startup ---

    async def _start(self) -> Serving:
        pause_detector = self._build()
        loop = EventLoop(self.core, pause_detector, self.wake_signal)
        self._build_endpoints()
        predecessor = self.handover.load_predecessor() if self.handover is not None else None
        await self.endpoints.start(self.nursery, pause_detector, predecessor)
        admin = await self._start_admin_server()
        self._shed_load(self.config.load_shedding_plan)
        self.nursery.start_soon(loop.run)
        self.nursery.start_soon(self.hosts.pool.close_expired)
        await self.endpoints.wait_for_first_list()
        self.lifecycle.started = True
        self._join_tier(pause_detector)
        platform = chat = None
        if self.config.listen is not None:
            platform = await self.fronts.start_platform(self.config.listen)
        if self.config.chat is not None:
            chat = await self.fronts.start_chat(self.config.chat)
        if self.hot_restart is not None:
            await self.hot_restart.receive_streams(
                self.nursery, self.core, self.hosts, lambda: self.fronts.platform
            )
        self._recall()
        self.lifecycle.accepting = True
        if self.hot_restart is not None:
            self.hot_restart.write()
        return Serving(platform, chat, self.fronts.challenge_at, admin)

    def _build(self) -> PauseDetector:
        config = self.config
        settings = config.settings
        pool = ConnectionPool(settings.connect_timeout_ms, config.idle_close_ms)
        self.hosts = UpstreamDriver(self.nursery, pool, settings.load_report_fields)
        self.router = Router(settings)
        self.state_writer = start_state_writer(config, self.nursery, self._learned)
        self.recovery = StartupRecovery(self.nursery, self.state_writer, settings)
        pause_detector = self._watch_for_pauses()
        self.wake_signal = WakeSignal()
        self.core = Dispatcher(
            settings,
            self.router,
            self.hosts,
            config.drain_grace_ms,
            wake=self.wake_signal.set,
            retry_after=self.recovery.retry_after_ms,
            max_unread=pause_detector.max_unread_ms,
        )
        self.hosts.connect_core(self.core)
        self.limits = LimitAllocator(config, self.hosts, self.listeners, self._processes)
        self.fronts = FrontServers(config, self.core, self.nursery, self.listeners, self.limits.apply)
        self._route()
        return pause_detector

    def _watch_for_pauses(self) -> PauseDetector:
        """Nothing is decided or sent on what was known before the process was stopped."""
        pause_detector = PauseDetector(self.config.drain_grace_ms, self._paused)
        self.hosts.pool.wait_caught_up = pause_detector.wait_caught_up
        pause_detector.add_source(self.hosts)
        self.nursery.start_soon(pause_detector.run)
        return pause_detector

    def _paused(self, pause_ms: float) -> None:
        self.core.process_paused(pause_ms)

    def _build_endpoints(self) -> None:
        """With cordons and a hot restart only with an admin API."""
        config = self.config
        if config.admin_listen is not None:
            from violetstack.admin.cordons import Cordons

            self.cordons = Cordons()
        self.endpoints = EndpointService(
            config,
            self.core,
            self.hosts,
            recovery=self.recovery,
            state_writer=self.state_writer,
            cordons=self.cordons,
            changed=self._list_changed,
        )
        if self.cordons is None or config.shared_directory is None:
            return
        from violetstack.daemon.hot_restart import HotRestart

        self.hot_restart = HotRestart(
            config,
            config.shared_directory,
            lifecycle=self.lifecycle,
            cordons=self.cordons,
            endpoints=self.endpoints,
            learned=self._learned,
            on_siblings_changed=self.limits.apply,
        )
        self.nursery.start_soon(self.hot_restart.handover.run)

    async def _start_admin_server(self) -> Address | None:
        if self.config.admin_listen is None:
            return None
        from violetstack.net.admin_server import AdminServer
        from violetstack.net.admin_service import AdminService

        listener = (await listen_on(self.config.admin_listen, "mgmt"))[0]
        self.nursery.start_soon(AdminServer(AdminService(self)).run, listener)
        at = listener.socket.getsockname()
        return at[0], at[1]

    def _join_tier(self, pause_detector: PauseDetector) -> None:
        """Exchanges load with the other dispatchers, and holds leases where they are configured."""
        config = self.config
        if config.peer_listen is None:
            return
        transport = GossipTransport(
            config.peer_listen,
            config.peers,
            config.peers_all,
            reuse_address=config.inherited_listener is not None,
        )
        self.hosts.gossip = transport.broadcast
        pause_detector.add_source(transport)
        self.leases = start_lease_service(
            config,
            self.nursery,
            self.core,
            transport,
            pause_detector,
            is_eligible=lambda: self.taking and self.recovery.list_received and not self.stop.is_set(),
            is_suspect=self.router.outliers.suspects,
        )
        receiver = GossipReceiver(
            self.core,
            discard=lambda: pause_detector.catching_up,
            handle_lease=self.leases.receive if self.leases is not None else None,
        )
        self.nursery.start_soon(transport.run, receiver.receive)

    def _recall(self) -> None:
        """What the predecessor's module knew a moment ago, or the disk has of it."""
        found = self.recovery.stored_learned_state()
        if self.hot_restart is not None and self.config.inherited_listener is not None:
            record = self.hot_restart.predecessor()
            found = record.learned_state if record is not None else found
        if found is None:
            return
        from violetstack.handover.learned_state import restore_learned_state

        self.core.run(now_ms())  # the module is to know the list first
        servers = restore_learned_state(self.router.state, found)
        log("estimates_restored", servers=servers, age_ms=round(now_ms() - found.captured_at_ms))
        self.recovery.learned_state_restored()

    # --- what can change ---

    def _route(self) -> None:
        """The plan in force, as a generation of its own for requests from now on."""
        if self.routing is None:
            self.routing = build_routing(self.config, self.core)
        elif self.config.routing_plan is not None:
            self.routing.swap(now_ms(), self.config.routing_plan)

    def _shed_load(self, plan: LevelPlan | None) -> None:
        """Starts the levels of the file, or takes over those of a new one."""
        plan = plan or self.config.load_shedding_plan
        if plan is None:
            return
        if self.load_shedding is not None:
            self.load_shedding.reload(plan)
        else:
            self.load_shedding = start_load_shedding(
                plan,
                self.config,
                self.nursery,
                core=self.core,
                router=self.router,
                listeners=self.listeners,
            )

    def _list_changed(self) -> None:
        if self.hot_restart is not None:
            self.hot_restart.write_soon()

    def _processes(self) -> int:
        return self.hot_restart.processes if self.hot_restart is not None else 1

    def _learned(self) -> LearnedState:
        from violetstack.handover.learned_state import capture_learned_state

        return capture_learned_state(self.router.state, now_ms())

    # --- shutdown ---

    async def _stop(self) -> None:
        if self.leases is not None:
            await self.leases.shut_down()
        shutdown = GracefulShutdown(
            self.config.settings,
            self.lifecycle,
            core=self.core,
            hosts=self.hosts,
            fronts=self.fronts,
            hot_restart=self.hot_restart,
        )
        await shutdown.run()
        await self.recovery.stop()
        migrated_streams = 0
        if self.hot_restart is not None:
            self.hot_restart.handover.remove_record()
            migrated_streams = self.hot_restart.migrated_streams()
        log("stopped", migrated_streams=migrated_streams)
