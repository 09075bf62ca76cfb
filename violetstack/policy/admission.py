"""Admission control: rejections under overload, and slow start of endpoints that just started."""

from __future__ import annotations

from violetstack.estimation.slow_start import capacity_fraction
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState
from violetstack.tracking.state import PolicyState

BASE_PATIENCE = 0.1  # the part of the latency objective that a request of no weight may wait for prefill
WEIGHTED_PATIENCE = 0.4  # and the part that the full weight adds
LATE_FROM = 0.6  # lateness from which requests of the full weight are rejected
MIN_ADMITTED_PART = 0.1  # however late requests are, this part is still admitted
SLOW_START_MARGIN = 1.25  # over the multiple that the settings tell
TRICKLE = 1.0  # request in any `overload_window_ms` from the whole tier, where no load is known


class Admission:
    """Says which requests are taken, and what an endpoint in slow start is sent."""

    def __init__(self, state: PolicyState) -> None:
        """Decide on this state."""
        self._state = state

    def priority_weight(self, request: RequestState) -> float:
        """Value beside the class of the highest; little beyond the tenant's quota at this dispatcher."""
        settings = self._state.settings
        highest = max(each.priority_weight for each in settings.classes)
        weight = request.class_settings.priority_weight / highest if highest > 0 else 1.0
        quota = self._state.tenant_quotas.get(request.params.tenant_index)
        if quota is not None and not quota.has_token(self._state.now):
            weight *= settings.over_quota_weight
        return weight

    def sheds(self, request: RequestState, host: TrackedEndpoint) -> bool:
        """Load shedding: reject early what even the freest host would end too late, low weight first.

        Guards against queues in which every prefill ends just after its time, whatever made them: bursts,
        shared slowness, lost hosts, retries. One prefill of ours at a host is always admitted, so a wrong
        estimate heals. Could harm when late answers are worth nearly as much as timely ones.
        """
        state = self._state
        weight = self.priority_weight(request)
        peers = [other for other in state.requests.values() if other.scope == request.scope]
        if state.remote_load.active_peers or len(peers) > state.load.prefill_host_count(request, state.now):
            return self._waits_too_long(request, host, weight)
        return self._too_many_are_late(request.scope, peers, weight)

    def _waits_too_long(self, request: RequestState, host: TrackedEndpoint, weight: float) -> bool:
        """By the estimated wait at the host."""
        now = self._state.now
        load = self._state.load
        wait_ms = load.prefill_wait_ms(host, request, now) + load.decode_wait_ms(request.scope, now)
        patience_ms = request.shortest_objective_ms * (BASE_PATIENCE + WEIGHTED_PATIENCE * weight)
        patience_ms -= now - request.arrived_at
        return wait_ms > max(0.0, min(request.deadline - now, patience_ms))

    def _too_many_are_late(self, scope: str, peers: list[RequestState], weight: float) -> bool:
        """At random, by how late requests got their first token of late."""
        now = self._state.now
        ages = (other.lateness(now) for other in peers if not other.started)
        lateness = self._state.statistics.lateness_of(scope).lower_tercile(now, ages)
        admitted_part = 2.0 - lateness / (LATE_FROM * (0.5 + 0.5 * weight))
        return self._state.rng.random() > max(MIN_ADMITTED_PART, admitted_part)

    def admits_warming(self, endpoint: TrackedEndpoint, now: float, *, is_prefill: bool) -> bool:
        """Rule 4: may an endpoint be sent one more request? Always, once it is warm.

        While it warms up, all dispatchers together keep within the settings' multiple of what it can do in
        any `overload_window_ms`; `docs/fleet.md` has the arithmetic. Each keeps its own part, by what an
        endpoint of that stage took from it, so that the sum needs no word from others. A dispatcher that saw
        little goes by its part of half of what the tenants may send, so that the sum is the same whether one
        or all start; without tenants, by a trickle. Could harm where endpoints run above 0.8 of capacity.
        """
        state = self._state
        settings = state.settings
        fraction = capacity_fraction(endpoint.entry.started_ms, settings, now)
        window_ms = settings.overload_window_ms
        if fraction >= 1.0 or window_ms <= 0.0:
            return True
        statistics = state.statistics
        pool_size = len(state.endpoints.pool(is_prefill=is_prefill))
        sharing = max(1.0, pool_size, statistics.usual_pool_size(now, is_prefill=is_prefill))
        usual = statistics.requests_per_ms(now, is_prefill=is_prefill) * window_ms / sharing
        allowed = SLOW_START_MARGIN * settings.overload_multiple * fraction * usual
        bucket = endpoint.statistics.slow_start
        bucket.set_limit(max(allowed, TRICKLE / settings.dispatcher_count), window_ms)
        return bucket.has_token(now) and not endpoint.reservations
