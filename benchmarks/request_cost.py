"""CPU time of a request in one dispatcher process, optionally compared with another revision.

    python -m benchmarks.request_cost [--against REV] [--turns N]

A dispatcher process serves requests one after the other, each on its own connection; this process simulates
the model hosts. The dispatcher's CPU time (from /proc) is divided by the number of requests. Prints the
median over N repetitions, which alternate between the revisions.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median

import trio

from violetstack.rehearsal.clients import ask_platform
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.stage import SETTINGS

ROOT = Path(__file__).parents[1]
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
WARM_UP_REQUESTS = 100
REQUESTS = 1_000


async def measure(tree: Path) -> float:
    """Return the milliseconds of CPU time per request."""
    hosts = [ModelHost("r", "prefill"), ModelHost("w", "decode")]
    async with trio.open_nursery() as nursery:
        for host in hosts:
            await nursery.start(host.serve)
        known = {"version": 1, "full": True, "servers": [host.row() for host in hosts]}
        node = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS, "known": known}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps(node))
            file.flush()
            spent_s = await _serve(tree, file.name)
        nursery.cancel_scope.cancel()
    return spent_s / REQUESTS * 1000.0


async def _serve(tree: Path, config: str) -> float:
    env = {**os.environ, "NODE_CONFIG": config, "PYTHONPATH": str(tree)}
    command = [sys.executable, "-m", "violetstack"]
    with tempfile.TemporaryFile() as log:
        program = subprocess.Popen(command, cwd=tree, env=env, stdout=log)  # noqa: ASYNC220 - starts at once
        try:
            address = await _wait_for_platform_address(log.fileno())
            for number in range(WARM_UP_REQUESTS + REQUESTS):
                if number == WARM_UP_REQUESTS:
                    started_s = _cpu_s(program.pid)
                answer = await ask_platform(address, f"q{number}", "consulta")
                if answer.outcome != "served":
                    raise RuntimeError(answer.outcome)
            return _cpu_s(program.pid) - started_s
        finally:
            program.kill()
            program.wait()


async def _wait_for_platform_address(log_descriptor: int) -> tuple[str, int]:
    while True:
        for line in os.pread(log_descriptor, 65536, 0).splitlines():
            event = json.loads(line)
            if event["event"] == "started":
                return event["platform"][0], event["platform"][1]
        await trio.sleep(0.02)


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", help="another revision, measured alternating with this one")
    parser.add_argument("--turns", type=int, default=7)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trees = {"here": ROOT}
        if arguments.against:
            trees[arguments.against] = Path(folder)
            archive = subprocess.run(
                ["git", "archive", arguments.against], cwd=ROOT, check=True, capture_output=True
            )
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        samples = [
            {name: trio.run(measure, tree) for name, tree in trees.items()} for _ in range(arguments.turns)
        ]
    for name in trees:
        figures = [sample[name] for sample in samples]
        print(f"{name}: {median(figures):.3f} ms a request ({min(figures):.3f} to {max(figures):.3f})")
    if arguments.against:
        ratios = [sample["here"] / sample[arguments.against] for sample in samples]
        print(
            f"here against {arguments.against}: {median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


if __name__ == "__main__":
    main()
