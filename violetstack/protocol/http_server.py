"""The server side of HTTP/1.1 (RFC 9112): parses received bytes to requests, encodes responses to bytes.

A body is collected in one buffer, whatever the pieces in which it arrives; all later uses are slices of it.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable
from http import HTTPStatus

import h11
import msgspec

from violetstack.protocol.chunked_reader import input_pending, join_chunks

MAX_BODY_BYTES = 256 * 1024
HEAD_END = re.compile(rb"\n\r?\n")
KNOWN_STATUSES = {status.value for status in HTTPStatus}
MAX_HEAD_BYTES = 16 * 1024
MAX_LENGTH_DIGITS = 18  # a longer Content-Length exceeds every limit, and is slow to parse
MAX_REASON_LENGTH = 120  # characters; h11's descriptions of errors quote the invalid bytes
MAX_BODY_EVENTS = 32
"""Parts of a body that one call parses; bounds the time for which no other connection is served."""
MAX_LINES_AT_ONCE = 64
"""Lines of a head that are parsed at once; a head with more lines is parsed by a call of its own."""
HEADER_FIELD_BYTES = 200
"""Memory of a parsed header field beside its text: h11's tuple and byte strings, and a dictionary entry."""
Headers = list[tuple[str, str]]


class InvalidRequestError(Exception):
    """The request is invalid or can't be served; the response gives the reason and ends the connection."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete request.

    Attributes:
        method: The method.
        target: Path and query.
        headers: Values by name; the names are in lower case.
        body: The body.
        waited_ms: Time that the complete request has waited in this process.
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
    """The state machine of one client connection."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._request_bytes = 0
        """Memory of the current request's head, and of its body once it is complete."""
        self.size = 0
        """Bytes received of the current request's body."""
        self.input_pending = False
        """Whether `next_request` has stopped at its limit for one call: more input may be complete."""
        self._head_deferred = False
        """Whether the last call of `next_request` left a long head to the next one."""
        self.closing = False
        """The next response head announces that the connection closes after the response."""
        self.awaits_100_continue = False
        self._is_head_request = False
        """The current request is a HEAD, whose response has no body (RFC 9110, 9.3.2)."""

    @classmethod
    def resumed(cls, closing: bool) -> HttpServerConnection:
        """Returns a connection in the middle of a streamed response whose head another process has sent."""
        connection = cls()
        connection.closing = closing
        connection.feed(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        connection.next_request()
        connection.stream(200, [])
        return connection

    @property
    def closes_after_response(self) -> bool:
        """Whether the client or this side has announced that the connection closes after this response."""
        return self.closing or self._h11.their_state is h11.MUST_CLOSE

    @property
    def can_migrate(self) -> bool:
        """Whether a streamed response has begun and no bytes have been received after its request."""
        only_request_received = self._h11.their_state in (h11.DONE, h11.MUST_CLOSE) and not self.unread
        return only_request_received and self._h11.our_state is h11.SEND_BODY

    def feed(self, data: bytes) -> None:
        """Adds received bytes; empty data means that the client has closed its sending direction."""
        self._h11.receive_data(data)

    @property
    def busy(self) -> bool:
        """Whether a request has begun to arrive and its response has not ended."""
        return self._h11.their_state is not h11.IDLE or self.unread > 0

    @property
    def request_incomplete(self) -> bool:
        """Whether a request has begun to arrive and is incomplete, or invalid so that its end is unknown."""
        return self._h11.their_state in (h11.SEND_BODY, h11.ERROR) or (
            self._h11.their_state is h11.IDLE and self.unread > 0
        )

    @property
    def unread(self) -> int:
        """Number of bytes received after the current request."""
        # The public `trailing_data` would copy them, up to half a megabyte on each call.
        return len(self._h11._receive_buffer)

    @property
    def has_body(self) -> bool:
        """Whether the current request has a body, of which some bytes may be still to come."""
        return self.size > 0 or self._h11.their_state is h11.SEND_BODY

    @property
    def buffered_bytes(self) -> int:
        """Memory of the current request, and of the bytes received after it."""
        received = sys.getsizeof(self._h11._receive_buffer._data)
        return self._request_bytes + sys.getsizeof(self._body) + received

    def next_request(self) -> HttpRequest | None:
        """Returns the next complete request; None until more bytes are fed, or while `input_pending`.

        Raises:
            InvalidRequestError: The received bytes are not a valid request, or its body is too large.
        """
        self._head_deferred = not self._head_deferred and self._has_long_head()
        self.input_pending = self._head_deferred
        if self._head_deferred:
            return None
        try:
            for _ in range(MAX_BODY_EVENTS):
                event = self._h11.next_event()
                if isinstance(event, h11.Request):
                    self._begin_request(event)
                elif isinstance(event, h11.Data):
                    self._add_to_body(event.data)
                    if input_pending(self._h11):
                        break
                elif isinstance(event, h11.EndOfMessage):
                    return self._build_request()
                else:  # NEED_DATA, PAUSED or ConnectionClosed
                    self.awaits_100_continue = self._h11.they_are_waiting_for_100_continue
                    return None
            self.input_pending = True
            return None
        except h11.RemoteProtocolError as error:
            raise InvalidRequestError(error.error_status_hint, str(error)[:MAX_REASON_LENGTH]) from None

    def _has_long_head(self) -> bool:
        """Whether a complete head with more than MAX_LINES_AT_ONCE lines comes next."""
        received = self._h11._receive_buffer._data
        if self._h11.their_state is not h11.IDLE or len(received) <= MAX_LINES_AT_ONCE:
            return False
        end = HEAD_END.search(received)
        return end is not None and received.count(b"\n", 0, end.start()) > MAX_LINES_AT_ONCE

    def _add_to_body(self, data: bytes | bytearray) -> None:
        self.size += len(data)
        if self.size > self._max_body_bytes:
            raise InvalidRequestError(413, self._too_large_reason)
        self._body += data

    @property
    def _too_large_reason(self) -> str:
        return f"the body is larger than {self._max_body_bytes} bytes"

    def _begin_request(self, event: h11.Request) -> None:
        self._head = event
        self._is_head_request = event.method == b"HEAD"
        self._body = bytearray()
        self.size = 0
        self._request_bytes = sum(
            HEADER_FIELD_BYTES + len(name) + len(value) for name, value in event.headers
        )
        join_chunks(self._h11, self._max_body_bytes)
        names = [name for name, _ in event.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Rejected against request smuggling: other parsers may use the other of the two lengths
            # (RFC 9112, 6.3).
            raise InvalidRequestError(400, "Content-Length and Transfer-Encoding together")
        for name, value in event.headers:
            if name == b"content-length" and (
                len(value) > MAX_LENGTH_DIGITS or int(value) > self._max_body_bytes
            ):
                raise InvalidRequestError(413, self._too_large_reason)

    def _build_request(self) -> HttpRequest:
        head = self._head
        body = self._body
        assert head is not None
        self._head = None
        self._request_bytes += sys.getsizeof(body)
        self._body = bytearray()
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        return HttpRequest(
            head.method.decode("latin-1"), head.target.decode("latin-1"), headers, memoryview(body)
        )

    def continue_100(self) -> bytes:
        """Returns the interim response that a client with `Expect: 100-continue` waits for."""
        self.awaits_100_continue = False
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def _send(self, event: h11.Event) -> list[bytes]:
        return self._h11.send_with_data_passthrough(event) or []

    def _response_head(self, status: int, headers: Iterable[tuple[str, str]]) -> list[bytes]:
        fields = [*headers, ("Connection", "close")] if self.closing else list(headers)
        reason = HTTPStatus(status).phrase if status in KNOWN_STATUSES else ""
        return self._send(h11.Response(status_code=status, headers=fields, reason=reason))

    def answer(self, status: int, headers: Headers, body: bytes) -> list[bytes]:
        """Returns a complete response."""
        fields = [*headers, ("Content-Length", str(len(body)))]
        buffers = self._response_head(status, fields)
        if body and not self._is_head_request:
            buffers += self._send(h11.Data(data=body))
        return buffers + self._send(h11.EndOfMessage())

    def stream(self, status: int, headers: Headers) -> list[bytes]:
        """Returns the head of a chunked response."""
        return self._response_head(status, [*headers, ("Transfer-Encoding", "chunked")])

    def data(self, data: memoryview | bytes) -> list[bytes]:
        """Returns one chunk."""
        return self._send(h11.Data(data=data))  # type: ignore[arg-type]

    def end(self) -> list[bytes]:
        """Returns the last chunk."""
        return self._send(h11.EndOfMessage())

    @property
    def can_answer(self) -> bool:
        """Whether no response head has been sent for the current request."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def reuse(self) -> bool:
        """Prepares for another request after a response; returns False if the connection has to be closed."""
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self.drop_request()
            return True
        return False

    def drop_request(self) -> None:
        """Drops what is kept of the current request, which has been answered."""
        self._head = None
        self._body = bytearray()
        self._request_bytes = 0
        self.size = 0
