"""Requests for a complete (not streamed) chat answer, whose model host spoils a piece of a tool call."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig import (
    STREAM_END,
    STREAM_HEAD,
    TROUBLE,
    CouldNotRunError,
    Dispatcher,
    Host,
    Message,
    Record,
    ask,
    choice,
    event,
    main,
)

ANSWER_S = 16.0  # the give-up time of an order, half a second, and 5 s after the host's last event


class ToolHost:
    """A host that answers each request with a tool call in three pieces."""

    def __init__(self, record: Record) -> None:
        """Creates a host that has got nothing."""
        self.host = Host("host-1", self._answer)
        self.ended: list[str] = []
        self._record = record

    async def _answer(self, host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
        text = request.json["messages"][-1]["content"]
        spoilt = TROUBLE and "spoil" in text
        function = {"name": "book", "arguments": None if spoilt else ""}
        first = {"index": 0, "id": "call_1", "type": "function", "function": function}
        writer.write(STREAM_HEAD)
        writer.write(event(choice({"role": "assistant", "content": None, "tool_calls": [first]})))
        for piece in ('{"to":', '"Ana"}'):
            writer.write(event(choice({"tool_calls": [{"index": 0, "function": {"arguments": piece}}]})))
        writer.write(event(choice({}, "tool_calls")) + STREAM_END)
        self.ended.append(text)
        self._record(f"{host.name} answered {text!r} to the end, first piece of arguments: {function}")


async def case(record: Record, folder: Path) -> bool:
    """Asks for sound and spoilt answers; returns whether each request got a final answer."""
    tool_host = ToolHost(record)
    await tool_host.host.start()
    dispatcher = Dispatcher(folder, [tool_host.host])
    held = True

    async def request(model: str, text: str, key: str) -> bool:
        record(f"client sends {text!r} to {model} with Idempotency-Key {key}")
        body = {"model": model, "messages": [{"role": "user", "content": text}]}
        answer = await ask(dispatcher.port, body, key, ANSWER_S)
        record(
            f"client's request {text!r} ({key}): "
            + (f"{answer.status} {answer.body[:300]!r}" if answer.whole else f"no answer within {ANSWER_S} s")
        )
        return answer.whole

    try:
        await dispatcher.start()
        for number in range(4):
            if not await request("giro-consulta", f"sound {number}", f"sound-{number}"):
                raise CouldNotRunError("a sound request got no answer")
        answers = await asyncio.gather(
            request("giro-consulta", "question, spoil it", "question-1"),
            request("giro-orden", "order, spoil it", "order-1"),
        )
        retry = await request("giro-orden", "order, spoil it", "order-1")
        held = all(answers) and retry
        if len(tool_host.ended) < 6:
            raise CouldNotRunError("a request did not reach the host")
    finally:
        log = await dispatcher.stop()
        record("dispatcher's log:\n" + log)
    return held


if __name__ == "__main__":
    main(__file__, case)
