"""Bytes of responses on their way to one client, with backpressure towards the model host."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import trio

from violetstack.net.transient_errors import send_all

HIGH_WATER_BYTES = 64 * 1024
"""Above this much unwritten output the model host's stream is read no further."""
MAX_WRITE_BYTES = 32 * 1024
"""Small parts are joined into writes of at most this size."""
WRITE_TIMEOUT_S = 20.0
"""A client that reads nothing for this long counts as disconnected."""


class WriteQueue:
    """Output of one connection: filled without waiting, drained by one writing task."""

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
        """Lets the writing task look at its connection's state again."""
        self._changed.set()

    def release_waiters(self) -> None:
        """Ends every `wait_writable`; called when the connection is closed."""
        self._drained.set()

    async def wait_writable(self) -> None:
        """Returns once at most `HIGH_WATER_BYTES` wait to be written."""
        if self.pending_bytes > HIGH_WATER_BYTES:
            self._drained = trio.Event()
            await self._drained.wait()

    def expect_flush(self) -> None:
        """Starts a new wait for `wait_flushed`, and wakes the writing task."""
        self._flushed = trio.Event()
        self.wake()

    async def wait_flushed(self) -> None:
        """Returns once nothing waits to be written."""
        if self.pending_bytes:
            await self._flushed.wait()

    async def wait_for_output(self) -> None:
        """For the writing task, once it has written everything: returns when there may be more."""
        self._flushed.set()
        self._changed = trio.Event()
        await self._changed.wait()

    async def write_all(self, stream: trio.abc.Stream) -> None:
        """Writes what is queued; raises trio.TooSlowError if the client does not read."""
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
