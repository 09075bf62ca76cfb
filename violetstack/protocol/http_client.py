"""The client side of HTTP/1.1 (RFC 9112), for model hosts: one request at a time, its response as events."""

from __future__ import annotations

import h11
import msgspec
from h11._readers import ChunkedReader

from violetstack.protocol.chunked_reader import join_chunks
from violetstack.protocol.http_server import MAX_REASON_LENGTH, Headers


class InvalidResponseError(Exception):
    """The received bytes are not a valid HTTP response, or the response is incomplete."""


class ResponseHead(msgspec.Struct, frozen=True):
    """A response's status and header fields; their names are in lower case."""

    status: int
    headers: dict[str, str]


class ResponseData(msgspec.Struct, frozen=True):
    """A part of a response's body."""

    data: memoryview


class ResponseEnd(msgspec.Struct, frozen=True):
    """The response is complete."""


MAX_BODY_BYTES = 256 * 1024
"""The protocol's limit for a body. A chunk that states more cannot belong to a valid response."""

STATUS_LINE_START = b"HTTP/1."
HTTP_VERSIONS = (b"1.0", b"1.1")
MAX_HEAD_BYTES = 16 * 1024
"""Limit for a response's head, and for what h11 keeps of any part that is not complete."""


class HttpClientConnection:
    """The state machine of one connection to a host."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Creates a connection without a request; a response with a larger body or chunk is invalid."""
        self._max_body_bytes = max_body_bytes
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._partial_chunk_bytes = 0  # of the chunk that is incomplete, or of a body with a Content-Length
        self._invalid_reason = ""  # set once invalid bytes were received; nothing is parsed from then on

    @property
    def partial(self) -> bool:
        """Whether a response head or a chunk has been received in part."""
        return self._partial_chunk_bytes > 0 or len(self._h11._receive_buffer) > 0

    @classmethod
    def resumed(cls) -> HttpClientConnection:
        """Returns a connection between two chunks of a response whose beginning another process has read."""
        connection = cls()
        connection.request("POST", "/", [("Host", "x")])
        connection.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return connection

    @property
    def between_chunks(self) -> bool:
        """Whether another process could read on from here; a chunk includes the line end that closes it."""
        reader = self._h11._reader
        if not isinstance(reader, ChunkedReader) or self.partial or self._invalid_reason:
            return False
        return not (reader._bytes_in_chunk or reader._bytes_to_discard or reader._reading_trailer)

    def describe_position(self) -> str:
        """Returns where in the response's framing the received bytes end, for the log."""
        if self._invalid_reason:
            return "behind invalid bytes"
        reader = self._h11._reader
        unparsed = len(self._h11._receive_buffer)
        if not isinstance(reader, ChunkedReader):
            return f"not in a chunked body, {unparsed} bytes not parsed"
        if reader._reading_trailer:
            return f"in the trailer, {unparsed} bytes received"
        if reader._bytes_in_chunk:
            size = self._partial_chunk_bytes + reader._bytes_in_chunk
            return f"in a chunk of {size} bytes, {self._partial_chunk_bytes} received"
        return f"between two chunks, {unparsed} bytes received of the next"

    def check(self) -> None:
        """Reports invalid bytes that came after the last complete event.

        Callers check without waiting for more data: after invalid bytes a host may keep the connection open
        and send nothing.

        Raises:
            InvalidResponseError: Invalid bytes were received.
        """
        if self._invalid_reason:
            raise InvalidResponseError(self._invalid_reason)

    def request(
        self, method: str, target: str, headers: Headers, body: memoryview | bytes = b""
    ) -> list[bytes | memoryview]:
        """Returns a complete request in at most two buffers: its head, and its body, which is not copied."""
        fields = list(headers)
        if method not in ("GET", "DELETE") or len(body):
            fields.append(("Content-Length", str(len(body))))
        send = self._h11.send_with_data_passthrough
        # h11 returns each line of the head separately, and each buffer would cost a system call.
        head = b"".join(send(h11.Request(method=method, target=target, headers=fields)) or [])
        buffers: list[bytes | memoryview] = [head]
        if len(body):
            buffers += send(h11.Data(data=body)) or []  # type: ignore[arg-type]
        send(h11.EndOfMessage())  # with a Content-Length this returns no bytes
        return buffers

    def feed(self, data: bytes) -> list[ResponseHead | ResponseData | ResponseEnd]:
        """Returns the events that these bytes complete; empty data means that the host closed the connection.

        Raises:
            InvalidResponseError: The bytes are invalid before they complete an event. If events come before
                the invalid bytes, these are returned, and the next `check` or `feed` raises the error.
        """
        self.check()
        events: list[ResponseHead | ResponseData | ResponseEnd] = []
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Response):
                    fields = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
                    _check_head(event)
                    self._check_framing(fields)
                    events.append(ResponseHead(event.status_code, fields))
                    join_chunks(self._h11, self._max_body_bytes)
                elif isinstance(event, h11.Data):
                    events.append(self._body(event))
                elif isinstance(event, h11.EndOfMessage):
                    events.append(ResponseEnd())
                    return events
                elif isinstance(event, h11.ConnectionClosed):
                    raise InvalidResponseError("connection closed before the response")
                elif not isinstance(event, h11.InformationalResponse):
                    self._check_status_line()
                    return events
        except (h11.RemoteProtocolError, InvalidResponseError) as error:
            self._invalid_reason = str(error)[:MAX_REASON_LENGTH]
            if not events:
                self.check()
            return events

    def _check_framing(self, fields: dict[str, str]) -> None:
        """Checks how a response says that its body is framed.

        Raises:
            InvalidResponseError: It states two framings (RFC 9112, 6.3), or a length over the limit.
        """
        length = fields.get("content-length")
        if length is None:
            return
        if "transfer-encoding" in fields:
            raise InvalidResponseError("Content-Length and Transfer-Encoding together")
        if int(length) > self._max_body_bytes:
            raise InvalidResponseError(f"Content-Length {length} exceeds {self._max_body_bytes} bytes")

    def _check_status_line(self) -> None:
        """Checks the beginning of a response whose head is not complete; its sender may never complete it.

        Raises:
            InvalidResponseError: It is not the beginning of a status line.
        """
        if self._h11.their_state is not h11.SEND_RESPONSE:
            return
        received = bytes(self._h11._receive_buffer._data[: len(STATUS_LINE_START)])
        if not STATUS_LINE_START.startswith(received):
            raise InvalidResponseError(f"no HTTP response: {received!r}")

    def _body(self, event: h11.Data) -> ResponseData:
        self._partial_chunk_bytes = (0 if event.chunk_start else self._partial_chunk_bytes) + len(event.data)
        if self._partial_chunk_bytes > self._max_body_bytes:
            raise InvalidResponseError(f"chunk of the response exceeds {self._max_body_bytes} bytes")
        if event.chunk_end:
            self._partial_chunk_bytes = 0
        return ResponseData(memoryview(event.data))

    def reuse(self) -> bool:
        """Prepares for another request; returns False if the connection has to be closed.

        A connection with unread bytes is not reused: they would be read as the next request's response.
        """
        if self._h11.trailing_data[0] or self._invalid_reason:
            return False
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._partial_chunk_bytes = 0
            return True
        return False


def _check_head(response: h11.Response) -> None:
    """Checks the version of a complete head and its size, which h11 limits only while it is not complete.

    Raises:
        InvalidResponseError: The version is not HTTP/1, or the head is over the limit.
    """
    if response.http_version not in HTTP_VERSIONS:
        raise InvalidResponseError(f"HTTP version {response.http_version.decode('latin-1')}")
    head_bytes = sum(len(name) + len(value) for name, value in response.headers)
    if head_bytes > MAX_HEAD_BYTES:
        raise InvalidResponseError(f"head of {head_bytes} bytes exceeds {MAX_HEAD_BYTES} bytes")
