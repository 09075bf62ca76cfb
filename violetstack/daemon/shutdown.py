"""Graceful shutdown: finishes the requests in flight and serves the new ones that can still arrive."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.fronts import FrontServers
from violetstack.daemon.lifecycle import Lifecycle, SignalTime
from violetstack.daemon.shutdown_schedule import ShutdownSchedule
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.closing import CloseReason
from violetstack.net.downstream.connection_table import ConnectionTable
from violetstack.net.upstream.driver import UpstreamDriver
from violetstack.policy_api import Settings

if TYPE_CHECKING:
    from violetstack.daemon.hot_restart import HotRestart

POLL_S = 0.02


class ClosedConnections(NamedTuple):
    """How a shutdown has closed client connections, for the log event `stopped`."""

    closed: dict[str, int]
    """Connections closed since SIGTERM, by reason."""
    violations: dict[str, int]
    """Number of violations (`Violation`) by closes since the process started, by kind."""


class GracefulShutdown:
    """Shuts down without losing accepted requests or requests that arrive shortly after SIGTERM.

    New connections are accepted until `ShutdownSchedule.stop_accepting_s`, or until a successor accepts them.
    Responses carry `Connection: close` (RFC 9112, section 9.6), and idle connections are closed. Connections
    that have not sent a request yet are still read; their requests are served until `reject_s` and rejected
    from then on.
    """

    def __init__(
        self,
        settings: Settings,
        lifecycle: Lifecycle,
        signal: SignalTime,
        *,
        core: Dispatcher,
        upstream_driver: UpstreamDriver,
        fronts: FrontServers,
        hot_restart: HotRestart | None,
    ) -> None:
        """Stores the components and the time of SIGTERM; the shutdown starts with `run`."""
        self._lifecycle = lifecycle
        self._signal = signal
        self._core = core
        self._upstream_driver = upstream_driver
        self._fronts = fronts
        self._hot_restart = hot_restart
        longest_timeout_ms = max((spec.client_timeout_ms for spec in settings.classes), default=0.0)
        self._schedule = ShutdownSchedule.for_longest_timeout(longest_timeout_ms)
        self._closed_before: Counter[str] = Counter()
        self._rejecting = False
        self._waiting_ended = False

    async def run(self) -> None:
        """Returns once no request is open and no connection is left on which a request could arrive."""
        self._closed_before = self._count_closes()
        log(
            "shutdown_started",
            open=len(self._core.open_requests),
            successor=self._find_successor(),
            signal_ms_ago=round(now_ms() - self._signal.earliest_arrival_ms),
            connections=self._count_states(),
        )
        for listener in self._fronts.listeners:
            listener.draining = True
        await self._hand_over_to_successor()
        # The check that nothing is left happens in the same step, without a wait, as the closing of idle
        # connections; otherwise a connection could become idle in between.
        nothing_left = self._run_due_steps()
        while not nothing_left:
            await trio.sleep(POLL_S)
            nothing_left = self._run_due_steps()
        if self._fronts.idempotency is not None:
            self._fronts.idempotency.stop_retrying()

    def closed_connections(self) -> ClosedConnections:
        """Returns how client connections were closed; complete once `run` has returned."""
        violations: Counter[str] = Counter()
        for listener in self._fronts.listeners:
            violations.update({kind.value: count for kind, count in listener.closes.violations.items()})
        return ClosedConnections(dict(self._count_closes() - self._closed_before), dict(violations))

    def _count_closes(self) -> Counter[str]:
        closes: Counter[str] = Counter()
        for listener in self._fronts.listeners:
            closes.update({reason.value: count for reason, count in listener.closes.closes.items()})
        return closes

    def _count_states(self) -> dict[str, int]:
        connections = (item for listener in self._fronts.listeners for item in listener.table.connections)
        return dict(Counter(connection.lifecycle.state.value for connection in connections))

    def _run_due_steps(self) -> bool:
        """Performs the steps that are due and returns whether nothing is left to do.

        Steps that must precede SIGKILL are timed from the earliest time at which SIGTERM can have arrived.
        The end of accepting connections is timed from the latest, when SIGTERM was handled.
        """
        schedule = self._schedule
        elapsed_s = (now_ms() - self._signal.earliest_arrival_ms) / 1000.0
        if elapsed_s >= schedule.reject_s and not self._rejecting:
            self._rejecting = True
            log("shutdown_rejecting")
        for listener in self._fronts.listeners:
            listener.rejecting_requests = self._rejecting
        if elapsed_s >= schedule.end_waiting_s and not self._waiting_ended:
            self._waiting_ended = True
            log("shutdown_deadline", open=len(self._core.open_requests))
            self._core.shutdown_started()
        if self._lifecycle.accepting:
            self._stop_accepting_if_due((now_ms() - self._signal.handled_ms) / 1000.0)
            return False  # connections accepted last enter their listener's table in the next iteration
        for listener in self._fronts.listeners:
            listener.table.close_idle()
            if elapsed_s >= schedule.close_silent_s:
                _close_silent_connections(listener.table)
        return not self._core.open_requests and not self._fronts.busy

    def _stop_accepting_if_due(self, elapsed_s: float) -> None:
        """Closes the listening sockets once their accept queues are empty or `close_listener_s` is reached.

        Closing a listening socket resets the connections in its queue, on which clients may already have sent
        requests. A busy process may accept them late, so it keeps accepting while a response can still reach
        the client.
        """
        if elapsed_s < self._schedule.stop_accepting_s:
            return
        queued = self._fronts.connections_queued()
        if not queued or elapsed_s >= self._schedule.close_listener_s:
            if queued:
                self._fronts.record_closed_queues()
            self._stop_accepting()

    async def _hand_over_to_successor(self) -> None:
        """Leaves new connections, gossip and started streams to the successor, if there is one.

        Both processes share the listening socket, so the successor accepts the connections that are still in
        its queue.
        """
        if self._hot_restart is None or self._hot_restart.find_successor() is None:
            return
        self._stop_accepting()
        self._upstream_driver.gossip = _discard_gossip
        await self._hot_restart.migrate_streams(self._core, self._upstream_driver)

    def _stop_accepting(self) -> None:
        self._lifecycle.accepting = False
        self._fronts.stop_accepting()

    def _find_successor(self) -> str | None:
        return self._hot_restart.find_successor() if self._hot_restart is not None else None


def _close_silent_connections(table: ConnectionTable) -> None:
    """Closes connections without a request or with only part of one; a partial request is answered 503.

    A request that arrived now could not be answered before SIGKILL.
    """
    partial_requests = [connection for connection in table.idle if connection.http.busy]
    for connection in [*table.awaiting_first_request, *partial_requests]:
        if not connection.lifecycle.answering and not connection.has_unread():
            table.evict(connection, CloseReason.SHUTDOWN_IDLE)


def _discard_gossip(_payload: bytes) -> None:
    """Sends no gossip; replaces the transport's `broadcast` once there is a successor.

    The successor sends from the same address, and receivers would replace its data with this process's.
    """
