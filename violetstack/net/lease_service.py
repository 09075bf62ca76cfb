"""Runs a lease node: its timers, its datagrams over the gossip socket, and its lines in the log."""

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
from violetstack.policy_api import OutlierCheckResult, Settings

MAX_SLEEP_MS = 1_000.0  # how late at most a change of eligibility is noticed
PERMIT_POLL_S = 0.02
INCARNATION_BITS = 20
MAX_KEY_BYTES = 64  # of a BLAKE2b key


class LeaseTransport(Protocol):
    """Sends datagrams to the other dispatchers of the tier."""

    def broadcast(self, payload: bytes) -> None:
        """Send to all."""

    def send(self, peer: int, payload: bytes) -> None:
        """Send to one."""


class LeaseService:
    """Runs one dispatcher's lease node, with the outlier checks and restart permits that are configured.

    Attributes:
        node: The lease node.
        restart_permits: This dispatcher's requests for a restart permit; None if they are not configured.
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
        """Start a node; `run` has to be started as well.

        Args:
            config: The operator's settings.
            core: Gets the results of outlier checks, and reports attempts to them.
            transport: Sends datagrams; those received go to `receive`.
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
            self._outlier_checks.endpoints_listed(now_ms(), core.endpoints)
            core.use_outlier_observer(self._outlier_checks)
        self.restart_permits: RestartPermits | None = None
        if config.restart_permits:
            self.restart_permits = RestartPermits(self.node, config.restart_permits)
        self._woken = trio.Event()

    # --- timers and datagrams ---

    async def run(self) -> None:
        """Run the node's timers until cancelled."""
        while True:
            self._woken = trio.Event()
            # A lease that ran out while the process was paused is over before anything else is decided.
            await self._pause_detector.wait_caught_up()
            now = now_ms()
            if self.restart_permits is not None:
                self.restart_permits.tick(now)
            checks_at = inf if self._outlier_checks is None else self._outlier_checks.tick(now)
            self._tick()
            wake_at = min(now + MAX_SLEEP_MS, checks_at, self.node.next_tick_at(now))
            with trio.move_on_after(max(0.0, wake_at - now_ms()) / 1000.0):
                await self._woken.wait()

    def _tick(self) -> None:
        self.node.set_eligible(now_ms(), self._is_eligible())
        for receiver, data in self.node.tick(now_ms()):
            if receiver == ALL_PEERS:
                self._transport.broadcast(data)
            else:
                self._transport.send(receiver, data)

    def receive(self, sender: int, data: bytes) -> bool:
        """Take a datagram of a dispatcher; returns whether it was about leases."""
        if not is_lease_datagram(data):
            return False
        try:
            self.node.receive(now_ms(), sender, data)
        except InvalidDatagramError as error:
            log_rate_limited("lease_datagram_rejected", sender=sender, reason=str(error))
        self._woken.set()
        return True

    # --- LeaseObserver and OutlierCheckListener ---

    def lease_changed(self, name: str, change: HolderChange) -> None:
        """Log that this node acquired or lost a lease."""
        event = "lease_acquired" if change.held else "lease_lost"
        log(event, name=name, fencing_token=change.fencing_token, reason=change.reason)

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        """Pass a broadcast to the outlier checks, which are the only ones to use them."""
        if self._outlier_checks is not None:
            self._outlier_checks.broadcast_received(now, broadcast)

    def broadcast_rejected(self, sender: int, fencing_token: int, newest_token: int) -> None:
        """Log an outdated broadcast."""
        log("lease_broadcast_rejected", sender=sender, fencing_token=fencing_token, newest_token=newest_token)

    def outlier_check_result(self, result: OutlierCheckResult) -> None:
        """Pass a result to the policy."""
        self._core.outlier_check_updated(result)

    def outlier_check_started(self, host: str) -> None:
        """Log that this dispatcher checks a host."""
        log("outlier_check_started", server=host)

    def outlier_check_passed(self, host: str) -> None:
        """Log that a host has passed this dispatcher's check."""
        log("outlier_check_passed", server=host)

    # --- the admin API and the daemon's shutdown ---

    def views(self) -> list[LeaseView]:
        """Describe each lease that this dispatcher wants."""
        return self.node.views(now_ms())

    def resign(self, name: str) -> bool:
        """Release a lease and leave it to others for a while; return False if it is not held here."""
        resigned = self.node.resign(now_ms(), name)
        self._woken.set()
        return resigned

    def request_restart_permit(self) -> str | None:
        """Request a permit to restart, or repeat the request.

        Returns:
            None if this dispatcher may restart: it then has a permit, or needs none. Else why it may not.
        """
        if self.restart_permits is None:
            return None
        self.restart_permits.request(now_ms())
        self._woken.set()
        if self.restart_permits.held_permit(now_ms()) is not None:
            return None
        return self.restart_permits.denial_reason(now_ms())

    async def shut_down(self) -> None:
        """Wait for a restart permit for as long as configured, then release all other leases."""
        keep = frozenset[str]()
        if self.restart_permits is not None:
            await self._await_restart_permit(self.restart_permits)
            keep = frozenset(self.restart_permits.names)
        self.node.shut_down(now_ms(), keep)
        self._woken.set()

    async def _await_restart_permit(self, permits: RestartPermits) -> None:
        started = trio.current_time()
        denial = self.request_restart_permit()
        while denial is not None and trio.current_time() < started + self._config.restart_permit_wait_s:
            await trio.sleep(PERMIT_POLL_S)
            denial = self.request_restart_permit()
        waited_ms = round((trio.current_time() - started) * 1000.0)
        permit = permits.held_permit(now_ms())
        permits.keep_until_exit()
        if permit is not None:
            log("restart_permit_acquired", permit=permit, waited_ms=waited_ms)
        else:
            log("restart_permit_denied", waited_ms=waited_ms, reason=denial)


def _node_settings(config: LeaseConfig, settings: Settings) -> NodeSettings:
    return NodeSettings(
        number=settings.dispatcher_index,
        fleet_size=settings.dispatcher_count,
        incarnation=secrets.randbits(INCARNATION_BITS),
        duration_ms=config.lease_s * 1000.0,
        keys=tuple(key.encode()[:MAX_KEY_BYTES] for key in config.keys),
        datagrams_per_s=config.datagrams_per_s,
    )
