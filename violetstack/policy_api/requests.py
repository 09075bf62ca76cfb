"""Requests and their routes."""

from __future__ import annotations

from typing import Protocol

import msgspec


class Route(Protocol):
    """The limits of a request's route. They are queried at each decision, since pools change.

    Attributes:
        max_attempts: Limit of the request's attempts.
    """

    max_attempts: int

    def active_pool(self, now: float) -> str:
        """Returns the name of the active pool, or the empty string for all hosts.

        Requests of different pools do not compete for hosts.
        """

    def contains(self, server: str, now: float) -> bool:
        """Returns whether the host is in the active pool."""

    def reservation_allowed(self, now: float) -> bool:
        """Returns whether a decode slot may be reserved while the prompt is prefilled."""

    def take_retry(self, now: float) -> bool:
        """Returns whether another attempt may follow a failed one, and counts it against the retry budget."""


class Request(msgspec.Struct):
    """A request has arrived.

    Before the request is accepted, routing sets `route` and may shorten `expires_in_ms` by the route's
    policy; nothing changes it later. It is not frozen because a modified copy would cost more than finding
    the route.

    Attributes:
        id: Unique among the open requests.
        class_index: Index of its class.
        tenant_index: Index of its tenant.
        session: Id of its conversation.
        expires_in_ms: Time until its client gives up.
        expected_answer_ms: Expected duration of the response at the inter-token objective, if known.
        prefix_id: Id of a prefix that its prompt shares with other prompts.
        prompt_tokens: Length of the prompt.
        prefix_tokens: Length of the prefix.
        max_tokens: Limit of the response's length.
        is_retry: Whether the client retries an earlier request.
        is_resumed: Whether the client resumes a broken stream.
        route: Its route. Without one, all hosts are allowed and the settings alone limit the attempts.
        age_ms: How long it may have waited unread in its socket; already subtracted from `expires_in_ms`.
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
