"""What the test command passes over, and what it does not."""

from __future__ import annotations

import ast
import os
from pathlib import Path

import pytest

from tests.__main__ import MIN_CORES_TO_HALVE, ROOT, STAGES, VIRTUAL_TIME, Finished, Half, Step, main
from tests.__main__ import run as run_steps
from tests.known_red import KnownRedListError, known_red

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


def test_a_line_says_test_cause_and_issue() -> None:
    told = known_red("\n" + LINE.format("a"))
    assert told == [("tests/test_x.py::test_a", "sends late, and twice", "issue 30")]


@pytest.mark.parametrize("text", ["tests/test_x.py::test_a", "test_a, cause, issue", "tests/, b, c", "a,b,"])
def test_a_line_that_says_less_is_no_excuse(text: str) -> None:
    with pytest.raises(KnownRedListError):
        known_red(text)


@pytest.mark.parametrize(
    ("names", "red", "others", "code"),
    [
        ("", 0, 0, 0),
        ("a", 1, 0, 0),  # it fails, as known
        ("a", 0, 0, 0),  # it passes by now
        ("a", 4, 0, 1),  # there is no such test
        ("a", 1, 1, 1),  # another fails
        ("abc", 1, 0, 0),
        ("abcd", 1, 0, 1),  # one too many
    ],
)
def test_only_what_is_listed_may_fail(tmp_path: Path, names: str, red: int, others: int, code: int) -> None:
    (tmp_path / "list").write_text("".join(LINE.format(name) for name in names))
    ran: list[Step] = []

    def run(steps: list[Step]) -> list[Finished]:
        ran.extend(steps)
        return [Finished(code_of(step)) for step in steps]

    def code_of(step: Step) -> int:
        if step.module != "pytest":
            return 0
        return red if len(step.arguments) == 1 else others

    assert main(run, tmp_path / "list") == code
    if code == 0:
        assert [step.arguments for step in ran[len(STEPS) :]] == [
            (f"tests/test_x.py::test_{name}",) for name in names
        ]
        for step in ran[: len(STEPS)]:
            expected = len(names) if step.module == "pytest" else 0
            assert step.arguments.count("--deselect") == expected


def test_formatter_linter_types_and_tests_are_all_run() -> None:
    assert [step.words[:2] for step in STEPS[:2]] == [("ruff", "check"), ("ruff", "format")]
    assert "--check" in STEPS[1].arguments
    assert STEPS[2] == Step("mypy")
    assert [step.module for step in STEPS[3:]] == ["pytest"] * 3


def test_each_test_file_is_in_one_run_of_pytest() -> None:
    virtual_time, processes, others = (step.arguments for step in STEPS if step.module == "pytest")
    selected = virtual_time + processes
    assert len(selected) == len(set(selected))
    assert all((ROOT / file).is_file() for file in selected)
    assert others == ("tests", *(f"--ignore={file}" for file in selected))


def test_steps_that_run_side_by_side_share_no_core() -> None:
    cores = list(range(MIN_CORES_TO_HALVE + 1))
    assert sorted(Half.FIRST.of(cores) + Half.SECOND.of(cores)) == cores
    assert [step.half for step in STAGES[-1]] == [Half.FIRST, Half.SECOND]


def test_with_few_cores_the_halves_run_one_after_the_other_on_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The second finds what the first has left behind at its end."""
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    monkeypatch.setattr(os, "sched_getaffinity", lambda _: {0, 1})
    (tmp_path / "first.py").write_text(ENDING_MODULE)
    (tmp_path / "second.py").write_text("import pathlib, sys\nprint(pathlib.Path(sys.argv[1]).read_text())")
    ended = str(tmp_path / "ended")
    steps = [Step("first", (ended,), Half.FIRST), Step("second", (ended,), Half.SECOND)]
    assert run_steps(steps) == [Finished(0, ""), Finished(0, "ended\n")]
    assert "ended" in capsys.readouterr().out


@pytest.mark.parametrize("file", VIRTUAL_TIME)
def test_what_runs_beside_other_steps_neither_waits_nor_starts_processes(file: str) -> None:
    tree = ast.parse((ROOT / file).read_text())
    imported = {name.name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names}
    imported |= {node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    assert imported.isdisjoint(REAL_TIME_MODULES)
    assert not [name for name in imported if name.startswith("violetstack.rehearsal")]
    helpers = {f"{name.replace('.', '/')}.py" for name in imported if name.startswith("tests.test_")}
    assert helpers <= set(VIRTUAL_TIME)


@pytest.mark.parametrize("failing", range(len(STEPS)))
def test_any_failing_step_fails_the_run_and_the_others_are_run_all_the_same(
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


def test_steps_run_at_the_same_time_and_their_outputs_are_printed_in_order(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The first ends in order only once the second has begun; the second prints more than a pipe holds."""
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    (tmp_path / "waiting.py").write_text(WAITING_MODULE)
    (tmp_path / "printing.py").write_text(PRINTING_MODULE)
    begun = str(tmp_path / "begun")
    steps = [Step("waiting", (begun,)), Step("printing", (begun,))]
    assert run_steps(steps) == [Finished(3, "waiting\n"), Finished(0, "printing\n")]
    lines = capsys.readouterr().out.splitlines()
    assert (lines[1], lines[-1]) == ("waiting", "printing")
