"""Records of a request and of its attempts. Times are milliseconds of the caller's clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from violetstack.estimation.prefill_cost import prefill_cost
from violetstack.policy_api import ClassSettings, Request

if TYPE_CHECKING:
    from violetstack.tracking.endpoint import TrackedEndpoint


class Attempt:
    """One attempt of a request at one endpoint, from its sending to its outcome."""

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
        cost_ahead: float,
    ) -> None:
        """Record an attempt that is sent now.

        Args:
            request: what it is an attempt of.
            number: counts the request's attempts from 0.
            endpoint: where it goes.
            is_prefill: it computes the prompt alone and leaves the rest to a decode host.
            sent_at: now.
            expected_cached_tokens: prompt tokens that the endpoint is believed to have cached.
            prefill_cost: cost of the tokens that are not cached.
            cost_ahead: prefill cost in flight at the endpoint, this attempt's included.
        """
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.is_prefill = is_prefill
        self.sent_at = sent_at
        self.expected_cached_tokens = expected_cached_tokens
        self.prefill_cost = prefill_cost
        self.cost_ahead = cost_ahead
        self.started = False  # its first token has come
        self.spans_pause = False  # the process did not run for part of its time, so its times are no sample


class DecodeSlot:
    """The slot that is reserved for a request at a decode host while it is prefilled."""

    def __init__(self) -> None:
        """No host was asked."""
        self.host: TrackedEndpoint | None = None  # the host asked last
        self.reserved = False  # it has confirmed
        self.hosts_asked: list[TrackedEndpoint] = []  # during one prefill


class RequestState:
    """One request: its attempts, the state and the decode slot held for it, and its deadline."""

    def __init__(
        self,
        params: Request,
        class_settings: ClassSettings,
        shortest_objective_ms: float,
        max_attempts: int,
        now: float,
    ) -> None:
        """Take a request.

        Args:
            params: the request as it came.
            class_settings: the settings of its class.
            shortest_objective_ms: latency objective of the most demanding class, for an empty prompt.
            max_attempts: the tier's bound on attempts; the request's route may lower it.
            now: the time of arrival at the policy.
        """
        self.id = params.id
        self.params = params
        self.class_settings = class_settings
        self.route = params.route
        self.scope = ""  # requests of one scope compete for the same hosts
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

        self.sent = 0  # attempts made so far
        self.in_flight: dict[int, Attempt] = {}  # by number
        self.failed_at: list[TrackedEndpoint] = []
        self.first_effective: Attempt | None = None  # the first attempt that may have run and had an effect
        self.started = False  # some attempt's first token came
        self.done = False  # the final answer is decided

        self.preferred_hosts: list[TrackedEndpoint] = []  # prefill hosts, by affinity
        self.state_at: TrackedEndpoint | None = None  # the prefill host that keeps the computed state
        self.slot = DecodeSlot()
        self.holds_remote_state = False  # something may be held at some host, even if no longer tracked here

    def route_allows(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Is the endpoint in the pool of the request's route? Without a route, each is."""
        return self.route is None or self.route.contains(endpoint.name, now)

    @property
    def awaits_first_token(self) -> bool:
        """Has it neither a final answer nor a stream?"""
        return not self.done and not any(attempt.started for attempt in self.in_flight.values())

    @property
    def only_prefills(self) -> bool:
        """Is no decode in flight?"""
        return all(attempt.is_prefill for attempt in self.in_flight.values())

    def lateness(self, now: float) -> float:
        """Its age over the latency objective that the most demanding class has for this length."""
        return (now - self.arrived_at) / max(1.0, self.shortest_objective_ms)


def _objective_ms(params: Request, class_settings: ClassSettings) -> float:
    """The latency objective of the first token, for this prompt's length and the answer's if told."""
    objective_ms = class_settings.latency_objective_ms
    objective_ms += class_settings.objective_ms_per_1000_tokens * params.prompt_tokens / 1000.0
    if params.expected_answer_ms is not None and class_settings.inter_token_objective_ms > 0:
        objective_ms += class_settings.objective_stretch * params.expected_answer_ms
    return objective_ms


def _answer_tokens(params: Request, class_settings: ClassSettings) -> float:
    """The length of the answer: as the client expects it, at most its bound."""
    if params.expected_answer_ms is None or class_settings.inter_token_objective_ms <= 0:
        return params.max_tokens
    return min(params.max_tokens, params.expected_answer_ms / class_settings.inter_token_objective_ms)
