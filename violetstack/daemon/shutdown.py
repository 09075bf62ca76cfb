"""Graceful shutdown: finishes the requests in flight, and serves new ones while they may still come."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.fronts import FrontServers
from violetstack.daemon.lifecycle import Lifecycle
from violetstack.log import log
from violetstack.net.upstream.driver import UpstreamDriver
from violetstack.policy_api import Settings

if TYPE_CHECKING:
    from violetstack.daemon.hot_restart import HotRestart

# Seconds after SIGTERM.
STOP_ACCEPTING_S = 0.55  # load balancers in front send new connections for up to 0.4 s
REJECT_REQUESTS_S = 0.65  # a request that comes later may not be answered before SIGKILL
# SIGKILL follows after the longest client timeout, at most MAX_DRAIN_S, and KILL_DELAY_S more.
MAX_DRAIN_S = 3.0
KILL_DELAY_S = 0.7
FINAL_ANSWERS_S = 0.5  # before SIGKILL, for the last answers and releases
POLL_S = 0.02


class GracefulShutdown:
    """Ends the process without losing a request that it has taken, or that comes shortly after SIGTERM.

    New connections are accepted for STOP_ACCEPTING_S, or until a successor accepts them. Responses carry
    `Connection: close` (RFC 9112, section 9.6) and idle connections are closed. A connection that has not
    sent its request yet is still read: the request is served, and rejected from REJECT_REQUESTS_S on.
    """

    def __init__(
        self,
        settings: Settings,
        lifecycle: Lifecycle,
        *,
        core: Dispatcher,
        hosts: UpstreamDriver,
        fronts: FrontServers,
        hot_restart: HotRestart | None,
    ) -> None:
        """Takes the parts; nothing is shut down before `run`."""
        self._lifecycle = lifecycle
        self._core = core
        self._hosts = hosts
        self._fronts = fronts
        self._hot_restart = hot_restart
        longest_ms = max((spec.client_timeout_ms for spec in settings.classes), default=0.0)
        self._deadline_s = min(longest_ms / 1000.0, MAX_DRAIN_S) + KILL_DELAY_S - FINAL_ANSWERS_S
        self._rejecting = False
        self._aborting = False

    async def run(self) -> None:
        """Returns once no request is open any more."""
        log("shutdown_started", open=len(self._core.open_requests), successor=self._find_successor())
        began = trio.current_time()
        for listener in self._fronts.listeners:
            listener.draining = True
        await self._hand_over()
        while self._lifecycle.accepting or self._core.open_requests or self._fronts.busy:
            await self._advance(trio.current_time() - began)
            await trio.sleep(POLL_S)
        if self._fronts.idempotency is not None:
            self._fronts.idempotency.stop_retrying()

    async def _advance(self, elapsed_s: float) -> None:
        """Takes the steps that are due `elapsed_s` after SIGTERM."""
        if self._lifecycle.accepting and elapsed_s >= STOP_ACCEPTING_S:
            await self._stop_accepting()
        if elapsed_s >= REJECT_REQUESTS_S and not self._rejecting:
            self._rejecting = True
            log("shutdown_rejecting")
        for listener in self._fronts.listeners:
            listener.refusing = self._rejecting
            if not self._lifecycle.accepting:
                listener.table.close_idle()
        if elapsed_s >= self._deadline_s and not self._aborting:
            self._aborting = True
            log("shutdown_deadline", open=len(self._core.open_requests))
            self._core.shutdown_started()

    async def _hand_over(self) -> None:
        """Leaves new connections, gossip and the streams that have started to the successor, if there is one.

        A client that connects now waits in the listening socket's queue, which the successor accepts from.
        """
        if self._hot_restart is None or self._hot_restart.find_successor() is None:
            return
        await self._stop_accepting()
        self._hosts.gossip = _discard
        await self._hot_restart.migrate_streams(self._core, self._hosts)

    async def _stop_accepting(self) -> None:
        self._lifecycle.accepting = False
        await self._fronts.stop_accepting()

    def _find_successor(self) -> str | None:
        return self._hot_restart.find_successor() if self._hot_restart is not None else None


def _discard(_payload: bytes) -> None:
    """Sends no gossip: the successor has the same address, and receivers replace what they had from it."""
