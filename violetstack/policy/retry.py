"""Which attempts may follow another, how long one may take, and which final answer is honest."""

from __future__ import annotations

from violetstack.policy_api import AttemptFinished, AttemptStatus, DeduplicationScope, Idempotency
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.outcomes import lost_state
from violetstack.tracking.request import Attempt, RequestState
from violetstack.tracking.state import PolicyState

CUTOFF_MS = 40.0  # before the deadline: nothing new is sent, and prefills in flight are cancelled
OBJECTIVES_AN_ATTEMPT = 2.0  # an attempt may take twice the latency objective,
CLASS_PART = 1.5  # less this part of the class's own: half of it, and twice what it grants for the length
USUAL_TIMES_AN_ATTEMPT = 4.0  # or so often the median time of late
DECODE = 1  # attempts that serve a request whose prompt is computed
PREFILL_AND_DECODE = 2  # and one that starts anew
SPARE_ATTEMPTS = 1  # beyond those that the request needs, before an attempt is cut short


def may_retry_at(request: RequestState, endpoint: TrackedEndpoint, now: float) -> bool:
    """Rule 2: may a (further) attempt with an effect go to this endpoint?

    Always before the first, and for idempotent requests. One with an idempotency key may be repeated within
    the deduplication window, where the first attempt's endpoint and this one drop each other's repeats.
    """
    first = request.first_effective
    class_settings = request.class_settings
    if first is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    past_window = now >= first.sent_at + class_settings.deduplication_window_ms - CUTOFF_MS
    if class_settings.idempotency is Idempotency.NON_IDEMPOTENT or past_window:
        return False
    match class_settings.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return endpoint.entry.zone == first.endpoint.entry.zone
        case DeduplicationScope.CELL:
            return endpoint.entry.cell == first.endpoint.entry.cell


def may_reject(request: RequestState) -> bool:
    """Rule 2: a rejection tells the client that a retry does no harm."""
    idempotency = request.class_settings.idempotency
    deduplicated = request.class_settings.deduplication_scope is DeduplicationScope.ALL
    if idempotency is Idempotency.IDEMPOTENT or (idempotency is Idempotency.IDEMPOTENCY_KEY and deduplicated):
        return True
    return request.first_effective is None and not request.in_flight


def attempt_timeout_ms(state: PolicyState, attempt: Attempt) -> float:
    """How long an attempt may take before another is made elsewhere; to the deadline where none could be.

    Twice the latency objective that the length grants and half the class's own, so that a long prefill is not
    cut short. A prefill has no effect and may always be retried; a decode only where its class allows.
    """
    request = attempt.request
    class_settings = request.class_settings
    statistics = state.statistics
    usual = statistics.prefill_times_ms if attempt.is_prefill else statistics.first_token_times_ms
    timeout_ms = max(
        OBJECTIVES_AN_ATTEMPT * request.objective_ms - CLASS_PART * class_settings.latency_objective_ms,
        USUAL_TIMES_AN_ATTEMPT * usual.median(state.now),
    )
    timeout_ms /= state.load.capacity_fraction(attempt.endpoint, state.now)
    attempts_left = request.max_attempts - request.sent
    needed = (PREFILL_AND_DECODE if attempt.is_prefill else DECODE) + SPARE_ATTEMPTS
    repeatable = attempt.is_prefill or class_settings.idempotency is Idempotency.IDEMPOTENT
    return timeout_ms if repeatable and attempts_left >= needed else request.deadline - state.now


def must_prefill_again(request: RequestState, attempt: Attempt, event: AttemptFinished) -> bool:
    """Is the request's computed state lost, or in doubt, after this failure?"""
    if attempt.is_prefill or request.slot.reserved or request.state_at is None:
        return True
    return event.status is AttemptStatus.ERROR or lost_state(event)


def may_retry(request: RequestState, needed: int, now: float) -> bool:
    """May another attempt follow a failed one, by time, number and the route's retry budget?

    `needed` is the number of attempts that would serve the request from here.
    """
    too_late = now >= request.deadline - CUTOFF_MS
    if too_late or request.max_attempts - request.sent < needed:
        return False
    return request.route is None or request.route.take_retry(now)
