"""Time and memory of check, fmt and diff for large files, and how they grow with the number of lines.

    .venv/bin/python -m benchmarks.language

Each measurement runs in a process of its own, so that its peak resident memory is not that of another.
"""

from __future__ import annotations

import random
import resource
import subprocess
import sys
import time

from violetstack.language.checker import check
from violetstack.language.difference import difference
from violetstack.language.files import read_text
from violetstack.language.layout import layout

LINE_COUNTS = (100, 1_000, 10_000)


def generate_file(lines: int) -> str:
    """Generate a file of about `lines` lines: four lines a route, and a few pools."""
    rng = random.Random(lines)
    rows = [
        "class consulta { aim = 1.5s give_up = 7.5s effect = repeatable }",
        "class orden { aim = 2.5s give_up = 10s effect = once }",
        *(f"tenant t{n} {{}}" for n in range(max(2, lines // 40))),
        *(f"pool p{n} {{ members = cell == {n} }}" for n in range(10)),
    ]
    for n in range((lines - len(rows)) // 4):
        tenant = rng.randrange(max(2, lines // 40))
        low = rng.randrange(0, 90) + n * 100
        when = f"tenant == t{tenant} and class == {rng.choice(('consulta', 'orden'))}"
        rows.append(
            f"route r{n} {{\n  when = {when} and prompt in {low}tok .. {low + 50}tok\n  pool = p{n % 10}\n}}"
        )
    return "\n".join([*rows, "route rest {}", ""])


def measure(operation: str, lines: int) -> None:
    text = generate_file(lines)
    started = time.perf_counter()
    if operation == "fmt":
        layout(text)
    else:
        result = check(read_text(text))
        assert result.meaning is not None, result.problems[:3]
        if operation == "diff":
            other = check(read_text(layout(text.replace("pool = p3", "pool = p4"))))
            assert other.meaning is not None
            assert difference(result.meaning, other.meaning)
    seconds = time.perf_counter() - started
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(
        f"{operation:6} {lines:6} lines {seconds:8.2f} s {seconds / lines * 1e6:8.1f} us/line {peak:5.0f} MB"
    )


def main() -> None:
    for operation in ("check", "fmt", "diff"):
        for lines in LINE_COUNTS:
            subprocess.run([sys.executable, "-m", "benchmarks.language", operation, str(lines)], check=True)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        measure(sys.argv[1], int(sys.argv[2]))
    else:
        main()
