"""Rules for retries, the timeout of an attempt, and which final answer is correct."""

from __future__ import annotations

from violetstack.policy_api import AttemptFinished, AttemptStatus, DeduplicationScope, Idempotency
from violetstack.policy_api.deduplication import share_deduplication_records
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.outcomes import state_was_lost
from violetstack.tracking.request import Attempt, RequestState
from violetstack.tracking.state import PolicyState

CUTOFF_MS = 40.0  # before the deadline: attempts are no longer sent, and prefills in flight are cancelled
OBJECTIVES_PER_ATTEMPT = 2.0  # timeout of an attempt: twice the latency objective of the request
CLASS_SHARE = 1.5  # minus this share of the class's objective, so that half of it is left
MEDIANS_PER_ATTEMPT = 4.0  # but at least this multiple of the recent median
DECODE_ATTEMPTS = 1  # needed by a request whose prompt is prefilled
FULL_ATTEMPTS = 2  # needed by one that starts again
SPARE_ATTEMPTS = 1  # left beyond the needed ones, so that an attempt may time out before the deadline


def may_retry_at(request: RequestState, endpoint: TrackedEndpoint, now: float) -> bool:
    """Rule 2: returns whether an attempt that may have an effect is allowed at this endpoint.

    It always is before the first such attempt, and for idempotent requests. A request with an idempotency key
    may be repeated within the deduplication window, at hosts that discard repetitions of the first attempt.
    """
    first = request.first_attempt_with_effect
    class_settings = request.class_settings
    if first is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    past_window = now >= first.sent_at + class_settings.deduplication_window_ms - CUTOFF_MS
    if class_settings.idempotency is Idempotency.NON_IDEMPOTENT or past_window:
        return False
    scope = class_settings.deduplication_scope
    return share_deduplication_records(first.endpoint.entry, endpoint.entry, scope)


def may_reject(request: RequestState) -> bool:
    """Rule 2: returns whether a rejection is correct, which tells the client that a retry does no harm."""
    idempotency = request.class_settings.idempotency
    deduplicated = request.class_settings.deduplication_scope is DeduplicationScope.ALL
    if idempotency is Idempotency.IDEMPOTENT or (idempotency is Idempotency.IDEMPOTENCY_KEY and deduplicated):
        return True
    return request.first_attempt_with_effect is None and not request.in_flight


def attempt_timeout_ms(state: PolicyState, attempt: Attempt) -> float:
    """Returns the timeout after which another attempt is made; the deadline if none could follow.

    It is twice the length's part of the latency objective plus half the class's own, so that long prefills do
    not time out. A prefill has no effect and may always be retried, a decode only if it is idempotent.
    """
    request = attempt.request
    class_settings = request.class_settings
    statistics = state.statistics
    recent_times = statistics.prefill_times_ms if attempt.is_prefill else statistics.first_token_times_ms
    timeout_ms = max(
        OBJECTIVES_PER_ATTEMPT * request.objective_ms - CLASS_SHARE * class_settings.latency_objective_ms,
        MEDIANS_PER_ATTEMPT * recent_times.median(state.now),
    )
    timeout_ms /= state.load.capacity_fraction(attempt.endpoint, state.now)
    attempts_left = request.max_attempts - request.attempts_sent
    attempts_needed = (FULL_ATTEMPTS if attempt.is_prefill else DECODE_ATTEMPTS) + SPARE_ATTEMPTS
    repeatable = attempt.is_prefill or class_settings.idempotency is Idempotency.IDEMPOTENT
    return timeout_ms if repeatable and attempts_left >= attempts_needed else request.deadline - state.now


def must_prefill_again(request: RequestState, attempt: Attempt, event: AttemptFinished) -> bool:
    """Returns whether the prefilled state is lost, or may be, after this failure."""
    if attempt.is_prefill or request.slot.reserved or request.state_host is None:
        return True
    return event.status is AttemptStatus.ERROR or state_was_lost(event)


def may_retry(request: RequestState, attempts_needed: int, now: float) -> bool:
    """Returns whether time, number of attempts and the route's retry budget allow a retry.

    `attempts_needed` is the number of attempts that would complete the request from here.
    """
    too_late = now >= request.deadline - CUTOFF_MS
    if too_late or request.max_attempts - request.attempts_sent < attempts_needed:
        return False
    return request.route is None or request.route.take_retry(now)
