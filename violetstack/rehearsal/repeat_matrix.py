"""Plays lost answers and repeated requests through real dispatcher processes.

The hosts know repeats by the keys that they get. Checked is that no order runs twice although each host keeps
to what the settings say of its group and window, that no two requests are taken for one, and that each
request and each retry of a client gets its final answer.
"""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import trio

from violetstack.config import Address
from violetstack.rehearsal.chat_event_cells import Front, HostApi
from violetstack.rehearsal.clients import Answer, chat_body, chat_headers, connect, platform_headers
from violetstack.rehearsal.fleet.two_front_process import (
    API_KEY,
    OTHER_TENANT_API_KEY,
    SECOND_API_KEY,
    TwoFrontProcess,
    model_of,
    two_front_process,
)
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.repeat_cells import (
    AT_HOST,
    BY_CONNECTION,
    CLIENT_SENDERS,
    GIVE_UP_S,
    SETTINGS,
    WINDOW_S,
    Cell,
    Effect,
    Loss,
    Pair,
    Sender,
    client_cells,
    core_cells,
)
from violetstack.rehearsal.repeat_hosts import KnownKeys, Order, Place, RepeatHost, ResettingHost

PATIENCE_S = 9.0
ARRIVAL_S = 0.1
"""Between the send of an attempt and its arrival at the host."""
BATCH_SIZE = 12
START_INTERVAL_S = 0.02
PAUSE_BETWEEN_BATCHES_S = 0.3
MAX_ROUNDS = 20
FAULTY_HOSTS = 6
"""Of each kind: a host that has failed is avoided for a while."""
REJECTED = (429, 503)
KEY_REUSED = 422
LEASE = "1s"
LEASE_EXPIRED_S = 2.5


PLACES = (Place("z1", 0), Place("z1", 0), Place("z1", 1), Place("z2", 2))


@dataclass
class RepeatResult:
    """The orders of all cells, and the rows of attempts in the dispatchers' log by outcome."""

    orders: list[Order] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)

    @property
    def broken(self) -> list[str]:
        """One line for each violation."""
        return [f"{order.cell.name}: {text}" for order in self.orders for text in violations(order)]

    def describe(self) -> str:
        """Returns the number of broken cells by front, class and API, and the totals."""
        broken = Counter(
            f"{order.cell.front.value} front, {order.cell.effect.value}, {order.cell.host_api.value}"
            for order in self.orders
            if any(violations(order))
        )
        lines = [f"{count:4} {name}" for name, count in sorted(broken.items())]
        outcomes = ", ".join(f"{count} {status}" for status, count in sorted(self.attempts.items()))
        return "\n".join([*lines, f"{broken.total()} of {len(self.orders)} broken; attempts: {outcomes}"])


def violations(order: Order) -> Iterator[str]:
    """Yields what was owed for an order and not done."""
    effect = order.cell.effect
    if not order.attempts:
        is_reused = order.pair is Pair.CLASSES and order.status == KEY_REUSED
        if not is_reused and not (order.cell.loss in BY_CONNECTION and order.status):
            yield f"no host got the request, which is answered with {order.status}"
        return
    if effect is not Effect.REPEATABLE and order.runs != 1:
        yield f"ran {order.runs} times in {len(order.attempts)} attempts"
    if effect.is_keyed and not frozenset.intersection(*(attempt.keys for attempt in order.attempts)):
        yield "a host that knows repeats cannot know each attempt"
    if effect.is_keyed and order.attempts[-1].at_s > order.attempts[0].at_s + WINDOW_S + ARRIVAL_S:
        yield "sent again after the window"
    if order.first is None:
        yield "no final answer"
    yield from _second_answer_violations(order)


def _second_answer_violations(order: Order) -> Iterator[str]:
    sender = order.cell.sender
    if sender is Sender.CORE:
        return
    if order.second is None:
        yield "no final answer when sent again"
        return
    status = order.second.status
    expected = {
        Sender.SAME_KEY_PENDING: (409,),
        Sender.SAME_KEY_AFTER_ANSWER: (200,),
        Sender.OTHER_BODY: (422,),
        Sender.NO_KEY: (400,),
    }.get(sender, (200, 409, 502, 503))
    if status not in expected:
        yield f"status {status} when sent again"
    if sender is Sender.SAME_KEY_AFTER_ANSWER and order.first and order.second.text != order.first.text:
        yield "another answer when sent again"


