"""The process: configuration, signals and exit status of one dispatcher."""

from __future__ import annotations

import signal
from collections.abc import Callable

import trio

from violetstack.config import Config, ConfigError, load
from violetstack.daemon.daemon import Daemon
from violetstack.log import log
from violetstack.net.inherited_listener import open_inherited_listener


def serve(path: str, file: str | None = None) -> int:
    """Serves until SIGTERM and returns the exit status: 0, or 2 for a configuration that can't be used.

    `path` is the file that NODE_CONFIG names, `file` the operator's; either may be missing.
    """
    # A SIGHUP during startup is ignored: the file that it announces is about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load(path, file)
        if config.inherited_fd is not None and config.listen is not None:
            config.inherited_listener = open_inherited_listener(config.inherited_fd, config.listen)
    except ConfigError as error:
        log("config_invalid", error=str(error))
        return 2
    unusable: list[Exception] = []
    try:
        trio.run(run, config, lambda: load(path, file, again=True))
    except* ConfigError as errors:  # an address that is taken, or none of this machine's
        unusable += flatten(errors)
    for reason in unusable:
        log("config_invalid", error=str(reason))
    return 2 if unusable else 0


async def run(config: Config, read_again: Callable[[], Config]) -> None:
    """Serves until SIGTERM; SIGHUP reads the configuration again, during a drain as well."""
    daemon = Daemon(config)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:

        async def handle_signals() -> None:
            async for number in signals:
                if number == signal.SIGHUP:
                    daemon.reload(read_again)
                else:
                    daemon.stop.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(handle_signals)
            await daemon.serve()
            nursery.cancel_scope.cancel()


def flatten(errors: BaseExceptionGroup[Exception]) -> list[Exception]:
    """The exceptions of a group and of the groups within it."""
    return [
        each
        for error in errors.exceptions
        for each in (flatten(error) if isinstance(error, BaseExceptionGroup) else [error])
    ]
