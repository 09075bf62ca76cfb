"""The choice of a host for each stage, by freeness."""

from __future__ import annotations

from math import inf

from violetstack.policy.admission import Admission
from violetstack.policy.freeness import NEAR_BEST, Freeness
from violetstack.policy.retry import may_retry_at
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState
from violetstack.tracking.state import PolicyState


class Placement:
    """Chooses prefill and decode hosts."""

    def __init__(self, state: PolicyState, freeness: Freeness, admission: Admission) -> None:
        """Choose among the hosts of this state."""
        self._state = state
        self._freeness = freeness
        self._admission = admission

    def candidates(self, request: RequestState, *, is_prefill: bool) -> list[TrackedEndpoint]:
        """Hosts that may be sent the request; if any, those without a failure of it and not being checked."""
        now = self._state.now
        pool = self._state.endpoints.pool(is_prefill=is_prefill)
        warm = [host for host in pool if self._admission.admits_warming(host, now, is_prefill=is_prefill)]
        allowed = [
            host for host in warm if may_retry_at(request, host, now) and request.route_allows(host, now)
        ]
        untried = [
            host for host in allowed if host not in request.failed_at and now >= host.statistics.avoid_until
        ]
        return untried or allowed

    def choose_prefill_host(self, request: RequestState) -> TrackedEndpoint | None:
        """Highest freeness, even if negative; among near-best the session's last host, else by affinity."""
        hosts = self.candidates(request, is_prefill=True)
        if not hosts:
            return None
        now = self._state.now
        affinity = self._state.endpoints.affinity
        preferred = affinity.preferred_hosts(request.params)
        request.preferred_hosts = [host for host in preferred if request.route_allows(host, now)]
        freeness = self._freeness.of_prefill_hosts(hosts, request, now)
        threshold = max(freeness.values()) - NEAR_BEST
        near_best = [host for host in request.preferred_hosts if freeness.get(host.name, -inf) >= threshold]
        last_host = affinity.last_host(request.params.session)
        return next((host for host in near_best if host.name == last_host), near_best[0])

    def choose_decode_host(
        self, request: RequestState, prefill_host: TrackedEndpoint | None
    ) -> TrackedEndpoint | None:
        """Highest memory headroom; among near-best the prefill host's cell, then its zone, then at random."""
        candidates = self.candidates(request, is_prefill=False)
        hosts = [host for host in candidates if host not in request.slot.hosts_asked]
        if not hosts:
            return None
        state = self._state
        freeness = self._freeness.of_decode_hosts(hosts, state.now)
        threshold = max(freeness.values()) - NEAR_BEST

        def rank(host: TrackedEndpoint) -> tuple[bool, int, float, float]:
            draw = state.rng.random()
            if freeness[host.name] < threshold:
                return (False, 0, freeness[host.name], draw)
            closeness = 0 if prefill_host is None else host.closeness(prefill_host)
            return (True, closeness, draw, freeness[host.name])

        return max(hosts, key=rank)
