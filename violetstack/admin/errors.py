"""Errors of the admin API."""

from __future__ import annotations

from violetstack.protocol.http_server import Headers


class AdminError(Exception):
    """Base class of the errors of this package."""


class UnknownEndpointError(AdminError):
    """No listed or cordoned endpoint has this id.

    Attributes:
        endpoint_id: The id that was asked for.
    """

    def __init__(self, endpoint_id: str) -> None:
        """Takes the id that was asked for."""
        super().__init__(f"no model host has the id {endpoint_id!r}")
        self.endpoint_id = endpoint_id


class TooManyCordonsError(AdminError):
    """As many endpoints are cordoned as the dispatcher keeps track of.

    Attributes:
        limit: How many that is.
    """

    def __init__(self, limit: int) -> None:
        """Takes the limit."""
        super().__init__(f"{limit} hosts are out")
        self.limit = limit


class NotRecordedError(AdminError):
    """The record for a successor process could not be written; nothing was changed."""


class RequestRejectedError(AdminError):
    """A request that the API answers with an error response.

    Attributes:
        status: HTTP status.
        reason: Text of the response and of the log line.
        headers: Further headers of the response.
    """

    def __init__(self, status: int, reason: str, headers: Headers | None = None) -> None:
        """Takes the status, the text and further headers of the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.headers = headers or []
