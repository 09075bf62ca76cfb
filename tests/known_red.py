"""Parser of KNOWN-RED.txt, which lists the few tests that fail because of a known, unfixed fault."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_KNOWN_FAILURES = 16
LINE = re.compile(r"(tests/[\w/]+\.py::\w+(?:\[[^]]+\])?),(.+),([^,]+)")
"""The id of a parametrized test may have commas between its brackets."""


class KnownFailureListError(Exception):
    """The list is too long, or a line does not consist of test, cause and issue."""


class KnownFailure(NamedTuple):
    test: str  # pytest's id, with its file
    cause: str
    issue: str


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Parse lines of the form `tests/FILE.py::TEST, cause, issue`.

    Raises:
        KnownFailureListError: A line has another form, or there are more than `MAX_KNOWN_FAILURES`.
    """
    failures = []
    for line in text.splitlines():
        if not line.strip():
            continue
        match = LINE.fullmatch(line.strip())
        failure = KnownFailure(*(part.strip() for part in match.groups())) if match else None
        if failure is None or not all(failure):
            raise KnownFailureListError(f"expected 'tests/FILE.py::TEST, cause, issue', got {line[:80]!r}")
        failures.append(failure)
    if len(failures) > MAX_KNOWN_FAILURES:
        raise KnownFailureListError(f"{len(failures)} tests listed, at most {MAX_KNOWN_FAILURES} are allowed")
    return failures
