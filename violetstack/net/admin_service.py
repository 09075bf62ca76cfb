"""What the operators' door opens to: the daemon's figures, hosts and duties."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import trio

from violetstack.admin.api import NotRecorded, Refused
from violetstack.admin.metrics import figures, kinds_without
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.policy_api import EndpointUpdate

if TYPE_CHECKING:
    from violetstack.admin.cordons import Cordons
    from violetstack.config import Config
    from violetstack.core.dispatcher import Dispatcher
    from violetstack.net.handover import Handover
    from violetstack.net.lease_service import Duties
    from violetstack.router import Router

NO_DUTIES = "no duties are configured here (`duties` in the operator's file)"


class AdministeredDaemon(Protocol):
    """What the admin service reads and calls of a daemon."""

    config: Config
    core: Dispatcher
    router: Router
    cordons: Cordons | None
    duties: Duties | None

    @property
    def started(self) -> bool:
        """Is the endpoint list known?"""

    @property
    def taking(self) -> bool:
        """Are new requests taken?"""

    @property
    def stop(self) -> trio.Event:
        """Set to shut down."""

    @property
    def handover(self) -> Handover | None:
        """The record that this process keeps for another of its dispatcher."""

    def news(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Hands an update of the endpoint list to the connection pool and the core."""


class Rooms:
    """`admin.door.House`, for one daemon."""

    def __init__(self, daemon: AdministeredDaemon) -> None:
        self._daemon = daemon

    @property
    def started(self) -> bool:
        return self._daemon.started

    @property
    def taking(self) -> bool:
        return self._daemon.taking

    def figures(self) -> dict[str, Any]:
        daemon = self._daemon
        classes = tuple(spec.name for spec in daemon.config.settings_message.classes)
        listed = len(daemon.core.endpoints)
        avoided = daemon.router.avoided(now_ms())
        return figures(daemon.core.metrics, classes, listed, avoided)

    # --- hosts by hand ---

    def cordon(self, server: str) -> None:
        assert self._daemon.cordons is not None
        self._by_hand(server, self._daemon.cordons.cordon)

    def uncordon(self, server: str) -> None:
        assert self._daemon.cordons is not None
        self._by_hand(server, self._daemon.cordons.uncordon)

    def _by_hand(self, server: str, act: Callable[[float, str], EndpointUpdate]) -> None:
        """The yes comes after this: it binds, and a successor will know."""
        daemon = self._daemon
        assert daemon.cordons is not None
        before = dict(daemon.cordons.marks)
        news = act(now_ms(), server)
        if daemon.cordons.marks == before:
            return
        if daemon.handover is not None:
            try:
                daemon.handover.write()
            except NotRecorded:
                daemon.cordons.marks = before
                raise
        daemon.news(news, {})
        left = kinds_without(
            daemon.core.endpoints.values(), tuple(daemon.config.settings_message.kinds or ())
        )
        log("hosts_out", out=daemon.cordons.out, by="call", none_left=left)

    # --- duties ---

    def duties(self) -> dict[str, Any]:
        duties = self._daemon.duties
        if duties is None:
            raise Refused(404, NO_DUTIES)
        member = duties.member
        now = now_ms()
        rows = [
            {
                "name": row.name,
                "holder": row.holder,
                "mine": row.mine,
                "number": row.fence,
                "left_ms": round(row.left_ms),
                "why": row.why,
                "since_ms": None if row.since is None else round(now - row.since),
            }
            for row in duties.tenures()
        ]
        speaks = None if member.elector is None else member.elector.speaks(now)
        return {
            "me": member.number,
            "fit": member.fit,
            "electors": list(member.electors),
            "speaks": speaks,
            "datagrams": member.sent,
            "bytes": member.sent_bytes,
            "duties": rows,
        }

    def leave(self) -> dict[str, Any]:
        """The yes ends this process, as SIGTERM would."""
        duties = self._daemon.duties
        if duties is None or duties.leave is None:
            raise Refused(404, NO_DUTIES if duties is None else "`leave` is not set in `duties`")
        why = duties.may_go()
        if why is not None:
            raise Refused(503, why, [("Retry-After", "1")])
        self._daemon.stop.set()
        return {"leave": "given"}

    def resign(self, name: str) -> dict[str, Any]:
        duties = self._daemon.duties
        if duties is None:
            raise Refused(404, NO_DUTIES)
        if not duties.resign(name):
            raise Refused(409, f"{name!r} is not held here")
        return {"resigned": name}
