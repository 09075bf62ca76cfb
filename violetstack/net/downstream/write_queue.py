"""Queue of response bytes to one client, with backpressure towards the model host."""

from __future__ import annotations

import sys
from collections.abc import Iterable

import trio

from violetstack.net.transient_errors import send_all

HIGH_WATER_BYTES = 64 * 1024
"""With more unwritten output than this, reading of the model host's stream stops."""
MAX_WRITE_BYTES = 32 * 1024
"""Output is written in parts of at most this size."""
WRITE_TIMEOUT_S = 20.0
"""A client that reads nothing for this long is treated as disconnected."""


class WriteQueue:
    """Output of one connection, filled without waiting and written by one task.

    The parts are copied into one buffer. A part as small as an event of a few bytes would take many times its
    size if it was kept, and more if it was a slice of a larger buffer.
    """

    __slots__ = ("_changed", "_drained", "_flushed", "_output", "_write_bytes")

    def __init__(self) -> None:
        self._output = bytearray()
        self._write_bytes = 0
        """Size of the write under way."""
        self._changed = trio.Event()
        self._drained = trio.Event()
        self._flushed = trio.Event()

    def put(self, parts: Iterable[bytes | memoryview]) -> None:
        """Appends `parts` and wakes the writing task."""
        for part in parts:
            self._output += part
        self.wake()

    @property
    def pending_bytes(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""
        return len(self._output) + self._write_bytes

    @property
    def memory_bytes(self) -> int:
        """Memory of the output that the kernel has not accepted yet."""
        return sys.getsizeof(self._output) + self._write_bytes

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
        while self._output:
            part = bytes(self._output[:MAX_WRITE_BYTES])
            del self._output[:MAX_WRITE_BYTES]
            self._write_bytes = len(part)
            with trio.fail_after(WRITE_TIMEOUT_S):
                await send_all(stream, part)
            self._write_bytes = 0
            if self.pending_bytes <= HIGH_WATER_BYTES:
                self._drained.set()
