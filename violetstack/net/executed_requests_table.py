"""Memory for the ids of executed requests, which all processes of a dispatcher share."""

from __future__ import annotations

import mmap
import os
from pathlib import Path

from violetstack.core.executed_requests import TABLE_BYTES
from violetstack.log import log
from violetstack.net.handover_directory import safe_file_name

FILE_MODE = 0o600


def open_table(directory: str | None, dispatcher: str) -> memoryview:
    """Returns the table in a file of `directory`; without a directory, or if that fails, one in memory."""
    if directory is not None:
        try:
            return _open_shared(Path(directory) / f"violetstack-{safe_file_name(dispatcher)}.requests")
        except OSError as error:
            log("executed_requests_not_shared", error=repr(error))
    return memoryview(mmap.mmap(-1, TABLE_BYTES))


def _open_shared(path: Path) -> memoryview:
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
    try:
        os.posix_fallocate(descriptor, 0, TABLE_BYTES)  # writing to a page without space would be fatal
        return memoryview(mmap.mmap(descriptor, TABLE_BYTES))
    finally:
        os.close(descriptor)
