"""The test command: the steps that it runs, and the known failures that it tolerates."""

from __future__ import annotations

import ast
import os
from pathlib import Path
from string import ascii_letters

import pytest

from tests.__main__ import MIN_CORES_TO_HALVE, ROOT, STAGES, VIRTUAL_TIME, Finished, Half, Step, main
from tests.__main__ import run as run_steps
from tests.known_red import MAX_KNOWN_FAILURES, KnownFailureListError, parse_known_failures

STEPS = [step for stage in STAGES for step in stage]
REAL_TIME_MODULES = {
    "asyncio",
    "multiprocessing",
    "socket",
    "subprocess",
    "tests.race_helpers",
    "tests.process_time",
    "threading",
    "trio",
}
WAITING_MODULE = """
import pathlib, sys, time
deadline = time.monotonic() + 30.0
while not pathlib.Path(sys.argv[1]).exists() and time.monotonic() < deadline:
    time.sleep(0.01)
print("waiting")
sys.exit(3 if time.monotonic() < deadline else 4)
"""
PRINTING_MODULE = """
import pathlib, sys
pathlib.Path(sys.argv[1]).touch()
print("x" * 200_000)
print("printing")
"""
ENDING_MODULE = """
import pathlib, sys, time
time.sleep(0.1)
pathlib.Path(sys.argv[1]).write_text("ended")
"""
LINE = "tests/test_x.py::test_{}, sends late, and twice, issue 30\n"


def test_a_line_has_test_cause_and_issue() -> None:
    known_failures = parse_known_failures("\n" + LINE.format("a"))
    assert known_failures == [("tests/test_x.py::test_a", "sends late, and twice", "issue 30")]


def test_a_line_names_one_case_of_a_parametrized_test() -> None:
    line = "tests/test_x.py::test_a[one host, then all-state], sends late, issue 30"
    assert parse_known_failures(line) == [
        ("tests/test_x.py::test_a[one host, then all-state]", "sends late", "issue 30")
    ]


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_x.py::test_a",
        "test_a, cause, issue",
        "tests/, b, c",
        "a,b,",
        "tests/test_x.py, cause, issue",
        "tests/test_x.py::test_a, , issue",
        "tests/test_x.py::test_a, cause, ",
        "tests/test_x.py::test_a[one, cause, issue",
        "tests/test_x.py::test_a and others, cause, issue",
    ],
)
def test_a_malformed_line_is_an_error(text: str) -> None:
    with pytest.raises(KnownFailureListError):
        parse_known_failures(text)


@pytest.mark.parametrize(
    ("names", "listed_status", "other_status", "exit_status"),
    [
        ("", 0, 0, 0),
        ("a", 1, 0, 0),  # the listed test fails
        ("a", 0, 0, 0),  # the listed test passes
        ("a", 4, 0, 1),  # pytest does not find the listed test
        ("a", 1, 1, 1),  # another test fails
        ("abc", 1, 0, 0),
        (ascii_letters[:MAX_KNOWN_FAILURES], 1, 0, 0),
        (ascii_letters[: MAX_KNOWN_FAILURES + 1], 1, 0, 1),
    ],
)
def test_only_listed_tests_may_fail(
    tmp_path: Path, names: str, listed_status: int, other_status: int, exit_status: int
) -> None:
    (tmp_path / "list").write_text("".join(LINE.format(name) for name in names))
    ran: list[Step] = []

    def run(steps: list[Step]) -> list[Finished]:
        ran.extend(steps)
        return [Finished(status_of(step)) for step in steps]

    def status_of(step: Step) -> int:
        if step.module != "pytest":
            return 0
        return listed_status if len(step.arguments) == 1 else other_status

    assert main(run, tmp_path / "list") == exit_status
    if exit_status == 0:
        assert [step.arguments for step in ran[len(STEPS) :]] == [
            (f"tests/test_x.py::test_{name}",) for name in names
        ]
        for step in ran[: len(STEPS)]:
            expected = len(names) if step.module == "pytest" else 0
            assert step.arguments.count("--deselect") == expected


