"""What a silent connection costs, how late the admin API is in a crowd, and a start to its yes, as ratios.

    python -m benchmarks.service [--against REV]

The other revision is unpacked into a folder of its own and measured in turns with this one, by this file.
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

import trio

from violetstack.config import load
from violetstack.daemon.process import run
from violetstack.rehearsal.stage import SETTINGS

SILENT = 1_000
STORM = 3_000
TURNS = 3
TICKS = os.sysconf("SC_CLK_TCK")


class Daemon:
    """One started program, with room for a crowd."""

    def __init__(self, root: Path, watched: bool = False) -> None:
        self._folder = tempfile.TemporaryDirectory()
        file = Path(self._folder.name) / "config.json"
        told = {
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "seed": "ff",
            "settings": SETTINGS,
            "limits": {"sockets": 4096, "memory_mb": 1024},
        }
        file.write_text(json.dumps(told))
        began = time.monotonic()
        words = ["benchmarks.service", "--serve"] if watched else ["violetstack"]
        self.process = subprocess.Popen(
            [sys.executable, "-m", *words],
            cwd=root,
            stdout=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(file), "TMPDIR": self._folder.name},
        )
        assert self.process.stdout is not None
        lines = self._lines = (json.loads(line) for line in self.process.stdout)
        started = next(line for line in lines if line["event"] == "started")
        self.ready_s, self.ready_cpu_s = time.monotonic() - began, self.cpu_s()
        self.at: tuple[str, int] = tuple(started["platform"])
        admin = started.get("admin") or started.get("door")  # the second: as revisions before named it
        self.admin: tuple[str, int] | None = tuple(admin) if admin else None

    def cpu_s(self) -> float:
        row = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(row[11]) + int(row[12])) / TICKS

    def resident_kib(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return float(status.split("VmRSS:")[1].split()[0])

    def longest_turn_ms(self) -> float:
        """Ends it in order."""
        self.process.terminate()
        return float(next(line["longest_turn_ms"] for line in self._lines if "longest_turn_ms" in line))

    def end(self) -> None:
        self.process.kill()
        self.process.wait()
        self._folder.cleanup()


def ask(at: tuple[str, int], path: bytes) -> bytes:
    with socket.create_connection(at, timeout=10.0) as sock:
        sock.sendall(b"GET %b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path)
        heard = b""
        while data := sock.recv(4096):
            heard += data
        return heard


class Turns(trio.abc.Instrument):
    """The loop's longest turn: between two times at which it looks for what has come."""

    def __init__(self) -> None:
        self.longest, self._began = 0.0, time.perf_counter()

    def after_io_wait(self, timeout: float) -> None:
        self._began = time.perf_counter()

    def before_io_wait(self, timeout: float) -> None:
        self.longest = max(self.longest, time.perf_counter() - self._began)


def serve() -> None:
    path = os.environ["NODE_CONFIG"]
    turns = Turns()

    async def main() -> None:
        turns.longest = 0.0
        await run(load(path), lambda: load(path, is_reload=True))

    trio.run(main, instruments=[turns])
    print(json.dumps({"longest_turn_ms": turns.longest * 1000.0}), flush=True)


def measure(root: Path) -> dict[str, float]:
    daemon = Daemon(root)
    try:
        ask(daemon.at, b"/-/ready")
        told = {"start to yes, s": daemon.ready_s, "start to yes, CPU s": daemon.ready_cpu_s}
        before = daemon.resident_kib()
        cpu = daemon.cpu_s()
        crowd = [socket.create_connection(daemon.at) for _ in range(SILENT)]
        ask(daemon.at, b"/-/ready")  # behind all of them in the queue
        told["KiB a silent connection"] = (daemon.resident_kib() - before) / SILENT
        told["CPU us a silent connection"] = (daemon.cpu_s() - cpu) / SILENT * 1e6
        for sock in crowd:
            sock.close()
        has_admin_api = daemon.admin is not None
    finally:
        daemon.end()
    if has_admin_api:
        daemon = Daemon(root, watched=True)
        try:
            told |= storm(daemon)
            told["loop's longest turn, ms"] = daemon.longest_turn_ms()
        finally:
            daemon.end()
    return told


def storm(daemon: Daemon) -> dict[str, float]:
    """Connections as fast as they can be made, a request to the admin API between them."""
    assert daemon.admin is not None
    late = []
    crowd = list[socket.socket]()
    for n in range(STORM):
        crowd.append(socket.create_connection(daemon.at))
        if n % 60 == 59:
            began = time.monotonic()
            assert b"open_requests" in ask(daemon.admin, b"/admin/stats")
            late.append((time.monotonic() - began) * 1000.0)
        if len(crowd) >= 1_500:
            crowd.pop(0).close()
    for sock in crowd:
        sock.close()
    late.sort()
    return {"admin API, median ms": median(late), "admin API, latest ms": late[-1]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", metavar="REV", help="another revision, measured in turns with this one")
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.serve:
        serve()
        return
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_384), hard))
    root = Path(__file__).resolve().parent.parent
    rows: dict[str, list[dict[str, float]]] = {"this one": []}
    with tempfile.TemporaryDirectory() as folder:
        if told.against:
            archive = subprocess.run(
                ["git", "archive", told.against], cwd=root, check=True, capture_output=True
            )
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
            rows[told.against] = []
        for name in rows:  # compiled once, so that no turn counts it
            Daemon(root if name == "this one" else Path(folder)).end()
        for _ in range(TURNS):
            rows["this one"].append(measure(root))
            if told.against:
                rows[told.against].append(measure(Path(folder)))
    figures: dict[str, dict[str, Any]] = {
        name: {key: median(turn[key] for turn in turns) for key in turns[0]} for name, turns in rows.items()
    }
    for key, value in figures["this one"].items():
        other = figures.get(told.against or "", {}).get(key)
        print(f"{key:28} {value:9.3f}" + (f"  {other:9.3f}  x{value / other:.2f}" if other else ""))


if __name__ == "__main__":
    main()
