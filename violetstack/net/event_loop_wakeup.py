"""Keeps the event loop going when its own wake-up socket fails for a moment.

Signals and threads wake trio's loop by a byte on a socket pair. trio takes any error of that pair but EAGAIN
for a fault of its own and ends the program, whatever it has taken; recv(2) and send(2) may fail for lack of
memory or of buffers, though, and work again right after. trio has no public interface for this, so two
methods of the pinned version are replaced.
"""

from __future__ import annotations

import time

from trio._core._wakeup_socketpair import WakeupSocketpair

WAKE = b"\x00"
READ_SIZE = 2**16
MAX_SENDS = 20
SEND_RETRY_S = 0.005


def tolerate_wakeup_errors() -> None:
    """Has event loops that are started from now on outlast errors of their wake-up sockets."""
    WakeupSocketpair.drain = _drain  # type: ignore[method-assign]
    WakeupSocketpair.wakeup_thread_and_signal_safe = _wake  # type: ignore[method-assign]


def _drain(self: WakeupSocketpair) -> None:
    """Reads what has woken the loop; what an error leaves unread wakes it once more."""
    try:
        while self.wakeup_sock.recv(READ_SIZE):
            pass
    except OSError:
        pass


def _wake(self: WakeupSocketpair) -> None:
    """Wakes the loop from a thread or a signal handler; a byte that waits already is enough."""
    for _ in range(MAX_SENDS):
        try:
            self.write_sock.send(WAKE)
        except BlockingIOError:
            return
        except OSError:
            time.sleep(SEND_RETRY_S)
        else:
            return
