"""The life cycle of requests: acceptance, the final response, and the end of the record."""

from __future__ import annotations

from typing import Any

from violetstack.core.errors import DuplicateRequestError, ExecutedRequestError, ReleasingRequestError
from violetstack.core.hold_manager import HoldManager
from violetstack.core.ports import MigratedStream, RetryAfter, Sink
from violetstack.core.records import Attempt, OpenRequest, RequestOutcome
from violetstack.core.remote_hold import HoldEvent
from violetstack.core.state import DispatcherState
from violetstack.policy_api import ClientDisconnected, Request


class RequestLifecycle:
    """Accepts requests, gives each exactly one final response, and closes its record."""

    def __init__(self, state: DispatcherState, hold_manager: HoldManager, retry_after: RetryAfter) -> None:
        """Creates a life cycle manager; `retry_after` adjusts the retry time that rejections advise."""
        self._state = state
        self._hold_manager = hold_manager
        self._retry_after = retry_after

    def accept(self, now: float, policy_request: Request, sink: Sink, payload: object) -> OpenRequest:
        """Opens a request and passes it to the policy.

        Raises:
            DuplicateRequestError: A request with the same id is open.
            ReleasingRequestError: Such a request has its response, and may be repeated once it is closed.
            ExecutedRequestError: A request with the same id may have been executed, and may not be repeated.
        """
        state = self._state
        earlier = state.open_requests.get(policy_request.id)
        if earlier is not None:
            may_repeat = state.may_repeat(policy_request) or not earlier.may_have_run_or_is_running
            if earlier.done and may_repeat:
                raise ReleasingRequestError(policy_request.id)
            raise DuplicateRequestError(policy_request.id)
        if not state.may_repeat(policy_request) and state.executed.contains(policy_request.id):
            raise ExecutedRequestError(policy_request.id)
        request = OpenRequest(policy_request, sink, payload, now, now + policy_request.expires_in_ms)
        self._open(now, request)
        request.deadline_timer = self._state.timers.schedule(
            request.deadline, lambda at: self._deadline_exceeded(at, request)
        )
        self._state.post(policy_request)
        return request

    def adopt(self, now: float, stream: MigratedStream, sink: Sink) -> Attempt:
        """Opens a request whose stream was started by another process.

        The policy gets no event for it, since there is nothing left to decide.
        """
        policy_request = Request(
            id=stream.id,
            class_index=stream.class_index,
            tenant_index=stream.tenant_index,
            session=None,
            expires_in_ms=0.0,
            expected_answer_ms=None,
            prefix_id=None,
            prompt_tokens=stream.prompt_tokens,
            prefix_tokens=0.0,
            max_tokens=0.0,
            is_retry=False,
            is_resumed=False,
        )
        request = OpenRequest(policy_request, sink, None, now - stream.age_ms, now)
        attempt = Attempt(
            request,
            0,
            stream.server,
            is_prefill=False,
            sent_at=request.arrived_at,
            deadline=now,
            request_written=True,
            stream_started=True,
            events_forwarded=stream.events_forwarded,
        )
        request.committed_attempt = attempt
        request.in_flight = {0: attempt}
        request.attempts_sent = 1
        if stream.holds_remote_state:
            request.hold.apply(now, HoldEvent.STREAM_STARTED_EARLY)
        self._open(now, request)
        return attempt

    def _open(self, now: float, request: OpenRequest) -> None:
        state = self._state
        state.open_requests[request.id] = request
        state.metrics.request_accepted(request.policy_request.class_index)
        if state.router is not None:
            state.router.request_accepted(now, request.policy_request)

    def reject(self, now: float, request_id: str, retry_after_ms: float) -> None:
        """Rejects the request, so that the client may safely retry; the policy advises `retry_after_ms`.

        Does nothing if the request already has a response.
        """
        request = self._without_response(request_id)
        if request is not None:
            self.finish(now, request, RequestOutcome.REJECTED)
            advised_ms = self._retry_after(retry_after_ms)
            self._state.notify(request.sink.rejected, advised_ms, request.may_have_run_or_is_running)

    def fail(self, now: float, request_id: str) -> None:
        """Fails the request. Does nothing if the request already has a response."""
        request = self._without_response(request_id)
        if request is not None:
            self.finish_failed(now, request, RequestOutcome.FAILED)

    def finish_failed(self, now: float, request: OpenRequest, outcome: RequestOutcome) -> None:
        """Ends the request with `outcome`, and reports the failure to the client."""
        self.finish(now, request, outcome)
        self._state.notify(request.sink.failed, request.may_have_run_or_is_running)

    def finish(self, now: float, request: OpenRequest, outcome: RequestOutcome) -> None:
        """Ends the request: its final response is known, or its client is gone."""
        state = self._state
        state.invariants.check_final_response(now, request, outcome)
        request.done = True
        request.outcome = outcome
        request.finished_at = now
        state.timers.cancel(request.deadline_timer)
        state.mark_changed(request)
        state.metrics.request_finished(request.policy_request.class_index, outcome)
        if state.load_shedder is not None:
            state.load_shedder.request_finished(now, outcome, request.policy_request.prompt_tokens)

    def _without_response(self, request_id: str) -> OpenRequest | None:
        request = self._state.open_requests.get(request_id)
        return None if request is None or request.has_response else request

    def _deadline_exceeded(self, now: float, request: OpenRequest) -> None:
        """Fails a request that the policy did not end before its deadline, so the client gets a response."""
        if request.has_response:
            return
        self._state.driver.log("request_overdue", id=request.id)
        self.finish_failed(now, request, RequestOutcome.DEADLINE_EXCEEDED)
        self._state.pending_events.append(ClientDisconnected(request.id))

    def clean_up(self, now: float, request: OpenRequest) -> None:
        """Releases what hosts hold for a request that is over, and closes its record once that is done."""
        if not request.done or request.in_flight:
            return
        if request.hold.needs_release:
            # If a reservation is in flight, another release follows after it.
            self._hold_manager.release(now, request)
        elif request.release is None and not (request.reservations_in_flight or request.hold.may_be_held):
            self._close(now, request)

    def _close(self, now: float, request: OpenRequest) -> None:
        self._state.invariants.check_closed(request)
        if request.execution_recorded and not request.may_have_run:
            self._state.executed.forget(request.id)
        self._state.timers.cancel(request.hold_timer)
        self._state.open_requests.pop(request.id, None)
        request.close()
        route_fields: dict[str, Any] = {}
        router = self._state.router
        if router is not None:
            route_fields = router.log_fields(request.policy_request)
            router.request_closed(now, request.policy_request)
        outcome = request.outcome
        self._state.driver.log(
            "request",
            id=request.id,
            cls=request.policy_request.class_index,
            answer=outcome.value if outcome is not None else "",
            ms=round(request.finished_at - request.arrived_at),
            first_ms=round(request.first_event_at - request.arrived_at) if request.first_event_at else None,
            attempts=[entry.as_row() for entry in request.attempt_log],
            repeats=[entry.is_repeat for entry in request.attempt_log],
            **({"key": request.host_key} if request.host_key else {}),
            places=[(entry.server, entry.outcome.value) for entry in request.reservation_log],
            **route_fields,
        )
