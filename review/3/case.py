"""One decode host is cut off for 3 s while it streams; streams that were inside an event are cut for good."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    HELD,
    SETTINGS,
    TROUBLE,
    Agent,
    CaseError,
    Clients,
    Dispatcher,
    ModelHost,
    Record,
    loopback,
    run_case,
)

CUT_S = 3.0  # the page: a zone is cut off for 5 or 6 s; a client may wait 5 s for the next event
CUT_AT_S = 4.0
SEND_UNTIL_S = 5.0
EVENTS = 60  # of a stream, one each 50 ms


class Line:
    """The network between the dispatcher and one host. While it is cut, connections stay open and quiet."""

    def __init__(self, host: ModelHost, record: Record) -> None:
        self.address = ""
        self.cut_until = 0.0
        self._host = host
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = loopback(server.sockets[0].getsockname()[1])

    def row(self) -> dict[str, object]:
        """Returns the host's entry, with the address at which this line begins."""
        return {**self._host.row(), "addr": self.address}

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address, _, port = self._host.address.partition(":")
        host_reader, host_writer = await asyncio.open_connection(address, int(port))
        to_host = asyncio.create_task(self._forward(reader, host_writer, from_host=False))
        to_dispatcher = asyncio.create_task(self._forward(host_reader, writer, from_host=True))
        self._tasks |= {to_host, to_dispatcher}
        await asyncio.wait({to_host, to_dispatcher}, return_when=asyncio.FIRST_COMPLETED)
        host_writer.close()
        writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, from_host: bool
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self.cut_until > time.monotonic():
                    # The cut finds this message under way: its first half has passed.
                    passed = len(data) // 2 if from_host else 0
                    writer.write(data[:passed])
                    await asyncio.sleep(self.cut_until - time.monotonic())
                    data = data[passed:]
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


async def case(folder: Path, record: Record) -> int:
    """Starts all parts, plays and ends the dispatcher."""
    prefill_host = ModelHost("s-00000001", "prefill", record)
    decode_hosts = [ModelHost(f"s-0000000{n}", "decode", record) for n in (2, 3)]
    for host in (prefill_host, *decode_hosts):
        host.events = EVENTS
        await host.start()
    lines = [Line(host, record) for host in decode_hosts]
    for line in lines:
        await line.start()
    agent = Agent(record, prefill_host.row(), *[line.row() for line in lines])
    await agent.start()
    dispatcher = Dispatcher(folder, record)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    dispatcher.write_config(agent.address, agent.full(), SETTINGS, limits)
    try:
        await dispatcher.start()
        return await play(dispatcher, record, lines[0], decode_hosts)
    finally:
        await dispatcher.end()


async def play(dispatcher: Dispatcher, record: Record, line: Line, decode_hosts: list[ModelHost]) -> int:
    """Cuts the line once and counts the streams that did not come to their end."""
    began = time.monotonic()
    clients = Clients(record, dispatcher.listen, interval_s=0.2)
    traffic = asyncio.create_task(clients.run(began + SEND_UNTIL_S))
    await asyncio.sleep(CUT_AT_S)
    if TROUBLE:
        record(f"one decode host is cut off for {CUT_S} s")
        line.cut_until = time.monotonic() + CUT_S
        await asyncio.sleep(CUT_S)
        record("it can be reached again; what it sent meanwhile arrives")
    await traffic
    if not dispatcher.running:
        raise CaseError("the dispatcher has ended")
    begun = [len(host.begun) for host in decode_hosts]
    text = f"streams that were cut: {clients.broken}; answers by status: {clients.statuses}; begun: {begun}"
    record(text)
    print(text)
    if not all(begun):
        raise CaseError("a decode host got no request")
    return BROKEN if clients.broken else HELD


run_case(__file__, case)
