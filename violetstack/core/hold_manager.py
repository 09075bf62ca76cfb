"""Manages the holds of requests with their timers, and releases in time what hosts hold."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.core.records import Attempt, OpenRequest, ReleaseCall
from violetstack.core.remote_hold import HoldEvent, HoldState
from violetstack.core.state import DispatcherState
from violetstack.policy_api import AttemptStatus

RELEASE_LEAD_MS = 100.0
"""A release starts this long before the retention time ends, since the first host asked may not answer."""
CONNECT_GRACE_MS = 100.0
"""While an attempt that may claim held state is still connecting, the release is delayed until this long
after
the retention time. The rule on held state allows 350 ms after the retention time."""
MAX_DELIVERY_MS = 60.0
"""A host acknowledges data within this time; if it does not, its connection counts as broken."""
RELEASE_OVERDUE_MS = 300.0
"""Held state that is not released this long after the retention time is a violation."""

NOTHING_HELD_STATUSES = frozenset(
    {
        AttemptStatus.REJECTED,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.ALREADY_FINISHED,
        AttemptStatus.LOCAL_FAULT,
    }
)
"""After these statuses the host holds nothing for the attempt and has not executed it."""
ENDED_BY_HOST_STATUSES = frozenset(
    {AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.REJECTED, AttemptStatus.PREFILLED}
)
"""After these statuses the host is known to have processed the attempt, so it is not frozen."""

GiveUpUndelivered = Callable[[float, Attempt], None]
"""Callback that ends an attempt which its host has not acknowledged."""


class HoldManager:
    """Applies events to the holds of requests, and releases what no attempt claims in time."""

    def __init__(self, state: DispatcherState, give_up: GiveUpUndelivered) -> None:
        """Creates a manager without holds; `give_up` ends attempts that have not reached their host."""
        self._state = state
        self._give_up = give_up

    def apply(self, now: float, request: OpenRequest, event: HoldEvent) -> None:
        """Applies an event to the request's hold, and reschedules its release if the clock has changed."""
        hold = request.hold
        state_before = (hold.state is HoldState.SETTLING, hold.unclaimed_since)
        hold.apply(now, event)
        if (hold.state is HoldState.SETTLING, hold.unclaimed_since) != state_before:
            self._schedule_release(now, request)

    def connect_timeout_ms(self, now: float, request: OpenRequest) -> float | None:
        """Returns how long the connect of an attempt that claims the hold may take; None without a hold."""
        hold = request.hold
        retention_ms = self._state.settings.state_retention_ms
        if hold.unclaimed_since is None or hold.state is HoldState.SETTLING or not retention_ms:
            return None
        return hold.unclaimed_since + retention_ms - now

    # --- timers ---

    def _schedule_release(self, now: float, request: OpenRequest, not_before_ms: float = 0.0) -> None:
        hold = request.hold
        retention_ms = self._state.settings.state_retention_ms
        if hold.state is HoldState.SETTLING:
            self._schedule(
                request, request.attempt_closed_at + MAX_DELIVERY_MS, self._repeat_release_after_close
            )
        elif hold.unclaimed_since is None or not retention_ms:
            self._schedule(request, None, self._release_due)
        else:
            due_at = max(hold.unclaimed_since + retention_ms - RELEASE_LEAD_MS, now + not_before_ms)
            self._schedule(request, due_at, self._release_due)

    def _schedule(
        self, request: OpenRequest, due_at: float | None, callback: Callable[[float, OpenRequest], None]
    ) -> None:
        timers = self._state.timers
        timers.cancel(request.hold_timer)
        request.hold_timer = None
        if due_at is not None:
            request.hold_timer = timers.schedule(due_at, lambda at: callback(at, request))

    def _release_due(self, now: float, request: OpenRequest) -> None:
        """Releases what is held, even while attempts are in flight.

        Held state is claimed only by an attempt that its host has begun, and only the host knows whether it
        has: the kernel of a frozen host acknowledges everything that is written to it. A release does not
        affect an attempt that a host has begun, since it frees only what no attempt waits for. An attempt
        that has certainly not reached its host is given up.
        """
        wait_until = self._delivery_uncertain_until(now, request)
        if wait_until > now:
            self._schedule(request, wait_until, self._release_due)
            return
        self._log_unclaimed(now, request)
        for attempt in list(request.in_flight.values()):
            if attempt.awaits_response and not self._state.driver.is_acknowledged(attempt):
                self._give_up(now, attempt)
        if request.hold.unclaimed_since is None:
            return  # the end of the last attempt has cleared the hold
        self._start_release(now, request)
        overdue_at = (
            request.hold.unclaimed_since + self._state.settings.state_retention_ms + RELEASE_OVERDUE_MS
        )
        self._schedule(request, max(now, overdue_at), self._release_overdue)

    def _repeat_release_after_close(self, now: float, request: OpenRequest) -> None:
        """Repeats the release once the host has noticed the end of the request's last attempt."""
        request.hold_timer = None
        self._start_release(now, request)

    def _delivery_uncertain_until(self, now: float, request: OpenRequest) -> float:
        """Returns until when an attempt that claims what is held may still reach a host that is running."""
        assert request.hold.unclaimed_since is not None
        connecting_until = (
            request.hold.unclaimed_since + self._state.settings.state_retention_ms + CONNECT_GRACE_MS
        )
        until = now
        for attempt in request.in_flight.values():
            if not attempt.request_written:
                until = max(until, connecting_until)
            elif attempt.awaits_response:
                until = max(until, attempt.written_at + MAX_DELIVERY_MS)
        return until

    def _log_unclaimed(self, now: float, request: OpenRequest) -> None:
        hold = request.hold
        self._state.driver.log(
            "hold_unclaimed",
            id=request.id,
            state=hold.state.value,
            since_ms=round(hold.unclaimed_ms(now)),
            cause=hold.cause.value if hold.cause is not None else "",
            attempts=[
                (attempt.server, attempt.request_written, round(now - attempt.sent_at))
                for attempt in request.in_flight.values()
            ],
            places=[(entry.server, entry.outcome.value) for entry in request.reservation_log],
        )

    def _release_overdue(self, now: float, request: OpenRequest) -> None:
        """Reports that what is held was neither claimed nor released in time."""
        request.hold_timer = None
        self._state.invariants.record_release_overdue(now, request)

    # --- releases ---

    def release(self, now: float, request: OpenRequest) -> None:
        """Releases what hosts may hold for the request, unless a release that covers it is in flight.

        Hosts keep what an attempt in flight waits for.
        """
        if request.hold.needs_release:
            self._start_release(now, request)

    def _start_release(self, now: float, request: OpenRequest) -> None:
        current_release = request.release
        if current_release is not None and not (current_release.superseded or _is_outdated(current_release)):
            return
        call = ReleaseCall(request, now, attempts_at_start=frozenset(request.in_flight))
        request.release = call
        self._state.driver.log(
            "release_started",
            id=request.id,
            held=request.hold.state.value,
            held_ms=round(request.hold.unclaimed_ms(now)),
            in_flight=[attempt.server for attempt in request.in_flight.values()],
        )
        self._state.driver.release_state(call)

    def repeat_release(self, now: float, request: OpenRequest) -> None:
        """Starts another release, since a slot may have been reserved after the release that is in flight."""
        current_release = request.release
        if current_release is None or current_release.superseded:
            return
        current_release.superseded = True
        self.release(now, request)

    def mark_release_superseded(self, request: OpenRequest) -> None:
        """Marks a release in flight as superseded; sent after an attempt, it would free its state."""
        if request.release is not None:
            request.release.superseded = True

    def release_finished(self, now: float, call: ReleaseCall, done: bool) -> None:
        """Records the end of a release; if not `done`, no host took it and the state is left to expire."""
        request = call.request
        if request.release is call:
            request.release = None
            if call.superseded:
                self._schedule_release(now, request, MAX_DELIVERY_MS)
            else:
                self._apply_release_result(now, call, done)
        self._state.mark_changed(request)
        self._state.wake()

    def _apply_release_result(self, now: float, call: ReleaseCall, done: bool) -> None:
        request = call.request
        if not done:
            self._state.invariants.record_release_abandoned(request)
            self._state.driver.log("release_abandoned", id=request.id)
            self.apply(now, request, HoldEvent.ABANDONED)
        elif _is_outdated(call):
            return  # the state left by the attempt that has ended since is still held
        elif any(attempt.request_written for attempt in request.in_flight.values()):
            self.apply(now, request, HoldEvent.RELEASED_BESIDE_ATTEMPT)
        elif call.started_at < request.attempt_closed_at + MAX_DELIVERY_MS:
            self.apply(now, request, HoldEvent.RELEASED_EARLY)
        elif request.reservations_unanswered:
            self.apply(now, request, HoldEvent.RELEASED_BEFORE_ANSWER)
        else:
            self.apply(now, request, HoldEvent.RELEASED)

    # --- attempts ---

    def attempt_ended(self, now: float, attempt: Attempt, status: AttemptStatus) -> None:
        """Records what hosts may hold after an attempt; a prefill may succeed even if its connection breaks.

        Only a response shows that the host had begun the attempt; then the clock of the hold restarts now.
        """
        ended_by_host = attempt.answered or status in ENDED_BY_HOST_STATUSES
        if attempt.request_written and not ended_by_host:
            attempt.request.attempt_closed_at = now
        reached_host = attempt.request_written and status not in NOTHING_HELD_STATUSES
        if status is AttemptStatus.PREFILLED or (attempt.is_prefill and reached_host):
            event = HoldEvent.STATE_LEFT if ended_by_host else HoldEvent.STATE_UNCERTAIN
        else:
            event = HoldEvent.ATTEMPT_ENDED if ended_by_host else HoldEvent.ATTEMPT_GIVEN_UP
        self.apply(now, attempt.request, event)

    def stream_started(self, now: float, attempt: Attempt) -> None:
        """Records that the streaming host has claimed what was held, unless that host holds no state."""
        request = attempt.request
        if request.reservations_in_flight:
            if request.hold.may_be_held:
                self.apply(now, request, HoldEvent.STREAM_STARTED_EARLY)
        elif attempt.server not in self._state.endpoints.stateless_hosts:
            self.apply(now, request, HoldEvent.STREAM_STARTED)
        self.mark_release_superseded(request)


def _is_outdated(call: ReleaseCall) -> bool:
    """Returns whether an attempt has ended since the release started, which may not cover its state."""
    return not call.attempts_at_start <= call.request.in_flight.keys()
