"""Estimates of the load at endpoints, from this and the other dispatchers."""

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

MEMORY_SHARE_FIELD = "x0"  # field of the load report: used share of memory, 0 to 1


class DecodeAverages(NamedTuple):
    """Averages over the decode hosts with a report: the used share of memory, and the tokens in flight."""

    share: float
    tokens: float


class LoadEstimator:
    """Estimates load, speed and waiting time of endpoints."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointSet,
        statistics: FleetStatistics,
        remote_load: GossipState,
    ) -> None:
        """Estimates for these endpoints; `remote_load` is the load of the other dispatchers."""
        self._settings = settings
        self._endpoints = endpoints
        self._statistics = statistics
        self._remote_load = remote_load

    def prefill_cost_in_flight(self, endpoint: TrackedEndpoint) -> float:
        """Returns the prefill cost in flight there, of this dispatcher and those whose gossip is received.

        At a mixed host it is this dispatcher's alone, since gossip for mixed hosts is in tokens.
        """
        own_cost = endpoint.prefill_cost_in_flight() if endpoint.in_flight else 0.0
        if endpoint.role is Role.MIXED:
            return own_cost
        return own_cost + self._remote_load.load_at(endpoint.gossip_tag)

    def tokens_in_flight(self, endpoint: TrackedEndpoint) -> float:
        """Returns the tokens decoded or reserved there, as `prefill_cost_in_flight` does."""
        own_tokens = endpoint.tokens_in_flight() if endpoint.in_flight or endpoint.reservations else 0.0
        return own_tokens + self._remote_load.load_at(endpoint.gossip_tag)

    def gossip_code(self, endpoint: TrackedEndpoint) -> int:
        """Returns the code of this dispatcher's load there that is sent to the others."""
        if endpoint.role is Role.PREFILL:
            return encode_load(endpoint.prefill_cost_in_flight())
        return encode_load(endpoint.tokens_in_flight())

    def extrapolate(self, amount: float) -> float:
        """Extrapolates an amount from the dispatchers whose gossip is received to all dispatchers."""
        return amount * self._settings.dispatcher_count / (1.0 + self._remote_load.active_peers)

    def uncached_prefill_cost(
        self, endpoint: TrackedEndpoint, request: RequestState, cache_trust: float
    ) -> float:
        """Returns the cost of the prompt tokens that are not expected to be cached at the endpoint."""
        costs = self.uncached_prefill_costs(request, cache_trust)
        return costs.get(endpoint.name, request.prefill_cost)

    def uncached_prefill_costs(self, request: RequestState, cache_trust: float) -> dict[str, float]:
        """Returns the cost of the prompt tokens that are not expected to be cached, by host.

        It has the hosts at which some are expected; at all others it is the cost of the whole prompt.

        Expected cached tokens are weighted by `cache_trust`, the share of them that was recently found. If
        they were ignored, sessions would move for small differences of load, and each move would prefill the
        whole prompt again; hosts would saturate, and more sessions would move. The estimate could do harm if
        hosts evicted cached text faster than `cache_trust` follows.
        """
        prompt_tokens = request.params.prompt_tokens
        expected = self._endpoints.affinity.expected_cached_tokens(request)
        return {name: prefill_cost(prompt_tokens - cache_trust * tokens) for name, tokens in expected.items()}

    def prefill_speed(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Returns the prefill cost that the endpoint completes per millisecond."""
        return endpoint.prefill_speed(self._statistics.average_speed(now), now)

    def capacity_fraction(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Returns the share of its capacity that the endpoint is assumed to have; 1 when warm."""
        return capacity_fraction(endpoint.entry.started_ms, self._settings, now)

    def prefill_host_count(self, request: RequestState, now: float) -> int:
        """Returns how many prefill hosts the request's route allows."""
        hosts = self._endpoints.prefill_hosts
        return len(hosts) if request.route is None else sum(request.route_allows(host, now) for host in hosts)

    def prefill_wait_ms(self, endpoint: TrackedEndpoint, request: RequestState, now: float) -> float:
        """Returns the estimated time until the endpoint has prefilled this prompt; 0 if not known.

        It is 0 without load or samples. The time for the prompt itself is limited to the median of recent
        prefills: cost is quadratic in the length, but time grows less, so that long prompts would be rejected
        even under low load.
        """
        backlog = self.prefill_cost_in_flight(endpoint)
        if backlog == 0.0 or not self._statistics.completed_cost.value_at(now):
            return 0.0
        speed = self.prefill_speed(endpoint, now) * self.capacity_fraction(endpoint, now)
        own_ms = self.uncached_prefill_cost(endpoint, request, self._statistics.cache_trust(now)) / speed
        return backlog / speed + min(own_ms, self._statistics.prefill_times_ms.median(now) or own_ms)

    def decode_wait_ms(self, scope: str, now: float) -> float:
        """Returns the estimated time to a first token: waiting decodes over the rate of starts.

        It uses the current number of waiting decodes rather than past waiting times, so that requests are not
        rejected for a queue that has drained. It is limited to twice the longest wait so far, since a single
        waiting decode is no queue at a dispatcher with few requests.
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
        """Returns averages over the decode hosts that reported their memory."""
        hosts = [host for host in self._endpoints.decode_hosts if host.statistics.memory.share is not None]
        count = len(hosts) or 1
        shares = sum(host.statistics.memory.share or 0.0 for host in hosts)
        return DecodeAverages(shares / count, sum(map(self.tokens_in_flight, hosts)) / count)

    def add_report(self, endpoint: TrackedEndpoint, row: tuple[float | None, ...] | None, at: float) -> None:
        """Records a load report; its values are in the order of `Settings.load_report_fields`."""
        values = dict(zip(self._settings.load_report_fields, row or (), strict=False))
        share = values.get(MEMORY_SHARE_FIELD)
        if share is not None:
            tokens = self.tokens_in_flight(endpoint)
            endpoint.statistics.memory.add(at, share, tokens, self.extrapolate(tokens))
