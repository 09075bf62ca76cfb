"""The dispatcher as a model host's client: one request at a time, its answer as events."""

from __future__ import annotations

import h11
import msgspec
from h11._readers import ChunkedReader

from violetstack.protocol.server_side import MAX_REASON, Headers


class Broken(Exception):
    """The answer is not HTTP, or ended before its end."""


class Head(msgspec.Struct, frozen=True):
    status: int
    headers: dict[str, str]


class Body(msgspec.Struct, frozen=True):
    data: memoryview


class End(msgspec.Struct, frozen=True):
    pass


MAX_CHUNK = 256 * 1024  # an event is far smaller; what claims more is noise that may never end


class HostSide:
    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._in_chunk = 0  # bytes of a chunk of which the rest is still to come
        self._spoilt = ""  # why nothing more can be read here

    @property
    def partial(self) -> bool:
        """Part of a head or of a chunk has come, and not the rest."""
        return self._in_chunk > 0 or len(self._h11.trailing_data[0]) > 0

    @classmethod
    def resumed(cls) -> HostSide:
        """In the middle of a chunked answer, between two chunks; another process has read the rest."""
        side = cls()
        side.request("POST", "/", [("Host", "x")])
        side.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return side

    @property
    def between_chunks(self) -> bool:
        """Could another process read on from here? The end of a chunk's framing counts to the chunk."""
        reader = self._h11._reader
        if not isinstance(reader, ChunkedReader) or self.partial or self._spoilt:
            return False
        return not (reader._bytes_in_chunk or reader._bytes_to_discard or reader._reading_trailer)

    def check(self) -> None:
        """Raises what was found behind the last whole event.

        Guards against waiting for bytes that never come: a spoilt stream's connection stays open and silent.
        """
        if self._spoilt:
            raise Broken(self._spoilt)

    def request(
        self, method: str, target: str, headers: Headers, body: memoryview | bytes = b""
    ) -> list[bytes | memoryview]:
        """The whole request as buffers; the body's own is among them, not a copy."""
        rows = list(headers)
        if method not in ("GET", "DELETE") or len(body):
            rows.append(("Content-Length", str(len(body))))
        send = self._h11.send_with_data_passthrough
        parts: list[bytes | memoryview] = list(
            send(h11.Request(method=method, target=target, headers=rows)) or []
        )
        if len(body):
            parts += send(h11.Data(data=body)) or []  # type: ignore[arg-type]
        parts += send(h11.EndOfMessage()) or []
        return [part for part in parts if len(part)]

    def feed(self, data: bytes) -> list[Head | Body | End]:
        """What these bytes complete; no bytes means that the host ended the connection."""
        self.check()
        out: list[Head | Body | End] = []
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Response):
                    rows = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
                    out.append(Head(event.status_code, rows))
                elif isinstance(event, h11.Data):
                    out.append(self._body(event))
                elif isinstance(event, h11.EndOfMessage):
                    out.append(End())
                    return out
                elif isinstance(event, h11.ConnectionClosed):
                    raise Broken("the connection ended before the answer")
                elif not isinstance(event, h11.InformationalResponse):
                    return out
        except (h11.RemoteProtocolError, Broken) as error:
            self._spoilt = str(error)[:MAX_REASON]
            if not out:
                self.check()
            return out  # what came whole before the break still counts; `check` tells of the break

    def _body(self, event: h11.Data) -> Body:
        self._in_chunk = (0 if event.chunk_start else self._in_chunk) + len(event.data)
        if self._in_chunk > MAX_CHUNK:
            raise Broken("a chunk of more than 256 KiB")
        if event.chunk_end:
            self._in_chunk = 0
        return Body(memoryview(event.data))

    def reuse(self) -> bool:
        """Guards against an answer too many, which would be read as the next request's: no bytes are left."""
        if self._h11.trailing_data[0] or self._spoilt:
            return False
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return True
        return False
