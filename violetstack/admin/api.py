"""The admin API over HTTP/1.1, without I/O: takes the bytes of a request, returns those of its response."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec

from violetstack.admin.errors import (
    NotRecordedError,
    RequestRejectedError,
    TooManyCordonsError,
    UnknownEndpointError,
)
from violetstack.admin.responses import (
    CordonResponse,
    ErrorResponse,
    HealthResponse,
    InvariantsResponse,
    LeasesResponse,
    ResignResponse,
    RestartPermitResponse,
    StatsResponse,
    UncordonResponse,
)
from violetstack.protocol.http_server import Headers, HttpRequest, HttpServerConnection, InvalidRequestError

MAX_BODY_BYTES = 1024  # a body is at most one endpoint id or lease name
NAME_PATTERN = re.compile(r"[!-~]{1,128}")
JSON_HEADERS: Headers = [("Content-Type", "application/json"), ("Cache-Control", "no-store")]


class AdminOperations(Protocol):
    """The operations that the API provides on a dispatcher."""

    @property
    def started(self) -> bool:
        """Whether the endpoint list is known; once it is, hosts can be cordoned until the process ends."""

    @property
    def accepting(self) -> bool:
        """Whether client requests are accepted."""

    def stats(self) -> StatsResponse:
        """Returns the current metrics."""

    def invariants(self) -> InvariantsResponse:
        """Returns how often this process has violated each invariant."""

    def cordon(self, endpoint_id: str) -> None:
        """Cordons an endpoint, which then gets no new work, and records the cordon for a successor process.

        Raises:
            UnknownEndpointError: No listed or cordoned endpoint has this id.
            TooManyCordonsError: The number of cordons has reached its limit.
            NotRecordedError: The record for a successor process could not be written.
        """

    def uncordon(self, endpoint_id: str) -> None:
        """Ends a cordon.

        Raises:
            UnknownEndpointError: No listed or cordoned endpoint has this id.
            NotRecordedError: The record for a successor process could not be written.
        """

    def leases(self) -> LeasesResponse:
        """Returns the leases of the tier that this dispatcher knows.

        Raises:
            RequestRejectedError: No leases are configured.
        """

    def request_restart(self) -> RestartPermitResponse:
        """Requests a restart permit; if it is granted, shuts the process down.

        Raises:
            RequestRejectedError: The permit is not granted yet, or permits are not configured.
        """

    def resign(self, lease_name: str) -> ResignResponse:
        """Releases a lease.

        Raises:
            RequestRejectedError: The lease is not held here, or no leases are configured.
        """


class AdminRoute(NamedTuple):
    """The method of a path, and the function that handles its requests."""

    method: str
    handle: Callable[[AdminOperations, HttpRequest], msgspec.Struct]
    needs_start: bool  # whether requests are rejected until the endpoint list is known


class AdminConnection:
    """A connection that carries one request.

    `feed` returns the bytes to send; `finished` is true once they include the response.
    """

    def __init__(self, operations: AdminOperations, log: Callable[..., None]) -> None:
        """Creates a connection; `log` is called with an event name and the event's fields."""
        self._operations = operations
        self._log = log
        self._http = HttpServerConnection(max_body_bytes=MAX_BODY_BYTES)
        self._http.closing = True

    def feed(self, data: bytes) -> bytes | None:
        """Takes received bytes; returns the response, an interim response, or None to wait for more."""
        request: HttpRequest | None = None
        try:
            self._http.feed(data)
            request = self._next_request()
            if request is None:
                return self._http.continue_100() if self._http.awaits_100_continue else None
            body = msgspec.json.encode(self._dispatch(request))
        except InvalidRequestError as error:
            return self._reject(request, RequestRejectedError(error.status, error.reason))
        except RequestRejectedError as error:
            return self._reject(request, error)
        except Exception as error:  # a bug in one operation must not stop the server
            return self._reject(request, RequestRejectedError(500, repr(error)))
        return self._respond(200, JSON_HEADERS, body)

    def _next_request(self) -> HttpRequest | None:
        """Parses all input in one step: a body is at most MAX_BODY_BYTES long, in whatever chunks."""
        request = self._http.next_request()
        while request is None and self._http.input_pending:
            request = self._http.next_request()
        return request

    @property
    def finished(self) -> bool:
        """Whether the response has been returned."""
        return not self._http.can_answer

    def time_out(self) -> bytes:
        """Returns the response to a request that did not arrive completely in time."""
        return self._reject(None, RequestRejectedError(408, "the call did not arrive in time"))

    def _dispatch(self, request: HttpRequest) -> msgspec.Struct:
        route = ROUTES.get(request.path)
        if route is None:
            raise RequestRejectedError(404, f"there is no such call; there are {', '.join(ROUTES)}")
        if request.method != route.method:
            allow = [("Allow", route.method)]
            raise RequestRejectedError(405, f"{request.path} takes {route.method}", allow)
        if route.needs_start and not self._operations.started:
            raise RequestRejectedError(503, "this process has not started yet")
        return route.handle(self._operations, request)

    def _reject(self, request: HttpRequest | None, error: RequestRejectedError) -> bytes:
        path = request.path if request is not None else ""
        self._log("admin_call_rejected", path=path, status=error.status, reason=error.reason)
        body = msgspec.json.encode(ErrorResponse(error.reason))
        return self._respond(error.status, [*JSON_HEADERS, *error.headers], body)

    def _respond(self, status: int, headers: Headers, body: bytes) -> bytes:
        return b"".join(self._http.answer(status, headers, body + b"\n"))


