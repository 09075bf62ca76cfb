"""Records of a request and of its attempts; times are milliseconds of the caller's clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from violetstack.estimation.prefill_cost import prefill_cost
from violetstack.policy_api import ClassSettings, Request

if TYPE_CHECKING:
    from violetstack.tracking.endpoint import TrackedEndpoint


class Attempt:
    """One attempt of a request at one endpoint."""

    def __init__(
        self,
        request: RequestState,
        number: int,
        endpoint: TrackedEndpoint,
        *,
        is_prefill: bool,
        sent_at: float,
        expected_cached_tokens: float,
        prefill_cost: float,
        cost_at_send: float,
    ) -> None:
        """Records an attempt that is sent now.

        Args:
            request: the request that is sent.
            number: counts the request's attempts from 0.
            endpoint: the host to which it is sent.
            is_prefill: whether it only prefills the prompt and a decode host generates the answer.
            sent_at: the current time.
            expected_cached_tokens: prompt tokens that are expected to be cached at the endpoint.
            prefill_cost: cost of the tokens that are not cached.
            cost_at_send: prefill cost in flight at the endpoint, including this attempt's.
        """
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.is_prefill = is_prefill
        self.sent_at = sent_at
        self.expected_cached_tokens = expected_cached_tokens
        self.prefill_cost = prefill_cost
        self.cost_at_send = cost_at_send
        self.started = False  # whether its first token arrived
        self.spans_pause = False  # a pause of the process falls in it, so its times are not sampled


class DecodeSlot:
    """The decode slot that is reserved for a request while it is prefilled."""

    def __init__(self) -> None:
        """Starts without a reservation."""
        self.host: TrackedEndpoint | None = None  # of the latest reservation
        self.reserved = False  # whether the host confirmed it
        self.hosts_tried: list[TrackedEndpoint] = []  # hosts of all reservations during one prefill


class RequestState:
    """The record of one request: its attempts, deadline, prefilled state and decode slot."""

    def __init__(
        self,
        params: Request,
        class_settings: ClassSettings,
        shortest_objective_ms: float,
        max_attempts: int,
        now: float,
    ) -> None:
        """Records a request that arrived.

        Args:
            params: the request as it arrived.
            class_settings: the settings of its class.
            shortest_objective_ms: latency objective of the most demanding class, for an empty prompt.
            max_attempts: the limit of the settings; the request's route may lower it.
            now: when it arrived at the policy.
        """
        self.id = params.id
        self.params = params
        self.class_settings = class_settings
        self.route = params.route
        self.scope = ""  # name of the active pool; requests of one scope compete for the same hosts
        self.max_attempts = max_attempts
        if self.route is not None:
            self.scope = self.route.active_pool(now)
            self.max_attempts = min(max_attempts, self.route.max_attempts)
        self.arrived_at = now - params.age_ms
        self.deadline = now + params.expires_in_ms

        self.prefill_cost = prefill_cost(params.prompt_tokens)
        self.objective_ms = _objective_ms(params, class_settings)
        self.shortest_objective_ms = shortest_objective_ms + self.objective_ms
        self.shortest_objective_ms -= class_settings.latency_objective_ms
        self.tokens = params.prompt_tokens + _answer_tokens(params, class_settings)

        self.attempts_sent = 0  # number of attempts so far
        self.in_flight: dict[int, Attempt] = {}  # by number
        self.failed_at: list[TrackedEndpoint] = []
        self.first_attempt_with_effect: Attempt | None = None  # the first attempt that may have been executed
        self.started = False  # whether the first token of an attempt arrived
        self.done = False  # whether the final answer is decided

        self.preferred_hosts: list[TrackedEndpoint] = []  # prefill hosts, by affinity
        self.state_host: TrackedEndpoint | None = None  # the prefill host that holds the prefilled state
        self.slot = DecodeSlot()
        self.holds_remote_state = False  # a host may hold something, even if it is no longer tracked here

    def route_allows(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Returns whether the request's route allows the endpoint; without a route, all are allowed."""
        return self.route is None or self.route.contains(endpoint.name, now)

    @property
    def awaits_first_token(self) -> bool:
        """Returns whether it has neither a final answer nor a stream."""
        return not self.done and not any(attempt.started for attempt in self.in_flight.values())

    @property
    def only_prefills(self) -> bool:
        """Returns whether no decode is in flight."""
        return all(attempt.is_prefill for attempt in self.in_flight.values())

    def lateness(self, now: float) -> float:
        """Returns its age over the latency objective of the most demanding class for this length."""
        return (now - self.arrived_at) / max(1.0, self.shortest_objective_ms)


def _objective_ms(params: Request, class_settings: ClassSettings) -> float:
    """Returns the latency objective, by the length of the prompt and, if known, of the answer."""
    objective_ms = class_settings.latency_objective_ms
    objective_ms += class_settings.objective_ms_per_1000_tokens * params.prompt_tokens / 1000.0
    if params.expected_answer_ms is not None and class_settings.inter_token_objective_ms > 0:
        objective_ms += class_settings.objective_stretch * params.expected_answer_ms
    return objective_ms


def _answer_tokens(params: Request, class_settings: ClassSettings) -> float:
    """Returns the answer's expected length if known, at most its limit; else the limit."""
    if params.expected_answer_ms is None or class_settings.inter_token_objective_ms <= 0:
        return params.max_tokens
    return min(params.max_tokens, params.expected_answer_ms / class_settings.inter_token_objective_ms)
