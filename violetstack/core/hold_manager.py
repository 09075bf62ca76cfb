"""Releases what hosts hold for requests, in time: the one owner of holds, their timers and their releases."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.core.records import Attempt, OpenRequest, ReleaseCall
from violetstack.core.remote_hold import HoldEvent, HoldState
from violetstack.core.state import DispatcherState
from violetstack.policy_api import AttemptStatus

RELEASE_LEAD_MS = 100.0
"""What is held is released this long before it has to be, since the first host asked may not answer."""
CONNECT_GRACE_MS = 100.0
"""While a connection is to come up for an attempt that may take over what is held, a release waits until so
long after the retention time. The rule allows 350 ms more than that time."""
MAX_DELIVERY_MS = 60.0
"""A host acknowledges what was written within this, or its connection has fallen silent."""
RELEASE_OVERDUE_MS = 300.0
"""What is held may be released this long after the settings' time at the latest."""

NOTHING_HELD_STATUSES = frozenset(
    {
        AttemptStatus.REJECTED,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.ALREADY_FINISHED,
        AttemptStatus.LOCAL_FAULT,
    }
)
"""After these, the host holds nothing of the attempt and has not executed it."""
ENDED_BY_HOST_STATUSES = frozenset(
    {AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.REJECTED, AttemptStatus.PREFILLED}
)
"""After these, a host that runs has had the attempt."""

GiveUpUndelivered = Callable[[float, Attempt], None]
"""Ends an attempt that its host has not acknowledged."""


class HoldManager:
    """Applies events to the holds of requests, and releases what nobody takes over in time."""

    def __init__(self, state: DispatcherState, give_up: GiveUpUndelivered) -> None:
        """Creates it for a dispatcher's state; `give_up` ends attempts that have certainly not arrived."""
        self._state = state
        self._give_up = give_up

    def apply(self, now: float, request: OpenRequest, event: HoldEvent) -> None:
        """Takes an event into account, and times the hold anew where its clock has changed."""
        hold = request.hold
        before = (hold.state is HoldState.SETTLING, hold.unclaimed_since)
        hold.apply(now, event)
        if (hold.state is HoldState.SETTLING, hold.unclaimed_since) != before:
            self._schedule_release(now, request)

    def connect_timeout_ms(self, now: float, request: OpenRequest) -> float | None:
        """Returns how long a connection may take that is to take over what is held; None if nothing is."""
        hold = request.hold
        retention_ms = self._state.settings.state_retention_ms
        if hold.unclaimed_since is None or hold.state is HoldState.SETTLING or not retention_ms:
            return None
        return hold.unclaimed_since + retention_ms - now

    # --- the clock ---

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
        """Has what is held released, beside the attempts that are in flight.

        Only an attempt that its host has begun takes it over, and whether one has, only hosts know: a host
        that is frozen acknowledges all that is written to it. A release lets go of what no attempt waits for,
        so it does no harm to one that has begun. An attempt that has certainly not arrived is given up.
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
            return  # the end of the last attempt settled it
        self._start_release(now, request)
        overdue_at = (
            request.hold.unclaimed_since + self._state.settings.state_retention_ms + RELEASE_OVERDUE_MS
        )
        self._schedule(request, max(now, overdue_at), self._release_overdue)

    def _repeat_release_after_close(self, now: float, request: OpenRequest) -> None:
        """The end of the request's last attempt has reached its host by now."""
        request.hold_timer = None
        self._start_release(now, request)

    def _delivery_uncertain_until(self, now: float, request: OpenRequest) -> float:
        """Until when an attempt that takes over what is held may still arrive at a host that runs."""
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
                (each.server, each.request_written, round(now - each.sent_at))
                for each in request.in_flight.values()
            ],
            places=[(each.server, each.outcome.value) for each in request.reservation_log],
        )

    def _release_overdue(self, now: float, request: OpenRequest) -> None:
        """Nobody has taken over or released what is held."""
        request.hold_timer = None
        self._state.invariants.record_release_overdue(now, request)

    # --- releases ---

    def release(self, now: float, request: OpenRequest) -> None:
        """Releases what hosts may hold for the request, unless a release that covers it is in flight.

        What an attempt in flight waits for stays with its host.
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
            in_flight=[each.server for each in request.in_flight.values()],
        )
        self._state.driver.release_state(call)

    def repeat_release(self, now: float, request: OpenRequest) -> None:
        """A slot may have been taken after a release that is in flight, so one more release follows."""
        current_release = request.release
        if current_release is None or current_release.superseded:
            return
        current_release.superseded = True
        self.release(now, request)

    def mark_release_superseded(self, request: OpenRequest) -> None:
        """An attempt is being written: a release that is written later would release its state as well."""
        if request.release is not None:
            request.release.superseded = True

    def release_finished(self, now: float, call: ReleaseCall, done: bool) -> None:
        """A release ended; not `done` means that the driver gave it up, and the hosts' expiry has to do."""
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
            return  # what the attempt has left since is still held
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
        """Records what hosts may hold after an attempt. A prefill may succeed as its connection breaks.

        Only a host's word shows that it had begun the attempt, and that the time counts from its end.
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
        """The host that streams has taken over what was held, unless it holds nothing itself."""
        request = attempt.request
        if request.reservations_in_flight:
            if request.hold.may_be_held:
                self.apply(now, request, HoldEvent.STREAM_STARTED_EARLY)
        elif attempt.server not in self._state.endpoints.stateless_hosts:
            self.apply(now, request, HoldEvent.STREAM_STARTED)
        self.mark_release_superseded(request)


def _is_outdated(call: ReleaseCall) -> bool:
    """Whether an attempt has ended since the release began: what it has left may not be covered."""
    return not call.attempts_at_start <= call.request.in_flight.keys()
