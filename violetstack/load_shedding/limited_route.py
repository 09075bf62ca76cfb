"""The route of a request that was admitted under a level."""

from __future__ import annotations

from typing import Protocol

from violetstack.policy_api import Route

UNLIMITED_ATTEMPTS = 1_000_000


class RouteLimits(Protocol):
    """The limits of the level in force for admitted requests."""

    def reservation_allowed(self) -> bool:
        """Whether a decode slot may be reserved during prefill."""

    def take_retry(self, now: float) -> bool:
        """Takes one attempt from the retry budget; returns False if the budget is exhausted."""


class LimitedRoute:
    """A request's own route, restricted by the limits of the level.

    Attributes:
        max_attempts: Limit of the request's own route; unlimited without a route.
    """

    __slots__ = ("_limits", "_route", "max_attempts")

    def __init__(self, limits: RouteLimits, route: Route | None) -> None:
        """Creates a route from the limits of the level and the request's own route, if it has one."""
        self._limits = limits
        self._route = route
        self.max_attempts = route.max_attempts if route is not None else UNLIMITED_ATTEMPTS

    def active_pool(self, now: float) -> str:
        """Returns the name of the active pool; empty without a route."""
        return self._route.active_pool(now) if self._route is not None else ""

    def contains(self, server: str, now: float) -> bool:
        """Returns whether attempts may go to an endpoint."""
        return self._route is None or self._route.contains(server, now)

    def reservation_allowed(self, now: float) -> bool:
        """Returns whether a decode slot may be reserved during prefill."""
        if not self._limits.reservation_allowed():
            return False
        return self._route is None or self._route.reservation_allowed(now)

    def take_retry(self, now: float) -> bool:
        """Takes one attempt from the retry budgets; returns False if one of them is exhausted."""
        if self._route is not None and not self._route.take_retry(now):
            return False
        return self._limits.take_retry(now)
