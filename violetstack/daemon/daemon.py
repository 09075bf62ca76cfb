"""Builds the components of one dispatcher in order, serves, reloads the configuration and shuts down."""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from violetstack.config import Address, Config, ConfigUnreadableError
from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.background_task import start_background_task
from violetstack.daemon.dispatch import build_dispatch, capture_learned_state
from violetstack.daemon.endpoints import EndpointService
from violetstack.daemon.fronts import FrontServers
from violetstack.daemon.lifecycle import Lifecycle
from violetstack.daemon.limits import LimitAllocator
from violetstack.daemon.optional_services import (
    build_gossip_transport,
    build_routing,
    start_admin_server,
    start_lease_service,
    start_load_shedding,
)
from violetstack.daemon.reload import RELOAD_RETRY_S, keys_requiring_restart, read_config
from violetstack.daemon.shutdown import GracefulShutdown
from violetstack.daemon.shutdown_schedule import REJECT_REQUESTS_S
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.gossip import DatagramDemultiplexer
from violetstack.net.memory_monitor import MemoryMonitor
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


class BoundAddresses(msgspec.Struct, frozen=True):
    """The addresses that a started daemon listens on; None for a listener that is not configured."""

    platform: Address | None
    chat: Address | None
    challenge: Address | None
    admin: Address | None = None


