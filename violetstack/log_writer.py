"""Writes log lines on a thread of its own, so that no reader, disk or terminal holds up who logs.

Lines wait in a bounded queue. Those that do not fit, or that the system does not take, are counted, and the
count is written as a line `log_lines_dropped` once the output takes lines again.
"""

from __future__ import annotations

import os
import select
import signal
import threading
from collections.abc import Callable

MAX_QUEUED_BYTES = 512 * 1024
"""Some 2,000 lines; as much again may be in the write that the output does not take."""
NEWLINE = ord("\n")


class LogWriter:
    """Writes lines to a descriptor, in their order. `write` never blocks.

    Attributes:
        dropped: Number of lines that were not written since the start.
    """

    def __init__(self, descriptor: int, describe_drops: Callable[[int], bytes]) -> None:
        """Starts the thread.

        Args:
            descriptor: Where lines go; it stays open until the process ends.
            describe_drops: Returns the line that tells of so many dropped ones.
        """
        self.dropped = 0
        self._descriptor = descriptor
        self._describe_drops = describe_drops
        self._changed = threading.Condition()
        self._lines: list[bytes] = []
        self._queued_bytes = 0
        self._unreported = 0
        self._writing = False
        self._line_is_partial = False
        threading.Thread(target=self._run, name="log writer", daemon=True).start()

    def write(self, line: bytes) -> None:
        """Queues a line, which ends with a newline, or counts it as dropped."""
        with self._changed:
            if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
                self._count_dropped(1)
                return
            self._lines.append(line)
            self._queued_bytes += len(line)
            if len(self._lines) == 1:
                self._changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Waits until all lines are written, for `timeout_s` at most; returns whether they are."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._lines and not self._writing, timeout_s)

    def _count_dropped(self, lines: int) -> None:
        self.dropped += lines
        self._unreported += lines

    def _run(self) -> None:
        # Signals are for the main thread: one that another thread takes after a stop is handled later than
        # what has come meanwhile is read.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            lines, unreported = self._take()
            if unreported:
                lines.append(self._describe_drops(unreported))
            written = self._write_all(b"".join(lines))
            with self._changed:
                self._writing = False
                if not written:
                    # The line that told of drops is one of `lines`, and is told again.
                    lost = len(lines) - (1 if unreported else 0)
                    self._count_dropped(lost)
                    self._unreported += unreported
                self._changed.notify_all()

    def _take(self) -> tuple[list[bytes], int]:
        """Waits for lines; returns them with the number of dropped ones to tell of."""
        with self._changed:
            while not self._lines:
                self._changed.wait()
            lines = self._lines
            unreported = self._unreported
            self._lines = []
            self._queued_bytes = 0
            self._unreported = 0
            self._writing = True
            return lines, unreported

    def _write_all(self, data: bytes) -> bool:
        """Returns False if the output failed, as a closed pipe or a full disk does."""
        if self._line_is_partial:
            data = b"\n" + data
        written = 0
        while written < len(data):
            try:
                written += os.write(self._descriptor, memoryview(data)[written:])
                self._line_is_partial = data[written - 1] != NEWLINE
            except BlockingIOError:
                self._wait_writable()
            except OSError:
                return False
        return True

    def _wait_writable(self) -> None:
        """For an output that another process has set to non-blocking."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        poll.poll()
