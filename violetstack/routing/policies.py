"""Policies: what a route allows its requests, and the budget for trying again."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Policy:
    """None or 0: the settings alone decide. Times in milliseconds, sizes in bytes, rates a second."""

    name: str = ""
    deadline_ms: float | None = None
    attempts: int | None = None
    retry_share: float | None = None  # of the requests taken; None: no budget
    retry_floor: float = 1.0  # repeated attempts a second that are always allowed
    body_bytes: int | None = None
    where: str = field(default="", compare=False)


class RetryBudget:
    """Each request taken puts in a share of one attempt, each repeated attempt takes out one.

    Guards a fleet that fails against being asked several times for everything: retries add at most `share`
    to its load however long the failure lasts. The floor keeps small traffic from having no second try at
    all. What is saved is bounded, so that a calm hour does not pay for a storm.
    """

    KEPT_S = 10.0  # the floor is saved for so long
    MOST_REQUESTS = 200.0  # and the share of so many requests

    def __init__(self, share: float, floor: float) -> None:
        self.share = share
        self.floor = floor
        self.most = max(1.0, floor * self.KEPT_S, share * self.MOST_REQUESTS)
        self.left = max(1.0, floor)
        self.at: float | None = None
        self.spent = self.denied = 0

    def _pass(self, now: float) -> None:
        if self.at is not None and now > self.at:
            self.left = min(self.most, self.left + self.floor * (now - self.at) / 1000.0)
        self.at = now

    def taken(self, now: float) -> None:
        self._pass(now)
        self.left = min(self.most, self.left + self.share)

    def spend(self, now: float) -> bool:
        """May one more attempt be made? If so it is counted."""
        self._pass(now)
        if self.left < 1.0:
            self.denied += 1
            return False
        self.left -= 1.0
        self.spent += 1
        return True
