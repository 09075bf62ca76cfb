"""The platform front, for the platform's protocol: events of model hosts are forwarded unchanged."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.errors import (
    DuplicateRequestError,
    ExecutedRequestError,
    NotRoutedError,
    ReleasingRequestError,
)
from violetstack.core.ports import Origin
from violetstack.fronts.reply import EVENT_STREAM_HEADERS, TEXT_HEADERS, Payload, Reply
from violetstack.policy_api import Idempotency, Request
from violetstack.protocol.answer_events import AnswerEvent
from violetstack.protocol.headers import RequestReader, forwarded_headers
from violetstack.protocol.host_keys import HOST_KEY_HEADER, derive_host_key
from violetstack.protocol.http_server import HttpRequest, InvalidRequestError

READY_PATH = "/-/ready"
COMPLETIONS_PATH = "/v1/chat/completions"
DEFAULT_CONTENT_TYPE = "application/json"


class PlatformSink:
    """Sends the response to one request; `stream_started` says that its head has been sent already."""

    def __init__(self, reply: Reply, stream_started: bool = False) -> None:
        self.reply = reply
        self._stream_started = stream_started

    def stream_started(self) -> None:
        """Sends the head of the streamed response."""
        self._stream_started = True
        self.reply.stream(200, EVENT_STREAM_HEADERS)

    def why_unforwardable(self, event: AnswerEvent) -> str:  # noqa: ARG002 - the same for all
        """Returns an empty text: events are forwarded unchanged, whatever they hold."""
        return ""

    def event(self, event: AnswerEvent) -> None:
        """Forwards one event unchanged."""
        self.reply.data(event.raw)

    def finished(self) -> None:
        """Ends the response."""
        if not self._stream_started:
            self.stream_started()
        self.reply.end()

    def stream_broken(self) -> None:
        """Closes the connection without the last chunk, so that the client sees an incomplete response."""
        self.reply.cut()

    def rejected(self, retry_after_ms: float, may_have_run: bool) -> None:  # noqa: ARG002 - no field for it
        """Rejects the request; clients of the platform know the window in which a retry is safe."""
        self.refuse(503, retry_after_ms)

    def refuse(self, status: int, retry_after_ms: float) -> None:
        """Refuses the request; a retry is allowed. `retry_after_ms` of 0 sends no Retry-After."""
        headers = (
            [*TEXT_HEADERS, ("Retry-After", f"{retry_after_ms / 1000.0:.3f}")]
            if retry_after_ms > 0
            else TEXT_HEADERS
        )
        self.reply.answer(status, headers, b"refused\n")

    def failed(self, may_have_run: bool) -> None:  # noqa: ARG002 - the protocol has no field for it
        """Reports that no answer came."""
        self.reply.answer(500, TEXT_HEADERS, b"failed\n")

    def is_client_disconnected(self) -> bool:
        """Returns whether the client has closed its connection or already has its response."""
        return self.reply.is_closed


class PlatformFront:
    """Serves requests in the platform's protocol. `clock` returns milliseconds, `log` is rate-limited."""

    def __init__(
        self,
        core: Dispatcher,
        reader: RequestReader,
        clock: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        self._core = core
        self._reader = reader
        self._clock = clock
        self._log = log

    def handle(self, inbound: HttpRequest, reply: Reply) -> None:
        """Responds to a request, at once or later."""
        if inbound.path == READY_PATH and inbound.method == "GET":
            reply.answer(200, TEXT_HEADERS, b"ready\n")
            return
        try:
            self._accept(inbound, reply)
        except (InvalidRequestError, NotRoutedError) as error:
            self.reject(error.status, error.reason, reply)
        except DuplicateRequestError:
            self.reject(409, "a request with this Req-Id is still open", reply)
        except ReleasingRequestError:
            self.reject(503, "what is held for an earlier request with this Req-Id is being released", reply)
        except ExecutedRequestError:
            self.reject(409, "a request with this Req-Id may have run and may not be repeated", reply)

    def _accept(self, inbound: HttpRequest, reply: Reply) -> None:
        # Calls meant for model hosts (/state/ID) or for discovery are not forwarded.
        if inbound.path != COMPLETIONS_PATH:
            raise InvalidRequestError(404, f"only {COMPLETIONS_PATH} is served here")
        if inbound.method != "POST":
            raise InvalidRequestError(405, "POST only")
        now = self._clock()
        request = self._reader.read(inbound)
        request = self._core.route(request, Origin("platform", "", len(inbound.body)))
        shed = self._core.admit(now, request, inbound.waited_ms)
        if shed is not None:
            self._log(
                "request_shed", reason=shed.reason, cls=request.class_index, tenant=request.tenant_index
            )
            retry_after_ms = shed.retry_after_ms if self._core.settings.send_retry_after else 0.0
            PlatformSink(reply).refuse(429, retry_after_ms)
            return
        content_type = inbound.headers.get("content-type", DEFAULT_CONTENT_TYPE)
        payload = Payload(
            inbound.method,
            inbound.target,
            content_type,
            inbound.body,
            reply.wait_writable,
            forwarded_headers(inbound.headers),
        )
        open_request = self._core.accept(now, request, PlatformSink(reply), payload)
        if not self._may_repeat(request):
            open_request.host_key = _host_key(inbound)
        reply.attach(open_request)

    def _may_repeat(self, request: Request) -> bool:
        spec = self._core.settings.classes[request.class_index]
        return spec.idempotency is Idempotency.IDEMPOTENT

    def reject(self, status: int, reason: str, reply: Reply) -> None:
        """Responds to a request, or to invalid bytes, with an error that gives the reason."""
        self._log("client_rejected", status=status, reason=reason)
        headers = [*TEXT_HEADERS, ("Retry-After", "1")] if status == 503 else TEXT_HEADERS
        reply.answer(status, headers, reason.encode() + b"\n")


def _host_key(inbound: HttpRequest) -> str:
    """Returns the key by which hosts of another API know repeats, from the client's own key if it wrote one.

    Hosts of the platform get the client's header fields unchanged.
    """
    headers = inbound.headers
    own_key = headers.get(HOST_KEY_HEADER.lower(), "")
    identity = (HOST_KEY_HEADER, own_key) if own_key else ("Req-Id", headers["req-id"])
    return derive_host_key("platform", headers.get("req-owner", ""), headers["req-kind"], *identity)
