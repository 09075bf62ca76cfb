"""Reservations of decode slots."""

from __future__ import annotations

from violetstack.core.hold_manager import HoldManager
from violetstack.core.records import (
    OpenRequest,
    ReservationCall,
    ReservationLogEntry,
    ReservationOutcome,
)
from violetstack.core.remote_hold import HoldEvent
from violetstack.core.state import DispatcherState
from violetstack.policy_api import ReservationResult


class ReservationManager:
    """Makes reservations, and records what hosts may hold because of them."""

    def __init__(self, state: DispatcherState, hold_manager: HoldManager) -> None:
        """Creates a manager without reservations; `hold_manager` tracks what hosts hold for requests."""
        self._state = state
        self._hold_manager = hold_manager

    def reserve(self, request: OpenRequest, server: str) -> None:
        """Reserves a decode slot at the host while the request's prefill is in flight."""
        prefills = [attempt for attempt in request.in_flight.values() if attempt.is_prefill]
        request.reservations_in_flight += 1
        latest_prefill = prefills[-1] if prefills else None
        self._state.driver.reserve_decode_slot(ReservationCall(request, server, latest_prefill))

    def written(self, now: float, call: ReservationCall) -> None:
        """Records that the last byte was handed to the kernel: from now on a slot may be reserved."""
        call.written_at = now
        call.request.reservations_unanswered += 1
        self._hold_manager.apply(now, call.request, HoldEvent.RESERVATION_WRITTEN)

    def finished(
        self, now: float, call: ReservationCall, reserved: bool | None, nothing_reserved: bool
    ) -> None:
        """Records the end of a reservation.

        Args:
            now: The time.
            call: The reservation.
            reserved: Whether the host has reserved a slot; None if its answer is unknown.
            nothing_reserved: Whether the host certainly holds nothing for this call.
        """
        request = call.request
        request.reservations_in_flight -= 1
        request.reservations_unanswered -= call.written_at is not None
        request.reservation_log.append(ReservationLogEntry(call.server, _outcome(reserved)))
        self._record_slot(now, call, reserved, nothing_reserved)
        self._state.mark_changed(request)
        attempt = call.attempt
        if reserved is not None and attempt is not None and not attempt.finished:
            self._state.post(ReservationResult(request.id, attempt.server, attempt.number, reserved))
        self._state.wake()

    def _record_slot(
        self, now: float, call: ReservationCall, reserved: bool | None, nothing_reserved: bool
    ) -> None:
        """Records whether a slot may be reserved, and whether an attempt is known to claim it."""
        request = call.request
        attempt = call.attempt
        if nothing_reserved:
            if not request.reservations_unanswered:
                self._hold_manager.apply(now, request, HoldEvent.SLOT_REFUSED)
        elif reserved and attempt is not None and not attempt.finished:
            self._hold_manager.apply(now, request, HoldEvent.SLOT_CONFIRMED)
        elif request.committed_attempt is None or request.committed_attempt.finished:
            self._hold_manager.apply(now, request, HoldEvent.SLOT_UNCERTAIN)
            self._hold_manager.repeat_release(now, request)
        if reserved is None and not nothing_reserved:
            waited_ms = 0 if call.written_at is None else round(now - call.written_at)
            self._state.driver.log("reservation_uncertain", id=request.id, server=call.server, ms=waited_ms)


def _outcome(reserved: bool | None) -> ReservationOutcome:
    if reserved is None:
        return ReservationOutcome.UNKNOWN
    return ReservationOutcome.RESERVED if reserved else ReservationOutcome.NOT_RESERVED
