"""Virtual Freeness: the headroom of prefill and decode hosts minus their penalties for failures."""

from __future__ import annotations

from collections.abc import Iterable

from violetstack.policy_api import Role
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState
from violetstack.tracking.state import PolicyState

NEAR_BEST = 0.1  # hosts within this of the highest freeness count as equal (docs/design.md)


class Freeness:
    """Computes freeness: 1 for an idle host, 0 at its budget, negative above it."""

    def __init__(self, state: PolicyState) -> None:
        """Computes from this state."""
        self._state = state

    def of_prefill_hosts(
        self, hosts: Iterable[TrackedEndpoint], request: RequestState, now: float
    ) -> dict[str, float]:
        """Returns the freeness of each host with this request added, by host name.

        It is 1 - cost / budget: the prefill cost in flight over the latency objective times the host's speed.
        """
        load = self._state.load
        average_speed = self._state.statistics.average_speed(now)
        uncached_costs = load.uncached_prefill_costs(request, self._state.statistics.cache_trust(now))
        freeness = {}
        for host in hosts:
            cost = uncached_costs.get(host.name, request.prefill_cost) + load.prefill_cost_in_flight(host)
            if host.role is Role.MIXED:
                cost += host.unstarted_decode_cost()
            budget = request.objective_ms * host.prefill_speed(average_speed, now)
            freeness[host.name] = 1.0 - cost / budget - host.statistics.penalty.value_at(now)
        return freeness

    def of_decode_hosts(self, hosts: Iterable[TrackedEndpoint], now: float) -> dict[str, float]:
        """Returns the memory headroom of each host, by host name.

        It is 1 - used share - new tokens / memory size, where new tokens were sent after the report. As a
        report ages, it is replaced by the average of all hosts, and all tokens in flight beyond the average
        count as new. For a host without a report, the tokens in flight are extrapolated to dispatchers whose
        gossip is not received.
        """
        load = self._state.load
        averages = load.decode_averages()
        freeness = {}
        for host in hosts:
            memory = host.statistics.memory
            tokens = load.tokens_in_flight(host)
            if memory.share is None:
                share = averages.share
                new_tokens = (load.extrapolate(tokens) if tokens else 0.0) - averages.tokens
            else:
                weight = memory.weight(now)
                share = averages.share + weight * (memory.share - averages.share)
                tokens_before = averages.tokens + weight * (memory.tokens_at_report - averages.tokens)
                new_tokens = tokens - tokens_before
            headroom = 1.0 - share - new_tokens / host.memory_tokens(now)
            freeness[host.name] = headroom - host.statistics.penalty.value_at(now)
        return freeness
