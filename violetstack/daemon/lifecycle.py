"""The phase of the process: starting, accepting requests or shutting down."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import trio

from violetstack.net.clock import now_ms


class SignalTime(NamedTuple):
    """When a signal arrived, in milliseconds of `now_ms`.

    A paused process runs the signal handler only after the pause, and its event loop responds later still, so
    the exact time of arrival is unknown.

    Attributes:
        earliest_arrival_ms: When the process was last known to run before the handler ran; had the signal
            arrived before that time, it would have been handled earlier.
        handled_ms: When the signal handler ran.
    """

    earliest_arrival_ms: float
    handled_ms: float

    def delayed(self, by_ms: float) -> SignalTime:
        """Returns the times for a shutdown schedule that starts `by_ms` later."""
        return SignalTime(self.earliest_arrival_ms + by_ms, self.handled_ms + by_ms)


class Lifecycle:
    """The state of startup and shutdown.

    Attributes:
        started: Whether the endpoint list is known.
        accepting: Whether client requests are accepted.
        stop: Set to shut the process down.
        last_running_ms: Returns when the process was last known to run.
    """

    def __init__(self) -> None:
        """Creates the state of a process that is starting."""
        self.started = False
        self.accepting = False
        self.stop = trio.Event()
        self.last_running_ms: Callable[[], float] = now_ms
        self._signal: SignalTime | None = None

    def record_signal(self) -> None:
        """Records the time of the first signal that ends the process; called in the signal handler."""
        if self._signal is None:
            self._signal = SignalTime(self.last_running_ms(), now_ms())

    def signal_time(self) -> SignalTime:
        """Returns the time of the first signal, or the current time if `stop` was set without a signal."""
        return self._signal or SignalTime(now_ms(), now_ms())
