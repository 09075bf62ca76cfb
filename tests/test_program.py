"""The program as a process: exit status, log lines, and errors of the configuration."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from violetstack.rehearsal.stage import SETTINGS


def start(tmp_path: Path, told: dict[str, object]) -> subprocess.Popen[str]:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(told))
    return subprocess.Popen(
        [sys.executable, "-m", "violetstack"],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "NODE_CONFIG": str(file)},
    )


def test_sigterm_ends_the_program_with_status_0(tmp_path: Path) -> None:
    with start(tmp_path, {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}) as program:
        assert program.stdout is not None
        events = []
        for line in program.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] == "started":
                program.send_signal(signal.SIGTERM)
        assert program.wait(10) == 0
    assert events == ["endpoint_list_updated", "started", "shutdown_started", "stopped"]


def test_an_invalid_configuration_logs_one_line_and_exits_with_status_2(tmp_path: Path) -> None:
    with start(tmp_path, {"listen": "nowhere", "settings": SETTINGS}) as program:
        out, _ = program.communicate(timeout=10)
    assert (program.returncode, json.loads(out)["event"]) == (2, "config_invalid")


BAD: dict[str, dict[str, Any]] = {
    "listen": {"listen": "here"},
    "discovery": {"discovery": "127.0.0.1"},
    "seed": {"seed": "zz"},
    "settings": {"settings": None},
    "classes": {"settings": {**SETTINGS, "classes": []}},
    "classes[1].give_up": {
        "settings": {
            **SETTINGS,
            "classes": [SETTINGS["classes"][0], {**SETTINGS["classes"][1], "give_up": 0.0}],
        }
    },
    "aim": {"settings": {**SETTINGS, "classes": [{"give_up": 100.0}]}},
    "idempotency": {
        "settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "idempotency": "perhaps"}]}
    },
    "stage_of_kind": {"settings": {**SETTINGS, "family_info": {"stage_of_kind": ["read", "paint"]}}},
    "limits": {"limits": {"sockets": 3}},
}


@pytest.mark.parametrize("key", BAD)
def test_an_invalid_configuration_is_logged_with_its_key_in_a_short_line(tmp_path: Path, key: str) -> None:
    """A configuration without a class, or without a timeout, must not start."""
    told = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS, **BAD[key]}
    with start(tmp_path, told) as program:
        out, _ = program.communicate(timeout=10)
    (line,) = out.splitlines()
    assert (program.returncode, json.loads(line)["event"]) == (2, "config_invalid")
    said = json.loads(line)["error"].replace(str(tmp_path / "config.json"), "")
    assert key in said
    assert len(line) < 500


def test_an_address_in_use_logs_one_line_and_exits_with_status_2(tmp_path: Path) -> None:
    """It must not end with a traceback."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        at = f"127.0.0.1:{taken.getsockname()[1]}"
        for name, told in (("listen", {"listen": at}), ("mgmt", {"listen": "127.0.0.1:0", "mgmt": at})):
            with start(tmp_path, {**told, "seed": "ff", "settings": SETTINGS}) as program:
                out, _ = program.communicate(timeout=10)
            last = json.loads(out.splitlines()[-1])
            assert (program.returncode, last["event"]) == (2, "config_invalid")
            assert last["error"].startswith(f"{name}: {at}: ")
