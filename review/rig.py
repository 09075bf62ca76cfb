"""What the scripts of the second review share: a record, a dispatcher process, model hosts and clients.

Only the standard library is used, all addresses are loopback addresses, and ports are those that are free.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 30.0
LIMIT_S = 100.0
API_KEY = "kiosk-key"
END_S = 15.0


class CouldNotRunError(Exception):
    """Something that the case needs did not start, or did not do what the case rests on."""


class Record:
    """Writes `record.txt` of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        """Opens the file anew."""
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


# --- HTTP ---


@dataclass
class Message:
    """A request or a response: its first line, its fields and its body."""

    first: str = ""
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False  # whether the body came to its end

    @property
    def status(self) -> int:
        """The status of a response, 0 if none came."""
        return int(self.first.split()[1]) if self.first else 0

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def events(self) -> list[bytes]:
        """The data of the events of a stream."""
        parts = self.body.split(b"\n\n")[:-1]
        return [part.removeprefix(b"data: ") for part in parts if part.startswith(b"data: ")]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message to the end of its body or of the connection."""
    message = Message()
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        message.first = head[0]
        for line in head[1:]:
            name, _, value = line.partition(":")
            message.fields[name.strip().lower()] = value.strip()
        if message.fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0] or b"-", 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            message.body = await reader.readexactly(int(message.fields.get("content-length", 0)))
        message.whole = True
    return message


async def ask(port: int, body: dict[str, Any], key: str, seconds: float) -> Message:
    """Sends one chat request on a connection of its own; waits `seconds` at most for the whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    raw = json.dumps(body).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
        f"Authorization: Bearer {API_KEY}\r\nContent-Type: application/json\r\n"
        f"Idempotency-Key: {key}\r\nContent-Length: {len(raw)}\r\n\r\n"
    )
    writer.write(head.encode() + raw)
    answer = Message()
    try:
        with contextlib.suppress(TimeoutError):
            answer = await asyncio.wait_for(read_message(reader), seconds)
    finally:
        writer.close()
    return answer


# --- model hosts ---


def event(value: dict[str, Any] | bytes) -> bytes:
    """Returns an event of a stream, as one chunk."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    data = b"data: " + data + b"\n\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


def choice(delta: dict[str, Any], finish: str | None = None) -> dict[str, Any]:
    """Returns the object of an event with one choice."""
    return {"choices": [{"index": 0, "delta": delta, "finish_reason": finish}]}


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_END = event(b"[DONE]") + b"0\r\n\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Answer = Callable[["Host", Message, asyncio.StreamWriter], Awaitable[None]]


class Host:
    """A model host that speaks the chat API; `answer` writes its response to each request."""

    def __init__(self, name: str, answer: Answer) -> None:
        """Names the host."""
        self.name = name
        self.port = 0
        self._answer = answer

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(ConnectionError):
                while (request := await read_message(reader)).whole:
                    await self._answer(self, request, writer)
                    await writer.drain()
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            writer.close()


# --- the dispatcher ---

FILE = """
listen chat {{ address = "127.0.0.1:{port}" }}
ledger {{ file = "{folder}/orders.sqlite" keep = 2d lease = 10s }}
fleet {{ dispatchers = 1 }}
limits {{
  attempts = 5
  cancel = true
  retry_after = true
  most_retry_after = 0.5s
  connect_timeout = 250ms
  idle_close = 30s
}}
class consulta {{ aim = 1.5s give_up = 7.5s effect = repeatable worth = 3 }}
class orden {{ aim = 2.5s give_up = 10s {effect} worth = 2 }}
tenant red-kioscos {{ share = 100% rate = 10 req/s }}
model giro-consulta {{ class = consulta max_tokens = 500tok }}
model giro-orden {{ class = orden max_tokens = 400tok }}
key kiosk {{ sha256 = "{key}" tenant = red-kioscos }}
"""


class Dispatcher:
    """One dispatcher with the chat front, started by the deploy file's command with an operator's file."""

    def __init__(self, folder: Path, hosts: list[Host], effect: str = "effect = once") -> None:
        """Writes the operator's file; `effect` is what it says of the class `orden`."""
        self.port = free_port()
        self._file = folder / "operator.violet"
        self._log = folder / "dispatcher.log"
        self._folder = folder
        key = hashlib.sha256(API_KEY.encode()).hexdigest()
        text = FILE.format(port=self.port, folder=folder, effect=effect, key=key)
        for host in hosts:
            text += f'host {host.name} {{ address = "127.0.0.1:{host.port}" }}\n'
        self._file.touch(mode=0o600)
        self._file.write_text(text)
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        environment["TMPDIR"] = str(self._folder)
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(  # noqa: ASYNC220 - returns at once
                ["/bin/sh", "-c", f"{run} serve {shlex.quote(str(self._file))}"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        give_up = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < give_up and self._process.poll() is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"the dispatcher is not ready: {self._log.read_text()[-2000:]}")

    def memory_mb(self) -> float:
        """Returns the resident memory of the process without file pages."""
        assert self._process is not None
        _, resident, shared = Path(f"/proc/{self._process.pid}/statm").read_text().split()[:3]
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def stop(self) -> str:
        """Ends the process, by SIGKILL if SIGTERM does not; returns what it logged."""
        process = self._process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGTERM)
            give_up = time.monotonic() + END_S
            while process.poll() is None and time.monotonic() < give_up:  # noqa: ASYNC110 - no event tells
                await asyncio.sleep(0.1)
            process.kill()
            process.wait()
        return self._log.read_text(errors="replace") if self._log.exists() else ""


Case = Callable[[Record, Path], Awaitable[bool]]


def main(file: str, case: Case) -> None:
    """Runs a case, which returns whether the rule held, and exits with its status."""
    folder = Path(file).resolve().parent
    record = Record(folder)
    record(f"trouble: {TROUBLE}")
    status = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(case(record, Path(temporary)), LIMIT_S))
            status = HELD if held else BROKEN
        except Exception as error:  # of any kind: only the check itself may tell that the rule was broken
            record(f"could not run: {error!r}")
    record(f"status {status}: {('the rule held', 'the rule was broken', 'could not run')[status]}")
    sys.exit(status)
