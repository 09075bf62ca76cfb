"""KNOWN-RED.txt: the few tests that fail for a fault which is known and not mended yet, a line each."""

from __future__ import annotations

from typing import NamedTuple

MOST = 3


class KnownRedListError(Exception):
    """The list is too long, or a line does not say test, cause and issue."""


class Red(NamedTuple):
    test: str  # pytest's id, with its file
    cause: str
    issue: str


def known_red(text: str) -> list[Red]:
    """Lines of `tests/FILE.py::TEST, cause, issue`; raises KnownRedListError."""
    found = []
    for line in text.splitlines():
        if not line.strip():
            continue
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        red = Red(test.strip(), cause.strip(), issue.strip())
        if not all(red) or not red.test.startswith("tests/") or "::" not in red.test:
            raise KnownRedListError(f"not 'tests/FILE.py::TEST, cause, issue': {line[:80]!r}")
        found.append(red)
    if len(found) > MOST:
        raise KnownRedListError(f"{len(found)} tests, {MOST} are the most")
    return found
