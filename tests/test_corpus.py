"""Broken operator's files, each with all that the checker says of it.

A case is two files in `tests/corpus`: NAME.violet and NAME.expect. `### file: OTHER` begins a further file
of the case. `python -m tests.test_corpus NAME` prints what the checker says now, for a new case.
"""

from __future__ import annotations

import os
import sys
import tempfile
from pathlib import Path

import pytest

from violetstack.language.checker import check, in_order
from violetstack.language.files import read

CORPUS = Path(__file__).parent / "corpus"
CASES = sorted(path.stem for path in CORPUS.glob("*.violet"))


def told(name: str, folder: Path) -> str:
    """What the checker says of a case, in a folder where it is `main.violet`."""
    parts = (CORPUS / f"{name}.violet").read_bytes().split(b"### file: ")
    (folder / "main.violet").write_bytes(parts[0])
    for part in parts[1:]:
        file, _, text = part.partition(b"\n")
        (folder / file.decode()).write_bytes(text)
    for path in folder.iterdir():
        path.chmod(0o644)
    before = Path.cwd()
    os.chdir(folder)
    try:
        checked = check(read("main.violet"))
    finally:
        os.chdir(before)
    return "\n".join(in_order(checked.problems, checked.sources)) + "\n"


def test_the_corpus_is_large_and_every_case_has_its_message() -> None:
    assert len(CASES) >= 60
    assert {path.stem for path in CORPUS.glob("*.expect")} == set(CASES)


@pytest.mark.parametrize("name", CASES)
def test_a_broken_file_gets_its_message(name: str, tmp_path: Path) -> None:
    assert told(name, tmp_path) == (CORPUS / f"{name}.expect").read_text()


if __name__ == "__main__":
    for case in sys.argv[1:]:
        with tempfile.TemporaryDirectory() as scratch:
            sys.stdout.write(told(case, Path(scratch)))
