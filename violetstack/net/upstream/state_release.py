"""Releases what model hosts hold for a request: its prefilled state and its reserved decode slot."""

from __future__ import annotations

import math
from typing import NamedTuple

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import OpenRequest, ReleaseCall
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.upstream.connection import NotConnectedError
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.net.upstream.short_call import short_call
from violetstack.protocol.http_client import InvalidResponseError

HOST_TIMEOUT_S = 0.3
"""Time limit for the response of one host."""
SCARCE_HOST_TIMEOUT_S = 0.05
"""Time limit from the time of writing, while connections are scarce and other releases wait for them."""
RELEASE_TIMEOUT_S = 5.0
"""Limit for a whole release: longer than is allowed for one, because the state is still held after that."""
NEXT_HOST_DELAY_S = 0.05
"""Time to wait for one host before the next is called, too; a working host answers within milliseconds."""
SILENT_AFTER_S = 0.02
"""A host that has not answered a release for this long is called after the others."""
NEXT_ROUND_DELAY_S = 0.1
"""Delay after all hosts were called, before they are called again; limits calls while none is reachable."""
MAX_WAIT_FOR_RELEASE_S = 0.1
"""A further attempt waits at most this long for the release of what the previous attempt left held."""


class StateReleaser:
    """Makes the core's release calls. Any host accepts one, whichever host holds the state."""

    def __init__(self, core: Dispatcher, pool: ConnectionPool) -> None:
        self._core = core
        self._pool = pool
        self._running: dict[ReleaseCall, trio.Event] = {}
        """For each call under way, an event that is set once a host has accepted it or it has ended."""
        self._unanswered_since: dict[str, float] = {}
        """By host, when the first release was written that it has not answered."""

    def register(self, call: ReleaseCall) -> None:
        """Makes `wait_for` wait for this call from now on; must be called before `run`."""
        self._running[call] = trio.Event()
        self._pool.waiting_releases = len(self._running)

    async def wait_for(self, request: OpenRequest) -> None:
        """Returns once no release of the request is under way, or after `MAX_WAIT_FOR_RELEASE_S`."""
        with trio.move_on_after(MAX_WAIT_FOR_RELEASE_S):
            while (call := request.release) is not None and not call.superseded:
                await self._running[call].wait()

    async def run(self, call: ReleaseCall) -> None:
        """Calls one host after another; earlier calls that are not answered yet go on meanwhile.

        Ends when a host has accepted the release, when a further attempt has superseded it, or after
        `RELEASE_TIMEOUT_S`.
        """
        finished = self._running[call]
        deadline = trio.current_time() + RELEASE_TIMEOUT_S
        tried: set[str] = set()
        async with trio.open_nursery() as nursery:
            while not finished.is_set() and not call.superseded and trio.current_time() < deadline:
                server = self._best_host(call.request, tried)
                if server is None:
                    tried.clear()
                    with trio.move_on_after(NEXT_ROUND_DELAY_S):
                        await finished.wait()
                    continue
                tried.add(server)
                call_ended = trio.Event()
                nursery.start_soon(self._call_host, call, server, finished, call_ended)
                with trio.move_on_after(NEXT_HOST_DELAY_S):
                    await call_ended.wait()
            nursery.cancel_scope.cancel()
        del self._running[call]
        self._pool.waiting_releases = len(self._running)
        if not finished.is_set():
            self._core.release_finished(now_ms(), call, False)
            finished.set()

    async def _call_host(
        self, call: ReleaseCall, server: str, finished: trio.Event, call_ended: trio.Event
    ) -> None:
        was_silent = self._is_silent(server)

        def still_wanted() -> bool:
            fell_silent = not was_silent and self._is_silent(server)
            return not (call.superseded or finished.is_set() or fell_silent)

        try:
            with trio.move_on_after(HOST_TIMEOUT_S) as time_limit:
                connection = await self._pool.acquire(server, still_wanted, for_release=True)
                if connection is not None:
                    now = trio.current_time()
                    if self._pool.uses_release_reserve:
                        time_limit.deadline = min(time_limit.deadline, now + SCARCE_HOST_TIMEOUT_S)
                    self._note_written(server, now)
                    head = await short_call(self._pool, connection, "DELETE", f"/state/{call.request.id}")
                    self._unanswered_since.pop(server, None)
                    if head.status < 300 and not finished.is_set():
                        self._accepted(call, server)
                        finished.set()
        except (NotConnectedError, OSError, InvalidResponseError):
            pass
        except Exception as error:  # a failed call must not end the process
            log("release_failed", id=call.request.id, error=repr(error))
        finally:
            call_ended.set()

    def _accepted(self, call: ReleaseCall, server: str) -> None:
        """Reports success to the core before a waiting attempt is sent, which would supersede the release."""
        now = now_ms()
        log_rate_limited("release_taken", id=call.request.id, server=server, ms=round(now - call.started_at))
        self._core.release_finished(now, call, True)

    def _best_host(self, request: OpenRequest, tried: set[str]) -> str | None:
        """The host most likely to answer; None if all were tried, or none can be reached at present.

        Prefers, in this order, hosts that owe no answer to a release, owe none to this request, do not drain,
        have an idle connection, and have answered any request most recently. An idle connection whose delay
        before reuse is not over does not count, because a new one would be opened beside it.
        """
        silent = self._silent_hosts()
        unresponsive = request.unresponsive_hosts()
        needs_idle = self._pool.connecting_fails

        def may_call(name: str) -> bool:
            return (
                name in self._core.endpoints
                and name in self._pool.hosts
                and name not in tried
                and name not in self._core.stateless_hosts
                and (not needs_idle or self._pool.hosts[name].has_usable_idle())
            )

        def rank(name: str) -> _ReleaseRank:
            host = self._pool.hosts[name]
            return _ReleaseRank(
                name not in silent,
                name not in unresponsive,
                name not in self._core.draining,
                host.has_usable_idle(),
                host.last_response_at,
            )

        # The latest host to answer usually ranks first, so that the list is rarely searched.
        for name in self._pool.names_by_latest_response():
            if may_call(name) and rank(name).is_best:
                return name
        return max(filter(may_call, self._core.endpoints), key=rank, default=None)

    def _note_written(self, server: str, now: float) -> None:
        host = self._pool.hosts[server]
        since = self._unanswered_since.get(server, -math.inf)
        if since < host.last_response_at or server not in self._unanswered_since:
            self._unanswered_since[server] = now

    def _silent_hosts(self) -> set[str]:
        for name in [name for name in self._unanswered_since if name not in self._pool.hosts]:
            del self._unanswered_since[name]
        return {name for name in self._unanswered_since if self._is_silent(name)}

    def _is_silent(self, name: str) -> bool:
        """Whether the host has left a release unanswered, and has answered nothing since."""
        host = self._pool.hosts.get(name)
        since = self._unanswered_since.get(name, math.inf)
        is_overdue = since <= trio.current_time() - SILENT_AFTER_S
        return is_overdue and host is not None and host.last_response_at <= since


class _ReleaseRank(NamedTuple):
    """How likely a host is to answer a release; the higher, the likelier."""

    answers_releases: bool
    is_responsive: bool
    accepts_requests: bool
    has_usable_idle: bool
    last_response_at: float

    @property
    def is_best(self) -> bool:
        """Whether only a host that has answered later ranks higher."""
        return self.answers_releases and self.is_responsive and self.accepts_requests and self.has_usable_idle
