"""Scripted clients of both front ends. Each request is sent on a connection of its own."""

from __future__ import annotations

import ssl
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio

from violetstack.config import Address
from violetstack.protocol import sse
from violetstack.protocol.http_client import (
    HttpClientConnection,
    InvalidResponseError,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)


@dataclass
class Answer:
    """What a client received in response to one request."""

    status: int = 0  # 0: the connection ended without a response
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def events(self) -> list[bytes]:
        """The data of each event; none if the body is no stream of events."""
        if not self.headers.get("content-type", "").startswith("text/event-stream"):
            return []
        return [sse.payload(event) for event in sse.EventSplitter().feed(memoryview(self.body))]

    @property
    def json(self) -> Any:
        return orjson.loads(self.body)

    @property
    def text(self) -> str:
        """The content of the answer, streamed or in one body."""
        if self.headers.get("content-type") == "application/json":
            return "".join(c["message"]["content"] or "" for c in self.json.get("choices", ()))
        chunks = (orjson.loads(event) for event in self.events if event and event != b"[DONE]")
        return "".join(c["delta"].get("content") or "" for row in chunks for c in row.get("choices", ()))

    @property
    def outcome(self) -> str:
        """The outcome in the terms of the core, the same on both front ends."""
        if self.status in (429, 503) and "retry-after" in self.headers:
            return "refused"
        if self.status != 200:
            return "failed"
        events = self.events
        broken = not self.whole or any(event.startswith(b'{"error"') for event in events)
        return "cut" if broken else "served"


class Call:
    """One request on a connection that the caller may also close before the response is complete."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.http = HttpClientConnection()
        self.answer = Answer()

    async def send(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b""
    ) -> None:
        rows = [("Host", "app.svc"), *headers]
        await self.stream.send_all(b"".join(bytes(p) for p in self.http.request(method, target, rows, body)))

    async def receive(self, *, events: int | None = None) -> Answer:
        """Receive up to the end of the response or of the connection, or up to a number of events."""
        answer = self.answer
        while events is None or len(answer.events) < events:
            try:
                self.http.check()
                received = self.http.feed(bytes(await self.stream.receive_some(64 * 1024)))
            except (InvalidResponseError, trio.BrokenResourceError):
                return answer
            for event in received:
                if isinstance(event, ResponseHead):
                    answer.status = event.status
                    answer.headers = event.headers
                elif isinstance(event, ResponseData):
                    answer.body += bytes(event.data)
                elif isinstance(event, ResponseEnd):
                    answer.whole = True
                    return answer
        return answer


BODY = b'{"messages":[{"role":"user","content":"How much is it to send 100 dollars to Lima?"}]}'


def prompt(text: str) -> list[dict[str, str]]:
    return [{"role": "system", "content": "Be brief."}, {"role": "user", "content": text}]


async def connect(at: Address, tls: ssl.SSLContext | None = None, name: str = "localhost") -> Call:
    stream: trio.abc.Stream = await trio.open_tcp_stream(*at)
    if tls is not None:
        stream = trio.SSLStream(stream, tls, server_hostname=name, https_compatible=True)
    return Call(stream)


async def raw(at: Address, sent: bytes) -> bytes:
    """Send bytes, which need not be a valid request; return all that arrives until the connection ends."""
    received = b""
    async with await trio.open_tcp_stream(*at) as stream:
        try:
            await stream.send_all(sent)
            while data := await stream.receive_some(64 * 1024):
                received += data
        except trio.BrokenResourceError:
            pass
    return received


def platform_headers(request_id: str, kind: str, **more: str) -> list[tuple[str, str]]:
    headers = {"Req-Id": request_id, "Req-Kind": kind, "Req-Owner": "acme", "Req-Key": "c1"}
    headers |= {"Req-Deadline": "5000m", "Req-Extra": "prompt_len=40,prefix_len=0,max_out=50"}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    return [(name, value) for name, value in headers.items() if value]


async def ask_platform(at: Address, request_id: str, kind: str, text: str = "hi", **more: str) -> Answer:
    body = orjson.dumps({"model": "chat", "stream": True, "max_tokens": 50, "messages": prompt(text)})
    call = await connect(at)
    async with call.stream:
        await call.send("POST", "/v1/chat/completions", platform_headers(request_id, kind, **more), body)
        return await call.receive()


def chat_body(model: str, text: str = "hi", stream: bool = True, **more: Any) -> bytes:
    return orjson.dumps({"model": model, "stream": stream, "messages": prompt(text), **more})


def chat_headers(order: str = "", key: str = "kiosk-key", **more: str) -> list[tuple[str, str]]:
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json", "Idempotency-Key": order}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    return [(name, value) for name, value in headers.items() if value]


async def ask_chat(at: Address, body: bytes, headers: list[tuple[str, str]] | None = None) -> Answer:
    call = await connect(at)
    async with call.stream:
        await call.send("POST", "/v1/chat/completions", chat_headers() if headers is None else headers, body)
        return await call.receive()
