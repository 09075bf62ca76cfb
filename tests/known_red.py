"""Parser of KNOWN-RED.txt, which lists the few tests that fail because of a known, unfixed fault."""

from __future__ import annotations

from typing import NamedTuple

MAX_KNOWN_FAILURES = 3


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
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        failure = KnownFailure(test.strip(), cause.strip(), issue.strip())
        if not all(failure) or not failure.test.startswith("tests/") or "::" not in failure.test:
            raise KnownFailureListError(f"expected 'tests/FILE.py::TEST, cause, issue', got {line[:80]!r}")
        failures.append(failure)
    if len(failures) > MAX_KNOWN_FAILURES:
        raise KnownFailureListError(f"{len(failures)} tests listed, at most {MAX_KNOWN_FAILURES} are allowed")
    return failures
