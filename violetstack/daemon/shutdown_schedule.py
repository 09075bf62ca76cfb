"""When each step of a shutdown is due, in seconds after SIGTERM.

SIGKILL may follow as soon as the longest client timeout, at most MAX_DRAIN_S, and KILL_DELAY_S have passed.
A request that came more than KILL_DELAY_S after SIGTERM is lost if SIGKILL finds it without its response, so
requests are rejected at once from well before that time on:

| longest timeout | rejected from | waiting requests end | silent connections close | SIGKILL from |
| --- | --- | --- | --- | --- |
| 0.3 s | 0.6 s | 0.65 s | 0.85 s | 1.0 s |
| 0.5 s | 0.6 s | 0.7 s | 1.05 s | 1.2 s |
| 0.65 s | 0.6 s | 0.85 s | 1.2 s | 1.35 s |
| 3 s and more | 0.6 s | 3.2 s | 3.55 s | 3.7 s |

A stream that has started goes on to its end, or to SIGKILL.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DRAIN_S = 3.0
KILL_DELAY_S = 0.7
STOP_ACCEPTING_S = 0.55  # load balancers in front send new connections for up to 0.4 s
# A margin before KILL_DELAY_S, for a signal or a request that a busy process reads late.
REJECT_REQUESTS_S = 0.6
MIN_PROCESSING_S = 0.05  # of a request that was accepted at the last moment
FINAL_RESPONSES_S = 0.5  # before SIGKILL, for the last answers and releases
# After the earliest SIGKILL: until it comes, what waits in the queue is rejected.
LISTENER_CLOSE_DELAY_S = 0.05
SILENT_CLOSE_MARGIN_S = 0.15  # before SIGKILL, so that no request comes that can't be answered any more


@dataclass(frozen=True)
class ShutdownSchedule:
    """The steps of one shutdown, in seconds after SIGTERM.

    Attributes:
        stop_accepting_s: From here on the listening socket is closed once its queue is empty.
        close_listener_s: The listening socket is closed, whatever its queue holds.
        reject_s: Requests that are read from here on are rejected.
        end_waiting_s: Requests without a first event get their final answer.
        close_silent_s: Connections on which no request has begun are closed.
        kill_s: The earliest SIGKILL.
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
