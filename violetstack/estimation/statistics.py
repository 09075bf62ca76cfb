"""Statistics of single endpoints and of all; times are milliseconds of the caller's clock."""

from __future__ import annotations

from math import exp

from violetstack.estimation.decay import MIN_SAMPLES, DecayingSum, RecentSamples
from violetstack.estimation.slow_start import SlowStartBucket
from violetstack.policy_api import Settings

LEARNING_WINDOW_MS = 5_000.0  # about ten requests per endpoint, at a dispatcher with ten requests a second
PENALTY_DECAY_MS = 3_000.0  # time constant of penalties, after which a recovered host is used again
INITIAL_SPEED = 1.0  # prefill cost per millisecond before the first sample; only scales the near-best range
SPEED_PRIOR_MS = 500.0  # above this busy time, an endpoint's own speed outweighs the average
TENANT_LOAD_PRIOR = 0.5  # share of the tenants' limits that is expected as load before any is observed


class MemoryReports:
    """The used memory that a decode host reported, and the memory size derived from its reports."""

    __slots__ = ("reported_at", "share", "share_sum", "tokens_at_report", "tokens_sum")

    def __init__(self) -> None:
        """Starts without a report."""
        self.share: float | None = None  # used share in the last report, 0 to 1
        self.reported_at = 0.0
        self.tokens_at_report = 0.0  # tokens in flight there, as known when the report arrived
        self.tokens_sum = DecayingSum(4 * LEARNING_WINDOW_MS)
        self.share_sum = DecayingSum(4 * LEARNING_WINDOW_MS)

    def add(self, at: float, share: float, tokens: float, total_tokens: float) -> None:
        """Records a report.

        Args:
            at: when the host made it.
            share: used share of its memory, 0 to 1.
            tokens: tokens in flight there that this dispatcher knows of.
            total_tokens: estimate of the tokens that all dispatchers have in flight there.
        """
        self.share = share
        self.reported_at = at
        self.tokens_at_report = tokens
        self.tokens_sum.add(at, total_tokens)
        self.share_sum.add(at, share)

    def weight(self, now: float) -> float:
        """Returns the weight of the last report by its age, 0 to 1."""
        return exp((self.reported_at - now) / LEARNING_WINDOW_MS)

    def capacity(self, nominal: float, now: float) -> float:
        """Returns the memory size in tokens: the nominal one, corrected by at most a factor of two."""
        if self.share is None:
            return nominal
        estimate = (self.tokens_sum.value_at(now) + nominal) / (self.share_sum.value_at(now) + 1.0)
        return min(2.0 * nominal, max(0.5 * nominal, estimate))


class EndpointStatistics:
    """Statistics of one endpoint since its start."""

    __slots__ = (
        "avoid_until",
        "busy_ms",
        "completed_cost",
        "consecutive_failures",
        "last_failure_at",
        "memory",
        "penalty",
        "slow_start",
    )

    def __init__(self, first_token: float, now: float) -> None:
        """Starts without observations.

        Args:
            first_token: level of the slow-start bucket, 0 to 1, random for each dispatcher.
            now: the time from which the bucket fills.
        """
        self.slow_start = SlowStartBucket(first_token, now)
        self.completed_cost = DecayingSum(LEARNING_WINDOW_MS)  # prefill cost that was completed in busy_ms
        self.busy_ms = DecayingSum(LEARNING_WINDOW_MS)
        self.memory = MemoryReports()
        self.consecutive_failures = 0
        self.last_failure_at = -1.0
        self.avoid_until = 0.0  # another dispatcher checks the endpoint until then
        self.penalty = DecayingSum(PENALTY_DECAY_MS)  # subtracted from freeness for failures

    def clear_penalty(self) -> None:
        """Resets the penalty, but not the number of consecutive failures."""
        self.penalty = DecayingSum(PENALTY_DECAY_MS)

    def add_prefill(self, now: float, cost: float, duration_ms: float) -> None:
        """Records a prefill: the cost in flight when it was sent, and its duration."""
        self.completed_cost.add(now, cost)
        self.busy_ms.add(now, duration_ms)


