"""Runs a lease node: drives its timers, exchanges its datagrams and logs its changes."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from math import inf
from typing import Protocol

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.lease.candidacy import LeaseView
from violetstack.lease.errors import InvalidDatagramError
from violetstack.lease.messages import is_lease_datagram
from violetstack.lease.node import LeaseNode, NodeSettings
from violetstack.lease.observer import Broadcast
from violetstack.lease.outbox import ALL_PEERS
from violetstack.lease.outlier_checks import OutlierChecks
from violetstack.lease.proposer import HolderChange
from violetstack.lease.restart_permits import RestartPermits
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.pause_detector import PauseDetector
from violetstack.operator_config import LeaseConfig
from violetstack.policy_api import EndpointUpdate, OutlierCheckResult, Settings, UpdateScope

MAX_SLEEP_MS = 1_000.0  # the longest time until a change of eligibility is noticed
PERMIT_POLL_S = 0.02
INCARNATION_BITS = 20
MAX_KEY_BYTES = 64  # maximum length of a BLAKE2b key


class LeaseTransport(Protocol):
    """Sends datagrams to the other dispatchers of the tier."""

    def broadcast(self, payload: bytes) -> None:
        """Sends a datagram to all dispatchers."""

    def send(self, peer: int, payload: bytes) -> None:
        """Sends a datagram to one dispatcher."""


class LeaseService:
    """Runs the lease node of a dispatcher, and its outlier checks and restart permits if configured.

    Attributes:
        node: The lease node.
        restart_permits: Requests restart permits for this dispatcher; None if they are not configured.
    """

    def __init__(
        self,
        config: LeaseConfig,
        core: Dispatcher,
        transport: LeaseTransport,
        pause_detector: PauseDetector,
        *,
        is_eligible: Callable[[], bool],
        is_suspect: Callable[[str], bool],
    ) -> None:
        """Creates the node; `run` drives it.

        Args:
            config: The leases section of the operator's file.
            core: Receives the results of outlier checks, and reports attempts to the checks.
            transport: Sends datagrams. Received ones are passed to `receive`.
            pause_detector: Delays decisions after a pause of the process.
            is_eligible: Whether this dispatcher may acquire leases now.
            is_suspect: Whether the policy has evidence against a host.
        """
        self._config = config
        self._core = core
        self._transport = transport
        self._pause_detector = pause_detector
        self._is_eligible = is_eligible
        settings = _node_settings(config, core.settings)
        rng = random.Random(f"{core.settings.seed} {settings.incarnation}")
        self.node = LeaseNode(now_ms(), settings, rng=rng, observer=self)
        self._outlier_checks: OutlierChecks | None = None
        if config.outlier_checks:
            self._outlier_checks = OutlierChecks(self.node, is_suspect, self)
            listed = EndpointUpdate(UpdateScope.CACHED, tuple(core.endpoints.values()), 0)
            self._outlier_checks.endpoints_updated(now_ms(), listed)
            core.use_outlier_observer(self._outlier_checks)
        self.restart_permits: RestartPermits | None = None
        if config.restart_permits:
            self.restart_permits = RestartPermits(self.node, config.restart_permits)
        self._wake_up = trio.Event()

    # --- timers and datagrams ---

    async def run(self) -> None:
        """Runs the timers of the node until cancelled."""
        while True:
            self._wake_up = trio.Event()
            # A lease that expired during a pause of the process must end before any other decision.
            await self._pause_detector.wait_caught_up()
            now = now_ms()
            if self.restart_permits is not None:
                self.restart_permits.tick(now)
            checks_at = inf if self._outlier_checks is None else self._outlier_checks.tick(now)
            self._tick()
            wake_at = min(now + MAX_SLEEP_MS, checks_at, self.node.next_tick_at(now))
            with trio.move_on_after(max(0.0, wake_at - now_ms()) / 1000.0):
                await self._wake_up.wait()

    def _tick(self) -> None:
        self.node.set_eligible(now_ms(), self._is_eligible())
        for receiver, data in self.node.tick(now_ms()):
            if receiver == ALL_PEERS:
                self._transport.broadcast(data)
            else:
                self._transport.send(receiver, data)

    def receive(self, sender: int, data: bytes) -> bool:
        """Handles a datagram of another dispatcher if it is about leases; returns whether it is."""
        if not is_lease_datagram(data):
            return False
        try:
            self.node.receive(now_ms(), sender, data)
        except InvalidDatagramError as error:
            log_rate_limited("lease_datagram_rejected", sender=sender, reason=str(error))
        self._wake_up.set()
        return True

    # --- LeaseObserver and OutlierCheckListener ---

    def lease_changed(self, name: str, change: HolderChange) -> None:
        """Logs that this node acquired or lost a lease."""
        event = "lease_acquired" if change.held else "lease_lost"
        log(event, name=name, fencing_token=change.fencing_token, reason=change.reason)

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        """Passes a broadcast to the outlier checks, the only users of broadcasts."""
        if self._outlier_checks is not None:
            self._outlier_checks.broadcast_received(now, broadcast)

    def broadcast_rejected(self, sender: int, fencing_token: int, newest_token: int) -> None:
        """Logs an outdated broadcast."""
        log("lease_broadcast_rejected", sender=sender, fencing_token=fencing_token, newest_token=newest_token)

    def outlier_check_result(self, result: OutlierCheckResult) -> None:
        """Passes a result to the policy."""
        self._core.outlier_check_updated(result)

    def outlier_check_started(self, host: str) -> None:
        """Logs that this dispatcher checks a host."""
        log("outlier_check_started", server=host)

    def outlier_check_passed(self, host: str) -> None:
        """Logs that a host passed the check of this dispatcher."""
        log("outlier_check_passed", server=host)

    # --- admin API and shutdown of the daemon ---

    def views(self) -> list[LeaseView]:
        """Returns the state of each lease that this dispatcher competes for."""
        return self.node.views(now_ms())

    def resign(self, name: str) -> bool:
        """Releases a lease and does not acquire it for a while; returns False if it is not held here."""
        resigned = self.node.resign(now_ms(), name)
        self._wake_up.set()
        return resigned

    def request_restart_permit(self) -> str | None:
        """Requests a restart permit, or repeats the request.

        Returns:
            None if this dispatcher may restart, because it has a permit or needs none; otherwise the reason
            why it may not.
        """
        if self.restart_permits is None:
            return None
        self.restart_permits.request(now_ms())
        self._wake_up.set()
        if self.restart_permits.held_permit(now_ms()) is not None:
            return None
        return self.restart_permits.denial_reason(now_ms())

    async def shut_down(self) -> None:
        """Waits for a restart permit for up to the configured time, then releases all other leases."""
        kept_leases = frozenset[str]()
        if self.restart_permits is not None:
            await self._await_restart_permit(self.restart_permits)
            kept_leases = frozenset(self.restart_permits.names)
        self.node.shut_down(now_ms(), kept_leases)
        self._wake_up.set()

    async def _await_restart_permit(self, permits: RestartPermits) -> None:
        started = trio.current_time()
        denial_reason = self.request_restart_permit()
        while (
            denial_reason is not None and trio.current_time() < started + self._config.restart_permit_wait_s
        ):
            await trio.sleep(PERMIT_POLL_S)
            denial_reason = self.request_restart_permit()
        waited_ms = round((trio.current_time() - started) * 1000.0)
        permit = permits.held_permit(now_ms())
        permits.keep_until_exit()
        if permit is not None:
            log("restart_permit_acquired", permit=permit, waited_ms=waited_ms)
        else:
            log("restart_permit_denied", waited_ms=waited_ms, reason=denial_reason)


def _node_settings(config: LeaseConfig, settings: Settings) -> NodeSettings:
    return NodeSettings(
        number=settings.dispatcher_index,
        fleet_size=settings.dispatcher_count,
        incarnation=secrets.randbits(INCARNATION_BITS),
        duration_ms=config.lease_s * 1000.0,
        keys=tuple(key.encode()[:MAX_KEY_BYTES] for key in config.keys),
        datagrams_per_s=config.datagrams_per_s,
    )
