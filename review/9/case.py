"""Streamed chat answers of which the model host spoils one event in the middle."""

from __future__ import annotations

import asyncio
import json
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

ANSWER_S = 11.0
WORDS = ["send", " 10", " of", " 250", " dollars", " to", " Ana"]
SPOILT = 3  # index of the word whose event is spoilt


class WordHost:
    """A host that writes one word an event."""

    def __init__(self, record: Record) -> None:
        """Creates the host."""
        self.host = Host("host-1", self._answer)
        self._record = record

    async def _answer(self, host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
        text = request.json["messages"][-1]["content"]
        writer.write(STREAM_HEAD)
        for number, word in enumerate(WORDS):
            raw = json.dumps(choice({"content": word})).encode()
            if TROUBLE and "spoil" in text and number == SPOILT:
                raw = raw[: raw.index(b"finish_reason") - 2]
            self._record(f"{host.name} writes {raw!r} for {text!r}")
            writer.write(event(raw))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(event(choice({}, "stop")) + STREAM_END)


def complete(answer: Message) -> bool:
    """Whether a client takes the answer for a complete one."""
    if answer.status != 200 or not answer.whole:
        return False
    if answer.fields.get("content-type") == "application/json":
        return "error" not in answer.json
    events = answer.events
    return bool(events) and events[-1] == b"[DONE]" and not any(e.startswith(b'{"error"') for e in events)


def words(answer: Message) -> str:
    """Returns the text of a complete answer; an event that came through unchanged counts as its word."""
    if answer.fields.get("content-type") == "application/json":
        return str(answer.json["choices"][0]["message"]["content"])
    text = ""
    for data in answer.events[:-1]:
        try:
            text += json.loads(data)["choices"][0]["delta"].get("content") or ""
        except ValueError:
            text += next(word for word in WORDS if f'"{word}"'.encode() in data)
    return text


async def case(record: Record, folder: Path) -> bool:
    """Asks for sound and spoilt answers; returns whether no incomplete one was ended as complete."""
    word_host = WordHost(record)
    await word_host.host.start()
    dispatcher = Dispatcher(folder, [word_host.host])
    held = True

    async def request(model: str, text: str, key: str, *, stream: bool) -> bool:
        record(f"client sends {text!r} to {model} with Idempotency-Key {key}, stream {stream}")
        body = {"model": model, "stream": stream, "messages": [{"role": "user", "content": text}]}
        answer = await ask(dispatcher.port, body, key, ANSWER_S)
        record(f"client got {answer.status} {answer.body!r}")
        if not complete(answer):
            record(f"{text!r}: not answered as complete")
            return True
        record(f"{text!r}: answered as complete with {words(answer)!r}")
        return words(answer) == "".join(WORDS)

    try:
        await dispatcher.start()
        for number in range(4):
            if not await request("giro-consulta", f"sound {number}", f"sound-{number}", stream=True):
                raise CouldNotRunError("a sound request was not answered as written")
        results = [
            await request("giro-consulta", "question, spoil it", "question-1", stream=True),
            await request("giro-orden", "order, spoil it", "order-1", stream=True),
            await request("giro-orden", "order, spoil it", "order-1", stream=False),
        ]
        held = all(results)
    finally:
        log = await dispatcher.stop()
        record("dispatcher's log:\n" + log)
    return held


if __name__ == "__main__":
    main(__file__, case)