class FleetStatistics:
    """Statistics over all endpoints, from the requests of this dispatcher."""

    def __init__(self, settings: Settings) -> None:
        """Starts without observations; the tenants' limits give a prior for the load."""
        samples = 3 * MIN_SAMPLES
        self.prefill_times_ms = RecentSamples(samples, 2 * LEARNING_WINDOW_MS)
        self.first_token_times_ms = RecentSamples(samples, 2 * LEARNING_WINDOW_MS)
        self.lateness: dict[str, RecentSamples] = {}  # lateness of requests with a first token, by scope
        self.decode_starts: dict[str, DecayingSum] = {}  # by scope
        self.completed_cost = DecayingSum(LEARNING_WINDOW_MS)
        self.busy_ms = DecayingSum(LEARNING_WINDOW_MS)
        self.cached_tokens_expected = DecayingSum(2 * LEARNING_WINDOW_MS)
        self.cached_tokens_found = DecayingSum(2 * LEARNING_WINDOW_MS)
        self.prefills = DecayingSum(12 * LEARNING_WINDOW_MS)
        self.decodes = DecayingSum(12 * LEARNING_WINDOW_MS)
        # Sums of the pool sizes at each prefill and decode.
        self.prefill_pool_sizes = DecayingSum(12 * LEARNING_WINDOW_MS)
        self.decode_pool_sizes = DecayingSum(12 * LEARNING_WINDOW_MS)
        allowance_per_s = sum(tenant.quota_per_s for tenant in settings.tenants)
        self.prior_rate = TENANT_LOAD_PRIOR * allowance_per_s / 1000.0 / settings.dispatcher_count

    def average_speed(self, now: float) -> float:
        """Returns the prefill cost completed per millisecond, over all endpoints."""
        return (self.completed_cost.value_at(now) + INITIAL_SPEED) / (self.busy_ms.value_at(now) + 1.0)

    def cache_trust(self, now: float) -> float:
        """Returns found over expected cached tokens, at most 1; the weight of expected cached tokens."""
        expected = self.cached_tokens_expected.value_at(now)
        return min(1.0, (self.cached_tokens_found.value_at(now) + 1.0) / (expected + 1.0))

    def requests_per_ms(self, now: float, *, is_prefill: bool) -> float:
        """Returns the rate at which this dispatcher's requests pass a stage."""
        stage = self.prefills if is_prefill else self.decodes
        return stage.rate_per_ms_with_prior(now, self.prior_rate)

    def usual_pool_size(self, now: float, *, is_prefill: bool) -> float:
        """Returns the average size of the stage's pool over recent requests; 0 without requests."""
        stage = self.prefills if is_prefill else self.decodes
        pool_sizes = self.prefill_pool_sizes if is_prefill else self.decode_pool_sizes
        count = stage.value_at(now)
        return pool_sizes.value_at(now) / count if count else 0.0

    def add_request(self, now: float, pool_size: int, *, is_prefill: bool) -> None:
        """Counts a request that passed a stage whose pool has `pool_size` hosts."""
        stage = self.prefills if is_prefill else self.decodes
        pool_sizes = self.prefill_pool_sizes if is_prefill else self.decode_pool_sizes
        stage.add(now, 1.0)
        pool_sizes.add(now, pool_size)

    def add_prefill(self, now: float, cost: float, duration_ms: float) -> None:
        """Records a prefill: the cost in flight when it was sent, and its duration."""
        self.completed_cost.add(now, cost)
        self.busy_ms.add(now, duration_ms)

    def add_cached_tokens(self, now: float, expected: float, found: float) -> None:
        """Records how many prompt tokens were expected and found in a prefill host's cache."""
        self.cached_tokens_expected.add(now, expected)
        self.cached_tokens_found.add(now, min(expected, found))

    def decode_starts_of(self, scope: str) -> DecayingSum:
        """Returns the decaying count of first tokens in the scope."""
        return self.decode_starts.setdefault(scope, DecayingSum(2 * LEARNING_WINDOW_MS))

    def lateness_of(self, scope: str) -> RecentSamples:
        """Returns recent values of lateness at the first token, in the scope."""
        return self.lateness.setdefault(scope, RecentSamples(MIN_SAMPLES + 1, 6 * LEARNING_WINDOW_MS))
