"""Carries out the core's commands to model hosts and to the other dispatchers."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt, ReleaseCall, ReservationCall
from violetstack.log import log, log_rate_limited
from violetstack.net.upstream.attempts import AttemptRunner, WaitWritable
from violetstack.net.upstream.connection_pool import ConnectionPool
from violetstack.net.upstream.health_check import HealthChecker
from violetstack.net.upstream.reservation import ReservationCaller
from violetstack.net.upstream.response_reader import MigrateStream
from violetstack.net.upstream.state_release import StateReleaser
from violetstack.net.upstream.stream_progress import StreamPosition

RATE_LIMITED_EVENTS = frozenset(
    {"policy", "hold_unclaimed", "reservation_uncertain", "release_started", "release_taken"}
)
"""Events that other dispatchers or hosts can cause any number of times."""


def _no_gossip(payload: bytes, /) -> None:
    """Drops a datagram: gossip is disabled, or not started yet."""


class UpstreamDriver:
    """The core's `Driver`. Core and driver refer to each other: `connect_core` completes the driver."""

    attempts: AttemptRunner
    _reservations: ReservationCaller
    _releases: StateReleaser
    _health_checks: HealthChecker

    def __init__(self, nursery: trio.Nursery, pool: ConnectionPool, report_fields: tuple[str, ...]) -> None:
        self.pool = pool
        self.gossip: Callable[[bytes], None] = _no_gossip
        self._nursery = nursery
        self._report_fields = report_fields

    def connect_core(self, core: Dispatcher) -> None:
        """Creates the parts that need the core; called once, before the core runs."""
        self._releases = StateReleaser(core, self.pool)
        self.attempts = AttemptRunner(self._nursery, core, self.pool, self._releases, self._report_fields)
        self._reservations = ReservationCaller(core, self.pool, self.attempts.request_sent_waiter)
        self._health_checks = HealthChecker(core, self.pool, self._report_fields)

    # --- the core's Driver ---

    def start_attempt(self, attempt: Attempt) -> None:
        """Starts a task that runs the attempt."""
        self.attempts.start(attempt)

    def abort_attempt(self, attempt: Attempt) -> None:
        """Closes the attempt's connection at once."""
        self.attempts.abort(attempt)

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Whether the attempt's last byte has left this machine; True if that is unknown."""
        return self.attempts.is_fully_sent(attempt)

    def is_acknowledged(self, attempt: Attempt) -> bool:
        """Whether the host has acknowledged every byte of the attempt; True if that is unknown."""
        return self.attempts.is_acknowledged(attempt)

    def reserve_decode_slot(self, call: ReservationCall) -> None:
        """Starts a task that makes a reservation call."""
        self._nursery.start_soon(self._reservations.run, call)

    def release_state(self, call: ReleaseCall) -> None:
        """Starts a task that makes a release call."""
        self._releases.register(call)
        self._nursery.start_soon(self._releases.run, call)

    def check_health(self, server: str) -> None:
        """Starts a task that makes a health check."""
        self._nursery.start_soon(self._health_checks.run, server)

    def send_gossip(self, payload: bytes, /) -> None:
        """Sends a datagram to the other dispatchers."""
        self.gossip(payload)

    def log(self, event: str, **fields: Any) -> None:
        """Writes a log line, rate-limited for events that other machines can cause."""
        (log_rate_limited if event in RATE_LIMITED_EVENTS else log)(event, **fields)

    # --- for the daemon ---

    def has_unread_input(self) -> bool:
        """Whether any socket holds response bytes that were not read."""
        return self.attempts.has_unread_input()

    def adopt_stream(
        self, attempt: Attempt, raw: socket.socket, position: StreamPosition, wait_writable: WaitWritable
    ) -> None:
        """Continues a stream that another process has read up to `position`."""
        self.attempts.adopt(attempt, raw, position, wait_writable)

    def migrate_streams(self, migrate_stream: MigrateStream) -> None:
        """From now on hands all streams over to another process."""
        self.attempts.migrate_streams(migrate_stream)
