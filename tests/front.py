"""A front on the test bench of pytest: settings with plain defaults, events in, actions out."""

from __future__ import annotations

from typing import Any, TypeVar

from msgspec.structs import replace

from violetstack.policy.router import Router
from violetstack.policy_api import (
    Action,
    AttemptFinished,
    AttemptStatus,
    ClassSettings,
    DeduplicationScope,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    Idempotency,
    Request,
    Role,
    SendAttempt,
    Settings,
    StreamStarted,
    UpdateScope,
)
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.state import PolicyState

A = TypeVar("A")

SAFE = ClassSettings(
    latency_objective_ms=1000.0,
    client_timeout_ms=4000.0,
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    deduplication_window_ms=5000.0,
    priority_weight=1.0,
    late_weight_share=0.2,
    objective_ms_per_1000_tokens=0.0,
    objective_stretch=0.0,
    inter_token_objective_ms=50.0,
)
UNSAFE = replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=2.0)

SETTINGS = Settings(
    seed=1,
    dispatcher_index=0,
    dispatcher_count=2,
    zone=0,
    classes=(SAFE, UNSAFE),
    tenants=(),
    over_quota_weight=1.0,
    roles=(Role.PREFILL, Role.DECODE, Role.MIXED),
    memory_tokens=(100_000.0, 100_000.0, 100_000.0),
    reserve_ahead=True,
    decode_hosts_prefill=False,
    resume_supported=False,
    state_retention_ms=300.0,
    max_attempts=4,
    cancellation_allowed=True,
    hedging_allowed=False,
    health_checks_allowed=False,
    gossip_allowed=False,
    send_retry_after=True,
    max_retry_after_ms=1000.0,
    connect_timeout_ms=250.0,
    watch_required=False,
    watch_deadline_ms=10_000.0,
    load_report_fields=(),
    health_checks_report_load=False,
    slow_start_capacity=0.3,
    slow_start_ms=10_000.0,
    overload_window_ms=2000.0,
    overload_multiple=2.5,
    answer_grace_ms=16.0,
)


def entry(server: str, kind: int, **changes: Any) -> Endpoint:
    base = Endpoint(server, 0, 1.0, 0, EndpointState.HEALTHY, kind, None)
    return replace(base, **changes)


READERS = (entry("r1", 0), entry("r2", 0))
WRITERS = (entry("w1", 1), entry("w2", 1))


class Front:
    """One Router and its clock; what it did last is in `did`."""

    def __init__(self, *entries: Endpoint, **settings: Any) -> None:
        self.router = Router(replace(SETTINGS, **settings))
        self.now = 1000.0
        self.did: list[Action] = []
        self.count = 0
        self.sends: dict[str, list[SendAttempt]] = {}
        self.news(UpdateScope.CACHED, *(entries or READERS + WRITERS))

    @property
    def state(self) -> PolicyState:
        """What the policy knows."""
        return self.router.state

    def endpoint(self, name: str) -> TrackedEndpoint:
        """The policy's record of an endpoint."""
        return self.state.endpoints.by_name[name]

    def feed(self, *events: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        self.did = self.router.handle(self.now, list(events))
        for send in self.all(SendAttempt):
            self.sends.setdefault(send.id, []).append(send)
        return self.did

    def news(self, scope: UpdateScope, *entries: Endpoint) -> list[Action]:
        return self.feed(EndpointUpdate(scope, entries, 1))

    def all(self, kind: type[A]) -> list[A]:
        return [action for action in self.did if isinstance(action, kind)]

    def one(self, kind: type[A]) -> A:
        found = self.all(kind)
        assert len(found) == 1, self.did
        return found[0]

    def ask(self, after: float = 0.0, **changes: Any) -> str:
        """A request arrives; returns its id."""
        self.count += 1
        request = Request(
            id=f"q{self.count}",
            class_index=0,
            tenant_index=0,
            session=None,
            expires_in_ms=3000.0,
            expected_answer_ms=None,
            prefix_id=None,
            prompt_tokens=2000.0,
            prefix_tokens=0.0,
            max_tokens=200.0,
            is_retry=False,
            is_resumed=False,
        )
        request = replace(request, **changes)
        self.feed(request, after=after)
        return request.id

    def end(
        self,
        request: str,
        status: AttemptStatus,
        after: float = 50.0,
        took: float | None = None,
        **extra: Any,
    ) -> list[Action]:
        """The latest attempt of a request ends; ok settles the request, as on the wire."""
        n = extra.pop("attempt", len(self.sends[request]) - 1)
        outcome = AttemptFinished(
            id=request,
            server=self.sends[request][n].server,
            attempt=n,
            status=status,
            duration_ms=after if took is None else took,
            request_finished=status is AttemptStatus.OK,
            detail=0,
            load_report=None,
        )
        return self.feed(replace(outcome, **extra), after=after)

    def begin(self, request: str, after: float = 20.0) -> list[Action]:
        n = len(self.sends[request]) - 1
        return self.feed(StreamStarted(request, self.sends[request][n].server, n, after), after=after)

    def serve(self, **changes: Any) -> str:
        """A request goes the ordinary way to its end."""
        request = self.ask(**changes)
        self.end(request, AttemptStatus.PREFILLED)
        self.begin(request)
        self.end(request, AttemptStatus.OK, after=200.0)
        return request
