"""A discovery service in memory that can fail in each known way, for tests in virtual time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import h11
import trio
from trio.testing import MemoryReceiveStream, MemorySendStream, memory_stream_pair

from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.peer import Break, PeerConnection

Script = Callable[[PeerConnection], Awaitable[None]]
Connect = Callable[[], Awaitable[None]]


class MemorySocket:
    """The socket of an in-memory connection."""

    def __init__(self, sending: MemorySendStream, receiving: MemoryReceiveStream) -> None:
        self._sending = sending
        self._receiving = receiving

    def is_readable(self) -> bool:
        return False

    def fileno(self) -> int:
        return -1

    def close(self) -> None:
        self._sending.close()
        self._receiving.close()


class MemoryStream:
    """An in-memory connection with the part of the interface of `trio.SocketStream` that the watch uses."""

    def __init__(self, sending: MemorySendStream, receiving: MemoryReceiveStream) -> None:
        self.socket = MemorySocket(sending, receiving)
        self.send_all = sending.send_all
        self.receive_some = receiving.receive_some


async def silent(connection: PeerConnection) -> None:
    """Accepts the connection and never sends anything on it, not even after the outage."""
    await trio.sleep_forever()


async def rejects(connection: PeerConnection) -> None:
    await connection.answer(503, [("Retry-After", "60")])


async def breaks_off_in_a_list(connection: PeerConnection) -> None:
    await connection.start(200, [])
    await connection.data(b'{"version":1,"full":true,"servers":[{"id":"r",')
    raise Break


async def stalls_in_an_object(connection: PeerConnection) -> None:
    await connection.start(200, [])
    await connection.data(b'{"version":2,"servers":[')
    await trio.sleep_forever()


async def sends_invalid_json(connection: PeerConnection) -> None:
    await connection.start(200, [])
    await connection.data(b"what\n")


async def sends_an_invalid_list(connection: PeerConnection) -> None:
    await connection.answer(200, [], b'{"version":3,"servers":7}')


async def sends_invalid_http(connection: PeerConnection) -> None:
    await connection.raw(b"what\r\n\r\n")


async def trickles(connection: PeerConnection) -> None:
    await connection.start(200, [])
    while True:
        await connection.data(b" ")
        await trio.sleep(0.3)


async def stalls(connection: PeerConnection) -> None:
    """Establishes a watch, which stalls after its first message."""
    await connection.start(200, [])
    await connection.data(b"\n")
    await trio.sleep_forever()


async def refuses() -> None:
    raise ConnectionRefusedError


FAULTY_ANSWERS = (
    silent,
    rejects,
    breaks_off_in_a_list,
    stalls_in_an_object,
    sends_invalid_json,
    sends_an_invalid_list,
    sends_invalid_http,
    trickles,
)
FAULTS: dict[str, tuple[Connect | None, Script]] = {
    "refuses": (refuses, silent),
    "connect hangs": (trio.sleep_forever, silent),
    "stalls": (None, stalls),
    **{script.__name__.replace("_", " "): (None, script) for script in FAULTY_ANSWERS},
}


class FaultyDiscovery(Discovery):
    """Fails in the way named by `fault` while `down` is set; otherwise answers after `delay_s`."""

    def __init__(self, fault: str) -> None:
        super().__init__({"id": "r", "addr": "10.0.0.1:80", "kind": "prefill"})
        self.down = False
        self.delay_s = 0.0
        self.connected_at: list[float] = []
        self._connect_fault, self._script = FAULTS[fault]

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if self.down:
            await self._script(connection)
            raise Break
        await trio.sleep(self.delay_s)
        await super().handle(inbound, connection)

    async def connect(self, nursery: trio.Nursery) -> MemoryStream:
        """Opens a connection for the dispatcher, served by a task in the nursery."""
        self.connected_at.append(trio.current_time())
        await trio.lowlevel.checkpoint()
        if self.down and self._connect_fault is not None:
            await self._connect_fault()
        client_end, server_end = memory_stream_pair()
        nursery.start_soon(self._serve, server_end)
        return MemoryStream(client_end.send_stream, client_end.receive_stream)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        with trio.CancelScope() as scope:
            self.connections.add(scope)
            with suppress(Break, trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError):
                await self._requests(PeerConnection(stream))
        self.connections.discard(scope)
        await stream.aclose()
