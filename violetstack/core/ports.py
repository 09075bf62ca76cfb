"""The interfaces between the core and its surroundings."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from violetstack.policy_api import Action, EndpointUpdate, Event, Request

if TYPE_CHECKING:
    from violetstack.core.records import Attempt, ReleaseCall, RequestOutcome, ReservationCall


class Policy(Protocol):
    """Decides what is done about events."""

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Returns the actions that follow from the events, in the order in which they are to be done."""


class Sink(Protocol):
    """Where the response of one request goes; implemented by a front.

    `stream_started` and any number of `event` calls come first, then exactly one of `finished`,
    `stream_broken`, `rejected` and `failed`.
    """

    def stream_started(self) -> None:
        """The first event of the response has arrived."""

    def event(self, data: memoryview) -> None:
        """Forwards one event. The bytes are valid until the call returns."""

    def finished(self) -> None:
        """The response is complete."""

    def stream_broken(self) -> None:
        """The stream ended early, after its first event."""

    def rejected(self, retry_after_ms: float) -> None:
        """The request was rejected; a retry does no harm, after `retry_after_ms` if that is not 0."""

    def failed(self, may_have_run: bool) -> None:
        """The request failed; `may_have_run` says whether a host may have executed it."""

    def is_client_disconnected(self) -> bool:
        """Returns whether the client has closed its connection by now, or has its response."""


class Origin(msgspec.Struct, frozen=True):
    """What a front knows of a request that matters to routing and not to the policy.

    Attributes:
        front: Name of the front that received the request.
        model: Name of the requested model; empty if the front has none.
        body_bytes: Size of the request body.
    """

    front: str
    model: str = ""
    body_bytes: int = 0


class RequestRouter(Protocol):
    """Assigns routes to requests. Without a router, every request may go to every host."""

    def route(self, request: Request, origin: Origin) -> Request:
        """Returns the request with its route set.

        Raises:
            NotRoutedError: No route matches, or the route's policy rejects the request.
        """

    def request_accepted(self, now: float, request: Request) -> None:
        """Called once for each request that was accepted."""

    def request_closed(self, now: float, request: Request) -> None:
        """Called once nothing of an accepted request is left."""

    def update_endpoints(self, now: float, update: EndpointUpdate) -> None:
        """Called for each update of the endpoint list."""

    def log_fields(self, request: Request) -> dict[str, Any]:
        """Returns the fields that the router adds to the request's log line."""


class Shed(msgspec.Struct, frozen=True):
    """A request was shed before any host saw it.

    Attributes:
        reason: Name of the rule that shed it, for the log.
        retry_after_ms: When the client may retry.
    """

    reason: str
    retry_after_ms: float


class LoadShedder(Protocol):
    """Limits which requests are accepted, by what it observes of the accepted ones."""

    def admit(self, now: float, request: Request) -> Shed | None:
        """Called right before a request is accepted; returns None to admit it.

        It may replace the request's route with a stricter one.
        """

    def stream_started(self, now: float, objective_ratio: float, prompt_tokens: float) -> None:
        """A first token arrived, after `objective_ratio` times the request's latency objective."""

    def request_finished(self, now: float, outcome: RequestOutcome, prompt_tokens: float) -> None:
        """A request has its final response."""


class OutlierObserver(Protocol):
    """Observes the health of hosts beside the policy."""

    def endpoints_listed(self, now: float, hosts: Iterable[str]) -> None:
        """Called with all listed hosts after each update of the endpoint list."""

    def attempt_observed(self, now: float, host: str, succeeded: bool) -> None:
        """An attempt succeeded (`succeeded`) at the host, or the host failed it."""


class MigratedStream(Protocol):
    """A stream that another process of this dispatcher began and hands over."""

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
        """Id of the host that sends the stream."""

    @property
    def age_ms(self) -> float:
        """Time since the request was accepted."""

    @property
    def events_forwarded(self) -> int:
        """Number of events that the client has received."""

    @property
    def prompt_tokens(self) -> float:
        """Size of the prompt."""

    @property
    def holds_remote_state(self) -> bool:
        """Whether a host may hold state for the request."""


class Driver(Protocol):
    """Carries out the core's calls against hosts and peers. Each call returns at once."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Starts to send the attempt; its end is reported by `Dispatcher.attempt_finished`."""

    def abort_attempt(self, attempt: Attempt) -> None:
        """Stops the attempt; the driver reports nothing more of it."""

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Returns whether the last byte has left this machine; True where that is not known."""

    def is_acknowledged(self, attempt: Attempt) -> bool:
        """Returns whether the host has acknowledged all that was written; True where that is not known."""

    def reserve_decode_slot(self, call: ReservationCall) -> None:
        """Reserves a slot; the result is reported by `Dispatcher.reservation_finished`."""

    def release_state(self, call: ReleaseCall) -> None:
        """Releases what hosts hold for the request; `Dispatcher.release_finished` reports the end."""

    def check_health(self, server: str) -> None:
        """Sends a health check; the result is reported by `Dispatcher.health_checked`."""

    def send_gossip(self, payload: bytes, /) -> None:
        """Sends a datagram to every other dispatcher of the tier."""

    def log(self, event: str, **fields: Any) -> None:
        """Writes a log line."""


class Wake(Protocol):
    """Makes the event loop call `Dispatcher.run` soon."""

    def __call__(self) -> None:
        """Wakes the loop."""


class RetryAfter(Protocol):
    """Adjusts the advice of a rejection."""

    def __call__(self, retry_after_ms: float, /) -> float:
        """Returns when the client may retry, given what the policy advises; both in milliseconds."""


class MaxUnread(Protocol):
    """Tells how long input may have waited in its socket."""

    def __call__(self) -> float:
        """Returns the longest time in milliseconds that input which is read now may have waited."""
