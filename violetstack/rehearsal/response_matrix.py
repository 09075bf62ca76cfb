"""Plays malformed responses through a real dispatcher process, and checks what its clients get."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import trio

from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.fleet.dispatcher_process import DispatcherProcess, dispatcher_process
from violetstack.rehearsal.fleet.freeze_gate import reset_connection
from violetstack.rehearsal.hosts import EVENTS, ModelHost
from violetstack.rehearsal.peer import Break, PeerConnection
from violetstack.rehearsal.response_cells import (
    COMPLETE_RESPONSE,
    DONE,
    STOP,
    TOKEN,
    USAGE,
    Cell,
    Continuation,
)

MAX_WAIT_S = 5.0
"""A client must not wait for longer once the answer is malformed."""
DEADLINE_S = 4.0
DEADLINE = f"{DEADLINE_S * 1000:.0f}m"
MAX_LATENESS_S = 0.5
"""A final answer that comes later than this after its deadline counts as none."""
CLIENT_PATIENCE_S = 8.0
PACE_S = 0.1
BYTE_PACE_S = 0.02
FLOOD_EVENTS = 100
BATCH_SIZE = 100
START_INTERVAL_S = 0.005
"""Requests start one by one: a crowd at the prefill host is rejected, as overload should be."""
EARLIER_RESPONSE_S = 1.0
"""Earlier responses overlap, so that each leaves a connection of its own."""
DECODE_HOSTS = 3
DESCRIPTORS = 1024
MAX_ROUNDS = 20
PAUSE_BETWEEN_ROUNDS_S = 1.0
"""The dispatcher leaves a connection unused after a response, and rejects requests once all hosts failed."""
SHUFFLE_SEED = 1
SAFE_CLASS = "consulta"
UNSAFE_CLASS = "orden"


@dataclass
class CellOutcome:
    """What one request of a cell led to; times are in seconds on trio's clock.

    Attributes:
        cell: The cell.
        safe: Whether the request may be repeated.
        malformed_at: When the host had written the malformed bytes.
        responses_before: Responses that the connection of the cell had carried before.
        attempts: Decode attempts.
        reused: Whether the dispatcher wrote to the connection after the malformation.
        status: Status that the client received; 0 for none.
        complete: Whether the client received a complete response.
        sent_at: When the client sent the request.
        ended_at: When its response or connection ended, or the client left.
        left_waiting: Whether the client left without the end of its response.
    """

    cell: Cell
    safe: bool
    malformed_at: float = 0.0
    responses_before: int = 0
    attempts: int = 0
    reused: bool = False
    status: int = 0
    complete: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0
    left_waiting: bool = False

    @property
    def waited_s(self) -> float:
        """How long the client waited once the response was malformed."""
        return self.ended_at - self.malformed_at

    def violations(self) -> Iterator[str]:
        """Yields what the dispatcher owed this client and did not do."""
        if not self.attempts:
            yield "not played: no decode host could write it"
            return
        if self.reused:
            yield "the host's connection was used again"
        if not self.safe and self.attempts > 1:
            yield f"a request that may not be repeated ran {self.attempts} times"
        if self.status == 200 and self.attempts == 1:
            if self.complete:
                yield "ended as complete"
            if self.left_waiting or self.waited_s > MAX_WAIT_S:
                yield f"left open for {self.waited_s:.2f} s"
            return
        if not self.cell.position.precedes_events:
            yield f"status {self.status} after {self.attempts} attempts, though events had been forwarded"
        if self.left_waiting or self.ended_at - self.sent_at > DEADLINE_S + MAX_LATENESS_S:
            yield f"final answer after {self.ended_at - self.sent_at:.2f} s"


@dataclass
class MatrixResult:
    """The outcomes of all cells, and the dispatcher's peak memory."""

    outcomes: list[CellOutcome] = field(default_factory=list)
    peak_memory_mb: float = 0.0

    @property
    def broken(self) -> list[str]:
        """One line for each violation."""
        return [f"{outcome.cell.name}: {text}" for outcome in self.outcomes for text in outcome.violations()]

    def describe(self) -> str:
        """Returns the numbers of violations by malformation, and the totals."""
        by_malformation = Counter(
            outcome.cell.malformation.name for outcome in self.outcomes if any(outcome.violations())
        )
        played = Counter(outcome.cell.malformation.name for outcome in self.outcomes)
        rows = [f"{by_malformation[name]:4} of {count:4}  {name}" for name, count in played.items()]
        total = f"{by_malformation.total()} of {len(self.outcomes)} broken, {self.peak_memory_mb:.1f} MB"
        return "\n".join([*rows, total])


