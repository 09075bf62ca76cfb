"""What check, fmt and diff of large files cost in time and memory, and how that grows.

    .venv/bin/python -m benchmarks.language

Each row runs in a process of its own, so that its peak of resident memory is its own.
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

LINES = (100, 1_000, 10_000)


def file_of(lines: int) -> str:
    """A file of about so many lines: four lines a route, a few pools."""
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


def one(what: str, lines: int) -> None:
    text = file_of(lines)
    started = time.perf_counter()
    if what == "fmt":
        layout(text)
    else:
        result = check(read_text(text))
        assert result.meaning is not None, result.problems[:3]
        if what == "diff":
            other = check(read_text(layout(text.replace("pool = p3", "pool = p4"))))
            assert other.meaning is not None
            assert difference(result.meaning, other.meaning)
    took = time.perf_counter() - started
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"{what:6} {lines:6} lines {took:8.2f} s {took / lines * 1e6:8.1f} us/line {peak:5.0f} MB")


def main() -> None:
    for what in ("check", "fmt", "diff"):
        for lines in LINES:
            subprocess.run([sys.executable, "-m", "benchmarks.language", what, str(lines)], check=True)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        one(sys.argv[1], int(sys.argv[2]))
    else:
        main()
