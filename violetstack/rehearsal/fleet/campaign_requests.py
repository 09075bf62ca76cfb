"""The clients of one case: they choose dispatcher and connection of each request and record the exchange."""

from __future__ import annotations

import os
import random
import socket
from contextlib import suppress

import h11
import trio

from violetstack.rehearsal.fleet.campaign_client import (
    READ_SIZE,
    ClientCall,
    ClientConnection,
    ClientMessage,
    NotAcceptedError,
    PipelinedRequest,
)
from violetstack.rehearsal.fleet.campaign_faults import (
    SENDS_DURING_STREAM,
    ClientBehaviour,
    RequestScript,
    ScriptSource,
)
from violetstack.rehearsal.fleet.campaign_state import CaseState, Dispatcher
from violetstack.rehearsal.fleet.socket_audit import ClientExchange

REQUESTS_PER_DISPATCHER_S = 14.0
CONNECTION_REUSE_SHARE = 0.6
UNCHECKED_REUSE_SHARE = 0.5
LARGE_BODY_BYTES = 240_000
EARLY_CONNECTION_IDLE_TIMES_S = (0.05, 0.5, 1.2, 2.1, 2.19, 2.2)
"""How long a new connection is idle before its first request."""
CLOSE_RACE_S = 0.05
"""A request and the close of its connection can cross on the loopback interface within this time."""


