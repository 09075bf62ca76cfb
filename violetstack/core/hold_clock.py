"""Follows what hosts hold for each request, and tells while something is held too long."""

from __future__ import annotations

from violetstack.core.invariants import HELD_STATE_SLACK_MS
from violetstack.core.records import OpenRequest
from violetstack.core.remote_hold import HoldEvent
from violetstack.core.state import DispatcherState

RELEASE_TIME_MS = 100.0
"""What is held is released this long before it has to be, since the first host asked may not answer."""


class HoldClock:
    """Applies events to the holds of requests, and runs a timer for each hold whose clock runs."""

    def __init__(self, state: DispatcherState) -> None:
        """Creates it for a dispatcher's state."""
        self._state = state

    def apply(self, now: float, request: OpenRequest, event: HoldEvent) -> None:
        """Takes an event into account, and times the hold anew where its clock has changed."""
        hold = request.hold
        since = hold.since
        hold.apply(now, event)
        if hold.since != since:
            self._schedule(request)

    def _schedule(self, request: OpenRequest) -> None:
        timers = self._state.timers
        timers.cancel(request.hold_timer)
        request.hold_timer = None
        since = request.hold.since
        retention_ms = self._state.settings.state_retention_ms
        if since is not None and retention_ms:
            due_at = since + retention_ms - RELEASE_TIME_MS
            request.hold_timer = timers.schedule(due_at, lambda at: self._due(at, request))

    def _due(self, now: float, request: OpenRequest) -> None:
        """What is held has to be released now."""
        hold = request.hold
        assert hold.since is not None
        self._state.driver.log(
            "hold_unclaimed",
            id=request.id,
            state=hold.state.value,
            since_ms=round(now - hold.since),
            cause=hold.cause.value if hold.cause is not None else "",
            attempts=[
                (each.server, each.request_written, round(now - each.sent_at))
                for each in request.in_flight.values()
            ],
            places=[(each.server, each.outcome.value) for each in request.reservation_log],
        )
        overdue_at = hold.since + self._state.settings.state_retention_ms + HELD_STATE_SLACK_MS
        request.hold_timer = self._state.timers.schedule(overdue_at, lambda at: self._overdue(at, request))

    def _overdue(self, now: float, request: OpenRequest) -> None:
        """Nobody has taken over or released what is held."""
        request.hold_timer = None
        self._state.invariants.held_too_long(now, request)