def test_the_linter_the_formatter_the_type_checker_and_pytest_run() -> None:
    assert [step.command[:2] for step in STEPS[:2]] == [("ruff", "check"), ("ruff", "format")]
    assert "--check" in STEPS[1].arguments
    assert STEPS[2] == Step("mypy")
    assert [step.module for step in STEPS[3:]] == ["pytest"] * 3


def test_each_test_file_belongs_to_exactly_one_pytest_run() -> None:
    virtual_time, processes, others = (step.arguments for step in STEPS if step.module == "pytest")
    selected = virtual_time + processes
    assert len(selected) == len(set(selected))
    assert all((ROOT / file).is_file() for file in selected)
    assert others == ("tests", *(f"--ignore={file}" for file in selected))


def test_parallel_steps_share_no_core() -> None:
    cores = list(range(MIN_CORES_TO_HALVE + 1))
    assert sorted(Half.FIRST.select(cores) + Half.SECOND.select(cores)) == cores
    assert [step.half for step in STAGES[-1]] == [Half.FIRST, Half.SECOND]


def test_with_few_cores_steps_run_one_after_the_other_on_all_cores(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The second step reads the file that the first one writes just before it ends."""
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    monkeypatch.setattr(os, "sched_getaffinity", lambda _: {0, 1})
    (tmp_path / "first.py").write_text(ENDING_MODULE)
    (tmp_path / "second.py").write_text("import pathlib, sys\nprint(pathlib.Path(sys.argv[1]).read_text())")
    ended = str(tmp_path / "ended")
    steps = [Step("first", (ended,), Half.FIRST), Step("second", (ended,), Half.SECOND)]
    assert run_steps(steps) == [Finished(0, ""), Finished(0, "ended\n")]
    assert "ended" in capsys.readouterr().out


@pytest.mark.parametrize("file", VIRTUAL_TIME)
def test_files_in_virtual_time_use_no_real_time_and_start_no_processes(file: str) -> None:
    tree = ast.parse((ROOT / file).read_text())
    imported = {name.name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names}
    imported |= {node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    assert imported.isdisjoint(REAL_TIME_MODULES)
    assert not [name for name in imported if name.startswith("violetstack.rehearsal")]
    helpers = {f"{name.replace('.', '/')}.py" for name in imported if name.startswith("tests.test_")}
    assert helpers <= set(VIRTUAL_TIME)


@pytest.mark.parametrize("failing", range(len(STEPS)))
def test_a_failing_step_fails_the_run_and_the_other_steps_still_run(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], failing: int
) -> None:
    ran: list[Step] = []

    def run(steps: list[Step]) -> list[Finished]:
        ran.extend(steps)
        return [
            Finished(int(step == STEPS[failing]), "1 failed, 2 passed, 1 error in 0.10s\n") for step in steps
        ]

    assert main(run, tmp_path / "none") == 1
    assert ran == list(STEPS)
    lines = capsys.readouterr().out.splitlines()
    assert [line.startswith("failed: ") for line in lines] == [True, False]
    assert STEPS[failing].module in lines[0]
    assert lines[-1] == "6 passed, 6 failed"


def test_steps_run_in_parallel_and_their_outputs_are_printed_in_order(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The first step succeeds only after the second has started, which prints more than a pipe holds."""
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    (tmp_path / "waiting.py").write_text(WAITING_MODULE)
    (tmp_path / "printing.py").write_text(PRINTING_MODULE)
    begun = str(tmp_path / "begun")
    steps = [Step("waiting", (begun,)), Step("printing", (begun,))]
    assert run_steps(steps) == [Finished(3, "waiting\n"), Finished(0, "printing\n")]
    lines = capsys.readouterr().out.splitlines()
    assert (lines[1], lines[-1]) == ("waiting", "printing")
