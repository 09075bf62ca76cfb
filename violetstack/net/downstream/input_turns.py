"""Turns of connections whose input takes long to parse."""

from __future__ import annotations

import trio


class InputTurns:
    """Lets one connection continue in each pass of the event loop, in the order in which they began to wait.

    Between two turns every other task that is ready runs once.
    """

    def __init__(self) -> None:
        """Creates the turns; no connection waits."""
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Returns when it is the caller's turn; it may use the processor until it next waits for anything."""
        async with self._lock:  # hands over to the next waiter, which runs in a later pass
            pass
