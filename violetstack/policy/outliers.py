"""Outlier detection: penalties for failures here and at other dispatchers."""

from __future__ import annotations

from violetstack.policy.freeness import NEAR_BEST
from violetstack.policy_api import (
    GOSSIPED_STATUSES,
    PENALIZED_STATUSES,
    AttemptFinished,
    GossipReceived,
    OutlierCheckResult,
)
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.gossip_receiver import GossipReceiver
from violetstack.tracking.gossip_sender import GossipSender
from violetstack.tracking.outcomes import state_was_lost
from violetstack.tracking.request import Attempt
from violetstack.tracking.state import PolicyState

MAX_DOUBLINGS = 6  # of the penalty, one for each consecutive failure
SUSPECT_FROM = 2  # consecutive failures from which an endpoint is avoided during an outlier check


def penalize(endpoint: TrackedEndpoint, cost: float, now: float) -> None:
    """Subtracts a failure's cost from the endpoint's freeness, doubled for each consecutive failure.

    Otherwise endpoints that fail fast would look free; hung, dead and unreachable ones are penalized as well.
    If the requests were at fault, all endpoints are penalized alike, and the least penalized is still used.
    Failures in one batch of events, such as those of a broken connection, count once. The cost is at least
    `NEAR_BEST`.
    """
    statistics = endpoint.statistics
    if now == statistics.last_failure_at:
        return
    statistics.last_failure_at = now
    statistics.consecutive_failures = min(MAX_DOUBLINGS, statistics.consecutive_failures + 1)
    statistics.penalty.add(now, max(NEAR_BEST, cost) * 2.0**statistics.consecutive_failures)


class OutlierDetection:
    """Penalizes endpoints for failures, and avoids those that another dispatcher checks."""

    def __init__(self, state: PolicyState, gossip: GossipSender) -> None:
        """Starts without failures; failures seen here are sent by `gossip`."""
        self._state = state
        self._gossip = gossip
        self._gossip_receiver = GossipReceiver(state, gossip)

    def on_attempt_finished(self, attempt: Attempt, event: AttemptFinished) -> None:
        """Penalizes a failure by the share of the host's budget that it used.

        After the first token only an answer that cannot be read counts as the host's failure.
        """
        if event.status not in PENALIZED_STATUSES or state_was_lost(event):
            return
        if attempt.started and not event.answer_spoilt:
            return
        now = self._state.now
        load = self._state.load
        request = attempt.request
        endpoint = attempt.endpoint
        if attempt.is_prefill:
            cost = attempt.prefill_cost / (request.objective_ms * load.prefill_speed(endpoint, now))
        else:
            cost = request.tokens / endpoint.memory_tokens(now)
        penalize(endpoint, cost, now)
        if event.status in GOSSIPED_STATUSES:
            self._gossip.add_failure(endpoint)

    def on_gossip(self, event: GossipReceived) -> None:
        """Penalizes endpoints whose failure another dispatcher reports."""
        for endpoint in self._gossip_receiver.receive(event):
            penalize(endpoint, 0.0, self._state.now)

    def on_outlier_check(self, event: OutlierCheckResult) -> None:
        """Avoids an endpoint while another dispatcher checks it, and clears its penalty once it recovered.

        A check alone has no effect: SUSPECT_FROM consecutive failures must be known here, own or reported.
        """
        endpoint = self._state.endpoints.by_name.get(event.server)
        if endpoint is None:
            return
        statistics = endpoint.statistics
        if event.recovered:
            statistics.clear_penalty()
            statistics.consecutive_failures = 0
        is_suspect = statistics.consecutive_failures >= SUSPECT_FROM
        statistics.avoid_until = self._state.now + event.checked_elsewhere_ms if is_suspect else 0.0

    def is_suspect(self, name: str) -> bool:
        """Returns whether the endpoint had so many consecutive failures that it should be checked."""
        endpoint = self._state.endpoints.by_name.get(name)
        return endpoint is not None and endpoint.statistics.consecutive_failures >= SUSPECT_FROM
