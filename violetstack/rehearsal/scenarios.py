"""`violetstack rehearse [STORY ...]`: plays stories with scripted peers and tells what came.

It exits with 1 if a story did not come out as it should. The dispatcher's own log lines go to standard
output between the stories' lines; `--quiet` drops them.
"""

from __future__ import annotations

import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import trio

from violetstack import log
from violetstack.rehearsal.clients import (
    Answer,
    ask_chat,
    ask_platform,
    chat_body,
    chat_headers,
    connect,
    raw,
)
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import CUT, DECLINE, RESET, SERVE, SPOILT, SPOILT_LATER, Act, ModelHost
from violetstack.rehearsal.stage import Stage, stage

LIMIT_S = 20.0
Told = list[tuple[str, bool]]
Story = Callable[[Stage, ModelHost, ModelHost], Awaitable[Told]]


def _saw(what: str, answer: Answer, outcome: str) -> tuple[str, bool]:
    return f"{what}: {answer.outcome}, status {answer.status}", answer.outcome == outcome


async def served(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """A request is read, then written, on both faces."""
    return [
        _saw("platform", await ask_platform(on.platform, "s1", "consulta"), "served"),
        _saw("chat", await ask_chat(on.chat, chat_body("giro-consulta")), "served"),
    ]


async def cut(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """A stream breaks after its first event: once on the platform, once on chat."""
    writer.acts.extend([CUT, CUT])
    chat = [
        _saw("platform", await ask_platform(on.platform, "c1", "consulta"), "cut"),
        _saw("chat", answer := await ask_chat(on.chat, chat_body("giro-consulta")), "cut"),
    ]
    return [*chat, (f"the last event: {answer.events[-1].decode()}", b'"error"' in answer.events[-1])]


async def refused(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """The only writer turns everything away; what was read is released."""
    writer.acts.extend([DECLINE] * 2)
    told = [
        _saw("platform", await ask_platform(on.platform, "r1", "orden"), "refused"),
        _saw("chat", await ask_chat(on.chat, chat_body("giro-consulta")), "refused"),
    ]
    await reader.until(lambda: ("DELETE", "r1") in reader.calls + writer.calls)
    return [*told, ("the state of r1 was released", True)]


async def order(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """An order is sent three times under two keys, then one that breaks is sent again."""
    writer.acts.extend([SERVE, RESET])
    told = []
    for key in ("o1", "o1", "o2"):
        answer = await ask_chat(on.chat, chat_body("giro-orden"), chat_headers(key))
        told.append(_saw(f"key {key}", answer, "served"))
    for key in ("o3", "o3", "o4"):
        answer = await ask_chat(on.chat, chat_body("giro-orden", text="more"), chat_headers(key))
        told.append(_saw(f"key {key}", answer, "failed"))
    runs = list(writer.runs.values())
    return [*told, (f"runs of the two orders: {runs}", runs == [1, 1])]


async def drain(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """The only writer drains: the next request is refused, not sent there."""
    on.discovery.tell(writer.row(state="leaving"))
    while writer.name not in on.daemon.core.draining:
        await trio.sleep(0.001)
    answer = await ask_platform(on.platform, "d1", "consulta")
    return [_saw("platform", answer, "refused"), ("nothing reached the writer", not writer.begun)]


async def stop(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """The dispatcher is told to stop in the middle of a stream."""
    hold = trio.Event()
    writer.acts.append(Act(pause=hold))
    call = await connect(on.chat)
    await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
    await call.receive(events=1)
    on.daemon.stop.set()
    late = await ask_platform(on.platform, "l1", "consulta")
    hold.set()
    return [
        _saw("a request that came after", late, "served"),
        _saw("the stream under way", await call.receive(), "served"),
    ]


async def spoilt(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """Answers that can't be read: before the first event, and in the middle of a stream."""
    told = []
    for outcome, acts in (("failed", SPOILT), ("cut", SPOILT_LATER)):
        for n, (name, act) in enumerate(acts.items()):
            writer.acts.append(act)
            told.append(_saw(name, await ask_platform(on.platform, f"{outcome}{n}", "orden"), outcome))
    return told


async def rude(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """Clients that send what can't be taken, or nothing: each gets an error or a close."""
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
    told = []
    for name, sent in {
        "nothing": b"",
        "half a head": head,
        "noise": b"\x16\x03\x01\r\n\r\n",
        "two lengths": head + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "60 MB": head + b"Content-Length: 60000000\r\n\r\n",
    }.items():
        since = trio.current_time()
        answer = (await raw(on.platform, sent)).partition(b"\r\n")[0].decode() or "a close"
        took = trio.current_time() - since
        told.append((f"{name}: {answer} after {took:.1f} s", took < 3.0 and " 200 " not in answer))
    return [*told, ("no host heard of it", not reader.begun)]


async def reload(on: Stage, reader: ModelHost, writer: ModelHost) -> Told:
    """The configuration names another discovery, which knows another writer."""
    other = ModelHost("other", "decode")
    discovery = Discovery()
    await on.nursery.start(other.serve)
    discovery.tell(reader.row(), other.row())
    await on.nursery.start(discovery.serve)
    on.daemon.reload(lambda: on.config(discovery=discovery.address))
    while writer.name in on.daemon.core.endpoints:
        await trio.sleep(0.001)
    answer = await ask_platform(on.platform, "n1", "orden")
    return [_saw("platform", answer, "served"), ("by the new writer", other.begun == ["n1"])]


STORIES: dict[str, Story] = {
    s.__name__: s for s in (served, cut, refused, order, drain, stop, spoilt, rude, reload)
}


async def play(story: Story) -> Told:
    reader = ModelHost("reader", "prefill")
    writer = ModelHost("writer", "decode")
    with tempfile.TemporaryDirectory() as folder, trio.fail_after(LIMIT_S):
        chat: dict[str, Any] = {"ledger": {"file": str(Path(folder) / "orders.sqlite")}}
        async with stage(reader, writer, chat=chat) as on:
            return await story(on, reader, writer)


def rehearse(stories: Sequence[str], quiet: bool) -> int:
    """0 if each came out as it should, else 1."""
    log.quiet = quiet
    good = True
    for name in stories:
        print(f"{name}: {STORIES[name].__doc__}", flush=True)
        for line, as_it_should in trio.run(play, STORIES[name]):
            good = good and as_it_should
            print(f"  {'ok ' if as_it_should else 'NOT'} {line}", flush=True)
    return 0 if good else 1
