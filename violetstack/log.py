"""Structured log: writes each event as a line of JSON to standard output, or in a console format.

The level depends only on the event: EVENT_LEVELS has the levels, and an event that is not in it has the level
`info`. Events below the level in the environment variable VIOLETSTACK_LOG_LEVEL (`info`, `warning`, `error`)
are not logged.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from violetstack.log_writer import LogWriter

MAX_LINES_PER_SECOND = 20  # of each event that clients or peers can cause
MAX_TEXT_LENGTH = 200  # characters in a field of such an event
LEVEL_ORDER = {"info": 0, "warning": 1, "error": 2}
EVENT_LEVELS = {
    **dict.fromkeys(
        (
            "accept_failed",
            "action_failed",
            "attempt_failed",
            "config_invalid",
            "certificate_order_failed",
            "clean_up_failed",
            "certificate_invalid",
            "connection_failed",
            "connection_state_invalid",
            "event_loop_failed",
            "invariant_violated",
            "idempotency_store_failed",
            "policy_failed",
            "request_overdue",
            "reservation_failed",
            "health_check_failed",
            "release_failed",
            "config_reload_failed",
            "request_failed",
            "state_io_failed",
            "task_failed",
        ),
        "error",
    ),
    **dict.fromkeys(
        (
            "admin_call_rejected",
            "upstream_response_truncated",
            "response_dropped",
            "chat_client_rejected",
            "config_warning",
            "lease_broadcast_rejected",
            "lease_datagram_rejected",
            "tls_handshake_failed",
            "upstream_rejected_request",
            "level_journal_failed",
            "level_journal_corrupt",
            "endpoint_list_loss_suspected",
            "endpoint_list_stale",
            "endpoint_list_missing",
            "client_input_slow",
            "event_loop_slow",
            "memory_high",
            "recovered_endpoint_unreachable",
            "idempotency_store_missing",
            "stream_migration_failed",
            "stream_migration_rejected",
            "gossip_datagram_rejected",
            "gossip_bind_failed",
            "local_fault",
            "listen_failed",
            "config_unreadable",
            "attempt_undelivered",
            "log_lines_dropped",
            "pool_degraded",
            "handover_record_failed",
            "handover_record_invalid",
            "client_rejected",
            "release_abandoned",
            "request_shed",
            "client_request_timeout",
            "client_connection_violation",
            "state_corrupt",
            "connection_rejected",
            "watch_closed",
        ),
        "warning",
    ),
}

quiet = False  # set by the rehearsal command: events are passed to observers only, not written
minimum_level = LEVEL_ORDER.get(os.environ.get("VIOLETSTACK_LOG_LEVEL", "info"), 0)
observers: list[Callable[[dict[str, Any]], None]] = []  # called with each event; used by the demo
FLUSH_TIMEOUT_S = 0.3  # at the end of the process, in case the output is slow or blocked
_writer: LogWriter | None = None


def write_in_background() -> None:
    """Writes lines on a thread from now on, so that a slow reader of the log can't block the service."""
    global _writer  # noqa: PLW0603 - the process has one log
    if _writer is None and sys.stdout is not None:  # None if the descriptor was closed at startup
        _writer = LogWriter(sys.stdout.fileno(), _describe_drops)


def flush() -> None:
    """Waits until the thread has written all lines, for at most `FLUSH_TIMEOUT_S`."""
    if _writer is not None:
        _writer.flush(FLUSH_TIMEOUT_S)


def dropped_lines() -> int:
    """Returns the number of lines that could not be written since the start."""
    return _writer.dropped if _writer is not None else 0


def _describe_drops(lines: int) -> bytes:
    return render(_compose("log_lines_dropped", {"lines": lines}))


def _compose(event: str, fields: dict[str, Any]) -> dict[str, Any]:
    level = EVENT_LEVELS.get(event, "info")
    return {"at": round(time.time(), 3), "level": level, "event": event, **fields}


def log(event: str, **fields: Any) -> None:
    """Logs an event. Output errors are ignored, so that a closed pipe does not stop the service."""
    level = EVENT_LEVELS.get(event, "info")
    if LEVEL_ORDER[level] < minimum_level:
        return
    line = _compose(event, fields)
    for observe in observers:
        observe(line)
    if quiet or sys.stdout is None:
        return
    if _writer is not None:
        _writer.write(render(line))
        return
    try:
        sys.stdout.buffer.write(render(line))
        sys.stdout.buffer.flush()
    except (OSError, ValueError):
        pass


def as_json(line: dict[str, Any]) -> bytes:
    """Encodes a line as JSON; values of types that JSON lacks are converted with `str`."""
    return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)


render: Callable[[dict[str, Any]], bytes] = as_json


def use_console_format() -> None:
    """Writes lines in a console format from now on. structlog is imported here since it takes 1 MiB."""
    global render  # noqa: PLW0603 - the process has one log format
    import structlog

    console = structlog.dev.ConsoleRenderer(colors=True, sort_keys=False, pad_event_to=16)

    def as_text(line: dict[str, Any]) -> bytes:
        shown = {"timestamp": time.strftime("%H:%M:%S", time.localtime(line["at"])), **line}
        del shown["at"]
        return (str(console(None, "", shown)) + "\n").encode()

    render = as_text


class _Window(NamedTuple):
    """Number of lines of an event in the second `second`, and of those dropped since the last line."""

    second: int
    lines: int
    dropped: int


class RateLimitedLog:
    """Logs events that clients or peers can cause, at most MAX_LINES_PER_SECOND of each event.

    Long texts are truncated to MAX_TEXT_LENGTH characters. The next line of the same event has the number of
    dropped lines as `unlogged`. This bounds the processor time and the disk space that clients and peers can
    use up.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates a log; `clock` returns seconds."""
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def __call__(self, event: str, **fields: Any) -> None:
        """Logs an event, or counts it as dropped if the limit for this second is reached."""
        second = int(self._clock())
        window = self._windows.get(event, _Window(second, 0, 0))
        lines = window.lines if window.second == second else 0
        if lines >= MAX_LINES_PER_SECOND:
            self._windows[event] = _Window(second, lines, window.dropped + 1)
            return
        self._windows[event] = _Window(second, lines + 1, 0)
        truncated = {
            name: value[:MAX_TEXT_LENGTH] if isinstance(value, str) else value
            for name, value in fields.items()
        }
        if window.dropped:
            truncated["unlogged"] = window.dropped
        log(event, **truncated)


log_rate_limited = RateLimitedLog()
