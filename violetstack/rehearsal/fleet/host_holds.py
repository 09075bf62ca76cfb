"""Records what a scripted model host holds, for the hold audit."""

from __future__ import annotations

from collections.abc import Callable

import trio

from violetstack.policy_api import Role
from violetstack.rehearsal.fleet.hold_audit import HoldEvidence, HostRecord
from violetstack.rehearsal.fleet.socket_audit import HostAttempt

UNCERTAIN_AFTER_S = 0.3
"""How long a host waits for a prefill to begin before it answers a reservation with 204."""
PREFILL_POLL_S = 0.005


class HoldRecorder:
    """Records the holds of one host; all hosts share the evidence with the number of prefills in flight."""

    def __init__(self, evidence: HoldEvidence, host: str, clock: Callable[[], float]) -> None:
        self._evidence = evidence
        self._host = host
        self._clock = clock

    def slot_reserved(self, request_id: str) -> None:
        self._record(HostRecord.SLOT_RESERVED, request_id)

    def release_taken(self, request_id: str) -> None:
        """Records a release, after the ends of the attempts whose connections were closed before it.

        A rehearsal that runs late may handle the release before it has noticed such a close on another
        connection.
        """
        for record_end_if_closed in list(self._evidence.close_checks.get(request_id, {}).values()):
            record_end_if_closed()
        self._record(HostRecord.RELEASE_TAKEN, request_id)

    def stream_started(self, attempt: HostAttempt) -> None:
        """Records that the stream of the attempt has started."""
        self._record(HostRecord.TAKEN_OVER, attempt.request_id)

    async def wait_for_prefill(self, request_id: str) -> bool:
        """Returns whether a prefill of the request is in flight or begins within UNCERTAIN_AFTER_S."""
        wait_until = self._clock() + UNCERTAIN_AFTER_S
        while self._clock() < wait_until:
            if self._evidence.prefills_in_flight[request_id]:
                return True
            await trio.sleep(PREFILL_POLL_S)
        return False

    def attempt_begun(self, attempt: HostAttempt, peer_has_closed: Callable[[], bool]) -> None:
        """Records that the attempt has begun, so it is in flight.

        `peer_has_closed` returns whether the dispatcher has closed its connection by now.
        """

        def record_end_if_closed() -> None:
            if peer_has_closed():
                self.attempt_ended(attempt, leaves_state=False)

        self._record(HostRecord.ATTEMPT_BEGUN, attempt.request_id)
        self._evidence.close_checks.setdefault(attempt.request_id, {})[id(attempt)] = record_end_if_closed
        if attempt.role is Role.PREFILL:
            self._evidence.prefills_in_flight[attempt.request_id] += 1

    def attempt_ended(self, attempt: HostAttempt, *, leaves_state: bool) -> None:
        """Records that the attempt has ended; further calls for it have no effect.

        `leaves_state`: its prefilled state stays at the host.
        """
        if not attempt.end_pending:
            return
        attempt.end_pending = False
        self._evidence.close_checks[attempt.request_id].pop(id(attempt))
        if attempt.role is Role.PREFILL:
            self._evidence.prefills_in_flight[attempt.request_id] -= 1
            if leaves_state:
                self._record(HostRecord.STATE_LEFT, attempt.request_id)
        self._record(HostRecord.ATTEMPT_ENDED, attempt.request_id)

    def _record(self, record: HostRecord, request_id: str) -> None:
        self._evidence.record(self._clock(), record, request_id, self._host)
