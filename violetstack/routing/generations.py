"""Generations of the routing configuration: a request keeps the one under which it was accepted."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from violetstack.core.errors import NotRoutedError
from violetstack.core.ports import Origin
from violetstack.policy_api import EndpointState, EndpointUpdate, Request, Settings, UpdateScope
from violetstack.routing.policies import Policy, RetryBudget
from violetstack.routing.pools import HostAttributes, PoolSpec, PoolTracker, host_attributes
from violetstack.routing.table import RequestAttributes, Route, Table

DEFAULT_POLICY = Policy()


@dataclass(frozen=True, slots=True)
class RoutingPlan:
    """The routing part of a checked operator's file; false without routes."""

    routes: tuple[Route, ...] = ()
    pools: Mapping[str, PoolSpec] = field(default_factory=dict)
    policies: Mapping[str, Policy] = field(default_factory=dict)
    labels: Mapping[str, frozenset[str]] = field(default_factory=dict)  # by host

    def __bool__(self) -> bool:
        return bool(self.routes)


class Generation:
    """The routing of one configuration; `open_requests` counts the requests accepted under it."""

    def __init__(
        self, number: int, plan: RoutingPlan, classes: tuple[str, ...], tenants: tuple[str, ...]
    ) -> None:
        self.number = number
        self.plan = plan
        self.classes = classes
        self.tenants = tenants
        closed_names = {"class": frozenset(classes)}
        if tenants:
            closed_names["tenant"] = frozenset(tenants)
        self.table = Table(plan.routes, closed_names)
        self.pool_tracker = PoolTracker(plan.pools)
        self.retry_budgets = {
            name: RetryBudget(policy.retry_share, policy.retry_floor)
            for name, policy in plan.policies.items()
            if policy.retry_share is not None
        }
        self.open_requests = 0

    def attributes(self, request: Request, origin: Origin) -> RequestAttributes:
        """Returns the attributes of the request that routes match on."""
        tenant = self.tenants[request.tenant_index] if request.tenant_index < len(self.tenants) else ""
        is_retry = request.is_retry or request.is_resumed
        prompt_tokens = int(request.prompt_tokens)
        return RequestAttributes(
            self.classes[request.class_index], tenant, origin.model, origin.front, prompt_tokens, is_retry
        )


class RequestRoute:
    """The route, pool and policy of one request; implements `policy_api.Route`."""

    __slots__ = (
        "_evaluated_at",
        "_members",
        "attributes",
        "max_attempts",
        "retry_budget",
        "generation",
        "pool",
        "route",
        "current_pool",
    )

    def __init__(self, generation: Generation, route: Route, attributes: RequestAttributes) -> None:
        self.generation = generation
        self.route = route
        self.pool = route.pool
        self.attributes = attributes
        policy = generation.plan.policies.get(route.policy, DEFAULT_POLICY)
        self.max_attempts = policy.max_attempts or 1_000_000
        self.retry_budget = generation.retry_budgets.get(route.policy)
        self.current_pool = route.pool  # active pool at `_evaluated_at`
        self._evaluated_at = -1.0
        self._members: set[str] = set()

    def active_pool(self, now: float) -> str:
        """Returns the name of the active pool; empty for all hosts."""
        if self.pool and now != self._evaluated_at:
            pool_tracker = self.generation.pool_tracker
            self.current_pool = pool_tracker.active_pool(self.pool, now)
            self._evaluated_at = now
            self._members = pool_tracker.states[self.current_pool].members
        return self.current_pool

    def contains(self, server: str, now: float) -> bool:
        """Returns whether the host is in the active pool."""
        if not self.pool:
            return True
        if now != self._evaluated_at:
            self.active_pool(now)
        return server in self._members

    def reservation_allowed(self, now: float) -> bool:
        """Returns True: routes do not limit reservations."""
        return True

    def take_retry(self, now: float) -> bool:
        """Returns whether the retry budget allows another attempt, and takes it from the budget."""
        return self.retry_budget is None or self.retry_budget.try_spend(now)


