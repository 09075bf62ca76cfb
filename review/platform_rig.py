"""Stand-ins of the platform for the scripts of the second review: hosts, discovery, a dispatcher's start.

They follow the protocol page. Only the standard library is used, and all addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from rig import ROOT, CouldNotRunError, Message, free_port, read_message

READY_TIMEOUT_S = 6.0  # a new process has so long to say yes


def settings(retention_ms: float = 1000.0) -> dict[str, Any]:
    """Returns the settings of a small deployment with prefill and decode hosts and two classes."""

    def class_of(name: str, effect: str, aim: float, give_up: float, value: float) -> dict[str, Any]:
        times = {"aim": aim, "give_up": give_up, "window": 5000.0, "late_value": 0.2}
        return {"name": name, "idempotency": effect, "group": "all", "stream": True, "value": value, **times}

    return {
        "classes": [
            class_of("consulta", "read_like", 1500.0, 7500.0, 3.0),
            class_of("orden", "non_idempotent", 2500.0, 10000.0, 2.0),
        ],
        "charges": {},
        "clients": {"marks_retry": False},
        "family_info": {
            "ahead": True,
            "aim_us_per_1000_prompt_tokens": [40000.0, 40000.0],
            "kv_tokens": [220000.0, 150000.0],
            "local_read": False,
            "release": retention_ms,
            "resume": False,
            "stage_of_kind": ["read", "write"],
            "token_aim": [60.0, 80.0],
        },
        "fleet_size": 1,
        "kinds": ["prefill", "decode"],
        "limits": {
            "cancel": True,
            "connect_timeout": 250.0,
            "idle_close": 30000.0,
            "max_attempts": 5,
            "max_retry_after": 500.0,
            "may_duplicate": True,
            "most_held": 29235,
            "peers": False,
            "probes": False,
            "retry_after": True,
            "streams_per_conn": 32,
        },
        "me": 0,
        "membership_mode": "automatic",
        "over_share_worth": 0.05,
        "parties": [{"name": "app-propia", "allowance_per_s": 100.0, "fraction": 1.0}],
        "report": {"how": "off", "names": []},
        "rules": {
            "cold": 14000.0,
            "cold_share": 0.28,
            "fall": 1500.0,
            "fall_multiple": 2.5,
            "grace_to_answer": 16.0,
            "must_ask_in": 10000.0,
            "stop_sending_within": 250.0,
        },
        "tick": 4.0,
        "tier": 0,
        "tiers": ["modelos"],
        "weights": "off",
        "workload": "twostage",
        "worth_by": "work",
        "zone": 0,
        "zones": ["bsas-1"],
    }


Stream = Callable[[str, Message, asyncio.StreamWriter], Awaitable[None]]


class ModelHost:
    """A prefill or decode host; `stream` writes the answer of a decode host, after the prompt was read."""

    def __init__(self, name: str, kind: str, stream: Stream) -> None:
        """Names the host."""
        self.name = name
        self.kind = kind
        self.port = 0
        self._stream = stream

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=500)
        self.port = self._server.sockets[0].getsockname()[1]

    def row(self) -> dict[str, Any]:
        """Returns the entry of the host in discovery's list."""
        entry = {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "bsas-1", "kind": self.kind}
        return {**entry, "cell": 0, "state": "active", "weight": 1.0, "started_ms": 0}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(ConnectionError):
                while (request := await read_message(reader)).whole:
                    await self._answer(request, writer)
                    await writer.drain()
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        method, target, _ = request.first.split(" ")
        if target.startswith("/state/"):
            status = b"204 No Content\r\n" if method == "DELETE" else b"200 OK\r\nContent-Length: 0\r\n"
            writer.write(b"HTTP/1.1 " + status + b"\r\n")
        elif self.kind == "prefill":
            body = b'{"cached_tokens":0}'
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        else:
            await self._stream(request.fields.get("req-id", ""), request, writer)


class Agent:
    """The discovery agent of the dispatcher's machine, with a list that does not change."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        """Creates an agent that has been sent these entries."""
        self.list = {"version": 1, "full": True, "servers": rows}
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        body = json.dumps(self.list).encode()
        try:
            with contextlib.suppress(ConnectionError):
                while (request := await read_message(reader)).whole:
                    if "stream=1" not in request.first:
                        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                        continue
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    while True:
                        writer.write(b"1\r\n\n\r\n")
                        await writer.drain()
                        await asyncio.sleep(2.0)
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


class Node:
    """One dispatcher on the platform, which holds its listening socket; `start` may be called beside it."""

    def __init__(self, folder: Path, agent: Agent) -> None:
        """Opens the listening socket."""
        self._folder = folder
        self._agent = agent
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        self.processes: list[subprocess.Popen[bytes]] = []

    async def start(self) -> subprocess.Popen[bytes]:
        """Starts a process by the deploy file's command and waits for its yes at the operators' door."""
        number = len(self.processes)
        door = free_port()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self._agent.port}",
            "mgmt": f"127.0.0.1:{door}",
            "seed": f"{number + 7:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._agent.list,
            "settings": settings(),
        }
        file = self._folder / f"config-{number}.json"
        file.write_text(json.dumps(config))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        descriptor = self.listener.fileno()
        environment |= {"NODE_CONFIG": str(file), "NODE_INHERITED_FD": str(descriptor)}
        environment["TMPDIR"] = str(self._folder)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self._folder / f"log-{number}").open("wb") as log:
            process = subprocess.Popen(  # noqa: ASYNC220 - returns at once
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                pass_fds=[descriptor],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.processes.append(process)
        give_up = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up and process.poll() is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", door)
                writer.write(b"GET /admin/health HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer.status == 200:
                    return process
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"process {number} is not ready: {self.log(number)[-2000:]}")

    def log(self, number: int) -> str:
        """Returns what a process has logged."""
        return (self._folder / f"log-{number}").read_text(errors="replace")

    def end(self) -> None:
        """Kills all processes and closes the listening socket."""
        for process in self.processes:
            process.kill()
            process.wait()
        self.listener.close()
