"""The dispatchers' processes, by the deploy file's `run`.

None outlives the rehearsal (PR_SET_PDEATHSIG); configurations are in memory (memfd), logs in files without
a name.
"""

from __future__ import annotations

import ctypes
import math
import os
import resource
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import IO, Any

import orjson
import trio

from violetstack.config import Address
from violetstack.rehearsal.fleet.plan import Plan

ROOT = Path(__file__).parents[3]
DIE_WITH_PARENT = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """Has this process end as soon as the one that started it does, however that ends."""
    LIBC.prctl(DIE_WITH_PARENT, signal.SIGKILL)


class Program:
    """One dispatcher's process, its configuration and its log."""

    def __init__(self, number: int, at: Address, told: dict[str, Any], plan: Plan, root: Path) -> None:
        self.number = number
        self.at = at
        self.told = told
        self.root = root
        self.sockets = plan.sockets
        self.file = plan.file
        self.process: subprocess.Popen[bytes] | None = None
        self.log: IO[bytes] = tempfile.TemporaryFile()  # noqa: SIM115 - until the run has been judged
        self.started_at = 0.0
        self.ready_at = math.inf
        self.last_yes = -math.inf
        self.wanted = False
        self.idle: list[trio.SocketStream] = []  # clients' connections
        self.preload: dict[str, str] = {}  # further variables of the environment
        self.shared: tuple[int, ...] = ()  # further descriptors that the process inherits
        self.output: int | IO[bytes] = self.log
        self.configuration_path = ""
        self._seed = 0

    def start(self, now: float, seed: int) -> None:
        files = [os.memfd_create("config"), os.memfd_create("operator")]
        self._seed = seed
        os.write(files[0], self._configuration())
        os.write(files[1], self.file.encode())
        limits = resource.RLIMIT_NOFILE, (self.sockets, self.sockets)

        cores = sorted(os.sched_getaffinity(0))

        def child() -> None:
            die_with_parent()
            if len(cores) > 2:
                os.sched_setaffinity(0, cores[1:])  # the first is the stand-ins'
            resource.setrlimit(*limits)

        env = {**self.preload, "PATH": os.environ.get("PATH", ""), "NODE_CONFIG": f"/proc/self/fd/{files[0]}"}
        more = f" serve /proc/self/fd/{files[1]}" if self.file else ""
        self.process = subprocess.Popen(
            command(self.root, more),
            cwd=self.root,
            env=env,
            pass_fds=(*files, *self.shared),
            stdin=subprocess.DEVNULL,
            preexec_fn=child,  # noqa: PLW1509 - the rehearsal has one thread
            stdout=self.output,
            stderr=self.log,
        )
        self.configuration_path = f"/proc/{self.process.pid}/fd/{files[0]}"
        for file in files:
            os.close(file)
        self.started_at = now
        self.ready_at = math.inf
        self.wanted = True

    def rewrite_configuration(self) -> None:
        """Has the running process find what is in `told` now when it reads its configuration again."""
        Path(self.configuration_path).write_bytes(self._configuration())

    def _configuration(self) -> bytes:
        return orjson.dumps({**self.told, "seed": f"{self._seed:x}"})

    def send(self, number: int) -> None:
        if self.process is not None:
            self.process.send_signal(number)

    def processor_wait_s(self) -> float:
        """How long its main thread has been ready to run and had to wait for a processor so far."""
        if self.process is None:
            return 0.0
        try:
            fields = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) / 1e9 if len(fields) > 1 else 0.0

    def end(self) -> None:
        self.wanted = False
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    def events(self) -> list[dict[str, Any]]:
        self.log.seek(0)
        return [orjson.loads(row) for row in self.log.read().splitlines() if row.startswith(b"{")]


def command(root: Path, more: str) -> list[str]:
    deploy = root / "deploy" / "balancer.toml"
    if deploy.exists() and (root / ".venv").exists():
        return ["/bin/sh", "-c", tomllib.loads(deploy.read_text())["run"] + more]
    return [sys.executable, "-m", "violetstack", *more.split()]
