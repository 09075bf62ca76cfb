"""Simulated hosts with slots, a queue, slow start, delayed load reports, and crashes by overload."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from violetstack.rehearsal.fleet.audit import Audit
from violetstack.rehearsal.fleet.minimal_http import LAST_CHUNK, Ended, Wire, chunk, message
from violetstack.rehearsal.peer import Peer

COLD_SHARE = 0.3
COLD_S = 14.0
REPORT_INTERVAL_S = 0.4  # a load report is refreshed so often
STREAM_S = 0.6
STREAM_EVENTS = 4
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]}\n\n'


class SimulatedHost(Peer):
    """One simulated model host.

    Attributes:
        work_s: How long a mean request takes in a slot of a warm host.
        started_at: When it was started cold; None if it is warm.
        in_flight: Requests in slots and in the queue.
        crashed: Whether it crashed by overload.
        fails: Whether it answers each request with an error.
    """

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
        started_at: float | None = None,
    ) -> None:
        super().__init__()
        self.name = name
        self.kind = kind
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.audit = audit
        self.clock = clock
        self.started_at = started_at
        self.in_flight = 0
        self.state = "active"
        self.crashed = False
        self.fails = False
        self._slot_limiter = trio.CapacityLimiter(slots)
        self._report = (0, 0.0)
        self._report_at = -math.inf

    def warm_share(self) -> float:
        """Return the share of its full speed that it has now."""
        if self.started_at is None:
            return 1.0
        return min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * (self.clock() - self.started_at) / COLD_S)

    def load_report(self) -> str:
        """Return the load report, refreshed if it is due."""
        now = self.clock()
        if now - self._report_at >= REPORT_INTERVAL_S:
            utilization = min(1.0, self.in_flight / (self.slots + self.queue))
            self._report = (self.in_flight, utilization)
            self._report_at = now
        return f"TEXT rif={self._report[0]}, x0={self._report[1]:.3f}"

    async def _connection(self, raw: trio.SocketStream) -> None:
        with trio.CancelScope() as scope:
            self.connections.add(scope)
            try:
                wire = Wire(raw)
                while not self.crashed:
                    await self._request(wire)
            except Ended:
                pass
            finally:
                self.connections.discard(scope)
                raw.socket.close()

    async def _request(self, wire: Wire) -> None:
        request_line, headers = await wire.head()
        body = await wire.body(int(headers.get("content-length", 0)))
        now = self.clock()
        path = request_line[1]
        if path.startswith("/state/"):
            request_id = path.removeprefix("/state/")
            if request_line[0] == "DELETE":
                self.audit.state_released(now, request_id)
                await self._answer(wire, 204)
            else:
                held = self.in_flight < self.slots and self.state == "active"
                if held:
                    self.audit.state_held(now, self.name, request_id)
                await self._answer(wire, 200 if held else 409)
            return
        request_id = headers["req-id"]
        work = self.work_s * self._relative_work(body)
        warm_share = self.warm_share()
        capacity = warm_share * self.slots if warm_share < 1.0 else None
        if not self.audit.request_received(now, self.name, request_id, work, capacity):
            self.crashed = True
            self.die()
            raise Ended
        try:
            request = self.audit.requests.get(request_id)
            if self.fails or (request is not None and request.dispatcher in self.audit.broken_links):
                self.audit.failures[self.name] += 1
                await self._answer(wire, 500)
            elif self.in_flight >= self.slots + self.queue or self.state != "active":
                await self._answer(wire, 503, declined=True)
            elif self.kind == "decode" and request_id not in self.audit.held:
                await self._answer(wire, 410, declined=True)
            else:
                self.in_flight += 1
                try:
                    async with self._slot_limiter:
                        await self._process(request_id, work, wire)
                finally:
                    self.in_flight -= 1
        finally:
            self.audit.attempt_ended(self.clock(), request_id)

    def _relative_work(self, body: bytes) -> float:
        """Return the work as a multiple of the mean; that of a prefill host is proportional to the prompt."""
        return len(body) / 6000.0 if self.kind == "prefill" else 1.0

    async def _answer(self, wire: Wire, status: int, body: bytes = b"", declined: bool = False) -> None:
        headers = {"Srv-Load": self.load_report(), "Content-Type": "application/json"}
        if declined:
            headers["Srv-Declined"] = "1"
        await wire.send(message(f"HTTP/1.1 {status} .", headers, body))

    async def _process(self, request_id: str, work: float, wire: Wire) -> None:
        if self.kind == "prefill":
            await trio.sleep(work / self.warm_share())
            if wire.stream.socket.is_readable():
                raise Ended  # cancelled meanwhile: the host discards its state
            await self._answer(wire, 202, b'{"cached_tokens":0}')
            self.audit.state_held(self.clock(), self.name, request_id)
            return
        self.audit.held.pop(request_id, None)
        self.audit.answer_begun(self.name, request_id)
        await wire.send(HEAD + chunk(EVENT))
        for _ in range(STREAM_EVENTS):
            await trio.sleep(work / STREAM_EVENTS / self.warm_share())
            await wire.send(chunk(EVENT))
        report = f": Srv-Load: {self.load_report()}\n\n".encode()
        await wire.send(chunk(b"data: [DONE]\n\n" + report) + LAST_CHUNK)

    def row(self, started_ms: float = 0.0) -> dict[str, object]:
        """Return the host's entry in the endpoint list of discovery."""
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
