"""Queue of response bytes to one client, with backpressure towards the model host."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import trio

from violetstack.net.transient_errors import send_all

HIGH_WATER_BYTES = 64 * 1024
"""With more unwritten output than this, reading of the model host's stream stops."""
MAX_WRITE_BYTES = 32 * 1024
"""Small parts are joined into writes of at most this size."""
WRITE_TIMEOUT_S = 20.0
"""A client that reads nothing for this long is treated as disconnected."""


class WriteQueue:
    """Output of one connection, filled without waiting and written by one task."""

    __slots__ = ("_changed", "_drained", "_flushed", "_parts", "pending_bytes")

    def __init__(self) -> None:
        self.pending_bytes = 0
        self._parts: deque[bytes | memoryview] = deque()
        self._changed = trio.Event()
        self._drained = trio.Event()
        self._flushed = trio.Event()

    def put(self, parts: Iterable[bytes | memoryview]) -> None:
        """Appends `parts` and wakes the writing task."""
        for part in parts:
            self._parts.append(part)
            self.pending_bytes += len(part)
        self.wake()

    def wake(self) -> None:
        """Makes the writing task check the state of its connection again."""
        self._changed.set()

    def release_waiters(self) -> None:
        """Ends every `wait_writable`; called when the connection is closed."""
        self._drained.set()

    async def wait_writable(self) -> None:
        """Returns once at most `HIGH_WATER_BYTES` are unwritten."""
        if self.pending_bytes > HIGH_WATER_BYTES:
            self._drained = trio.Event()
            await self._drained.wait()

    def expect_flush(self) -> None:
        """Starts a new wait for `wait_flushed`, and wakes the writing task."""
        self._flushed = trio.Event()
        self.wake()

    async def wait_flushed(self) -> None:
        """Returns once all output is written."""
        if self.pending_bytes:
            await self._flushed.wait()

    async def wait_for_output(self) -> None:
        """Called by the writing task once all output is written; returns when there may be more."""
        self._flushed.set()
        self._changed = trio.Event()
        await self._changed.wait()

    async def write_all(self, stream: trio.abc.Stream) -> None:
        """Writes all queued output.

        Raises:
            trio.TooSlowError: The client read nothing for `WRITE_TIMEOUT_S`.
        """
        while self._parts:
            batch = self._next_batch()
            size = sum(len(part) for part in batch)
            with trio.fail_after(WRITE_TIMEOUT_S):
                await send_all(stream, b"".join(batch) if len(batch) > 1 else batch[0])
            self.pending_bytes -= size
            if self.pending_bytes <= HIGH_WATER_BYTES:
                self._drained.set()

    def _next_batch(self) -> list[bytes | memoryview]:
        batch = [self._parts.popleft()]
        size = len(batch[0])
        while self._parts and size + len(self._parts[0]) <= MAX_WRITE_BYTES:
            part = self._parts.popleft()
            batch.append(part)
            size += len(part)
        return batch
