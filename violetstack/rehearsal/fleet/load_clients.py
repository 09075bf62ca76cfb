"""The clients of a fleet run: an open loop, with retries where they are harmless."""

from __future__ import annotations

import trio

from violetstack.rehearsal.fleet.audit import Asked
from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.minimal_http import Client, Ended, connect, message
from violetstack.rehearsal.fleet.programs import Program

GIVE_UP_S = 5.0
BODY = b'{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"%b"}]}'


class LoadClients:
    """Asks the dispatchers that the front believes to be ready."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._asked = 0

    async def run(self) -> None:
        at = 0.0
        while at < self._state.plan.seconds:
            at += self._state.random.expovariate(self._state.plan.rate)
            await trio.sleep(max(0.0, at - self._state.now()))
            length = min(16_000, int(self._state.random.lognormvariate(8.5, 0.6)))
            self._state.nursery.start_soon(
                self._ask, length, self._state.random.random() < 0.36, self._state.random.randrange(40)
            )

    async def _ask(self, length: int, order: bool, session: int) -> None:
        """With up to two further tries where a retry is harmless, each after a wait."""
        for n in range(3):
            answer, advice = await self._once(length, order, session, n == 0)
            if answer not in ("refused", "unreached"):
                return
            await trio.sleep(advice + 0.1 * 2**n * (0.5 + self._state.random.random()))

    async def _once(self, length: int, order: bool, session: int, first: bool) -> tuple[str, float]:
        there = [p for p in self._state.programs if self._state.now() - p.last_yes < self._state.plan.notice]
        if not there:
            there = self._state.programs
        program = self._state.random.choice(there)
        now = self._state.now()
        self._asked += 1
        asked = Asked(f"q{self._asked}", program.number, order, first, now, now + GIVE_UP_S)
        self._state.audit.asked[asked.id] = asked
        headers = {
            "Host": "app.svc",
            "Req-Id": asked.id,
            "Req-Kind": "orden" if order else "consulta",
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
                client = await self._talk(program, asked, request)
        except OSError:
            asked.excused = True
        asked.ended = self._state.now()
        asked.answer = client.answer.outcome if client is not None else "unreached"
        return asked.answer, client.answer.retry_after if client is not None else 0.0

    async def _talk(self, program: Program, asked: Asked, request: bytes) -> Client:
        """On a connection that was kept, or a new one: what crosses the end of a kept one is sent once
        more."""
        while True:
            kept = bool(program.idle)
            client = Client(program.idle.pop() if kept else await connect(program.at))
            try:
                await client.ask(request)
                asked.first = self._state.now() if client.answer.first else None
                if client.answer.first:
                    await client.finish()
                if client.answer.kept:
                    program.idle.append(client.wire.stream)
                else:
                    await client.wire.stream.aclose()
                return client
            except Ended:
                client.wire.stream.socket.close()
                if not kept or client.answer.status:
                    return client
