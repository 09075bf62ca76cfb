"""Files, places in them, and problems as a person or an editor reads them."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from difflib import get_close_matches
from pathlib import Path
from typing import Any

SHOWN = 100  # columns of the line that a problem shows; guards the terminal against a line of a megabyte
MAX_PROBLEMS = 200  # of a run


@dataclass(frozen=True, slots=True)
class Span:
    """From `start` to before `end`, in characters of the file."""

    file: str
    start: int
    end: int


class Source:
    """One file's text; `line` and `column` count from 1."""

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.text = text
        self._lines = [0]
        for n, char in enumerate(text):
            if char == "\n":
                self._lines.append(n + 1)

    def place(self, at: int) -> tuple[int, int]:
        line = bisect_right(self._lines, at)
        return line, at - self._lines[line - 1] + 1

    def line(self, number: int) -> str:
        start = self._lines[number - 1]
        end = self.text.find("\n", start)
        return self.text[start : len(self.text) if end < 0 else end]


@dataclass(frozen=True, slots=True)
class Problem:
    """`fix` is what the writer most likely meant to do; `also` are other places that belong to it."""

    message: str
    span: Span
    fix: str = ""
    also: tuple[tuple[str, Span], ...] = ()
    warning: bool = False

    @property
    def severity(self) -> str:
        return "warning" if self.warning else "error"


class Broken(Exception):
    """One problem that ends the work on a value; the caller collects it and goes on."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.message)
        self.problem = problem


@dataclass
class Sources:
    """All files of a run, by the name they are shown under."""

    files: dict[str, Source] = field(default_factory=dict)

    def where(self, span: Span) -> str:
        line, _ = self.files[span.file].place(span.start)
        return f"{span.file}:{line}"

    def render(self, problem: Problem) -> str:
        source = self.files[problem.span.file]
        line, column = source.place(problem.span.start)
        rows = [f"{problem.span.file}:{line}:{column}: {problem.severity}: {problem.message}"]
        shown = source.line(line).replace("\t", " ").rstrip("\r")
        left = max(0, column - 1 - SHOWN // 2) if len(shown) > SHOWN else 0
        width = max(1, min(problem.span.end - problem.span.start, len(shown) - column + 1))
        part = "".join(c if c.isprintable() else "?" for c in shown[left : left + SHOWN])
        if part.strip():
            rows.append(f"    {part}")
            rows.append(f"    {' ' * (column - 1 - left)}{'^' * min(width, SHOWN - (column - 1 - left))}")
        if problem.fix:
            rows.append(f"    fix: {problem.fix}")
        for text, span in problem.also:
            rows.append(f"    {self.where(span)}: {text}")
        return "\n".join(rows)

    def plain(self, problem: Problem) -> dict[str, Any]:
        """For editors: one flat object a problem."""
        source = self.files[problem.span.file]
        line, column = source.place(problem.span.start)
        end_line, end_column = source.place(min(problem.span.end, len(source.text)))
        return {
            "file": problem.span.file,
            "line": line,
            "column": column,
            "end_line": end_line,
            "end_column": end_column,
            "severity": problem.severity,
            "message": problem.message,
            "fix": problem.fix,
            "also": [{"at": self.where(s), "text": text} for text, s in problem.also],
        }


def shown_name(path: Path, base: Path) -> str:
    """Relative to where the reader stands, where that is shorter."""
    try:
        return str(path.relative_to(base))
    except ValueError:
        return str(path)


def nearest(name: str, known: list[str]) -> str:
    """` did you mean` for a name that is not known; empty if nothing is close."""
    found = get_close_matches(name, known, n=1, cutoff=0.6)
    return f"did you mean {found[0]!r}?" if found else ""
