"""Reloading of the configuration while the dispatcher serves requests."""

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
from tests.test_program import start_program
from tests.test_stories import pair, play
from violetstack.config import Config, ConfigError
from violetstack.rehearsal.clients import BODY, ask_platform, connect, platform_headers
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import SETTINGS, Stage


def test_sighup_reloads_the_configuration_without_a_restart(tmp_path: Path) -> None:
    node_config: dict[str, object] = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}
    with start_program(tmp_path, node_config) as program:
        assert program.stdout is not None
        events = []
        for line in program.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] == "started":
                (tmp_path / "config.json").write_text("{no JSON")
                program.send_signal(signal.SIGHUP)
            elif events[-1] == "config_reload_failed":
                (tmp_path / "config.json").write_text(json.dumps(node_config))
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
    """A reload that changes the discovery address must not end the streams in flight."""
    resume_stream = trio.Event()
    prefill_host, decode_host = pair(Act(pause=resume_stream))
    other_decode_host = ModelHost("w2", "decode")

    async def story(on: Stage) -> None:
        await on.nursery.start(other_decode_host.serve)
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "orden"), BODY)
        await call.receive(events=3)
        # the versions of the new list start again at 1, and it does not contain `w`
        new_discovery = Discovery(prefill_host.row(), other_decode_host.row())
        await on.nursery.start(new_discovery.serve)
        on.daemon.reload(lambda: on.config(discovery=new_discovery.address))
        on.discovery.publish(
            {**decode_host.row(), "id": "old"}
        )  # from the former discovery, after the change
        await wait_until(lambda: "w" not in on.daemon.core.endpoints)
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"
        assert other_decode_host.received_ids == ["q2"]
        assert "old" not in on.daemon.core.endpoints
        assert new_discovery.request_targets[0] == "/api/targets"
        resume_stream.set()
        assert (await call.receive()).whole

    play(prefill_host, decode_host, story=story)


def test_an_invalid_configuration_changes_nothing(capfd: pytest.CaptureFixture[str]) -> None:
    async def story(on: Stage) -> None:
        def fail_to_load() -> Config:
            raise ConfigError("no file")

        max_connections = on.daemon.listeners[0].table.max_connections
        on.daemon.reload(fail_to_load)
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"
        assert on.daemon.listeners[0].table.max_connections == max_connections
        on.daemon.reload(lambda: on.config(limits={"sockets": 0}))
        assert on.daemon.listeners[0].table.max_connections == max_connections
        on.daemon.reload(lambda: on.config(limits={"sockets": 128, "memory_mb": 64.0}))
        assert on.daemon.listeners[0].table.max_connections < max_connections
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
    raise AssertionError(f"no process opened {path} for reading within {within_s} s")


def test_sighup_during_the_first_read_of_the_configuration_causes_a_reload(tmp_path: Path) -> None:
    """SIGHUP was ignored until the event loop ran, so the process kept the old file's discovery address."""
    node_config: dict[str, object] = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}
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
            config.write_text(json.dumps(node_config))
            os.write(pipe, json.dumps(node_config).encode())
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


def test_an_unexpected_exception_in_a_reload_is_logged_and_requests_are_served(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """The exception ended the process and every request in flight."""

    async def story(on: Stage) -> None:
        def raise_unexpected() -> Config:
            raise RuntimeError("unexpected")

        on.daemon.reload(raise_unexpected)
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"

    play(*pair(), story=story)
    assert '"event":"config_reload_failed"' in capfd.readouterr().out


def test_an_exception_in_one_run_of_the_core_ends_no_request(
    capfd: pytest.CaptureFixture[str],
) -> None:
    async def story(on: Stage) -> None:
        run = on.daemon.core.run
        failures = [RuntimeError("unexpected")]

        def run_failing_once(now: float) -> None:
            if on.daemon.core.open_requests and failures:
                raise failures.pop()
            run(now)

        on.daemon.core.run = run_failing_once  # type: ignore[method-assign]
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"
        assert not failures

    play(*pair(), story=story)
    assert '"event":"event_loop_failed"' in capfd.readouterr().out
