"""What a start costs: processor time and memory from `exec` to the line `started`, with 100 hosts known.

`python -m benchmarks.start [--against REV] [--plays N]`: medians and the least, by turns where there are two.
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


def start(tree: Path, config: Path) -> tuple[float, float]:
    """Seconds of processor time, and MiB, when it says that it has started."""
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
    asked = argparse.ArgumentParser(description=__doc__)
    asked.add_argument("--against", help="a revision to measure by turns with this tree")
    asked.add_argument("--plays", type=int, default=15)
    told = asked.parse_args()
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
        if told.against:
            trees[told.against] = Path(folder) / "tree"
            trees[told.against].mkdir()
            pack = ["git", "archive", told.against]
            archive = subprocess.run(pack, cwd=ROOT, check=True, capture_output=True).stdout
            subprocess.run(["tar", "-x", "-C", str(trees[told.against])], input=archive, check=True)
        compiled = [sys.executable, "-m", "compileall", "-q", "violetstack"]
        for tree in trees.values():
            subprocess.run(compiled, cwd=tree, check=True)
        rows = [{name: start(tree, file) for name, tree in trees.items()} for _ in range(told.plays)]
    for name in trees:
        cpu = [row[name][0] for row in rows]
        memory = [row[name][1] for row in rows]
        print(f"{name}: {median(cpu):.2f} s of CPU (least {min(cpu):.2f}), {median(memory):.1f} MiB at ready")


if __name__ == "__main__":
    main()