class Daemon:
    """One dispatcher process. `serve` returns once `stop` is set and all accepted requests are finished."""

    def __init__(self, config: Config) -> None:
        """Stores the configuration; files and sockets are opened by `serve`."""
        self.config = config
        self.lifecycle = Lifecycle()
        self.listeners: list[Listener] = []
        self.cordons: Cordons | None = None
        self.hot_restart: HotRestart | None = None
        self.routing: Routing | None = None
        self.load_shedding: LoadSheddingService | None = None
        self.leases: LeaseService | None = None
        self._reloadable = False
        self._reload_retry_scheduled = False
        self._deferred_reload: Callable[[], Config] | None = None

    async def serve(self, task_status: trio.TaskStatus[BoundAddresses] = trio.TASK_STATUS_IGNORED) -> None:
        """Starts the dispatcher and serves requests until `stop` is set and the shutdown has finished.

        Raises:
            ExceptionGroup: With a ConfigError if a configured address cannot be bound.
        """
        for text in self.config.warnings:
            log("config_warning", text=text)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            bound = await self._start()
            log(
                "started",
                name=self.config.node.name,
                platform=bound.platform,
                chat=bound.chat,
                admin=bound.admin,
            )
            gc.freeze()
            gc.enable()
            task_status.started(bound)
            await self.lifecycle.stop.wait()
            await self._stop()
            nursery.cancel_scope.cancel()

    def record_signal(self) -> None:
        """Records the arrival of a signal that ends the process; called in the signal handler.

        A process that was paused first reads the input that arrived during the pause, and only then starts
        its shutdown. If the signal may have arrived `REJECT_REQUESTS_S` ago or earlier, requests are rejected
        from now on. With leases, the wait for a restart permit does not count towards the shutdown schedule,
        so nothing is rejected here.
        """
        self.lifecycle.record_signal()
        signal = self.lifecycle.signal_time()
        waits_for_permit = self.leases is not None
        if (
            signal.handled_ms - signal.earliest_arrival_ms >= REJECT_REQUESTS_S * 1000.0
            and not waits_for_permit
        ):
            for listener in self.listeners:
                listener.rejecting_requests = True

    def reload(self, load_config: Callable[[], Config]) -> None:
        """Loads the configuration again and applies the settings that can change without a restart.

        During startup the reload is deferred until the components exist. An invalid configuration changes
        nothing. A failure is logged and not raised, so that it does not end the requests in flight.
        """
        if not self._reloadable:
            self._deferred_reload = load_config
            return
        try:
            self._reload(load_config)
        except ConfigUnreadableError:
            if not self._reload_retry_scheduled:
                self._reload_retry_scheduled = True
                self.nursery.start_soon(self._retry_reload, load_config)
        except Exception as error:
            log("config_reload_failed", error=repr(error))

    async def _retry_reload(self, load_config: Callable[[], Config]) -> None:
        await trio.sleep(RELOAD_RETRY_S)
        self._reload_retry_scheduled = False
        self.reload(load_config)

    def _reload(self, load_config: Callable[[], Config]) -> None:
        reloaded = read_config(load_config, self.config)
        if reloaded is None:
            return
        config = reloaded.config
        self.config.limits = config.limits
        self.config.routing_plan = config.routing_plan
        self._apply_routing_plan()
        self._apply_load_shedding_plan(config.load_shedding_plan)
        self.limits.apply()
        if self.fronts.chat is not None and reloaded.chat is not None:
            self.fronts.chat.config = reloaded.chat
        if self.fronts.certificate is not None:
            self.fronts.certificate.reload()
        if self.watch is not None and config.discovery is not None:
            self.watch.change_address(config.discovery)
        generation = self.routing.current.number if self.routing is not None else 0
        log(
            "config_reloaded",
            discovery=config.discovery,
            until_restart=keys_requiring_restart(self.config, config),
            generation=generation,
        )

    # --- components, for the admin service and tests ---

    @property
    def core(self) -> Dispatcher:
        """The state machine of all requests."""
        return self.components.core

    @property
    def router(self) -> Router:
        """The policy that selects hosts."""
        return self.components.router

    @property
    def upstream_driver(self) -> UpstreamDriver:
        """Performs calls to hosts."""
        return self.components.upstream_driver

    @property
    def state_writer(self) -> StateWriter | None:
        """Writes the stored state; None if no state folder is configured."""
        return self.components.state_writer

    @property
    def started(self) -> bool:
        """Whether the endpoint list is known."""
        return self.lifecycle.started

    @property
    def accepting(self) -> bool:
        """Whether client requests are accepted."""
        return self.lifecycle.accepting

    @property
    def stop(self) -> trio.Event:
        """Set to shut the daemon down."""
        return self.lifecycle.stop

    @property
    def handover(self) -> HandoverService | None:
        """Writes the handover record for other processes of this dispatcher; None without hot restart."""
        return self.hot_restart.handover if self.hot_restart is not None else None

    @property
    def watch(self) -> Watch | None:
        """The watch of the endpoint list; None if no discovery is configured."""
        return self.endpoints.watch

    def publish(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Passes an update of the endpoint list to the connection pool and the core."""
        self.endpoints.publish(update, addresses)

    # --- startup ---

    async def _start(self) -> BoundAddresses:
        config = self.config
        self.components = build_dispatch(config, self.nursery)
        self.lifecycle.last_running_ms = self.components.pause_detector.last_running_ms
        self.limits = LimitAllocator(config, self.upstream_driver, self.listeners, self._process_count)
        self.fronts = FrontServers(config, self.core, self.nursery, self.listeners, self.limits.apply)
        self.components.pause_detector.connections_queued = self.fronts.connections_queued
        self._apply_routing_plan()
        self._build_endpoints()
        predecessor = self.handover.load_predecessor() if self.handover is not None else None
        await self.endpoints.start(self.nursery, self.components.pause_detector, predecessor)
        admin = await start_admin_server(config, self.nursery, self)
        self._apply_load_shedding_plan(config.load_shedding_plan)
        self.components.start(self.nursery)
        start_background_task(self.nursery, MemoryMonitor(self._memory_limit_mb, self.listeners).run)
        self._apply_deferred_reload()
        await self.endpoints.wait_for_first_list()
        self.lifecycle.started = True
        self._start_gossip()
        return await self._start_accepting(admin)

    def _apply_deferred_reload(self) -> None:
        self._reloadable = True
        if self._deferred_reload is not None:
            self.reload(self._deferred_reload)

    async def _start_accepting(self, admin: Address | None) -> BoundAddresses:
        platform = None
        chat = None
        if self.config.listen is not None:
            platform = await self.fronts.start_platform(self.config.listen)
        if self.config.chat is not None:
            chat = await self.fronts.start_chat(self.config.chat)
        if self.hot_restart is not None:
            await self.hot_restart.receive_streams(
                self.nursery, self.core, self.upstream_driver, lambda: self.fronts.platform
            )
        self.components.restore_learned_state(self._learned_state())
        self.lifecycle.accepting = True
        if self.hot_restart is not None:
            self.hot_restart.write()
        return BoundAddresses(platform, chat, self.fronts.challenge_address, admin)

    def _build_endpoints(self) -> None:
        """Builds the endpoint service, and cordons and hot restart if the admin API is configured."""
        config = self.config
        if config.admin_listen is not None:
            from violetstack.admin.cordons import Cordons

            self.cordons = Cordons()
        self.endpoints = EndpointService(
            config,
            self.core,
            self.upstream_driver,
            recovery=self.components.recovery,
            state_writer=self.state_writer,
            cordons=self.cordons,
            on_list_changed=self._request_record_write,
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
            capture_learned_state=lambda: capture_learned_state(self.router),
            on_siblings_changed=self.limits.apply,
        )
        start_background_task(self.nursery, self.hot_restart.handover.run)

    def _start_gossip(self) -> None:
        """Starts gossip with the other dispatchers and, if configured, the lease service."""
        pause_detector = self.components.pause_detector
        transport = build_gossip_transport(self.config)
        if transport is None:
            return
        self.upstream_driver.gossip = transport.broadcast
        pause_detector.add_source(transport)
        self.leases = start_lease_service(
            self.config,
            self.nursery,
            self.core,
            transport,
            pause_detector,
            is_eligible=self._is_eligible,
            is_suspect=self.router.outliers.is_suspect,
        )
        receiver = DatagramDemultiplexer(
            self.core,
            discard=lambda: pause_detector.catching_up,
            handle_lease=self.leases.receive if self.leases is not None else None,
        )
        start_background_task(self.nursery, transport.run, receiver.receive)

    def _is_eligible(self) -> bool:
        """Returns whether this dispatcher may acquire leases now."""
        return (
            self.lifecycle.accepting
            and self.components.recovery.list_received
            and not self.lifecycle.stop.is_set()
        )

    def _learned_state(self) -> LearnedState | None:
        """Returns the predecessor's latest estimates, or else those of the stored state."""
        learned_state = self.components.recovery.stored_learned_state()
        if self.hot_restart is not None and self.config.inherited_listener is not None:
            record = self.hot_restart.predecessor_record()
            learned_state = record.learned_state if record is not None else learned_state
        return learned_state

    # --- settings that a reload can change ---

    def _apply_routing_plan(self) -> None:
        """Routes new requests by the configured plan; requests in flight keep their plan."""
        if self.routing is None:
            self.routing = build_routing(self.config, self.core)
        elif self.config.routing_plan is not None:
            self.routing.replace_plan(now_ms(), self.config.routing_plan)

    def _apply_load_shedding_plan(self, plan: LevelPlan | None) -> None:
        """Starts load shedding with the plan, or replaces the plan of load shedding that is running."""
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

    def _request_record_write(self) -> None:
        if self.hot_restart is not None:
            self.hot_restart.request_write()

    def _memory_limit_mb(self) -> float:
        """Returns the limit in force; the processes of a hot restart share it."""
        return self.config.limits.memory_mb / self._process_count()

    def _process_count(self) -> int:
        return self.hot_restart.process_count if self.hot_restart is not None else 1

    # --- shutdown ---

    async def _stop(self) -> None:
        signal = self.lifecycle.signal_time()
        if self.leases is not None:
            lease_shutdown_started_ms = now_ms()
            await self.leases.shut_down()
            # A deployment that requires restart permits allows for the wait before it sends SIGKILL, so the
            # wait does not shorten the shutdown schedule.
            signal = signal.delayed(now_ms() - lease_shutdown_started_ms)
        shutdown = GracefulShutdown(
            self.config.settings,
            self.lifecycle,
            signal,
            core=self.core,
            upstream_driver=self.upstream_driver,
            fronts=self.fronts,
            hot_restart=self.hot_restart,
        )
        await shutdown.run()
        await self.components.recovery.stop()
        migrated_streams = 0
        if self.hot_restart is not None:
            self.hot_restart.handover.remove_record()
            migrated_streams = self.hot_restart.migrated_streams()
        connections = shutdown.closed_connections()
        log(
            "stopped",
            migrated_streams=migrated_streams,
            closed=connections.closed,
            violations=connections.violations,
        )
