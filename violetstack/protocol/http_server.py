"""HTTP/1.1 as a server (RFC 9112): bytes in, complete requests out; responses as bytes to be written.

h11 copies a body once, out of its own buffer; from there on everything is a slice of that copy.
"""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import h11
import msgspec

MAX_BODY = 256 * 1024
REASONS = {status.value for status in HTTPStatus}
MAX_HEAD = 16 * 1024
MAX_LENGTH_DIGITS = 18  # a longer Content-Length is larger than any limit, and slow to parse
MAX_REASON_LENGTH = 120  # characters of h11's description of invalid bytes, which quotes them
Headers = list[tuple[str, str]]


class InvalidRequestError(Exception):
    """The client's bytes are no acceptable request; the response gives the reason and ends the connection."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete request; header names are in lower case.

    Attributes:
        method: The method.
        target: Path and query.
        headers: Values by name.
        body: The body.
        waited_ms: Time since its last byte came, as far as it was spent waiting in this process.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: memoryview
    waited_ms: float = 0.0

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class HttpServerConnection:
    """One connection's state machine."""

    def __init__(self, most_body: int = MAX_BODY) -> None:
        self._most_body = most_body
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self._head: h11.Request | None = None
        self._parts: list[bytes] = []
        self.size = 0
        """Bytes of the body that is arriving."""
        self.closing = False
        """The next response head announces the end of the connection."""
        self.wants_continue = False
        self._without_body = False
        """The request is a HEAD: its response is a head alone (RFC 9110, 9.3.2)."""

    @classmethod
    def resumed(cls, closing: bool) -> HttpServerConnection:
        """A connection in the middle of a streamed response, whose head another process has sent."""
        side = cls()
        side.closing = closing
        side.feed(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        side.next_request()
        side.stream(200, [])
        return side

    @property
    def ends(self) -> bool:
        """Whether either side has announced that the connection ends with this response."""
        return self.closing or self._h11.their_state is h11.MUST_CLOSE

    @property
    def passable(self) -> bool:
        """Whether a streamed response is under way and nothing has come after its request."""
        heard = self._h11.their_state in (h11.DONE, h11.MUST_CLOSE) and not self.unread
        return heard and self._h11.our_state is h11.SEND_BODY

    def feed(self, data: bytes) -> None:
        """Takes received bytes; no bytes mean that the client has ended its sending."""
        self._h11.receive_data(data)

    @property
    def busy(self) -> bool:
        """Whether a request has begun to arrive, or its response has not ended."""
        return self._h11.their_state is not h11.IDLE or self.unread > 0

    @property
    def arriving(self) -> bool:
        """Whether a request has begun to arrive and its end has not come, or can't be known."""
        return self._h11.their_state in (h11.SEND_BODY, h11.ERROR) or (
            self._h11.their_state is h11.IDLE and self.unread > 0
        )

    @property
    def unread(self) -> int:
        """Bytes received behind the current request."""
        # `trailing_data` copies them, up to half a megabyte at each look.
        return len(self._h11._receive_buffer)

    def next_request(self) -> HttpRequest | None:
        """The next complete request, or None until more bytes have come; raises InvalidRequestError."""
        try:
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Request):
                    self._start(event)
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > self._most_body:
                        raise InvalidRequestError(413, self._too_large)
                    self._parts.append(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                else:  # NEED_DATA, PAUSED or ConnectionClosed
                    self.wants_continue = self._h11.they_are_waiting_for_100_continue
                    return None
        except h11.RemoteProtocolError as error:
            raise InvalidRequestError(error.error_status_hint, str(error)[:MAX_REASON_LENGTH]) from None

    @property
    def _too_large(self) -> str:
        return f"the body is larger than {self._most_body} bytes"

    def _start(self, event: h11.Request) -> None:
        self._head = event
        self._without_body = event.method == b"HEAD"
        self._parts = []
        self.size = 0
        names = [name for name, _ in event.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Request smuggling: which of the two lengths the next reader takes is undefined (RFC 9112, 6.3).
            raise InvalidRequestError(400, "Content-Length and Transfer-Encoding together")
        for name, value in event.headers:
            if name == b"content-length" and (len(value) > MAX_LENGTH_DIGITS or int(value) > self._most_body):
                raise InvalidRequestError(413, self._too_large)

    def _whole(self) -> HttpRequest:
        head = self._head
        parts = self._parts
        assert head is not None
        self._head = None
        self._parts = []
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        return HttpRequest(
            head.method.decode("latin-1"), head.target.decode("latin-1"), headers, memoryview(body)
        )

    def continue_100(self) -> bytes:
        """The interim response that a client with `Expect: 100-continue` waits for."""
        self.wants_continue = False
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def _send(self, event: h11.Event) -> list[bytes]:
        return self._h11.send_with_data_passthrough(event) or []

    def _head_of(self, status: int, headers: Iterable[tuple[str, str]]) -> list[bytes]:
        rows = [*headers, ("Connection", "close")] if self.closing else list(headers)
        reason = HTTPStatus(status).phrase if status in REASONS else ""
        return self._send(h11.Response(status_code=status, headers=rows, reason=reason))

    def answer(self, status: int, headers: Headers, body: bytes) -> list[bytes]:
        """A complete response."""
        rows = [*headers, ("Content-Length", str(len(body)))]
        parts = self._head_of(status, rows)
        if body and not self._without_body:
            parts += self._send(h11.Data(data=body))
        return parts + self._send(h11.EndOfMessage())

    def stream(self, status: int, headers: Headers) -> list[bytes]:
        """The head of a chunked response."""
        return self._head_of(status, [*headers, ("Transfer-Encoding", "chunked")])

    def data(self, data: memoryview | bytes) -> list[bytes]:
        """One chunk."""
        return self._send(h11.Data(data=data))  # type: ignore[arg-type]

    def end(self) -> list[bytes]:
        """The last chunk."""
        return self._send(h11.EndOfMessage())

    @property
    def can_answer(self) -> bool:
        """Whether no response head has been sent for the current request."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def reuse(self) -> bool:
        """After a response's end: makes ready for another request; False if the connection has to end."""
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self.size = 0
            return True
        return False
