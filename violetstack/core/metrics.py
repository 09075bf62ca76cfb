"""How requests end, by class, from the process's start; the core counts each where it settles it, once."""

from __future__ import annotations

import msgspec

ENDS = {"served": "fulfilled", "refused": "throttled", "shed": "throttled", "left": "left"}


class ClassMetrics(msgspec.Struct):
    """One class. What is none of the others is `faulted`: failed, overdue, unusable or cut."""

    taken: int = 0
    fulfilled: int = 0
    throttled: int = 0
    faulted: int = 0
    left: int = 0  # the client went away first

    @property
    def open(self) -> int:
        return self.taken - self.fulfilled - self.throttled - self.faulted - self.left


class RequestMetrics:
    def __init__(self, classes: int) -> None:
        self.classes = [ClassMetrics() for _ in range(classes)]
        self.requests_written = 0  # attempts written whole, reads and writes, second copies included

    def request_accepted(self, cls: int) -> None:
        self.classes[cls].taken += 1

    def request_finished(self, cls: int, answer: str) -> None:
        row = self.classes[cls]
        name = ENDS.get(answer, "faulted")
        if answer == "moved":  # it is its heir's now, and counts there alone
            row.taken -= 1
            return
        setattr(row, name, getattr(row, name) + 1)

    @property
    def open(self) -> int:
        return sum(row.open for row in self.classes)
