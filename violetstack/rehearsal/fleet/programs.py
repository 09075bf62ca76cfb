"""Dispatcher processes, started by the `run` command of the deploy file.

They are killed when the rehearsal ends (PR_SET_PDEATHSIG). Configurations are in memory (memfd), logs in
unnamed files.
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
    """Have this process killed as soon as its parent ends, for whatever reason."""
    LIBC.prctl(DIE_WITH_PARENT, signal.SIGKILL)


class Program:
    """One dispatcher's process, its configuration and its log.

    Attributes:
        node_config: The NODE_CONFIG object without the seed.
        last_ready_at: When it was last found ready.
        expected_running: Whether it has been started and was not told to end.
        idle_connections: Open connections of clients, for further requests.
        preload: Further variables of the environment.
        shared: Further descriptors that the process inherits.
    """

    def __init__(
        self, number: int, address: Address, node_config: dict[str, Any], plan: Plan, root: Path
    ) -> None:
        self.number = number
        self.address = address
        self.node_config = node_config
        self.root = root
        self.sockets = plan.sockets
        self.operator_file = plan.operator_file
        self.process: subprocess.Popen[bytes] | None = None
        self.log: IO[bytes] = tempfile.TemporaryFile()  # noqa: SIM115 - open until the audit
        self.started_at = 0.0
        self.ready_at = math.inf
        self.last_ready_at = -math.inf
        self.expected_running = False
        self.idle_connections: list[trio.SocketStream] = []
        self.preload: dict[str, str] = {}
        self.shared: tuple[int, ...] = ()
        self.output: int | IO[bytes] = self.log
        self.configuration_path = ""
        self._seed = 0

    def start(self, now: float, seed: int) -> None:
        """Start the process at a time of the run; `seed` goes into its configuration."""
        files = [os.memfd_create("config"), os.memfd_create("operator")]
        self._seed = seed
        os.write(files[0], self._configuration())
        os.write(files[1], self.operator_file.encode())
        limits = resource.RLIMIT_NOFILE, (self.sockets, self.sockets)

        cores = sorted(os.sched_getaffinity(0))

        def prepare_child() -> None:
            die_with_parent()
            if len(cores) > 2:
                os.sched_setaffinity(0, cores[1:])  # the first is for the simulated hosts and clients
            resource.setrlimit(*limits)

        env = {**self.preload, "PATH": os.environ.get("PATH", ""), "NODE_CONFIG": f"/proc/self/fd/{files[0]}"}
        arguments = f" serve /proc/self/fd/{files[1]}" if self.operator_file else ""
        self.process = subprocess.Popen(
            command(self.root, arguments),
            cwd=self.root,
            env=env,
            pass_fds=(*files, *self.shared),
            stdin=subprocess.DEVNULL,
            preexec_fn=prepare_child,  # noqa: PLW1509 - the rehearsal has one thread
            stdout=self.output,
            stderr=self.log,
        )
        self.configuration_path = f"/proc/{self.process.pid}/fd/{files[0]}"
        for file in files:
            os.close(file)
        self.started_at = now
        self.ready_at = math.inf
        self.expected_running = True

    def rewrite_configuration(self) -> None:
        """Write the present `node_config`, which the running process reads at its next reload."""
        Path(self.configuration_path).write_bytes(self._configuration())

    def _configuration(self) -> bytes:
        return orjson.dumps({**self.node_config, "seed": f"{self._seed:x}"})

    def send(self, number: int) -> None:
        """Send a signal, if the process has been started."""
        if self.process is not None:
            self.process.send_signal(number)

    def processor_wait_s(self) -> float:
        """Return the total time that its main thread was ready to run and waited for a processor."""
        if self.process is None:
            return 0.0
        try:
            fields = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) / 1e9 if len(fields) > 1 else 0.0

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.expected_running = False
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    def events(self) -> list[dict[str, Any]]:
        """Return the log lines of all starts, parsed."""
        self.log.seek(0)
        return [orjson.loads(row) for row in self.log.read().splitlines() if row.startswith(b"{")]


def command(root: Path, arguments: str) -> list[str]:
    """Return the command that starts the dispatcher of a source tree."""
    deploy = root / "deploy" / "balancer.toml"
    if deploy.exists() and (root / ".venv").exists():
        return ["/bin/sh", "-c", tomllib.loads(deploy.read_text())["run"] + arguments]
    return [sys.executable, "-m", "violetstack", *arguments.split()]