class Routing:
    """The current generation, and the previous ones that still have open requests."""

    def __init__(
        self,
        plan: RoutingPlan,
        settings: Settings,
        *,
        classes: tuple[str, ...],
        tenants: tuple[str, ...],
        kinds: tuple[str, ...],
        zones: tuple[str, ...],
        log: Callable[..., None],
    ) -> None:
        self._roles = settings.roles
        self._kinds = kinds
        self._zones = zones
        self._log = log
        self._classes = classes
        self._tenants = tenants
        self.current = Generation(1, plan, classes, tenants)
        self.previous: list[Generation] = []

    def replace_plan(self, now: float, plan: RoutingPlan) -> Generation:
        """Starts a new generation, which routes the requests from now on."""
        old = self.current
        self.current = Generation(old.number + 1, plan, self._classes, self._tenants)
        self.current.pool_tracker.inherit_state(old.pool_tracker, now)
        if old.open_requests:
            self.previous.append(old)
        return self.current

    def update_endpoints(self, now: float, update: EndpointUpdate) -> None:
        """Applies an endpoint update to the current and all previous generations."""
        if update.scope is UpdateScope.FAILED:
            return
        healthy: dict[str, HostAttributes] = {}
        removed = []
        labels = self.current.plan.labels
        for entry in update.endpoints:
            if entry.state is EndpointState.HEALTHY:
                host_labels = labels.get(entry.server, frozenset())
                healthy[entry.server] = host_attributes(
                    entry, self._roles, self._kinds, self._zones, host_labels
                )
            else:
                removed.append(entry.server)
        for generation in (self.current, *self.previous):
            generation.pool_tracker.update_hosts(now, healthy, removed, update.scope is not UpdateScope.DELTA)
        self.log_pool_changes()

    def log_pool_changes(self) -> None:
        """Logs pools of the current generation that were lost or have recovered."""
        pool_tracker = self.current.pool_tracker
        for change in pool_tracker.changes:
            event = "pool_degraded" if change.lost else "pool_recovered"
            self._log(event, pool=change.pool, members=change.members, instead=change.active_pool)
        for generation in (self.current, *self.previous):
            generation.pool_tracker.changes.clear()

    def route(self, request: Request, origin: Origin) -> Request:
        """Sets the route of a request and the deadline of its policy, and returns the request.

        Raises:
            NotRoutedError: no route matches, or the body is longer than the policy allows.
        """
        generation = self.current
        if not generation.plan:
            return request
        attributes = generation.attributes(request, origin)
        route = generation.table.find(attributes)
        if route is None:
            raise NotRoutedError("no route takes this request", 404)
        policy = generation.plan.policies.get(route.policy, DEFAULT_POLICY)
        if policy.max_body_bytes is not None and origin.body_bytes > policy.max_body_bytes:
            raise NotRoutedError(
                f"the body is longer than the {policy.max_body_bytes} bytes allowed here", 413
            )
        request.route = RequestRoute(generation, route, attributes)
        if policy.deadline_ms is not None:
            request.expires_in_ms = min(request.expires_in_ms, policy.deadline_ms)
        return request

    def request_accepted(self, now: float, request: Request) -> None:
        """Counts a request for its generation and its retry budget."""
        request_route = request.route
        if isinstance(request_route, RequestRoute):
            request_route.generation.open_requests += 1
            if request_route.generation is not self.current and request_route.generation not in self.previous:
                # Routed just before a reload, accepted after it.
                self.previous.append(request_route.generation)
            if request_route.retry_budget is not None:
                request_route.retry_budget.add_request(now)

    def request_closed(self, now: float, request: Request) -> None:
        """Counts a request as closed; a previous generation is dropped with its last request."""
        request_route = request.route
        if isinstance(request_route, RequestRoute):
            generation = request_route.generation
            generation.open_requests -= 1
            if generation.open_requests == 0 and generation is not self.current:
                self.previous = [other for other in self.previous if other is not generation]
        self.log_pool_changes()

    def log_fields(self, request: Request) -> dict[str, Any]:
        """Returns the fields of the request's log line that describe its route."""
        request_route = request.route
        if not isinstance(request_route, RequestRoute):
            return {}
        attributes = request_route.attributes
        return {
            "route": request_route.route.name,
            "pool": request_route.current_pool,
            "generation": request_route.generation.number,
            "class": attributes.cls,
            "tenant": attributes.tenant,
            "model": attributes.model,
            "front": attributes.front,
            "prompt": attributes.prompt_tokens,
            "retry": attributes.is_retry,
        }
