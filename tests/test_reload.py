"""A configuration that is reloaded while the dispatcher serves."""

from __future__ import annotations

import errno
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
import trio

from tests.process_time import wait_until
from tests.test_program import start
from tests.test_stories import pair, play
from violetstack.config import Config, ConfigError
from violetstack.rehearsal.clients import BODY, ask_platform, connect, platform_headers
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import SETTINGS, Stage


def test_sighup_reloads_the_file_and_keeps_the_process_running(tmp_path: Path) -> None:
    told: dict[str, object] = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}
    with start(tmp_path, told) as program:
        assert program.stdout is not None
        events = []
        for line in program.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] == "started":
                (tmp_path / "config.json").write_text("{no JSON")
                program.send_signal(signal.SIGHUP)
            elif events[-1] == "config_reload_failed":
                (tmp_path / "config.json").write_text(json.dumps(told))
                program.send_signal(signal.SIGHUP)
            elif events[-1] == "config_reloaded":
                program.send_signal(signal.SIGTERM)
        assert program.wait(10) == 0
    assert events == [
        "endpoint_list_updated",
        "started",
        "config_reload_failed",
        "config_reloaded",
        "shutdown_started",
        "stopped",
    ]


def test_a_new_discovery_replaces_the_list_and_requests_in_flight_continue() -> None:
    """SIGHUP must not end the streams in flight."""
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))
    other = ModelHost("w2", "decode")

    async def story(on: Stage) -> None:
        await on.nursery.start(other.serve)
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        await call.receive(events=3)
        discovery = Discovery(reader.row(), other.row())  # its versions begin anew, and it knows no `w`
        await on.nursery.start(discovery.serve)
        on.daemon.reload(lambda: on.config(discovery=discovery.address))
        on.discovery.tell({**writer.row(), "id": "old"})  # from the old one, after the move
        await wait_until(lambda: "w" not in on.daemon.core.endpoints)
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"
        assert other.begun == ["q2"]
        assert "old" not in on.daemon.core.endpoints
        assert discovery.asked[0] == "/api/targets"
        hold.set()
        assert (await call.receive()).whole

    play(reader, writer, story=story)


def test_an_invalid_file_keeps_the_configuration_in_force(capfd: pytest.CaptureFixture[str]) -> None:
    async def story(on: Stage) -> None:
        def bad() -> Config:
            raise ConfigError("no file")

        most = on.daemon.listeners[0].table.max_connections
        on.daemon.reload(bad)
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"
        assert on.daemon.listeners[0].table.max_connections == most
        on.daemon.reload(lambda: on.config(limits={"sockets": 0}))
        assert on.daemon.listeners[0].table.max_connections == most
        on.daemon.reload(lambda: on.config(limits={"sockets": 128, "memory_mb": 64.0}))
        assert on.daemon.listeners[0].table.max_connections < most
        on.daemon.reload(lambda: on.config(limits={"sockets": 1024, "memory_mb": 32.0}))
        assert sum(listener.table.max_connections for listener in on.daemon.listeners) == 1024 // 3 // 2 * 2

    play(*pair(), story=story)
    assert '"event":"config_reload_failed"' in capfd.readouterr().out


def open_for_reader(path: Path, within_s: float = 5.0) -> int:
    """Opens a named pipe for writing once another process has opened it for reading."""
    give_up_at = time.monotonic() + within_s
    while time.monotonic() < give_up_at:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
        time.sleep(0.005)
    raise AssertionError("nobody reads the file")


def test_sighup_while_the_file_is_read_for_the_first_time_reads_it_again(tmp_path: Path) -> None:
    """It was ignored until the event loop ran, so the process kept the discovery of the older file."""
    told: dict[str, object] = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}
    config = tmp_path / "config.json"
    os.mkfifo(config)
    environment = {**os.environ, "NODE_CONFIG": str(config)}
    with subprocess.Popen(
        [sys.executable, "-m", "violetstack"], stdout=subprocess.PIPE, text=True, env=environment
    ) as program:
        try:
            pipe = open_for_reader(config)
            program.send_signal(signal.SIGHUP)
            config.unlink()
            config.write_text(json.dumps(told))
            os.write(pipe, json.dumps(told).encode())
            os.close(pipe)
            assert program.stdout is not None
            events = []
            for line in program.stdout:
                events.append(json.loads(line)["event"])
                if events[-1] == "started":
                    program.send_signal(signal.SIGTERM)
            assert program.wait(10) == 0
        finally:
            program.kill()
    assert "config_reloaded" in events


def test_an_unforeseen_failure_of_a_reload_is_logged_and_requests_are_served(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """It ended the process, and every request in flight with it."""

    async def story(on: Stage) -> None:
        def broken() -> Config:
            raise RuntimeError("not foreseen")

        on.daemon.reload(broken)
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"

    play(*pair(), story=story)
    assert '"event":"config_reload_failed"' in capfd.readouterr().out


def test_a_failure_of_one_turn_of_the_event_loop_ends_no_other_request(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def story(on: Stage) -> None:
        run = on.daemon.core.run
        failures = [RuntimeError("not foreseen")]

        def failing_once(now: float) -> None:
            if on.daemon.core.open_requests and failures:
                raise failures.pop()
            run(now)

        on.daemon.core.run = failing_once  # type: ignore[method-assign]
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"
        assert not failures

    play(*pair(), story=story)
    assert '"event":"event_loop_failed"' in capfd.readouterr().out
