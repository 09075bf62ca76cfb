"""The clients of a fleet run: an open loop, with retries of requests that were rejected or not sent."""

from __future__ import annotations

import trio

from violetstack.rehearsal.fleet.audit import ClientRequest
from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.minimal_http import Client, Ended, connect, message
from violetstack.rehearsal.fleet.programs import Program

GIVE_UP_S = 5.0
BODY = b'{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"%b"}]}'


class LoadClients:
    """Sends requests to the dispatchers that health checks found ready."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._sent = 0

    async def run(self) -> None:
        """Start requests at random times until the load ends."""
        at = 0.0
        while at < self._state.plan.duration_s:
            at += self._state.random.expovariate(self._state.plan.rate)
            await trio.sleep(max(0.0, at - self._state.now()))
            length = min(16_000, int(self._state.random.lognormvariate(8.5, 0.6)))
            self._state.nursery.start_soon(
                self._send, length, self._state.random.random() < 0.36, self._state.random.randrange(40)
            )

    async def _send(self, length: int, is_order: bool, session: int) -> None:
        """Send a request, with up to two retries where it was rejected or not sent."""
        for n in range(3):
            outcome, retry_after_s = await self._send_once(length, is_order, session, n == 0)
            if outcome not in ("refused", "unreached"):
                return
            await trio.sleep(retry_after_s + 0.1 * 2**n * (0.5 + self._state.random.random()))

    async def _send_once(
        self, length: int, is_order: bool, session: int, first_try: bool
    ) -> tuple[str, float]:
        candidates = [
            p
            for p in self._state.programs
            if self._state.now() - p.last_ready_at < self._state.plan.ejection_delay_s
        ]
        if not candidates:
            candidates = self._state.programs
        program = self._state.random.choice(candidates)
        now = self._state.now()
        self._sent += 1
        sent = ClientRequest(f"q{self._sent}", program.number, is_order, first_try, now, now + GIVE_UP_S)
        self._state.audit.requests[sent.id] = sent
        headers = {
            "Host": "app.svc",
            "Req-Id": sent.id,
            "Req-Kind": "orden" if is_order else "consulta",
            "Req-Owner": "acme",
            "Req-Key": f"s{session}",
            "Req-Deadline": f"{GIVE_UP_S * 1000:.0f}m",
            "Req-Extra": f"prefix=p{session % 8},prompt_len={length // 4},prefix_len={length // 8},"
            "max_out=50",
        }
        request = message("POST /v1/chat/completions HTTP/1.1", headers, BODY % (b"x" * length))
        client: Client | None = None
        try:
            with trio.move_on_after(GIVE_UP_S + 3.0):
                client = await self._exchange(program, sent, request)
        except OSError:
            sent.excused = True
        sent.ended_at = self._state.now()
        sent.outcome = client.answer.outcome if client is not None else "unreached"
        return sent.outcome, client.answer.retry_after if client is not None else 0.0

    async def _exchange(self, program: Program, sent: ClientRequest, request: bytes) -> Client:
        """Send a request on an idle connection or a new one.

        A request on an idle connection that the dispatcher closed at the same time is sent again.
        """
        while True:
            reused = bool(program.idle_connections)
            client = Client(program.idle_connections.pop() if reused else await connect(program.address))
            try:
                await client.send(request)
                sent.first_token_at = self._state.now() if client.answer.stream_begun else None
                if client.answer.stream_begun:
                    await client.finish()
                if client.answer.keep_alive:
                    program.idle_connections.append(client.wire.stream)
                else:
                    await client.wire.stream.aclose()
                return client
            except Ended:
                client.wire.stream.socket.close()
                if not reused or client.answer.status:
                    return client
