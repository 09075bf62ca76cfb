"""What is learned of one endpoint and of all together. Times are milliseconds of the caller's clock."""

from __future__ import annotations

from math import exp

from violetstack.estimation.decay import MIN_SAMPLES, DecayingSum, RecentSamples
from violetstack.estimation.slow_start import SlowStartBucket
from violetstack.policy_api import Settings

LEARNING_WINDOW_MS = 5_000.0  # some ten requests an endpoint at a dispatcher that has ten a second
PENALTY_DECAY_MS = 3_000.0  # time constant of a failure's penalty, so that a recovered host is used again
FIRST_SPEED = 1.0  # prefill cost a millisecond until one was measured; only scales the near-best band
PRIOR_MS = 500.0  # busy time from which an endpoint's own speed outweighs the average of all
TENANT_LOAD_PRIOR = 0.5  # the part of what the tenants may send that is expected before any was seen


class MemoryReports:
    """The memory that a decode host reported as used, and the size that follows from such reports."""

    def __init__(self) -> None:
        """Nothing was reported."""
        self.share: float | None = None  # the last report, 0 to 1
        self.reported_at = 0.0
        self.tokens_at_report = 0.0  # tokens known to be in flight there when it came
        self.tokens_seen = DecayingSum(4 * LEARNING_WINDOW_MS)
        self.share_seen = DecayingSum(4 * LEARNING_WINDOW_MS)

    def add(self, at: float, share: float, tokens: float, tier_tokens: float) -> None:
        """Take a report.

        Args:
            at: when the host made it.
            share: the part of its memory in use.
            tokens: tokens in flight there that this dispatcher knows of.
            tier_tokens: estimate of the tokens that the whole tier has there.
        """
        self.share = share
        self.reported_at = at
        self.tokens_at_report = tokens
        self.tokens_seen.add(at, tier_tokens)
        self.share_seen.add(at, share)

    def weight(self, now: float) -> float:
        """How much the last report still counts, 0 to 1, by its age."""
        return exp((self.reported_at - now) / LEARNING_WINDOW_MS)

    def capacity(self, nominal: float, now: float) -> float:
        """Memory size in tokens: the nominal one, corrected by at most a factor of two."""
        if self.share is None:
            return nominal
        learned = (self.tokens_seen.value_at(now) + nominal) / (self.share_seen.value_at(now) + 1.0)
        return min(2.0 * nominal, max(0.5 * nominal, learned))


class EndpointStatistics:
    """What was learned of one endpoint since it started."""

    def __init__(self, first_token: float, now: float) -> None:
        """Nothing was learned.

        Args:
            first_token: the slow-start bucket's level, 0 to 1; the dispatchers' levels differ at random.
            now: the time from which that bucket fills.
        """
        self.slow_start = SlowStartBucket(first_token, now)
        self.cost_done = DecayingSum(LEARNING_WINDOW_MS)  # prefill cost, in busy_ms
        self.busy_ms = DecayingSum(LEARNING_WINDOW_MS)
        self.memory = MemoryReports()
        self.consecutive_failures = 0
        self.last_failure_at = -1.0
        self.avoid_until = 0.0  # until then another dispatcher checks it
        self.penalty = DecayingSum(PENALTY_DECAY_MS)  # freeness taken off for failures

    def clear_penalty(self) -> None:
        """Forget what failures cost it, but not how many there were."""
        self.penalty = DecayingSum(PENALTY_DECAY_MS)

    def add_prefill(self, now: float, cost: float, took_ms: float) -> None:
        """A prefill ended: the cost that was in flight when it was sent, and the time that it took."""
        self.cost_done.add(now, cost)
        self.busy_ms.add(now, took_ms)


