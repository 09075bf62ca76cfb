"""What the test command passes over, and what it does not."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.__main__ import STEPS, main
from tests.known_red import KnownRedListError, known_red

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
    ran: list[tuple[str, ...]] = []

    def run(*words: str) -> int:
        ran.append(words)
        if words[0] != "pytest":
            return 0
        return red if len(words) == 2 else others

    assert main(run, tmp_path / "list") == code
    if code == 0:
        assert [words[1] for words in ran[len(STEPS) :]] == [
            f"tests/test_x.py::test_{name}" for name in names
        ]
        assert ran[len(STEPS) - 1].count("--deselect") == len(names)


def test_formatter_linter_types_and_tests_are_all_run() -> None:
    assert [step[:2] for step in STEPS] == [["ruff", "check"], ["ruff", "format"], ["mypy"], ["pytest"]]
    assert "--check" in STEPS[1]
