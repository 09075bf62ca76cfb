"""Statistics from the outcomes of attempts: times, speeds, cached tokens and load reports."""

from __future__ import annotations

from violetstack.estimation.prefill_cost import prefill_cost
from violetstack.policy_api import AttemptFinished, AttemptStatus, StreamStarted
from violetstack.tracking.request import Attempt
from violetstack.tracking.state import PolicyState

STATE_MISSING = 1  # detail of a rejection: the decode host did not have the request's prefilled state


def state_was_lost(event: AttemptFinished) -> bool:
    """Returns whether the host rejected the attempt because it no longer had the request's state."""
    return event.status is AttemptStatus.REJECTED and event.detail == STATE_MISSING


def record_start(state: PolicyState, attempt: Attempt, event: StreamStarted) -> None:
    """Updates the statistics with a first token."""
    statistics = state.statistics
    request = attempt.request
    if not attempt.spans_pause:
        statistics.first_token_times_ms.add(state.now, event.duration_ms)
    statistics.add_request(state.now, len(state.endpoints.decode_hosts), is_prefill=False)
    statistics.decode_starts_of(request.scope).add(state.now, 1.0)
    statistics.lateness_of(request.scope).add(state.now, request.lateness(state.now))
    attempt.endpoint.statistics.consecutive_failures = 0


def record_outcome(state: PolicyState, attempt: Attempt, event: AttemptFinished) -> None:
    """Updates the statistics with the end of an attempt, except the penalty for a failure."""
    statistics = state.statistics
    ended_prefill = event.status in (AttemptStatus.PREFILLED, AttemptStatus.TIMEOUT)
    state.load.add_report(attempt.endpoint, event.load_report, state.now - state.pause_ms)
    if attempt.is_prefill and not attempt.spans_pause and ended_prefill:
        statistics.prefill_times_ms.add(state.now, event.duration_ms)
    if event.status is AttemptStatus.TIMEOUT and not attempt.is_prefill and not attempt.started:
        statistics.first_token_times_ms.add(state.now, event.duration_ms)
    if event.status is AttemptStatus.PREFILLED:
        _record_prefill(state, attempt, event)


def _record_prefill(state: PolicyState, attempt: Attempt, event: AttemptFinished) -> None:
    """Updates the statistics with a prefill; `event.detail` is the number of cached prompt tokens."""
    now = state.now
    params = attempt.request.params
    statistics = state.statistics
    endpoint = attempt.endpoint
    if not attempt.spans_pause:
        cost = attempt.cost_at_send - attempt.prefill_cost + prefill_cost(params.prompt_tokens - event.detail)
        statistics.add_prefill(now, cost, event.duration_ms)
        endpoint.statistics.add_prefill(now, cost, event.duration_ms)
    statistics.add_request(now, len(state.endpoints.prefill_hosts), is_prefill=True)
    statistics.add_cached_tokens(now, attempt.expected_cached_tokens, event.detail)
    if params.session is not None:
        state.endpoints.affinity.remember(params.session, endpoint.name)
    endpoint.statistics.consecutive_failures = 0
