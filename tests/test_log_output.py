"""Requests are answered even if the reader of the log stalls or its disk is full."""

from __future__ import annotations

import errno
import fcntl
import json
import os
import select
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import trio

from violetstack.config import Address
from violetstack.log_writer import MAX_QUEUED_BYTES, LogWriter
from violetstack.rehearsal.stage import SETTINGS

PIPE_BYTES = 4096
REQUESTS = 60
"""Their log lines exceed the capacity of the pipe several times."""
ANSWER_TIMEOUT_S = 3.0
INVALID_CONFIGURATION = 2
UNREACHABLE = [
    {"id": "r", "addr": "127.0.0.1:9", "kind": "prefill", "zone": "z", "state": "active"},
    {"id": "w", "addr": "127.0.0.1:9", "kind": "decode", "zone": "z", "state": "active"},
]


class PipedProgram:
    """A dispatcher process whose standard output is a small pipe, which the test reads when needed."""

    def __init__(self, folder: Path) -> None:
        node_config = {
            "listen": "127.0.0.1:0",
            "settings": SETTINGS,
            "known": {"version": 1, "full": True, "servers": UNREACHABLE},
        }
        config_file = folder / "config.json"
        config_file.write_text(json.dumps(node_config))
        self._read_end, write_end = os.pipe()
        fcntl.fcntl(self._read_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "violetstack"],
            env={**os.environ, "NODE_CONFIG": str(config_file)},
            stdout=write_end,
        )
        os.close(write_end)
        self._unread = b""
        started = next(event for event in self.events() if event["event"] == "started")
        self.platform: Address = (started["platform"][0], started["platform"][1])

    def events(self) -> Iterator[dict[str, Any]]:
        """Yields the log events from the pipe until the process has ended."""
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


async def request_status_line(address: Address, request_id: str) -> bytes:
    """Sends a request and returns the status line of the response."""
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


def send_requests(address: Address) -> None:
    async def main() -> None:
        for number in range(REQUESTS):
            with trio.fail_after(ANSWER_TIMEOUT_S):
                assert b" 503 " in await request_status_line(address, f"{number:016x}")

    trio.run(main)


def test_requests_are_answered_while_the_log_is_not_read(program: PipedProgram) -> None:
    """The event loop blocked forever, waiting for space in the pipe."""
    send_requests(program.platform)


def test_sigterm_ends_a_process_whose_log_is_not_read(program: PipedProgram) -> None:
    send_requests(program.platform)
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(timeout=ANSWER_TIMEOUT_S) == 0


def test_a_process_without_standard_output_reports_an_invalid_configuration_by_its_exit_status(
    tmp_path: Path,
) -> None:
    """The first log line raised an exception."""
    node_config = {"listen": "127.0.0.1:0", "settings": SETTINGS, "known": {"version": 1, "full": True}}
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps({**node_config, "listen": "no address"}))
    command = f"exec {sys.executable} -m violetstack >&-"
    finished = subprocess.run(
        command, shell=True, env={**os.environ, "NODE_CONFIG": str(config_file)}, check=False
    )
    assert finished.returncode == INVALID_CONFIGURATION


class PipedWriter:
    """A `LogWriter` into a small pipe, which the test reads when needed."""

    def __init__(self) -> None:
        self.read_end, self.write_end = os.pipe()
        fcntl.fcntl(self.read_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.writer = LogWriter(self.write_end, lambda lines: b"dropped %d\n" % lines)

    def read_all(self) -> list[bytes]:
        """Returns all lines that are written until the writer's queue is empty."""
        data = b""
        while select.select([self.read_end], [], [], 0.05)[0] or not self.writer.flush(0.0):
            if select.select([self.read_end], [], [], 0.0)[0]:
                data += os.read(self.read_end, PIPE_BYTES)
        return data.splitlines()


@pytest.fixture
def piped() -> Iterator[PipedWriter]:
    piped = PipedWriter()
    yield piped
    os.close(piped.read_end)
    os.close(piped.write_end)


def test_lines_that_exceed_the_queue_are_dropped_and_their_number_is_logged(piped: PipedWriter) -> None:
    lines = [b"%d %s" % (number, b"x" * 1000) for number in range(3 * MAX_QUEUED_BYTES // 1000)]
    for line in lines:
        piped.writer.write(line + b"\n")
    dropped = piped.writer.dropped
    assert dropped > MAX_QUEUED_BYTES // 1000
    lines_read = piped.read_all()
    piped.writer.write(b"after\n")
    lines_read += piped.read_all()
    reported = [int(line.split()[1]) for line in lines_read if line.startswith(b"dropped ")]
    assert sum(reported) == dropped  # in one or two reports: the writer thread may empty the queue meanwhile
    written = [line for line in lines_read if line.endswith(b"x")]
    assert len(written) == len(lines) - dropped
    assert written == [line for line in lines if line in set(written)]
    assert lines_read[-1] == b"after" or lines_read[-2] == b"after"


def test_lines_that_cannot_be_written_to_a_full_disk_are_counted() -> None:
    descriptor = os.open("/dev/full", os.O_WRONLY)
    writer = LogWriter(descriptor, lambda lines: b"dropped %d\n" % lines)
    for _ in range(3):
        writer.write(b"line\n")
        assert writer.flush(ANSWER_TIMEOUT_S)
    assert writer.dropped == 3
    os.close(descriptor)


def test_a_partially_written_line_does_not_corrupt_the_next_line(
    piped: PipedWriter, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_write = os.write
    # the number of bytes that the system accepts, or its error
    outcomes: Iterator[int | OSError] = iter([2, OSError(errno.ENOSPC, "no space")])

    def write_partially(descriptor: int, data: bytes) -> int:
        outcome = next(outcomes, None)
        if isinstance(outcome, OSError):
            raise outcome
        return real_write(descriptor, data if outcome is None else data[:outcome])

    monkeypatch.setattr(os, "write", write_partially)
    piped.writer.write(b"half\n")
    assert piped.writer.flush(ANSWER_TIMEOUT_S)
    piped.writer.write(b"whole\n")
    assert piped.read_all() == [b"ha", b"whole", b"dropped 1"]
