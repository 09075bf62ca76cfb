"""Health checks, which are sent only for their load reports."""

from __future__ import annotations

from violetstack.policy_api import HealthCheckResult, SendHealthCheck, StartTimer
from violetstack.tracking import timer_tokens
from violetstack.tracking.state import PolicyState

INTERVAL_MS = 500.0


class HealthChecks:
    """Checks the usable endpoints in turn, one in each interval."""

    def __init__(self, state: PolicyState) -> None:
        """Checks the endpoints of this state."""
        self._state = state
        self._sent = 0

    def start(self) -> None:
        """Starts the checks if the settings allow them and they carry load reports."""
        settings = self._state.settings
        if settings.health_checks_report_load and settings.health_checks_allowed:
            self._state.act(StartTimer(INTERVAL_MS, timer_tokens.HEALTH_CHECK))

    def send_next(self) -> None:
        """Checks the next endpoint."""
        state = self._state
        endpoints = [endpoint for endpoint in state.endpoints.by_name.values() if endpoint.usable]
        if endpoints:
            self._sent += 1
            state.act(SendHealthCheck(endpoints[self._sent % len(endpoints)].name))
        state.act(StartTimer(INTERVAL_MS, timer_tokens.HEALTH_CHECK))

    def on_result(self, event: HealthCheckResult) -> None:
        """Records the load report; the outcome of the check is ignored."""
        endpoint = self._state.endpoints.by_name.get(event.server)
        if endpoint is not None:
            self._state.load.add_report(endpoint, event.load_report, self._state.now)
