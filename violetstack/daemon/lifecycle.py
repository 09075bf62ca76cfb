"""The phase of the process: starting, accepting requests, shutting down."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import trio

from violetstack.net.clock import now_ms


class SignalTime(NamedTuple):
    """When a signal came, in milliseconds of `now_ms`.

    A process that was stopped handles a signal once it goes on, and the event loop gets to it later still.

    Attributes:
        earliest_ms: The process was last known to run then.
        handled_ms: When its handler ran.
    """

    earliest_arrival_ms: float
    handled_ms: float

    def delayed(self, by_ms: float) -> SignalTime:
        """The time for a shutdown that begins `by_ms` later."""
        return SignalTime(self.earliest_arrival_ms + by_ms, self.handled_ms + by_ms)


class Lifecycle:
    """Whether the endpoint list is known, new requests are taken, and shutdown has been asked for.

    Attributes:
        last_running_ms: Returns when the process was last known to run.
    """

    def __init__(self) -> None:
        """Creates the state of a process that has just begun."""
        self.started = False
        self.accepting = False
        self.stop = trio.Event()
        self.last_running_ms: Callable[[], float] = now_ms
        self._signal: SignalTime | None = None

    def record_signal(self) -> None:
        """Notes the time of the first signal that ends the process; called in the signal's handler."""
        if self._signal is None:
            self._signal = SignalTime(self.last_running_ms(), now_ms())

    def signal_time(self) -> SignalTime:
        """When the first signal came; now, if `stop` was set without one."""
        return self._signal or SignalTime(now_ms(), now_ms())
