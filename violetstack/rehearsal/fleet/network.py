"""A discovery agent for each dispatcher, and the relay of datagrams between dispatchers."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson
import trio

from violetstack.config import Address
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.peer import Break, PeerConnection

ADVERTISED_GOSSIP_PORT = 7000  # to which other dispatchers send
GOSSIP_PORT = 7946  # on which a dispatcher listens
LOSS_SHARE = 0.3
LATE_DELAY_S = 0.2
USUAL_DELAY_S = 0.003
LIST_TARGET = "/api/targets"
AddressOf = Callable[[int, int], Address]


class Agent(Discovery):
    """The discovery agent of one dispatcher, with faults."""

    def __init__(
        self,
        number: int,
        rows: list[dict[str, Any]],
        drains_written: dict[tuple[int, str], float],
        now: Callable[[], float],
    ) -> None:
        """Create an agent with these entries.

        When a drain was first written to this dispatcher is recorded in `drains_written`, by the dispatcher's
        number and the host's id.
        """
        super().__init__(*rows)
        self.number = number
        self.mode = ""
        self.drains_written = drains_written
        self.now = now
        self.calls: list[float] = []
        self.initial_rows = list(rows)
        self.list_changed = trio.Event()
        self.written_drains: dict[str, list[float]] = {}
        """All times at which a host's drain was written to the dispatcher, by the host's id."""
        self.complete_versions = {1}
        """The versions that are complete lists rather than changes."""

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        self.calls.append(self.now())
        if self.mode == "silent":
            await connection.until_closed()
            raise Break
        if self.mode == "503":
            await connection.answer(503, [])
            return
        if self.mode == "slow":
            await trio.sleep(1.0)
        if self.mode in ("empty", "old"):
            rows = [] if self.mode == "empty" else self.initial_rows
            line = orjson.dumps({"version": 1, "full": True, "servers": rows}) + b"\n"
            await connection.start(200, [("Content-Type", "application/json")])
            await connection.data(line)
            await connection.until_closed()
            raise Break
        if inbound.target == LIST_TARGET:
            await self.answer_complete_list(connection)
            for _, rows in self.changes:
                self._note_written(rows)
            return
        await connection.start(200, [("Content-Type", "application/json")])
        index = int(inbound.target.rpartition("index=")[2]) if "index=" in inbound.target else 0
        while True:
            changes = [(version, rows) for version, rows in self.changes if version > index]
            lines = [
                orjson.dumps({"version": version, "full": version in self.complete_versions, "servers": rows})
                for version, rows in changes
            ]
            index = self.version
            await connection.data(b"\n".join([*lines, b""]) if lines else b"\n")
            for _, rows in changes:
                self._note_written(rows)
            with trio.move_on_after(2.0):
                await self.list_changed.wait()

    def _note_written(self, rows: list[dict[str, Any]]) -> None:
        for row in rows:
            if row["state"] != "active":
                self.written_drains.setdefault(str(row["id"]), []).append(self.now())

    def begin_at(self, version: int) -> None:
        """Set the version of the list to that of another agent of the same discovery."""
        (rows,) = [rows for _, rows in self.changes]
        self.version = version
        self.changes = [(version, rows)]
        self.complete_versions = {version}

    def publish(self, *rows: dict[str, Any]) -> None:
        """Publish changes; drains count as written now, as the agent writes at once, read or not."""
        super().publish(*rows)
        self.list_changed.set()
        self.list_changed = trio.Event()
        for row in rows if not self.mode else ():
            if row["state"] != "active":
                self.drains_written.setdefault((self.number, str(row["id"])), self.now())

    def publish_complete_list(self, rows: list[dict[str, Any]]) -> None:
        """Send the complete list again, as the next version."""
        self.complete_versions.add(self.version + 1)
        self.publish(*rows)


class Relay:
    """The network between dispatchers: one socket for each, whose address the other dispatchers know.

    A datagram that a dispatcher sends to its own socket is broadcast to all others; one that it sends to
    another's socket goes to that dispatcher.

    Attributes:
        faults: The present network fault of dispatchers, by number.
        on_datagram: Is called with the sender's number and the data of every datagram.
    """

    def __init__(self, size: int, seed: int, address: AddressOf, nursery: trio.Nursery) -> None:
        self.size = size
        self.seed = seed
        self.address = address
        self.nursery = nursery
        self.faults: dict[int, str] = {}
        self.sockets: list[trio.socket.SocketType] = []
        self.on_datagram: Callable[[int, bytes], None] = lambda sender, data: None
        self.number_of = {address(n, GOSSIP_PORT): n for n in range(size)}

    async def open(self) -> None:
        """Bind the sockets."""
        for n in range(self.size):
            sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            await sock.bind(self.address(n, ADVERTISED_GOSSIP_PORT))
            self.sockets.append(sock)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()

    async def run(self, number: int) -> None:
        """Relay the datagrams that arrive on a dispatcher's socket."""
        sock = self.sockets[number]
        rng = random.Random(self.seed * 1000 + number)
        while True:
            try:
                data, address = await sock.recvfrom(2048)
            except OSError:
                continue
            except trio.ClosedResourceError:
                return
            sender = self.number_of.get(address)
            if sender is None:
                continue
            self.on_datagram(sender, data)
            sender_fault = self.faults.get(sender, "")
            receivers = []
            for receiver in range(self.size) if sender == number else [number]:
                receiver_fault = self.faults.get(receiver, "")
                lost = sender_fault in ("cut", "dumb") or receiver_fault in ("cut", "deaf")
                if (
                    receiver != sender
                    and not lost
                    and not ("loss" in (sender_fault, receiver_fault) and rng.random() < LOSS_SHARE)
                ):
                    receivers += [receiver] * (1 + (sender_fault == "twice"))
            delay_s = LATE_DELAY_S if sender_fault == "late" else USUAL_DELAY_S
            self.nursery.start_soon(self._forward, self.sockets[sender], data, receivers, delay_s)

    async def _forward(
        self, sock: trio.socket.SocketType, data: bytes, receivers: list[int], delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        for number in receivers:
            try:
                await sock.sendto(data, self.address(number, GOSSIP_PORT))
            except (OSError, trio.ClosedResourceError):
                continue