class MatrixHost(ModelHost):
    """Writes the malformed response of a request's cell.

    It responds soundly to a repeated request, and to a later-response cell on a new connection.
    """

    def __init__(self, name: str, pending: dict[str, CellOutcome], played: dict[str, CellOutcome]) -> None:
        super().__init__(name, "decode")
        self._pending = pending
        self._played = played
        self._responses: Counter[PeerConnection] = Counter()
        self.keeps_connections = False

    async def play(self, act: object, inbound: HttpRequest, connection: PeerConnection) -> None:
        """Answers one request as its cell says, or soundly."""
        request_id = inbound.headers["req-id"]
        if request_id in self._played:
            self._played[request_id].attempts += 1
            await self._complete(connection, 0.0)
            return
        outcome = self._pending[request_id]
        if outcome.cell.on_later_response and not self._responses[connection]:
            await self._complete(connection, EARLIER_RESPONSE_S)
            return
        self._played[request_id] = outcome
        outcome.attempts += 1
        outcome.responses_before = self._responses[connection]
        await connection.raw(outcome.cell.response)
        outcome.malformed_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, connection, outcome, nursery.cancel_scope)
            try:
                await self._go_on(outcome.cell, connection)
            except (Break, trio.BrokenResourceError, trio.ClosedResourceError):
                nursery.cancel_scope.cancel()
        raise Break

    async def _complete(self, connection: PeerConnection, duration_s: float) -> None:
        """Responds soundly; where the connection is kept, the response takes `duration_s`."""
        self._responses[connection] += 1
        if not self.keeps_connections:
            await connection.raw(COMPLETE_RESPONSE)
            raise Break
        await connection.start(200, EVENTS)
        for event in (TOKEN, TOKEN, STOP, USAGE, DONE):
            await connection.data(event)
        await trio.sleep(duration_s)
        await connection.end()

    async def _watch(self, connection: PeerConnection, outcome: CellOutcome, scope: trio.CancelScope) -> None:
        """Ends the cell once the dispatcher has closed the connection."""
        try:
            while await connection.stream.receive_some(4096):
                outcome.reused = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _go_on(self, cell: Cell, connection: PeerConnection) -> None:
        filler = cell.malformation.filler
        match cell.continuation:
            case Continuation.NOTHING:
                pass
            case Continuation.PACED:
                while True:
                    await trio.sleep(PACE_S)
                    await connection.raw(filler)
            case Continuation.FLOOD:
                while True:
                    await connection.raw(filler * FLOOD_EVENTS)
            case Continuation.BYTES:
                while True:
                    for byte in range(len(filler)):
                        await trio.sleep(BYTE_PACE_S)
                        await connection.raw(filler[byte : byte + 1])
            case Continuation.FIN:
                raise Break
            case Continuation.RESET:
                stream = connection.stream
                assert isinstance(stream, trio.SocketStream)
                reset_connection(stream.socket)
                raise Break
            case Continuation.SECOND_RESPONSE:
                await connection.raw(COMPLETE_RESPONSE)


class ResponseMatrix:
    """Plays cells in batches, each cell as one request of each class that it is played with."""

    def __init__(self) -> None:
        self._pending: dict[str, CellOutcome] = {}
        self._played: dict[str, CellOutcome] = {}
        self._hosts = [MatrixHost(f"w{n}", self._pending, self._played) for n in range(DECODE_HOSTS)]
        self._requests = 0

    async def play(self, cells: Iterable[Cell]) -> MatrixResult:
        """Plays all cells through one dispatcher."""
        result = MatrixResult()
        outcomes = list(_with_classes(cells))
        random.Random(SHUFFLE_SEED).shuffle(outcomes)
        async with dispatcher_process(
            ModelHost("r", "prefill"), *self._hosts, sockets=DESCRIPTORS
        ) as process:
            for on_later_response in (False, True):
                chosen = [each for each in outcomes if each.cell.on_later_response is on_later_response]
                for start in range(0, len(chosen), BATCH_SIZE):
                    await self._play_batch(process, chosen[start : start + BATCH_SIZE], on_later_response)
            result.outcomes = outcomes
            result.peak_memory_mb = _peak_memory_mb(process)
        return result

    async def _play_batch(
        self, process: DispatcherProcess, outcomes: list[CellOutcome], on_later_response: bool
    ) -> None:
        """Plays cells at the same time; a request whose cell was not played is sent again."""
        for host in self._hosts:
            host.keeps_connections = on_later_response
        unplayed = outcomes
        for _ in range(MAX_ROUNDS):
            await self._play_round(process, unplayed)
            unplayed = [outcome for outcome in unplayed if not outcome.attempts]
            if not unplayed:
                return
            await trio.sleep(PAUSE_BETWEEN_ROUNDS_S)

    async def _play_round(self, process: DispatcherProcess, outcomes: list[CellOutcome]) -> None:
        async with trio.open_nursery() as nursery:
            for outcome in outcomes:
                nursery.start_soon(self._ask, process, outcome)
                await trio.sleep(START_INTERVAL_S)

    async def _ask(self, process: DispatcherProcess, outcome: CellOutcome) -> None:
        """Sends one request, and records what its client gets."""
        self._requests += 1
        request_id = f"m{self._requests}"
        self._pending[request_id] = outcome
        outcome.sent_at = trio.current_time()
        request_class = SAFE_CLASS if outcome.safe else UNSAFE_CLASS
        call = await process.send_request(request_id, request_class, Req_Deadline=DEADLINE)
        with trio.move_on_after(CLIENT_PATIENCE_S) as patience:
            await call.receive()
        await call.stream.aclose()
        outcome.ended_at = trio.current_time()
        outcome.status = call.answer.status
        outcome.complete = call.answer.whole
        outcome.left_waiting = patience.cancelled_caught
        del self._pending[request_id]


def _with_classes(cells: Iterable[Cell]) -> Iterator[CellOutcome]:
    """Requests that may not be repeated differ only while an attempt may be repeated."""
    for cell in cells:
        yield CellOutcome(cell, safe=True)
        if cell.position.precedes_events:
            yield CellOutcome(cell, safe=False)


def _peak_memory_mb(process: DispatcherProcess) -> float:
    program = process.program.process
    assert program is not None
    status = Path(f"/proc/{program.pid}/status").read_text()
    peak_kb = next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))
    return int(peak_kb) / 1024


def play_matrix(cells: Iterable[Cell]) -> MatrixResult:
    """Plays cells through a dispatcher process."""
    return trio.run(ResponseMatrix().play, cells)
