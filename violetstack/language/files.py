"""A file and all that it includes, in the order in which it would be read aloud."""

from __future__ import annotations

import glob
import os
from dataclasses import dataclass, field
from pathlib import Path

from violetstack.language.source import Problem, Source, Sources, Span, nearest, shown_name
from violetstack.language.syntax import MAX_BYTES, Block, Include, Item, Tree, parse

MAX_FILES = 1_000
MAX_TOTAL = 16 * 1024 * 1024  # bytes of all files of a run


class Unreadable(Exception):
    """The file that was asked for can't be read at all."""


@dataclass
class Reading:
    """Everything read: items without their includes, trees by file, and what went wrong."""

    root: Path
    sources: Sources = field(default_factory=Sources)
    items: list[Item] = field(default_factory=list)
    trees: list[Tree] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)
    paths: dict[str, Path] = field(default_factory=dict)  # by shown name
    size: int = 0


def read(path: str | Path) -> Reading:
    """Raises Unreadable if the file itself can't be opened; every other trouble is a problem."""
    root = Path(path)
    try:
        raw = _bytes(root)
    except OSError as error:
        raise Unreadable(f"{path}: {error.strerror or error}") from None
    reader = _Reader(Reading(root))
    reader.take(root, raw, [])
    return reader.reading


def read_text(text: str, name: str = "text") -> Reading:
    """For what is in no file. Includes are relative to the working directory."""
    reader = _Reader(Reading(Path(name)))
    reader.take(Path(name), text.encode(), [])
    return reader.reading


def _bytes(path: Path) -> bytes:
    if not path.is_file():
        raise OSError(None, "no such file" if not path.exists() else "not a file")
    with path.open("rb") as file:
        return file.read(MAX_BYTES + 1)


def _decode(name: str, raw: bytes) -> tuple[Source, Problem | None]:
    if len(raw) > MAX_BYTES:
        return Source(name, ""), Problem(f"the file is longer than {MAX_BYTES} bytes", Span(name, 0, 1))
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        good = raw[: error.start].decode()
        source = Source(name, good)
        message = f"byte 0x{raw[error.start]:02x} is not UTF-8"
        return source, Problem(message, Span(name, len(good), len(good) + 1), "save the file as UTF-8")
    return Source(name, text), None


Chain = list[tuple[str, Include]]  # real files on the way here, each with the include that leads on


class _Reader:
    """Follows includes depth first; `seen` has each real file with the include that brought it."""

    def __init__(self, reading: Reading) -> None:
        self.reading = reading
        self.base = Path.cwd()
        self.seen: dict[str, Include | None] = {}

    def wrong(self, message: str, span: Span, fix: str = "", *also: tuple[str, Span]) -> None:
        self.reading.problems.append(Problem(message, span, fix, also))

    def take(self, path: Path, raw: bytes, chain: Chain, by: Include | None = None) -> None:
        reading = self.reading
        name = shown_name(path, self.base)
        real = os.path.realpath(path)
        self.seen[real] = by
        reading.size += len(raw)
        source, trouble = _decode(name, raw)
        reading.sources.files[name] = source
        reading.paths[name] = path
        if trouble is None and reading.size > MAX_TOTAL:
            trouble = Problem(f"all files together are longer than {MAX_TOTAL} bytes", Span(name, 0, 1))
        if trouble is not None:
            reading.problems.append(trouble)
            return
        tree = parse(source)
        reading.trees.append(tree)
        reading.problems.extend(tree.problems)
        for item in tree.items:
            if isinstance(item, Include):
                self.include(path, item, [*chain, (real, item)])
            else:
                self.no_includes(item)
                reading.items.append(item)

    def no_includes(self, item: Item) -> None:
        for inner in item.items if isinstance(item, Block) else ():
            if isinstance(inner, Include):
                self.wrong(
                    "an include can't stand in a block", inner.span, "move it to the first level of the file"
                )
            else:
                self.no_includes(inner)

    def include(self, path: Path, item: Include, chain: Chain) -> None:
        pattern = item.pattern.text
        if not pattern or "\0" in pattern:
            self.wrong("an include needs the name of a file", item.pattern.span)
            return
        wild = any(char in pattern for char in "*?[")
        found = sorted(glob.glob(str(path.parent / pattern))) if wild else [str(path.parent / pattern)]
        if wild and not found:
            message = f"{pattern!r} matches no file"
            self.reading.problems.append(Problem(message, item.pattern.span, warning=True))
        for each in found:
            if wild and os.path.realpath(each) == chain[-1][0]:
                continue  # a glob that also finds the file it stands in
            if not self.fits(Path(each), item, chain):
                continue
            try:
                raw = _bytes(Path(each))
            except OSError as error:
                self.unreadable(Path(each), item, error)
                continue
            self.take(Path(each), raw, chain, item)

    def fits(self, path: Path, item: Include, chain: Chain) -> bool:
        """Not on the way here, not read before, and not one too many."""
        real = os.path.realpath(path)
        span = item.pattern.span
        on_the_way = [name for name, _ in chain]
        if real in on_the_way:
            start = on_the_way.index(real)
            base = Path(os.path.realpath(self.base))
            ring = [shown_name(Path(name), base) for name in [*on_the_way[start:], real]]
            also = [("included here", each.span) for _, each in chain[start:-1]]
            self.wrong(
                f"the file includes itself: {' -> '.join(ring)}", span, "remove one of these includes", *also
            )
            return False
        if real in self.seen:
            first = self.seen[real]
            also = [("first included here", first.pattern.span)] if first is not None else []
            self.wrong(
                f"{shown_name(path, self.base)!r} is included twice", span, "remove this include", *also
            )
            return False
        if len(self.seen) >= MAX_FILES:
            message = f"more than {MAX_FILES} files are included"
            if not any(problem.message == message for problem in self.reading.problems):
                self.wrong(message, span)
            return False
        return True

    def unreadable(self, path: Path, item: Include, error: OSError) -> None:
        here = [p.name for p in path.parent.glob("*")][:1000] if path.parent.is_dir() else []
        message = f"can't read {shown_name(path, self.base)!r}: {error.strerror or error}"
        self.wrong(message, item.pattern.span, nearest(path.name, here))
