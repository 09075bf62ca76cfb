"""The dispatcher as a model host's client: one request at a time, its answer as events."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from violetstack.protocol.server_side import Headers


class Broken(Exception):
    """The answer is not HTTP, or ended before its end."""


@dataclass(frozen=True, slots=True)
class Head:
    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class Body:
    data: memoryview


@dataclass(frozen=True, slots=True)
class End:
    pass


class HostSide:
    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)

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
        out: list[Head | Body | End] = []
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if isinstance(event, h11.Response):
                    rows = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
                    out.append(Head(event.status_code, rows))
                elif isinstance(event, h11.Data):
                    out.append(Body(memoryview(event.data)))
                elif isinstance(event, h11.EndOfMessage):
                    out.append(End())
                    return out
                elif isinstance(event, h11.ConnectionClosed):
                    raise Broken("the connection ended before the answer")
                elif not isinstance(event, h11.InformationalResponse):
                    return out
        except h11.RemoteProtocolError as error:
            if out:
                # What came whole before the break still counts; the next call reports the break.
                return out
            raise Broken(str(error)) from None

    def reuse(self) -> bool:
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return True
        return False
