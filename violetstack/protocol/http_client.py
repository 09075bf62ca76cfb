"""HTTP/1.1 as a client of model hosts (RFC 9112): one request at a time, its response as events."""

from __future__ import annotations

import h11
import msgspec
from h11._readers import ChunkedReader

from violetstack.protocol.http_server import MAX_REASON_LENGTH, Headers


class InvalidResponseError(Exception):
    """The response is not HTTP, or is incomplete."""


class ResponseHead(msgspec.Struct, frozen=True):
    """A response's status and headers, names in lower case."""

    status: int
    headers: dict[str, str]


class ResponseData(msgspec.Struct, frozen=True):
    """A part of a response's body."""

    data: memoryview


class ResponseEnd(msgspec.Struct, frozen=True):
    """The response is complete."""


MAX_CHUNK = 256 * 1024
"""Events are far smaller; a larger chunk size is noise that may never end."""


class HttpClientConnection:
    """One connection's state machine."""

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._in_chunk = 0  # bytes received of an incomplete chunk
        self._invalid_reason = ""  # why nothing more can be read

    @property
    def partial(self) -> bool:
        """Whether a part of a head or of a chunk has come, and not the rest."""
        return self._in_chunk > 0 or len(self._h11._receive_buffer) > 0

    @classmethod
    def resumed(cls) -> HttpClientConnection:
        """A connection between two chunks of a response whose beginning another process has read."""
        side = cls()
        side.request("POST", "/", [("Host", "x")])
        side.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return side

    @property
    def between_chunks(self) -> bool:
        """Whether another process could read on from here; a chunk's closing line belongs to the chunk."""
        reader = self._h11._reader
        if not isinstance(reader, ChunkedReader) or self.partial or self._invalid_reason:
            return False
        return not (reader._bytes_in_chunk or reader._bytes_to_discard or reader._reading_trailer)

    def check(self) -> None:
        """Raises InvalidResponseError for invalid bytes behind the last complete event.

        Nothing more may come: the connection of a spoilt stream can stay open and silent.
        """
        if self._invalid_reason:
            raise InvalidResponseError(self._invalid_reason)

    def request(
        self, method: str, target: str, headers: Headers, body: memoryview | bytes = b""
    ) -> list[bytes | memoryview]:
        """A complete request as two buffers at most: its head, and its body, which is not copied."""
        rows = list(headers)
        if method not in ("GET", "DELETE") or len(body):
            rows.append(("Content-Length", str(len(body))))
        send = self._h11.send_with_data_passthrough
        # h11 gives each line of the head on its own, and each buffer is a system call of its writer.
        head = b"".join(send(h11.Request(method=method, target=target, headers=rows)) or [])
        parts: list[bytes | memoryview] = [head]
        if len(body):
            parts += send(h11.Data(data=body)) or []  # type: ignore[arg-type]
        send(h11.EndOfMessage())  # with a Content-Length it writes nothing
        return parts

    def feed(self, data: bytes) -> list[ResponseHead | ResponseData | ResponseEnd]:
        """The events that these bytes complete; no bytes mean that the host has closed the connection.

        Raises InvalidResponseError if the bytes are invalid from the start; else the next `check` or
        `feed` does.
        """
        self.check()
        out: list[ResponseHead | ResponseData | ResponseEnd] = []
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Response):
                    rows = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
                    out.append(ResponseHead(event.status_code, rows))
                elif isinstance(event, h11.Data):
                    out.append(self._body(event))
                elif isinstance(event, h11.EndOfMessage):
                    out.append(ResponseEnd())
                    return out
                elif isinstance(event, h11.ConnectionClosed):
                    raise InvalidResponseError("the connection ended before the answer")
                elif not isinstance(event, h11.InformationalResponse):
                    return out
        except (h11.RemoteProtocolError, InvalidResponseError) as error:
            self._invalid_reason = str(error)[:MAX_REASON_LENGTH]
            if not out:
                self.check()
            return out

    def _body(self, event: h11.Data) -> ResponseData:
        self._in_chunk = (0 if event.chunk_start else self._in_chunk) + len(event.data)
        if self._in_chunk > MAX_CHUNK:
            raise InvalidResponseError("a chunk of more than 256 KiB")
        if event.chunk_end:
            self._in_chunk = 0
        return ResponseData(memoryview(event.data))

    def reuse(self) -> bool:
        """Makes ready for another request; False if the connection has to end.

        Bytes that are left would be read as the next request's response.
        """
        if self._h11.trailing_data[0] or self._invalid_reason:
            return False
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return True
        return False
