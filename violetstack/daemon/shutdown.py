"""Graceful shutdown: requests that were taken are finished, new ones are served as long as they may come."""

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

HEARD_S = 0.65  # after SIGTERM what comes later is refused: SIGKILL may find it unanswered
# SIGKILL: the longest deadline, at most the one, and the other later
KILL_MOST_S = 3.0
KILL_AFTER_S = 0.7
LAST_WORDS_S = 0.5  # for last answers and releases
LISTEN_ON_S = 0.55  # after SIGTERM new connections keep coming for up to 0.4 s
POLL_S = 0.02


class GracefulShutdown:
    """Guards against losing at a planned restart what was taken, and what comes shortly after.

    New connections are served for as long as the front still deals them out, or a successor takes them;
    answers then carry `Connection: close`, idle connections are closed, and the last answer ends the
    program. Whoever has connected and not asked yet is heard: served at first, later refused.
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
        self._lifecycle = lifecycle
        self._core = core
        self._hosts = hosts
        self._fronts = fronts
        self._hot_restart = hot_restart
        longest = max((spec.client_timeout_ms for spec in settings.classes), default=0.0) / 1000.0
        # What has not begun is given up a while before SIGKILL may come.
        self._end_s = min(longest, KILL_MOST_S) + KILL_AFTER_S - LAST_WORDS_S

    async def run(self) -> None:
        """Returns once nothing is open any more."""
        log("shutdown_started", open=len(self._core.open_requests), successor=self._find_successor())
        began = trio.current_time()
        for listener in self._fronts.listeners:
            listener.draining = True
        await self._pass_to_successor()
        refusing = False
        ending = False
        while self._lifecycle.accepting or self._core.open_requests or self._fronts.busy:
            after = trio.current_time() - began
            if self._lifecycle.accepting and after >= LISTEN_ON_S:
                await self._stop_accepting()
            if after >= HEARD_S and not refusing:
                refusing = True
                log("shutdown_rejecting")
            for listener in self._fronts.listeners:
                listener.refusing = refusing
                if not self._lifecycle.accepting:
                    listener.table.close_idle()
            if after >= self._end_s and not ending:
                ending = True
                log("shutdown_deadline", open=len(self._core.open_requests))
                self._core.shutdown_started()
            await trio.sleep(POLL_S)
        if self._fronts.idempotency is not None:
            self._fronts.idempotency.stop_retrying()

    async def _pass_to_successor(self) -> None:
        if self._hot_restart is None or self._hot_restart.find_successor() is None:
            return
        # Who comes now waits in the queue that the successor accepts from. It speaks to the peers as well.
        await self._stop_accepting()
        self._hosts.gossip = lambda payload: None
        await self._hot_restart.migrate_streams(self._core, self._hosts)

    async def _stop_accepting(self) -> None:
        self._lifecycle.accepting = False
        await self._fronts.stop_accepting()

    def _find_successor(self) -> str | None:
        return self._hot_restart.find_successor() if self._hot_restart is not None else None