def _health(operations: AdminOperations, _: HttpRequest) -> HealthResponse:
    if not operations.accepting:
        raise RequestRejectedError(503, "this process does not take clients now")
    return HealthResponse()


def _stats(operations: AdminOperations, _: HttpRequest) -> StatsResponse:
    return operations.stats()


def _invariants(operations: AdminOperations, _: HttpRequest) -> InvariantsResponse:
    return operations.invariants()


def _cordon(operations: AdminOperations, request: HttpRequest) -> CordonResponse:
    endpoint_id = _endpoint_id(request)
    _change_cordon(operations.cordon, endpoint_id)
    return CordonResponse(endpoint_id)


def _uncordon(operations: AdminOperations, request: HttpRequest) -> UncordonResponse:
    endpoint_id = _endpoint_id(request)
    _change_cordon(operations.uncordon, endpoint_id)
    return UncordonResponse(endpoint_id)


def _leases(operations: AdminOperations, _: HttpRequest) -> LeasesResponse:
    return operations.leases()


def _request_restart(operations: AdminOperations, _: HttpRequest) -> RestartPermitResponse:
    return operations.request_restart()


def _resign(operations: AdminOperations, request: HttpRequest) -> ResignResponse:
    return operations.resign(_name_in_body(request, "a duty's name"))


def _change_cordon(change: Callable[[str], None], endpoint_id: str) -> None:
    """Calls `change` with the endpoint and converts its errors to error responses."""
    try:
        change(endpoint_id)
    except UnknownEndpointError as error:
        raise RequestRejectedError(404, str(error)) from None
    except TooManyCordonsError as error:
        raise RequestRejectedError(409, str(error)) from None
    except NotRecordedError as error:
        raise RequestRejectedError(503, f"not recorded for a successor: {error}") from None


def _endpoint_id(request: HttpRequest) -> str:
    return _name_in_body(request, "the id of one model host")


def _name_in_body(request: HttpRequest, expected: str) -> str:
    """Returns the name in the request's body; `expected` describes it in the error."""
    try:
        name = bytes(request.body).decode().strip()
    except UnicodeDecodeError:
        name = ""
    if not NAME_PATTERN.fullmatch(name):
        raise RequestRejectedError(400, f"the body is to be {expected}")
    return name


ROUTES = {
    "/admin/health": AdminRoute("GET", _health, needs_start=False),
    "/admin/stats": AdminRoute("GET", _stats, needs_start=False),
    "/admin/invariants": AdminRoute("GET", _invariants, needs_start=False),
    "/admin/cordon": AdminRoute("POST", _cordon, needs_start=True),
    "/admin/uncordon": AdminRoute("POST", _uncordon, needs_start=True),
    "/admin/duties": AdminRoute("GET", _leases, needs_start=True),
    "/admin/leave": AdminRoute("POST", _request_restart, needs_start=True),
    "/admin/resign": AdminRoute("POST", _resign, needs_start=True),
}
