"""Runs the core when an event has arrived or a timer is due."""

from __future__ import annotations

import time

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.log import log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.pause_detector import PauseDetector
from violetstack.policy_api import EndpointUpdate, Event, Request

# A pause of the process during a wait for I/O is detected only if it outlasts the wait, so this limits the
# age of input that is treated as if it had just arrived.
MAX_WAIT_S = 0.06
FAILURE_RETRY_S = 0.01  # after the core raised; the next run continues with the remaining work
SLOW_RUN_MS = 50.0  # processor time; no socket is read during a run, so it delays all requests


class WakeSignal:
    """Interrupts the event loop's wait for the next timer."""

    def __init__(self) -> None:
        """Creates a signal that is not set."""
        self._event = trio.Event()

    def set(self) -> None:
        """Ends the current wait, so that the event loop runs the core."""
        self._event.set()

    def clear(self) -> None:
        """Resets the signal; `wait` then waits for the next `set`."""
        self._event = trio.Event()

    async def wait(self) -> None:
        """Waits until the signal is set."""
        await self._event.wait()


class EventLoop:
    """Runs the core when its wake signal is set or a timer is due."""

    def __init__(self, core: Dispatcher, pause_detector: PauseDetector, wake_signal: WakeSignal) -> None:
        """Creates an event loop that starts with `run`."""
        self._core = core
        self._pause_detector = pause_detector
        self._wake_signal = wake_signal
        # A wait can hide a pause of the same length, so no wait exceeds half the time for which a draining
        # host still accepts attempts.
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
        """Runs the core and returns False if it raised an exception.

        The exception is logged and not raised, so that it does not end the process and its requests.
        """
        started_at_s = time.thread_time()
        events = self._core.pending_events
        try:
            self._core.run(now_ms())
        except Exception as error:
            log_rate_limited("event_loop_failed", error=repr(error))
            return False
        cpu_ms = (time.thread_time() - started_at_s) * 1000.0
        if cpu_ms >= SLOW_RUN_MS:
            self._log_slow_run(cpu_ms, events)
        return True

    def _log_slow_run(self, cpu_ms: float, events: list[Event]) -> None:
        """Logs what a long run handled, which tells whether endpoint updates or requests took the time."""
        updates = [event for event in events if isinstance(event, EndpointUpdate)]
        requests = sum(1 for event in events if isinstance(event, Request))
        log_rate_limited(
            "event_loop_slow",
            cpu_ms=round(cpu_ms),
            endpoint_updates=len(updates),
            updated_endpoints=sum(len(update.endpoints) for update in updates),
            requests=requests,
            other_events=len(events) - len(updates) - requests,
            listed_endpoints=len(self._core.endpoints),
        )