class CaseClients:
    """Clients that send requests in an open loop, each with the faults of its script."""

    def __init__(self, state: CaseState, rate: float = REQUESTS_PER_DISPATCHER_S) -> None:
        """`rate` is in requests per second for each dispatcher."""
        self._state = state
        self._rate = rate
        self._rng = random.Random(f"clients {state.seed}")
        self._source = ScriptSource(state.seed)

    async def send_requests(self, nursery: trio.Nursery, duration_s: float) -> None:
        """Starts requests in the nursery for `duration_s` seconds."""
        rate = self._rate * self._state.deployment.dispatcher_count
        number = 0
        at = 0.0
        while at < duration_s:
            at += self._rng.expovariate(rate)
            await trio.sleep(max(0.0, at - self._state.now()))
            number += 1
            nursery.start_soon(self._request, number)

    async def _request(self, number: int) -> None:
        rng = random.Random(f"request {self._state.seed} {number}")
        script = self._source.draw()
        dispatcher = self._choose_dispatcher(rng)
        if dispatcher is None:
            self._state.statuses["no dispatcher"] += 1
            return
        exchange = self._new_exchange(rng, f"c{self._state.seed}q{number}", script, dispatcher)
        message = self._new_message(rng, exchange, script)
        try:
            await self._run_exchange(dispatcher, exchange, message, rng)
        except NotAcceptedError:
            del self._state.evidence.exchanges[exchange.id]
            self._state.statuses["not accepted"] += 1
        else:
            self._state.statuses[_outcome(exchange)] += 1
        finally:
            del self._state.open_exchanges[exchange.id]

    def _new_exchange(
        self, rng: random.Random, request_id: str, script: RequestScript, dispatcher: Dispatcher
    ) -> ClientExchange:
        class_index = rng.randrange(len(self._state.deployment.class_names))
        timeout_s = self._state.deployment.timeouts_s[class_index]
        deadline_s = max(0.3, timeout_s * rng.choice((0.5, 1.0, 1.0)))
        exchange = ClientExchange(request_id, class_index, dispatcher.program.number, round(deadline_s, 3))
        exchange.reads_slowly = script.reads_slowly
        self._state.scripts[request_id] = script
        self._state.evidence.exchanges[request_id] = exchange
        self._state.open_exchanges[request_id] = exchange
        return exchange

    def _new_message(
        self, rng: random.Random, exchange: ClientExchange, script: RequestScript
    ) -> ClientMessage:
        body = self._body(rng, script)
        headers = self._headers(rng, exchange, len(body))
        return ClientMessage(h11.Request(method="POST", target="/v1/chat/completions", headers=headers), body)

    def _choose_dispatcher(self, rng: random.Random) -> Dispatcher | None:
        """Returns a dispatcher that accepts connections or has idle ones; None if there is none."""
        candidates = [
            dispatcher
            for dispatcher in self._state.dispatchers
            if dispatcher.accepting or dispatcher.idle_connections
        ]
        return rng.choice(candidates) if candidates else None

    async def _run_exchange(
        self,
        dispatcher: Dispatcher,
        exchange: ClientExchange,
        message: ClientMessage,
        rng: random.Random,
    ) -> None:
        idle_s = rng.choice(EARLY_CONNECTION_IDLE_TIMES_S)
        script = self._state.scripts[exchange.id]
        connection = None if script.reads_slowly else self._take_idle_connection(dispatcher, rng)
        exchange.reused_connection = connection is not None
        if connection is None:
            connection = await ClientConnection.open(
                dispatcher.program.address, reads_slowly=script.reads_slowly
            )
        pipelined = self._new_pipelined_request(rng, exchange, script, dispatcher)
        call = ClientCall(
            connection, exchange, script, message, self._state.now, idle_s=idle_s, pipelined=pipelined
        )
        try:
            await call.run()
            if pipelined is not None and pipelined.exchange.sent_at is not None:
                await self._read_pipelined_answer(call, pipelined, exchange)
        finally:
            if pipelined is not None:
                del self._state.open_exchanges[pipelined.exchange.id]
        if script.behaviour is ClientBehaviour.SENDS_NEXT_REQUEST_AT_ONCE and call.reusable:
            dispatcher, call = await self._send_next_request(rng, call, exchange, dispatcher)
        if self._raced_with_close(exchange, call):
            dispatcher, call = await self._resend(exchange, message, rng)
        if call.reusable:
            dispatcher.idle_connections.append((call.connection, exchange))
        elif not exchange.status and exchange.server_closed_at is not None:
            self._excuse_if_flooded(dispatcher, exchange)

    def _new_pipelined_request(
        self, rng: random.Random, exchange: ClientExchange, script: RequestScript, dispatcher: Dispatcher
    ) -> PipelinedRequest | None:
        """Returns the request to send during the stream, or None if the client's behaviour has none."""
        if script.behaviour not in SENDS_DURING_STREAM:
            return None
        fault_free = RequestScript(None, ClientBehaviour.PLAIN, (), 0.0, reads_slowly=script.reads_slowly)
        second = self._new_exchange(rng, f"{exchange.id}b", fault_free, dispatcher)
        second.pipelined_after = exchange
        return PipelinedRequest(second, self._new_message(rng, second, fault_free))

    async def _read_pipelined_answer(
        self, call: ClientCall, pipelined: PipelinedRequest, first: ClientExchange
    ) -> None:
        """Reads the answer to a pipelined request, unless the connection has ended before it."""
        second = pipelined.exchange
        if not call.reusable:
            # The previous answer announced the close, or was incomplete: the audit checks that exchange.
            second.excused = second.excused or "behind the connection's end"
            return
        call.connection.http.start_next_cycle()
        script = self._state.scripts[second.id]
        reading = ClientCall(call.connection, second, script, pipelined.message, self._state.now)
        call.reusable = False
        await reading.run()
        call.reusable = reading.reusable
        self._state.statuses[f"behind another: {_outcome(second)}"] += 1
        if first.excused and not second.status:
            second.excused = first.excused

    async def _send_next_request(
        self, rng: random.Random, call: ClientCall, first: ClientExchange, dispatcher: Dispatcher
    ) -> tuple[Dispatcher, ClientCall]:
        """Sends another request on the connection as soon as the answer has ended.

        Returns the dispatcher that the connection is to, another one if the request was sent again.
        """
        script = RequestScript(None, ClientBehaviour.PLAIN, (), 0.0, reads_slowly=first.reads_slowly)
        second = self._new_exchange(rng, f"{first.id}n", script, dispatcher)
        second.reused_connection = True
        message = self._new_message(rng, second, script)
        call.connection.http.start_next_cycle()
        next_call = ClientCall(call.connection, second, script, message, self._state.now)
        try:
            await next_call.run()
            if self._raced_with_close(second, next_call):
                dispatcher, next_call = await self._resend(second, message, rng)
                if not second.status and second.server_closed_at is not None:
                    self._excuse_if_flooded(dispatcher, second)
        except NotAcceptedError:
            del self._state.evidence.exchanges[second.id]
        finally:
            del self._state.open_exchanges[second.id]
        self._state.statuses[f"right behind: {_outcome(second)}"] += 1
        return dispatcher, next_call

    def _raced_with_close(self, exchange: ClientExchange, call: ClientCall) -> bool:
        """Returns whether the dispatcher closed an idle connection while the request was in transit.

        A request that stayed unread for longer counts as lost, since the dispatcher had time to notice it.
        """
        if exchange.status or exchange.excused or exchange.client_closed_at is not None:
            return False
        if exchange.server_closed_at is None or not (exchange.reused_connection or call.idled):
            return False
        sent_at = exchange.sent_at
        return (
            sent_at is None
            or exchange.server_closed_at <= sent_at + CLOSE_RACE_S + self._state.evidence.lag_s
        )

    async def _resend(
        self,
        exchange: ClientExchange,
        message: ClientMessage,
        rng: random.Random,
    ) -> tuple[Dispatcher, ClientCall]:
        """Sends the request again on a new connection, as the idle one was closed while it was in transit."""
        exchange.resent_at = self._state.now()
        exchange.server_closed_at = None
        exchange.sent_at = None
        exchange.reused_connection = False
        accepting = [candidate for candidate in self._state.dispatchers if candidate.accepting]
        if not accepting:
            raise NotAcceptedError("no dispatcher accepts new connections")
        dispatcher = rng.choice(accepting)
        exchange.dispatcher = dispatcher.program.number
        connection = await ClientConnection.open(dispatcher.program.address)
        call = ClientCall(connection, exchange, self._state.scripts[exchange.id], message, self._state.now)
        await call.run()
        return dispatcher, call

    def _take_idle_connection(self, dispatcher: Dispatcher, rng: random.Random) -> ClientConnection | None:
        may_reuse = not dispatcher.accepting or rng.random() < CONNECTION_REUSE_SHARE
        while dispatcher.idle_connections and may_reuse:
            connection, last_exchange = dispatcher.idle_connections.pop()
            if connection.stream.socket.fileno() < 0:
                continue  # this client has closed it meanwhile
            if connection.stream.socket.is_readable() and rng.random() > UNCHECKED_REUSE_SHARE:
                self._read_unsolicited_data(connection, last_exchange)
                connection.close()
                continue
            connection.http.start_next_cycle()
            return connection
        return None

    def _read_unsolicited_data(self, connection: ClientConnection, last_exchange: ClientExchange) -> None:
        """Records data on an idle connection, which can only be an answer without a request, or its end."""
        with suppress(OSError), socket.socket(fileno=os.dup(connection.stream.socket.fileno())) as copy:
            last_exchange.trailing_bytes += copy.recv(READ_SIZE, socket.MSG_DONTWAIT)

    def _excuse_if_flooded(self, dispatcher: Dispatcher, exchange: ClientExchange) -> None:
        """Excuses a new connection that was closed unread while the dispatcher had no free descriptors."""
        closed_at = exchange.server_closed_at
        flooded = dispatcher.flood_began_at <= (closed_at or 0.0) <= dispatcher.flood_ended_at
        if flooded and not exchange.reused_connection:
            exchange.excused = "descriptors full"

    def _body(self, rng: random.Random, script: RequestScript) -> bytes:
        size = LARGE_BODY_BYTES if script.behaviour is ClientBehaviour.LARGE_BODY else rng.randint(200, 4000)
        return b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"%b"}]}' % (b"x" * size)

    def _headers(self, rng: random.Random, exchange: ClientExchange, length: int) -> list[tuple[str, str]]:
        tokens = length // 4
        headers = [
            ("Host", "app.svc"),
            ("Req-Id", exchange.id),
            ("Req-Kind", self._state.deployment.class_names[exchange.class_index]),
            ("Req-Key", f"session{rng.randrange(20)}"),
            ("Req-Deadline", f"{exchange.deadline_s * 1000:.0f}m"),
            (
                "Req-Extra",
                f"prefix=p{rng.randrange(6)},prompt_len={tokens},prefix_len={tokens // 2},max_out=40",
            ),
            ("Content-Length", str(length)),
        ]
        if self._state.deployment.tenants:
            headers.append(("Req-Owner", rng.choice(self._state.deployment.tenants)))
        if rng.random() < 0.1:
            resume = self._state.deployment.message["family_info"]["resume"]
            headers.append(("Req-Retry", rng.choice(("again", "1")) if resume else "1"))
        return headers


def _outcome(exchange: ClientExchange) -> str:
    if exchange.client_closed_at is not None:
        return "client left"
    if exchange.status == 200:
        return "served" if exchange.complete else "broken stream"
    if exchange.status:
        return str(exchange.status)
    return exchange.excused or "no answer"
