"""A model host that writes its events in pieces runs eight times slower: the streams from there are cut."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    DONE_EVENT,
    HELD,
    SETTINGS,
    TROUBLE,
    Agent,
    CaseError,
    Dispatcher,
    Exchange,
    ModelHost,
    Record,
    ask,
    chunk,
    request_bytes,
    run_case,
    token_event,
    usage_event,
)

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
SLOWER = 8.0  # BRIEF: 3.5 to 8.4 times slower
SLOW_AT_S = 6.0
SLOW_S = 12.0  # BRIEF: for 11 to 32 s
READERS = 2
WRITERS = 3  # one of five hosts is slow; BRIEF: up to 20% of the model hosts
TOKEN_S = 0.08  # BRIEF: a token of class `orden` every 80 ms on average
EVENT_TOKENS = 4  # PROTOCOL: events follow every few tokens
EVENTS = 10
TRAFFIC_END_S = 7.0
INTERVAL_S = 0.1
DEADLINE_MS = 10_000


class Writer(ModelHost):
    """A decode host that writes each event token by token, as it makes them."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, "decode", record)
        self.slower = 1.0
        self.pieces_of: dict[str, list[float]] = {}
        """When the pieces of a stream were written, by request."""
        self.longest_gap_s = 0.0
        """The longest time between two events of a stream."""

    async def serve(self, exchange: Exchange) -> None:
        """Writes an answer, until its end or until the connection is closed."""
        try:
            await self._write(exchange)
        except OSError:
            self._record(f"{self.name}: the dispatcher has closed the connection of {exchange.id}")
            raise
        self._record(f"{self.name} has written the stream of {exchange.id} to its end")

    async def _write(self, exchange: Exchange) -> None:
        await asyncio.sleep(TOKEN_S * self.slower)
        await exchange.head()
        event_at = time.monotonic()
        for n in range(EVENTS):
            event = token_event("word" * EVENT_TOKENS, last=n == EVENTS - 1)
            size = -(-len(event) // EVENT_TOKENS)
            for at in range(0, len(event), size):
                if n or at:
                    await asyncio.sleep(TOKEN_S * self.slower)
                await exchange.send(chunk(event[at : at + size]))
                self.pieces_of.setdefault(exchange.id, []).append(time.monotonic())
                self._record(f"{self.name} writes event {n}, from byte {at}, for {exchange.id}")
            self.longest_gap_s = max(self.longest_gap_s, time.monotonic() - event_at)
            event_at = time.monotonic()
        await exchange.send(chunk(usage_event()) + chunk(DONE_EVENT) + b"0\r\n\r\n")


async def case(folder: Path, record: Record) -> int:
    """Starts all parts, plays and ends the processes."""
    readers = [ModelHost(f"s-{n:08x}", "prefill", record) for n in range(READERS)]
    writers = [Writer(f"t-{n:08x}", record) for n in range(WRITERS)]
    for host in [*readers, *writers]:
        await host.start()
    agent = Agent(record, *[host.row() for host in [*readers, *writers]])
    await agent.start()
    dispatcher = Dispatcher(folder, record)
    dispatcher.write_config(agent.address, agent.full(), SETTINGS, LIMITS)
    try:
        await dispatcher.start()
        return await play(dispatcher, writers, record)
    finally:
        await dispatcher.end()


async def play(dispatcher: Dispatcher, writers: list[Writer], record: Record) -> int:
    """Sends requests, has one host run slower for a while, and judges the streams of all hosts."""
    began = time.monotonic()
    requests: dict[str, asyncio.Task[object]] = {}
    slow = writers[0]

    async def run_slower() -> None:
        await asyncio.sleep(SLOW_AT_S)
        slow.slower = SLOWER
        record(f"host {slow.name} runs {SLOWER:g} times slower")
        await asyncio.sleep(SLOW_S)
        slow.slower = 1.0
        record(f"host {slow.name} is as fast as before")

    slowing = asyncio.create_task(run_slower()) if TROUBLE else None
    while time.monotonic() < began + TRAFFIC_END_S:
        name = f"q{len(requests):04d}"
        record(f"client: {name} is sent")
        data = request_bytes(name, "order", DEADLINE_MS)
        requests[name] = asyncio.create_task(ask(dispatcher.listen, data, 90.0))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.wait(requests.values())
    if slowing is not None:
        await slowing
    if not dispatcher.running:
        raise CaseError("the dispatcher has ended")
    cut = 0
    streams = 0
    for name, task in requests.items():
        answer = task.result()
        record(f"client: {name} was answered {answer}")
        if answer.status != 200:
            continue
        streams += 1
        if not answer.whole:
            cut += 1
            host = next(host for host in writers if name in host.pieces_of)
            before = [at for at in host.pieces_of[name] if at < answer.closed_at]
            after_s = answer.closed_at - max(before, default=0.0)
            record(f"cut: the stream of {name}, {after_s:.2f} s after {host.name} had written a piece of it")
    gap_s = max(host.longest_gap_s for host in writers)
    text = f"{cut} of {streams} streams were cut; no host was longer than {gap_s:.2f} s from event to event"
    record(text)
    print(text)
    if not streams:
        raise CaseError("no stream was begun")
    return BROKEN if cut else HELD


run_case(__file__, case)
