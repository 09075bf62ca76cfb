"""One JSON line an event, on standard output; a readable form where that is a terminal.

Levels are a matter of the event, not of who logs it: LEVELS is the one table, and what is not in it is
`info`. VIOLETSTACK_LOG_LEVEL (`info`, `warning`, `error`) leaves out what is below it.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import Any

import orjson

quiet = False  # set by the rehearsal command
MOST_A_SECOND = 20  # lines of one kind that outsiders can cause
MAX_TEXT = 200
ORDER = {"info": 0, "warning": 1, "error": 2}
LEVELS = {
    **dict.fromkeys(
        (
            "accept_failed",
            "action_failed",
            "attempt_failed",
            "bad_config",
            "certificate_failed",
            "certificate_unusable",
            "connection_failed",
            "ledger_failed",
            "module_failed",
            "overdue",
            "place_failed",
            "probe_failed",
            "release_failed",
            "reload_failed",
            "request_failed",
            "state_failed",
        ),
        "error",
    ),
    **dict.fromkeys(
        (
            "admin_refused",
            "answer_broken",
            "answer_lost",
            "chat_rejected",
            "config_warning",
            "duties_refused",
            "effect_refused",
            "handshake_failed",
            "host_refused",
            "level_journal_failed",
            "level_journal_spoilt",
            "list_doubted",
            "list_refused",
            "no_list",
            "not_met",
            "order_refused",
            "passing_failed",
            "passing_refused",
            "peer_refused",
            "peers_unheard",
            "pool_lost",
            "record_failed",
            "record_refused",
            "rejected",
            "release_given_up",
            "shed",
            "silent_closed",
            "state_spoilt",
            "turned_away",
            "watch_ended",
        ),
        "warning",
    ),
}
least = ORDER.get(os.environ.get("VIOLETSTACK_LOG_LEVEL", "info"), 0)
observers: list[Callable[[dict[str, Any]], None]] = []  # the demo looks on


def log(event: str, **fields: Any) -> None:
    """Guards against its own end: a reader of the log that went away must not stop the service."""
    level = LEVELS.get(event, "info")
    if ORDER[level] < least:
        return
    line = {"at": round(time.time(), 3), "level": level, "event": event, **fields}
    for observe in observers:
        observe(line)
    if quiet:
        return
    try:
        sys.stdout.buffer.write(render(line))
        sys.stdout.buffer.flush()
    except (OSError, ValueError):
        pass


def as_json(line: dict[str, Any]) -> bytes:
    return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)


render: Callable[[dict[str, Any]], bytes] = as_json


def readable() -> None:
    """For a terminal. structlog loads only here: it would take 1 MiB of a daemon that has 32."""
    global render  # noqa: PLW0603 - one form of the log for the process
    import structlog  # noqa: PLC0415

    console = structlog.dev.ConsoleRenderer(colors=True, sort_keys=False, pad_event_to=16)

    def as_text(line: dict[str, Any]) -> bytes:
        shown = {"timestamp": time.strftime("%H:%M:%S", time.localtime(line["at"])), **line}
        del shown["at"]
        return (str(console(None, "", shown)) + "\n").encode()

    render = as_text


class Bounded:
    """For what outsiders can cause at will: so many lines a second of each kind, and short ones.

    What was left out is counted in the next line's `unlogged`. Guards the processor and the log's disk.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._kinds: dict[str, tuple[int, int, int]] = {}  # second, lines in it, left out so far

    def __call__(self, event: str, **fields: Any) -> None:
        second = int(self._clock())
        at, lines, unlogged = self._kinds.get(event, (second, 0, 0))
        lines = lines if at == second else 0
        if lines >= MOST_A_SECOND:
            self._kinds[event] = (second, lines, unlogged + 1)
            return
        self._kinds[event] = (second, lines + 1, 0)
        short = {k: v[:MAX_TEXT] if isinstance(v, str) else v for k, v in fields.items()}
        log(event, **short, **({"unlogged": unlogged} if unlogged else {}))


log_outside = Bounded()
