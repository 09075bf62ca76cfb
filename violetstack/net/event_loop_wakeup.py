"""Keeps the event loop running when its own wake-up socket fails temporarily.

Signals and threads wake trio's loop by a byte on a socket pair. trio treats any error of that pair other than
EAGAIN as an internal error and ends the program with all of its open requests. However, recv(2) and send(2)
may fail for a moment because memory or buffers are short. trio has no public interface for this, so two
methods of the pinned version are replaced.
"""

from __future__ import annotations

import time

from trio._core._wakeup_socketpair import WakeupSocketpair

WAKE_UP_BYTE = b"\x00"
READ_SIZE_BYTES = 2**16
MAX_SENDS = 20
SEND_RETRY_S = 0.005


def tolerate_wakeup_errors() -> None:
    """Makes event loops that are started from now on ignore errors of their wake-up sockets."""
    WakeupSocketpair.drain = _drain  # type: ignore[method-assign]
    WakeupSocketpair.wakeup_thread_and_signal_safe = _wake  # type: ignore[method-assign]


def _drain(self: WakeupSocketpair) -> None:
    """Reads the bytes that woke the loop; bytes left unread after an error wake it again."""
    try:
        while self.wakeup_sock.recv(READ_SIZE_BYTES):
            pass
    except OSError:
        pass


def _wake(self: WakeupSocketpair) -> None:
    """Wakes the loop from a thread or a signal handler.

    If the socket buffer is full, it holds unread bytes that wake the loop.
    """
    for _ in range(MAX_SENDS):
        try:
            self.write_sock.send(WAKE_UP_BYTE)
        except BlockingIOError:
            return
        except OSError:
            time.sleep(SEND_RETRY_S)
        else:
            return
