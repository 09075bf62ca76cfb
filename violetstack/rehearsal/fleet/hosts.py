"""Model hosts of bounded room: slots, a queue, capacity that grows after a start, late reports, fall-over."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from violetstack.rehearsal.fleet.audit import Audit
from violetstack.rehearsal.fleet.minimal_http import LAST, Ended, Wire, chunk, message
from violetstack.rehearsal.peer import Peer

COLD_SHARE = 0.3
COLD_S = 14.0
REPORT_S = 0.4  # a report is refreshed so often
STREAM_S = 0.6
STREAM_EVENTS = 4
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
WORD = b'data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]}\n\n'


class Engine(Peer):
    """One model host. `work_s`: how long a request takes in a slot of a warm one."""

    def __init__(
        self,
        name: str,
        kind: str,
        *,
        slots: int,
        queue: int,
        work_s: float,
        audit: Audit,
        clock: Callable[[], float],
        born: float | None = None,
    ) -> None:
        super().__init__()
        self.name = name
        self.kind = kind
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.audit = audit
        self.clock = clock
        self.born = born
        self.inside = 0
        self.state = "active"
        self.fallen = False
        self.fails = False  # answers each request with an error
        self._room = trio.CapacityLimiter(slots)
        self._report = (0, 0.0)
        self._report_at = -math.inf

    def warmth(self) -> float:
        if self.born is None:
            return 1.0
        return min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * (self.clock() - self.born) / COLD_S)

    def load(self) -> str:
        now = self.clock()
        if now - self._report_at >= REPORT_S:
            share = min(1.0, self.inside / (self.slots + self.queue))
            self._report = (self.inside, share)
            self._report_at = now
        return f"TEXT rif={self._report[0]}, x0={self._report[1]:.3f}"

    async def _connection(self, raw: trio.SocketStream) -> None:
        with trio.CancelScope() as scope:
            self.connections.add(scope)
            try:
                wire = Wire(raw)
                while not self.fallen:
                    await self._request(wire)
            except Ended:
                pass
            finally:
                self.connections.discard(scope)
                raw.socket.close()

    async def _request(self, wire: Wire) -> None:
        words, headers = await wire.head()
        body = await wire.body(int(headers.get("content-length", 0)))
        now = self.clock()
        path = words[1]
        if path.startswith("/state/"):
            request = path.removeprefix("/state/")
            if words[0] == "DELETE":
                self.audit.let_go(now, request)
                await self._answer(wire, 204)
            else:
                held = self.inside < self.slots and self.state == "active"
                if held:
                    self.audit.holds(now, self.name, request)
                await self._answer(wire, 200 if held else 409)
            return
        request = headers["req-id"]
        work = self.work_s * self._size(body)
        warmth = self.warmth()
        capacity = warmth * self.slots if warmth < 1.0 else None
        if not self.audit.arrived(now, self.name, request, work, capacity):
            self.fallen = True
            self.die()
            raise Ended
        try:
            asked = self.audit.asked.get(request)
            if self.fails or (asked is not None and asked.dispatcher in self.audit.broken):
                self.audit.failures[self.name] += 1
                await self._answer(wire, 500)
            elif self.inside >= self.slots + self.queue or self.state != "active":
                await self._answer(wire, 503, declined=True)
            elif self.kind == "decode" and request not in self.audit.held:
                await self._answer(wire, 410, declined=True)
            else:
                self.inside += 1
                try:
                    async with self._room:
                        await self._work(request, work, wire)
                finally:
                    self.inside -= 1
        finally:
            self.audit.rests(self.clock(), request)

    def _size(self, body: bytes) -> float:
        """Of the prompt, beside the mean one: a reader's work goes by it."""
        return len(body) / 6000.0 if self.kind == "prefill" else 1.0

    async def _answer(self, wire: Wire, status: int, body: bytes = b"", declined: bool = False) -> None:
        headers = {"Srv-Load": self.load(), "Content-Type": "application/json"}
        if declined:
            headers["Srv-Declined"] = "1"
        await wire.send(message(f"HTTP/1.1 {status} .", headers, body))

    async def _work(self, request: str, work: float, wire: Wire) -> None:
        if self.kind == "prefill":
            await trio.sleep(work / self.warmth())
            if wire.stream.socket.is_readable():
                raise Ended  # given up meanwhile: its state goes by itself
            await self._answer(wire, 202, b'{"cached_tokens":0}')
            self.audit.holds(self.clock(), self.name, request)
            return
        self.audit.held.pop(request, None)
        self.audit.ran(self.name, request)
        await wire.send(HEAD + chunk(WORD))
        for _ in range(STREAM_EVENTS):
            await trio.sleep(work / STREAM_EVENTS / self.warmth())
            await wire.send(chunk(WORD))
        report = f": Srv-Load: {self.load()}\n\n".encode()
        await wire.send(chunk(b"data: [DONE]\n\n" + report) + LAST)

    def row(self, started_ms: float = 0.0) -> dict[str, object]:
        """Its entry in discovery's list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "z",
            "kind": self.kind,
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": started_ms,
        }
