"""Which attempts of a request may be executed beside or after others, by its class's idempotency."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from violetstack.core.records import Attempt
from violetstack.policy_api import ClassSettings, DeduplicationScope, Endpoint, Idempotency


class Execution(NamedTuple):
    """An execution of a request that took place or may take place: when it was sent, and where to."""

    sent_at: float
    endpoint: Endpoint | None


def may_execute(now: float, attempt: Attempt, spec: ClassSettings) -> bool:
    """Returns whether the attempt may be executed now, given those that may run or may have run.

    Prefills have no effect, and idempotent requests may run any number of times. Others run once; with an
    idempotency key they may be repeated within the deduplication window, at hosts that share its records.
    """
    if attempt.is_prefill or spec.idempotency is Idempotency.IDEMPOTENT:
        return True
    first = min(_earlier_executions(attempt), key=lambda each: each.sent_at, default=None)
    if first is None:
        return True
    if spec.idempotency is Idempotency.NON_IDEMPOTENT or now >= first.sent_at + spec.deduplication_window_ms:
        return False
    return share_deduplication_records(first.endpoint, attempt.endpoint, spec.deduplication_scope)


def _earlier_executions(attempt: Attempt) -> Iterator[Execution]:
    request = attempt.request
    if request.may_have_run:
        yield Execution(request.first_execution_at, request.first_execution_endpoint)
    for other in request.in_flight.values():
        # Of two that are both unwritten, the later one gives way.
        precedes = other.request_written or other.number < attempt.number
        if other is not attempt and precedes and not other.is_prefill:
            yield Execution(other.sent_at, other.endpoint)


def share_deduplication_records(
    first: Endpoint | None, second: Endpoint | None, scope: DeduplicationScope
) -> bool:
    """Returns whether the second host drops a repetition of what the first has executed."""
    if scope is DeduplicationScope.ALL:
        return True
    if first is None or second is None:
        return False
    if scope is DeduplicationScope.ZONE:
        return first.zone == second.zone
    return first.cell == second.cell
