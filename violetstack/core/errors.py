"""Errors of the core."""

from __future__ import annotations


class DispatchError(Exception):
    """Base class of the errors that the core raises."""


class DuplicateRequestError(DispatchError):
    """A request with the same id is still open."""

    def __init__(self, request_id: str) -> None:
        """Creates the error for the id of the open request."""
        super().__init__(f"request {request_id!r} is still open")
        self.request_id = request_id


class ReleasingRequestError(DispatchError):
    """An earlier request with the same id has its response, and what hosts hold for it is being released."""

    def __init__(self, request_id: str) -> None:
        """Creates the error for the id of both requests."""
        super().__init__(f"what hosts hold for the earlier request {request_id!r} is being released")
        self.request_id = request_id


class ExecutedRequestError(DispatchError):
    """A host may have executed a request with the same id, which must not be executed again."""

    def __init__(self, request_id: str) -> None:
        """Creates the error for the id of the earlier request."""
        super().__init__(f"request {request_id!r} may have been executed")
        self.request_id = request_id


class NotRoutedError(DispatchError):
    """No route matches the request, or the policy of its route rejects it.

    Attributes:
        reason: Text for the client.
        status: HTTP status of the response.
    """

    def __init__(self, reason: str, status: int) -> None:
        """Creates the error with the text and the HTTP status for the client."""
        super().__init__(reason)
        self.reason = reason
        self.status = status
