"""What cases 1 and 2 share: discovery moves, hosts are told as leaving, and later they end."""

from __future__ import annotations

import asyncio
import signal
import time

from standins import BROKEN, HELD, Agent, CaseError, Clients, Dispatcher, ModelHost, Record

SIGHUP_AT_S = 3.0
OLD_ENDS_AT_S = 8.0  # the move counts 4 s after SIGHUP
DRAIN_AT_S = 9.0
HOSTS_END_AT_S = 23.0  # told 6 s after the change at the latest; then there were 8 s to finish what they had
END_AT_S = 28.0
TOLD_LATEST_S = 6.0  # after discovery has the change and can be reached
GRACE_S = 0.25 + 0.05  # rules.stop_sending_within, and what the rules on sockets add
ROWS_A_CHANGE = 100


async def play(
    dispatcher: Dispatcher,
    record: Record,
    *,
    hosts: list[ModelHost],
    leaving: list[ModelHost],
    old: Agent,
    new: Agent | None,
    request_interval_s: float,
) -> int:
    """Plays the case and judges it; `new` is where discovery moves, None if it stays."""
    began = time.monotonic()

    async def until(at_s: float) -> None:
        await asyncio.sleep(began + at_s - time.monotonic())

    clients = Clients(record, dispatcher.listen, request_interval_s)
    traffic = asyncio.create_task(clients.run(began + END_AT_S))
    await until(SIGHUP_AT_S)
    if new is not None:
        dispatcher.move_discovery(new.address)
        record("the new configuration names another discovery; SIGHUP")
        dispatcher.send_signal(signal.SIGHUP)
        await until(OLD_ENDS_AT_S)
        await old.stop()
        record("the old discovery has ended")
    await until(DRAIN_AT_S)
    discovery = new or old
    publish(discovery, leaving, "leaving")
    binding_from = time.monotonic() + TOLD_LATEST_S + GRACE_S
    await until(HOSTS_END_AT_S)
    for host in leaving:
        await host.stop()
    record("the leaving hosts have ended")
    publish(discovery, leaving, "left")
    await traffic
    if not dispatcher.running:
        raise CaseError("the dispatcher has ended")
    return judge(record, clients, hosts, leaving, binding_from)


def publish(discovery: Agent, hosts: list[ModelHost], state: str) -> None:
    """Has discovery tell the state of these hosts."""
    for first in range(0, len(hosts), ROWS_A_CHANGE):
        discovery.publish(*[host.row(state) for host in hosts[first : first + ROWS_A_CHANGE]])


def judge(
    record: Record, clients: Clients, hosts: list[ModelHost], leaving: list[ModelHost], binding_from: float
) -> int:
    """Counts requests that arrived at leaving hosts after the grace; one of them breaks the rule."""
    late = sorted((at, host.name) for host in leaving for at, _ in host.begun if at > binding_from)
    begun = [at for host in hosts for at, _ in host.begun if at > binding_from]
    for at, name in late:
        record(f"leaving host {name} got a request {at - binding_from + GRACE_S:.2f} s after it was told")
    for text in (
        f"{len(late)} of {len(begun)} requests went to leaving hosts after the grace",
        f"answers by status: {clients.statuses}; streams that broke: {clients.broken}",
    ):
        record(text)
        print(text)
    if not begun:
        raise CaseError("no host got a request in the time that is judged")
    return BROKEN if late else HELD
