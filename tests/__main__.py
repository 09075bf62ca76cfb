"""The test command: `python -m tests` runs ruff (lint and format), mypy and pytest.

Tests that KNOWN-RED.txt names are run last and by themselves: they are printed, and may fail.
"""

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from tests.known_red import KnownRedListError, Red, known_red

STEPS = (["ruff", "check", "."], ["ruff", "format", "--check", "."], ["mypy"], ["pytest"])
RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
# pytest's own codes; any other says that the test did not run
PASSED = 0
FAILED = 1


def run(*words: str) -> int:
    print("$", " ".join(words), flush=True)
    return subprocess.run([sys.executable, "-m", *words], check=False).returncode


def main(run: Callable[..., int] = run, red: Path = RED) -> int:
    try:
        reds = known_red(red.read_text() if red.exists() else "")
    except KnownRedListError as error:
        print(f"KNOWN-RED.txt: {error}")
        return 1
    for step in STEPS:
        passed_over = [word for each in reds for word in ("--deselect", each.test)]
        if code := run(*step, *(passed_over if step == ["pytest"] else ())):
            return code
    return judge(reds, run)


def judge(reds: list[Red], run: Callable[..., int]) -> int:
    codes = {each: run("pytest", each.test) for each in reds}
    for each, code in codes.items():
        told = {PASSED: "passes now, take it out", FAILED: "fails as known"}.get(code, "DID NOT RUN")
        print(f"known red: {each.test}: {told} ({each.cause}; {each.issue})")
    return 0 if all(code in (PASSED, FAILED) for code in codes.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
