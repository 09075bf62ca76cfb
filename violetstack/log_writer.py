"""Writes log lines on a separate thread, so that a slow reader, disk or terminal does not block the callers.

Lines wait in a bounded queue. Lines that do not fit or can't be written are dropped and counted, and the
count is written as the event `log_lines_dropped` once lines can be written again.
"""

from __future__ import annotations

import os
import select
import signal
import threading
from collections.abc import Callable

MAX_QUEUED_BYTES = 512 * 1024
"""About 2,000 lines. As many bytes again may be held by a write that is blocked."""
NEWLINE = ord("\n")


class LogWriter:
    """Writes lines to a file descriptor in the order of the calls. `write` never blocks on the output.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    def __init__(self, descriptor: int, describe_drops: Callable[[int], bytes]) -> None:
        """Starts the thread.

        Args:
            descriptor: File descriptor of the output, which has to stay open until the process ends.
            describe_drops: Returns the line that reports a number of dropped lines.
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
        """Queues a line, which has to end with a newline, or drops it if the queue is full."""
        with self._changed:
            if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
                self._count_dropped(1)
                return
            self._lines.append(line)
            self._queued_bytes += len(line)
            if len(self._lines) == 1:
                self._changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Waits until all lines are written, for at most `timeout_s`; returns whether they are."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._lines and not self._writing, timeout_s)

    def _count_dropped(self, lines: int) -> None:
        self.dropped += lines
        self._unreported += lines

    def _run(self) -> None:
        # Signals are left to the main thread: a signal that this thread received when the process continues
        # after a stop would be handled only after the main thread has read the data that arrived meanwhile.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            lines, unreported = self._take()
            if unreported:
                lines.append(self._describe_drops(unreported))
            written = self._write_all(b"".join(lines))
            with self._changed:
                self._writing = False
                if not written:
                    # `lines` includes the report of dropped lines, which was not among the queued lines. Its
                    # count is reported again.
                    lost = len(lines) - (1 if unreported else 0)
                    self._count_dropped(lost)
                    self._unreported += unreported
                self._changed.notify_all()

    def _take(self) -> tuple[list[bytes], int]:
        """Waits for lines; returns them and the number of dropped lines that are not reported yet."""
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
        """Writes all data; returns False if the output failed, such as a closed pipe or a full disk."""
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
        """Waits until the output is writable; needed if another process has set it to non-blocking."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        poll.poll()
