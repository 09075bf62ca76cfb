"""Admission control: load shedding, and slow start of endpoints that started recently."""

from __future__ import annotations

from collections.abc import Iterator

from violetstack.estimation.slow_start import capacity_fraction
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState
from violetstack.tracking.state import PolicyState

BASE_WAIT_SHARE = 0.1  # share of the latency objective that a request of weight 0 may wait for its prefill
WEIGHTED_WAIT_SHARE = 0.4  # share that is added for weight 1
LATENESS_LIMIT = 0.6  # requests of weight 1 are rejected at random above this lateness
MIN_ADMITTED_SHARE = 0.1  # this share of requests is admitted however late they are
SLOW_START_MARGIN = 1.25  # factor on `Settings.overload_multiple`
MIN_REQUESTS_PER_WINDOW = 1.0  # in `overload_window_ms`, from all dispatchers together


class Admission:
    """Decides which requests are admitted, and how many requests an endpoint in slow start is sent."""

    def __init__(self, state: PolicyState) -> None:
        """Decides by this state."""
        self._state = state

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

    def admitted(self, *, is_prefill: bool) -> Iterator[TrackedEndpoint]:
        """Yields the usable hosts of a stage that may be sent another request; see `admits`."""
        state = self._state
        now = state.now
        warm_if_started_by = now - state.settings.slow_start_ms
        usual = self._usual_requests_per_window(now, is_prefill=is_prefill)
        for host in state.endpoints.pool(is_prefill=is_prefill):
            started_ms = host.entry.started_ms
            if started_ms is None or started_ms <= warm_if_started_by or self._has_token(host, now, usual):
                yield host

    def admits(self, endpoint: TrackedEndpoint, now: float, *, is_prefill: bool) -> bool:
        """Rule 4: returns whether an endpoint may be sent another request; always true once it is warm.

        During its warm-up, all dispatchers together send it at most `overload_multiple` times what it can
        process in any `overload_window_ms`; docs/fleet.md has the arithmetic. Each dispatcher limits its own
        part by the usual rate of its requests at endpoints of that stage, without communication. One with few
        observations uses its part of half the tenants' quotas, so that the sum is the same whether one or all
        have just started; without tenants, MIN_REQUESTS_PER_WINDOW. It could do harm where endpoints run
        above 0.8 of capacity.
        """
        return self._has_token(endpoint, now, self._usual_requests_per_window(now, is_prefill=is_prefill))

    def _usual_requests_per_window(self, now: float, *, is_prefill: bool) -> float:
        """Returns how many requests this dispatcher usually sends a warm host in `overload_window_ms`."""
        statistics = self._state.statistics
        pool_size = len(self._state.endpoints.pool(is_prefill=is_prefill))
        host_count = max(1.0, pool_size, statistics.usual_pool_size(now, is_prefill=is_prefill))
        window_ms = self._state.settings.overload_window_ms
        return statistics.requests_per_ms(now, is_prefill=is_prefill) * window_ms / host_count

    def _has_token(self, endpoint: TrackedEndpoint, now: float, usual: float) -> bool:
        """Returns whether the endpoint's slow start has a token; `usual`: requests per window when warm."""
        settings = self._state.settings
        fraction = capacity_fraction(endpoint.entry.started_ms, settings, now)
        window_ms = settings.overload_window_ms
        if fraction >= 1.0 or window_ms <= 0.0:
            return True
        allowed = SLOW_START_MARGIN * settings.overload_multiple * fraction * usual
        bucket = endpoint.statistics.slow_start
        bucket.set_limit(max(allowed, MIN_REQUESTS_PER_WINDOW / settings.dispatcher_count), window_ms)
        return bucket.has_token(now) and not endpoint.reservations
