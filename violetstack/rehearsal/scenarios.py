"""`violetstack rehearse [STORY ...]`: plays scenarios with scripted peers and prints all checks.

It exits with 1 if a check failed. The dispatcher's own log lines go to standard output between the lines of
the scenarios; `--quiet` suppresses them.
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
from violetstack.rehearsal.hosts import (
    CUT,
    DECLINE,
    MALFORMED_RESPONSES,
    MALFORMED_STREAMS,
    RESET,
    SERVE,
    Act,
    ModelHost,
)
from violetstack.rehearsal.stage import Stage, stage

TIMEOUT_S = 20.0
Checks = list[tuple[str, bool]]  # what was observed, and whether it was expected
Story = Callable[[Stage, ModelHost, ModelHost], Awaitable[Checks]]


def _check(what: str, answer: Answer, outcome: str) -> tuple[str, bool]:
    return f"{what}: {answer.outcome}, status {answer.status}", answer.outcome == outcome


async def served(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """A request is prefilled and decoded on both front ends."""
    return [
        _check("platform", await ask_platform(on.platform, "s1", "consulta"), "served"),
        _check("chat", await ask_chat(on.chat, chat_body("giro-consulta")), "served"),
    ]


async def cut(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """A stream breaks in the middle, on the platform front and on the chat front."""
    decode_host.acts.extend([CUT, CUT])
    checks = [
        _check("platform", await ask_platform(on.platform, "c1", "consulta"), "cut"),
        _check("chat", answer := await ask_chat(on.chat, chat_body("giro-consulta")), "cut"),
    ]
    return [*checks, (f"the last event: {answer.events[-1].decode()}", b'"error"' in answer.events[-1])]


async def refused(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """The only decode host declines every request; the prefilled state is released."""
    decode_host.acts.extend([DECLINE] * 2)
    checks = [
        _check("platform", await ask_platform(on.platform, "r1", "orden"), "refused"),
        _check("chat", await ask_chat(on.chat, chat_body("giro-consulta")), "refused"),
    ]
    await prefill_host.until(lambda: ("DELETE", "r1") in prefill_host.calls + decode_host.calls)
    return [*checks, ("the state of r1 was released", True)]


async def order(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """An order is sent three times under two idempotency keys; then one that fails is sent again."""
    decode_host.acts.extend([SERVE, RESET])
    checks = []
    for key in ("o1", "o1", "o2"):
        answer = await ask_chat(on.chat, chat_body("giro-orden"), chat_headers(key))
        checks.append(_check(f"key {key}", answer, "served"))
    for key in ("o3", "o3", "o4"):
        answer = await ask_chat(on.chat, chat_body("giro-orden", text="more"), chat_headers(key))
        checks.append(_check(f"key {key}", answer, "failed"))
    runs = list(decode_host.runs.values())
    return [*checks, (f"runs of the two orders: {runs}", runs == [1, 1])]


async def drain(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """The only decode host drains: the next request is rejected rather than sent to it."""
    on.discovery.publish(decode_host.row(state="leaving"))
    while decode_host.name not in on.daemon.core.draining:
        await trio.sleep(0.001)
    answer = await ask_platform(on.platform, "d1", "consulta")
    return [
        _check("platform", answer, "refused"),
        ("no request reached the draining host", not decode_host.received_ids),
    ]


async def stop(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """The dispatcher shuts down while it forwards a stream."""
    resume_stream = trio.Event()
    decode_host.acts.append(Act(pause=resume_stream))
    call = await connect(on.chat)
    await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
    await call.receive(events=1)
    on.daemon.stop.set()
    during_shutdown = await ask_platform(on.platform, "l1", "consulta")
    resume_stream.set()
    return [
        _check("a request sent after the shutdown began", during_shutdown, "served"),
        _check("the stream in progress", await call.receive(), "served"),
    ]


async def spoilt(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """Hosts send malformed responses: before the first event, and in the middle of a stream."""
    checks = []
    for outcome, acts in (("failed", MALFORMED_RESPONSES), ("cut", MALFORMED_STREAMS)):
        for n, (name, act) in enumerate(acts.items()):
            decode_host.acts.append(act)
            checks.append(_check(name, await ask_platform(on.platform, f"{outcome}{n}", "orden"), outcome))
    return checks


async def rude(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """Clients send nothing or invalid requests: each gets an error response or its connection is closed."""
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
    checks = []
    for name, sent in {
        "nothing": b"",
        "half a head": head,
        "noise": b"\x16\x03\x01\r\n\r\n",
        "two lengths": head + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "60 MB": head + b"Content-Length: 60000000\r\n\r\n",
    }.items():
        since = trio.current_time()
        answer = (await raw(on.platform, sent)).partition(b"\r\n")[0].decode() or "connection closed"
        took = trio.current_time() - since
        checks.append((f"{name}: {answer} after {took:.1f} s", took < 3.0 and " 200 " not in answer))
    return [*checks, ("no host received a request", not prefill_host.received_ids)]


async def reload(on: Stage, prefill_host: ModelHost, decode_host: ModelHost) -> Checks:
    """A reload sets another discovery, whose list has another decode host."""
    other = ModelHost("other", "decode")
    discovery = Discovery()
    await on.nursery.start(other.serve)
    discovery.publish(prefill_host.row(), other.row())
    await on.nursery.start(discovery.serve)
    on.daemon.reload(lambda: on.config(discovery=discovery.address))
    while decode_host.name in on.daemon.core.endpoints:
        await trio.sleep(0.001)
    answer = await ask_platform(on.platform, "n1", "orden")
    return [_check("platform", answer, "served"), ("by the new decode host", other.received_ids == ["n1"])]


STORIES: dict[str, Story] = {
    s.__name__: s for s in (served, cut, refused, order, drain, stop, spoilt, rude, reload)
}


async def play(story: Story) -> Checks:
    prefill_host = ModelHost("reader", "prefill")
    decode_host = ModelHost("writer", "decode")
    with tempfile.TemporaryDirectory() as folder, trio.fail_after(TIMEOUT_S):
        chat: dict[str, Any] = {"ledger": {"file": str(Path(folder) / "orders.sqlite")}}
        async with stage(prefill_host, decode_host, chat=chat) as on:
            return await story(on, prefill_host, decode_host)


def rehearse(stories: Sequence[str], quiet: bool) -> int:
    """Play the scenarios; return 0 if every check succeeded, else 1."""
    log.quiet = quiet
    succeeded = True
    for name in stories:
        print(f"{name}: {STORIES[name].__doc__}", flush=True)
        for line, expected in trio.run(play, STORIES[name]):
            succeeded = succeeded and expected
            print(f"  {'ok ' if expected else 'NOT'} {line}", flush=True)
    return 0 if succeeded else 1
