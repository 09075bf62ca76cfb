"""Virtual Freeness: the headroom of prefill and decode hosts, less the penalties for failures."""

from __future__ import annotations

from collections.abc import Iterable

from violetstack.policy_api import Role
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState
from violetstack.tracking.state import PolicyState

NEAR_BEST = 0.1  # freeness within this of the best counts as equal (the design page)


class Freeness:
    """Computes freeness: 1 for an idle host, 0 at its budget, negative beyond."""

    def __init__(self, state: PolicyState) -> None:
        """Compute from this state."""
        self._state = state

    def of_prefill_hosts(
        self, hosts: Iterable[TrackedEndpoint], request: RequestState, now: float
    ) -> dict[str, float]:
        """Freeness with this request added, by host name.

        One minus the prefill cost in flight over a budget: the latency objective times the host's speed.
        """
        load = self._state.load
        average_speed = self._state.statistics.average_speed(now)
        cache_trust = self._state.statistics.cache_trust(now)
        freeness = {}
        for host in hosts:
            cost = load.uncached_prefill_cost(host, request, cache_trust) + load.prefill_cost_in_flight(host)
            if host.role is Role.MIXED:
                cost += host.unstarted_decode_cost()
            budget = request.objective_ms * host.prefill_speed(average_speed, now)
            freeness[host.name] = 1.0 - cost / budget - host.statistics.penalty.value_at(now)
        return freeness

    def of_decode_hosts(self, hosts: Iterable[TrackedEndpoint], now: float) -> dict[str, float]:
        """Memory headroom, by host name.

        One minus the reported share of memory and the tokens that have come since the report. An old report
        fades towards the average, from which a host differs by what is in flight there. One that never
        reported goes by tokens alone, with those of dispatchers that are not heard extrapolated.
        """
        load = self._state.load
        averages = load.decode_averages()
        freeness = {}
        for host in hosts:
            memory = host.statistics.memory
            tokens = load.tokens_in_flight(host)
            if memory.share is None:
                share = averages.share
                new_tokens = load.extrapolate(tokens) - averages.tokens
            else:
                weight = memory.weight(now)
                share = averages.share + weight * (memory.share - averages.share)
                tokens_then = averages.tokens + weight * (memory.tokens_at_report - averages.tokens)
                new_tokens = tokens - tokens_then
            headroom = 1.0 - share - new_tokens / host.memory_tokens(now)
            freeness[host.name] = headroom - host.statistics.penalty.value_at(now)
        return freeness
