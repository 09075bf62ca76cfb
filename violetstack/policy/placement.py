"""Choice of a host for each stage, by freeness."""

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
        """Chooses among the hosts of this state."""
        self._state = state
        self._freeness = freeness
        self._admission = admission

    def candidates(self, request: RequestState, *, is_prefill: bool) -> list[TrackedEndpoint]:
        """Returns the hosts that may be sent the request.

        Hosts that failed it, or that another dispatcher checks, are left out unless there are no others.
        """
        now = self._state.now
        pool = self._state.endpoints.pool(is_prefill=is_prefill)
        warm = [host for host in pool if self._admission.admits(host, now, is_prefill=is_prefill)]
        allowed = [
            host for host in warm if may_retry_at(request, host, now) and request.route_allows(host, now)
        ]
        untried = [
            host for host in allowed if host not in request.failed_at and now >= host.statistics.avoid_until
        ]
        return untried or allowed

    def choose_prefill_host(self, request: RequestState) -> TrackedEndpoint | None:
        """Chooses the host of the highest freeness, even if it is negative.

        Among near-best hosts, it is the last host of the session, else the first by affinity.
        """
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
        """Chooses the host of the highest memory headroom.

        Among near-best hosts, those in the prefill host's cell come first, then its zone, then a random one.
        """
        candidates = self.candidates(request, is_prefill=False)
        hosts = [host for host in candidates if host not in request.slot.hosts_tried]
        if not hosts:
            return None
        state = self._state
        freeness = self._freeness.of_decode_hosts(hosts, state.now)
        threshold = max(freeness.values()) - NEAR_BEST

        def rank(host: TrackedEndpoint) -> tuple[bool, int, float, float]:
            tie_breaker = state.rng.random()
            if freeness[host.name] < threshold:
                return (False, 0, freeness[host.name], tie_breaker)
            proximity = 0 if prefill_host is None else host.proximity(prefill_host)
            return (True, proximity, tie_breaker, freeness[host.name])

        return max(hosts, key=rank)