@asynccontextmanager
async def _process(hosts: list[ModelHost], folder: Path, number: int = 0) -> AsyncIterator[TwoFrontProcess]:
    async with two_front_process(
        *hosts, folder=folder, settings=SETTINGS, lease=LEASE, number=number
    ) as process:
        yield process


Play = Callable[[TwoFrontProcess, Order], Awaitable[None]]
"""Plays a part of one order."""


class RepeatMatrix:
    """Plays cells of hosts with one API."""

    def __init__(self, host_api: HostApi) -> None:
        self._host_api = host_api
        self._orders: dict[int, Order] = {}
        self._known = KnownKeys()
        self._attempts: Counter[str] = Counter()

    def add(self, cell: Cell, **identity: Any) -> Order:
        """Adds an order of a cell; `identity` is what differs from the usual client."""
        number = len(self._orders)
        order = Order(cell, number, **{"key": f"order-{number}", **identity})
        order.lossy = order.lossy and cell.sender not in (Sender.SAME_KEY_AFTER_ANSWER, Sender.OTHER_BODY)
        self._orders[number] = order
        return order

    def hosts(self) -> list[ModelHost]:
        """Returns hosts of two zones and three cells, and a prefill host where the API has one."""
        is_openai = self._host_api is HostApi.OPENAI
        kind = "openai" if is_openai else "decode"
        serving = [
            RepeatHost(f"w{n}", kind, place, self._orders, self._known) for n, place in enumerate(PLACES)
        ]
        return [*serving, *([] if is_openai else [ModelHost("r", "prefill")])]

    @property
    def result(self) -> RepeatResult:
        """What was played so far."""
        return RepeatResult(list(self._orders.values()), self._attempts)

    # --- runs ---

    async def play(self, cells: Iterable[Cell], folder: Path) -> None:
        """Plays cells whose client stays with one process."""
        orders = [self.add(cell) for cell in cells]
        async with _process(self.hosts(), folder) as process:
            await self._play_batches(process, orders)
            self._count_attempts(process)

    async def play_connections(self, cells: Iterable[Cell], folder: Path) -> None:
        """Plays cells beside a host that refuses connections and one that resets them."""
        orders = [self.add(cell) for cell in cells]
        for order in orders:
            order.lossy = False
        kind = "openai" if self._host_api is HostApi.OPENAI else "decode"
        dead_hosts = [ModelHost(f"dead{n}", kind) for n in range(FAULTY_HOSTS)]
        resetting_hosts = [ResettingHost(f"resetting{n}", kind) for n in range(FAULTY_HOSTS)]
        async with _process([*self.hosts(), *resetting_hosts, *dead_hosts], folder) as process:
            for host in dead_hosts:
                host.die()
            await self._play_batches(process, orders)
            self._count_attempts(process)

    async def play_unlisted(self, cells: Iterable[Cell], folder: Path) -> None:
        """Plays cells whose host leaves the list while it hangs, and then resets its connections."""
        hosts = self.hosts()
        async with _process(hosts, folder) as process:
            for cell in cells:
                order = self.add(cell)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_play_order, process, order)
                    with trio.move_on_after(PATIENCE_S):
                        await order.lost.wait()
                        host = next(host for host in hosts if host.name == order.attempts[0].host)
                        process.dispatcher.agent.publish(host.row("left"))
                        await trio.sleep(0.1)
                        host.hang_up()
                process.dispatcher.agent.publish(host.row())
                await trio.sleep(PAUSE_BETWEEN_BATCHES_S)
            self._count_attempts(process)

    async def play_restart(self, cells: Iterable[Cell], folder: Path) -> None:
        """Plays cells whose client sends again after a restart of the dispatcher."""
        orders = [self.add(cell) for cell in cells]
        hosts = self.hosts()
        async with _process(hosts, folder) as process:
            await self._play_rounds(process, orders, _play_first)
            self._count_attempts(process)
        await trio.sleep(LEASE_EXPIRED_S)
        async with _process(self.hosts(), folder, number=1) as process:
            await _play_all(process, orders, _play_second)
            self._count_attempts(process)

    async def play_peer(self, cells: Iterable[Cell], folder: Path) -> None:
        """Plays cells whose dispatcher is killed while a host hangs; the client goes to a peer."""
        orders = [self.add(cell) for cell in cells]
        async with _process(self.hosts(), folder) as first, _process(self.hosts(), folder, number=1) as peer:
            async with trio.open_nursery() as nursery:
                for order in orders:
                    nursery.start_soon(_play_first, first, order)
                with trio.move_on_after(GIVE_UP_S / 2):
                    for order in orders:
                        await order.lost.wait()
                first.dispatcher.program.end()
            for order in orders:
                order.first = order.first or Answer()
            await _play_all(peer, orders, _play_second)
            await trio.sleep(LEASE_EXPIRED_S)
            await _play_all(peer, orders, _play_second)
            self._count_attempts(peer)

    async def play_pairs(self, folder: Path) -> None:
        """Plays pairs of requests that write the same key and are not one request."""
        pairs = [self._pair(front, effect, pair) for front, effect, pair in self._pair_cells()]
        async with _process(self.hosts(), folder) as process:
            for place in range(2):
                await self._play_rounds(process, [pair[place] for pair in pairs], _play_first)
            self._count_attempts(process)

    def _pair_cells(self) -> Iterator[tuple[Front, Effect, Pair]]:
        for effect in (Effect.KEYED_ALL, Effect.KEYED_ZONE, Effect.KEYED_CELL, Effect.ONCE):
            for pair in Pair:
                yield Front.CHAT, effect, pair
            # Hosts of the platform get the header of the platform's clients unchanged.
            if self._host_api is HostApi.OPENAI:
                yield Front.PLATFORM, effect, Pair.TENANTS
                yield Front.PLATFORM, effect, Pair.CLASSES

    def _pair(self, front: Front, effect: Effect, pair: Pair) -> tuple[Order, Order]:
        key = f"pair-{len(self._orders)}"
        other_effect = effect
        identity = {"api_key": API_KEY, "owner": "acme"}
        match pair:
            case Pair.TENANTS:
                identity = {"api_key": OTHER_TENANT_API_KEY, "owner": "branch"}
            case Pair.API_KEYS:
                identity = {"api_key": SECOND_API_KEY, "owner": "acme"}
            case Pair.CLASSES:
                other_effect = Effect.KEYED_ALL if effect is not Effect.KEYED_ALL else Effect.KEYED_ZONE
        common = {"key": key, "lossy": False, "pair": pair}
        first = self.add(Cell(front, effect, self._host_api), **common)
        second = self.add(Cell(front, other_effect, self._host_api), **common, **identity)
        return first, second

    # --- parts of a run ---

    async def _play_batches(self, process: TwoFrontProcess, orders: list[Order]) -> None:
        for start in range(0, len(orders), BATCH_SIZE):
            await self._play_rounds(process, orders[start : start + BATCH_SIZE], _play_order)
            await trio.sleep(PAUSE_BETWEEN_BATCHES_S)

    async def _play_rounds(self, process: TwoFrontProcess, orders: list[Order], play: Play) -> None:
        """Plays orders at the same time; one that has reached no host is sent again."""
        unplayed = orders
        for _ in range(MAX_ROUNDS):
            await _play_all(process, unplayed, play)
            unplayed = [order for order in unplayed if not order.attempts and order.status in REJECTED]
            if not unplayed:
                return
            await trio.sleep(1.0)

    def _count_attempts(self, process: TwoFrontProcess) -> None:
        for line in process.dispatcher.program.events():
            for attempt in line.get("attempts", ()) if line["event"] == "request" else ():
                self._attempts[attempt[1]] += 1


