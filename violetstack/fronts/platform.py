"""The platform's protocol: a thin front. Events pass unchanged, answers are a status and little more."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.core.dispatcher import Dispatcher, DuplicateRequestError
from violetstack.core.records import NotRouted, Origin
from violetstack.fronts.reply import EVENTS, TEXT, Payload, Reply
from violetstack.protocol.headers import RequestReader
from violetstack.protocol.server_side import Inbound, Rejected

READY = "/-/ready"
COMPLETIONS = "/v1/chat/completions"


class PlatformSink:
    def __init__(self, reply: Reply, stream_started: bool = False) -> None:
        self.reply = reply
        self._stream_started = stream_started

    def stream_started(self) -> None:
        self._stream_started = True
        self.reply.stream(200, EVENTS)

    def event(self, data: memoryview) -> None:
        self.reply.data(data)

    def finished(self) -> None:
        if not self._stream_started:
            self.stream_started()
        self.reply.end()

    def stream_broken(self) -> None:
        self.reply.cut()

    def rejected(self, retry_after_ms: float, status: int = 503) -> None:
        headers = [*TEXT, ("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0 else TEXT
        self.reply.answer(status, headers, b"refused\n")

    def failed(self, may_have_run: bool) -> None:
        self.reply.answer(500, TEXT, b"failed\n")

    def client_gone(self) -> bool:
        return self.reply.gone


class PlatformFront:
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

    def handle(self, inbound: Inbound, reply: Reply) -> None:
        if inbound.path == READY and inbound.method == "GET":
            reply.answer(200, TEXT, b"ready\n")
            return
        try:
            # Guards against calls of hosts (/state/ID) or discovery that a client has sent on.
            if inbound.path != COMPLETIONS:
                raise Rejected(404, f"only {COMPLETIONS} is served here")
            if inbound.method != "POST":
                raise Rejected(405, "POST only")
            now = self._clock()
            asked = self._reader.read(inbound)
            kind = inbound.headers.get("content-type", "application/json")
            payload = Payload(inbound.method, inbound.target, kind, inbound.body, reply.wait_writable)
            asked = self._core.route(asked, Origin("platform", "", len(inbound.body)))
            shed = self._core.admit(now, asked)
            if shed is not None:
                self._log("shed", reason=shed.reason, cls=asked.class_index, tenant=asked.tenant_index)
                advice = shed.retry_after_ms if self._core.settings.send_retry_after else 0.0
                PlatformSink(reply).rejected(advice, 429)
                return
            reply.attach(self._core.accept(now, asked, PlatformSink(reply), payload))
        except Rejected as error:
            self.rejected(error.status, error.reason, reply)
        except NotRouted as error:
            self.rejected(error.status, error.reason, reply)
        except DuplicateRequestError:
            self.rejected(409, "a request with this Req-Id is still open", reply)

    def rejected(self, status: int, reason: str, reply: Reply) -> None:
        self._log("rejected", status=status, reason=reason)
        headers = [*TEXT, ("Retry-After", "1")] if status == 503 else TEXT
        reply.answer(status, headers, reason.encode() + b"\n")
