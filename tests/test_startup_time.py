"""The time until a starting process serves clients, for each behaviour of discovery and the disk."""

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

MAX_START_S = 0.7  # a process with a fraction of a core has 10 s; the rest is for its imports
CHUNKED = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

ConnectionHandler = Callable[[trio.SocketStream], Awaitable[None]]


async def _stay_silent(_stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def _reject_requests(stream: trio.SocketStream) -> None:
    await stream.receive_some(4096)
    await stream.send_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


async def _close_at_once(_stream: trio.SocketStream) -> None:
    """Returns, which closes the connection."""


async def _send_slowly(stream: trio.SocketStream) -> None:
    for byte in CHUNKED:
        await stream.send_all(bytes((byte,)))
        await trio.sleep(0.02)


async def _send_large_indented_list(stream: trio.SocketStream) -> None:
    entries = [
        {
            "id": f"s-{n}",
            "addr": f"10.1.{n // 250}.{n % 250 + 1}:5000",
            "zone": "z",
            "kind": "decode",
            "state": "active",
        }
        for n in range(500)
    ]
    body = msgspec.json.format(
        msgspec.json.encode({"version": 7, "full": True, "servers": entries}), indent=8
    )
    await stream.receive_some(4096)
    await stream.send_all(CHUNKED + b"%x\r\n%b\r\n" % (len(body), body))
    await trio.sleep_forever()


DISCOVERIES: dict[str, ConnectionHandler] = {
    "silent": _stay_silent,
    "rejects requests": _reject_requests,
    "closes": _close_at_once,
    "slow": _send_slowly,
    "large": _send_large_indented_list,
}


@asynccontextmanager
async def start_daemon(
    serve_connection: ConnectionHandler | None, state_path: Path | None = None, **node_options: Any
) -> AsyncIterator[Daemon]:
    """Yields a daemon that is ready. Discovery runs `serve_connection`, or refuses connections without it."""
    async with trio.open_nursery() as nursery:

        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                with contextlib.suppress(trio.BrokenResourceError):
                    await serve_connection(stream)  # type: ignore[misc]

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        if serve_connection is None:
            await listeners[0].aclose()
        else:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
        node = {
            "listen": "127.0.0.1:0",
            "seed": "1",
            "discovery": f"127.0.0.1:{port}",
            "settings": SETTINGS,
            **node_options,
        }
        operator = OperatorConfig(state=StateConfig(str(state_path))) if state_path is not None else None
        daemon = Daemon(Config(msgspec.convert(node, NodeConfig), operator))
        addresses = await nursery.start(daemon.serve)
        call = await connect(addresses.platform)
        await call.send("GET", "/-/ready", [], b"")
        assert (await call.receive()).status == 200
        yield daemon
        nursery.cancel_scope.cancel()


async def time_to_start(
    serve_connection: ConnectionHandler | None, state_path: Path | None = None, **node_options: Any
) -> float:
    """Returns the start's duration in seconds, without the time that other programs took."""
    timer = ProcessTimer()

    async def sample() -> None:
        while True:
            timer.sample()
            await trio.sleep(0.002)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample)
        with trio.fail_after(10.0):
            async with start_daemon(serve_connection, state_path, **node_options):
                nursery.cancel_scope.cancel()
    return timer.elapsed_s


def test_a_start_is_fast_for_each_behaviour_of_discovery() -> None:
    """All starts run concurrently, since waiting takes no processor time."""
    start_times_s: dict[str, float] = {}

    async def measure_start(name: str, serve_connection: ConnectionHandler | None) -> None:
        start_times_s[name] = await time_to_start(serve_connection)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for name, serve_connection in {**DISCOVERIES, "refuses connections": None}.items():
                nursery.start_soon(measure_start, name, serve_connection)

    trio.run(main)
    too_slow = {name: seconds for name, seconds in start_times_s.items() if seconds >= MAX_START_S}
    assert len(start_times_s) == len(DISCOVERIES) + 1
    assert too_slow == {}


def test_a_start_serves_clients_with_an_empty_list_unreachable_peers_and_an_unusable_state_folder(
    tmp_path: Path,
) -> None:
    state_path = tmp_path / "state"
    state_path.write_text("a file")

    async def main() -> float:
        return await time_to_start(
            _stay_silent,
            state_path,
            peer_listen="127.0.0.1:0",
            peers=["127.0.0.1:0", "127.0.0.1:9"],  # the second has no listener
            known={"version": 1, "full": True, "servers": []},
        )

    assert trio.run(main) < MAX_START_S


def test_the_program_imports_no_module_that_only_other_commands_need() -> None:
    """Imports take nearly all of the processor time of a start, which is slow with a fraction of a core."""
    excluded = (
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
    code = f"import sys, violetstack.__main__; print([name for name in {excluded!r} if name in sys.modules])"
    finished = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert finished.stdout.strip() == "[]"
