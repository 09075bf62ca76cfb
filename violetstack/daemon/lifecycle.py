"""The phase of the process: starting, accepting requests, shutting down."""

from __future__ import annotations

import trio

from violetstack.net.clock import now_ms


class Lifecycle:
    """Whether the endpoint list is known, new requests are taken, and shutdown has been asked for."""

    def __init__(self) -> None:
        """Creates the state of a process that has just begun."""
        self.started = False
        self.accepting = False
        self.stop = trio.Event()
        self._signal_at_ms: float | None = None

    def signal_received(self) -> None:
        """Notes the time of the first signal that ends the process; called in the signal's handler."""
        if self._signal_at_ms is None:
            self._signal_at_ms = now_ms()

    def stop_requested_at(self, now_s: float) -> float:
        """When the first signal came, on the caller's clock; `now_s` if `stop` was set without one.

        The event loop may get to a signal late: at the end of a long iteration, or once the process has
        started.
        """
        if self._signal_at_ms is None:
            return now_s
        return now_s - (now_ms() - self._signal_at_ms) / 1000.0
