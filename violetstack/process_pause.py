"""Measures for how long the process may not have read from its sockets.

An iteration of the event loop waits for I/O and then runs tasks. Nothing is read between two such waits.
After a long iteration, a stop (SIGSTOP) or a lack of processor time, data may have been in a socket's receive
buffer for the whole gap, and deadlines may have expired although the answers had arrived.

`time.monotonic` advances while a process is stopped, so a stop shows as a gap. On Linux it does not advance
while the machine is suspended: a suspension is not detected here but only by the connections it breaks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

IMMEDIATE_RETURN_MS = 1.0  # an I/O wait shorter than this returned data that had arrived before it began
# After a long iteration, a wait may take this long although the data had arrived: the machine is busy, or the
# process was stopped during the iteration and other processes run first after it continues.
MAX_SLOW_RETURN_MS = 50.0
MAX_WAKEUP_DELAY_MS = 20.0  # a wait may return this late because the scheduler was busy, without a pause
MIN_UNREAD_GAP_MS = 100.0  # two thirds of the amount by which a deadline sent to a host may be too long
MIN_AGE_MS = 10.0
SETTLE_ITERATIONS = 6  # to accept a connection, start its task, read its request and pass that on
MAX_SETTLE_MS = 1000.0


class PauseTracker:
    """Computes pauses from the start and end of each I/O wait; times are milliseconds of one clock."""

    def __init__(self, now: float, pause_threshold_ms: float) -> None:
        """Starts at `now`, with nothing unread.

        Args:
            now: The current time.
            pause_threshold_ms: A gap of at least this length counts as a pause. It is the grace period after
                which an announced drain becomes binding: after a longer gap, a drain that has not been read
                yet may be binding already, so nothing may be sent before it has been read.
        """
        self._pause_threshold_ms = pause_threshold_ms
        self._last_wait_ended = now
        self._wait_started = now
        self._timeout_ms = 0.0
        self._earliest_arrival = now

    def wait_started(self, now: float, timeout_ms: float) -> None:
        """Records that the event loop starts to wait for I/O, for at most `timeout_ms`."""
        self._wait_started = now
        self._timeout_ms = timeout_ms

    def wait_ended(self, now: float) -> float:
        """Records the end of the wait; returns the pause in milliseconds, or 0 if there was none."""
        waited_ms = now - self._wait_started
        busy_ms = self._wait_started - self._last_wait_ended
        may_have_been_buffered = busy_ms >= MIN_UNREAD_GAP_MS and waited_ms < MAX_SLOW_RETURN_MS
        if waited_ms < IMMEDIATE_RETURN_MS or may_have_been_buffered:
            earliest_arrival = self._last_wait_ended  # the data may have arrived at any time since then
        elif waited_ms > self._timeout_ms + MAX_WAKEUP_DELAY_MS:
            earliest_arrival = self._wait_started  # the process was not running when the wait was due to end
        else:
            earliest_arrival = now  # a wait that returns on time returns when the first data arrives
        self._last_wait_ended = now
        self._earliest_arrival = earliest_arrival
        gap_ms = now - earliest_arrival
        return gap_ms if gap_ms >= self._pause_threshold_ms else 0.0

    def iteration_is_long(self, now: float) -> bool:
        """Returns whether this iteration has run, without reading any socket, for the pause threshold."""
        return now - self._last_wait_ended >= self._pause_threshold_ms

    @property
    def last_running_at(self) -> float:
        """When the event loop last began or ended a wait; input from before then has been handled."""
        return max(self._wait_started, self._last_wait_ended)

    @property
    def earliest_arrival(self) -> float:
        """The earliest time at which data read in this iteration can have arrived."""
        return self._earliest_arrival


class UnreadAge:
    """Computes an upper bound of the time that a request read now has waited in its socket.

    Times are milliseconds of one clock. Data in the sockets of open connections is read in the iteration
    after a gap. A connection that has yet to be accepted takes a few more iterations, so requests count as
    waiting since the start of the gap until the accept queue has been empty for SETTLE_ITERATIONS, for at
    most MAX_SETTLE_MS. Each gap expires separately: in a process whose every iteration is long, gaps must not
    add up.
    """

    def __init__(self) -> None:
        """Starts without gaps."""
        self._gaps: deque[_Gap] = deque()  # oldest first

    def wait_ended(self, now: float, earliest_arrival: float) -> None:
        """Records the start of an iteration whose input may have arrived since `earliest_arrival`."""
        if now - earliest_arrival >= MIN_UNREAD_GAP_MS:
            self._gaps.append(_Gap(earliest_arrival, now))

    def iteration_ended(self, now: float, connections_queued: Callable[[], bool]) -> None:
        """Records the end of an iteration; `connections_queued`: whether any waits to be accepted."""
        if not self._gaps:
            return
        if not connections_queued():
            for gap in self._gaps:
                gap.iterations_empty += 1
        while self._gaps and self._gaps[0].is_over(now):
            self._gaps.popleft()

    def max_age(self, now: float, earliest_arrival: float) -> float:
        """Returns how long input read now may have waited; 0 if that is less than MIN_AGE_MS."""
        since = min(self._gaps[0].began, earliest_arrival) if self._gaps else earliest_arrival
        return now - since if now - since >= MIN_AGE_MS else 0.0


class _Gap:
    """A period without reads, and the number of later iterations in which the accept queue was empty."""

    __slots__ = ("began", "ended", "iterations_empty")

    def __init__(self, began: float, ended: float) -> None:
        self.began = began
        self.ended = ended
        self.iterations_empty = 0

    def is_over(self, now: float) -> bool:
        return self.iterations_empty >= SETTLE_ITERATIONS or now >= self.ended + MAX_SETTLE_MS
