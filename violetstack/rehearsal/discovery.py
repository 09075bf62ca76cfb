"""A scripted discovery service: an endpoint list and a watch that reports its changes."""

from __future__ import annotations

from typing import Any

import orjson
import trio

from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.peer import Peer, PeerConnection


class Discovery(Peer):
    """Discovery with the given entries as the first version of its list."""

    def __init__(self, *rows: dict[str, Any]) -> None:
        super().__init__()
        self.version = 1
        self.changes: list[tuple[int, list[dict[str, Any]]]] = [(1, list(rows))]
        self.request_targets: list[str] = []  # the target of each request
        self._changed = trio.Event()

    def publish(self, *rows: dict[str, Any]) -> None:
        """Publish changed entries as the next version of the list."""
        self.version += 1
        self.changes.append((self.version, list(rows)))
        self._changed.set()
        self._changed = trio.Event()

    async def answer_complete_list(self, connection: PeerConnection) -> None:
        """Respond with the complete current list, as to a request that is not a watch."""
        entries = {row["id"]: row for _, rows in self.changes for row in rows}
        message = {"version": self.version, "full": True, "servers": list(entries.values())}
        await connection.answer(200, [("Content-Type", "application/json")], orjson.dumps(message))

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        self.request_targets.append(inbound.target)
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
            await self._changed.wait()
