"""Parts of a budget that are taken one by one: times are milliseconds of the caller's clock."""

from __future__ import annotations

from violetstack.policy_api import Settings, TenantSettings

SHARE_MS = 3_000.0  # a tenant may be this far ahead of its share before it counts as beyond it


class Bucket:
    """Tokens that come at a rate; a send takes one."""

    def __init__(self, rate: float, most: float, level: float, now: float = 0.0) -> None:
        self.rate = rate
        self.most = most
        self.level = level
        self.as_of = now

    def within(self, now: float) -> bool:
        self.level = min(self.most, self.level + self.rate * (now - self.as_of))
        self.as_of = now
        return self.level >= 1.0

    def take(self) -> None:
        self.level -= 1.0 if self.level >= 1.0 else 0.0


def tenant_share(spec: TenantSettings, settings: Settings) -> Bucket:
    """A tenant's share at this front: its allowance over the number of fronts."""
    rate = spec.quota_per_s / 1000.0 / settings.dispatcher_count
    return Bucket(rate, max(2.0, rate * SHARE_MS), max(2.0, rate * SHARE_MS))
