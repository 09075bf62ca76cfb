"""Structured log: one JSON line an event on standard output, or a readable form on a terminal.

The level belongs to the event, not to who logs it: EVENT_LEVELS is the one table, and an event that is not
in it has the level `info`. The environment variable VIOLETSTACK_LOG_LEVEL (`info`, `warning`, `error`) drops
events of a lower level.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from violetstack.log_writer import LogWriter

LINES_PER_SECOND = 20  # of one event that clients or peers can cause
MAX_TEXT_LENGTH = 200  # characters of a field of such an event
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

quiet = False  # set by the rehearsal command: observers see the events, standard output does not
minimum_level = LEVEL_ORDER.get(os.environ.get("VIOLETSTACK_LOG_LEVEL", "info"), 0)
observers: list[Callable[[dict[str, Any]], None]] = []  # called with each event; the demo registers one
FLUSH_TIMEOUT_S = 0.3  # at the end of the process, for an output that takes lines slowly
_writer: LogWriter | None = None


def write_in_background() -> None:
    """From now on lines are written by a thread: a service must not wait for whoever reads its log."""
    global _writer  # noqa: PLW0603 - the process has one log
    if _writer is None and sys.stdout is not None:  # None: the descriptor was closed before the start
        _writer = LogWriter(sys.stdout.fileno(), _describe_drops)


def flush() -> None:
    """Waits for the lines that a thread still has to write, for `FLUSH_TIMEOUT_S` at most."""
    if _writer is not None:
        _writer.flush(FLUSH_TIMEOUT_S)


def dropped_lines() -> int:
    """Returns how many lines the output did not take since the start."""
    return _writer.dropped if _writer is not None else 0


def _describe_drops(lines: int) -> bytes:
    return render(_compose("log_lines_dropped", {"lines": lines}))


def _compose(event: str, fields: dict[str, Any]) -> dict[str, Any]:
    level = EVENT_LEVELS.get(event, "info")
    return {"at": round(time.time(), 3), "level": level, "event": event, **fields}


def log(event: str, **fields: Any) -> None:
    """Writes one event. Errors of the output are ignored: a closed pipe must not stop the service."""
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
    """The line as JSON; what JSON has no form for is written as its `str`."""
    return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)


render: Callable[[dict[str, Any]], bytes] = as_json


def use_console_format() -> None:
    """Writes readable lines from now on. structlog is imported only here: it takes 1 MiB of memory."""
    global render  # noqa: PLW0603 - the process has one log, in one format
    import structlog

    console = structlog.dev.ConsoleRenderer(colors=True, sort_keys=False, pad_event_to=16)

    def as_text(line: dict[str, Any]) -> bytes:
        shown = {"timestamp": time.strftime("%H:%M:%S", time.localtime(line["at"])), **line}
        del shown["at"]
        return (str(console(None, "", shown)) + "\n").encode()

    render = as_text


class _Window(NamedTuple):
    """The lines of one event: in the second `second`, and those dropped since the last line."""

    second: int
    lines: int
    dropped: int


class RateLimitedLog:
    """Logs events that clients or peers can cause at will: LINES_PER_SECOND of each, with short fields.

    The next line that is written has the number of dropped ones as `unlogged`. This bounds the processor time
    and the disk space that a client or a peer can use up. `clock` returns seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Starts with no lines counted."""
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def __call__(self, event: str, **fields: Any) -> None:
        """Writes the event, or counts it where there were too many of its kind in this second."""
        second = int(self._clock())
        window = self._windows.get(event, _Window(second, 0, 0))
        lines = window.lines if window.second == second else 0
        if lines >= LINES_PER_SECOND:
            self._windows[event] = _Window(second, lines, window.dropped + 1)
            return
        self._windows[event] = _Window(second, lines + 1, 0)
        short = {
            name: value[:MAX_TEXT_LENGTH] if isinstance(value, str) else value
            for name, value in fields.items()
        }
        if window.dropped:
            short["unlogged"] = window.dropped
        log(event, **short)


log_rate_limited = RateLimitedLog()
