"""Logs what the process holds when its memory comes near the configured limit."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
import trio

from violetstack.log import log_rate_limited
from violetstack.net.downstream.listener import Listener

SAMPLE_INTERVAL_S = 0.5
HIGH_MEMORY_SHARE = 0.5  # share of the configured limit from which samples are logged
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 2**20
STATM = Path("/proc/self/statm")  # proc(5): size, resident and shared pages, and more


class MemoryUse(msgspec.Struct, frozen=True):
    """The memory of the process and what is known to be held in it.

    Attributes:
        process_bytes: Resident memory of the process without file pages.
        connections: Open client connections of all listeners.
        buffered_bytes: Memory of their requests, as the limit on request bodies counts it.
        output_bytes: Memory of responses that the clients have not read.
    """

    process_bytes: int
    connections: int
    buffered_bytes: int
    output_bytes: int


def process_memory_bytes() -> int:
    """Returns the resident memory of this process without file pages.

    Raises:
        OSError: /proc cannot be read.
    """
    _, resident, shared = STATM.read_text().split()[:3]
    return (int(resident) - int(shared)) * PAGE_BYTES


def memory_use(listeners: Sequence[Listener]) -> MemoryUse:
    """Returns the current use.

    Raises:
        OSError: /proc cannot be read.
    """
    tables = [listener.table for listener in listeners]
    return MemoryUse(
        process_bytes=process_memory_bytes(),
        connections=sum(len(table.connections) for table in tables),
        buffered_bytes=sum(table.buffered_bytes for table in tables),
        output_bytes=sum(table.output_memory_bytes for table in tables),
    )


class MemoryMonitor:
    """Samples the memory of the process; its log lines tell which buffers grow."""

    def __init__(self, limit_mb: Callable[[], float], listeners: Sequence[Listener]) -> None:
        """Creates a monitor; `limit_mb` returns the limit in force, which a reload can change."""
        self._limit_mb = limit_mb
        self._listeners = listeners

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            await trio.sleep(SAMPLE_INTERVAL_S)
            self.sample()

    def sample(self) -> None:
        """Logs the current use if it is high.

        Raises:
            OSError: /proc cannot be read.
        """
        limit_mb = self._limit_mb()
        use = memory_use(self._listeners)
        if use.process_bytes < HIGH_MEMORY_SHARE * limit_mb * BYTES_PER_MB:
            return
        log_rate_limited(
            "memory_high",
            process_mb=round(use.process_bytes / BYTES_PER_MB, 1),
            limit_mb=limit_mb,
            connections=use.connections,
            buffered_bytes=use.buffered_bytes,
            output_bytes=use.output_bytes,
        )
