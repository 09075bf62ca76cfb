"""Decides whether attempts and reservations may be sent to a model host.

An attempt is checked when it is started, in the step that writes its first byte, and in each step that writes
more. A host begins a request when it has received its last byte, so an attempt that is no longer allowed is
cut off before that byte. Whether a request may be executed again is decided in `execution.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from violetstack.core.execution import may_execute
from violetstack.core.records import Attempt, OpenRequest, ReservationCall
from violetstack.core.state import DispatcherState
from violetstack.policy_api import ClassSettings


class WithholdReason(StrEnum):
    """Why an attempt or a reservation is not sent; the values are those in the log."""

    REQUEST_OVER = "request is over"
    CLIENT_DISCONNECTED = "client has gone"
    DEADLINE_EXCEEDED = "time is up"
    HOST_UNLISTED = "host is not listed"
    HOST_DRAINING = "host drains"
    REPETITION_FORBIDDEN = "may not be repeated"
    CLAIM_NOT_HELD = "claim is not held"
    NO_ATTEMPTS_LEFT = "no attempts left"
    HEDGING_FORBIDDEN = "no second attempt beside another"
    PREFILL_ENDED = "prefill is not in flight"


class SendGuard:
    """Checks attempts and reservations; each check returns None, or the reason why they may not be sent."""

    def __init__(
        self, state: DispatcherState, client_disconnected: Callable[[float, OpenRequest], None]
    ) -> None:
        """Creates a guard; it calls `client_disconnected` when it finds that a client has disconnected."""
        self._state = state
        self._client_disconnected = client_disconnected

    def check_start(self, now: float, attempt: Attempt) -> WithholdReason | None:
        """Checks whether the attempt may be started."""
        request = attempt.request
        settings = self._state.settings
        if not request.accepts_attempts:
            return WithholdReason.REQUEST_OVER
        if attempt.endpoint is None:
            return WithholdReason.HOST_UNLISTED
        if len(request.in_flight) > 1 and not settings.hedging_allowed:
            return WithholdReason.HEDGING_FORBIDDEN
        if attempt.number >= settings.max_attempts:
            return WithholdReason.NO_ATTEMPTS_LEFT
        if attempt.deadline <= now:
            return WithholdReason.DEADLINE_EXCEEDED
        return None if self._may_execute(now, attempt) else WithholdReason.REPETITION_FORBIDDEN

    def check_first_byte(self, now: float, attempt: Attempt) -> WithholdReason | None:
        """Checks whether the attempt's first byte may be written, which a draining host does not accept."""
        withheld = self.check_next_bytes(now, attempt)
        if withheld is not None:
            return withheld
        return self.check_host(attempt.server)

    def check_next_bytes(self, now: float, attempt: Attempt) -> WithholdReason | None:
        """Checks whether more of the attempt may be written; a draining host still accepts the rest."""
        request = attempt.request
        if not attempt.finished and request.accepts_attempts and request.sink.is_client_disconnected():
            # The end of the client's connection may not have been read from its socket yet.
            self._client_disconnected(now, request)
        if request.client_disconnected:
            return WithholdReason.CLIENT_DISCONNECTED
        if attempt.finished or not request.accepts_attempts:
            return WithholdReason.REQUEST_OVER
        if now >= attempt.deadline:
            return WithholdReason.DEADLINE_EXCEEDED
        if not request.sending_allowed():
            return WithholdReason.CLAIM_NOT_HELD
        return None if self._may_execute(now, attempt) else WithholdReason.REPETITION_FORBIDDEN

    def _may_execute(self, now: float, attempt: Attempt) -> bool:
        request = attempt.request
        if not attempt.is_prefill and self._executed_elsewhere(request):
            return False
        return may_execute(now, attempt, self._class_settings(request))

    def _executed_elsewhere(self, request: OpenRequest) -> bool:
        """Whether another process may have executed the request, which may not be repeated."""
        state = self._state
        if request.execution_recorded or state.may_repeat(request.policy_request):
            return False
        return state.executed.contains(request.id)

    def check_host(self, server: str) -> WithholdReason | None:
        """Checks whether new calls may be sent to the host."""
        endpoints = self._state.endpoints
        if endpoints.accepts_requests(server):
            return None
        return WithholdReason.HOST_DRAINING if server in endpoints.draining else WithholdReason.HOST_UNLISTED

    def check_reservation(self, call: ReservationCall) -> WithholdReason | None:
        """Checks whether the reservation may be sent; its prefill attempt must be in flight.

        Otherwise the decode host would find no prefill to wait for: it would answer 204 after 0.3 s, and
        might reserve a slot that the dispatcher does not expect.
        """
        attempt = call.attempt
        if attempt is None or not attempt.request_written or attempt.finished:
            return WithholdReason.PREFILL_ENDED
        if call.request.done:
            return WithholdReason.REQUEST_OVER
        return self.check_host(call.server)

    def _class_settings(self, request: OpenRequest) -> ClassSettings:
        return self._state.settings.classes[request.policy_request.class_index]