async def _play_all(process: TwoFrontProcess, orders: list[Order], play: Play) -> None:
    async with trio.open_nursery() as nursery:
        for order in orders:
            nursery.start_soon(play, process, order)
            await trio.sleep(START_INTERVAL_S)


async def _play_order(process: TwoFrontProcess, order: Order) -> None:
    if order.cell.sender is Sender.SAME_KEY_PENDING:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_play_first, process, order)
            with trio.move_on_after(GIVE_UP_S):
                await order.lost.wait()
                await _play_second(process, order)
        return
    await _play_first(process, order)
    if order.cell.sender is Sender.CORE or not order.attempts:
        return
    if order.cell.sender is Sender.SAME_KEY_AFTER_WINDOW:
        await trio.sleep(WINDOW_S)
    await _play_second(process, order)


async def _play_first(process: TwoFrontProcess, order: Order) -> None:
    order.first = await _ask(process, order, order.key, str(order.number))


async def _play_second(process: TwoFrontProcess, order: Order) -> None:
    if order.cell.sender is not Sender.SAME_KEY_PENDING:
        order.lossy = False
    key = order.key
    text = str(order.number)
    match order.cell.sender:
        case Sender.OTHER_KEY:
            key = f"{key}-again"
        case Sender.NO_KEY:
            key = ""
        case Sender.OTHER_BODY:
            text = f"{text} "
    order.second = await _ask(process, order, key, text)


