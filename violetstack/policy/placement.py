"""Choice of a host for each stage, by freeness."""

from __future__ import annotations

from collections.abc import Iterator
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
        allowed = list(self._allowed(request, is_prefill=is_prefill))
        untried = [
            host for host in allowed if now >= host.statistics.avoid_until and host not in request.failed_at
        ]
        return untried or allowed

    def has_candidate(self, request: RequestState, *, is_prefill: bool) -> bool:
        """Returns whether any host of the stage may be sent the request."""
        return next(self._allowed(request, is_prefill=is_prefill), None) is not None

    def _allowed(self, request: RequestState, *, is_prefill: bool) -> Iterator[TrackedEndpoint]:
        """Yields the hosts at which slow start, the rule of retries and the route allow the request."""
        now = self._state.now
        hosts = self._admission.slow_start.admitted(is_prefill=is_prefill)
        if request.first_attempt_with_effect is not None:
            hosts = (host for host in hosts if may_retry_at(request, host, now))
        if request.route is not None:
            hosts = (host for host in hosts if request.route_allows(host, now))
        return hosts

    def choose_prefill_host(self, request: RequestState) -> TrackedEndpoint | None:
        """Chooses the host of the highest freeness, even if it is negative.

        Among near-best hosts, it is the last host of the session, else the first by affinity.
        """
        hosts = self.candidates(request, is_prefill=True)
        if not hosts:
            return None
        now = self._state.now
        affinity = self._state.endpoints.affinity
        request.preferred_hosts = affinity.preferred_hosts(request, now)
        freeness = self._freeness.of_prefill_hosts(hosts, request, now)
        threshold = max(freeness.values()) - NEAR_BEST
        last_host = affinity.last_host(request.params.session)
        if last_host is not None and freeness.get(last_host, -inf) >= threshold:
            return self._state.endpoints.by_name[last_host]
        for host in request.preferred_hosts:
            if freeness.get(host.name, -inf) >= threshold:
                return host
        near_best = (host for host in hosts if freeness[host.name] >= threshold)
        return affinity.first_of(near_best, request.params)

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

        near_best = [host for host in hosts if freeness[host.name] >= threshold]
        if prefill_host is not None:
            proximities = [host.proximity(prefill_host) for host in near_best]
            closest = max(proximities)
            near_best = [
                host for host, proximity in zip(near_best, proximities, strict=True) if proximity == closest
            ]
        return state.rng.choice(near_best)
