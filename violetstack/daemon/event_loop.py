"""The task that runs the core when an event has arrived or a timer is due."""

from __future__ import annotations

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.log import log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.pause_detector import PauseDetector

# A stop during a wait for I/O shows only if it outlasts the wait, so this bounds the age of what may be read
# as if it had just come.
MAX_WAIT_S = 0.06
FAILURE_RETRY_S = 0.01  # after a turn that failed; what it left undone is taken up in the next


class WakeSignal:
    """Ends the event loop's wait for the next timer."""

    def __init__(self) -> None:
        """Creates a signal that is not set."""
        self._event = trio.Event()

    def set(self) -> None:
        """Ends the current wait; the core runs in the next turn."""
        self._event.set()

    def clear(self) -> None:
        """Has the next `wait` wait for a `set` from now on."""
        self._event = trio.Event()

    async def wait(self) -> None:
        """Waits until the signal is set."""
        await self._event.wait()


class EventLoop:
    """Runs the core when its wake signal is set or a timer is due."""

    def __init__(self, core: Dispatcher, pause_detector: PauseDetector, wake_signal: WakeSignal) -> None:
        """Creates a loop that does nothing until `run`."""
        self._core = core
        self._pause_detector = pause_detector
        self._wake_signal = wake_signal
        # A wait longer than half the time in which a drain binds could hide a stop for as long.
        self._longest_wait_s = min(MAX_WAIT_S, core.drain_grace_ms / 2000.0)

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            self._wake_signal.clear()
            await self._pause_detector.wait_caught_up()
            if not self._run_core():
                await trio.sleep(FAILURE_RETRY_S)
                continue
            due = self._core.next_due()
            wait_s = min(self._longest_wait_s, max(0.0, (due - now_ms()) / 1000.0))
            with trio.move_on_after(wait_s):
                await self._wake_signal.wait()

    def _run_core(self) -> bool:
        """Runs the core; False if it raised, which must not end the process and every request with it."""
        try:
            self._core.run(now_ms())
        except Exception as error:
            log_rate_limited("event_loop_failed", error=repr(error))
            return False
        return True