async def _ask(process: TwoFrontProcess, order: Order, key: str, text: str) -> Answer | None:
    cell = order.cell
    if cell.front is Front.CHAT:
        headers = chat_headers(key, order.api_key)
        body = chat_body(model_of(cell.effect.value), text)
        return await _exchange(process.chat, headers, body)
    order.sends += 1
    request_id = f"p{order.number}-{order.sends}"
    headers = platform_headers(request_id, cell.effect.value, Req_Owner=order.owner, Idempotency_Key=key)
    headers = [(name, value) for name, value in headers if name != "Req-Deadline"]
    return await _exchange(process.platform, headers, chat_body("chat", text))


async def _exchange(address: Address, headers: list[tuple[str, str]], body: bytes) -> Answer | None:
    """Sends a request; returns its answer or the broken part of it, or None if none has come in time."""
    with trio.move_on_after(PATIENCE_S):
        try:
            call = await connect(address)
        except OSError:
            return Answer()
        async with call.stream:
            await call.send("POST", "/v1/chat/completions", headers, body)
            return await call.receive()
    return None


def play_core_retries(host_api: HostApi, cells: Iterable[Cell]) -> RepeatResult:
    """Plays cells whose client stays with one process."""
    return _run(host_api, lambda matrix, folder: matrix.play(cells, folder))


def play_same_key_pairs(host_api: HostApi) -> RepeatResult:
    """Plays pairs of requests that write the same key and are not one request."""
    return _run(host_api, lambda matrix, folder: matrix.play_pairs(folder))


def play_all_repeats(host_api: HostApi) -> RepeatResult:
    """Plays every cell of hosts with one API."""

    async def play(matrix: RepeatMatrix, folder: Path) -> None:
        await matrix.play([*core_cells(host_api, AT_HOST), *client_cells(host_api, CLIENT_SENDERS)], folder)
        await matrix.play_connections(core_cells(host_api, BY_CONNECTION), folder)
        if host_api is HostApi.PLATFORM:
            await matrix.play_unlisted(core_cells(host_api, (Loss.UNLISTED,)), folder)
        await matrix.play_restart(client_cells(host_api, (Sender.SAME_KEY_AFTER_RESTART,)), folder)
        await matrix.play_peer(client_cells(host_api, (Sender.SAME_KEY_AT_PEER,)), folder)
        await matrix.play_pairs(folder)

    return _run(host_api, play)


PlayMatrix = Callable[[RepeatMatrix, Path], Awaitable[None]]
"""Plays some cells; the folder is for the dispatchers' records."""


def _run(host_api: HostApi, play: PlayMatrix) -> RepeatResult:
    matrix = RepeatMatrix(host_api)
    with tempfile.TemporaryDirectory() as folder:
        trio.run(partial(play, matrix, Path(folder)))
    return matrix.result
