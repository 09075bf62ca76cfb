"""Runs a dispatcher as a process: reads the configuration, handles signals, returns the exit status."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from types import FrameType

import trio

from violetstack.config import Config, ConfigError, ConfigUnreadableError, load
from violetstack.daemon.daemon import Daemon
from violetstack.daemon.fronts import STARTUP_RETRY_INTERVAL_S, STARTUP_RETRY_TIMEOUT_S
from violetstack.log import flush, log, write_in_background
from violetstack.net.event_loop_wakeup import tolerate_wakeup_errors
from violetstack.net.inherited_listener import open_inherited_listener


def serve(path: str, file: str | None = None) -> int:
    """Serves until SIGTERM and returns the exit status: 0, or 2 for an unusable configuration.

    `path` is the file that NODE_CONFIG names, `file` the operator's file; either may be missing.
    """
    write_in_background()
    try:
        return _serve(path, file)
    finally:
        flush()


def _serve(path: str, file: str | None) -> int:
    # The file may already have been read when a SIGHUP arrives, so it causes a reload during startup as well.
    early_sighup = SignalRecorder(signal.SIGHUP)
    try:
        config = _load_at_start(path, file)
        if config.inherited_fd is not None and config.listen is not None:
            config.inherited_listener = open_inherited_listener(config.inherited_fd, config.listen)
    except ConfigError as error:
        log("config_invalid", error=str(error))
        return 2
    config_errors: list[Exception] = []
    try:
        tolerate_wakeup_errors()
        trio.run(run, config, lambda: load(path, file, is_reload=True), early_sighup)
    except* ConfigError as errors:  # an address is in use, or not one of this machine's
        config_errors += flatten_group(errors)
    for config_error in config_errors:
        log("config_invalid", error=str(config_error))
    return 2 if config_errors else 0


def _load_at_start(path: str, file: str | None) -> Config:
    """Reads the configuration and retries while the system temporarily cannot read it.

    Raises:
        ConfigError: The configuration is invalid, or still unreadable after `STARTUP_RETRY_TIMEOUT_S`.
    """
    give_up_at = time.monotonic() + STARTUP_RETRY_TIMEOUT_S
    while True:
        try:
            return load(path, file)
        except ConfigUnreadableError as error:
            log("config_unreadable", error=str(error))
            if time.monotonic() >= give_up_at:
                raise
        time.sleep(STARTUP_RETRY_INTERVAL_S)


class SignalRecorder:
    """Records whether a signal arrived before the process was ready to handle it."""

    def __init__(self, number: signal.Signals) -> None:
        """Installs a handler for the signal, which records it until another handler is installed."""
        self.received = False
        signal.signal(number, self._record)

    def _record(self, _number: int, _frame: FrameType | None) -> None:
        self.received = True


async def run(
    config: Config, load_config: Callable[[], Config], early_sighup: SignalRecorder | None = None
) -> None:
    """Serves until SIGTERM or SIGINT; reloads the configuration on SIGHUP, also during a shutdown.

    `early_sighup` has recorded SIGHUP since before `config` was read; one that arrived causes a reload.
    """
    daemon = Daemon(config)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        for number in (signal.SIGTERM, signal.SIGINT):
            _call_before_handler(number, daemon.record_signal)

        async def handle_signals() -> None:
            if early_sighup is not None and early_sighup.received:
                daemon.reload(load_config)
            async for number in signals:
                if number == signal.SIGHUP:
                    daemon.reload(load_config)
                else:
                    daemon.stop.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(handle_signals)
            await daemon.serve()
            nursery.cancel_scope.cancel()


def _call_before_handler(number: signal.Signals, notify: Callable[[], None]) -> None:
    """Installs a signal handler that calls `notify` and then the handler installed before."""
    handler = signal.getsignal(number)

    def notify_and_handle(received: int, frame: FrameType | None) -> None:
        notify()
        if callable(handler):
            handler(received, frame)

    signal.signal(number, notify_and_handle)


def flatten_group(errors: BaseExceptionGroup[Exception]) -> list[Exception]:
    """Returns the exceptions of a group and of its nested groups."""
    return [
        leaf
        for error in errors.exceptions
        for leaf in (flatten_group(error) if isinstance(error, BaseExceptionGroup) else [error])
    ]
