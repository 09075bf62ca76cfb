"""Which files there are, and what is believed of them: a snapshot and a log for each of two generations.

A generation begins with its snapshot, written beside and renamed when it is whole and synced, so a name
stands for a whole file. What changes after it goes to its log, each group with one sync. Recovery takes the
newest generation whose snapshot can be read, and of its log all up to the first frame that can't be.
"""

from __future__ import annotations

import re
from typing import NamedTuple, Protocol

from violetstack.state.frames import BadFile, Found, header, read
from violetstack.state.snapshot import Content, fold

NAME = re.compile(r"state-(\d{1,18})\.(snapshot|log)\Z")
PART = "state.part"
# a new snapshot once the log is so long, and so many times the snapshot
LEAST_LOG = 64 * 1024
LOG_TIMES = 4
KEPT = 2  # generations


class Files(Protocol):
    """A folder. Each call may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def write(self, name: str, data: bytes) -> None:
        """The whole file anew, and synced with its folder, which is made where it is missing."""

    def append(self, name: str, data: bytes) -> None:
        """At its end, and synced. Fails where there is none: somebody has emptied the folder."""

    def rename(self, old: str, new: str) -> None:
        """In place of what is there, and the folder synced."""

    def remove(self, name: str) -> None: ...


class Recovered(NamedTuple):
    """`notes`: what could not be believed, for the log; `generation` 0: nothing was found."""

    content: Content
    generation: int
    notes: list[str]


def snapshot_name(generation: int) -> str:
    return f"state-{generation}.snapshot"


def log_name(generation: int) -> str:
    return f"state-{generation}.log"


def generations(names: list[str]) -> list[int]:
    """The newest first."""
    found = {int(match[1]) for name in names if (match := NAME.match(name)) and match[2] == "snapshot"}
    return sorted(found, reverse=True)


def recover(files: Files) -> Recovered:
    """Raises OSError only where the folder itself can't be read."""
    names = files.names()
    notes = list[str]()
    for generation in generations(names):
        content = Content()
        name = snapshot_name(generation)
        try:
            found = _checked(files, name, generation)
        except (BadFile, OSError) as error:
            notes.append(f"{name}: {error}")
            continue
        why = found.why or fold(content, found.frames) or ("empty" if not found.frames else "")
        if why:
            notes.append(f"{name}: {why}")
            continue
        log = log_name(generation)
        if log in names:
            try:
                found = _checked(files, log, generation)
                why = fold(content, found.frames) or found.why
                if why:
                    notes.append(f"{log}: {why} from byte {found.good} on")
            except (BadFile, OSError) as error:
                notes.append(f"{log}: {error}")
        return Recovered(content, generation, notes)
    return Recovered(Content(), 0, notes)


def _checked(files: Files, name: str, generation: int) -> Found:
    found = read(files.read(name))
    if found.generation != generation:
        raise BadFile(f"of generation {found.generation}")
    return found


class Store:
    """One writer's. A call that raises leaves the files readable; the next one begins a new generation."""

    def __init__(self, files: Files, recovered: Recovered) -> None:
        self._files = files
        self.generation = max([recovered.generation, *generations(files.names())], default=0)
        self._snapshot_size = self._log_size = 0
        self._whole = False  # the generation's files are as this writer made them

    def due(self, size: int) -> bool:
        """Is a new generation to begin, in place of a log that is `size` longer?"""
        most = max(LEAST_LOG, LOG_TIMES * self._snapshot_size)
        return not self._whole or self._log_size + size > most

    def append(self, frames: bytes) -> None:
        """Where none is due. Raises OSError."""
        self._whole = False  # until it is through
        name = log_name(self.generation)
        if self._log_size:
            self._files.append(name, frames)
        else:
            self._files.write(name, header(self.generation) + frames)
        self._log_size += len(frames)
        self._whole = True

    def begin(self, whole: bytes) -> None:
        """A new generation with this one frame. Raises OSError."""
        self._whole = False
        generation = self.generation + 1
        data = header(generation) + whole
        self._files.write(PART, data)
        self._files.rename(PART, snapshot_name(generation))
        self.generation = generation
        self._snapshot_size = len(data)
        self._log_size = 0
        self._whole = True
        for name in prunable(self._files.names(), generation):
            self._files.remove(name)


def prunable(names: list[str], newest: int) -> list[str]:
    """Files of generations that nobody would recover from, and logs whose snapshot is not there."""
    kept = set(generations(names)[:KEPT]) | {newest}
    rows = [(name, int(match[1])) for name in names if (match := NAME.match(name))]
    return [name for name, generation in rows if generation not in kept]
