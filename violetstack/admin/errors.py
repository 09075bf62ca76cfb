"""Errors of the admin API."""

from __future__ import annotations

from violetstack.protocol.http_server import Headers


class AdminError(Exception):
    """Base class of the errors of this package."""


class UnknownEndpointError(AdminError):
    """No listed or cordoned endpoint has this id.

    Attributes:
        endpoint_id: The requested id.
    """

    def __init__(self, endpoint_id: str) -> None:
        """Creates the error for the requested id."""
        super().__init__(f"no model host has the id {endpoint_id!r}")
        self.endpoint_id = endpoint_id


class TooManyCordonsError(AdminError):
    """The number of cordons has reached its limit.

    Attributes:
        limit: The largest number of cordoned endpoints.
    """

    def __init__(self, limit: int) -> None:
        """Creates the error for the limit."""
        super().__init__(f"{limit} hosts are out")
        self.limit = limit


class NotRecordedError(AdminError):
    """The record for a successor process could not be written; the cordons are unchanged."""


class RequestRejectedError(AdminError):
    """A request that the API answers with an error response.

    Attributes:
        status: HTTP status.
        reason: Text of the response and of the log line.
        headers: Additional headers of the response.
    """

    def __init__(self, status: int, reason: str, headers: Headers | None = None) -> None:
        """Creates the error for the status, text and additional headers of the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.headers = headers or []
