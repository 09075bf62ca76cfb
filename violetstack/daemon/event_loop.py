"""The task that runs the core when an event has arrived or a timer is due."""

from __future__ import annotations

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.net.clock import now_ms
from violetstack.net.pause_detector import PauseDetector


class EventLoop:
    """Runs the core; `wake` makes it run without waiting for the next timer."""

    def __init__(self, core: Dispatcher, pause_detector: PauseDetector) -> None:
        self._core = core
        self._pause_detector = pause_detector
        self._woken = trio.Event()
        # A wait longer than half the time in which a drain binds could hide a stop for as long.
        self._longest_wait_s = core.drain_grace_ms / 2000.0
        core.wake = self.wake

    def wake(self) -> None:
        """Ends the current wait; the core runs in the next turn."""
        self._woken.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self._woken = trio.Event()
            await self._pause_detector.wait_caught_up()
            self._core.run(now_ms())
            due = self._core.next_due()
            wait_s = min(self._longest_wait_s, max(0.0, (due - now_ms()) / 1000.0))
            with trio.move_on_after(wait_s):
                await self._woken.wait()
