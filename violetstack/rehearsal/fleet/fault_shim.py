"""Builds the shim library from `fault_shim.c`, and controls the faults that it injects into a process."""

from __future__ import annotations

import errno
import mmap
import os
import shutil
import struct
import subprocess
import tempfile
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("fault_shim.c")
OFFSET_FORMAT = "q"
CALL_FORMAT = "iiii"
NS_PER_S = 1_000_000_000


class ShimNotBuiltError(Exception):
    """The shim could not be built: there is no C compiler, or the compilation failed."""


class SystemCall(IntEnum):
    """The system calls that can be made to fail, in the order of the enum in the C source."""

    SOCKET = 0
    CONNECT = 1
    ACCEPT = 2
    SEND = 3
    FSYNC = 4
    RECV = 5
    POLL = 6


def build_shim() -> Path:
    """Compiles the shim into a new directory and returns the path of the library.

    Raises:
        ShimNotBuiltError: With the reason.
    """
    compiler = shutil.which("cc")
    if compiler is None:
        raise ShimNotBuiltError("no C compiler (cc): system calls and clocks cannot be made to fail")
    library = Path(tempfile.mkdtemp(prefix="violetstack-shim-")) / "fault_shim.so"
    command = [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    finished = subprocess.run(command, capture_output=True, text=True, check=False)
    if finished.returncode:
        raise ShimNotBuiltError(finished.stderr.strip())
    return library


class ProcessFaults:
    """The memory page by which the rehearsal controls the shim of a process; it outlives restarts."""

    def __init__(self) -> None:
        self.descriptor = os.memfd_create("faults")
        size = struct.calcsize(OFFSET_FORMAT) + len(SystemCall) * struct.calcsize(CALL_FORMAT)
        os.ftruncate(self.descriptor, size)
        self._page = mmap.mmap(self.descriptor, size)

    def fail(self, call: SystemCall, error: int, period: int = 1) -> None:
        """Makes every `period`-th call fail with `error`; with error 0, SEND sends a single byte instead."""
        struct.pack_into("ii", self._page, self._position(call), error, period)

    def stop_failing(self, call: SystemCall) -> None:
        struct.pack_into("ii", self._page, self._position(call), errno.EINVAL, 0)

    def failed(self, call: SystemCall) -> int:
        """Returns the number of calls that have failed so far."""
        return int(struct.unpack_from(CALL_FORMAT, self._page, self._position(call))[3])

    def step_wall_clock(self, seconds: float) -> None:
        """Sets the offset of the process's wall clock from that of the machine, in seconds."""
        struct.pack_into(OFFSET_FORMAT, self._page, 0, int(seconds * NS_PER_S))

    def close(self) -> None:
        self._page.close()
        os.close(self.descriptor)

    @staticmethod
    def _position(call: SystemCall) -> int:
        return struct.calcsize(OFFSET_FORMAT) + call * struct.calcsize(CALL_FORMAT)
