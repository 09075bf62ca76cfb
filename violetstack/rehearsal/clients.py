"""Scripted clients of both faces. They send one request on a connection of its own and tell what came."""

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
    """What a client saw of one answer."""

    status: int = 0  # 0: the connection ended without one
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def events(self) -> list[bytes]:
        return [sse.payload(event) for event in sse.EventSplitter().feed(memoryview(self.body))]

    @property
    def json(self) -> Any:
        return orjson.loads(self.body)

    @property
    def text(self) -> str:
        """The answer's words, streamed or whole."""
        if self.headers.get("content-type") == "application/json":
            return "".join(c["message"]["content"] or "" for c in self.json.get("choices", ()))
        told = (orjson.loads(event) for event in self.events if event and event != b"[DONE]")
        return "".join(c["delta"].get("content") or "" for row in told for c in row.get("choices", ()))

    @property
    def outcome(self) -> str:
        """In the core's words, the same on both faces."""
        if self.status in (429, 503) and "retry-after" in self.headers:
            return "refused"
        if self.status != 200:
            return "failed"
        events = self.events
        broken = not self.whole or any(event.startswith(b'{"error"') for event in events)
        return "cut" if broken else "served"


class Call:
    """One request on a connection that the caller may also leave in the middle."""

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
        """Until the answer's end, the connection's, or so many events."""
        answer = self.answer
        while events is None or len(answer.events) < events:
            try:
                self.http.check()
                told = self.http.feed(bytes(await self.stream.receive_some(64 * 1024)))
            except (InvalidResponseError, trio.BrokenResourceError):
                return answer
            for event in told:
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
    """Sends bytes that need be no request, and hears what comes until the other side ends."""
    told = b""
    async with await trio.open_tcp_stream(*at) as stream:
        try:
            await stream.send_all(sent)
            while data := await stream.receive_some(64 * 1024):
                told += data
        except trio.BrokenResourceError:
            pass
    return told


def platform_headers(request_id: str, kind: str, **more: str) -> list[tuple[str, str]]:
    told = {"Req-Id": request_id, "Req-Kind": kind, "Req-Owner": "acme", "Req-Key": "c1"}
    told |= {"Req-Deadline": "5000m", "Req-Extra": "prompt_len=40,prefix_len=0,max_out=50"}
    told |= {name.replace("_", "-"): value for name, value in more.items()}
    return [(name, value) for name, value in told.items() if value]


async def ask_platform(at: Address, request_id: str, kind: str, text: str = "hi", **more: str) -> Answer:
    body = orjson.dumps({"model": "chat", "stream": True, "max_tokens": 50, "messages": prompt(text)})
    call = await connect(at)
    async with call.stream:
        await call.send("POST", "/v1/chat/completions", platform_headers(request_id, kind, **more), body)
        return await call.receive()


def chat_body(model: str, text: str = "hi", stream: bool = True, **more: Any) -> bytes:
    return orjson.dumps({"model": model, "stream": stream, "messages": prompt(text), **more})


def chat_headers(order: str = "", key: str = "kiosk-key", **more: str) -> list[tuple[str, str]]:
    told = {"Authorization": f"Bearer {key}", "Content-Type": "application/json", "Idempotency-Key": order}
    told |= {name.replace("_", "-"): value for name, value in more.items()}
    return [(name, value) for name, value in told.items() if value]


async def ask_chat(at: Address, body: bytes, headers: list[tuple[str, str]] | None = None) -> Answer:
    call = await connect(at)
    async with call.stream:
        await call.send("POST", "/v1/chat/completions", chat_headers() if headers is None else headers, body)
        return await call.receive()
