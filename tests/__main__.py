"""The test command: `python -m tests` runs ruff (lint and format), mypy and pytest.

The checkers run at the same time as the tests in virtual time, whose outcome does not depend on the load of
the machine. Tests that measure real time or start processes run afterwards, without other load: in two
parallel runs, each on half of the cores, or one after the other on a machine with few cores. Outputs are
printed in order, and the last line counts the tests of all runs.

The tests listed in KNOWN-RED.txt run last, each by itself; their outcomes are printed, and they may fail.
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

from tests.known_red import KnownFailure, KnownFailureListError, parse_known_failures

ROOT = Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
# pytest's exit statuses; any other means that the test did not run
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
    "tests/test_placement_cost.py",
    "tests/test_routing.py",
    "tests/test_rules.py",
    "tests/test_stored_records.py",
    "tests/test_stored_state.py",
)
PROCESSES = (
    "tests/test_chat_events.py",
    "tests/test_commands.py",
    "tests/test_fault_campaign.py",
    "tests/test_fault_findings.py",
    "tests/test_held_state.py",
    "tests/test_incomplete_streams.py",
    "tests/test_log_output.py",
    "tests/test_malformed_responses.py",
    "tests/test_rehearsal_fleet.py",
    "tests/test_repeated_orders.py",
    "tests/test_shutdown_streams.py",
    "tests/test_slow_responses.py",
    "tests/test_soak.py",
    "tests/test_startup_signals.py",
    "tests/test_startup_time.py",
)
"""Tests that start processes; together they take about as long as all other tests in real time."""
MIN_CORES_TO_HALVE = 8
OUTCOME_COUNT = re.compile(r"(\d+) (passed|failed|error)")


class Half(Enum):
    """The half of the cores that a step runs on."""

    FIRST = 0
    SECOND = 1

    def select(self, cores: list[int]) -> list[int]:
        """Return this half of `cores`."""
        middle = len(cores) // 2
        return cores[:middle] if self is Half.FIRST else cores[middle:]


class Step(NamedTuple):
    """A Python module to run, its arguments, and the half of the cores that it runs on (None: all cores)."""

    module: str
    arguments: tuple[str, ...] = ()
    half: Half | None = None

    @property
    def command(self) -> tuple[str, ...]:
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

    A step whose output fills its pipe waits until the steps before it have ended. Steps with a half of the
    cores run one after the other if there are fewer than `MIN_CORES_TO_HALVE`.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < MIN_CORES_TO_HALVE and any(step.half for step in steps):
        return [finished for step in steps for finished in run([step._replace(half=None)])]
    with ExitStack() as stack:
        processes = [stack.enter_context(_start(step)) for step in steps]
        return [_finish(step, process) for step, process in zip(steps, processes, strict=True)]


def _start(step: Step) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", *step.command]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace"
    )
    if step.half is not None:
        os.sched_setaffinity(process.pid, step.half.select(sorted(os.sched_getaffinity(0))))
    return process


def _finish(step: Step, process: subprocess.Popen[str]) -> Finished:
    print("$", *step.command, flush=True)
    last_line = ""
    for line in process.stdout or ():
        print(line, end="", flush=True)
        last_line = line
    return Finished(process.wait(), last_line)


def main(run: Runner = run, known_failures_file: Path = KNOWN_FAILURES_FILE) -> int:
    """Run every step; return 0 if all tests pass except the known failures."""
    try:
        known_failures = parse_known_failures(
            known_failures_file.read_text() if known_failures_file.exists() else ""
        )
    except KnownFailureListError as error:
        print(f"KNOWN-RED.txt: {error}")
        return 1
    failed = []
    closing_lines = []
    for stage in STAGES:
        steps = [_deselect(known_failures, step) for step in stage]
        for step, finished in zip(steps, run(steps), strict=True):
            if step.module == "pytest":
                closing_lines.append(finished.last_line)
            if finished.code != PASSED:
                failed.append(step)
    code = run_known_failures(known_failures, run)
    for step in failed:
        print("failed:", *step.command)
    print(count_tests(closing_lines))
    return 1 if failed else code


def _deselect(known_failures: list[KnownFailure], step: Step) -> Step:
    """Exclude the known failures from a step that runs pytest."""
    if step.module != "pytest":
        return step
    return step._replace(arguments=(*step.arguments, *_deselect_options(known_failures)))


def _deselect_options(known_failures: list[KnownFailure]) -> Iterator[str]:
    for known_failure in known_failures:
        yield "--deselect"
        yield known_failure.test


def count_tests(closing_lines: list[str]) -> str:
    """Add up the counts in pytest's closing lines; an error in a fixture or module counts as a failure."""
    counts = {"passed": 0, "failed": 0, "error": 0}
    for line in closing_lines:
        for number, outcome in OUTCOME_COUNT.findall(line):
            counts[outcome] += int(number)
    return f"{counts['passed']} passed, {counts['failed'] + counts['error']} failed"


def run_known_failures(known_failures: list[KnownFailure], run: Runner) -> int:
    """Run each known failure by itself and print its outcome; return 1 if one did not run."""
    codes = [run([Step("pytest", (known_failure.test,))])[0].code for known_failure in known_failures]
    for known_failure, code in zip(known_failures, codes, strict=True):
        outcome = {PASSED: "passes now, remove it from the list", FAILED: "fails as known"}.get(
            code, "DID NOT RUN"
        )
        print(
            f"known failure: {known_failure.test}: {outcome} ({known_failure.cause}; {known_failure.issue})"
        )
    return 0 if all(code in (PASSED, FAILED) for code in codes) else 1


if __name__ == "__main__":
    sys.exit(main())
