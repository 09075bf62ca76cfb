"""Decode slots that are reserved for a request, and the release of what hosts hold for it."""

from __future__ import annotations

from violetstack.core.hold_clock import HoldClock
from violetstack.core.records import (
    OpenRequest,
    ReleaseCall,
    ReservationCall,
    ReservationLogEntry,
    ReservationOutcome,
)
from violetstack.core.remote_hold import HoldEvent
from violetstack.core.state import DispatcherState
from violetstack.policy_api import ReservationResult


class Reservations:
    """Makes reservations and releases, and keeps track of whether a host may hold anything."""

    def __init__(self, state: DispatcherState, clock: HoldClock) -> None:
        """Creates it for a dispatcher's state; `clock` follows what is held."""
        self._state = state
        self._clock = clock

    def reserve(self, request: OpenRequest, server: str) -> None:
        """Reserves a decode slot at the host, after a release that is in flight."""
        prefills = [attempt for attempt in request.in_flight.values() if attempt.is_prefill]
        request.reservations_in_flight += 1
        latest_prefill = prefills[-1] if prefills else None
        self._state.driver.reserve_decode_slot(
            ReservationCall(request, server, latest_prefill, request.release)
        )

    def written(self, now: float, call: ReservationCall) -> None:
        """The last byte of a reservation was handed to the kernel: from now on a slot may be reserved."""
        call.written_at = now
        call.request.reservations_unanswered += 1
        self._clock.apply(now, call.request, HoldEvent.RESERVATION_WRITTEN)

    def finished(
        self, now: float, call: ReservationCall, reserved: bool | None, nothing_reserved: bool
    ) -> None:
        """A reservation ended.

        Args:
            now: The time.
            call: The reservation.
            reserved: What the host answered; None if that is unknown.
            nothing_reserved: Whether it is certain that the host holds nothing of this call. If it is not,
                the request keeps its remote state until it is released.
        """
        request = call.request
        request.reservations_in_flight -= 1
        request.reservations_unanswered -= call.written_at is not None
        request.reservation_log.append(ReservationLogEntry(call.server, _outcome(reserved)))
        self._record_slot(now, call, reserved, nothing_reserved)
        if not nothing_reserved:
            request.holds_remote_state = True
            self._repeat_overtaken_release(request)
        self._state.mark_changed(request)
        attempt = call.attempt
        if reserved is not None and attempt is not None and not attempt.finished:
            self._state.post(ReservationResult(request.id, attempt.server, attempt.number, reserved))
        self._state.wake()

    def _record_slot(
        self, now: float, call: ReservationCall, reserved: bool | None, nothing_reserved: bool
    ) -> None:
        """Records whether a slot may be reserved, and whether an attempt is known to take it over."""
        request = call.request
        attempt = call.attempt
        if nothing_reserved:
            if not request.reservations_unanswered:
                self._clock.apply(now, request, HoldEvent.SLOT_REFUSED)
        elif reserved and attempt is not None and not attempt.finished:
            self._clock.apply(now, request, HoldEvent.SLOT_CONFIRMED)
        elif request.committed_attempt is None or request.committed_attempt.finished:
            self._clock.apply(now, request, HoldEvent.SLOT_UNCERTAIN)
        if reserved is None and not nothing_reserved:
            waited_ms = 0 if call.written_at is None else round(now - call.written_at)
            self._state.driver.log("reservation_uncertain", id=request.id, server=call.server, ms=waited_ms)

    def _repeat_overtaken_release(self, request: OpenRequest) -> None:
        """The slot may have been taken after a release that is in flight, so one more release follows."""
        overtaken = request.release
        if overtaken is None or overtaken.superseded:
            return
        overtaken.superseded = True
        self.release(overtaken.since, request)

    def release(self, now: float, request: OpenRequest) -> None:
        """Releases what hosts may hold for the request, unless a release that covers it is in flight."""
        under_way = request.release
        covered = under_way is not None and not (under_way.superseded or under_way.beside_attempt)
        if request.holds_remote_state and not covered:
            self._start_release(ReleaseCall(request, now))

    def release_beside_attempt(self, now: float, request: OpenRequest) -> None:
        """Releases what is held unless an attempt that is in flight waits for it, which only hosts know."""
        if request.holds_remote_state and request.release is None:
            self._start_release(ReleaseCall(request, now, beside_attempt=True))

    def _start_release(self, call: ReleaseCall) -> None:
        request = call.request
        request.release = call
        self._state.driver.log(
            "release_started",
            id=request.id,
            held=request.hold.state.value,
            held_ms=round(request.hold.unclaimed_ms(call.since)),
            in_flight=[each.server for each in request.in_flight.values()],
        )
        self._state.driver.release_state(call)

    def release_finished(self, now: float, call: ReleaseCall, done: bool) -> None:
        """A release ended; not `done` means that the driver gave it up, and the hosts' expiry has to do."""
        request = call.request
        if request.release is call:
            request.release = None
            if not call.superseded:
                request.holds_remote_state = call.beside_attempt
                self._clock.apply(now, request, _release_event(request, done))
                if not done:
                    self._state.invariants.release_abandoned(request)
                    self._state.driver.log("release_abandoned", id=request.id)
        self._state.mark_changed(request)
        self._state.wake()


def _release_event(request: OpenRequest, done: bool) -> HoldEvent:
    if not done:
        return HoldEvent.ABANDONED
    if request.reservations_unanswered:
        return HoldEvent.RELEASED_BEFORE_ANSWER
    return HoldEvent.RELEASED_BESIDE_ATTEMPT if request.in_flight else HoldEvent.RELEASED


def _outcome(reserved: bool | None) -> ReservationOutcome:
    if reserved is None:
        return ReservationOutcome.UNKNOWN
    return ReservationOutcome.RESERVED if reserved else ReservationOutcome.NOT_RESERVED
