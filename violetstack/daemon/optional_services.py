"""Builds what runs only where the configuration asks for it; each module is imported only then."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from violetstack.config import Config
from violetstack.core.dispatcher import Dispatcher
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.gossip import Peers
from violetstack.net.pause_detector import PauseDetector
from violetstack.policy_api import EndpointUpdate, UpdateScope
from violetstack.router import Router

if TYPE_CHECKING:
    from violetstack.handover.learned import Learned
    from violetstack.load_shedding.control import LevelPlan
    from violetstack.net.lease_service import Duties
    from violetstack.net.load_shedding import LevelDriver
    from violetstack.net.state_writer import Kept
    from violetstack.routing.generations import Routing


def start_state_writer(config: Config, nursery: trio.Nursery, learned: Callable[[], Learned]) -> Kept | None:
    """The durable state, where the operator's file names a folder."""
    state = config.operator.state if config.operator is not None else None
    if state is None:
        return None
    from violetstack.net.state_writer import Kept

    kept = Kept(state, config.settings.seed, config.settings.slow_start_ms, learned)
    nursery.start_soon(kept.run)
    return kept


def start_lease_service(
    config: Config,
    nursery: trio.Nursery,
    core: Dispatcher,
    peers: Peers,
    pause_detector: PauseDetector,
    *,
    fit: Callable[[], bool],
    suspected: Callable[[str], bool],
) -> Duties | None:
    """Leases, where the operator's file has them."""
    told = config.operator.duties if config.operator is not None else None
    if told is None:
        return None
    from violetstack.net.lease_service import Duties

    duties = Duties(told, core, peers, pause_detector, fit=fit, suspected=suspected)
    nursery.start_soon(duties.run)
    return duties


def build_routing(config: Config, core: Dispatcher) -> Routing | None:
    """Routes, pools and policies, where the operator's file has routes."""
    if not config.plan:
        return None
    from violetstack.routing.generations import Routing

    settings_message = config.settings_message
    routing = Routing(
        config.plan,
        config.settings,
        log=log,
        classes=tuple(spec.name for spec in settings_message.classes),
        tenants=tuple(spec.name for spec in settings_message.parties or ()),
        kinds=tuple(settings_message.kinds or ()),
        zones=tuple(settings_message.zones or ()),
    )
    core.routes = routing
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
) -> LevelDriver:
    """The levels of reduced service that the operator's file defines."""
    from violetstack.load_shedding.control import Levels, weights_of
    from violetstack.net.load_shedding import LevelDriver

    settings_message = config.settings_message
    classes = tuple(spec.name for spec in settings_message.classes)
    tenants = tuple(spec.name for spec in settings_message.parties or ())
    levels = Levels(plan, weights_of(config.settings, classes, tenants), log)
    driver = LevelDriver(levels, core, router, listeners, config.limits.cores)
    driver.start()
    core.load_shedder = levels
    nursery.start_soon(driver.run)
    if plan.admin:
        nursery.start_soon(driver.serve_socket, plan.admin)
    return driver


def reload_load_shedding(driver: LevelDriver, plan: LevelPlan) -> None:
    """Takes over the levels of a new file."""
    driver.levels.reload(now_ms(), time.time(), plan)
