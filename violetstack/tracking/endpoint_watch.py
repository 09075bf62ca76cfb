"""The watch of the endpoint list, where it does not come by itself."""

from __future__ import annotations

from violetstack.policy_api import SetWatch, StartTimer
from violetstack.tracking import timer_tokens
from violetstack.tracking.state import PolicyState

RETRY_MS = 500.0  # and up to as much again at random


class EndpointWatch:
    """Starts the watch, and starts it again after a failure."""

    def __init__(self, state: PolicyState) -> None:
        """Watch as the settings of this state say."""
        self._state = state

    def start(self) -> None:
        """Ask for the list and its changes."""
        if self._state.settings.watch_required:
            self.restart()

    def on_failure(self) -> None:
        """The list could not be had: ask again later."""
        state = self._state
        if state.settings.watch_required:
            delay_ms = RETRY_MS * (1.0 + state.rng.random())
            state.act(StartTimer(delay_ms, timer_tokens.WATCH_RETRY))

    def restart(self) -> None:
        """The time to ask again has come."""
        self._state.act(SetWatch(True))
