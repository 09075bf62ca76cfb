"""Plays the forms of events through a real dispatcher process, and checks what clients of both fronts get."""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import trio

from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.chat_event_cells import Asked, Cell, Effect, Front, HostApi
from violetstack.rehearsal.clients import Answer, chat_body, chat_headers, connect, platform_headers
from violetstack.rehearsal.fleet.two_front_process import (
    TwoFrontProcess,
    model_of,
    two_front_process,
)
from violetstack.rehearsal.hosts import EVENTS, ModelHost
from violetstack.rehearsal.peer import PeerConnection

PATIENCE_S = 12.0
"""A client of the chat front gives up an order after 10 s; its final answer may come half a second later."""
BATCH_SIZE = 40
START_INTERVAL_S = 0.005
MAX_ROUNDS = 30
PAUSE_BETWEEN_ROUNDS_S = 1.0
"""A host that failed is avoided for a while."""
SERVING_HOSTS = 3
BROKEN_STREAM_EVENTS = ("upstream_response_truncated", "upstream_event_unreadable")


@dataclass
class CellOutcome:
    """What the client of a cell got, and its retry where the request may not be repeated.

    Attributes:
        cell: The cell.
        number: Names the request in its messages.
        attempts: How often the request reached a host that answers.
        written: What the host wrote, as the platform front has to forward it.
        answer: What the client got; None if it left without a whole answer.
        retry: What its retry got, for orders of the chat front.
    """

    cell: Cell
    number: int
    attempts: int = 0
    written: bytes = b""
    answer: Answer | None = None
    retry: Answer | None = None

    def violations(self) -> Iterator[str]:
        """Yields what the dispatcher owed this client and did not do."""
        if not self.attempts:
            yield "not played: no host got the request"
            return
        if not self.cell.safe and self.attempts > 1:
            yield f"a request that may not be repeated ran {self.attempts} times"
        if self.answer is None:
            yield "no final answer"
        elif self.cell.front is Front.PLATFORM:
            yield from self._platform_violations(self.answer)
        else:
            yield from self._chat_violations(self.answer, "")
        if self.cell.front is Front.CHAT and not self.cell.safe:
            yield from self._retry_violations()

    def _platform_violations(self, answer: Answer) -> Iterator[str]:
        if answer.outcome == "served" and answer.body != self.written:
            yield "ended as complete, not as its host wrote it"
        if answer.outcome != "served" and self.cell.form.effect is not Effect.SPOILT:
            yield f"a sound answer is {answer.outcome}"

    def _chat_violations(self, answer: Answer, whose: str) -> Iterator[str]:
        if is_complete(answer):
            text = answer_text(answer)
            if text != self.cell.text:
                yield f"{whose}ended as complete with {text!r}"
        elif self.cell.form.effect is not Effect.SPOILT:
            yield f"{whose}a sound answer is not complete: {answer.status}"
        elif answer.status == 200 and sum(is_error(event) for event in answer.events) != 1:
            yield f"{whose}an incomplete stream without exactly one error event"

    def _retry_violations(self) -> Iterator[str]:
        if self.retry is None:
            yield "no final answer to the retry"
            return
        if self.retry.status == 200 or self.cell.form.effect is not Effect.SPOILT:
            yield from self._chat_violations(self.retry, "retry: ")


@dataclass
class MatrixResult:
    """The outcomes of all cells, and how many log lines name a host and why its stream is not sound."""

    outcomes: list[CellOutcome] = field(default_factory=list)
    logged: int = 0

    @property
    def broken(self) -> list[str]:
        """One line for each violation."""
        return [f"{outcome.cell.name}: {text}" for outcome in self.outcomes for text in outcome.violations()]

    def describe(self) -> str:
        """Returns the numbers of broken cells by form and position, and the totals."""
        rows: dict[str, Counter[str]] = {}
        broken = 0
        for outcome in self.outcomes:
            row = rows.setdefault(outcome.cell.form.name, Counter())
            if any(outcome.violations()):
                row[outcome.cell.position.value] += 1
                broken += 1
        lines = [
            f"{name}: " + ", ".join(f"{count} {where}" for where, count in row.items())
            for name, row in rows.items()
            if row
        ]
        return "\n".join([*lines, f"{broken} of {len(self.outcomes)} broken, {self.logged} lines in the log"])


def is_error(event: bytes) -> bool:
    """Whether an event of a streamed answer is the dispatcher's error event."""
    return event.startswith(b'{"error"')


def is_complete(answer: Answer) -> bool:
    """Whether a client of the chat front takes the answer for a complete one."""
    if answer.status != 200 or not answer.whole:
        return False
    if answer.headers.get("content-type") == "application/json":
        return "error" not in answer.json
    events = answer.events
    return bool(events) and events[-1] == b"[DONE]" and not any(is_error(event) for event in events)


