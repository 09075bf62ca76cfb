"""Resident memory of a started dispatcher: with NODE_CONFIG alone, and with an operator's file as well.

    .venv/bin/python -m benchmarks.memory [OTHER_CHECKOUT]

Prints the median of five starts each. With another checkout (built the same way), also the memory of its
dispatcher with NODE_CONFIG alone.
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

OPERATOR_FILE = 'listen chat { address = "127.0.0.1:0" }\nroute all {}\n'


def resident_kib(command: list[str], env: dict[str, str], cwd: Path) -> float:
    samples = []
    for _ in range(5):
        with subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True, env={**os.environ, **env}, cwd=cwd
        ) as program:
            assert program.stdout is not None
            for line in program.stdout:
                if json.loads(line)["event"] == "started":
                    break
            time.sleep(0.2)  # lets it free the memory that only the start needs
            status = Path(f"/proc/{program.pid}/status").read_text()
            samples.append(int(status.split("VmRSS:")[1].split()[0]))
            program.terminate()
    return median(samples)


def main() -> None:
    root = Path(__file__).parent.parent
    with tempfile.TemporaryDirectory() as folder:
        node = Path(folder) / "node.json"
        file = Path(folder) / "operator.violet"
        node.write_text(json.dumps({"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}))
        file.write_text(OPERATOR_FILE)
        env = {"NODE_CONFIG": str(node)}
        plain = resident_kib([sys.executable, "-m", "violetstack"], env, root)
        print(f"plain                      {plain / 1024:6.1f} MiB")
        if len(sys.argv) > 1:
            other = resident_kib([sys.executable, "-m", "violetstack"], env, Path(sys.argv[1]).resolve())
            print(
                f"plain, the other checkout  {other / 1024:6.1f} MiB, ours is {(plain - other) / 1024:+.2f}"
            )
        with_file = resident_kib([sys.executable, "-m", "violetstack", "serve", str(file)], env, root)
        print(f"with an operator's file    {with_file / 1024:6.1f} MiB, {(with_file - plain) / 1024:+.2f}")


if __name__ == "__main__":
    main()
