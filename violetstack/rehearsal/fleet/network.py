"""What lies between dispatchers and the rest: an agent of discovery for each, and the relay among them."""

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

# ports: a dispatcher as the others know it, and where it listens
SAID = 7000
HEARD = 7946
LOSS = 0.3
LATE_S = 0.2
USUAL_S = 0.003
LIST_TARGET = "/api/targets"
Where = Callable[[int, int], Address]


class Agent(Discovery):
    """Discovery's agent on one dispatcher's machine."""

    def __init__(
        self,
        number: int,
        rows: list[dict[str, Any]],
        drains: dict[tuple[int, str], float],
        now: Callable[[], float],
    ) -> None:
        """`drains`: is told when a drain was written to this dispatcher, by its number and the host's id."""
        super().__init__(*rows)
        self.number = number
        self.mode = ""
        self.drains = drains
        self.now = now
        self.calls: list[float] = []
        self.old = list(rows)
        self.news = trio.Event()
        self.written_drains: dict[str, list[float]] = {}
        """When a host's drain was written to the dispatcher, each time, by the host's id."""
        self.complete = {1}
        """Versions that are complete lists."""

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
            rows = [] if self.mode == "empty" else self.old
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
                orjson.dumps({"version": version, "full": version in self.complete, "servers": rows})
                for version, rows in changes
            ]
            index = self.version
            await connection.data(b"\n".join([*lines, b""]) if lines else b"\n")
            for _, rows in changes:
                self._note_written(rows)
            with trio.move_on_after(2.0):
                await self.news.wait()

    def _note_written(self, rows: list[dict[str, Any]]) -> None:
        for row in rows:
            if row["state"] != "active":
                self.written_drains.setdefault(str(row["id"]), []).append(self.now())

    def begin_at(self, version: int) -> None:
        """The list is the one that another agent of the same discovery has at this version."""
        (rows,) = [rows for _, rows in self.changes]
        self.version = version
        self.changes = [(version, rows)]
        self.complete = {version}

    def publish(self, *rows: dict[str, Any]) -> None:
        """Counts as told now, whether or not the dispatcher reads: the agent writes at once."""
        super().publish(*rows)
        self.news.set()
        self.news = trio.Event()
        for row in rows if not self.mode else ():
            if row["state"] != "active":
                self.drains.setdefault((self.number, str(row["id"])), self.now())

    def publish_complete_list(self, rows: list[dict[str, Any]]) -> None:
        """Sends the complete list once more."""
        self.complete.add(self.version + 1)
        self.publish(*rows)


class Relay:
    """The network between dispatchers: one socket for each, which the others know as its address.

    What a dispatcher sends to its own goes to all others, what it sends to another's goes to that one.
    """

    def __init__(self, size: int, seed: int, address: Where, nursery: trio.Nursery) -> None:
        self.size = size
        self.seed = seed
        self.address = address
        self.nursery = nursery
        self.how: dict[int, str] = {}
        self.sockets: list[trio.socket.SocketType] = []
        self.saw: Callable[[int, bytes], None] = lambda by, data: None
        self.numbers = {address(n, HEARD): n for n in range(size)}

    async def open(self) -> None:
        for n in range(self.size):
            sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
            await sock.bind(self.address(n, SAID))
            self.sockets.append(sock)

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()

    async def run(self, number: int) -> None:
        sock = self.sockets[number]
        luck = random.Random(self.seed * 1000 + number)
        while True:
            try:
                data, sender = await sock.recvfrom(2048)
            except OSError:
                continue
            except trio.ClosedResourceError:
                return
            by = self.numbers.get(sender)
            if by is None:
                continue
            self.saw(by, data)
            mine = self.how.get(by, "")
            to = []
            for other in range(self.size) if by == number else [number]:
                theirs = self.how.get(other, "")
                lost = mine in ("cut", "dumb") or theirs in ("cut", "deaf")
                if other != by and not lost and not ("loss" in (mine, theirs) and luck.random() < LOSS):
                    to += [other] * (1 + (mine == "twice"))
            late = LATE_S if mine == "late" else USUAL_S
            self.nursery.start_soon(self._carry, self.sockets[by], data, to, late)

    async def _carry(self, sock: trio.socket.SocketType, data: bytes, to: list[int], late: float) -> None:
        await trio.sleep(late)
        for number in to:
            try:
                await sock.sendto(data, self.address(number, HEARD))
            except (OSError, trio.ClosedResourceError):
                continue
