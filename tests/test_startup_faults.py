"""System calls that fail temporarily while a process starts or reloads its configuration."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from tests.process_time import wait_until
from tests.test_stories import pair, play
from violetstack.config import Config, ConfigError, ConfigUnreadableError, read_node_config
from violetstack.daemon import fronts, process
from violetstack.daemon.fronts import listen_on
from violetstack.rehearsal.stage import Stage

FAILURES = 3


def failing_first(call: Any, error: Exception) -> Any:
    """Returns a function that raises the error in its first three calls and then calls `call`."""
    failures_left = FAILURES

    def fail_or_call(*arguments: Any, **options: Any) -> Any:
        nonlocal failures_left
        if failures_left:
            failures_left -= 1
            raise error
        return call(*arguments, **options)

    return fail_or_call


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
def test_a_start_retries_while_descriptors_are_exhausted(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process ended with `config_invalid` and status 2, as if the configuration were invalid."""
    error = OSError(number, os.strerror(number))
    monkeypatch.setattr(trio, "open_tcp_listeners", failing_first(trio.open_tcp_listeners, error))

    async def main() -> None:
        (listener,) = await listen_on(("127.0.0.1", 0), "listen")
        await listener.aclose()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))


def test_an_address_that_cannot_be_bound_ends_a_start_at_once() -> None:
    async def main() -> None:
        started_at = trio.current_time()
        with pytest.raises(ConfigError):
            await listen_on(("192.0.2.1", 1), "listen")
        assert trio.current_time() == started_at

    trio.run(main, clock=MockClock())


@pytest.mark.parametrize(
    ("number", "temporary"), [(errno.ENFILE, True), (errno.EIO, True), (errno.ENOENT, False)]
)
def test_a_temporarily_unreadable_file_is_distinguished_from_a_missing_one(
    number: int, temporary: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    def raise_error(_: Path) -> bytes:
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(Path, "read_bytes", raise_error)
    with pytest.raises(ConfigError) as raised:
        read_node_config("config.json")
    assert isinstance(raised.value, ConfigUnreadableError) is temporary


def test_a_start_retries_while_the_configuration_is_temporarily_unreadable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    config = object()
    load = failing_first(lambda *_: config, ConfigUnreadableError("no descriptor"))
    monkeypatch.setattr(process, "load", load)
    monkeypatch.setattr(process, "STARTUP_RETRY_INTERVAL_S", 0.0)
    assert process._load_at_start("", None) is config  # noqa: SLF001 - a complete start needs a process


def test_a_reload_is_retried_while_the_file_is_temporarily_unreadable() -> None:
    """The reload was lost, and with it the new discovery address: drains listed there were never received."""

    async def story(on: Stage) -> None:
        reads = 0

        def load_and_count() -> Config:
            nonlocal reads
            reads += 1
            return on.config()

        load_config = failing_first(load_and_count, ConfigUnreadableError("no descriptor"))
        for _ in range(2):
            on.daemon.reload(load_config)
        await wait_until(lambda: reads > 0, 3.0)
        assert fronts.STARTUP_RETRY_TIMEOUT_S < 30.0

    play(*pair(), story=story)
