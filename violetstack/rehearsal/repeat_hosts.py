"""Model hosts that lose answers, and that know repeats of a request by its key."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import NamedTuple

import orjson
import trio

from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.chat_event_cells import DONE, STOP, delta_event
from violetstack.rehearsal.clients import Answer
from violetstack.rehearsal.fleet.freeze_gate import reset_connection
from violetstack.rehearsal.hosts import EVENTS, ModelHost
from violetstack.rehearsal.peer import Break, PeerConnection
from violetstack.rehearsal.repeat_cells import WINDOW_S, Cell, Effect, Loss, Pair

KEY_HEADERS = ("idempotency-key", "req-id")
BOOKED = delta_event(content="booked")


@dataclass
class ReceivedAttempt:
    """An attempt that a host has received completely; `at_s` is on the monotonic clock."""

    at_s: float
    host: str
    keys: frozenset[str]


@dataclass
class Order:
    """One request of a cell, and what became of it.

    Attributes:
        cell: The cell.
        number: Names the request in its messages.
        key: The `Idempotency-Key` of its client.
        api_key: The API key of its client, on the chat front.
        owner: Its tenant, on the platform front.
        sends: How often its client has sent it on the platform front, each time with a new id.
        attempts: The attempts that hosts have received.
        runs: How often a host has run it.
        pair: What it differs in from another request that writes the same key; None without such a request.
        lossy: Whether the answer to the next attempt is lost.
        lost: Set once an answer was lost.
        first: What the client got; None for no final answer in time.
        second: What it got when it sent again.
    """

    cell: Cell
    number: int
    key: str
    api_key: str = "kiosk-key"
    owner: str = "acme"
    pair: Pair | None = None
    sends: int = 0
    attempts: list[ReceivedAttempt] = field(default_factory=list)
    runs: int = 0
    lossy: bool = True
    lost: trio.Event = field(default_factory=trio.Event)
    first: Answer | None = None
    second: Answer | None = None

    @property
    def status(self) -> int:
        """The status that the client got first; 0 for none."""
        return self.first.status if self.first is not None else 0


class KnownKeys:
    """The keys that groups of hosts know, each for the window from its first attempt."""

    def __init__(self) -> None:
        self._first_seen_s: dict[tuple[str, str], float] = {}

    def is_repeat(self, group: str, keys: frozenset[str], now_s: float) -> bool:
        """Returns whether the group knows one of the keys; it knows all of them from now on."""
        seen_at = [self._first_seen_s.get((group, key), -WINDOW_S) for key in keys]
        is_repeat = any(now_s < at_s + WINDOW_S for at_s in seen_at)
        if not is_repeat:
            self._first_seen_s.update({(group, key): now_s for key in keys})
        return is_repeat


class Place(NamedTuple):
    """Where a host stands."""

    zone: str
    cell: int


class RepeatHost(ModelHost):
    """Runs an order unless its group knows its key, and loses answers as the order's cell says."""

    def __init__(
        self, name: str, kind: str, place: Place, orders: dict[int, Order], known: KnownKeys
    ) -> None:
        super().__init__(name, kind, cell=place.cell)
        self._orders = orders
        self._known = known
        self._zone = place.zone

    def row(self, state: str = "active") -> dict[str, object]:
        """Returns the host's entry in the endpoint list of discovery."""
        return {**super().row(state), "zone": self._zone}

    def _group(self, effect: Effect) -> str:
        """Returns the group of hosts that know repeats; nothing tells that hosts of the file share any."""
        match effect:
            case Effect.KEYED_ALL:
                return "all"
            case Effect.KEYED_ZONE if self.kind != "openai":
                return f"zone {self._zone}"
            case Effect.KEYED_CELL if self.kind != "openai":
                return f"cell {self.cell}"
            case _:
                return self.name

    async def play(self, act: object, inbound: HttpRequest, connection: PeerConnection) -> None:
        """Runs one order, unless it is a repeat, and answers it or loses the answer."""
        order = self._orders[int(orjson.loads(inbound.body)["messages"][-1]["content"])]
        keys = frozenset(inbound.headers[name] for name in KEY_HEADERS if name in inbound.headers)
        now_s = time.monotonic()
        order.attempts.append(ReceivedAttempt(now_s, self.name, keys))
        effect = order.cell.effect
        if not (effect.is_keyed and self._known.is_repeat(self._group(effect), keys, now_s)):
            order.runs += 1
        if order.lossy:
            order.lossy = order.cell.loses_all_attempts
            order.lost.set()
            await self._lose(order, connection)
        await connection.start(200, EVENTS)
        for event in (BOOKED, STOP, DONE):
            await connection.data(event)
        await connection.end()

    async def _lose(self, order: Order, connection: PeerConnection) -> None:
        match order.cell.loss:
            case Loss.NO_HEAD:
                await self._reset(connection)
            case Loss.PART_OF_HEAD:
                await connection.raw(b"HTTP/1.1 200 O")
            case Loss.SERVER_ERROR:
                await connection.answer(500, [], b"{}")
            case Loss.NO_EVENT:
                await connection.start(200, EVENTS)
            case Loss.AFTER_EVENTS:
                await connection.start(200, EVENTS)
                await connection.data(BOOKED)
            case Loss.HANGS | Loss.UNLISTED:
                await connection.until_closed()
            case _:
                pass  # lost before the request has arrived
        raise Break

    @staticmethod
    async def _reset(connection: PeerConnection) -> None:
        assert isinstance(connection.stream, trio.SocketStream)
        reset_connection(connection.stream.socket)


class ResettingHost(ModelHost):
    """Resets each connection at the first bytes of a request."""

    async def _requests(self, connection: PeerConnection) -> None:
        await connection.stream.receive_some(1)
        assert isinstance(connection.stream, trio.SocketStream)
        reset_connection(connection.stream.socket)
        raise Break
