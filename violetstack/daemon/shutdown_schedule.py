"""Times of the steps of a shutdown, in seconds after SIGTERM.

SIGKILL may follow once the longest client timeout (at most MAX_DRAIN_S) plus KILL_DELAY_S has passed. A
request that arrives later than KILL_DELAY_S after SIGTERM is lost if it has no response by SIGKILL. Requests
are therefore rejected immediately from REJECT_REQUESTS_S on:

| longest timeout | rejected from | waiting requests end | silent connections close | SIGKILL from |
| --- | --- | --- | --- | --- |
| 0.3 s | 0.6 s | 0.65 s | 0.85 s | 1.0 s |
| 0.5 s | 0.6 s | 0.7 s | 1.05 s | 1.2 s |
| 0.65 s | 0.6 s | 0.85 s | 1.2 s | 1.35 s |
| 3 s and more | 0.6 s | 3.2 s | 3.55 s | 3.7 s |

Started streams continue until they end or until SIGKILL.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DRAIN_S = 3.0
KILL_DELAY_S = 0.7
STOP_ACCEPTING_S = 0.55  # load balancers open new connections for up to 0.4 s after SIGTERM
# Before KILL_DELAY_S, since a busy process handles a signal or reads a request late.
REJECT_REQUESTS_S = 0.6
MIN_PROCESSING_S = 0.05  # for a request that was read just before rejecting starts
FINAL_RESPONSES_S = 0.5  # before SIGKILL, for the last responses and releases
# After the earliest SIGKILL; until SIGKILL, connections in the accept queue are accepted and rejected.
LISTENER_CLOSE_DELAY_S = 0.05
SILENT_CLOSE_MARGIN_S = 0.15  # before SIGKILL; a request that arrived later could not be answered


@dataclass(frozen=True)
class ShutdownSchedule:
    """The steps of one shutdown, in seconds after SIGTERM.

    Attributes:
        stop_accepting_s: From now on, the listening socket is closed once its accept queue is empty.
        close_listener_s: The listening socket is closed even if connections wait in its accept queue.
        reject_s: Requests that are read from now on are rejected.
        end_waiting_s: Requests whose response has not started receive their final response.
        close_silent_s: Connections without a complete request are closed.
        kill_s: The earliest time of SIGKILL.
    """

    stop_accepting_s: float
    close_listener_s: float
    reject_s: float
    end_waiting_s: float
    close_silent_s: float
    kill_s: float

    @classmethod
    def for_longest_timeout(cls, longest_timeout_ms: float) -> ShutdownSchedule:
        """Returns the schedule for the longest client timeout of all classes."""
        kill_s = min(longest_timeout_ms / 1000.0, MAX_DRAIN_S) + KILL_DELAY_S
        return cls(
            stop_accepting_s=STOP_ACCEPTING_S,
            close_listener_s=kill_s + LISTENER_CLOSE_DELAY_S,
            reject_s=REJECT_REQUESTS_S,
            end_waiting_s=max(kill_s - FINAL_RESPONSES_S, REJECT_REQUESTS_S + MIN_PROCESSING_S),
            close_silent_s=kill_s - SILENT_CLOSE_MARGIN_S,
            kill_s=kill_s,
        )
