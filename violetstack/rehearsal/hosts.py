"""Scripted model hosts: the platform's readers and writers, and hosts that speak plain OpenAI."""

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
    """What a host does with one request. The default serves it."""

    status: int = 200
    headers: Headers = field(default_factory=list)
    events: int = 3  # of the answer, before its end or the break
    breaks: bool = False  # after so many events; with none, before the head
    error_event: bool = False  # in place of the end: how a plain host may tell of a break
    silent: bool = False  # no answer until the other side closes
    pause: trio.Event | None = None  # awaited after the events and before the end or the break
    before: trio.Event | None = None  # awaited before the answer begins
    report: bytes = b""  # the load report at a stream's end
    raw: bytes = b""  # sent in place of all that would follow so many events; the connection stays open
    ahead: bytes = b""  # sent before the answer's head
    behind: bytes = b""  # sent right after the answer's end


SERVE = Act()
CUT = Act(events=2, breaks=True)
RESET = Act(events=0, breaks=True)
ERROR = Act(status=500)
DECLINE = Act(status=503, headers=DECLINED)
TOO_MANY = Act(status=429)
SILENT = Act(silent=True)


EVENT = b'data: {"choices":[]}\n\n'
FOREVER = b"%x\r\n" % (3 * 2**30) + b"data: x" * 60_000  # a chunk said to hold 3 GB
SPOILT = {
    "noise": Act(events=0, raw=b"\x16\x03\x01 what is this\r\n\r\n"),
    "noise without an end": Act(events=0, raw=b"x" * 100),
    "bad head": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n"),
    "endless head": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-More: "),
    "head without events": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    "no event": Act(events=0, raw=b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
}
SPOILT_LATER = {
    "bad size": Act(events=2, raw=b"zz\r\n" + EVENT + b"\r\n"),
    "size too small": Act(events=2, raw=b"5\r\n" + EVENT + b"\r\n"),
    "size too large": Act(events=2, raw=b"%x\r\n" % (len(EVENT) + 9) + EVENT + b"\r\n"),
    "size larger, more events": Act(events=2, raw=(b"%x\r\n" % 999 + EVENT + b"\r\n") * 9),
    "3 GB": Act(events=2, raw=FOREVER),
}


def what(body: memoryview | bytes) -> str:
    """Names an order by its messages, whatever else the body holds."""
    told = orjson.loads(body)
    return sha256(orjson.dumps(told.get("messages"))).hexdigest()[:12]


def words(body: memoryview | bytes, count: int) -> list[str]:
    """The same prompt gets the same answer, whoever gives it."""
    name = what(body)
    return [f"{name[n % 12]}{n} " for n in range(count)]


class ModelHost(Peer):
    """Acts by its script, one entry a request, and serves once the script is used up."""

    def __init__(self, name: str, kind: str, *acts: Act, cell: int = 0) -> None:
        super().__init__()
        self.name = name
        self.kind = kind
        self.cell = cell
        self.acts = deque(acts)
        self.begun: list[str] = []  # ids (or names, on a plain host) of requests that arrived whole
        self.runs: Counter[str] = Counter()  # answers begun, by what was asked
        self.bodies: list[bytes] = []
        self.calls: list[tuple[str, str]] = []
        self.changed = trio.Condition()
        self.on_call: Callable[[str, str], int] | None = None  # decides the status of /state calls

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
        self.begun.append(inbound.headers.get("req-id", what(inbound.body)))
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
            self.runs[what(inbound.body)] += 1
        if act.breaks and not act.events:
            raise Break
        await self.stream(act, inbound.body, connection)

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [*EVENTS, *act.headers])
        for n, word in enumerate(words(body, act.events)):
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
        """Its entry in discovery's list."""
        where = {"id": self.name, "addr": self.address, "zone": "z", "kind": self.kind}
        return {**where, "cell": self.cell, "state": state, "weight": 1.0, "started_ms": 0}


JSON: Headers = [("Content-Type", "application/json")]
