"""Chat requests whose model host writes an answer that never ends."""

from __future__ import annotations

import asyncio
import contextlib
import time
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

WAIT_S = 35.0  # over three times the give-up time of an order
LONG_EVENTS = 44
LONG_TEXT = "x" * 30_000  # each event is far under the limit of a body
PAUSE_S = 0.02
GOES_ON_EVERY_S = 0.2


class EndlessHost:
    """A host that ends its answers, but for those to prompts that ask for an endless one."""

    def __init__(self, record: Record) -> None:
        """Creates the host."""
        self.host = Host("host-1", self._answer)
        self.written: dict[str, int] = {}
        self._record = record

    async def _answer(self, host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
        text = request.json["messages"][-1]["content"]
        writer.write(STREAM_HEAD)
        if not (TROUBLE and "endless" in text):
            writer.write(event(choice({"content": "booked"})) + event(choice({}, "stop")) + STREAM_END)
            self._record(f"{host.name} answered {text!r} to the end")
            return
        began = time.monotonic()
        with contextlib.suppress(ConnectionError):
            while True:
                is_long = self.written.get(text, 0) < LONG_EVENTS
                writer.write(event(choice({"content": LONG_TEXT if is_long else "more "})))
                await writer.drain()
                self.written[text] = self.written.get(text, 0) + 1
                if self.written[text] in (1, LONG_EVENTS):
                    self._record(f"{host.name} has written {self.written[text]} events of {text!r}")
                await asyncio.sleep(PAUSE_S if is_long else GOES_ON_EVERY_S)
        self._record(
            f"{host.name}: the dispatcher closed {text!r} after {time.monotonic() - began:.1f} s, "
            f"{self.written[text]} events"
        )


async def case(record: Record, folder: Path) -> bool:
    """Asks for complete answers, two of them endless; returns whether each request got a final answer."""
    endless_host = EndlessHost(record)
    await endless_host.host.start()
    dispatcher = Dispatcher(folder, [endless_host.host])

    async def request(model: str, text: str, key: str) -> bool:
        record(f"client sends {text!r} to {model} with Idempotency-Key {key}")
        body = {"model": model, "messages": [{"role": "user", "content": text}]}
        answer = await ask(dispatcher.port, body, key, WAIT_S)
        got = f"{answer.status} {answer.body[:200]!r}" if answer.whole else f"no answer within {WAIT_S} s"
        record(f"client's request {text!r}: {got}")
        return answer.whole

    try:
        await dispatcher.start()
        for number in range(4):
            if not await request("giro-consulta", f"sound {number}", f"sound-{number}"):
                raise CouldNotRunError("a sound request got no answer")
        answers = await asyncio.gather(
            request("giro-consulta", "an endless question", "question-1"),
            request("giro-orden", "an endless order", "order-1"),
        )
        if TROUBLE and min(endless_host.written.values()) < LONG_EVENTS:
            raise CouldNotRunError("the host did not write the long part")
    finally:
        log = await dispatcher.stop()
        record("dispatcher's log:\n" + log)
    return all(answers)


if __name__ == "__main__":
    main(__file__, case)
