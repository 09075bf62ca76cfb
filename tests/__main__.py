"""The test command: `python -m tests` runs ruff (lint and format), mypy and pytest.

The checkers run beside the tests in virtual time, which no load can fail. Tests that are timed or start
processes then have the machine to themselves: in two runs side by side, each on half of the cores, or one
after the other where there are few. Outputs are printed in order, and the last line counts the tests of all
runs.

Tests that KNOWN-RED.txt names are run last and by themselves: they are printed, and may fail.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from enum import Enum
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
    "tests/test_routing.py",
    "tests/test_rules.py",
    "tests/test_stored_records.py",
    "tests/test_stored_state.py",
)
PROCESSES = (
    "tests/test_commands.py",
    "tests/test_fault_campaign.py",
    "tests/test_fault_findings.py",
    "tests/test_held_state.py",
    "tests/test_log_output.py",
    "tests/test_rehearsal_fleet.py",
    "tests/test_shutdown_streams.py",
    "tests/test_soak.py",
    "tests/test_startup_signals.py",
    "tests/test_startup_time.py",
)
"""Tests that play with processes; together they take about as long as all other timed tests."""
MIN_CORES_TO_HALVE = 8
CLOSING_COUNT = re.compile(r"(\d+) (passed|failed|error)")


class Half(Enum):
    """Which half of the cores a step runs on."""

    FIRST = 0
    SECOND = 1

    def of(self, cores: list[int]) -> list[int]:
        """Its part of these cores."""
        middle = len(cores) // 2
        return cores[:middle] if self is Half.FIRST else cores[middle:]


class Step(NamedTuple):
    """A Python module with its arguments, and the half of the cores that it has; None: all."""

    module: str
    arguments: tuple[str, ...] = ()
    half: Half | None = None

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
    (
        Step("pytest", PROCESSES, Half.FIRST),
        Step("pytest", ("tests", *(f"--ignore={file}" for file in VIRTUAL_TIME + PROCESSES)), Half.SECOND),
    ),
)


def run(steps: list[Step]) -> list[Finished]:
    """Run steps at the same time and print their outputs one after another.

    A step whose output fills its pipe waits until those before it have ended. Steps that want a half of the
    cores each run one after the other where there are too few to halve.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < MIN_CORES_TO_HALVE and any(step.half for step in steps):
        return [finished for step in steps for finished in run([step._replace(half=None)])]
    with ExitStack() as stack:
        processes = [stack.enter_context(_start(step)) for step in steps]
        return [_finish(step, process) for step, process in zip(steps, processes, strict=True)]


def _start(step: Step) -> subprocess.Popen[str]:
    words = [sys.executable, "-m", *step.words]
    process = subprocess.Popen(
        words, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace"
    )
    if step.half is not None:
        os.sched_setaffinity(process.pid, step.half.of(sorted(os.sched_getaffinity(0))))
    return process


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
    return step._replace(arguments=(*step.arguments, *_deselections(reds)))


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
