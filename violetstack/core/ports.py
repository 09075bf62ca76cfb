"""Interfaces between the core and the parts that it is connected to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypeAlias

import msgspec

from violetstack.policy_api import Action, EndpointUpdate, Event, Request

if TYPE_CHECKING:
    from violetstack.core.records import Attempt, ReleaseCall, RequestOutcome, ReservationCall

ResponseEvent: TypeAlias = Any
"""An event of a response, which the core passes from the driver to the front without looking into it."""


class Policy(Protocol):
    """Decides what is done about events."""

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Returns the actions to perform in response to the events, in their order of execution."""


class Sink(Protocol):
    """Receives the response of one request; implemented by the fronts.

    `stream_started` and any number of `event` calls come first, then exactly one of `finished`,
    `stream_broken`, `rejected` and `failed`.
    """

    def stream_started(self) -> None:
        """Called when the first event of the response has arrived."""

    def why_unforwardable(self, event: ResponseEvent) -> str:
        """Returns why the response cannot go on with this event; empty if it can be forwarded.

        Called for each event before it is forwarded, also before `stream_started`.
        """

    def event(self, event: ResponseEvent) -> None:
        """Forwards one event. Its bytes are valid until the call returns."""

    def finished(self) -> None:
        """Called when the response is complete."""

    def stream_broken(self) -> None:
        """Called when the stream broke after its first event."""

    def rejected(self, retry_after_ms: float, may_have_run: bool) -> None:
        """Rejects the request; the client may retry, after `retry_after_ms` if that is not 0.

        If `may_have_run`, a retry is safe only while hosts still know the request by its key.
        """

    def failed(self, may_have_run: bool) -> None:
        """Reports that the request failed; `may_have_run` says whether a host may have executed it."""

    def is_client_disconnected(self) -> bool:
        """Returns whether the client has closed its connection or already has its response."""


class Origin(msgspec.Struct, frozen=True):
    """Properties of a request that only routing needs, not the policy.

    Attributes:
        front: Name of the front that received the request.
        model: Name of the requested model; empty if the front has none.
        body_bytes: Size of the request body.
    """

    front: str
    model: str = ""
    body_bytes: int = 0


class RequestRouter(Protocol):
    """Assigns routes to requests; without a router, every request may be sent to every host."""

    def route(self, request: Request, origin: Origin) -> Request:
        """Returns the request with its route set.

        Raises:
            NotRoutedError: No route matches, or the route's policy rejects the request.
        """

    def request_accepted(self, now: float, request: Request) -> None:
        """Called when a request was accepted."""

    def request_closed(self, now: float, request: Request) -> None:
        """Called when the record of an accepted request is closed."""

    def update_endpoints(self, now: float, update: EndpointUpdate) -> None:
        """Called after each update of the endpoint list."""

    def log_fields(self, request: Request) -> dict[str, Any]:
        """Returns the fields that the router adds to the request's log line."""


class Shed(msgspec.Struct, frozen=True):
    """The decision to shed a request before it is sent to any host.

    Attributes:
        reason: Name of the rule that shed the request, for the log.
        retry_after_ms: When the client may retry.
    """

    reason: str
    retry_after_ms: float


class LoadShedder(Protocol):
    """Limits which requests are accepted, depending on the progress of the accepted ones."""

    def admit(self, now: float, request: Request) -> Shed | None:
        """Called right before a request is accepted; returns None to admit it.

        The load shedder may replace the request's route with a stricter one.
        """

    def stream_started(self, now: float, objective_ratio: float, prompt_tokens: float) -> None:
        """Called when a first token arrived; `objective_ratio` is the time divided by its objective."""

    def request_finished(self, now: float, outcome: RequestOutcome, prompt_tokens: float) -> None:
        """Called when a request has its final response."""


class OutlierObserver(Protocol):
    """Observes the health of hosts independently of the policy."""

    def endpoints_updated(self, now: float, update: EndpointUpdate) -> None:
        """Called with each update of the endpoint list."""

    def attempt_observed(self, now: float, host: str, succeeded: bool) -> None:
        """Called when an attempt succeeded at the host, or failed by the host's fault."""


class MigratedStream(Protocol):
    """A stream that another process of this dispatcher has started and hands over."""

    @property
    def id(self) -> str:
        """The request's id."""

    @property
    def class_index(self) -> int:
        """The index of the request's class."""

    @property
    def tenant_index(self) -> int:
        """The index of the request's tenant."""

    @property
    def server(self) -> str:
        """The id of the host that sends the stream."""

    @property
    def age_ms(self) -> float:
        """Time since the request was accepted, in milliseconds."""

    @property
    def events_forwarded(self) -> int:
        """Number of events that the client has received."""

    @property
    def prompt_tokens(self) -> float:
        """Length of the prompt."""

    @property
    def holds_remote_state(self) -> bool:
        """Whether a host may hold state for the request."""


class Driver(Protocol):
    """Performs the core's calls to hosts and other dispatchers. Each method returns at once."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Starts sending the attempt; `Dispatcher.attempt_finished` reports its end."""

    def abort_attempt(self, attempt: Attempt) -> None:
        """Stops the attempt; the driver reports nothing more about it."""

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Returns whether the last byte has left this machine; True if that cannot be determined."""

    def is_acknowledged(self, attempt: Attempt) -> bool:
        """Returns whether the host has acknowledged all written data; True if that cannot be determined."""

    def reserve_decode_slot(self, call: ReservationCall) -> None:
        """Reserves a decode slot; `Dispatcher.reservation_finished` reports the result."""

    def release_state(self, call: ReleaseCall) -> None:
        """Releases what hosts hold for the request; `Dispatcher.release_finished` reports the end."""

    def check_health(self, server: str) -> None:
        """Sends a health check; `Dispatcher.health_check_finished` reports the result."""

    def send_gossip(self, payload: bytes, /) -> None:
        """Sends a datagram to every other dispatcher."""

    def log(self, event: str, **fields: Any) -> None:
        """Writes a log line."""


class Wake(Protocol):
    """Callback that makes the event loop call `Dispatcher.run` soon."""

    def __call__(self) -> None:
        """Wakes the event loop."""


class RetryAfter(Protocol):
    """Callback that adjusts the retry time which a rejection advises."""

    def __call__(self, retry_after_ms: float, /) -> float:
        """Returns when the client may retry, given what the policy advises; both in milliseconds."""


class MaxUnread(Protocol):
    """Callback for how long input may have waited in its socket."""

    def __call__(self) -> float:
        """Returns the longest time that input read now may have waited, in milliseconds."""
