"""Attempts of requests at hosts: their start, what the driver reports of them, and their end."""

from __future__ import annotations

import math

from violetstack.core.hold_manager import NOTHING_HELD_STATUSES, HoldManager
from violetstack.core.lifecycle import RequestLifecycle
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

# A connection gets this long even if the state held for its request expires sooner; a release takes a few ms.
MIN_CONNECT_TIMEOUT_MS = 40.0


class AttemptManager:
    """Starts, cancels and finishes attempts, and commits a request to the first that streams."""

    def __init__(
        self,
        state: DispatcherState,
        lifecycle: RequestLifecycle,
        hold_manager: HoldManager,
    ) -> None:
        """Creates it for a dispatcher's state; `held` follows what hosts hold."""
        self._state = state
        self._hold_manager = hold_manager
        self._lifecycle = lifecycle
        self.send_guard = SendGuard(state, self.client_disconnected)

    # --- what the policy decides ---

    def send(self, now: float, request: OpenRequest, server: str, deadline: float) -> None:
        """Starts an attempt that times out at `deadline`, or at the request's own; 0 means the latter.

        An attempt that the settings forbid, or that comes too late, ends at once as ALREADY_FINISHED.
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
        # What has not left has never run, however long the connection took; closing drops it.
        written = attempt.request_written and self._state.driver.is_fully_sent(attempt)
        self._state.driver.abort_attempt(attempt)
        self.finished(now, attempt, AttemptStatus.TIMEOUT if written else AttemptStatus.CONNECT_FAILED)

    # --- what the driver asks and reports ---

    def may_send(self, now: float, attempt: Attempt) -> bool:
        """Returns whether the first byte of the attempt may be written now; `SendGuard` decides."""
        return self._record_withheld(attempt, self.send_guard.check_first_byte(now, attempt))

    def may_continue_sending(self, now: float, attempt: Attempt) -> bool:
        """Returns whether a part of the attempt may be written now; asked in each step that writes one."""
        return self._record_withheld(attempt, self.send_guard.check_next_bytes(now, attempt))

    @staticmethod
    def _record_withheld(attempt: Attempt, withhold_reason: WithholdReason | None) -> bool:
        """Keeps the reason for the log, and returns whether there is none."""
        if withhold_reason is not None:
            attempt.withhold_reason = withhold_reason.value
        return withhold_reason is None

    def abort_unsent_attempts(self, now: float, request: OpenRequest) -> None:
        """Ends attempts whose last byte has not left if nothing may be sent for the request any more.

        Hosts have not begun them, so this is no cancellation that the settings could forbid. The kernel may
        have taken all of a request that a host reads slowly, and would deliver it however late.
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
        """Returns how long the connection of an attempt may take to come up; infinite if nothing is held.

        A host frees the state held for a request some time after the request's last attempt. While one
        connection after the other does not come up nothing reaches a host, so that time must not be exceeded.
        """
        left_ms = self._hold_manager.connect_timeout_ms(now, attempt.request)
        return math.inf if left_ms is None else max(MIN_CONNECT_TIMEOUT_MS, left_ms)

    def request_started(self, now: float, attempt: Attempt) -> None:
        """The first byte is being written: a release that is written later would release this one's state."""
        accepts_requests = self._state.endpoints.accepts_requests(attempt.server)
        self._state.invariants.check_first_byte(now, attempt, host_accepts_requests=accepts_requests)
        self._hold_manager.mark_release_superseded(attempt.request)

    def request_written(self, now: float, attempt: Attempt) -> None:
        """The last byte may have left; called in the step that hands it to the kernel."""
        state = self._state
        state.invariants.check_last_byte(now, attempt)
        attempt.request_written = True
        attempt.written_at = now
        state.metrics.requests_written += 1

    def give_up_undelivered(self, now: float, attempt: Attempt) -> None:
        """Ends an attempt that its host has not acknowledged: its connection has fallen silent."""
        self._state.driver.log("attempt_undelivered", id=attempt.request.id, server=attempt.server)
        self._state.driver.abort_attempt(attempt)
        self.finished(now, attempt, AttemptStatus.RESET)

    def stream_started(self, now: float, attempt: Attempt) -> bool:
        """Commits the request to the attempt; returns False if its response is not wanted any more."""
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

    def forward_event(self, attempt: Attempt, data: memoryview) -> None:
        """Forwards one event of the stream to the client."""
        if not attempt.finished:
            attempt.events_forwarded += 1
            self._state.notify(attempt.request.sink.event, data)

    def request_invalid(self, now: float, attempt: Attempt) -> None:
        """A host says that the request itself is at fault: no other host is tried, and none is blamed."""
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
        """Records the one outcome of an attempt and tells the policy; later outcomes are ignored."""
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
            # The policy is to hear of the request's end with this attempt's, or it would retry.
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
            )
        )
        state.mark_changed(request)

    def _take_out_of_flight(self, attempt: Attempt) -> None:
        attempt.finished = True
        self._state.timers.cancel(attempt.timer)
        del attempt.request.in_flight[attempt.number]

    def _finish_request(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        """Ends the request if this attempt carried its response."""
        request = attempt.request
        if request.done or not (status is AttemptStatus.OK or request.committed_attempt is attempt):
            return
        if status is AttemptStatus.OK:
            self._lifecycle.finish(now, request, RequestOutcome.COMPLETED)
            self._state.notify(request.sink.finished)
        else:
            self._lifecycle.finish(now, request, RequestOutcome.TRUNCATED)
            self._state.notify(request.sink.stream_broken)

    def _observe(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        if status is AttemptStatus.PREFILLED:
            self._state.observe_attempt(attempt.server, now, succeeded=True)
        elif status in FAILURE_STATUSES and not attempt.stream_started:
            self._state.observe_attempt(attempt.server, now, succeeded=False)

    # --- the client, and other processes ---

    def client_disconnected(self, now: float, request: OpenRequest) -> None:
        """Ends a request that nobody waits for, once no host executes it for a retry to find.

        Nothing more is sent for it in any case.
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
            state.notify(request.sink.failed, request.may_have_run)  # for its stored record
        state.post(ClientDisconnected(request.id))
        if request.committed_attempt is not None:
            self._state.driver.abort_attempt(request.committed_attempt)
            self.finished(now, request.committed_attempt, AttemptStatus.CANCELLED)

    def can_migrate(self, attempt: Attempt) -> bool:
        """Returns whether the attempt's stream is all that is in flight for its request."""
        request = attempt.request
        if attempt.finished or request.done or request.committed_attempt is not attempt:
            return False
        return len(request.in_flight) == 1 and not request.reservations_in_flight and request.release is None

    def migrated(self, now: float, attempt: Attempt) -> None:
        """Another process took over the stream, and will release what hosts hold for its request."""
        self._hold_manager.apply(now, attempt.request, HoldEvent.RELEASED)
        self._lifecycle.finish(now, attempt.request, RequestOutcome.MIGRATED)
        self._state.post(ClientDisconnected(attempt.request.id))
        self.finished(now, attempt, AttemptStatus.CANCELLED)


def _log_attempt(attempt: Attempt, status: AttemptStatus, duration_ms: float) -> None:
    """Keeps the attempt for its request's log line."""
    withhold_reason = attempt.withhold_reason if status is AttemptStatus.ALREADY_FINISHED else ""
    entry = AttemptLogEntry(attempt.server, status, round(duration_ms), withhold_reason)
    attempt.request.attempt_log.append(entry)


def _record_execution(attempt: Attempt) -> None:
    """Records that a host may have executed the request."""
    request = attempt.request
    if not request.may_have_run or attempt.sent_at < request.first_execution_at:
        request.first_execution_at = attempt.sent_at
        request.first_execution_endpoint = attempt.endpoint
    request.may_have_run = True
