"""System calls that fail for a moment while a process starts, or reads its configuration again."""

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


def failing_at_first(call: Any, error: Exception) -> Any:
    """The call, the first three of which raise the error."""
    left = FAILURES

    def fail(*arguments: Any, **options: Any) -> Any:
        nonlocal left
        if left:
            left -= 1
            raise error
        return call(*arguments, **options)

    return fail


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
def test_a_start_outlasts_a_machine_without_descriptors(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """It ended with 'config_invalid' and status 2: a refused start."""
    error = OSError(number, os.strerror(number))
    monkeypatch.setattr(trio, "open_tcp_listeners", failing_at_first(trio.open_tcp_listeners, error))

    async def main() -> None:
        (listener,) = await listen_on(("127.0.0.1", 0), "listen")
        await listener.aclose()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))


def test_an_address_that_can_not_be_bound_ends_a_start_at_once() -> None:
    async def main() -> None:
        began = trio.current_time()
        with pytest.raises(ConfigError):
            await listen_on(("192.0.2.1", 1), "listen")
        assert trio.current_time() == began

    trio.run(main, clock=MockClock())


@pytest.mark.parametrize(
    ("number", "passes"), [(errno.ENFILE, True), (errno.EIO, True), (errno.ENOENT, False)]
)
def test_a_file_that_can_not_be_read_now_is_told_from_one_that_is_missing(
    number: int, passes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_: Path) -> bytes:
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(Path, "read_bytes", fail)
    with pytest.raises(ConfigError) as raised:
        read_node_config("config.json")
    assert isinstance(raised.value, ConfigUnreadableError) is passes


def test_a_start_reads_its_configuration_again_while_the_system_refuses_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told = object()
    load = failing_at_first(lambda *_: told, ConfigUnreadableError("no descriptor"))
    monkeypatch.setattr(process, "load", load)
    monkeypatch.setattr(process, "STARTUP_RETRY_INTERVAL_S", 0.0)
    assert process._load_at_start("", None) is told  # noqa: SLF001 - the start itself needs a process


def test_a_reload_that_can_not_read_the_file_now_is_made_up_for() -> None:
    """SIGHUP was lost, and with it the new discovery, whose drains would never have been heard."""

    async def story(on: Stage) -> None:
        reads = 0

        def count() -> Config:
            nonlocal reads
            reads += 1
            return on.config()

        load_config = failing_at_first(count, ConfigUnreadableError("no descriptor"))
        for _ in range(2):
            on.daemon.reload(load_config)
        await wait_until(lambda: reads > 0, 3.0)
        assert fronts.STARTUP_RETRY_TIMEOUT_S < 30.0

    play(*pair(), story=story)
