"""Scripted model hosts: the platform's prefill and decode hosts, and hosts with the plain OpenAI API."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256

import orjson
import trio

from violetstack.protocol.http_server import Headers, HttpRequest
from violetstack.rehearsal.peer import Break, Peer, PeerConnection

EVENTS: Headers = [("Content-Type", "text/event-stream")]
DECLINED: Headers = [("Srv-Declined", "1")]


@dataclass
class Act:
    """How a host responds to one request. The default serves it."""

    status: int = 200
    headers: Headers = field(default_factory=list)
    events: int = 3  # events of the stream that are sent before its end or break
    breaks: bool = False  # the connection breaks after `events`; before the response head if that is 0
    error_event: bool = False  # an error event ends the stream, as a plain OpenAI host may report a failure
    silent: bool = False  # no response until the dispatcher closes the connection
    pause: trio.Event | None = None  # awaited after the events, before the end or the break
    before: trio.Event | None = None  # awaited before the response begins
    report: bytes = b""  # the load report at the end of the stream
    raw: bytes = b""  # sent after `events` in place of the rest; the connection stays open
    ahead: bytes = b""  # sent before the response head
    behind: bytes = b""  # sent right after the end of the response


SERVE = Act()
CUT = Act(events=2, breaks=True)
RESET = Act(events=0, breaks=True)
ERROR = Act(status=500)
DECLINE = Act(status=503, headers=DECLINED)
TOO_MANY = Act(status=429)
SILENT = Act(silent=True)


EVENT = b'data: {"choices":[]}\n\n'
FOREVER = b"%x\r\n" % (3 * 2**30) + b"data: x" * 60_000  # a chunk that declares 3 GB
MALFORMED_RESPONSES = {
    "noise": Act(events=0, raw=b"\x16\x03\x01 what is this\r\n\r\n"),
    "noise without an end": Act(events=0, raw=b"x" * 100),
    "bad head": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n"),
    "endless head": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-More: "),
    "head without events": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    "no event": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
}
MALFORMED_STREAMS = {
    "bad size": Act(events=2, raw=b"zz\r\n" + EVENT + b"\r\n"),
    "size too small": Act(events=2, raw=b"5\r\n" + EVENT + b"\r\n"),
    "size too large": Act(events=2, raw=b"%x\r\n" % (len(EVENT) + 9) + EVENT + b"\r\n"),
    "ended early": Act(events=2, raw=b"0\r\n\r\n"),
    "size larger, more events": Act(events=2, raw=(b"%x\r\n" % 999 + EVENT + b"\r\n") * 9),
    "3 GB": Act(events=2, raw=FOREVER),
}


def messages_digest(body: memoryview | bytes) -> str:
    """Return a digest of a request's messages; the other fields of the body make no difference."""
    request = orjson.loads(body)
    return sha256(orjson.dumps(request.get("messages"))).hexdigest()[:12]


def answer_words(body: memoryview | bytes, count: int) -> list[str]:
    """Return the words of an answer; each host gives the same answer to the same prompt."""
    digest = messages_digest(body)
    return [f"{digest[n % 12]}{n} " for n in range(count)]


class ModelHost(Peer):
    """A host that takes one entry of its script for each request and serves normally after the last one."""

    def __init__(self, name: str, kind: str, *acts: Act, cell: int = 0) -> None:
        super().__init__()
        self.name = name
        self.kind = kind
        self.cell = cell
        self.acts = deque(acts)
        self.received_ids: list[str] = []  # ids of completely received requests; digests on a plain host
        self.runs: Counter[str] = Counter()  # answers begun, by the digest of the messages
        self.bodies: list[bytes] = []
        self.calls: list[tuple[str, str]] = []
        self.changed = trio.Condition()
        self.on_call: Callable[[str, str], int] | None = None  # the status of a /state response

    async def note(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with self.changed:
            while not condition():
                await self.changed.wait()

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if inbound.path.startswith("/state/"):
            request_id = inbound.path.removeprefix("/state/")
            self.calls.append((inbound.method, request_id))
            await self.note()
            status = self.on_call(inbound.method, request_id) if self.on_call is not None else None
            await connection.answer(status or (200 if inbound.method == "POST" else 204), [])
            return
        self.received_ids.append(inbound.headers.get("req-id", messages_digest(inbound.body)))
        self.bodies.append(bytes(inbound.body))
        await self.note()
        act = self.acts.popleft() if self.acts else SERVE
        await self.play(act, inbound, connection)

    async def play(self, act: Act, inbound: HttpRequest, connection: PeerConnection) -> None:
        if act.before is not None:
            await act.before.wait()
        await connection.raw(act.ahead)
        if act.raw and not act.events:
            await connection.raw(act.raw)
            await connection.until_closed()
            raise Break
        if act.silent:
            await connection.until_closed()
            raise Break
        if act.status != 200:
            await connection.answer(act.status, act.headers, b"{}")
            return
        if self.kind == "prefill" and not act.breaks:
            await connection.answer(202, [*act.headers, *JSON], b'{"cached_tokens":0}')
            await connection.raw(act.behind)
            return
        if self.kind != "prefill":
            self.runs[messages_digest(inbound.body)] += 1
        if act.breaks and not act.events:
            raise Break
        await self.stream(act, inbound.body, connection)

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [*EVENTS, *act.headers])
        for n, word in enumerate(answer_words(body, act.events)):
            last = not act.breaks and n == act.events - 1
            choice = {"index": 0, "delta": {"content": word}, "finish_reason": "stop" if last else None}
            await connection.data(b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n")
        if act.pause is not None:
            await act.pause.wait()
        if act.raw:
            await connection.raw(act.raw)
            await connection.until_closed()
            raise Break
        if act.breaks:
            raise Break
        if act.error_event:
            await connection.data(b'data: {"error":{"message":"out of memory"}}\n\n')
            await connection.end()
            return
        usage = {"prompt_tokens": 8, "completion_tokens": act.events, "total_tokens": 8 + act.events}
        await connection.data(b"data: " + orjson.dumps({"choices": [], "usage": usage}) + b"\n\n")
        await connection.data(b"data: [DONE]\n\n")
        if act.report:
            await connection.data(b": Srv-Load: " + act.report + b"\n\n")
        await connection.end()
        await connection.raw(act.behind)

    def row(self, state: str = "active") -> dict[str, object]:
        """Return the host's entry in the endpoint list of discovery."""
        identity = {"id": self.name, "addr": self.address, "zone": "z", "kind": self.kind}
        return {**identity, "cell": self.cell, "state": state, "weight": 1.0, "started_ms": 0}


JSON: Headers = [("Content-Type", "application/json")]
