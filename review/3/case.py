"""SIGTERM while a few clients have sent many requests at once: the process stands still for seconds."""

from __future__ import annotations

import asyncio
import copy
import os
import signal
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
    Answer,
    CaseError,
    Dispatcher,
    ModelHost,
    Record,
    ask,
    request_bytes,
    run_case,
    start_pipelining,
)

DEADLINE_MS = 1000
LATE_S = 0.5 + 0.05  # an answer up to this long after its time only earns nothing
PIPELINING_CLIENTS = 20
REQUESTS_AT_ONCE = 1000
PIPELINING_AT_S = 2.0
PIPELINING_STAY_S = 9.0
SIGTERM_AT_S = 3.0
NEW_CONNECTIONS_UNTIL_S = 0.3  # after SIGTERM; the page: for 0.2 to 0.4 s
SIGKILL_S = 6.0  # after SIGTERM; the page: no sooner than the longest deadline and 0.7 s
INTERVAL_S = 0.05
RESTART = os.environ.get("RESTART", "1") != "0"
"""RESTART=0 leaves SIGTERM out, to see what the pipelining clients do by themselves."""


class Request:
    """One request of an ordinary client, on a connection of its own."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sent_at = time.monotonic()
        self.answer = Answer()

    async def run(self, address: str, record: Record) -> None:
        """Sends it and reads its answer."""
        self.answer = await ask(address, request_bytes(self.name, "ask", DEADLINE_MS), 30.0)
        record(f"client: {self.name} was answered {self.answer} after {self.answered_s:.2f} s")

    @property
    def answered_s(self) -> float:
        """How long after its sending the answer or the connection ended."""
        return self.answer.closed_at - self.sent_at

    @property
    def verdict(self) -> str:
        """Why the request is lost; empty if it is not, or was never taken."""
        if not self.answer.taken:
            return ""
        if self.answer.status == 200:
            return "" if self.answer.whole else "its stream was cut"
        if self.answered_s <= DEADLINE_MS / 1000.0 + LATE_S:
            return ""  # answered in time, or its connection was closed unread: its client sends it once more
        return "its answer came too late" if self.answer.status else "it had no answer when its time was over"


async def case(folder: Path, record: Record) -> int:
    """Starts all parts, plays and ends the processes."""
    kinds = ("prefill", "prefill", "decode", "decode")
    hosts = [ModelHost(f"s-{n:08x}", kind, record) for n, kind in enumerate(kinds)]
    for host in hosts:
        host.events = 8
        await host.start()
    agent = Agent(record, *[host.row() for host in hosts])
    await agent.start()
    settings = copy.deepcopy(SETTINGS)
    for class_settings in settings["classes"]:
        class_settings["aim"] = 500.0
        class_settings["give_up"] = float(DEADLINE_MS)
    dispatcher = Dispatcher(folder, record)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    dispatcher.write_config(agent.address, agent.full(), settings, limits)
    try:
        await dispatcher.start()
        return await play(dispatcher, record)
    finally:
        await dispatcher.end()


async def play(dispatcher: Dispatcher, record: Record) -> int:
    """Sends ordinary requests until shortly after SIGTERM, and judges their answers."""
    others: asyncio.subprocess.Process | None = None
    began = time.monotonic()
    requests: list[Request] = []
    tasks: list[asyncio.Task[None]] = []
    terminated_at = began + SIGTERM_AT_S
    signalled = False
    while time.monotonic() < terminated_at + NEW_CONNECTIONS_UNTIL_S:
        if TROUBLE and others is None and time.monotonic() >= began + PIPELINING_AT_S:
            others = await start_pipelining(
                dispatcher,
                clients=PIPELINING_CLIENTS,
                requests=REQUESTS_AT_ONCE,
                spread_s=0.0,
                stay_s=PIPELINING_STAY_S,
                deadline_ms=DEADLINE_MS,
            )
        if time.monotonic() >= terminated_at and not signalled:
            if RESTART:
                record("SIGTERM")
                dispatcher.send_signal(signal.SIGTERM)
            signalled = True
        request = Request(f"q{len(requests):04d}")
        requests.append(request)
        tasks.append(asyncio.create_task(request.run(dispatcher.listen, record)))
        await asyncio.sleep(INTERVAL_S)
    assert dispatcher.process is not None
    try:
        await asyncio.wait_for(dispatcher.process.wait(), terminated_at + SIGKILL_S - time.monotonic())
        record(f"the dispatcher has ended {time.monotonic() - terminated_at:.2f} s after SIGTERM")
    except TimeoutError:
        record("SIGKILL")
    await dispatcher.end()
    await asyncio.wait(tasks)
    if others is not None:
        output, _ = await others.communicate()
        record(output.decode().strip())
    served = sum(request.answer.status == 200 for request in requests)
    lost = [request for request in requests if request.verdict]
    for request in lost:
        before = terminated_at - request.sent_at
        record(f"lost: {request.name}, sent {-before:+.2f} s after SIGTERM: {request.verdict}")
    slowest = max(request.answered_s for request in requests)
    text = f"{len(lost)} of {len(requests)} requests lost, {served} served, the slowest took {slowest:.2f} s"
    record(text)
    print(text)
    if not served:
        raise CaseError("no request was served")
    return BROKEN if lost else HELD


run_case(__file__, case)
