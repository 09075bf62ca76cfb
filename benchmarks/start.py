"""CPU time and memory of a start, from `exec` to the log line `started`, with 100 known hosts.

    python -m benchmarks.start [--against REV] [--plays N]

Prints the medians and the minimum CPU time of N starts, which alternate between the revisions if there are
two.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median

from violetstack.rehearsal.stage import SETTINGS

ROOT = Path(__file__).parents[1]
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


def measure_start(tree: Path, config: Path) -> tuple[float, float]:
    """Return the CPU seconds and the resident MiB at the time of the log line `started`."""
    env = {**os.environ, "NODE_CONFIG": str(config), "PYTHONPATH": str(tree)}
    with subprocess.Popen(
        [sys.executable, "-m", "violetstack"], cwd=tree, env=env, stdout=subprocess.PIPE
    ) as program:
        assert program.stdout is not None
        for line in program.stdout:
            if json.loads(line)["event"] == "started":
                break
        fields = Path(f"/proc/{program.pid}/stat").read_text().rpartition(")")[2].split()
        memory = Path(f"/proc/{program.pid}/statm").read_text().split()
        program.send_signal(signal.SIGKILL)
    return (int(fields[11]) + int(fields[12])) * TICK_S, int(memory[1]) * os.sysconf("SC_PAGESIZE") / 2**20


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", help="another revision, measured alternating with this one")
    parser.add_argument("--plays", type=int, default=15)
    arguments = parser.parse_args()
    host = {"zone": "z", "cell": 0, "state": "active", "weight": 1.0, "started_ms": 0}
    servers = [
        {**host, "id": f"h{n}", "addr": f"127.0.0.1:{2000 + n}", "kind": ("prefill", "decode")[n % 2]}
        for n in range(100)
    ]
    config = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(json.dumps({**config, "known": {"version": 1, "full": True, "servers": servers}}))
        trees = {"here": ROOT}
        if arguments.against:
            trees[arguments.against] = Path(folder) / "tree"
            trees[arguments.against].mkdir()
            command = ["git", "archive", arguments.against]
            archive = subprocess.run(command, cwd=ROOT, check=True, capture_output=True).stdout
            subprocess.run(["tar", "-x", "-C", str(trees[arguments.against])], input=archive, check=True)
        compile_command = [sys.executable, "-m", "compileall", "-q", "violetstack"]
        for tree in trees.values():
            subprocess.run(compile_command, cwd=tree, check=True)
        samples = [
            {name: measure_start(tree, file) for name, tree in trees.items()} for _ in range(arguments.plays)
        ]
    for name in trees:
        cpu_s = [sample[name][0] for sample in samples]
        memory_mib = [sample[name][1] for sample in samples]
        print(
            f"{name}: {median(cpu_s):.2f} s of CPU (minimum {min(cpu_s):.2f}), "
            f"{median(memory_mib):.1f} MiB when started"
        )


if __name__ == "__main__":
    main()
