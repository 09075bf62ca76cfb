"""Discovery in memory that fails in each of the ways that are known, for tests in virtual time."""

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
Connecting = Callable[[], Awaitable[None]]


class MemorySocket:
    """Stands for the socket of a connection in memory."""

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
    """A connection in memory that has what the watch uses of a socket's stream."""

    def __init__(self, sending: MemorySendStream, receiving: MemoryReceiveStream) -> None:
        self.socket = MemorySocket(sending, receiving)
        self.send_all = sending.send_all
        self.receive_some = receiving.receive_some


async def silent(connection: PeerConnection) -> None:
    """Accepts the connection and never sends anything on it, not after the outage either."""
    await trio.sleep_forever()


async def rejects(connection: PeerConnection) -> None:
    await connection.answer(503, [("Retry-After", "60")])


async def ends_in_a_list(connection: PeerConnection) -> None:
    await connection.start(200, [])
    await connection.data(b'{"version":1,"full":true,"servers":[{"id":"r",')
    raise Break


async def stops_in_an_object(connection: PeerConnection) -> None:
    await connection.start(200, [])
    await connection.data(b'{"version":2,"servers":[')
    await trio.sleep_forever()


async def sends_no_json(connection: PeerConnection) -> None:
    await connection.start(200, [])
    await connection.data(b"what\n")


async def sends_a_bad_list(connection: PeerConnection) -> None:
    await connection.answer(200, [], b'{"version":3,"servers":7}')


async def sends_no_http(connection: PeerConnection) -> None:
    await connection.raw(b"what\r\n\r\n")


async def trickles(connection: PeerConnection) -> None:
    await connection.start(200, [])
    while True:
        await connection.data(b" ")
        await trio.sleep(0.3)


async def falls_silent(connection: PeerConnection) -> None:
    """A watch that is up, and stalls after its first word."""
    await connection.start(200, [])
    await connection.data(b"\n")
    await trio.sleep_forever()


async def refuses() -> None:
    raise ConnectionRefusedError


ANSWERS = (
    silent,
    rejects,
    ends_in_a_list,
    stops_in_an_object,
    sends_no_json,
    sends_a_bad_list,
    sends_no_http,
    trickles,
)
FAULTS: dict[str, tuple[Connecting | None, Script]] = {
    "refuses": (refuses, silent),
    "never comes up": (trio.sleep_forever, silent),
    "falls silent": (None, falls_silent),
    **{script.__name__.replace("_", " "): (None, script) for script in ANSWERS},
}


class FaultyDiscovery(Discovery):
    """Answers as `fault` says while it is down, and otherwise as usual, after `delay_s`."""

    def __init__(self, fault: str) -> None:
        super().__init__({"id": "r", "addr": "10.0.0.1:80", "kind": "prefill"})
        self.down = False
        self.delay_s = 0.0
        self.calls: list[float] = []
        self._connecting, self._script = FAULTS[fault]

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if self.down:
            await self._script(connection)
            raise Break
        await trio.sleep(self.delay_s)
        await super().handle(inbound, connection)

    async def connect(self, nursery: trio.Nursery) -> MemoryStream:
        """Opens a connection of the dispatcher, served in the nursery."""
        self.calls.append(trio.current_time())
        await trio.lowlevel.checkpoint()
        if self.down and self._connecting is not None:
            await self._connecting()
        ours, theirs = memory_stream_pair()
        nursery.start_soon(self._serve, theirs)
        return MemoryStream(ours.send_stream, ours.receive_stream)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        with trio.CancelScope() as scope:
            self.connections.add(scope)
            with suppress(Break, trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError):
                await self._requests(PeerConnection(stream))
        self.connections.discard(scope)
        await stream.aclose()
