"""Estimates of what is in flight at the endpoints, from here and from the other dispatchers."""

from __future__ import annotations

from typing import NamedTuple

from violetstack.estimation.prefill_cost import prefill_cost
from violetstack.estimation.slow_start import capacity_fraction
from violetstack.estimation.statistics import FleetStatistics
from violetstack.gossip import GossipState
from violetstack.gossip.codec import encode_load
from violetstack.policy_api import Role, Settings
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.endpoint_set import EndpointSet
from violetstack.tracking.request import RequestState

MEMORY_REPORT = "x0"  # the load report's field with the used share of memory


class DecodeAverages(NamedTuple):
    """Over the decode hosts that reported: the reported share of memory, and the tokens in flight."""

    share: float
    tokens: float


class LoadEstimator:
    """Load, speed and waiting time of endpoints."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointSet,
        statistics: FleetStatistics,
        remote_load: GossipState,
    ) -> None:
        """Estimate for these endpoints; `remote_load` is that of the other dispatchers."""
        self._settings = settings
        self._endpoints = endpoints
        self._statistics = statistics
        self._remote_load = remote_load

    def prefill_cost_in_flight(self, endpoint: TrackedEndpoint) -> float:
        """Prefill cost there, of all dispatchers that are heard.

        Only ours at a mixed host: of these the others tell tokens.
        """
        others = 0.0 if endpoint.role is Role.MIXED else self._remote_load.load_at(endpoint.gossip_tag)
        return endpoint.prefill_cost_in_flight() + others

    def tokens_in_flight(self, endpoint: TrackedEndpoint) -> float:
        """Tokens decoding or reserved there, of all dispatchers that are heard."""
        return endpoint.tokens_in_flight() + self._remote_load.load_at(endpoint.gossip_tag)

    def gossip_code(self, endpoint: TrackedEndpoint) -> int:
        """The code by which the other dispatchers are notified of our load there."""
        if endpoint.role is Role.PREFILL:
            return encode_load(endpoint.prefill_cost_in_flight())
        return encode_load(endpoint.tokens_in_flight())

    def extrapolate(self, amount: float) -> float:
        """The amount of the whole tier, from that of the dispatchers which are heard."""
        return amount * self._settings.dispatcher_count / (1.0 + self._remote_load.active_peers)

    def uncached_prefill_cost(
        self, endpoint: TrackedEndpoint, request: RequestState, cache_trust: float
    ) -> float:
        """Cost of the prompt tokens that the endpoint would still have to process.

        Expected cached tokens count by `cache_trust`, the part of them that was found of late. Without this,
        sessions move for small differences, each move processes the whole prompt anew, hosts saturate and
        more sessions move. Could harm when hosts drop cached text faster than the finds tell.
        """
        expected = self._endpoints.affinity.expected_cached_tokens(endpoint, request)
        return prefill_cost(request.params.prompt_tokens - cache_trust * expected)

    def prefill_speed(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Prefill cost that the endpoint completes in a millisecond."""
        return endpoint.prefill_speed(self._statistics.average_speed(now), now)

    def capacity_fraction(self, endpoint: TrackedEndpoint, now: float) -> float:
        """The part of its capacity that the endpoint is taken to have; 1 when warm."""
        return capacity_fraction(endpoint.entry.started_ms, self._settings, now)

    def prefill_host_count(self, request: RequestState, now: float) -> int:
        """How many prefill hosts the request's route allows."""
        return sum(request.route_allows(host, now) for host in self._endpoints.prefill_hosts)

    def prefill_wait_ms(self, endpoint: TrackedEndpoint, request: RequestState, now: float) -> float:
        """Time until the endpoint should end this prompt, after what is in flight; 0 with nothing known.

        The prompt itself counts at most as long as the median prefill took of late: cost grows as the square
        of the length, time less than that, so that long prompts would be rejected on quiet days.
        """
        backlog = self.prefill_cost_in_flight(endpoint)
        if backlog == 0.0 or not self._statistics.cost_done.value_at(now):
            return 0.0
        pace = self.prefill_speed(endpoint, now) * self.capacity_fraction(endpoint, now)
        own_ms = self.uncached_prefill_cost(endpoint, request, self._statistics.cache_trust(now)) / pace
        return backlog / pace + min(own_ms, self._statistics.prefill_times_ms.median(now) or own_ms)

    def decode_wait_ms(self, scope: str, now: float) -> float:
        """Waiting time for a first token at decode hosts: decodes not started over the rate of starts.

        By count and not by past times, so that nothing is rejected for a queue that has drained; and at most
        twice what the oldest has waited, since one decode that waits is no queue at a quiet dispatcher.
        """
        starts = self._statistics.decode_starts.get(scope)
        waiting_ms = [
            now - attempt.sent_at
            for endpoint in self._endpoints.by_name.values()
            for attempt in endpoint.in_flight.values()
            if not attempt.is_prefill and not attempt.started and attempt.request.scope == scope
        ]
        rate = 0.0 if starts is None else starts.rate_per_ms(now)
        if rate <= 0.0 or not waiting_ms:
            return 0.0
        return min(len(waiting_ms) / rate, 2.0 * max(waiting_ms))

    def decode_averages(self) -> DecodeAverages:
        """Averages over the decode hosts that reported their memory."""
        hosts = [host for host in self._endpoints.decode_hosts if host.statistics.memory.share is not None]
        count = len(hosts) or 1
        shares = sum(host.statistics.memory.share or 0.0 for host in hosts)
        return DecodeAverages(shares / count, sum(map(self.tokens_in_flight, hosts)) / count)

    def add_report(self, endpoint: TrackedEndpoint, row: tuple[float | None, ...] | None, at: float) -> None:
        """Take a load report, its values in the order of the settings' `load_report_fields`."""
        values = dict(zip(self._settings.load_report_fields, row or (), strict=False))
        share = values.get(MEMORY_REPORT)
        if share is not None:
            tokens = self.tokens_in_flight(endpoint)
            endpoint.statistics.memory.add(at, share, tokens, self.extrapolate(tokens))
