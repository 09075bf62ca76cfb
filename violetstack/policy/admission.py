"""Admission control: load shedding, and slow start of endpoints that started recently."""

from __future__ import annotations

from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState
from violetstack.tracking.slow_start_limit import SlowStartLimit
from violetstack.tracking.state import PolicyState

BASE_WAIT_SHARE = 0.1  # share of the latency objective that a request of weight 0 may wait for its prefill
WEIGHTED_WAIT_SHARE = 0.4  # share that is added for weight 1
LATENESS_LIMIT = 0.6  # requests of weight 1 are rejected at random above this lateness
MIN_ADMITTED_SHARE = 0.1  # this share of requests is admitted however late they are


class Admission:
    """Decides which requests are admitted.

    Attributes:
        slow_start: Limits the requests to endpoints in slow start.
    """

    def __init__(self, state: PolicyState) -> None:
        """Decides by this state."""
        self._state = state
        self.slow_start = SlowStartLimit(state)

    def priority_weight(self, request: RequestState) -> float:
        """Returns the class's weight relative to the highest, 0 to 1, reduced beyond the tenant's quota."""
        settings = self._state.settings
        highest = max(spec.priority_weight for spec in settings.classes)
        weight = request.class_settings.priority_weight / highest if highest > 0 else 1.0
        quota = self._state.tenant_quotas.get(request.params.tenant_index)
        if quota is not None and not quota.has_token(self._state.now):
            weight *= settings.over_quota_weight
        return weight

    def rejects(self, request: RequestState, host: TrackedEndpoint) -> bool:
        """Returns whether to reject the request, since even the freest host would finish it too late.

        Requests of low weight are rejected first. This prevents queues in which every prefill finishes just
        too late after a burst, a slowdown, a loss of hosts or retries. One prefill of this dispatcher at a
        host is always admitted, so that wrong estimates are corrected. It could do harm if late answers were
        worth nearly as much as timely ones.
        """
        state = self._state
        weight = self.priority_weight(request)
        active = [other for other in state.requests.values() if other.scope == request.scope]
        if state.remote_load.active_peers or len(active) > state.load.prefill_host_count(request, state.now):
            return self._waits_too_long(request, host, weight)
        return self._too_many_are_late(request.scope, active, weight)

    def _waits_too_long(self, request: RequestState, host: TrackedEndpoint, weight: float) -> bool:
        """Returns whether the estimated wait at the host is too long for this weight."""
        now = self._state.now
        load = self._state.load
        wait_ms = load.prefill_wait_ms(host, request, now) + load.decode_wait_ms(request.scope, now)
        max_wait_ms = request.shortest_objective_ms * (BASE_WAIT_SHARE + WEIGHTED_WAIT_SHARE * weight)
        max_wait_ms -= now - request.arrived_at
        return wait_ms > max(0.0, min(request.deadline - now, max_wait_ms))

    def _too_many_are_late(self, scope: str, active: list[RequestState], weight: float) -> bool:
        """Draws at random whether to reject, by how late recent requests got their first token."""
        now = self._state.now
        ages = (other.lateness(now) for other in active if not other.started)
        lateness = self._state.statistics.lateness_of(scope).lower_tercile(now, ages)
        admitted_share = 2.0 - lateness / (LATENESS_LIMIT * (0.5 + 0.5 * weight))
        return self._state.rng.random() > max(MIN_ADMITTED_SHARE, admitted_share)
