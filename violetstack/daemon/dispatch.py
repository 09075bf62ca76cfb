"""Builds the components of every dispatcher: policy, core, upstream driver, pause detector and recovery."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from violetstack.config import Config
from violetstack.core.dispatcher import Dispatcher
from violetstack.core.executed_requests import ExecutedRequests
from violetstack.daemon.background_task import start_background_task
from violetstack.daemon.event_loop import EventLoop, WakeSignal
from violetstack.daemon.optional_services import start_state_writer
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.executed_requests_table import open_table
from violetstack.net.pause_detector import PauseDetector
from violetstack.net.startup_recovery import StartupRecovery
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.net.upstream.driver import UpstreamDriver
from violetstack.policy.router import Router

if TYPE_CHECKING:
    from violetstack.handover.learned_state import LearnedState
    from violetstack.net.state_writer import StateWriter


@dataclass(frozen=True)
class DispatchComponents:
    """The components that are built before the endpoint list is known."""

    core: Dispatcher
    router: Router
    upstream_driver: UpstreamDriver
    loop: EventLoop
    pause_detector: PauseDetector
    recovery: StartupRecovery
    state_writer: StateWriter | None

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the event loop and the task that closes upstream connections when they have expired."""
        nursery.start_soon(self.loop.run)
        start_background_task(nursery, self.upstream_driver.pool.close_expired)

    def restore_learned_state(self, learned_state: LearnedState | None) -> None:
        """Restores the estimates of a predecessor or of the stored state in the policy."""
        if learned_state is None:
            return
        from violetstack.handover.learned_state import restore_learned_state

        self.core.run(now_ms())  # the policy needs the endpoint list before the estimates
        servers = restore_learned_state(self.router.state, learned_state)
        log("estimates_restored", servers=servers, age_ms=round(now_ms() - learned_state.captured_at_ms))
        self.recovery.learned_state_restored()


def build_dispatch(config: Config, nursery: trio.Nursery) -> DispatchComponents:
    """Builds the components; starts the pause detector and, if configured, the state writer."""
    settings = config.settings
    pool = ConnectionPool(settings.connect_timeout_ms, config.idle_close_ms)
    upstream_driver = UpstreamDriver(nursery, pool, settings.load_report_fields)
    router = Router(settings)
    state_writer = start_state_writer(config, nursery, lambda: capture_learned_state(router))
    recovery = StartupRecovery(nursery, state_writer, settings)

    def process_paused(pause_ms: float) -> None:
        core.process_paused(now_ms(), pause_ms)

    # After a pause the process reads all queued input before it makes decisions or sends anything, since
    # what it knew before the pause may be outdated.
    pause_detector = PauseDetector(config.drain_grace_ms, process_paused)
    pool.wait_caught_up = pause_detector.wait_caught_up
    pause_detector.add_source(upstream_driver)
    start_background_task(nursery, pause_detector.run)
    wake_signal = WakeSignal()
    core = Dispatcher(
        settings,
        router,
        upstream_driver,
        config.drain_grace_ms,
        wake=wake_signal.set,
        retry_after=recovery.retry_after_ms,
        max_unread=pause_detector.max_unread_ms,
        executed=ExecutedRequests(open_table(config.shared_directory, config.node.name)),
    )
    upstream_driver.connect_core(core)
    loop = EventLoop(core, pause_detector, wake_signal)
    return DispatchComponents(core, router, upstream_driver, loop, pause_detector, recovery, state_writer)


def capture_learned_state(router: Router) -> LearnedState:
    """Returns the policy's current estimates."""
    from violetstack.handover import learned_state

    return learned_state.capture_learned_state(router.state, now_ms())
