"""Records attempts and reservations, and schedules gossip of the load that they cause."""

from __future__ import annotations

from violetstack.policy_api import GOSSIPED_STATUSES, AttemptFinished, Request, StreamStarted
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.gossip_sender import GOSSIP_DELAY_MS, LAZY_GOSSIP_DELAY_MS, GossipSender
from violetstack.tracking.outcomes import record_outcome, record_start
from violetstack.tracking.request import Attempt, RequestState
from violetstack.tracking.state import PolicyState


class InFlightTracker:
    """Creates and removes the records of requests, attempts and reservations."""

    def __init__(self, state: PolicyState, gossip: GossipSender) -> None:
        """Keeps the records in `state`; changes of load are sent by `gossip`."""
        self._state = state
        self._gossip = gossip

    def open_request(self, params: Request) -> RequestState:
        """Creates the record of a request that arrived."""
        state = self._state
        request = RequestState(
            params,
            state.settings.classes[params.class_index],
            state.shortest_objective_ms,
            state.settings.max_attempts,
            state.now,
        )
        state.requests[request.id] = request
        return request

    def close_request(self, request: RequestState) -> None:
        """Removes the record of a request that has no attempt in flight and no state held for it."""
        self._state.requests.pop(request.id, None)

    def add_attempt(self, request: RequestState, host: TrackedEndpoint, *, is_prefill: bool) -> Attempt:
        """Records an attempt that is sent to the host now."""
        state = self._state
        cost = state.load.uncached_prefill_cost(host, request, state.statistics.cache_trust(state.now))
        attempt = Attempt(
            request,
            request.attempts_sent,
            host,
            is_prefill=is_prefill,
            sent_at=state.now,
            expected_cached_tokens=state.endpoints.affinity.expected_cached_tokens(request).get(
                host.name, 0.0
            ),
            prefill_cost=cost,
            cost_at_send=cost + state.load.prefill_cost_in_flight(host),
        )
        request.attempts_sent += 1
        request.in_flight[attempt.number] = attempt
        host.in_flight[(request.id, attempt.number)] = attempt
        if request.id in host.reservations:
            host.statistics.slow_start.take_reserved()
        else:
            host.statistics.slow_start.take()
        self._gossip.schedule()
        return attempt

    def start_stream(self, event: StreamStarted) -> None:
        """Records an attempt's first token; from then on, no state is held for the request elsewhere."""
        request = self._state.requests.get(event.id)
        attempt = None if request is None else request.in_flight.get(event.attempt)
        if attempt is None:
            return
        attempt.started = True
        attempt.request.started = True
        self.drop_held_state(attempt.request)
        record_start(self._state, attempt, event)

    def end_attempt(self, event: AttemptFinished) -> Attempt | None:
        """Records the end of an attempt, and returns the attempt; None if it is unknown."""
        request = self._state.requests.get(event.id)
        attempt = None if request is None else request.in_flight.pop(event.attempt, None)
        if attempt is None:
            return None
        attempt.endpoint.in_flight.pop((event.id, event.attempt), None)
        urgent = attempt.is_prefill or event.status in GOSSIPED_STATUSES
        self._gossip.schedule(GOSSIP_DELAY_MS if urgent else LAZY_GOSSIP_DELAY_MS)
        record_outcome(self._state, attempt, event)
        return attempt

    def add_reservation(self, request: RequestState, host: TrackedEndpoint) -> None:
        """Records that a decode slot is requested at the host."""
        request.slot.hosts_tried.append(host)
        request.slot.host = host
        request.slot.reserved = False
        request.holds_remote_state = True
        host.reservations[request.id] = request.tokens
        host.statistics.slow_start.reserve()
        self._gossip.schedule()

    def drop_reservation(self, request: RequestState) -> None:
        """Removes the request's reservation."""
        host = request.slot.host
        if host is not None:
            if host.reservations.pop(request.id, None) is not None:
                host.statistics.slow_start.cancel_reservation()
            self._gossip.schedule()
        request.slot.host = None
        request.slot.reserved = False

    def drop_held_state(self, request: RequestState) -> None:
        """Records that neither a slot nor prefilled state is held for the request."""
        self.drop_reservation(request)
        request.state_host = None
        request.holds_remote_state = False
