"""Signals that arrive while a process starts, from its first instruction on."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import tempfile
import time
from pathlib import Path

import pytest

from violetstack.rehearsal.fleet.programs import ROOT, command
from violetstack.rehearsal.stage import SETTINGS

START_TIMEOUT_S = 20.0


def wait_for_exec(process: subprocess.Popen[bytes], give_up_at: float) -> None:
    """Returns once the shell has replaced itself with the program."""
    while b"-m\0violetstack" not in Path(f"/proc/{process.pid}/cmdline").read_bytes():
        assert time.monotonic() < give_up_at
        time.sleep(0.0002)


@pytest.mark.parametrize("interval_s", [0.0005, 0.02])
def test_repeated_sighup_does_not_end_a_starting_process(interval_s: float, tmp_path: Path) -> None:
    """SIGHUP ends a process without a handler, and the handler was installed only after all imports."""
    node_config = {
        "listen": "127.0.0.1:0",
        "settings": SETTINGS,
        "known": {"version": 1, "full": True, "servers": []},
    }
    file = tmp_path / "config.json"
    file.write_text(json.dumps(node_config))
    with tempfile.TemporaryFile() as log:
        process = subprocess.Popen(
            command(ROOT, ""), cwd=ROOT, env={**os.environ, "NODE_CONFIG": str(file)}, stdout=log
        )
        give_up_at = time.monotonic() + START_TIMEOUT_S
        started = False
        try:
            wait_for_exec(process, give_up_at)
            while not started and process.poll() is None and time.monotonic() < give_up_at:
                process.send_signal(signal.SIGHUP)
                time.sleep(interval_s)
                started = b'"started"' in os.pread(log.fileno(), 65536, 0)
            assert process.poll() is None
            assert started
            process.send_signal(signal.SIGTERM)
            assert process.wait(START_TIMEOUT_S) == 0
        finally:
            process.kill()
            process.wait()
