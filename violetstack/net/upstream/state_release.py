"""Releases what model hosts hold for a request: its prefill state, and a reserved decode slot."""

from __future__ import annotations

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
"""For one host to answer."""
RELEASE_TIMEOUT_S = 5.0
"""Longer than the rule allows, since the state is still there after that."""
NEXT_HOST_DELAY_S = 0.05
"""Without an answer by then, another host is asked beside it; one that runs answers within milliseconds."""
NEXT_ROUND_DELAY_S = 0.1
"""Once every host was asked, until they are asked again: bounds the calls while none can be reached."""
MAX_WAIT_FOR_RELEASE_S = 0.1
"""A further attempt waits this long for the release of what the one before has left."""


class StateReleaser:
    """Carries out the core's release calls. Any host takes one, whoever holds the state."""

    def __init__(self, core: Dispatcher, pool: ConnectionPool) -> None:
        self._core = core
        self._pool = pool
        self._running: dict[ReleaseCall, trio.Event] = {}
        """Set once the release is through, or over."""

    def register(self, call: ReleaseCall) -> None:
        """From now on `wait_for` waits for this call; `run` follows."""
        self._running[call] = trio.Event()

    async def wait_for(self, request: OpenRequest) -> None:
        """Returns once no release of the request is under way, or after `MAX_SEND_DELAY_S`."""
        with trio.move_on_after(MAX_WAIT_FOR_RELEASE_S):
            while (call := request.release) is not None and not call.superseded:
                await self._running[call].wait()

    async def run(self, call: ReleaseCall) -> None:
        """Asks one host after the other, each beside those that have not answered yet.

        Ends when one has taken it, when a further attempt has made it pointless, or after `GIVE_UP_S`.
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
        if not finished.is_set():
            self._core.release_finished(now_ms(), call, False)
            finished.set()

    async def _call_host(
        self, call: ReleaseCall, server: str, finished: trio.Event, call_ended: trio.Event
    ) -> None:
        try:
            with trio.move_on_after(HOST_TIMEOUT_S):
                connection = await self._pool.acquire(
                    server, lambda: not call.superseded and not finished.is_set(), for_release=True
                )
                if connection is not None:
                    head = await short_call(self._pool, connection, "DELETE", f"/state/{call.request.id}")
                    if head.status < 300 and not finished.is_set():
                        self._accepted(call, server)
                        finished.set()
        except (NotConnectedError, OSError, InvalidResponseError):
            pass
        except Exception as error:  # no call's failure may end the program
            log("release_failed", id=call.request.id, error=repr(error))
        finally:
            call_ended.set()

    def _accepted(self, call: ReleaseCall, server: str) -> None:
        """The core hears of it before an attempt that waits for the release is written, and supersedes it."""
        now = now_ms()
        log_rate_limited("release_taken", id=call.request.id, server=server, ms=round(now - call.started_at))
        self._core.release_finished(now, call, True)

    def _best_host(self, request: OpenRequest, tried: set[str]) -> str | None:
        """The one most likely to answer: not silent so far, not draining, idle connection, heard last.

        A connection that rests after a response is none: a new one would be opened beside it.
        """
        silent = request.unresponsive_hosts()
        names = [
            name
            for name in self._core.endpoints
            if name in self._pool.hosts and name not in tried and name not in self._core.stateless_hosts
        ]

        def rank(name: str) -> tuple[bool, bool, bool, float]:
            host = self._pool.hosts[name]
            accepts_writes = name not in self._core.draining
            return name not in silent, accepts_writes, host.has_usable_idle(), host.last_response_at

        return max(names, key=rank, default=None)
