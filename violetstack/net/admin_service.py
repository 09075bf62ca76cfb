"""Implements the admin API on a running dispatcher: metrics, cordons and leases."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import trio

from violetstack.admin.errors import NotRecordedError, RequestRejectedError
from violetstack.admin.metrics import kinds_without_healthy_endpoint, stats_response
from violetstack.admin.responses import (
    InvariantsResponse,
    LeaseRow,
    LeasesResponse,
    ResignResponse,
    RestartPermitResponse,
    StatsResponse,
)
from violetstack.core.invariants import Rule
from violetstack.log import dropped_lines, log
from violetstack.net.clock import now_ms
from violetstack.net.downstream.closing import Violation
from violetstack.policy_api import EndpointUpdate

if TYPE_CHECKING:
    from violetstack.admin.cordons import Cordons
    from violetstack.config import Config
    from violetstack.core.dispatcher import Dispatcher
    from violetstack.lease.candidacy import LeaseView
    from violetstack.net.downstream.listener import Listener
    from violetstack.net.handover import HandoverService
    from violetstack.net.lease_service import LeaseService
    from violetstack.policy.router import Router

LEASES_NOT_CONFIGURED = "no duties are configured here (`duties` in the operator's file)"
PERMITS_NOT_CONFIGURED = "`leave` is not set in `duties`"
NOT_STARTED = "this process has not started yet"


class AdministeredDaemon(Protocol):
    """The part of a daemon that the admin service uses."""

    config: Config
    cordons: Cordons | None
    leases: LeaseService | None
    listeners: list[Listener]

    @property
    def core(self) -> Dispatcher:
        """The request state machine."""

    @property
    def router(self) -> Router:
        """The policy."""

    @property
    def started(self) -> bool:
        """Whether the endpoint list is known."""

    @property
    def accepting(self) -> bool:
        """Whether client requests are accepted."""

    @property
    def stop(self) -> trio.Event:
        """Set to shut the daemon down."""

    @property
    def handover(self) -> HandoverService | None:
        """Writes the handover record for other processes of this dispatcher."""

    def publish(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Passes an update of the endpoint list to the connection pool and the core."""


class AdminService:
    """Implements `violetstack.admin.api.AdminOperations` on a daemon."""

    def __init__(self, daemon: AdministeredDaemon) -> None:
        """Creates a service that operates on `daemon`."""
        self._daemon = daemon

    @property
    def started(self) -> bool:
        """Whether the endpoint list is known."""
        return self._daemon.started

    @property
    def accepting(self) -> bool:
        """Whether client requests are accepted."""
        return self._daemon.accepting

    def stats(self) -> StatsResponse:
        """Returns the current metrics."""
        daemon = self._daemon
        return stats_response(
            daemon.core.metrics,
            [spec.name for spec in daemon.config.settings_message.classes],
            listed_endpoints=len(daemon.core.endpoints),
            avoided_endpoints=daemon.router.state.endpoints.unavailable(now_ms()),
        )

    def invariants(self) -> InvariantsResponse:
        """Returns how often this process has violated each invariant."""
        violations = self._daemon.core.invariants.violations
        return InvariantsResponse(
            {rule.value: violations[rule] for rule in Rule},
            dropped_lines(),
            {kind.value: self._violation_count(kind) for kind in Violation},
            self._daemon.core.hold_summary(now_ms()),
        )

    def _violation_count(self, kind: Violation) -> int:
        return sum(listener.closes.violations[kind] for listener in self._daemon.listeners)

    # --- cordons ---

    def cordon(self, endpoint_id: str) -> None:
        """Cordons an endpoint.

        Raises:
            UnknownEndpointError: No listed or cordoned endpoint has this id.
            TooManyCordonsError: The number of cordons has reached its limit.
            NotRecordedError: The record for a successor process could not be written.
        """
        cordons = self._cordons
        self._apply_change(cordons, lambda now: cordons.cordon(now, endpoint_id))

    def uncordon(self, endpoint_id: str) -> None:
        """Ends a cordon.

        Raises:
            UnknownEndpointError: No listed or cordoned endpoint has this id.
            NotRecordedError: The record for a successor process could not be written.
        """
        cordons = self._cordons
        self._apply_change(cordons, lambda now: cordons.uncordon(now, endpoint_id))

    @property
    def _cordons(self) -> Cordons:
        cordons = self._daemon.cordons
        if cordons is None:
            raise RequestRejectedError(503, NOT_STARTED)
        return cordons

    def _apply_change(self, cordons: Cordons, change: Callable[[float], EndpointUpdate]) -> None:
        """Changes cordons and records them for a successor process; undoes the change if that fails."""
        daemon = self._daemon
        before = dict(cordons.records)
        update = change(now_ms())
        if cordons.records == before:
            return
        if daemon.handover is not None:
            try:
                daemon.handover.write_record()
            except NotRecordedError:
                cordons.records = before
                raise
        daemon.publish(update, {})
        kinds = tuple(daemon.config.settings_message.kinds or ())
        missing = kinds_without_healthy_endpoint(daemon.core.endpoints.values(), kinds)
        log("hosts_cordoned", out=cordons.active, by="call", none_left=missing)

    # --- leases ---

    def leases(self) -> LeasesResponse:
        """Returns the leases of the tier that this dispatcher knows.

        Raises:
            RequestRejectedError: No leases are configured.
        """
        service = self._lease_service
        node = service.node
        now = now_ms()
        return LeasesResponse(
            dispatcher=node.number,
            eligible=node.eligible,
            acceptors=list(node.acceptors),
            grants=None if node.acceptor is None else node.acceptor.is_ready(now),
            datagrams_sent=node.outbox.datagrams_sent,
            bytes_sent=node.outbox.bytes_sent,
            leases=[_lease_row(view, now) for view in service.views()],
        )

    def request_restart(self) -> RestartPermitResponse:
        """Requests a restart permit; if it is granted, shuts the process down as SIGTERM does.

        Raises:
            RequestRejectedError: The permit is not granted yet, or permits are not configured.
        """
        service = self._lease_service
        if service.restart_permits is None:
            raise RequestRejectedError(404, PERMITS_NOT_CONFIGURED)
        denial_reason = service.request_restart_permit()
        if denial_reason is not None:
            raise RequestRejectedError(503, denial_reason, [("Retry-After", "1")])
        self._daemon.stop.set()
        return RestartPermitResponse()

    def resign(self, lease_name: str) -> ResignResponse:
        """Releases a lease.

        Raises:
            RequestRejectedError: The lease is not held here, or no leases are configured.
        """
        if not self._lease_service.resign(lease_name):
            raise RequestRejectedError(409, f"{lease_name!r} is not held here")
        return ResignResponse(lease_name)

    @property
    def _lease_service(self) -> LeaseService:
        service = self._daemon.leases
        if service is None:
            raise RequestRejectedError(404, LEASES_NOT_CONFIGURED)
        return service


def _lease_row(view: LeaseView, now: float) -> LeaseRow:
    return LeaseRow(
        name=view.name,
        holder=view.holder,
        held_here=view.held_here,
        fencing_token=view.fencing_token,
        remaining_ms=round(view.remaining_ms),
        reason=view.reason,
        changed_ms_ago=None if view.changed_at is None else round(now - view.changed_at),
    )