def answer_text(answer: Answer) -> str:
    """Returns the text of a complete answer of the chat front; what is no JSON counts for nothing."""
    if answer.headers.get("content-type") == "application/json":
        return str(answer.json["choices"][0]["message"]["content"])
    return "".join(_delta_text(event) for event in answer.events[:-1])


def _delta_text(event: bytes) -> str:
    chunk: Any = orjson.loads(event)
    try:
        content = chunk["choices"][0]["delta"].get("content")
    except (AttributeError, IndexError, KeyError, TypeError):
        return ""
    return content if isinstance(content, str) else ""


class EventHost(ModelHost):
    """Writes the answer of a request's cell, and a sound one to a second attempt."""

    def __init__(self, name: str, kind: str, outcomes: dict[int, CellOutcome]) -> None:
        super().__init__(name, kind)
        self._outcomes = outcomes

    async def play(self, act: object, inbound: HttpRequest, connection: PeerConnection) -> None:
        """Answers one request."""
        text = orjson.loads(inbound.body)["messages"][-1]["content"]
        outcome = self._outcomes[int(text)]
        outcome.attempts += 1
        events = outcome.cell.events(sound=outcome.attempts > 1)
        outcome.written = b"".join(events)
        await connection.start(200, EVENTS)
        for event in events:
            await connection.data(event)
        await connection.end()


class ChatEventMatrix:
    """Plays cells of hosts with one API, in batches."""

    def __init__(self, host_api: HostApi, cells: Iterable[Cell]) -> None:
        self._outcomes = [CellOutcome(cell, number) for number, cell in enumerate(cells)]
        by_number = {outcome.number: outcome for outcome in self._outcomes}
        kind = "openai" if host_api is HostApi.OPENAI else "decode"
        self._hosts: list[ModelHost] = [EventHost(f"w{n}", kind, by_number) for n in range(SERVING_HOSTS)]
        if host_api is HostApi.PLATFORM:
            self._hosts.append(ModelHost("r", "prefill"))

    async def play(self, folder: Path) -> MatrixResult:
        """Plays all cells through one dispatcher, whose records are kept in `folder`."""
        async with two_front_process(*self._hosts, folder=folder) as process:
            for start in range(0, len(self._outcomes), BATCH_SIZE):
                await self._play_batch(process, self._outcomes[start : start + BATCH_SIZE])
            lines = process.dispatcher.program.events()
        logged = sum(line["event"] in BROKEN_STREAM_EVENTS for line in lines)
        return MatrixResult(self._outcomes, logged)

    async def _play_batch(self, process: TwoFrontProcess, outcomes: list[CellOutcome]) -> None:
        """Plays cells at the same time; a request that reached no host is sent again."""
        unplayed = outcomes
        for _ in range(MAX_ROUNDS):
            async with trio.open_nursery() as nursery:
                for outcome in unplayed:
                    nursery.start_soon(_play_cell, process, outcome)
                    await trio.sleep(START_INTERVAL_S)
            unplayed = [outcome for outcome in unplayed if not outcome.attempts]
            if not unplayed:
                return
            await trio.sleep(PAUSE_BETWEEN_ROUNDS_S)


async def _play_cell(process: TwoFrontProcess, outcome: CellOutcome) -> None:
    cell = outcome.cell
    if cell.front is Front.PLATFORM:
        outcome.answer = await _ask_platform(process, outcome)
        return
    streamed = cell.asked is Asked.STREAMED
    outcome.answer = await _ask_chat(process, outcome, stream=streamed)
    if not cell.safe and outcome.attempts:
        outcome.retry = await _ask_chat(process, outcome, stream=not streamed)


async def _ask_platform(process: TwoFrontProcess, outcome: CellOutcome) -> Answer | None:
    request_class = "consulta" if outcome.cell.safe else "orden"
    headers = platform_headers(f"e{outcome.number}", request_class)
    return await _exchange(process.platform, headers, chat_body("chat", str(outcome.number)))


async def _ask_chat(process: TwoFrontProcess, outcome: CellOutcome, *, stream: bool) -> Answer | None:
    model = model_of("consulta" if outcome.cell.safe else "orden")
    body = chat_body(model, str(outcome.number), stream=stream)
    return await _exchange(process.chat, chat_headers(f"k{outcome.number}"), body)


async def _exchange(address: tuple[str, int], headers: list[tuple[str, str]], body: bytes) -> Answer | None:
    """Sends a request; returns its answer, or None if none has come to its end in time."""
    call = await connect(address)
    async with call.stream:
        with trio.move_on_after(PATIENCE_S):
            await call.send("POST", "/v1/chat/completions", headers, body)
            return await call.receive()
    return None


def play_chat_events(host_api: HostApi, cells: Iterable[Cell]) -> MatrixResult:
    """Plays cells of hosts with one API through a dispatcher process."""
    matrix = ChatEventMatrix(host_api, cells)
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(partial(matrix.play, Path(folder)))
