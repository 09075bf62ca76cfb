"""The one place that decides whether something may be sent to a model host now.

Attempts and reservations ask here: as they are started, in the step that writes the first byte, and in each
step that writes more. A host begins a request with its last byte, so everything that forbids an attempt
withholds the rest of it. Whether an execution may be repeated is in `execution.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from violetstack.core.execution import may_execute
from violetstack.core.records import Attempt, OpenRequest, ReservationCall
from violetstack.core.state import DispatcherState
from violetstack.policy_api import ClassSettings


class WithholdReason(StrEnum):
    """Why nothing is sent; the values are those of the log."""

    REQUEST_OVER = "request is over"
    CLIENT_DISCONNECTED = "client has gone"
    DEADLINE = "time is up"
    HOST_UNLISTED = "host is not listed"
    HOST_DRAINING = "host drains"
    REPETITION = "may not be repeated"
    CLAIM = "claim is not held"
    ATTEMPTS = "no attempts left"
    HEDGE = "no second attempt beside another"
    PREFILL_ENDED = "prefill is not in flight"


class SendGuard:
    """Answers None where something may be sent, else the reason why it may not."""

    def __init__(
        self, state: DispatcherState, client_disconnected: Callable[[float, OpenRequest], None]
    ) -> None:
        """`client_disconnected` is called when a client turns out to have gone."""
        self._state = state
        self._client_disconnected = client_disconnected

    def check_start(self, now: float, attempt: Attempt) -> WithholdReason | None:
        """May the attempt be started?"""
        request = attempt.request
        settings = self._state.settings
        if not request.accepts_attempts:
            return WithholdReason.REQUEST_OVER
        if attempt.endpoint is None:
            return WithholdReason.HOST_UNLISTED
        if len(request.in_flight) > 1 and not settings.hedging_allowed:
            return WithholdReason.HEDGE
        if attempt.number >= settings.max_attempts:
            return WithholdReason.ATTEMPTS
        if attempt.deadline <= now:
            return WithholdReason.DEADLINE
        return None if may_execute(now, attempt, self._class_settings(request)) else WithholdReason.REPETITION

    def check_first_byte(self, now: float, attempt: Attempt) -> WithholdReason | None:
        """May its first byte be written? Not to a host that drains."""
        withheld = self.check_next_bytes(now, attempt)
        if withheld is not None:
            return withheld
        return self.check_host(attempt.server)

    def check_next_bytes(self, now: float, attempt: Attempt) -> WithholdReason | None:
        """May the rest, or a part of it, be written? A host that drains finishes what it has the begin of."""
        request = attempt.request
        if not attempt.finished and request.accepts_attempts and request.sink.is_client_disconnected():
            # The end of the connection may not have been read from the socket yet.
            self._client_disconnected(now, request)
        if request.client_disconnected:
            return WithholdReason.CLIENT_DISCONNECTED
        if attempt.finished or not request.accepts_attempts:
            return WithholdReason.REQUEST_OVER
        if now >= attempt.deadline:
            return WithholdReason.DEADLINE
        if not request.sending_allowed():
            return WithholdReason.CLAIM
        return None if may_execute(now, attempt, self._class_settings(request)) else WithholdReason.REPETITION

    def check_host(self, server: str) -> WithholdReason | None:
        """May anything be written to the host?"""
        endpoints = self._state.endpoints
        if endpoints.accepts_requests(server):
            return None
        return WithholdReason.HOST_DRAINING if server in endpoints.draining else WithholdReason.HOST_UNLISTED

    def check_reservation(self, call: ReservationCall) -> WithholdReason | None:
        """May a slot be asked for? Only while the prefill attempt is out.

        Else the decode host knows of no state to wait for: it would answer 204 after 0.3 s, and a slot could
        be reserved that nobody counts on.
        """
        attempt = call.attempt
        if attempt is None or not attempt.request_written or attempt.finished:
            return WithholdReason.PREFILL_ENDED
        if call.request.done:
            return WithholdReason.REQUEST_OVER
        return self.check_host(call.server)

    def _class_settings(self, request: OpenRequest) -> ClassSettings:
        return self._state.settings.classes[request.policy_request.class_index]
