"""Requests and their routes."""

from __future__ import annotations

from typing import Protocol

import msgspec


class Route(Protocol):
    """What the route of a request allows. It is asked at each decision, since pools change meanwhile.

    Attributes:
        max_attempts: Attempts of the request.
    """

    max_attempts: int

    def active_pool(self, now: float) -> str:
        """Returns the name of the pool in use, or the empty string for all hosts.

        Requests of one pool do not wait for those of another.
        """

    def contains(self, server: str, now: float) -> bool:
        """Returns whether the host is in that pool."""

    def reservation_allowed(self, now: float) -> bool:
        """Returns whether a decode slot may be reserved while the prompt is prefilled."""

    def take_retry(self, now: float) -> bool:
        """Returns whether another attempt may follow a failed one, and counts it against the retry budget."""


class Request(msgspec.Struct):
    """A request has arrived.

    Routing sets the route, and the policy of the route may shorten the deadline, before the request is
    accepted; nothing changes it later. It is not frozen for this one step: a frozen copy costs more than
    finding the route.

    Attributes:
        id: Unique among the open requests.
        class_index: Index of its class.
        tenant_index: Index of its tenant.
        session: Id of the conversation that it belongs to.
        expires_in_ms: Time until its client gives up.
        expected_answer_ms: Expected duration of the response at the class's inter-token objective, if known.
        prefix_id: Id of a beginning that its prompt shares with others.
        prompt_tokens: Length of the prompt.
        prefix_tokens: Length of that beginning.
        max_tokens: Limit of the response's length.
        is_retry: Whether the client repeats a request.
        is_resumed: Whether the client continues a stream that broke.
        route: What its route allows. Without a route every host may be chosen, and the settings alone limit
            the attempts.
        age_ms: How long it may have waited unread in its socket; `expires_in_ms` is shorter by this already.
    """

    id: str
    class_index: int
    tenant_index: int
    session: str | None
    expires_in_ms: float
    expected_answer_ms: float | None
    prefix_id: str | None
    prompt_tokens: float
    prefix_tokens: float
    max_tokens: float
    is_retry: bool
    is_resumed: bool
    route: Route | None = None
    age_ms: float = 0.0
