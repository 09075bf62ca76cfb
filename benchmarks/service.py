"""Cost of a silent connection, latency of the admin API among many connections, and cost of a start.

    python -m benchmarks.service [--against REV]

With --against, another revision is unpacked into a temporary directory and measured with this file,
alternating with this revision; ratios are printed.
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

SILENT_CONNECTIONS = 1_000
STORM_CONNECTIONS = 3_000
REPETITIONS = 3
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Daemon:
    """A dispatcher process whose limits admit thousands of connections.

    Args:
        root: The checkout that it runs from.
        instrumented: Whether it measures the longest iteration of its event loop.
    """

    def __init__(self, root: Path, instrumented: bool = False) -> None:
        self._folder = tempfile.TemporaryDirectory()
        file = Path(self._folder.name) / "config.json"
        config = {
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "seed": "ff",
            "settings": SETTINGS,
            "limits": {"sockets": 4096, "memory_mb": 1024},
        }
        file.write_text(json.dumps(config))
        began = time.monotonic()
        module = ["benchmarks.service", "--serve"] if instrumented else ["violetstack"]
        self.process = subprocess.Popen(
            [sys.executable, "-m", *module],
            cwd=root,
            stdout=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": str(file), "TMPDIR": self._folder.name},
        )
        assert self.process.stdout is not None
        lines = self._lines = (json.loads(line) for line in self.process.stdout)
        started = next(line for line in lines if line["event"] == "started")
        self.ready_s, self.ready_cpu_s = time.monotonic() - began, self.cpu_s()
        self.platform: tuple[str, int] = tuple(started["platform"])
        admin = started.get("admin") or started.get("door")  # "door" is the name in older revisions
        self.admin: tuple[str, int] | None = tuple(admin) if admin else None

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_kib(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return float(status.split("VmRSS:")[1].split()[0])

    def longest_iteration_ms(self) -> float:
        """Shut the dispatcher down; return the longest iteration of its event loop.

        The key in its output is the same in older revisions.
        """
        self.process.terminate()
        return float(next(line["longest_turn_ms"] for line in self._lines if "longest_turn_ms" in line))

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
        self._folder.cleanup()


def fetch(address: tuple[str, int], path: bytes) -> bytes:
    with socket.create_connection(address, timeout=10.0) as sock:
        sock.sendall(b"GET %b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path)
        response = b""
        while data := sock.recv(4096):
            response += data
        return response


class LoopIterations(trio.abc.Instrument):
    """Measures the longest iteration of the event loop, from one I/O wait to the next."""

    def __init__(self) -> None:
        self.longest, self._began = 0.0, time.perf_counter()

    def after_io_wait(self, timeout: float) -> None:
        self._began = time.perf_counter()

    def before_io_wait(self, timeout: float) -> None:
        self.longest = max(self.longest, time.perf_counter() - self._began)


def serve() -> None:
    path = os.environ["NODE_CONFIG"]
    iterations = LoopIterations()

    async def main() -> None:
        iterations.longest = 0.0
        await run(load(path), lambda: load(path, is_reload=True))

    trio.run(main, instruments=[iterations])
    print(json.dumps({"longest_turn_ms": iterations.longest * 1000.0}), flush=True)


def measure(root: Path) -> dict[str, float]:
    daemon = Daemon(root)
    try:
        fetch(daemon.platform, b"/-/ready")
        figures = {"start to ready, s": daemon.ready_s, "start to ready, CPU s": daemon.ready_cpu_s}
        memory_before_kib = daemon.resident_kib()
        cpu_before_s = daemon.cpu_s()
        connections = [socket.create_connection(daemon.platform) for _ in range(SILENT_CONNECTIONS)]
        fetch(daemon.platform, b"/-/ready")  # queued behind all of them, so they have been accepted
        figures["KiB a silent connection"] = (daemon.resident_kib() - memory_before_kib) / SILENT_CONNECTIONS
        figures["CPU us a silent connection"] = (daemon.cpu_s() - cpu_before_s) / SILENT_CONNECTIONS * 1e6
        for sock in connections:
            sock.close()
        has_admin_api = daemon.admin is not None
    finally:
        daemon.kill()
    if has_admin_api:
        daemon = Daemon(root, instrumented=True)
        try:
            figures |= storm(daemon)
            figures["longest loop iteration, ms"] = daemon.longest_iteration_ms()
        finally:
            daemon.kill()
    return figures


def storm(daemon: Daemon) -> dict[str, float]:
    """Open connections as fast as possible; after every 60, time a request to the admin API."""
    assert daemon.admin is not None
    latencies_ms = []
    connections = list[socket.socket]()
    for n in range(STORM_CONNECTIONS):
        connections.append(socket.create_connection(daemon.platform))
        if n % 60 == 59:
            began = time.monotonic()
            assert b"open_requests" in fetch(daemon.admin, b"/admin/stats")
            latencies_ms.append((time.monotonic() - began) * 1000.0)
        if len(connections) >= 1_500:
            connections.pop(0).close()
    for sock in connections:
        sock.close()
    latencies_ms.sort()
    return {"admin API, median ms": median(latencies_ms), "admin API, longest ms": latencies_ms[-1]}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--against", metavar="REV", help="another revision, measured alternating with this one"
    )
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.serve:
        serve()
        return
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_384), hard))
    root = Path(__file__).resolve().parent.parent
    samples: dict[str, list[dict[str, float]]] = {"this one": []}
    with tempfile.TemporaryDirectory() as folder:
        if arguments.against:
            archive = subprocess.run(
                ["git", "archive", arguments.against], cwd=root, check=True, capture_output=True
            )
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
            samples[arguments.against] = []
        for name in samples:  # compiles the modules, so that no repetition includes the compilation
            Daemon(root if name == "this one" else Path(folder)).kill()
        for _ in range(REPETITIONS):
            samples["this one"].append(measure(root))
            if arguments.against:
                samples[arguments.against].append(measure(Path(folder)))
    figures: dict[str, dict[str, Any]] = {
        name: {key: median(row[key] for row in rows) for key in rows[0]} for name, rows in samples.items()
    }
    for key, value in figures["this one"].items():
        other = figures.get(arguments.against or "", {}).get(key)
        print(f"{key:28} {value:9.3f}" + (f"  {other:9.3f}  x{value / other:.2f}" if other else ""))


if __name__ == "__main__":
    main()
