"""Error responses of the chat API, in the form that OpenAI's clients expect."""

from __future__ import annotations

import math

import msgspec
import orjson

from violetstack.fronts.reply import Reply
from violetstack.protocol.http_server import Headers

JSON_HEADERS: Headers = [("Content-Type", "application/json")]
NO_RETRY_HEADERS: Headers = [("X-Should-Retry", "false")]
"""OpenAI's clients retry a response with status 5xx unless this header forbids it."""
RETRY_LATER_MS = 1_000.0
STORE_MISSING_RETRY_S = 60


class InvalidChatRequestError(Exception):
    """The request can't be served; `message` is for the client, `param` names the invalid field."""

    def __init__(
        self, message: str, param: str | None = None, status: int = 400, code: str | None = None
    ) -> None:
        super().__init__(message)
        self.message = message
        self.param = param
        self.status = status
        self.code = code


class ErrorResponse(msgspec.Struct, frozen=True):
    """An error response; `kind` is sent as `type`."""

    status: int
    message: str
    kind: str
    param: str | None = None
    code: str | None = None
    headers: Headers = []

    def body(self) -> bytes:
        """Returns the body with OpenAI's error object."""
        error = {"message": self.message, "type": self.kind, "param": self.param, "code": self.code}
        return orjson.dumps({"error": error})

    def send(self, reply: Reply) -> None:
        """Sends this response to a request."""
        reply.answer(self.status, [*JSON_HEADERS, *self.headers], self.body())


def retry_headers(after_ms: float) -> Headers:
    """Returns headers that ask the client to retry; only for requests that are safe to repeat."""
    wait_ms = max(after_ms, 1.0)
    return [("Retry-After", str(math.ceil(wait_ms / 1000.0))), ("Retry-After-Ms", f"{wait_ms:.0f}")]


def overloaded(retry_after_ms: float) -> ErrorResponse:
    """Returns the response to a request that the policy rejected; it has not run."""
    return ErrorResponse(
        503,
        "Too busy to serve this in time; trying again does no harm.",
        "server_error",
        code="overloaded",
        headers=retry_headers(retry_after_ms or RETRY_LATER_MS),
    )


def load_shed(retry_after_ms: float) -> ErrorResponse:
    """Returns the response to a request that was shed at a level of reduced service; it has not run."""
    return ErrorResponse(
        429,
        "Only a part is served just now; this has not run.",
        "server_error",
        code="reduced_service",
        headers=retry_headers(retry_after_ms),
    )


def request_failed(message: str, code: str, *, retry_is_safe: bool) -> ErrorResponse:
    """Returns the response to a request that failed before the client received any part of the answer."""
    if retry_is_safe:
        return ErrorResponse(503, message, "server_error", code=code, headers=retry_headers(RETRY_LATER_MS))
    return ErrorResponse(502, message, "server_error", code=code, headers=NO_RETRY_HEADERS)


IDEMPOTENCY_STORE_MISSING = ErrorResponse(
    503,
    "Orders are not taken here: no ledger is configured.",
    "server_error",
    code="orders_unavailable",
    headers=[("Retry-After", str(STORE_MISSING_RETRY_S))],
)
IDEMPOTENCY_STORE_FAILED = ErrorResponse(
    503,
    "Orders can't be recorded just now; this one has not run.",
    "server_error",
    code="ledger_unavailable",
    headers=retry_headers(RETRY_LATER_MS),
)
REQUEST_RUNNING = ErrorResponse(
    409,
    "This order is still running.",
    "conflict_error",
    code="order_running",
    headers=retry_headers(RETRY_LATER_MS),
)
IDEMPOTENCY_KEY_REUSED = ErrorResponse(
    422,
    "This Idempotency-Key was used with another body.",
    "invalid_request_error",
    code="idempotency_key_reused",
    headers=NO_RETRY_HEADERS,
)
MAY_HAVE_RUN = ErrorResponse(
    502,
    "This order failed and may have run; it is not sent again.",
    "server_error",
    code="order_may_have_run",
    headers=NO_RETRY_HEADERS,
)
