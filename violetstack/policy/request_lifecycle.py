"""The handling of a request from its arrival to its final answer."""

from __future__ import annotations

from violetstack.policy import retry
from violetstack.policy.admission import Admission
from violetstack.policy.decode_slots import DecodeSlots
from violetstack.policy.outliers import OutlierDetection
from violetstack.policy.placement import Placement
from violetstack.policy_api import (
    MAY_HAVE_RUN_STATUSES,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    FailRequest,
    RejectRequest,
    ReleaseState,
    Request,
    ReservationResult,
    Role,
    SendAttempt,
    StartTimer,
    StreamStarted,
)
from violetstack.tracking import timer_tokens
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.in_flight import InFlightTracker
from violetstack.tracking.outcomes import state_was_lost
from violetstack.tracking.request import Attempt, RequestState
from violetstack.tracking.state import PolicyState

RequestEvent = Request | AttemptFinished | StreamStarted | ReservationResult | ClientDisconnected
ANSWER_MARGIN_MS = 10.0  # the final answer is sent this long before the deadline


class RequestLifecycle:
    """Sends attempts, handles their events and decides the one final answer of each request."""

    def __init__(
        self,
        state: PolicyState,
        *,
        admission: Admission,
        placement: Placement,
        slots: DecodeSlots,
        outliers: OutlierDetection,
        tracker: InFlightTracker,
    ) -> None:
        """Handles the requests of this state."""
        self._state = state
        self._admission = admission
        self._placement = placement
        self._slots = slots
        self._outliers = outliers
        self._tracker = tracker

    def handle(self, event: RequestEvent) -> None:
        """Handles an event of one request."""
        match event:
            case Request():
                self._on_request(event)
            case AttemptFinished():
                self._on_attempt_finished(event)
            case StreamStarted():
                self._tracker.start_stream(event)
            case ReservationResult():
                self._slots.on_result(event)
            case ClientDisconnected():
                self._on_client_disconnected(event.id)

    def _on_request(self, params: Request) -> None:
        request = self._tracker.open_request(params)
        self._start_timer(params, timer_tokens.PREFILL_CUTOFF, retry.CUTOFF_MS)
        self._start_timer(params, timer_tokens.FINAL_ANSWER, ANSWER_MARGIN_MS)
        self._start_prefill(request)

    def _start_timer(self, params: Request, kind: str, margin_ms: float) -> None:
        """Starts a timer that fires `margin_ms` before the request's deadline."""
        after_ms = max(0.0, params.expires_in_ms - margin_ms)
        self._state.act(StartTimer(after_ms, timer_tokens.encode(kind, params.id)))

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        """Closes the request, starts its decode, or retries it or gives it up after a failure."""
        attempt = self._tracker.end_attempt(event)
        if attempt is None:
            return
        request = attempt.request
        self._outliers.on_attempt_finished(attempt, event)
        prefilled = event.status is AttemptStatus.PREFILLED
        if event.request_finished or request.done:
            request.done = True
            request.holds_remote_state = request.holds_remote_state or prefilled
            self._close(request)
        elif prefilled:
            request.state_host = attempt.endpoint
            request.holds_remote_state = True
            self._start_decode(request)
        else:
            self._after_failure(request, attempt, event)

    def _on_client_disconnected(self, request_id: str) -> None:
        """Ends the request, whose client no longer waits."""
        request = self._state.requests.get(request_id)
        if request is not None:
            self._finish(request)

    def on_cutoff(self, request_id: str) -> None:
        """Cancels prefills in flight, since no time is left for a decode."""
        request = self._state.requests.get(request_id)
        if request is not None and request.awaits_first_token and request.only_prefills:
            self._cancel_attempts(request)

    def on_deadline(self, request_id: str) -> None:
        """Sends the final answer unless the stream has started."""
        request = self._state.requests.get(request_id)
        if request is not None and request.awaits_first_token:
            self._give_up(request)

    def on_shutdown(self) -> None:
        """Treats every request as if it had reached its deadline, since the process is about to end."""
        for request_id in list(self._state.requests):
            self.on_deadline(request_id)

    def _start_prefill(self, request: RequestState) -> None:
        """Sends the prompt to the freest prefill host, and reserves a decode slot meanwhile."""
        state = self._state
        route = request.route
        if route is not None:
            request.scope = route.active_pool(state.now)
        host = self._placement.choose_prefill_host(request)
        if host is None:
            self._prefill_at_decode_host(request)
            return
        is_prefill = host.role is Role.PREFILL
        if self._admission.rejects(request, host) or (is_prefill and not self._decode_host_exists(request)):
            self._give_up(request)
            return
        quota = state.tenant_quotas.get(request.params.tenant_index)
        if request.attempts_sent == 0 and quota is not None:
            quota.take()
        self._send(request, host, is_prefill=is_prefill)
        reserves_ahead = is_prefill and state.settings.reserve_ahead
        if reserves_ahead and (route is None or route.reservation_allowed(state.now)):
            request.slot.hosts_tried = []
            self._slots.reserve(request, host)

    def _decode_host_exists(self, request: RequestState) -> bool:
        return self._placement.has_candidate(request, is_prefill=False)

    def _prefill_at_decode_host(self, request: RequestState) -> None:
        """Has a decode host prefill the prompt, if the settings allow that; there is no prefill host."""
        allowed = self._state.settings.decode_hosts_prefill
        host = self._placement.choose_decode_host(request, None) if allowed else None
        if host is None:
            self._give_up(request)
        else:
            self._send(request, host, is_prefill=False)

    def _start_decode(self, request: RequestState) -> None:
        """Sends the request to the host of the reserved slot, else to the freest decode host."""
        host = request.slot.host if request.slot.reserved else None
        if host is None or not retry.may_retry_at(request, host, self._state.now):
            self._tracker.drop_reservation(request)
            request.slot.hosts_tried = []
            host = self._placement.choose_decode_host(request, request.state_host)
        if host is None or request.attempts_sent >= request.max_attempts:
            self._give_up(request)
            return
        self._send(request, host, is_prefill=False)
        host.reservations.pop(request.id, None)

    def _send(self, request: RequestState, host: TrackedEndpoint, *, is_prefill: bool) -> None:
        attempt = self._tracker.add_attempt(request, host, is_prefill=is_prefill)
        state = self._state
        deadline = min(request.deadline, state.now + retry.attempt_timeout_ms(state, attempt))
        state.act(SendAttempt(request.id, host.name, deadline))

    def _after_failure(self, request: RequestState, attempt: Attempt, event: AttemptFinished) -> None:
        """Retries if time, attempts and the class's idempotency allow it; else sends the final answer."""
        request.failed_at.append(attempt.endpoint)
        if not attempt.is_prefill and event.status in MAY_HAVE_RUN_STATUSES:
            request.first_attempt_with_effect = request.first_attempt_with_effect or attempt
        if request.in_flight:
            return
        prefill_again = retry.must_prefill_again(request, attempt, event)
        attempts_needed = retry.FULL_ATTEMPTS if prefill_again else retry.DECODE_ATTEMPTS
        rejected_by_all = self._rejected_by_all(request, attempt, event)
        if rejected_by_all or not retry.may_retry(request, attempts_needed, self._state.now):
            self._give_up(request)
        elif prefill_again:
            self._release(request)
            self._start_prefill(request)
        else:
            self._start_decode(request)

    def _rejected_by_all(self, request: RequestState, attempt: Attempt, event: AttemptFinished) -> bool:
        """Returns whether the host was full, and every other possible host has failed the request."""
        if event.status is not AttemptStatus.REJECTED or state_was_lost(event):
            return False
        hosts = self._placement.candidates(request, is_prefill=attempt.is_prefill)
        return all(host in request.failed_at for host in hosts)

    def _give_up(self, request: RequestState) -> None:
        """Rejects the request with retry advice if a retry does no harm, else fails it."""
        settings = self._state.settings
        if retry.may_reject(request):
            retry_after_ms = min(settings.max_retry_after_ms, request.objective_ms)
            self._state.act(RejectRequest(request.id, retry_after_ms if settings.send_retry_after else 0.0))
        else:
            self._state.act(FailRequest(request.id))
        self._finish(request)

    def _finish(self, request: RequestState) -> None:
        request.done = True
        self._cancel_attempts(request)
        self._close(request)

    def _cancel_attempts(self, request: RequestState) -> None:
        if not self._state.settings.cancellation_allowed:
            return
        for attempt in request.in_flight.values():
            if not attempt.started:
                self._state.act(CancelAttempt(request.id, attempt.number))

    def _close(self, request: RequestState) -> None:
        """Removes the request once its last attempt has ended."""
        if not request.in_flight:
            self._release(request)
            self._tracker.close_request(request)

    def _release(self, request: RequestState) -> None:
        """Rule 5: without an attempt in flight, releases what hosts hold for the request."""
        if request.holds_remote_state:
            self._state.act(ReleaseState(request.id))
        self._tracker.drop_held_state(request)
