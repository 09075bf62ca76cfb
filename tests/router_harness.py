"""Test harness around `Router`: default settings, a simulated clock, and builders for events."""

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

ActionType = TypeVar("ActionType")

IDEMPOTENT_CLASS = ClassSettings(
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
NON_IDEMPOTENT_CLASS = replace(IDEMPOTENT_CLASS, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=2.0)

SETTINGS = Settings(
    seed=1,
    dispatcher_index=0,
    dispatcher_count=2,
    zone=0,
    classes=(IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS),
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


def make_endpoint(server: str, kind: int, **changes: Any) -> Endpoint:
    endpoint = Endpoint(server, 0, 1.0, 0, EndpointState.HEALTHY, kind, None)
    return replace(endpoint, **changes)


PREFILL_HOSTS = (make_endpoint("r1", 0), make_endpoint("r2", 0))
DECODE_HOSTS = (make_endpoint("w1", 1), make_endpoint("w2", 1))


class RouterHarness:
    """One router and its clock; `actions` holds the actions of the last batch of events."""

    def __init__(self, *entries: Endpoint, **settings: Any) -> None:
        self.router = Router(replace(SETTINGS, **settings))
        self.now = 1000.0
        self.actions: list[Action] = []
        self.request_count = 0
        self.sent_attempts: dict[str, list[SendAttempt]] = {}
        self.update_endpoints(UpdateScope.CACHED, *(entries or PREFILL_HOSTS + DECODE_HOSTS))

    @property
    def state(self) -> PolicyState:
        """The state of the policy under test."""
        return self.router.state

    def endpoint(self, name: str) -> TrackedEndpoint:
        """Returns the policy's record of an endpoint."""
        return self.state.endpoints.by_name[name]

    def handle(self, *events: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        self.actions = self.router.handle(self.now, list(events))
        for attempt in self.actions_of(SendAttempt):
            self.sent_attempts.setdefault(attempt.id, []).append(attempt)
        return self.actions

    def update_endpoints(self, scope: UpdateScope, *entries: Endpoint) -> list[Action]:
        return self.handle(EndpointUpdate(scope, entries, 1))

    def actions_of(self, kind: type[ActionType]) -> list[ActionType]:
        return [action for action in self.actions if isinstance(action, kind)]

    def only_action(self, kind: type[ActionType]) -> ActionType:
        matching = self.actions_of(kind)
        assert len(matching) == 1, self.actions
        return matching[0]

    def submit(self, after: float = 0.0, **changes: Any) -> str:
        """Has a request arrive and returns its id."""
        self.request_count += 1
        request = Request(
            id=f"q{self.request_count}",
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
        self.handle(request, after=after)
        return request.id

    def finish_attempt(
        self,
        request: str,
        status: AttemptStatus,
        after: float = 50.0,
        duration_ms: float | None = None,
        **fields: Any,
    ) -> list[Action]:
        """Ends the latest attempt of a request; status OK also finishes the request, as on the wire."""
        number = fields.pop("attempt", len(self.sent_attempts[request]) - 1)
        event = AttemptFinished(
            id=request,
            server=self.sent_attempts[request][number].server,
            attempt=number,
            status=status,
            duration_ms=after if duration_ms is None else duration_ms,
            request_finished=status is AttemptStatus.OK,
            detail=0,
            load_report=None,
        )
        return self.handle(replace(event, **fields), after=after)

    def start_stream(self, request: str, after: float = 20.0) -> list[Action]:
        number = len(self.sent_attempts[request]) - 1
        return self.handle(
            StreamStarted(request, self.sent_attempts[request][number].server, number, after), after=after
        )

    def complete_request(self, **changes: Any) -> str:
        """Takes a request through prefill, the first token and the end of its stream, and returns its id."""
        request = self.submit(**changes)
        self.finish_attempt(request, AttemptStatus.PREFILLED)
        self.start_stream(request)
        self.finish_attempt(request, AttemptStatus.OK, after=200.0)
        return request
