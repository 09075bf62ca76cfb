"""The log's reader stalls, or its disk is full: requests are answered all the same."""

from __future__ import annotations

import fcntl
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import trio

from violetstack.config import Address
from violetstack.rehearsal.stage import SETTINGS

PIPE_BYTES = 4096
REQUESTS = 60
"""Their lines are several times what the pipe holds."""
ANSWER_TIMEOUT_S = 3.0
UNREACHABLE = [
    {"id": "r", "addr": "127.0.0.1:9", "kind": "prefill", "zone": "z", "state": "active"},
    {"id": "w", "addr": "127.0.0.1:9", "kind": "decode", "zone": "z", "state": "active"},
]


class PipedProgram:
    """One dispatcher's process whose standard output is a small pipe that the test reads when it likes."""

    def __init__(self, folder: Path) -> None:
        node = {
            "listen": "127.0.0.1:0",
            "settings": SETTINGS,
            "known": {"version": 1, "full": True, "servers": UNREACHABLE},
        }
        file = folder / "config.json"
        file.write_text(json.dumps(node))
        self._read_end, write_end = os.pipe()
        fcntl.fcntl(self._read_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "violetstack"],
            env={**os.environ, "NODE_CONFIG": str(file)},
            stdout=write_end,
        )
        os.close(write_end)
        self._unread = b""
        started = next(event for event in self.events() if event["event"] == "started")
        self.platform: Address = (started["platform"][0], started["platform"][1])

    def events(self) -> Iterator[dict[str, Any]]:
        """Lines of the log as they are read; ends when the process has ended."""
        while chunk := os.read(self._read_end, PIPE_BYTES):
            *lines, self._unread = (self._unread + chunk).split(b"\n")
            yield from map(json.loads, lines)

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        os.close(self._read_end)


@pytest.fixture
def program(tmp_path: Path) -> Iterator[PipedProgram]:
    program = PipedProgram(tmp_path)
    yield program
    program.end()


async def ask(address: Address, request_id: str) -> bytes:
    """The answer's first line."""
    body = json.dumps({"model": "consulta", "stream": True, "messages": [{"role": "user", "content": "x"}]})
    request = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {request_id}\r\n"
        "Req-Kind: consulta\r\nReq-Owner: acme\r\nReq-Key: k\r\nReq-Deadline: 4800m\r\n"
        "Req-Extra: prompt_len=10,max_out=10\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    )
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        await stream.send_all(request.encode())
        return bytes(await stream.receive_some(4096)).split(b"\r\n")[0]


def ask_many(address: Address) -> None:
    async def main() -> None:
        for number in range(REQUESTS):
            with trio.fail_after(ANSWER_TIMEOUT_S):
                assert b" 503 " in await ask(address, f"{number:016x}")

    trio.run(main)


def test_requests_are_answered_while_nobody_reads_the_log(program: PipedProgram) -> None:
    """The event loop waited for room in the pipe, for good."""
    ask_many(program.platform)
