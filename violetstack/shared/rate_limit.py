"""Rate limits with a burst: the token bucket, and a tenant's quota at one dispatcher."""

from __future__ import annotations

from violetstack.policy_api import Settings, TenantSettings

QUOTA_BURST_MS = 3_000.0  # a tenant may be this far ahead of its quota before it counts as beyond it
MIN_QUOTA_BURST = 2.0  # requests


class TokenBucket:
    """Tokens that come at a rate, up to a capacity. The unit of time is the caller's.

    Attributes:
        rate: How many tokens come in a unit of time. May be changed; it then holds from the last refill on.
        capacity: How many tokens the bucket holds at most.
        level: How many it held at `refilled_at`.
        refilled_at: When `level` was brought up to date.
    """

    def __init__(self, rate: float, capacity: float, level: float, now: float = 0.0) -> None:
        """Start with `level` tokens."""
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.refilled_at = now

    def available(self, now: float) -> float:
        """Return how many tokens the bucket holds now."""
        return min(self.capacity, self.level + self.rate * max(0.0, now - self.refilled_at))

    def has_token(self, now: float) -> bool:
        """Bring the level up to date, and return whether there is a token."""
        self.level = self.available(now)
        self.refilled_at = now
        return self.level >= 1.0

    def take(self) -> None:
        """Take a token if the level, as of the last refill, has one."""
        if self.level >= 1.0:
            self.level -= 1.0

    def try_take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        if not self.has_token(now):
            return False
        self.take()
        return True

    def next_token_at(self, now: float) -> float:
        """Return when there is a token, if the last refill was now."""
        return now + max(0.0, 1.0 - self.level) / self.rate


def tenant_quota(tenant: TenantSettings, settings: Settings) -> TokenBucket:
    """Return a bucket of requests, in milliseconds: a tenant's allowance over the number of dispatchers."""
    rate = tenant.quota_per_s / 1000.0 / settings.dispatcher_count
    burst = max(MIN_QUOTA_BURST, rate * QUOTA_BURST_MS)
    return TokenBucket(rate, burst, burst)
