"""Reservation of decode slots while requests are prefilled."""

from __future__ import annotations

from violetstack.policy.placement import Placement
from violetstack.policy_api import ReservationResult, ReserveDecodeSlot
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.in_flight import InFlightTracker
from violetstack.tracking.request import RequestState
from violetstack.tracking.state import PolicyState

MAX_HOSTS_TRIED = 3  # reservation attempts during one prefill


class DecodeSlots:
    """Reserves a decode slot for a request, trying one host after another."""

    def __init__(self, state: PolicyState, placement: Placement, tracker: InFlightTracker) -> None:
        """Reserves at the hosts that `placement` chooses."""
        self._state = state
        self._placement = placement
        self._tracker = tracker

    def reserve(self, request: RequestState, prefill_host: TrackedEndpoint) -> None:
        """Requests a slot at the freest decode host that has not been tried."""
        if len(request.slot.hosts_tried) >= MAX_HOSTS_TRIED:
            return
        host = self._placement.choose_decode_host(request, prefill_host)
        if host is None:
            return
        self._tracker.add_reservation(request, host)
        self._state.act(ReserveDecodeSlot(request.id, host.name))

    def on_result(self, event: ReservationResult) -> None:
        """Records the result of a reservation, and tries the next host if it was refused.

        The event names the prefill attempt and its host, so it applies to the latest slot.
        """
        request = self._state.requests.get(event.id)
        if request is None or request.slot.host is None or event.attempt not in request.in_flight:
            return
        if event.reserved:
            request.slot.reserved = True
            return
        host = request.slot.host
        refused_share = request.tokens / host.memory_tokens(self._state.now)
        host.statistics.penalty.add(self._state.now, refused_share)
        self._tracker.drop_reservation(request)
        prefills = [attempt for attempt in request.in_flight.values() if attempt.is_prefill]
        if prefills and not request.done:
            self.reserve(request, prefills[0].endpoint)
