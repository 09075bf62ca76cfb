"""Policies: the limits that a route sets for its requests, and the retry budget."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Policy:
    """Limits of a route's requests; None or 0 leaves a limit to the settings.

    Attributes:
        name: the policy's name; empty if the route has none.
        deadline_ms: the longest time until the deadline.
        max_attempts: attempts of one request.
        retry_share: retries allowed as a share of the accepted requests; None for no retry budget.
        retry_floor: retries a second that are always allowed.
        max_body_bytes: length of the request body.
        location: file and line of the definition.
    """

    name: str = ""
    deadline_ms: float | None = None
    max_attempts: int | None = None
    retry_share: float | None = None
    retry_floor: float = 1.0
    max_body_bytes: int | None = None
    location: str = field(default="", compare=False)


class RetryBudget:
    """A token bucket for retries: each accepted request adds `share` of a token, each retry takes one.

    During an outage, retries add at most `share` to the load on the hosts, however long it lasts. `floor`, in
    tokens a second, allows some retries where there are few requests. The balance is bounded, so that an hour
    without failures does not allow a burst of retries.
    """

    MAX_SAVED_FLOOR_S = 10.0  # the balance holds the floor of this time
    MAX_SAVED_REQUESTS = 200.0  # and the share of this many requests

    def __init__(self, share: float, floor: float) -> None:
        """Starts with the floor of one second, but at least one retry."""
        self.share = share
        self.floor = floor
        self.max_balance = max(1.0, floor * self.MAX_SAVED_FLOOR_S, share * self.MAX_SAVED_REQUESTS)
        self.balance = max(1.0, floor)
        self.refilled_at: float | None = None
        self.spent = self.denied = 0

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None and now > self.refilled_at:
            self.balance = min(
                self.max_balance, self.balance + self.floor * (now - self.refilled_at) / 1000.0
            )
        self.refilled_at = now

    def add_request(self, now: float) -> None:
        """Adds the share of an accepted request."""
        self._refill(now)
        self.balance = min(self.max_balance, self.balance + self.share)

    def try_spend(self, now: float) -> bool:
        """Returns whether one more retry is allowed, and takes its token if so."""
        self._refill(now)
        if self.balance < 1.0:
            self.denied += 1
            return False
        self.balance -= 1.0
        self.spent += 1
        return True
