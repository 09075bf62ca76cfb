"""Rate limits with a burst: the token bucket, and a tenant's quota at one dispatcher."""

from __future__ import annotations

from violetstack.policy_api import Settings, TenantSettings

QUOTA_BURST_MS = 3_000.0  # a tenant may use the quota of this time at once before it counts as over quota
MIN_QUOTA_BURST = 2.0  # requests


class TokenBucket:
    """A token bucket: tokens are added at a rate, up to a capacity. The unit of time is the caller's.

    Attributes:
        rate: Tokens added per unit of time. A new rate applies to all the time since the last refill.
        capacity: The highest number of tokens that the bucket holds.
        level: The number of tokens at `refilled_at`.
        refilled_at: The time of the last refill, when `level` was updated.
    """

    __slots__ = ("capacity", "level", "rate", "refilled_at")

    def __init__(self, rate: float, capacity: float, level: float, now: float = 0.0) -> None:
        """Creates a bucket with `level` tokens."""
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.refilled_at = now

    def available(self, now: float) -> float:
        """Returns how many tokens the bucket holds now, without a refill."""
        return min(self.capacity, self.level + self.rate * max(0.0, now - self.refilled_at))

    def has_token(self, now: float) -> bool:
        """Refills the bucket and returns whether it holds a token."""
        self.level = self.available(now)
        self.refilled_at = now
        return self.level >= 1.0

    def take(self) -> None:
        """Takes a token if there was one at the last refill."""
        if self.level >= 1.0:
            self.level -= 1.0

    def try_take(self, now: float) -> bool:
        """Refills the bucket and takes a token; returns False if there is none."""
        if not self.has_token(now):
            return False
        self.take()
        return True

    def next_token_at(self, now: float) -> float:
        """Returns when the bucket holds a token, given that the last refill was at `now`."""
        return now + max(0.0, 1.0 - self.level) / self.rate


def tenant_quota(tenant: TenantSettings, settings: Settings) -> TokenBucket:
    """Returns the token bucket of a tenant's requests at one dispatcher; its time is in milliseconds.

    The rate is the tenant's quota, divided by the number of dispatchers.
    """
    rate = tenant.quota_per_s / 1000.0 / settings.dispatcher_count
    burst = max(MIN_QUOTA_BURST, rate * QUOTA_BURST_MS)
    return TokenBucket(rate, burst, burst)
