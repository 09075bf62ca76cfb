"""Checks of failing hosts by one dispatcher at a time; the result counts for the whole tier.

A dispatcher whose policy has evidence against a host (consecutive failures, its own or gossiped ones)
campaigns for the host's lease. The holder continues to send requests to the host and broadcasts that it is
checking it. While such a broadcast is recent, the other dispatchers that have evidence of their own avoid the
host. The first success ends the check for all of them. A holder that has made no attempt at the host for some
time resigns, so that another dispatcher checks it. A dispatcher that receives no broadcast acts as it does
without leases.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from violetstack.lease.messages import lease_id_of
from violetstack.lease.node import LeaseNode
from violetstack.lease.observer import Broadcast
from violetstack.policy_api import EndpointState, EndpointUpdate, OutlierCheckResult, UpdateScope

LEASE_NAME_PREFIX = "try:"  # hashed into the lease id on the wire, and shown to operators
ANNOUNCEMENT_INTERVAL_SHARE = 1 / 3  # of the lease duration: two announcements may be lost
MAX_IDLE_CHECK_MS = 9_000.0  # without an attempt at the host: three times the duration of a failure's penalty
CHECKING = 0  # broadcast values
SUCCEEDED = 1


class OutlierCheckListener(Protocol):
    """Callbacks for the events of the checks."""

    def outlier_check_result(self, result: OutlierCheckResult) -> None:
        """Called with each result that the policy has to take into account."""

    def outlier_check_started(self, host: str) -> None:
        """Called when this dispatcher starts to check the host."""

    def outlier_check_passed(self, host: str) -> None:
        """Called when the host has answered a request of this dispatcher, which ends the check."""


class Suspect:
    """A host against which the policy has evidence."""

    def __init__(self, now: float) -> None:
        """Creates a suspect whose lease is not held here."""
        self.last_attempt_at = now
        self.next_announcement_at = now
        self.checked_here = False


class OutlierChecks:
    """The part of one dispatcher in the checks. Times are monotonic milliseconds.

    Attributes:
        suspects: The hosts against which this dispatcher's policy has evidence.
    """

    def __init__(
        self, node: LeaseNode, is_suspect: Callable[[str], bool], listener: OutlierCheckListener
    ) -> None:
        """Starts without suspects.

        Args:
            node: The lease node of this dispatcher.
            is_suspect: Returns whether the policy has evidence against a host.
            listener: Receives the events of the checks.
        """
        self._node = node
        self._is_suspect = is_suspect
        self._listener = listener
        self._hosts: dict[int, str] = {}  # listed hosts, by the ids of their leases
        self.suspects: dict[str, Suspect] = {}

    def endpoints_updated(self, now: float, update: EndpointUpdate) -> None:
        """Handles an update of the endpoint list; suspects that are no longer listed are dropped."""
        if update.scope is not UpdateScope.DELTA:
            self._hosts = {}
        for endpoint in update.endpoints:
            lease_id = lease_id_of(lease_name(endpoint.server))
            if endpoint.state is EndpointState.REMOVED:
                self._hosts.pop(lease_id, None)
            else:
                self._hosts[lease_id] = endpoint.server
        for host in list(self.suspects):
            if lease_id_of(lease_name(host)) not in self._hosts:
                self._clear(now, host)

    def attempt_observed(self, now: float, host: str, succeeded: bool) -> None:
        """Handles the outcome of one of this dispatcher's attempts at a host."""
        suspect = self.suspects.get(host)
        if suspect is None:
            return
        suspect.last_attempt_at = now
        if succeeded:
            if self._node.broadcast(now, lease_name(host), SUCCEEDED):
                self._listener.outlier_check_passed(host)
            self._clear(now, host)

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        """Handles a broadcast under any lease; only those under the lease of a listed host have an effect."""
        host = self._hosts.get(broadcast.lease_id)
        if host is None:
            return
        if broadcast.value == SUCCEEDED:
            self._clear(now, host)
            self._listener.outlier_check_result(OutlierCheckResult(host, 0.0, True))
        elif broadcast.value == CHECKING:
            self._listener.outlier_check_result(OutlierCheckResult(host, self._node.duration_ms, False))

    def tick(self, now: float) -> float:
        """Looks for new suspects and announces the checks of this dispatcher.

        Returns:
            When to call `tick` next.
        """
        for host in self._hosts.values():
            if host not in self.suspects and self._is_suspect(host):
                self.suspects[host] = Suspect(now)
                self._node.campaign(lease_name(host))
        for host, suspect in list(self.suspects.items()):
            self._tick_suspect(now, host, suspect)
        return now + self._announcement_interval_ms

    @property
    def _announcement_interval_ms(self) -> float:
        return ANNOUNCEMENT_INTERVAL_SHARE * self._node.duration_ms

    def _tick_suspect(self, now: float, host: str, suspect: Suspect) -> None:
        name = lease_name(host)
        holds = self._node.holds(now, name)
        if holds and not suspect.checked_here:
            suspect.last_attempt_at = now
            suspect.next_announcement_at = now
            self._listener.outlier_check_started(host)
            self._listener.outlier_check_result(OutlierCheckResult(host, 0.0, False))
        suspect.checked_here = holds
        if not self._is_suspect(host):
            self._clear(now, host)
        elif holds and now >= suspect.last_attempt_at + MAX_IDLE_CHECK_MS:
            self._node.resign(now, name)
        elif holds and now >= suspect.next_announcement_at:
            self._node.broadcast(now, name, CHECKING)
            suspect.next_announcement_at = now + self._announcement_interval_ms

    def _clear(self, now: float, host: str) -> None:
        if self.suspects.pop(host, None) is not None:
            self._node.withdraw(now, lease_name(host))


def lease_name(host: str) -> str:
    """Returns the name of the lease under which a host is checked."""
    return f"{LEASE_NAME_PREFIX}{host}"
