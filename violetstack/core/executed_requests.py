"""Remembers which requests a host may have executed, so that none with the same id is executed again.

The ids are kept in a hash table of fixed size in a buffer, which the two processes of a hot restart may
share: each entry is written by single stores of 8 bytes, and no entry is ever moved.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from hashlib import blake2b

RETENTION_MS = 600_000
"""Longer than any deadline, window for repetitions or hot restart."""
SLOTS = 32_768
"""Twice the requests of 25 a second within the retention time; beyond that the oldest are overwritten."""
PROBED_SLOTS = 8
WORD_BYTES = 8
WORDS_PER_SLOT = 2  # the digest of the id, and the time
TABLE_BYTES = SLOTS * WORDS_PER_SLOT * WORD_BYTES


class ExecutedRequests:
    """The table; times are those of the machine's monotonic clock, which all its processes share."""

    def __init__(
        self, table: memoryview | None = None, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        """Creates a view of `table`, TABLE_BYTES that are zero or were written by another such view."""
        buffer = memoryview(bytearray(TABLE_BYTES)) if table is None else table
        self._words = buffer.cast("Q")
        self._clock_s = clock_s

    def record(self, request_id: str) -> None:
        """Records that a host may execute the request."""
        digest = _digest(request_id)
        slot = self._find(digest)
        if slot is None:
            slot = min(_probed_slots(digest), key=lambda other: self._words[other + 1])
        self._words[slot + 1] = self._now_ms()
        self._words[slot] = digest

    def contains(self, request_id: str) -> bool:
        """Returns whether a host may have executed a request with this id within the retention time."""
        slot = self._find(_digest(request_id))
        return slot is not None and 0 <= self._now_ms() - self._words[slot + 1] <= RETENTION_MS

    def forget(self, request_id: str) -> None:
        """Removes a request that no host has executed after all."""
        slot = self._find(_digest(request_id))
        if slot is not None:
            self._words[slot] = 0
            self._words[slot + 1] = 0

    def _find(self, digest: int) -> int | None:
        return next((slot for slot in _probed_slots(digest) if self._words[slot] == digest), None)

    def _now_ms(self) -> int:
        return int(self._clock_s() * 1000.0)


def _digest(request_id: str) -> int:
    return int.from_bytes(blake2b(request_id.encode(), digest_size=WORD_BYTES).digest(), "little") or 1


def _probed_slots(digest: int) -> list[int]:
    """Returns the positions of the slots in which the entry may be."""
    return [(digest + n) % SLOTS * WORDS_PER_SLOT for n in range(PROBED_SLOTS)]
