"""A request from its arrival to its final answer: prefill, decode, retries, deadline and release."""

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
from violetstack.tracking.outcomes import lost_state
from violetstack.tracking.request import Attempt, RequestState
from violetstack.tracking.state import PolicyState

RequestEvent = Request | AttemptFinished | StreamStarted | ReservationResult | ClientDisconnected
ANSWER_MARGIN_MS = 10.0  # before the deadline: answer, whatever is in flight


class RequestLifecycle:
    """Sends attempts, follows their events and decides the one final answer of each request."""

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
        """Serve the requests of this state."""
        self._state = state
        self._admission = admission
        self._placement = placement
        self._slots = slots
        self._outliers = outliers
        self._tracker = tracker

    def handle(self, event: RequestEvent) -> None:
        """Take an event of one request."""
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
        """Fire so long before the request's deadline."""
        after_ms = max(0.0, params.expires_in_ms - margin_ms)
        self._state.act(StartTimer(after_ms, timer_tokens.encode(kind, params.id)))

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        """An attempt ended: the request is settled, goes on to its decode, is retried or given up."""
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
            request.state_at = attempt.endpoint
            request.holds_remote_state = True
            self._start_decode(request)
        else:
            self._after_failure(request, attempt, event)

    def _on_client_disconnected(self, request_id: str) -> None:
        """Nobody waits for the answer any more."""
        request = self._state.requests.get(request_id)
        if request is not None:
            self._finish(request)

    def on_cutoff(self, request_id: str) -> None:
        """Too late for a decode to follow: prefills in flight are cancelled."""
        request = self._state.requests.get(request_id)
        if request is not None and request.awaits_first_token and request.only_prefills:
            self._cancel_attempts(request)

    def on_deadline(self, request_id: str) -> None:
        """The time is up: the request gets its final answer unless its stream has started."""
        request = self._state.requests.get(request_id)
        if request is not None and request.awaits_first_token:
            self._give_up(request)

    def on_shutdown(self) -> None:
        """The process is about to end: as if the time of every request were up."""
        for request_id in list(self._state.requests):
            self.on_deadline(request_id)

    def _start_prefill(self, request: RequestState) -> None:
        """Send the prompt to the freest prefill host, and reserve a decode slot beside it."""
        state = self._state
        route = request.route
        if route is not None:
            request.scope = route.active_pool(state.now)
        host = self._placement.choose_prefill_host(request)
        if host is None:
            self._prefill_at_decode_host(request)
            return
        is_prefill = host.role is Role.PREFILL
        if self._admission.sheds(request, host) or (is_prefill and not self._decode_host_exists(request)):
            self._give_up(request)
            return
        quota = state.tenant_quotas.get(request.params.tenant_index)
        if request.sent == 0 and quota is not None:
            quota.take()
        self._send(request, host, is_prefill=is_prefill)
        reserves_ahead = is_prefill and state.settings.reserve_ahead
        if reserves_ahead and (route is None or route.reservation_allowed(state.now)):
            request.slot.hosts_asked = []
            self._slots.reserve(request, host)

    def _decode_host_exists(self, request: RequestState) -> bool:
        return bool(self._placement.candidates(request, is_prefill=False))

    def _prefill_at_decode_host(self, request: RequestState) -> None:
        """Without prefill hosts: a decode host computes the prompt itself, where the settings allow it."""
        allowed = self._state.settings.decode_hosts_prefill
        host = self._placement.choose_decode_host(request, None) if allowed else None
        if host is None:
            self._give_up(request)
        else:
            self._send(request, host, is_prefill=False)

    def _start_decode(self, request: RequestState) -> None:
        """The state goes on in the same batch, to the reserved slot, else to the freest decode host."""
        host = request.slot.host if request.slot.reserved else None
        if host is None or not retry.may_retry_at(request, host, self._state.now):
            self._tracker.drop_reservation(request)
            request.slot.hosts_asked = []
            host = self._placement.choose_decode_host(request, request.state_at)
        if host is None or request.sent >= request.max_attempts:
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
        """Another attempt, where time, attempts and the class's idempotency allow; else the final answer."""
        request.failed_at.append(attempt.endpoint)
        if not attempt.is_prefill and event.status in MAY_HAVE_RUN_STATUSES:
            request.first_effective = request.first_effective or attempt
        if request.in_flight:
            return
        prefill_again = retry.must_prefill_again(request, attempt, event)
        needed = retry.PREFILL_AND_DECODE if prefill_again else retry.DECODE
        rejected_by_all = self._rejected_by_all(request, attempt, event)
        if rejected_by_all or not retry.may_retry(request, needed, self._state.now):
            self._give_up(request)
        elif prefill_again:
            self._release(request)
            self._start_prefill(request)
        else:
            self._start_decode(request)

    def _rejected_by_all(self, request: RequestState, attempt: Attempt, event: AttemptFinished) -> bool:
        """Is the host's load the reason, and has each that could take it failed the request?"""
        if event.status is not AttemptStatus.REJECTED or lost_state(event):
            return False
        hosts = self._placement.candidates(request, is_prefill=attempt.is_prefill)
        return all(host in request.failed_at for host in hosts)

    def _give_up(self, request: RequestState) -> None:
        """The final answer: a rejection with advice where a retry is known to be harmless, else a failure."""
        settings = self._state.settings
        if retry.may_reject(request):
            advice_ms = min(settings.max_retry_after_ms, request.objective_ms)
            self._state.act(RejectRequest(request.id, advice_ms if settings.send_retry_after else 0.0))
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
        """Forget the request once its last attempt has ended."""
        if not request.in_flight:
            self._release(request)
            self._tracker.close_request(request)

    def _release(self, request: RequestState) -> None:
        """Rule 5: with no attempt in flight, whatever is held for the request is released."""
        if request.holds_remote_state:
            self._state.act(ReleaseState(request.id))
        self._tracker.drop_held(request)
