"""The Unix socket of `violetstack level`: a request and a reply, each a JSON object on one line."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec
import trio

from violetstack.load_shedding.errors import UnknownLevelError
from violetstack.load_shedding.journal import JournalRecord
from violetstack.load_shedding.status import LevelStatus

MAX_REQUEST_BYTES = 64 * 1024
REQUEST_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 8
READ_SIZE_BYTES = 4096
MAX_HISTORY = 50
MAX_NAME_LENGTH = 60
MAX_PIN_MS = 1e9
OWNER_ONLY_UMASK = 0o177


class LevelOperations(Protocol):
    """The operations available over the socket."""

    def status(self) -> LevelStatus:
        """Returns the current level and the conditions that would change it."""

    def recent_changes(self, limit: int) -> list[JournalRecord] | None:
        """Returns the latest changes, newest first; None without a journal.

        Raises:
            OSError: The journal cannot be read.
        """

    def pin(self, level: str, duration_ms: float, by: str) -> None:
        """Pins a level for `duration_ms`.

        Raises:
            UnknownLevelError: There is no such level.
        """

    def unpin(self) -> None:
        """Ends the pin, so that the signals determine the level again."""


class ErrorReply(msgspec.Struct, frozen=True):
    """Reply to a request that failed."""

    error: str


class HistoryReply(msgspec.Struct, frozen=True):
    """The latest changes of the level, newest first."""

    changes: list[JournalRecord]


class PinRequest(msgspec.Struct, frozen=True):
    """Arguments of `pin`, validated by its handler."""

    level: object = None
    duration_ms: object = msgspec.field(name="for_ms", default=None)
    by: object = None


Reply = LevelStatus | HistoryReply | ErrorReply


class LevelSocket:
    """Serves `violetstack level`; only the user of the process may connect."""

    def __init__(self, operations: LevelOperations) -> None:
        """Creates a socket that offers these operations."""
        self._operations = operations
        self._handlers: dict[str, Callable[[dict[str, object]], Reply]] = {
            "show": self._show,
            "history": self._history,
            "pin": self._pin,
            "unpin": self._unpin,
        }

    async def serve(self, path: str, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled, then removes the socket; reports as started once clients can connect.

        Raises:
            OSError: The path cannot be bound.
        """
        _remove(path)
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
            previous_umask = os.umask(OWNER_ONLY_UMASK)
            try:
                await listener.bind(path)
            finally:
                os.umask(previous_umask)
            listener.listen(MAX_CONNECTIONS)
            task_status.started()
            limiter = trio.CapacityLimiter(MAX_CONNECTIONS)
            try:
                async with trio.open_nursery() as nursery:
                    while True:
                        connection, _ = await listener.accept()
                        nursery.start_soon(self._serve_connection, trio.SocketStream(connection), limiter)
            finally:
                _remove(path)

    def reply_to(self, data: bytes) -> Reply:
        """Executes a request and returns the reply."""
        try:
            request = json.loads(data)
            handler = self._handlers[request["do"]]
        except (ValueError, TypeError, KeyError):
            return ErrorReply("ask one of show, history, pin, unpin")
        return handler(request)

    async def _serve_connection(self, stream: trio.SocketStream, limiter: trio.CapacityLimiter) -> None:
        async with limiter, stream:
            try:
                with trio.fail_after(REQUEST_TIMEOUT_S):
                    request = b""
                    while not request.endswith(b"\n") and len(request) < MAX_REQUEST_BYTES:
                        part = await stream.receive_some(READ_SIZE_BYTES)
                        if not part:
                            return
                        request += part
                    reply = msgspec.to_builtins(self.reply_to(request))
                    await stream.send_all(json.dumps(reply).encode() + b"\n")
            except (trio.TooSlowError, trio.BrokenResourceError):
                pass

    def _show(self, _: dict[str, object]) -> Reply:
        return self._operations.status()

    def _history(self, _: dict[str, object]) -> Reply:
        try:
            changes = self._operations.recent_changes(MAX_HISTORY)
        except OSError as error:
            return ErrorReply(str(error))
        if changes is None:
            return ErrorReply("no journal is configured")
        return HistoryReply(changes)

    def _pin(self, request: dict[str, object]) -> Reply:
        pin = msgspec.convert(request, PinRequest)
        level = pin.level
        duration_ms = pin.duration_ms
        if not isinstance(level, str) or not isinstance(duration_ms, int | float):
            return ErrorReply("a pin needs a level and a time")
        if not 0 < duration_ms < MAX_PIN_MS:
            return ErrorReply("a pin needs a level and a time")
        try:
            self._operations.pin(level, duration_ms, str(pin.by)[:MAX_NAME_LENGTH])
        except UnknownLevelError as error:
            return ErrorReply(str(error))
        return self._operations.status()

    def _unpin(self, _: dict[str, object]) -> Reply:
        self._operations.unpin()
        return self._operations.status()


def _remove(path: str) -> None:
    Path(path).unlink(missing_ok=True)
