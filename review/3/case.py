"""A discovery that takes 3.5 s to answer each call is never heard: work goes to hosts that drain."""

from __future__ import annotations

import asyncio
import copy
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
    run_case,
)

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
ANSWER_AFTER_S = 3.5  # from a call to its answer
DRAIN_AT_S = 6.0
HOSTS_END_AT_S = 22.0  # told 6 s after the change at the latest; then there were 10 s to finish what they had
END_AT_S = 28.0
TOLD_LATEST_S = 6.0  # after discovery has the change and can be reached
GRACE_S = 0.25 + 0.05  # rules.stop_sending_within, and what the rules on sockets add
INTERVAL_S = 0.05


class Discovery(Agent):
    """Discovery where it has to be asked: calls wait for their turn, then they are answered in full."""

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        """Answers a call, with TROUBLE after the wait."""
        if TROUBLE:
            await asyncio.sleep(ANSWER_AFTER_S)
        self._record(f"discovery answers {target}")
        await super().answer(target, writer)


async def case(folder: Path, record: Record) -> int:
    """Starts all parts, plays and ends the processes."""
    kinds = ("prefill", "prefill", "prefill", "prefill", "decode", "decode", "decode", "decode")
    hosts = [ModelHost(f"s-{n:08x}", kind, record) for n, kind in enumerate(kinds)]
    for host in hosts:
        host.events = 8
        await host.start()
    discovery = Discovery(record, *[host.row() for host in hosts])
    await discovery.start()
    settings = copy.deepcopy(SETTINGS)
    settings["membership_mode"] = "subscribe"
    dispatcher = Dispatcher(folder, record)
    dispatcher.write_config(discovery.address, discovery.full(), settings, LIMITS)
    try:
        await dispatcher.start()
        return await play(dispatcher, discovery, hosts, record)
    finally:
        await dispatcher.end()


async def play(dispatcher: Dispatcher, discovery: Discovery, hosts: list[ModelHost], record: Record) -> int:
    """Has one host of each kind drain and end, and judges what it is sent meanwhile."""
    began = time.monotonic()

    async def until(at_s: float) -> None:
        await asyncio.sleep(began + at_s - time.monotonic())

    leaving = [hosts[0], hosts[4]]
    clients = Clients(record, dispatcher.listen, INTERVAL_S)
    traffic = asyncio.create_task(clients.run(began + END_AT_S))
    await until(DRAIN_AT_S)
    discovery.publish(*[host.row("leaving") for host in leaving])
    binding_from = time.monotonic() + TOLD_LATEST_S + GRACE_S
    await until(HOSTS_END_AT_S)
    for host in leaving:
        await host.stop()
    record("the leaving hosts have ended")
    discovery.publish(*[host.row("left") for host in leaving])
    await traffic
    if not dispatcher.running:
        raise CaseError("the dispatcher has ended")
    return judge(record, clients, hosts, leaving, binding_from)


def judge(
    record: Record, clients: Clients, hosts: list[ModelHost], leaving: list[ModelHost], binding_from: float
) -> int:
    """Counts requests that arrived at leaving hosts after the grace; one of them breaks the rule."""
    late = sorted((at, host.name) for host in leaving for at, _ in host.begun if at > binding_from)
    begun = [at for host in hosts for at, _ in host.begun if at > binding_from]
    for at, name in late:
        after_s = at - binding_from + GRACE_S + TOLD_LATEST_S
        record(f"leaving host {name} got a request {after_s:.2f} s after discovery had its change")
    text = (
        f"{len(late)} of {len(begun)} requests went to leaving hosts after the grace; "
        f"answers by status: {clients.statuses}; streams that broke: {clients.broken}"
    )
    record(text)
    print(text)
    if not begun:
        raise CaseError("no host got a request in the time that is judged")
    return BROKEN if late else HELD


run_case(__file__, case)
