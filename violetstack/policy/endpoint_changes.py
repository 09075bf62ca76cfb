"""Consequences of a change of the endpoint list."""

from __future__ import annotations

from violetstack.policy.decode_slots import DecodeSlots
from violetstack.policy_api import CancelAttempt, EndpointUpdate
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.in_flight import InFlightTracker
from violetstack.tracking.state import PolicyState


class EndpointChanges:
    """Applies changes of the endpoint list, and moves work away from draining and removed endpoints."""

    def __init__(self, state: PolicyState, slots: DecodeSlots, tracker: InFlightTracker) -> None:
        """Changes the endpoints of this state."""
        self._state = state
        self._slots = slots
        self._tracker = tracker

    def on_update(self, update: EndpointUpdate) -> None:
        """Applies a change of the list."""
        state = self._state
        for endpoint in state.endpoints.apply(update, state.now):
            if endpoint.has_load:
                self._evacuate(endpoint)
        state.endpoints.discard_removed()

    def _evacuate(self, endpoint: TrackedEndpoint) -> None:
        """Rule 3: drops the reservations there, and cancels prefills at a removed host."""
        state = self._state
        holders = [state.requests[id_] for id_ in endpoint.reservations if id_ in state.requests]
        for request in holders:
            self._tracker.drop_reservation(request)
            if not request.done and request.in_flight:
                attempt = next(iter(request.in_flight.values()))
                self._slots.reserve(request, attempt.endpoint)
        if not endpoint.removed or not state.settings.cancellation_allowed:
            return
        for attempt in endpoint.in_flight.values():
            if attempt.is_prefill and not attempt.request.done:
                state.act(CancelAttempt(attempt.request.id, attempt.number))
