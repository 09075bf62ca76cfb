"""Resident memory at ready: the plain daemon, and one with an operator's file.

    .venv/bin/python -m benchmarks.memory [OTHER_CHECKOUT]

Five starts each, the median; with another checkout (built the same way) its plain daemon beside ours.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from violetstack.rehearsal.stage import SETTINGS

FILE = 'listen chat { address = "127.0.0.1:0" }\nroute all {}\n'


def resident_kib(words: list[str], env: dict[str, str], at: Path) -> float:
    rows = []
    for _ in range(5):
        with subprocess.Popen(
            words, stdout=subprocess.PIPE, text=True, env={**os.environ, **env}, cwd=at
        ) as program:
            assert program.stdout is not None
            for line in program.stdout:
                if json.loads(line)["event"] == "started":
                    break
            time.sleep(0.2)  # what is freed after the start
            status = Path(f"/proc/{program.pid}/status").read_text()
            rows.append(int(status.split("VmRSS:")[1].split()[0]))
            program.terminate()
    return median(rows)


def main() -> None:
    here = Path(__file__).parent.parent
    with tempfile.TemporaryDirectory() as folder:
        node = Path(folder) / "node.json"
        file = Path(folder) / "operator.violet"
        node.write_text(json.dumps({"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}))
        file.write_text(FILE)
        env = {"NODE_CONFIG": str(node)}
        plain = resident_kib([sys.executable, "-m", "violetstack"], env, here)
        print(f"plain                      {plain / 1024:6.1f} MiB")
        if len(sys.argv) > 1:
            other = resident_kib([sys.executable, "-m", "violetstack"], env, Path(sys.argv[1]).resolve())
            print(
                f"plain, the other checkout  {other / 1024:6.1f} MiB, ours is {(plain - other) / 1024:+.2f}"
            )
        filed = resident_kib([sys.executable, "-m", "violetstack", "serve", str(file)], env, here)
        print(f"with an operator's file    {filed / 1024:6.1f} MiB, {(filed - plain) / 1024:+.2f}")


if __name__ == "__main__":
    main()
