"""What the core keeps: an open request, its attempts, the calls made for it, and its ports."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from violetstack.core.timers import Timer
from violetstack.policy_api import EndpointUpdate, Request


class Sink(Protocol):
    """Where a request's answer goes; a front's. After `begun` and any `event`, exactly one of the rest."""

    def stream_started(self) -> None: ...

    def event(self, data: memoryview) -> None: ...

    def finished(self) -> None: ...

    def stream_broken(self) -> None:
        """The stream broke after its first event."""

    def rejected(self, retry_after_ms: float) -> None: ...

    def failed(self, may_have_run: bool) -> None: ...

    def client_gone(self) -> bool:
        """Has the client closed its connection by now, or been answered?"""


class NotRouted(Exception):
    """No route takes this request, or its route's policy does not; the text is for the client."""

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class Origin(msgspec.Struct, frozen=True):
    """What a front knows of a request that the module does not need."""

    front: str
    model: str = ""
    body_bytes: int = 0


class Routes(Protocol):
    """Who gives requests their course. Without one, every request may go to every host."""

    def route(self, request: Request, origin: Origin) -> Request:
        """The request with its course. Raises NotRouted."""

    def request_accepted(self, now: float, request: Request) -> None: ...

    def request_closed(self, now: float, request: Request) -> None: ...

    def update_endpoints(self, now: float, news: EndpointUpdate) -> None: ...

    def log_fields(self, request: Request) -> dict[str, Any]:
        """For the request's log line."""


class LoadShedder(Protocol):
    """Who bounds what is taken at all, and is told how it went."""

    def admit(self, now: float, request: Request) -> Shed | None:
        """Called right before a request is taken; None: it may be. It may bound the request's course."""

    def stream_started(self, now: float, ratio: float, prompt: float) -> None:
        """A first token came, after so many times the request's aim."""

    def request_finished(self, now: float, answer: str, prompt: float) -> None: ...


class OutlierObserver(Protocol):
    """Who is told how hosts do, beside the module."""

    def endpoints_listed(self, now: float, hosts: Iterable[str]) -> None: ...

    def attempt_observed(self, now: float, host: str, well: bool) -> None:
        """An attempt went well there, or the host failed it."""


class Shed(msgspec.Struct, frozen=True):
    """Dropped knowingly, before any host heard of it."""

    reason: str
    retry_after_ms: float


class ClosedSink:
    """Takes the place of a sink whose request is over."""

    def stream_started(self) -> None: ...

    def event(self, data: memoryview) -> None: ...

    def finished(self) -> None: ...

    def stream_broken(self) -> None: ...

    def rejected(self, retry_after_ms: float) -> None: ...

    def failed(self, may_have_run: bool) -> None: ...

    def client_gone(self) -> bool:
        return True


CLOSED_SINK = ClosedSink()


class Driver(Protocol):
    """Who carries out what the core asks; the net's. Each call returns at once."""

    def start_attempt(self, attempt: Attempt) -> None: ...

    def abort_attempt(self, attempt: Attempt) -> None: ...

    def reserve_decode_slot(self, call: ReservationCall) -> None: ...

    def release_state(self, call: ReleaseCall) -> None: ...

    def check_health(self, server: str) -> None: ...

    def send_gossip(self, payload: bytes, /) -> None: ...

    def log(self, event: str, **fields: Any) -> None: ...


class Attempt(msgspec.Struct, eq=False):
    """One send. `written` is set by the driver once the last byte may have left, never before."""

    request: OpenRequest
    number: int
    server: str
    is_prefill: bool
    sent_at: float
    deadline: float
    request_written: bool = False
    stream_started: bool = False
    events_forwarded: int = 0  # passed on
    finished: bool = False
    timer: Timer | None = None


class ReservationCall(msgspec.Struct, eq=False):
    request: OpenRequest
    server: str
    attempt: Attempt | None
    after_release: ReleaseCall | None


class ReleaseCall(msgspec.Struct, eq=False):
    """Stale once a further send or place goes out: what is held then is settled by that one's end."""

    request: OpenRequest
    since: float
    superseded: bool = False
    attempted: bool = False


def always() -> bool:
    return True


class OpenRequest(msgspec.Struct, eq=False):
    """One request from its arrival until nothing of it is left anywhere.

    `allowed` is asked in each step that writes a part of an attempt; a no keeps the rest unsent.
    """

    policy_request: Request
    sink: Sink
    payload: Any
    arrived_at: float
    deadline: float
    in_flight: dict[int, Attempt] = {}
    attempts_sent: int = 0
    committed_attempt: Attempt | None = None
    sending_allowed: Callable[[], bool] = always
    survives_disconnect: bool = (
        False  # once it may have run it goes on without its client, for a retry to find
    )
    client_disconnected: bool = False  # its client has
    done: bool = False
    may_have_run: bool = False
    first_run_at: float = 0.0  # when the first of them was sent
    holds_remote_state: bool = False  # a state or place may be held for it somewhere
    state_held_since: float = (
        0.0  # the last outcome of what had reached a host: what is held has its time from then
    )
    reservations_in_flight: int = 0  # place calls under way
    release: ReleaseCall | None = None
    deadline_timer: Timer | None = None
    outcome: str = ""
    answered_at: float = 0.0
    reservation_log: list[tuple[str, str]] = []  # server, what it told of a place
    attempt_log: list[tuple[str, str, int]] = []  # server, status, ms of each attempt

    @property
    def id(self) -> str:
        return self.policy_request.id

    def close(self) -> None:
        """Guards the memory: body, front and connection go now, not when a collection finds the circle."""
        self.sink = CLOSED_SINK
        self.payload = None
        self.committed_attempt = None
