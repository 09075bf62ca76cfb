"""Reads that are made after a response's time limit, of input that may have been waiting before it."""

from __future__ import annotations

import trio

from violetstack.net.upstream.connection import READ_SIZE
from violetstack.protocol import sse

MAX_LATE_READS = sse.MAX_EVENT_BYTES // READ_SIZE + 1
"""As many as the longest event needs."""
MAX_LATE_READING_S = 0.1
"""Limit for these reads after the first one: a host that never pauses always has input waiting."""


class LateReads:
    """Limits the reads after a time limit.

    After a pause of this process the limit may be over before its input was looked at. The input is read
    first then, but not without end, since a host may go on to write something else.
    """

    def __init__(self) -> None:
        """Starts before the time limit."""
        self._count = 0
        self._first_at = 0.0

    def look(self, *, is_late: bool) -> None:
        """Records that the time limit was looked at, and whether it was over."""
        self._count = self._count + 1 if is_late else 0
        if self._count == 1:
            self._first_at = trio.current_time()

    @property
    def allowed(self) -> bool:
        """Whether input that is waiting may still be read."""
        if self._count <= 1:
            return True
        reading_s = trio.current_time() - self._first_at
        return self._count <= MAX_LATE_READS and reading_s < MAX_LATE_READING_S
