"""The test command: `python -m tests` runs ruff (lint and format), mypy and pytest.

The checkers run beside the tests in virtual time, which no load can fail. Tests that are timed or start
processes then have the machine to themselves. Outputs are printed in order, and the last line counts the
tests of both runs.

Tests that KNOWN-RED.txt names are run last and by themselves: they are printed, and may fail.
"""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from tests.known_red import KnownRedListError, Red, known_red

ROOT = Path(__file__).parent.parent
RED = ROOT / "KNOWN-RED.txt"
# pytest's own codes; any other says that the test did not run
PASSED = 0
FAILED = 1

VIRTUAL_TIME = (
    "tests/test_cordons.py",
    "tests/test_corpus.py",
    "tests/test_defences.py",
    "tests/test_gossip.py",
    "tests/test_idempotency.py",
    "tests/test_language.py",
    "tests/test_lease.py",
    "tests/test_lease_node.py",
    "tests/test_level_journal.py",
    "tests/test_level_state_machine.py",
    "tests/test_load_shedding.py",
    "tests/test_mechanism.py",
    "tests/test_remote_hold.py",
    "tests/test_routing.py",
    "tests/test_rules.py",
    "tests/test_stored_records.py",
    "tests/test_stored_state.py",
)
CLOSING_COUNT = re.compile(r"(\d+) (passed|failed|error)")


class Step(NamedTuple):
    """A Python module with its arguments."""

    module: str
    arguments: tuple[str, ...] = ()

    @property
    def words(self) -> tuple[str, ...]:
        return (self.module, *self.arguments)


class Finished(NamedTuple):
    """The exit status of a step, and the last line that it printed."""

    code: int
    last_line: str = ""


Runner = Callable[[list[Step]], list[Finished]]

STAGES = (
    (
        Step("ruff", ("check", ".")),
        Step("ruff", ("format", "--check", ".")),
        Step("mypy"),
        Step("pytest", VIRTUAL_TIME),
    ),
    (Step("pytest", ("tests", *(f"--ignore={file}" for file in VIRTUAL_TIME))),),
)


def run(steps: list[Step]) -> list[Finished]:
    """Run steps at the same time and print their outputs one after another.

    A step whose output fills its pipe waits until those before it have ended.
    """
    with ExitStack() as stack:
        processes = [stack.enter_context(_start(step)) for step in steps]
        return [_finish(step, process) for step, process in zip(steps, processes, strict=True)]


def _start(step: Step) -> subprocess.Popen[str]:
    words = [sys.executable, "-m", *step.words]
    return subprocess.Popen(
        words, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace"
    )


def _finish(step: Step, process: subprocess.Popen[str]) -> Finished:
    print("$", *step.words, flush=True)
    last_line = ""
    for line in process.stdout or ():
        print(line, end="", flush=True)
        last_line = line
    return Finished(process.wait(), last_line)


def main(run: Runner = run, red: Path = RED) -> int:
    """Run every step; return 0 if all but the known red tests pass."""
    try:
        reds = known_red(red.read_text() if red.exists() else "")
    except KnownRedListError as error:
        print(f"KNOWN-RED.txt: {error}")
        return 1
    failed = []
    closing_lines = []
    for stage in STAGES:
        steps = [_without(reds, step) for step in stage]
        for step, finished in zip(steps, run(steps), strict=True):
            if step.module == "pytest":
                closing_lines.append(finished.last_line)
            if finished.code != PASSED:
                failed.append(step)
    code = judge(reds, run)
    for step in failed:
        print("failed:", *step.words)
    print(count_tests(closing_lines))
    return 1 if failed else code


def _without(reds: list[Red], step: Step) -> Step:
    """Let pytest pass over the known red tests."""
    if step.module != "pytest":
        return step
    return Step("pytest", (*step.arguments, *_deselections(reds)))


def _deselections(reds: list[Red]) -> Iterator[str]:
    for red in reds:
        yield "--deselect"
        yield red.test


def count_tests(closing_lines: list[str]) -> str:
    """Sum up pytest's closing lines; an error in a fixture or a module counts as a failed test."""
    counts = {"passed": 0, "failed": 0, "error": 0}
    for line in closing_lines:
        for number, outcome in CLOSING_COUNT.findall(line):
            counts[outcome] += int(number)
    return f"{counts['passed']} passed, {counts['failed'] + counts['error']} failed"


def judge(reds: list[Red], run: Runner) -> int:
    """Run each known red test and print its outcome; return 1 if one did not run."""
    codes = [run([Step("pytest", (red.test,))])[0].code for red in reds]
    for red, code in zip(reds, codes, strict=True):
        outcome = {PASSED: "passes now, take it out", FAILED: "fails as known"}.get(code, "DID NOT RUN")
        print(f"known red: {red.test}: {outcome} ({red.cause}; {red.issue})")
    return 0 if all(code in (PASSED, FAILED) for code in codes) else 1


if __name__ == "__main__":
    sys.exit(main())
