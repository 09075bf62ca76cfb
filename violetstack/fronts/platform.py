"""The front for the platform's protocol: events are forwarded unchanged."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.errors import DuplicateRequestError, NotRoutedError
from violetstack.core.ports import Origin
from violetstack.fronts.reply import EVENTS, TEXT, Payload, Reply
from violetstack.protocol.headers import RequestReader, forwarded_headers
from violetstack.protocol.http_server import HttpRequest, InvalidRequestError

READY_PATH = "/-/ready"
COMPLETIONS_PATH = "/v1/chat/completions"
DEFAULT_CONTENT_TYPE = "application/json"


class PlatformSink:
    """Answers one request in the platform's form. `stream_started`: its head has been sent already."""

    def __init__(self, reply: Reply, stream_started: bool = False) -> None:
        self.reply = reply
        self._stream_started = stream_started

    def stream_started(self) -> None:
        """The first event follows."""
        self._stream_started = True
        self.reply.stream(200, EVENTS)

    def event(self, data: memoryview) -> None:
        """Forwards one event."""
        self.reply.data(data)

    def finished(self) -> None:
        """The stream is complete."""
        if not self._stream_started:
            self.stream_started()
        self.reply.end()

    def stream_broken(self) -> None:
        """The stream broke after its first event."""
        self.reply.cut()

    def rejected(self, retry_after_ms: float, status: int = 503) -> None:
        """Nothing has run; `retry_after_ms` 0 means no Retry-After."""
        headers = [*TEXT, ("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0 else TEXT
        self.reply.answer(status, headers, b"refused\n")

    def failed(self, may_have_run: bool) -> None:  # noqa: ARG002 - the platform's form does not say so
        """No answer; the request may have run."""
        self.reply.answer(500, TEXT, b"failed\n")

    def is_client_disconnected(self) -> bool:
        """Whether the client has closed its connection, or been answered."""
        return self.reply.gone


class PlatformFront:
    """Takes requests in the platform's form. `clock` gives milliseconds, `log` is rate-limited."""

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
        """Answers a request, at once or later."""
        if inbound.path == READY_PATH and inbound.method == "GET":
            reply.answer(200, TEXT, b"ready\n")
            return
        try:
            self._take(inbound, reply)
        except (InvalidRequestError, NotRoutedError) as error:
            self.rejected(error.status, error.reason, reply)
        except DuplicateRequestError:
            self.rejected(409, "a request with this Req-Id is still open", reply)

    def _take(self, inbound: HttpRequest, reply: Reply) -> None:
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
            advice = shed.retry_after_ms if self._core.settings.send_retry_after else 0.0
            PlatformSink(reply).rejected(advice, 429)
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
        reply.attach(self._core.accept(now, request, PlatformSink(reply), payload))

    def rejected(self, status: int, reason: str, reply: Reply) -> None:
        """Answers bytes that are no acceptable request."""
        self._log("client_rejected", status=status, reason=reason)
        headers = [*TEXT, ("Retry-After", "1")] if status == 503 else TEXT
        reply.answer(status, headers, reason.encode() + b"\n")
