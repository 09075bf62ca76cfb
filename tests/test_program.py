"""The program as a process: exit status, log lines and configuration errors."""

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


def start_program(tmp_path: Path, node_config: dict[str, object]) -> subprocess.Popen[str]:
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(node_config))
    return subprocess.Popen(
        [sys.executable, "-m", "violetstack"],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "NODE_CONFIG": str(config_file)},
    )


def test_sigterm_ends_the_program_with_status_0(tmp_path: Path) -> None:
    with start_program(tmp_path, {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}) as program:
        assert program.stdout is not None
        events = []
        for line in program.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] == "started":
                program.send_signal(signal.SIGTERM)
        assert program.wait(10) == 0
    assert events == ["endpoint_list_updated", "started", "shutdown_started", "stopped"]


def test_an_invalid_configuration_logs_one_line_and_exits_with_status_2(tmp_path: Path) -> None:
    with start_program(tmp_path, {"listen": "nowhere", "settings": SETTINGS}) as program:
        output, _ = program.communicate(timeout=10)
    assert (program.returncode, json.loads(output)["event"]) == (2, "config_invalid")


INVALID_CONFIGURATIONS: dict[str, dict[str, Any]] = {
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


@pytest.mark.parametrize("key", INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_is_logged_with_its_key_in_a_short_line(tmp_path: Path, key: str) -> None:
    """A dispatcher must not start with an invalid configuration, such as one without classes or timeouts."""
    node_config = {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS, **INVALID_CONFIGURATIONS[key]}
    with start_program(tmp_path, node_config) as program:
        output, _ = program.communicate(timeout=10)
    (line,) = output.splitlines()
    assert (program.returncode, json.loads(line)["event"]) == (2, "config_invalid")
    error = json.loads(line)["error"].replace(str(tmp_path / "config.json"), "")
    assert key in error
    assert len(line) < 500


def test_an_address_in_use_logs_one_line_and_exits_with_status_2(tmp_path: Path) -> None:
    """The program must not end with a traceback."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        for key, node_config in (
            ("listen", {"listen": address}),
            ("mgmt", {"listen": "127.0.0.1:0", "mgmt": address}),
        ):
            with start_program(tmp_path, {**node_config, "seed": "ff", "settings": SETTINGS}) as program:
                output, _ = program.communicate(timeout=10)
            last_line = json.loads(output.splitlines()[-1])
            assert (program.returncode, last_line["event"]) == (2, "config_invalid")
            assert last_line["error"].startswith(f"{key}: {address}: ")
