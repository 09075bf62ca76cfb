"""When the bytes were read that a connection's parser holds."""

from __future__ import annotations

from collections import deque

import msgspec

MERGED_READS_S = 0.02
"""Reads that are closer together count as one, so that single bytes cost no memory."""


class Read(msgspec.Struct):
    """Bytes up to `end`, counted from the connection's first; they were read at `at` or later."""

    end: int
    at: float


class ReadTimes:
    """Times of the reads whose bytes no complete request has used yet."""

    __slots__ = ("_reads", "_total")

    def __init__(self) -> None:
        self._total = 0
        self._reads: deque[Read] = deque()

    def add(self, size: int, at: float, *, behind_request: bool) -> None:
        """Adds a read. `behind_request`: it follows a complete request that is not answered yet.

        Otherwise all bytes before it belong to the request that it continues, and only its own time counts.
        """
        self._total += size
        if not behind_request:
            self._reads.clear()
        if self._reads and at - self._reads[-1].at < MERGED_READS_S:
            self._reads[-1].end = self._total
        else:
            self._reads.append(Read(self._total, at))

    def last_byte_read_at(self, bytes_behind: int) -> float | None:
        """When the last byte of a complete request was read, with `unused` bytes behind it."""
        end = self._total - bytes_behind
        while len(self._reads) > 1 and self._reads[0].end < end:
            self._reads.popleft()
        return self._reads[0].at if self._reads else None
