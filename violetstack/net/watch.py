"""Discovery's watch: one connection that stays open, and is opened again from its index when it ends."""

from __future__ import annotations

from collections.abc import Callable

import trio

from violetstack.config import Address
from violetstack.log import log
from violetstack.protocol.discovery import BadList, LineSplitter, ListReader, Targets
from violetstack.protocol.host_side import Body, Broken, End, Head, HostSide

SILENT_S = 6.0  # an empty line comes every 2 s; a watch silent for three of them is opened anew
AGAIN_S = 0.25


class Watch:
    def __init__(
        self, at: Address, reader: ListReader, version: int, told: Callable[[Targets], None]
    ) -> None:
        self._at, self._reader, self._told = at, reader, told
        self.version = version

    async def run(self) -> None:
        while True:
            try:
                await self._once()
            except (OSError, Broken, trio.BrokenResourceError, trio.TooSlowError, BadList) as error:
                log("watch_ended", index=self.version, error=repr(error))
            await trio.sleep(AGAIN_S)

    async def _once(self) -> None:
        with trio.fail_after(2.0):
            stream = await trio.open_tcp_stream(*self._at)
        async with stream:
            http, lines = HostSide(), LineSplitter()
            host = f"{self._at[0]}:{self._at[1]}"
            target = f"/api/targets?stream=1&index={self.version}"
            for part in http.request("GET", target, [("Host", host)]):
                await stream.send_all(part)
            while True:
                with trio.fail_after(SILENT_S):
                    data = await stream.receive_some(64 * 1024)
                for event in http.feed(bytes(data)):
                    if isinstance(event, Head) and event.status != 200:
                        raise Broken(f"status {event.status}")
                    if isinstance(event, Body):
                        for line in lines.feed(event.data):
                            if line:
                                self._line(line)
                    if isinstance(event, End):
                        return

    def _line(self, line: bytes) -> None:
        targets = self._reader.read(line)
        self.version = targets.news.version
        self._told(targets)
