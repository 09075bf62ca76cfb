"""Whole configurations in turn: a request keeps the one that it was taken under to its end."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from violetstack.core.errors import NotRoutedError
from violetstack.core.ports import Origin
from violetstack.policy_api import EndpointState, EndpointUpdate, Request, Settings, UpdateScope
from violetstack.routing.policies import Policy, RetryBudget
from violetstack.routing.pools import HostFacts, PoolBook, PoolSpec, facts_of
from violetstack.routing.table import Asked, Route, Table

EVERYONE = Policy()


@dataclass(frozen=True, slots=True)
class Plan:
    """What a checked file says of routing, as plain data."""

    routes: tuple[Route, ...] = ()
    pools: Mapping[str, PoolSpec] = field(default_factory=dict)
    policies: Mapping[str, Policy] = field(default_factory=dict)
    labels: Mapping[str, frozenset[str]] = field(default_factory=dict)  # by host, from the file

    def __bool__(self) -> bool:
        return bool(self.routes)


class Generation:
    """One configuration's routing. `open` counts the requests that were taken under it."""

    def __init__(self, number: int, plan: Plan, classes: tuple[str, ...], tenants: tuple[str, ...]) -> None:
        self.number = number
        self.plan = plan
        self.classes = classes
        self.tenants = tenants
        closed = {"class": frozenset(classes)}
        if tenants:
            closed["tenant"] = frozenset(tenants)
        self.table = Table(plan.routes, closed)
        self.book = PoolBook(plan.pools)
        self.budgets = {
            name: RetryBudget(policy.retry_share, policy.retry_floor)
            for name, policy in plan.policies.items()
            if policy.retry_share is not None
        }
        self.open = 0

    def asked(self, request: Request, origin: Origin) -> Asked:
        tenant = self.tenants[request.tenant_index] if request.tenant_index < len(self.tenants) else ""
        repeat = request.is_retry or request.is_resumed
        prompt = int(request.prompt_tokens)
        return Asked(self.classes[request.class_index], tenant, origin.model, origin.front, prompt, repeat)


class Course:
    """One request's route, pool and policy; the decision module asks it at each choice."""

    __slots__ = ("_at", "_members", "asked", "max_attempts", "budget", "generation", "pool", "route", "used")

    def __init__(self, generation: Generation, route: Route, asked: Asked) -> None:
        self.generation = generation
        self.route = route
        self.pool = route.pool
        self.asked = asked
        policy = generation.plan.policies.get(route.policy, EVERYONE)
        self.max_attempts = policy.attempts or 1_000_000
        self.budget = generation.budgets.get(route.policy)
        self.used = route.pool  # the pool last chosen from, and since when
        self._at = -1.0
        self._members: set[str] = set()

    def active_pool(self, now: float) -> str:
        """The pool in use now; empty for all hosts."""
        if self.pool and now != self._at:
            book = self.generation.book
            self.used = book.active(self.pool, now)
            self._at = now
            self._members = book.states[self.used].members
        return self.used

    def contains(self, server: str, now: float) -> bool:
        if not self.pool:
            return True
        if now != self._at:
            self.active_pool(now)
        return server in self._members

    def reservation_allowed(self, now: float) -> bool:
        return True

    def take_retry(self, now: float) -> bool:
        return self.budget is None or self.budget.spend(now)


class Routing:
    """The generation in force, and the older ones that still have requests."""

    def __init__(
        self,
        plan: Plan,
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
        self.older: list[Generation] = []

    def swap(self, now: float, plan: Plan) -> Generation:
        """A new configuration for requests from now on."""
        old = self.current
        self.current = Generation(old.number + 1, plan, self._classes, self._tenants)
        self.current.book.take_over(old.book, now)
        if old.open:
            self.older.append(old)
        return self.current

    def update_endpoints(self, now: float, news: EndpointUpdate) -> None:
        """News of the list, to every generation that still has requests."""
        if news.scope is UpdateScope.FAILED:
            return
        here: dict[str, HostFacts] = {}
        gone = []
        labels = self.current.plan.labels
        for entry in news.endpoints:
            if entry.state is EndpointState.HEALTHY:
                label = labels.get(entry.server, frozenset())
                here[entry.server] = facts_of(entry, self._roles, self._kinds, self._zones, label)
            else:
                gone.append(entry.server)
        for generation in (self.current, *self.older):
            generation.book.told(now, here, gone, news.scope is not UpdateScope.DELTA)
        self.tell_changes()

    def tell_changes(self) -> None:
        book = self.current.book
        for change in book.changes:
            event = "pool_degraded" if change.lost else "pool_recovered"
            self._log(event, pool=change.pool, members=change.members, instead=change.instead)
        for generation in (self.current, *self.older):
            generation.book.changes.clear()

    def route(self, request: Request, origin: Origin) -> Request:
        """Sets the request's course and its policy's deadline, and returns it. Raises NotRoutedError."""
        generation = self.current
        if not generation.plan:
            return request
        asked = generation.asked(request, origin)
        route = generation.table.find(asked)
        if route is None:
            raise NotRoutedError("no route takes this request", 404)
        policy = generation.plan.policies.get(route.policy, EVERYONE)
        if policy.body_bytes is not None and origin.body_bytes > policy.body_bytes:
            raise NotRoutedError(f"the body is longer than the {policy.body_bytes} bytes allowed here", 413)
        request.route = Course(generation, route, asked)
        if policy.deadline_ms is not None:
            request.expires_in_ms = min(request.expires_in_ms, policy.deadline_ms)
        return request

    def request_accepted(self, now: float, request: Request) -> None:
        course = request.route
        if isinstance(course, Course):
            course.generation.open += 1
            if course.generation is not self.current and course.generation not in self.older:
                self.older.append(course.generation)  # routed just before a swap, taken after it
            if course.budget is not None:
                course.budget.taken(now)

    def request_closed(self, now: float, request: Request) -> None:
        """The request is over; a generation that is not in force ends with its last one."""
        course = request.route
        if isinstance(course, Course):
            generation = course.generation
            generation.open -= 1
            if generation.open == 0 and generation is not self.current:
                self.older = [g for g in self.older if g is not generation]
        self.tell_changes()

    def log_fields(self, request: Request) -> dict[str, Any]:
        course = request.route
        if not isinstance(course, Course):
            return {}
        asked = course.asked
        return {
            "route": course.route.name,
            "pool": course.used,
            "generation": course.generation.number,
            "class": asked.cls,
            "tenant": asked.tenant,
            "model": asked.model,
            "front": asked.front,
            "prompt": asked.prompt,
            "retry": asked.retry,
        }
