"""Measures how long the process may have read nothing from its sockets.

An iteration of the event loop waits for I/O, then runs tasks. Between two such waits nothing is read: after a
long iteration, or when the process was stopped (SIGSTOP) or got no processor time, data may have been in a
socket's receive buffer for the whole gap, and deadlines may have passed although their answers were there.

`time.monotonic` advances while a process is stopped, so a stop shows as a gap. On Linux it does not advance
while the machine is suspended: a suspension is not detected here, only by connections that broke.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

IMMEDIATE_MS = 1.0  # an I/O wait shorter than this returned data that was there before it began
# After a long iteration a wait may take so long though the data was there: the machine is busy, or the
# process was stopped in the iteration and is not the first to run after that.
MAX_SLOW_RETURN_MS = 50.0
OVERSLEPT_MS = 20.0  # a wait may return this late because the scheduler was busy, without a pause
MIN_UNREAD_GAP_MS = 100.0  # two thirds of what a deadline that is passed on may be too long
MIN_AGE_MS = 10.0
SETTLE_ITERATIONS = 6  # a connection is accepted, gets its task, is read and handed on
MAX_SETTLE_MS = 1000.0


class PauseTracker:
    """Computes pauses from the start and end of each I/O wait; times are milliseconds of one clock."""

    def __init__(self, now: float, pause_threshold_ms: float) -> None:
        """Starts at `now`, with nothing unread.

        Args:
            now: The current time.
            pause_threshold_ms: A gap of this length counts as a pause. It is the time within which a drain
                that was announced becomes binding: after a longer gap, a drain that is still unread may
                bind already, so nothing may be sent before it was read.
        """
        self._pause_threshold_ms = pause_threshold_ms
        self._last_wait_ended = now
        self._wait_started = now
        self._timeout_ms = 0.0
        self._earliest_arrival = now

    def wait_started(self, now: float, timeout_ms: float) -> None:
        """Records that the event loop begins to wait for I/O, for `timeout_ms` at most."""
        self._wait_started = now
        self._timeout_ms = timeout_ms

    def wait_ended(self, now: float) -> float:
        """Records the end of the wait; returns the pause in milliseconds, or 0 if there was none."""
        waited_ms = now - self._wait_started
        busy_ms = self._wait_started - self._last_wait_ended
        may_have_lain_there = busy_ms >= MIN_UNREAD_GAP_MS and waited_ms < MAX_SLOW_RETURN_MS
        if waited_ms < IMMEDIATE_MS or may_have_lain_there:
            earliest_arrival = self._last_wait_ended  # the data may have come at any time since then
        elif waited_ms > self._timeout_ms + OVERSLEPT_MS:
            earliest_arrival = self._wait_started  # the process did not run when the wait should have ended
        else:
            earliest_arrival = now  # a wait that ends in time ends with the first data that comes
        self._last_wait_ended = now
        self._earliest_arrival = earliest_arrival
        gap_ms = now - earliest_arrival
        return gap_ms if gap_ms >= self._pause_threshold_ms else 0.0

    def iteration_is_long(self, now: float) -> bool:
        """Returns whether nothing has been read from sockets for the threshold, and no wait is under way."""
        return now - self._last_wait_ended >= self._pause_threshold_ms

    @property
    def last_running_at(self) -> float:
        """When the event loop last began or ended a wait: before that, all that had come was looked at."""
        return max(self._wait_started, self._last_wait_ended)

    @property
    def earliest_arrival(self) -> float:
        """The earliest time at which data read in this iteration can have arrived."""
        return self._earliest_arrival


class UnreadAge:
    """Bounds how long a request that is read now may have waited unread; times are milliseconds of one clock.

    What lies in the sockets of open connections is read in the iteration after a gap. A connection that waits
    to be accepted takes some more, so after a gap its start counts until the queue has been empty for
    SETTLE_ITERATIONS, but for MAX_SETTLE_MS at most. Each gap ends by itself: a process of which every
    iteration is long must not add them up.
    """

    def __init__(self) -> None:
        """Starts with nothing unread."""
        self._gaps: deque[_Gap] = deque()  # the oldest first

    def wait_ended(self, now: float, earliest_arrival: float) -> None:
        """Records that an iteration begins, in which data from `earliest_arrival` on may be read."""
        if now - earliest_arrival >= MIN_UNREAD_GAP_MS:
            self._gaps.append(_Gap(earliest_arrival, now))

    def iteration_ended(self, now: float, queued: Callable[[], bool]) -> None:
        """Records the end of an iteration; `queued`: whether connections wait to be accepted."""
        if not self._gaps:
            return
        if not queued():
            for gap in self._gaps:
                gap.iterations_empty += 1
        while self._gaps and self._gaps[0].is_over(now):
            self._gaps.popleft()

    def max_age(self, now: float, earliest_arrival: float) -> float:
        """Returns how old what is read now may be; 0 if that is less than MIN_AGE_MS."""
        since = min(self._gaps[0].began, earliest_arrival) if self._gaps else earliest_arrival
        return now - since if now - since >= MIN_AGE_MS else 0.0


class _Gap:
    """A time in which nothing was read, and how far the queue has been worked off since."""

    __slots__ = ("began", "ended", "iterations_empty")

    def __init__(self, began: float, ended: float) -> None:
        self.began = began
        self.ended = ended
        self.iterations_empty = 0

    def is_over(self, now: float) -> bool:
        return self.iterations_empty >= SETTLE_ITERATIONS or now >= self.ended + MAX_SETTLE_MS
