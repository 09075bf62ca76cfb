"""Processor time of a request in one real dispatcher, against another revision in turns.

    python -m benchmarks.request_cost [--against REV] [--turns N]

A dispatcher process serves requests one after the other, each on its own connection, between stand-in hosts
that this process plays. Its own processor time (/proc) is divided by their number: medians over the turns.
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
WARM_UP = 100
REQUESTS = 1_000


async def measure(tree: Path) -> float:
    """Milliseconds of processor time a request."""
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


async def _serve(tree: Path, configuration: str) -> float:
    env = {**os.environ, "NODE_CONFIG": configuration, "PYTHONPATH": str(tree)}
    command = [sys.executable, "-m", "violetstack"]
    with tempfile.TemporaryFile() as log:
        program = subprocess.Popen(command, cwd=tree, env=env, stdout=log)  # noqa: ASYNC220 - starts at once
        try:
            address = await _platform(log.fileno())
            for number in range(WARM_UP + REQUESTS):
                if number == WARM_UP:
                    began_s = _processor_s(program.pid)
                answer = await ask_platform(address, f"q{number}", "consulta")
                if answer.outcome != "served":
                    raise RuntimeError(answer.outcome)
            return _processor_s(program.pid) - began_s
        finally:
            program.kill()
            program.wait()


async def _platform(log: int) -> tuple[str, int]:
    while True:
        for line in os.pread(log, 65536, 0).splitlines():
            event = json.loads(line)
            if event["event"] == "started":
                return event["platform"][0], event["platform"][1]
        await trio.sleep(0.02)


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def main() -> None:
    asked = argparse.ArgumentParser(description=__doc__)
    asked.add_argument("--against", help="a revision to measure by turns with this tree")
    asked.add_argument("--turns", type=int, default=7)
    told = asked.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trees = {"here": ROOT}
        if told.against:
            trees[told.against] = Path(folder)
            archive = subprocess.run(
                ["git", "archive", told.against], cwd=ROOT, check=True, capture_output=True
            )
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        rows = [{name: trio.run(measure, tree) for name, tree in trees.items()} for _ in range(told.turns)]
    for name in trees:
        figures = [row[name] for row in rows]
        print(f"{name}: {median(figures):.3f} ms a request ({min(figures):.3f} to {max(figures):.3f})")
    if told.against:
        ratios = [row["here"] / row[told.against] for row in rows]
        print(f"here against {told.against}: {median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")


if __name__ == "__main__":
    main()
