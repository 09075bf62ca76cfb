"""A scripted discovery: a list, and a watch that tells its changes."""

from __future__ import annotations

from typing import Any

import orjson
import trio

from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.peer import Peer, PeerConnection


class Discovery(Peer):
    def __init__(self, *rows: dict[str, Any]) -> None:
        super().__init__()
        self.version = 1
        self.changes: list[tuple[int, list[dict[str, Any]]]] = [(1, list(rows))]
        self.asked: list[str] = []  # the target of each watch
        self._news = trio.Event()

    def tell(self, *rows: dict[str, Any]) -> None:
        self.version += 1
        self.changes.append((self.version, list(rows)))
        self._news.set()
        self._news = trio.Event()

    async def answer_complete_list(self, connection: PeerConnection) -> None:
        """Answers a request that is no watch."""
        told = {row["id"]: row for _, rows in self.changes for row in rows}
        whole = {"version": self.version, "full": True, "servers": list(told.values())}
        await connection.answer(200, [("Content-Type", "application/json")], orjson.dumps(whole))

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        self.asked.append(inbound.target)
        if inbound.target == "/api/targets":
            await self.answer_complete_list(connection)
            return
        index = int(inbound.target.rpartition("index=")[2])
        await connection.start(200, [("Content-Type", "application/json")])
        if index >= self.version:
            await connection.data(b"\n")  # nothing has changed
        while True:
            for version, rows in self.changes:
                if version > index:
                    line = {"version": version, "full": version == 1, "servers": rows}
                    await connection.data(orjson.dumps(line) + b"\n")
                    index = version
            await self._news.wait()
