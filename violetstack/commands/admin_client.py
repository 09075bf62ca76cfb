"""A client of the admin API, for commands that call one or more dispatchers."""

from __future__ import annotations

import http.client
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from violetstack.admin.responses import ErrorResponse, LeasesResponse

TIMEOUT_S = 1.0


class AdminClientError(Exception):
    """Base class of the errors of an admin call.

    Attributes:
        address: The address that was called.
        reason: What went wrong.
    """

    def __init__(self, address: str, reason: str) -> None:
        """Store the address and the reason; the message has both."""
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


class AdminUnreachableError(AdminClientError):
    """There was no response, or it could not be decoded."""


class AdminCallRejectedError(AdminClientError):
    """The dispatcher responded with an error.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, address: str, status: int, reason: str) -> None:
        """Store the HTTP status as well."""
        super().__init__(address, reason)
        self.status = status


class Response(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes


class AdminClient:
    """Calls the admin API of one dispatcher, with a new connection for each call.

    Every method raises AdminUnreachableError or AdminCallRejectedError.
    """

    def __init__(self, address: str) -> None:
        """Call the API at `address`, as `host:port`."""
        self.address = address

    def check_health(self) -> None:
        """Check that the dispatcher accepts client requests; raise if it does not."""
        self._call("GET", "/admin/health")

    def leases(self) -> LeasesResponse:
        """Return the leases, as the dispatcher knows them."""
        body = self._call("GET", "/admin/duties")
        try:
            return msgspec.json.decode(body, type=LeasesResponse)
        except msgspec.MsgspecError as error:
            raise AdminUnreachableError(self.address, str(error)) from None

    def resign(self, lease_name: str) -> None:
        """Make the dispatcher resign a lease."""
        self._call("POST", "/admin/resign", lease_name)

    def request_restart(self) -> None:
        """Request a restart permit; the dispatcher shuts down if it gets one."""
        self._call("POST", "/admin/leave")

    def _call(self, method: str, path: str, body: str = "") -> bytes:
        response = self._exchange(method, path, body)
        if response.status != HTTPStatus.OK:
            raise AdminCallRejectedError(self.address, response.status, _error_reason(response))
        return response.body

    def _exchange(self, method: str, path: str, body: str) -> Response:
        connection = http.client.HTTPConnection(self.address, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, body or None, {"Content-Length": str(len(body))})
            response = connection.getresponse()
            return Response(response.status, response.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise AdminUnreachableError(self.address, str(error) or type(error).__name__) from None
        finally:
            connection.close()


def _error_reason(response: Response) -> str:
    try:
        return msgspec.json.decode(response.body, type=ErrorResponse).error
    except msgspec.MsgspecError:
        return str(response.status)
