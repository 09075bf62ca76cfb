"""Times at which the bytes in a connection's parser were read."""

from __future__ import annotations

from collections import deque

import msgspec

MERGED_READS_S = 0.02
"""Reads closer together than this are merged."""
MAX_READS = 64
"""Number of times kept; further reads count as made at the time of the last one kept, which is earlier."""


class Read(msgspec.Struct):
    """A read of bytes up to offset `end` of the connection's input, made at time `at` or later."""

    end: int
    at: float


class ReadTimes:
    """Times of reads whose bytes are not part of a complete request yet."""

    __slots__ = ("_reads", "_total")

    def __init__(self) -> None:
        self._total = 0
        self._reads: deque[Read] = deque()

    def add(self, size: int, at: float, *, behind_request: bool) -> None:
        """Adds a read of `size` bytes at time `at`.

        `behind_request`: whether they follow a complete request that is not answered yet. Otherwise all bytes
        before them belong to the request that they continue, and only the time of this read counts.
        """
        self._total += size
        if not behind_request:
            self._reads.clear()
        merged = len(self._reads) >= MAX_READS or (
            bool(self._reads) and at - self._reads[-1].at < MERGED_READS_S
        )
        if merged:
            self._reads[-1].end = self._total
        else:
            self._reads.append(Read(self._total, at))

    def last_byte_read_at(self, bytes_behind: int) -> float | None:
        """When the last byte of a complete request was read; `bytes_behind` further bytes follow it."""
        end = self._total - bytes_behind
        while len(self._reads) > 1 and self._reads[0].end < end:
            self._reads.popleft()
        return self._reads[0].at if self._reads else None
