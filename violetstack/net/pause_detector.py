"""Detects pauses of the process, and delays decisions and sends until its sockets have been read."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.process_pause import PauseTracker, UnreadAge

# Limits of catching up, so that a flood of data on one socket cannot delay sends for longer.
MAX_LOOP_ITERATIONS = 16
MAX_CATCH_UP_S = 0.05
MAX_PAUSE_THRESHOLD_MS = (
    250.0  # applies even if a drain becomes binding later, because deadlines expire meanwhile
)
MIN_LOOP_ITERATIONS = 2  # reading tasks first run in the iteration after the one that detected the pause


class InputSource(Protocol):
    """Reads sockets, and has to have read all of them after a pause before decisions are made."""

    def has_unread_input(self) -> bool:
        """Returns whether any socket has unread input."""


class PauseDetector(trio.abc.Instrument):
    """Detects pauses of the event loop; after one, lets the input sources read before it calls `on_pause`.

    When a stopped process continues, its deadlines expire before it has read any socket: Linux ends the wait
    for I/O with EINTR, and Python returns no events if the timeout of the wait has passed. Without this
    class, attempts would time out although their answers had arrived, and requests would go to hosts whose
    drain was announced seconds ago.

    Attributes:
        catching_up: Whether a pause was detected and the input sources still have unread input.
        connections_queued: Returns whether client connections wait to be accepted.
    """

    def __init__(self, pause_threshold_ms: float, on_pause: Callable[[float], None]) -> None:
        """Creates a detector that is inactive until `run`.

        Args:
            pause_threshold_ms: The shortest gap that counts as a pause (see `PauseTracker`); at most
                MAX_PAUSE_THRESHOLD_MS is used.
            on_pause: Called with the length of the pause in milliseconds once the sources have been read.
        """
        self.catching_up = False
        self.connections_queued: Callable[[], bool] = _none_queued
        self._pause_threshold_ms = min(pause_threshold_ms, MAX_PAUSE_THRESHOLD_MS)
        self._on_pause = on_pause
        self._tracker = PauseTracker(now_ms(), self._pause_threshold_ms)
        self._unread = UnreadAge()
        self._sources: list[InputSource] = []
        self._pause_ms = 0.0
        self._earliest_arrival = 0.0
        self._pause_detected = trio.Event()
        self._caught_up = trio.Event()

    def add_source(self, source: InputSource) -> None:
        """Adds a source to read after a pause."""
        self._sources.append(source)

    def before_io_wait(self, timeout: float) -> None:
        """Called by trio before each wait for I/O; `timeout` is in seconds."""
        now = now_ms()
        self._unread.iteration_ended(now, self.connections_queued)
        self._tracker.wait_started(now, timeout * 1000.0)

    def after_io_wait(self, timeout: float) -> None:  # noqa: ARG002 - trio's interface
        """Called by trio after each wait for I/O; `timeout` is in seconds."""
        now = now_ms()
        pause_ms = self._tracker.wait_ended(now)
        self._unread.wait_ended(now, self._tracker.earliest_arrival)
        if pause_ms and not self.catching_up:
            self.catching_up = True
            self._pause_ms = pause_ms
            self._earliest_arrival = self._tracker.earliest_arrival
            self._caught_up = trio.Event()
            self._pause_detected.set()

    def max_unread_ms(self) -> float:
        """Returns for how long a request that is read now may have been in its socket, in milliseconds.

        Gaps shorter than the pause threshold count as well: the deadline sent to a host must not exceed the
        time left to the client, whatever the grace period of a drain.
        """
        earliest_arrival = self._tracker.earliest_arrival
        if self.catching_up:
            earliest_arrival = min(earliest_arrival, self._earliest_arrival)
        return self._unread.max_age(now_ms(), earliest_arrival)

    def last_running_ms(self) -> float:
        """Returns when the process was last known to run; a signal handled now arrived after that."""
        return self._tracker.last_running_at

    async def wait_caught_up(self) -> None:
        """Waits until input that arrived during a pause has been read; returns at once without a pause.

        A stop in the middle of an iteration is detected only at the next wait for I/O, so this method forces
        one if the iteration has been long.
        """
        if self._tracker.iteration_is_long(now_ms()):
            await trio.lowlevel.checkpoint()
        if self.catching_up:
            await self._caught_up.wait()

    async def run(self) -> None:
        """Detects pauses until cancelled; the startup time of the program does not count as one."""
        self._tracker = PauseTracker(now_ms(), self._pause_threshold_ms)
        trio.lowlevel.add_instrument(self)
        while True:
            await self._pause_detected.wait()
            self._pause_detected = trio.Event()
            try:
                iterations = await self._read_sources()
                log("process_paused", pause_ms=round(self._pause_ms), loop_iterations=iterations)
                self._on_pause(self._pause_ms)
            finally:  # sends must not stay blocked if something here fails
                self.catching_up = False
                self._caught_up.set()

    async def _read_sources(self) -> int:
        """Lets the reading tasks run until no input is unread; returns the number of loop iterations."""
        deadline = trio.current_time() + MAX_CATCH_UP_S
        iterations = 0
        while iterations < MIN_LOOP_ITERATIONS or any(source.has_unread_input() for source in self._sources):
            await trio.lowlevel.checkpoint()
            iterations += 1
            if iterations >= MAX_LOOP_ITERATIONS or trio.current_time() >= deadline:
                break
        return iterations


def _none_queued() -> bool:
    return False
