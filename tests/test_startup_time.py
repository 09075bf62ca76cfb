"""How long a start may take until the process takes clients, whatever discovery and the disk do."""

from __future__ import annotations

import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import trio

from tests.process_time import ProcessTimer
from violetstack.config import Config, NodeConfig
from violetstack.daemon.daemon import Daemon
from violetstack.operator_config import OperatorConfig, StateConfig
from violetstack.rehearsal.clients import connect
from violetstack.rehearsal.stage import SETTINGS

MAX_START_S = 0.7  # of 10 s for a process with a fraction of a core; the rest is for its imports
CHUNKED = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

Answer = Callable[[trio.SocketStream], Awaitable[None]]


async def _stay_silent(_stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def _turn_away(stream: trio.SocketStream) -> None:
    await stream.receive_some(4096)
    await stream.send_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


async def _close(_stream: trio.SocketStream) -> None:
    """Ends the connection at once."""


async def _send_slowly(stream: trio.SocketStream) -> None:
    for byte in CHUNKED:
        await stream.send_all(bytes((byte,)))
        await trio.sleep(0.02)


async def _send_large_indented_list(stream: trio.SocketStream) -> None:
    rows = [
        {
            "id": f"s-{n}",
            "addr": f"10.1.{n // 250}.{n % 250 + 1}:5000",
            "zone": "z",
            "kind": "decode",
            "state": "active",
        }
        for n in range(500)
    ]
    body = msgspec.json.format(msgspec.json.encode({"version": 7, "full": True, "servers": rows}), indent=8)
    await stream.receive_some(4096)
    await stream.send_all(CHUNKED + b"%x\r\n%b\r\n" % (len(body), body))
    await trio.sleep_forever()


DISCOVERIES: dict[str, Answer] = {
    "silent": _stay_silent,
    "turns away": _turn_away,
    "closes": _close,
    "slow": _send_slowly,
    "large": _send_large_indented_list,
}


@asynccontextmanager
async def starting(answer: Answer | None, folder: Path | None = None, **told: Any) -> AsyncIterator[Daemon]:
    """A daemon whose agent answers so, or refuses connections; leaves once it has started."""
    async with trio.open_nursery() as nursery:

        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                with contextlib.suppress(trio.BrokenResourceError):
                    await answer(stream)  # type: ignore[misc]

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        if answer is None:
            await listeners[0].aclose()
        else:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
        node = {
            "listen": "127.0.0.1:0",
            "seed": "1",
            "discovery": f"127.0.0.1:{port}",
            "settings": SETTINGS,
            **told,
        }
        operator = OperatorConfig(state=StateConfig(str(folder))) if folder is not None else None
        daemon = Daemon(Config(msgspec.convert(node, NodeConfig), operator))
        serving = await nursery.start(daemon.serve)
        call = await connect(serving.platform)
        await call.send("GET", "/-/ready", [], b"")
        assert (await call.receive()).status == 200
        yield daemon
        nursery.cancel_scope.cancel()


async def time_to_start(answer: Answer | None, folder: Path | None = None, **told: Any) -> float:
    """Seconds of this process's own time."""
    spent = ProcessTimer()

    async def sample() -> None:
        while True:
            spent.sample()
            await trio.sleep(0.002)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample)
        with trio.fail_after(10.0):
            async with starting(answer, folder, **told):
                nursery.cancel_scope.cancel()
    return spent.elapsed_s


def test_no_start_waits_long_whatever_discovery_does() -> None:
    """All of them side by side: what they wait for costs no processor time."""
    took_s: dict[str, float] = {}

    async def start(name: str, answer: Answer | None) -> None:
        took_s[name] = await time_to_start(answer)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for name, answer in {**DISCOVERIES, "refuses connections": None}.items():
                nursery.start_soon(start, name, answer)

    trio.run(main)
    late = {name: seconds for name, seconds in took_s.items() if seconds >= MAX_START_S}
    assert len(took_s) == len(DISCOVERIES) + 1
    assert late == {}


def test_a_start_takes_clients_with_an_empty_list_dead_peers_and_no_state_folder(tmp_path: Path) -> None:
    folder = tmp_path / "state"
    folder.write_text("a file")

    async def main() -> float:
        return await time_to_start(
            _stay_silent,
            folder,
            peer_listen="127.0.0.1:0",
            peers=["127.0.0.1:0", "127.0.0.1:9"],  # nobody listens at the second
            known={"version": 1, "full": True, "servers": []},
        )

    assert trio.run(main) < MAX_START_S


def test_the_program_imports_nothing_that_only_other_uses_need() -> None:
    """Imports are nearly all of a start's processor time, which a fraction of a core stretches."""
    heavy = (
        "asyncio",
        "click",
        "structlog",
        "lark",
        "sqlite3",
        "cryptography",
        "acme",
        "fastdigest",
        "email",
    )
    code = f"import sys, violetstack.__main__; print([name for name in {heavy!r} if name in sys.modules])"
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert told.stdout.strip() == "[]"
