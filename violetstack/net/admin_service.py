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
    from violetstack.net.handover import HandoverService
    from violetstack.net.lease_service import LeaseService
    from violetstack.router import Router

NO_DUTIES = "no duties are configured here (`duties` in the operator's file)"


class AdministeredDaemon(Protocol):
    """What the admin service reads and calls of a daemon."""

    config: Config
    core: Dispatcher
    router: Router
    cordons: Cordons | None
    leases: LeaseService | None

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
    def handover(self) -> HandoverService | None:
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
                daemon.handover.write_record()
            except NotRecorded:
                daemon.cordons.marks = before
                raise
        daemon.news(news, {})
        left = kinds_without(
            daemon.core.endpoints.values(), tuple(daemon.config.settings_message.kinds or ())
        )
        log("hosts_cordoned", out=daemon.cordons.out, by="call", none_left=left)

    # --- leases ---

    def duties(self) -> dict[str, Any]:
        leases = self._daemon.leases
        if leases is None:
            raise Refused(404, NO_DUTIES)
        node = leases.node
        now = now_ms()
        rows = [
            {
                "name": row.name,
                "holder": row.holder,
                "mine": row.held_here,
                "number": row.fencing_token,
                "left_ms": round(row.remaining_ms),
                "why": row.reason,
                "since_ms": None if row.changed_at is None else round(now - row.changed_at),
            }
            for row in leases.views()
        ]
        ready = None if node.acceptor is None else node.acceptor.is_ready(now)
        return {
            "me": node.number,
            "fit": node.eligible,
            "electors": list(node.acceptors),
            "speaks": ready,
            "datagrams": node.outbox.datagrams_sent,
            "bytes": node.outbox.bytes_sent,
            "duties": rows,
        }

    def leave(self) -> dict[str, Any]:
        """The yes ends this process, as SIGTERM would."""
        leases = self._daemon.leases
        if leases is None or leases.restart_permits is None:
            raise Refused(404, NO_DUTIES if leases is None else "`leave` is not set in `duties`")
        why = leases.request_restart_permit()
        if why is not None:
            raise Refused(503, why, [("Retry-After", "1")])
        self._daemon.stop.set()
        return {"leave": "given"}

    def resign(self, name: str) -> dict[str, Any]:
        leases = self._daemon.leases
        if leases is None:
            raise Refused(404, NO_DUTIES)
        if not leases.resign(name):
            raise Refused(409, f"{name!r} is not held here")
        return {"resigned": name}
