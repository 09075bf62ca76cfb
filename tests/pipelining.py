"""A pipelining client, which sends requests at any time, and a relay that delays data like a network."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import h11
import trio

from violetstack.config import Address
from violetstack.rehearsal.clients import BODY, platform_headers
from violetstack.rehearsal.fleet.minimal_http import connect

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READY_TARGET = "/-/ready"


class PipeliningClient:
    """Sends requests on one connection; `responses` has the responses in order."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.responses: list[Response] = []
        self.reset = False
        """Whether the connection ended with a reset."""
        self.ended = False
        """Whether the dispatcher has ended the connection."""
        self._http = h11.Connection(h11.CLIENT)
        self._pending: list[h11.Request] = []

    @classmethod
    async def open(cls, address: Address, receive_buffer: int | None = None) -> PipeliningClient:
        """`receive_buffer` limits the bytes that the kernel accepts before the client reads."""
        sock = trio.socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await sock.connect(address)
        return cls(trio.SocketStream(sock))

    async def send(
        self, request_id: str, kind: str = "consulta", *, pause_s: float = 0.0, **more: str
    ) -> None:
        """Writes a whole request, even during a response; waits `pause_s` before the body."""
        headers = [("Host", "app.svc"), *platform_headers(request_id, kind, **more)]
        headers.append(("Content-Length", str(len(BODY))))
        request = h11.Request(method="POST", target="/v1/chat/completions", headers=headers)
        request_encoder = h11.Connection(h11.CLIENT)
        head = request_encoder.send(request) or b""
        self._pending.append(request)
        self._expect_next()
        if pause_s:
            await self.stream.send_all(head)
            await trio.sleep(pause_s)
            head = b""
        await self.stream.send_all(head + BODY)

    def _expect_next(self) -> None:
        if self._pending and self._http.our_state is h11.IDLE:
            self._http.send(self._pending.pop(0))
            self._http.send(h11.Data(data=BODY))
            self._http.send(h11.EndOfMessage())

    async def read(self, size: int = 64 * 1024) -> bool:
        """Reads once; False at the end of the connection."""
        try:
            data = await self.stream.receive_some(size)
        except trio.BrokenResourceError:
            self.reset = True
            data = b""
        if not data:
            self.ended = True
            return False
        self._http.receive_data(bytes(data))
        self._handle_events()
        return True

    def _handle_events(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self.responses.append(Response(event.status_code))
            elif isinstance(event, h11.Data):
                self.responses[-1].body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.responses[-1].whole = True
                if self._http.our_state is not h11.DONE:
                    return
                self._http.start_next_cycle()
                self._expect_next()
            else:
                return

    async def read_until(self, text: bytes) -> None:
        """Reads until the body of the last response contains the text."""
        while not self.responses or text not in self.responses[-1].body:
            assert await self.read(), f"the connection ended before {text!r} arrived"

    async def read_all(self, size: int = 64 * 1024, pause_s: float = 0.0) -> None:
        """Reads to the end of the connection, with a pause before each read."""
        while True:
            await trio.sleep(pause_s)
            if not await self.read(size):
                return

    def close(self) -> None:
        """Closes the connection."""
        self.stream.socket.close()


class Response:
    """One response, as far as it was received."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.body = b""
        self.whole = False


@asynccontextmanager
async def relay(target: Address, delay_s: float) -> AsyncIterator[Address]:
    """Delays each direction; a reset of one side reaches the other at once, and delayed data is lost."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=200)

        async def serve(client_side: trio.SocketStream) -> None:
            with suppress(OSError):
                await _RelayedConnection(client_side, await connect(target), delay_s).run()

        nursery.start_soon(trio.serve_listeners, serve, listeners)
        host, port = listeners[0].socket.getsockname()[:2]
        yield host, port
        nursery.cancel_scope.cancel()


class _RelayedConnection:
    def __init__(
        self, client_side: trio.SocketStream, dispatcher_side: trio.SocketStream, delay_s: float
    ) -> None:
        self._sides = (client_side, dispatcher_side)
        self._delay_s = delay_s
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        client_side, dispatcher_side = self._sides
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client_side, dispatcher_side, nursery)
                nursery.start_soon(self._copy, dispatcher_side, client_side, nursery)
        for side in self._sides:
            side.socket.close()

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream, nursery: trio.Nursery) -> None:
        send, receive = trio.open_memory_channel[tuple[float, bytes]](1000)
        nursery.start_soon(self._deliver, receive, sink)
        while True:
            try:
                data = bytes(await source.receive_some(64 * 1024))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._reset()
                return
            await send.send((trio.current_time() + self._delay_s, data))
            if not data:
                return

    async def _deliver(
        self, receive: trio.MemoryReceiveChannel[tuple[float, bytes]], sink: trio.SocketStream
    ) -> None:
        async for at, data in receive:
            await trio.sleep_until(at)
            try:
                if data:
                    await sink.send_all(data)
                else:
                    await sink.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._reset()
                return

    def _reset(self) -> None:
        for side in self._sides:
            with suppress(OSError):
                side.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._scope.cancel()
