"""Decides whether a request may be executed again, by the idempotency of its class."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from violetstack.core.records import Attempt
from violetstack.policy_api import ClassSettings, Endpoint, Idempotency
from violetstack.policy_api.deduplication import share_deduplication_records


class Execution(NamedTuple):
    """An attempt that has executed the request or may do so: when it was started, and its host's endpoint."""

    sent_at: float
    endpoint: Endpoint | None


def may_execute(now: float, attempt: Attempt, spec: ClassSettings) -> bool:
    """Returns whether the attempt may be executed now, given the executions that may have taken place before.

    Prefills have no effect, and idempotent requests may be executed any number of times. Other requests are
    executed once; those with an idempotency key may be repeated within the deduplication window, at hosts
    that share deduplication records with the first host.
    """
    if attempt.is_prefill or spec.idempotency is Idempotency.IDEMPOTENT:
        return True
    first = min(earlier_executions(attempt), key=lambda execution: execution.sent_at, default=None)
    if first is None:
        return True
    if spec.idempotency is Idempotency.NON_IDEMPOTENT or now >= first.sent_at + spec.deduplication_window_ms:
        return False
    return share_deduplication_records(first.endpoint, attempt.endpoint, spec.deduplication_scope)


def earlier_executions(attempt: Attempt) -> Iterator[Execution]:
    """Yields what may have executed the request before this attempt; prefills do not count."""
    request = attempt.request
    if request.may_have_run:
        yield Execution(request.first_execution_at, request.first_execution_endpoint)
    for other in request.in_flight.values():
        # Of two attempts that are not written yet, only the one with the lower number may go on.
        precedes = other.request_written or other.number < attempt.number
        if other is not attempt and precedes and not other.is_prefill:
            yield Execution(other.sent_at, other.endpoint)
