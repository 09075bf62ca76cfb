"""The watch of the endpoint list, for settings in which no agent pushes it."""

from __future__ import annotations

from violetstack.policy_api import SetWatch, StartTimer
from violetstack.tracking import timer_tokens
from violetstack.tracking.state import PolicyState

RETRY_MS = 500.0  # plus up to as much again at random


class EndpointWatch:
    """Starts the watch, and restarts it after a failure."""

    def __init__(self, state: PolicyState) -> None:
        """Watches if the settings of this state require it."""
        self._state = state

    def start(self) -> None:
        """Opens the watch if it is required."""
        if self._state.settings.watch_required:
            self.restart()

    def on_failure(self) -> None:
        """Schedules a restart, since the list could not be fetched."""
        state = self._state
        if state.settings.watch_required:
            delay_ms = RETRY_MS * (1.0 + state.rng.random())
            state.act(StartTimer(delay_ms, timer_tokens.WATCH_RETRY))

    def restart(self) -> None:
        """Opens the watch."""
        self._state.act(SetWatch(True))