class FleetStatistics:
    """What is usual among all endpoints, as this dispatcher saw it."""

    def __init__(self, settings: Settings) -> None:
        """Nothing was seen; the tenants' allowances stand for the load."""
        samples = 3 * MIN_SAMPLES
        self.prefill_times_ms = RecentSamples(samples, 2 * LEARNING_WINDOW_MS)
        self.first_token_times_ms = RecentSamples(samples, 2 * LEARNING_WINDOW_MS)
        self.lateness: dict[str, RecentSamples] = {}  # of started requests, by scope
        self.decode_starts: dict[str, DecayingSum] = {}  # by scope
        self.cost_done = DecayingSum(LEARNING_WINDOW_MS)
        self.busy_ms = DecayingSum(LEARNING_WINDOW_MS)
        self.cached_tokens_expected = DecayingSum(2 * LEARNING_WINDOW_MS)
        self.cached_tokens_found = DecayingSum(2 * LEARNING_WINDOW_MS)
        self.prefills = DecayingSum(12 * LEARNING_WINDOW_MS)
        self.decodes = DecayingSum(12 * LEARNING_WINDOW_MS)
        self.prefill_pool_sizes = DecayingSum(12 * LEARNING_WINDOW_MS)  # hosts at the time, for each prefill
        self.decode_pool_sizes = DecayingSum(12 * LEARNING_WINDOW_MS)
        allowance_per_s = sum(tenant.quota_per_s for tenant in settings.tenants)
        self.prior_rate = TENANT_LOAD_PRIOR * allowance_per_s / 1000.0 / settings.dispatcher_count

    def average_speed(self, now: float) -> float:
        """Prefill cost a millisecond, over all endpoints."""
        return (self.cost_done.value_at(now) + FIRST_SPEED) / (self.busy_ms.value_at(now) + 1.0)

    def cache_trust(self, now: float) -> float:
        """Found over expected cached tokens, at most 1: the weight of an expectation."""
        expected = self.cached_tokens_expected.value_at(now)
        return min(1.0, (self.cached_tokens_found.value_at(now) + 1.0) / (expected + 1.0))

    def requests_per_ms(self, now: float, *, is_prefill: bool) -> float:
        """Rate at which this dispatcher's requests pass a stage."""
        stage = self.prefills if is_prefill else self.decodes
        return stage.rate_per_ms_with_prior(now, self.prior_rate)

    def usual_pool_size(self, now: float, *, is_prefill: bool) -> float:
        """Hosts that shared a stage when the requests passed it; 0 if none did."""
        stage = self.prefills if is_prefill else self.decodes
        pool_sizes = self.prefill_pool_sizes if is_prefill else self.decode_pool_sizes
        passed = stage.value_at(now)
        return pool_sizes.value_at(now) / passed if passed else 0.0

    def add_passed(self, now: float, pool_size: int, *, is_prefill: bool) -> None:
        """A request passed a stage that so many hosts share."""
        stage = self.prefills if is_prefill else self.decodes
        pool_sizes = self.prefill_pool_sizes if is_prefill else self.decode_pool_sizes
        stage.add(now, 1.0)
        pool_sizes.add(now, pool_size)

    def add_prefill(self, now: float, cost: float, took_ms: float) -> None:
        """A prefill ended: the cost that was in flight when it was sent, and the time that it took."""
        self.cost_done.add(now, cost)
        self.busy_ms.add(now, took_ms)

    def add_cached_tokens(self, now: float, expected: float, found: float) -> None:
        """A prefill host told how many prompt tokens it had cached."""
        self.cached_tokens_expected.add(now, expected)
        self.cached_tokens_found.add(now, min(expected, found))

    def decode_starts_of(self, scope: str) -> DecayingSum:
        """First tokens in that scope."""
        return self.decode_starts.setdefault(scope, DecayingSum(2 * LEARNING_WINDOW_MS))

    def lateness_of(self, scope: str) -> RecentSamples:
        """Lateness of the requests of that scope, at their first token."""
        return self.lateness.setdefault(scope, RecentSamples(MIN_SAMPLES + 1, 6 * LEARNING_WINDOW_MS))
