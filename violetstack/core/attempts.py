"""Attempts of requests at hosts: how they start, what the driver reports about them, and how they end."""

from __future__ import annotations

import math

from violetstack.core.execution import earlier_executions
from violetstack.core.hold_manager import NOTHING_HELD_STATUSES, HoldManager
from violetstack.core.lifecycle import RequestLifecycle
from violetstack.core.ports import ResponseEvent
from violetstack.core.records import Attempt, AttemptLogEntry, OpenRequest, RequestOutcome
from violetstack.core.remote_hold import HoldEvent
from violetstack.core.send_guard import SendGuard, WithholdReason
from violetstack.core.state import DispatcherState
from violetstack.policy_api import (
    FAILURE_STATUSES,
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    StreamStarted,
)

# Lower limit of the connect timeout, also if the state held for the request expires sooner; a release takes
# only a few milliseconds.
MIN_CONNECT_TIMEOUT_MS = 40.0


class AttemptManager:
    """Starts, cancels and finishes attempts, and commits a request to its first attempt that streams."""

    def __init__(
        self,
        state: DispatcherState,
        lifecycle: RequestLifecycle,
        hold_manager: HoldManager,
    ) -> None:
        """Creates a manager without attempts; `hold_manager` tracks what hosts hold for requests."""
        self._state = state
        self._hold_manager = hold_manager
        self._lifecycle = lifecycle
        self.send_guard = SendGuard(state, self.client_disconnected)

    # --- actions of the policy ---

    def send(self, now: float, request: OpenRequest, server: str, deadline: float) -> None:
        """Starts an attempt that times out at `deadline` or at the request's deadline, whichever is earlier.

        A `deadline` of 0 stands for the request's deadline. An attempt that the settings forbid, or that is
        too late, ends at once with ALREADY_FINISHED.
        """
        state = self._state
        deadline = min(deadline or request.deadline, request.deadline)
        attempt = Attempt(
            request,
            request.attempts_sent,
            server,
            is_prefill=state.endpoints.is_prefill_host(server),
            sent_at=now,
            deadline=deadline,
            endpoint=state.endpoints.endpoints.get(server),
        )
        request.attempts_sent += 1
        request.in_flight[attempt.number] = attempt
        if not self._record_withheld(attempt, self.send_guard.check_start(now, attempt)):
            self.finished(now, attempt, AttemptStatus.ALREADY_FINISHED)
            return
        attempt.timer = state.timers.schedule(deadline, lambda at: self._timed_out(at, attempt))
        state.driver.start_attempt(attempt)

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Cancels an attempt, unless its stream has started."""
        if attempt.stream_started:
            return
        written = attempt.request_written and self._state.driver.is_fully_sent(attempt)
        self._state.driver.abort_attempt(attempt)
        self.finished(now, attempt, AttemptStatus.CANCELLED if written else AttemptStatus.ALREADY_FINISHED)

    def _timed_out(self, now: float, attempt: Attempt) -> None:
        if attempt.finished or attempt.stream_started:
            return
        # If the last byte is still on this machine, no host has executed the attempt, however long it took to
        # connect; closing the connection discards the rest.
        written = attempt.request_written and self._state.driver.is_fully_sent(attempt)
        self._state.driver.abort_attempt(attempt)
        self.finished(now, attempt, AttemptStatus.TIMEOUT if written else AttemptStatus.CONNECT_FAILED)

    # --- queries and reports of the driver ---

    def may_send(self, now: float, attempt: Attempt) -> bool:
        """Returns whether the attempt's first byte may be written now; see `SendGuard.check_first_byte`."""
        return self._record_withheld(attempt, self.send_guard.check_first_byte(now, attempt))

    def may_continue_sending(self, now: float, attempt: Attempt) -> bool:
        """Returns whether more of the attempt may be written now; called in each step that writes a part."""
        return self._record_withheld(attempt, self.send_guard.check_next_bytes(now, attempt))

    @staticmethod
    def _record_withheld(attempt: Attempt, withhold_reason: WithholdReason | None) -> bool:
        """Keeps the reason for the log; returns True if there is none, so the attempt may be sent."""
        if withhold_reason is not None:
            attempt.withhold_reason = withhold_reason.value
        return withhold_reason is None

    def abort_unsent_attempts(self, now: float, request: OpenRequest) -> None:
        """Ends attempts that are not completely sent, if the request accepts no attempts any more.

        Hosts have not begun these attempts, so the settings on cancellation do not apply. Without this, the
        kernel would deliver a request that it has buffered to a host that reads slowly, no matter how late.
        """
        if request.accepts_attempts:
            return
        driver = self._state.driver
        for attempt in list(request.in_flight.values()):
            if attempt.stream_started or (attempt.request_written and driver.is_fully_sent(attempt)):
                continue
            driver.abort_attempt(attempt)
            self.finished(now, attempt, AttemptStatus.ALREADY_FINISHED)

    def connect_timeout_ms(self, now: float, attempt: Attempt) -> float:
        """Returns the timeout for connecting to the attempt's host; infinite if no host holds anything.

        A host frees the state held for a request some time after the request's last attempt. While connecting
        fails again and again no attempt reaches a host, so all of this must not take longer than that time.
        """
        left_ms = self._hold_manager.connect_timeout_ms(now, attempt.request)
        return math.inf if left_ms is None else max(MIN_CONNECT_TIMEOUT_MS, left_ms)

    def request_started(self, now: float, attempt: Attempt) -> None:
        """Records that the attempt's first byte is being written.

        A release in flight is marked as superseded: sent after the attempt, it would free the state that the
        attempt uses.
        """
        accepts_requests = self._state.endpoints.accepts_requests(attempt.server)
        self._state.invariants.check_first_byte(now, attempt, host_accepts_requests=accepts_requests)
        self._hold_manager.mark_release_superseded(attempt.request)

    def request_written(self, now: float, attempt: Attempt) -> None:
        """Records that the last byte may have been sent; called in the step that hands it to the kernel."""
        state = self._state
        state.invariants.check_last_byte(now, attempt)
        attempt.request_written = True
        attempt.written_at = now
        attempt.is_repeat = not attempt.is_prefill and any(earlier_executions(attempt))
        if not attempt.is_prefill and not state.may_repeat(attempt.request.policy_request):
            state.executed.record(attempt.request.id)
            attempt.request.execution_recorded = True
        state.metrics.requests_written += 1

    def give_up_undelivered(self, now: float, attempt: Attempt) -> None:
        """Ends an attempt that its host has not acknowledged in time, as if the connection had broken."""
        self._state.driver.log("attempt_undelivered", id=attempt.request.id, server=attempt.server)
        self._state.driver.abort_attempt(attempt)
        self.finished(now, attempt, AttemptStatus.RESET)

    def stream_started(self, now: float, attempt: Attempt) -> bool:
        """Commits the request to the attempt; returns False if the response is no longer needed."""
        request = attempt.request
        state = self._state
        if attempt.finished or request.has_response:
            return False
        attempt.stream_started = True
        attempt.answered = True
        request.committed_attempt = attempt
        request.first_event_at = now
        state.mark_changed(request)
        if state.load_shedder is not None:
            ratio = (now - request.arrived_at) / state.latency_objective_ms(request.policy_request)
            state.load_shedder.stream_started(now, ratio, request.policy_request.prompt_tokens)
        self._hold_manager.stream_started(now, attempt)
        state.observe_attempt(attempt.server, now, succeeded=True)
        state.notify(request.sink.stream_started)
        state.post(StreamStarted(request.id, attempt.server, attempt.number, now - attempt.sent_at))
        return True

    def forward_event(self, attempt: Attempt, event: ResponseEvent) -> bool:
        """Forwards one event of the stream to the client; returns False if the front failed to."""
        if attempt.finished:
            return True
        attempt.events_forwarded += 1
        return self._state.notify(attempt.request.sink.event, event)

    def answer_spoilt(self, now: float, attempt: Attempt) -> None:
        """Records that the host's answer has an event that is not a part of one: the host has failed."""
        if attempt.answer_spoilt:
            return
        attempt.answer_spoilt = True
        self._state.observe_attempt(attempt.server, now, succeeded=False)

    def request_invalid(self, now: float, attempt: Attempt) -> None:
        """Fails a request that a host reports as invalid: no other host is tried, and none is blamed."""
        request = attempt.request
        if attempt.finished or request.has_response:
            return
        attempt.answered = True
        self._lifecycle.finish_failed(now, request, RequestOutcome.INVALID)
        self.finished(now, attempt, AttemptStatus.CANCELLED)

    # --- the end of an attempt ---

    def finished(
        self,
        now: float,
        attempt: Attempt,
        status: AttemptStatus,
        detail: int = 0,
        load_report: tuple[float | None, ...] | None = None,
    ) -> None:
        """Records the outcome of an attempt and reports it to the policy; further outcomes are ignored."""
        if attempt.finished:
            return
        request = attempt.request
        state = self._state
        self._take_out_of_flight(attempt)
        if status in NOTHING_HELD_STATUSES:
            state.invariants.discard_execution(attempt)
        self._finish_request(now, attempt, status)
        if attempt.request_written and not attempt.is_prefill and status not in NOTHING_HELD_STATUSES:
            _record_execution(attempt)
        self._hold_manager.attempt_ended(now, attempt, status)
        self._observe(now, attempt, status)
        if request.client_disconnected:
            # Finish the request first: if the policy saw only the attempt's end, it would retry.
            self.client_disconnected(now, request)
        duration_ms = now - attempt.sent_at
        _log_attempt(attempt, status, duration_ms)
        state.post(
            AttemptFinished(
                id=request.id,
                server=attempt.server,
                attempt=attempt.number,
                status=status,
                duration_ms=duration_ms,
                request_finished=request.done,
                detail=detail,
                load_report=load_report,
                answer_spoilt=attempt.answer_spoilt and status in FAILURE_STATUSES,
            )
        )
        state.mark_changed(request)

    def _take_out_of_flight(self, attempt: Attempt) -> None:
        attempt.finished = True
        self._state.timers.cancel(attempt.timer)
        del attempt.request.in_flight[attempt.number]

    def _finish_request(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        """Ends the request if this attempt provided its response."""
        request = attempt.request
        if request.done or not (status is AttemptStatus.OK or request.committed_attempt is attempt):
            return
        if status is AttemptStatus.OK:
            self._lifecycle.finish(now, request, RequestOutcome.COMPLETED)
            if not self._state.notify(request.sink.finished):
                self._state.notify(request.sink.stream_broken)
        else:
            self._lifecycle.finish(now, request, RequestOutcome.TRUNCATED)
            self._state.notify(request.sink.stream_broken)

    def _observe(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        if status is AttemptStatus.PREFILLED:
            self._state.observe_attempt(attempt.server, now, succeeded=True)
        elif status in FAILURE_STATUSES and not (attempt.stream_started or attempt.answer_spoilt):
            self._state.observe_attempt(attempt.server, now, succeeded=False)

    # --- disconnected clients and migrated streams ---

    def client_disconnected(self, now: float, request: OpenRequest) -> None:
        """Ends the request, unless a host is executing it and it survives its client's disconnect.

        Such a request ends once no host executes it; the client's retry then finds its response. In both
        cases no further attempts are sent.
        """
        state = self._state
        request.client_disconnected = True
        if request.done:
            return
        state.mark_changed(request)
        state.wake()
        if request.survives_disconnect and request.executing:
            return
        self._lifecycle.finish(now, request, RequestOutcome.CLIENT_DISCONNECTED)
        if request.survives_disconnect:
            state.notify(request.sink.failed, request.may_have_run)  # updates its idempotency record
        state.post(ClientDisconnected(request.id))
        if request.committed_attempt is not None:
            self._state.driver.abort_attempt(request.committed_attempt)
            self.finished(now, request.committed_attempt, AttemptStatus.CANCELLED)

    def can_migrate(self, attempt: Attempt) -> bool:
        """Returns whether the attempt's stream is the only call in flight for its request."""
        request = attempt.request
        if attempt.finished or request.done or request.committed_attempt is not attempt:
            return False
        return len(request.in_flight) == 1 and not request.reservations_in_flight and request.release is None

    def migrated(self, now: float, attempt: Attempt) -> None:
        """Ends the request here: another process has taken over the stream, and releases what hosts hold."""
        self._hold_manager.apply(now, attempt.request, HoldEvent.RELEASED)
        self._lifecycle.finish(now, attempt.request, RequestOutcome.MIGRATED)
        self._state.post(ClientDisconnected(attempt.request.id))
        self.finished(now, attempt, AttemptStatus.CANCELLED)


def _log_attempt(attempt: Attempt, status: AttemptStatus, duration_ms: float) -> None:
    """Adds the attempt to the log line of its request."""
    reason = attempt.withhold_reason if status is AttemptStatus.ALREADY_FINISHED else attempt.broken_reason
    entry = AttemptLogEntry(attempt.server, status, round(duration_ms), reason, attempt.is_repeat)
    attempt.request.attempt_log.append(entry)


def _record_execution(attempt: Attempt) -> None:
    """Records that a host may have executed the request."""
    request = attempt.request
    if not request.may_have_run or attempt.sent_at < request.first_execution_at:
        request.first_execution_at = attempt.sent_at
        request.first_execution_endpoint = attempt.endpoint
    request.may_have_run = True
