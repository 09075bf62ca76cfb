"""Errors of the chat API, as OpenAI's clients read them."""

from __future__ import annotations

import math

import msgspec
import orjson

from violetstack.fronts.reply import Reply
from violetstack.protocol.http_server import Headers

JSON: Headers = [("Content-Type", "application/json")]
NO_RETRY: Headers = [("X-Should-Retry", "false")]
"""OpenAI's clients retry a 5xx unless they are told not to."""
RETRY_LATER_MS = 1_000.0
STORE_MISSING_RETRY_S = 60


class InvalidChatRequestError(Exception):
    """The request can't be served; `message` is for the client, `param` names the field at fault."""

    def __init__(
        self, message: str, param: str | None = None, status: int = 400, code: str | None = None
    ) -> None:
        super().__init__(message)
        self.message = message
        self.param = param
        self.status = status
        self.code = code


class ErrorResponse(msgspec.Struct, frozen=True):
    """One error answer; `kind` is OpenAI's `type`."""

    status: int
    message: str
    kind: str
    param: str | None = None
    code: str | None = None
    headers: Headers = []

    def body(self) -> bytes:
        """OpenAI's error object."""
        error = {"message": self.message, "type": self.kind, "param": self.param, "code": self.code}
        return orjson.dumps({"error": error})

    def send(self, reply: Reply) -> None:
        """Answers the request with it."""
        reply.answer(self.status, [*JSON, *self.headers], self.body())


def retry_headers(after_ms: float) -> Headers:
    """Advice to try again; only for requests that are safe to repeat."""
    wait_ms = max(after_ms, 1.0)
    return [("Retry-After", str(math.ceil(wait_ms / 1000.0))), ("Retry-After-Ms", f"{wait_ms:.0f}")]


def overloaded(retry_after_ms: float) -> ErrorResponse:
    """Rejected by the policy; nothing has run."""
    return ErrorResponse(
        503,
        "Too busy to serve this in time; trying again does no harm.",
        "server_error",
        code="overloaded",
        headers=retry_headers(retry_after_ms or RETRY_LATER_MS),
    )


def load_shed(retry_after_ms: float) -> ErrorResponse:
    """Rejected under a level of reduced service; nothing has run."""
    return ErrorResponse(
        429,
        "Only a part is served just now; this has not run.",
        "server_error",
        code="reduced_service",
        headers=retry_headers(retry_after_ms),
    )


def no_answer(message: str, code: str, *, retry_is_safe: bool) -> ErrorResponse:
    """An attempt failed before the client has received anything."""
    if retry_is_safe:
        return ErrorResponse(503, message, "server_error", code=code, headers=retry_headers(RETRY_LATER_MS))
    return ErrorResponse(502, message, "server_error", code=code, headers=NO_RETRY)


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
    headers=NO_RETRY,
)
MAY_HAVE_RUN = ErrorResponse(
    502,
    "This order failed and may have run; it is not sent again.",
    "server_error",
    code="order_may_have_run",
    headers=NO_RETRY,
)
