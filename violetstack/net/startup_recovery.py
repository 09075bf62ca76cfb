"""Drives the startup: initial endpoints and estimates, startup phases, and Retry-After times."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from violetstack.estimation.statistics import LEARNING_WINDOW_MS
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.protocol.discovery import EndpointListMessage, ListedEndpoint
from violetstack.recovery.startup_phases import Phase, PhaseChange, StartupPhases

if TYPE_CHECKING:
    from violetstack.handover.learned_state import LearnedState
    from violetstack.net.state_writer import StateWriter
    from violetstack.policy_api import Settings

# A sixth of the time constant of the endpoint load estimator (12 * LEARNING_WINDOW_MS): after that time its
# observations outweigh its prior.
WARM_UP_MS = 2.0 * LEARNING_WINDOW_MS
TIMER_SLACK_S = 0.001  # so that a timer does not fire slightly too early


class StartupRecovery:
    """One start of the daemon, with stored state if there is any."""

    def __init__(self, nursery: trio.Nursery, state_writer: StateWriter | None, settings: Settings) -> None:
        """Starts in the phase without endpoints."""
        self._nursery = nursery
        self._state_writer = state_writer
        self._max_retry_after_ms = settings.max_retry_after_ms
        self._rng = Random(settings.seed)
        self._phases = StartupPhases(now_ms(), WARM_UP_MS)

    @property
    def list_received(self) -> bool:
        """Whether service discovery has sent a non-empty list."""
        return self._phases.phase in (Phase.WARMING_UP, Phase.READY)

    def retry_after_ms(self, usual_ms: float) -> float:
        """Returns after how many milliseconds a rejected client should retry.

        Until a list has been received, the time has jitter, so that clients that were rejected at the same
        moment do not return at the same moment. Without any endpoint it also covers the warm-up.
        """
        if self.list_received or usual_ms <= 0.0:
            return usual_ms
        longest_ms = usual_ms
        if self._phases.phase is Phase.NO_ENDPOINTS:
            longest_ms = max(usual_ms, min(self._max_retry_after_ms, WARM_UP_MS))
        return longest_ms * (0.5 + 0.5 * self._rng.random())

    async def load_endpoints(self, configured: EndpointListMessage) -> EndpointListMessage:
        """Returns the endpoints to start with: the configured ones, merged with the stored ones."""
        endpoints = configured
        if self._state_writer is not None:
            endpoints = await self._state_writer.load_endpoints(configured)
        self._log_change(self._phases.cache_loaded(len(endpoints.servers)))
        return endpoints

    def stored_learned_state(self) -> LearnedState | None:
        """Returns the stored estimates of the previous process, or None if there are no usable ones."""
        return self._state_writer.stored_learned_state() if self._state_writer is not None else None

    def learned_state_restored(self) -> None:
        """Records that the policy uses the estimates of a previous process."""
        self._log_change(self._phases.learned_state_restored())

    def list_changed(
        self, servers: tuple[ListedEndpoint, ...], version: int, *, complete: bool, listed: int
    ) -> None:
        """Records a message of service discovery.

        Args:
            servers: The endpoints in the message.
            version: The version of the list.
            complete: Whether the message is a complete list; otherwise it contains changes.
            listed: Number of endpoints in the list after the message.
        """
        change = self._phases.list_received(now_ms(), listed)
        self._log_change(change)
        ends_at = self._phases.warm_up_ends_at
        if change is not None and ends_at is not None:
            self._nursery.start_soon(self._end_warm_up, ends_at)
        if self._state_writer is not None:
            self._state_writer.store_endpoints(servers, version, complete=complete)

    async def stop(self) -> None:
        """Writes pending state."""
        if self._state_writer is not None:
            await self._state_writer.stop()

    async def _end_warm_up(self, ends_at: float) -> None:
        await trio.sleep(max(0.0, ends_at - now_ms()) / 1000.0 + TIMER_SLACK_S)
        self._log_change(self._phases.tick(now_ms()))

    def _log_change(self, change: PhaseChange | None) -> None:
        if change is not None:
            log("recovery_phase_changed", old=change.old.value, new=change.new.value, reason=change.reason)
