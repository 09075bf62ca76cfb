"""When this process last looked at its sockets.

A turn of the loop waits for sockets, then acts on what it read. Between two looks nothing is known: a turn
that was long, a process that was stopped (SIGSTOP) or had no processor for a while. What is read after such
a gap may have lain in its socket for as long, and what is due may have been answered in one.

`time.monotonic` goes on while a process is stopped, so a stop shows as a gap. On Linux it does not while the
whole machine is suspended: to this program such a time has not passed, and connections tell of it by their
end.
"""

from __future__ import annotations

PROMPT_MS = 1.0  # a wait shorter than this found something that was there already
OVERSLEPT_MS = 20.0  # a wait may end so late for want of a processor without having been a stop


class Turns:
    """Fed by the loop: `waiting` before each wait for sockets, `looked` after it. Times are milliseconds.

    `waking_ms`: a gap as long as this is a waking. It is the time in which a told drain binds: after it, what
    lies unread in discovery's socket may bind already, so nothing is to be sent before that was read.
    """

    def __init__(self, now: float, waking_ms: float) -> None:
        self._waking_ms = waking_ms
        self._looked = self._waiting = self._since = now
        self._timeout = 0.0

    def waiting(self, now: float, timeout_ms: float) -> None:
        self._waiting = now
        self._timeout = timeout_ms

    def looked(self, now: float) -> float:
        """The gap that this look ends if it was a waking, else 0."""
        waited = now - self._waiting
        if waited < PROMPT_MS:
            since = self._looked  # it may have come at any time since the last look
        elif waited > self._timeout + OVERSLEPT_MS:
            since = self._waiting  # a wait that went on past its end did not see what came
        else:
            since = now  # a wait in time ends with the first thing that comes
        self._looked = now
        self._since = since
        gap = now - since
        return gap if gap >= self._waking_ms else 0.0

    @property
    def since(self) -> float:
        """What is read in this turn came no earlier."""
        return self._since
