"""Outlier detection: what failures cost an endpoint, those that other dispatchers met included."""

from __future__ import annotations

from violetstack.policy.freeness import NEAR_BEST
from violetstack.policy_api import (
    BLAMED_STATUSES,
    GOSSIPED_STATUSES,
    AttemptFinished,
    GossipReceived,
    OutlierCheckResult,
)
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.gossip_receiver import GossipReceiver
from violetstack.tracking.gossip_sender import GossipSender
from violetstack.tracking.outcomes import lost_state
from violetstack.tracking.request import Attempt
from violetstack.tracking.state import PolicyState

MAX_DOUBLINGS = 6  # of the penalty, by failures in a row
SUSPECT_FROM = 2  # failures in a row from which another dispatcher's check counts


def penalize(endpoint: TrackedEndpoint, cost: float, now: float) -> None:
    """Take a failure's cost in freeness off the endpoint's, and twice that for each further one in a row.

    Guards against endpoints that fail fast and so look free, always or now and then; also against hung, dead
    and unreachable ones. Harms an endpoint whose requests were at fault: then all are penalized alike and the
    least penalized still serves. What fails in one batch (a connection is cut) is one failure, and
    costs `NEAR_BEST` at least.
    """
    learned = endpoint.statistics
    if now == learned.last_failure_at:
        return
    learned.last_failure_at = now
    learned.consecutive_failures = min(MAX_DOUBLINGS, learned.consecutive_failures + 1)
    learned.penalty.add(now, max(NEAR_BEST, cost) * 2.0**learned.consecutive_failures)


class OutlierDetection:
    """Penalizes endpoints for failures, and leaves alone those that another dispatcher checks."""

    def __init__(self, state: PolicyState, gossip: GossipSender) -> None:
        """Nothing failed yet; failures of ours go out by `gossip`."""
        self._state = state
        self._gossip = gossip
        self._gossip_receiver = GossipReceiver(state, gossip)

    def on_attempt_finished(self, attempt: Attempt, event: AttemptFinished) -> None:
        """A failure before the first token costs what the attempt took of its host's budget."""
        if event.status not in BLAMED_STATUSES or attempt.started or lost_state(event):
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
        """An endpoint that failed another dispatcher has failed all."""
        for endpoint in self._gossip_receiver.receive(event):
            penalize(endpoint, 0.0, self._state.now)

    def on_outlier_check(self, event: OutlierCheckResult) -> None:
        """One dispatcher checks an endpoint that failed, and the others leave it alone for so long.

        Its word ejects nothing by itself: two failures have to be known here, ours or told by others.
        """
        endpoint = self._state.endpoints.by_name.get(event.server)
        if endpoint is None:
            return
        learned = endpoint.statistics
        if event.recovered:
            learned.clear_penalty()
            learned.consecutive_failures = 0
        suspect = learned.consecutive_failures >= SUSPECT_FROM
        learned.avoid_until = self._state.now + event.checked_elsewhere_ms if suspect else 0.0

    def suspects(self, name: str) -> bool:
        """Did the endpoint fail so often in a row that it should be checked?"""
        endpoint = self._state.endpoints.by_name.get(name)
        return endpoint is not None and endpoint.statistics.consecutive_failures >= SUSPECT_FROM
