"""Builds and starts the services that are optional; their modules are imported only if configured."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from violetstack.config import Address, Config
from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.background_task import start_background_task
from violetstack.daemon.fronts import listen_on
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.gossip import GossipTransport
from violetstack.net.pause_detector import PauseDetector
from violetstack.policy.router import Router
from violetstack.policy_api import EndpointUpdate, UpdateScope

if TYPE_CHECKING:
    from violetstack.handover.learned_state import LearnedState
    from violetstack.load_shedding.levels import LevelPlan
    from violetstack.net.admin_service import AdministeredDaemon
    from violetstack.net.lease_service import LeaseService
    from violetstack.net.load_shedding import LoadSheddingService
    from violetstack.net.state_writer import StateWriter
    from violetstack.routing.generations import Routing


def start_state_writer(
    config: Config, nursery: trio.Nursery, capture_learned_state: Callable[[], LearnedState]
) -> StateWriter | None:
    """Starts to store the endpoint list and estimates, if the operator's file names a state folder."""
    state = config.operator.state if config.operator is not None else None
    if state is None:
        return None
    from violetstack.net.state_writer import StateWriter

    state_writer = StateWriter(
        state, config.settings.seed, config.settings.slow_start_ms, capture_learned_state
    )
    start_background_task(nursery, state_writer.run)
    return state_writer


def build_gossip_transport(config: Config) -> GossipTransport | None:
    """Creates the gossip transport, if an address is configured.

    A successor binds the same address while its predecessor still uses it.
    """
    if config.peer_listen is None:
        return None
    reuse_address = config.inherited_listener is not None
    return GossipTransport(config.peer_listen, config.peers, config.peers_all, reuse_address=reuse_address)


async def start_admin_server(
    config: Config, nursery: trio.Nursery, daemon: AdministeredDaemon
) -> Address | None:
    """Starts the admin API, if configured, and returns the bound address.

    Raises:
        ConfigError: The address cannot be bound.
    """
    if config.admin_listen is None:
        return None
    from violetstack.net.admin_server import AdminServer
    from violetstack.net.admin_service import AdminService

    listener = (await listen_on(config.admin_listen, "mgmt"))[0]
    start_background_task(nursery, AdminServer(AdminService(daemon)).run, listener)
    bound = listener.socket.getsockname()
    return bound[0], bound[1]


def start_lease_service(
    config: Config,
    nursery: trio.Nursery,
    core: Dispatcher,
    transport: GossipTransport,
    pause_detector: PauseDetector,
    *,
    is_eligible: Callable[[], bool],
    is_suspect: Callable[[str], bool],
) -> LeaseService | None:
    """Starts the lease service, if the operator's file configures leases."""
    lease_config = config.operator.duties if config.operator is not None else None
    if lease_config is None:
        return None
    from violetstack.net.lease_service import LeaseService

    leases = LeaseService(
        lease_config, core, transport, pause_detector, is_eligible=is_eligible, is_suspect=is_suspect
    )
    start_background_task(nursery, leases.run)
    return leases


def build_routing(config: Config, core: Dispatcher) -> Routing | None:
    """Builds routing with routes and pools and connects it to the core, if the operator's file has routes."""
    if not config.routing_plan:
        return None
    from violetstack.routing.generations import Routing

    settings_message = config.settings_message
    routing = Routing(
        config.routing_plan,
        config.settings,
        log=log,
        classes=tuple(spec.name for spec in settings_message.classes),
        tenants=tuple(spec.name for spec in settings_message.parties or ()),
        kinds=tuple(settings_message.kinds or ()),
        zones=tuple(settings_message.zones or ()),
    )
    core.use_router(routing)
    entries = tuple(core.endpoints.values())
    routing.update_endpoints(now_ms(), EndpointUpdate(UpdateScope.SNAPSHOT, entries, 0))
    return routing


def start_load_shedding(
    plan: LevelPlan,
    config: Config,
    nursery: trio.Nursery,
    *,
    core: Dispatcher,
    router: Router,
    listeners: list[Listener],
) -> LoadSheddingService:
    """Starts load shedding with the levels of reduced service that the operator's file defines."""
    from violetstack.load_shedding.load_shedder import LoadShedder, admission_weights
    from violetstack.net.load_shedding import LoadSheddingService

    message = config.settings_message
    class_names = [spec.name for spec in message.classes]
    tenant_names = [spec.name for spec in message.parties or ()]
    load_shedder = LoadShedder(plan, admission_weights(config.settings, class_names, tenant_names), log)
    service = LoadSheddingService(load_shedder, core, router, listeners, config.limits.cores)
    service.start()
    core.use_load_shedder(load_shedder)
    start_background_task(nursery, service.run)
    if plan.socket_path:
        start_background_task(nursery, service.serve_socket, plan.socket_path)
    return service
