"""Which endpoints may be sent another request while they warm up after a start."""

from __future__ import annotations

from collections.abc import Iterator

from violetstack.estimation.slow_start import capacity_fraction
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.state import PolicyState

SLOW_START_MARGIN = 1.25  # factor on `Settings.overload_multiple`
MIN_REQUESTS_PER_WINDOW = 1.0  # in `overload_window_ms`, from all dispatchers together


class SlowStartLimit:
    """Limits the requests of this dispatcher to endpoints in slow start."""

    def __init__(self, state: PolicyState) -> None:
        """Decides by this state."""
        self._state = state

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
