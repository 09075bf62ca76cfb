"""The state folder written by release 5a5ffca (fixtures/make_state_records.py) is read without changes."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from violetstack.commands.main import main
from violetstack.net.state_directory import StateDirectory
from violetstack.state.store import SnapshotStore, recover

STORED = Path(__file__).parent / "fixtures" / "state-5a5ffca"
FILE_HEADER_BYTES = 14
RECORD_HEADER_BYTES = 9
PREFILL = {
    "id": "p1",
    "addr": "127.0.0.1:9001",
    "zone": "zone-a",
    "kind": "prefill",
    "cell": 1,
    "state": "active",
    "weight": 1.5,
    "started_ms": 1_000.0,
}
DECODE = {
    "id": "d1",
    "addr": "127.0.0.1:9002",
    "zone": "zone-b",
    "kind": "decode",
    "cell": 2,
    "state": "leaving",
    "weight": 2.0,
    "started_ms": 2_000.0,
}
LEARNED = {
    "at": 1_700_000_002_500.0,
    "sums": {"cleared": [1.0, 2.0], "written": [3.0, None]},
    "begun": {"scope": [19.0, 20.0]},
    "reads": [[21.0, 22.0]],
    "waits": [[23.0, 24.0], [25.0, 26.0]],
    "tenants": {"0": [0.75, 27.0]},
    "servers": {
        "p1": [500.0, [11.0, 12.0], [13.0, 14.0], [15.0, None], 3, 16.0, [0.25, 17.0], 0.5, 18.0],
    },
}


def stored_copy(folder: Path) -> Path:
    """Returns a copy of the fixture that a test may change."""
    return Path(shutil.copytree(STORED, folder / "state"))


def json_of(value: Any) -> Any:
    return msgspec.json.decode(msgspec.json.encode(value))


def test_the_newest_generation_of_an_earlier_release_is_read() -> None:
    recovered = recover(StateDirectory(str(STORED)))
    assert (recovered.generation, recovered.problems) == (2, [])
    assert json_of(recovered.snapshot) == {
        "heard_at": 1_700_000_003_000.0,
        "version": 10,
        "servers": {"p1": PREFILL, "d1": DECODE},
        "learned": LEARNED,
    }


@pytest.mark.parametrize(("missing", "generation"), [("state-2.snapshot", 1), ("state-2.log", 2)])
def test_with_a_missing_file_the_remaining_files_of_an_earlier_release_are_read(
    tmp_path: Path, missing: str, generation: int
) -> None:
    """Both the first generation and the second snapshot hold the list of version 8."""
    folder = stored_copy(tmp_path)
    (folder / missing).unlink()
    recovered = recover(StateDirectory(str(folder)))
    assert (recovered.generation, recovered.problems) == (generation, [])
    assert json_of(recovered.snapshot) == {
        "heard_at": 1_700_000_001_000.0,
        "version": 8,
        "servers": {"p1": PREFILL, "d1": DECODE},
        "learned": None,
    }


def test_a_new_snapshot_has_the_format_of_the_earlier_release(tmp_path: Path) -> None:
    """An older release may be started after a newer one and has to read its files."""
    folder = stored_copy(tmp_path)
    directory = StateDirectory(str(folder))
    recovered = recover(directory)
    SnapshotStore(directory, recovered).write_snapshot(recovered.snapshot.encode())
    data = (folder / "state-3.snapshot").read_bytes()
    assert data.startswith(b"vlst")
    stored = msgspec.msgpack.decode(data[FILE_HEADER_BYTES + RECORD_HEADER_BYTES :])
    assert json_of(stored) == {
        "heard_at": 1_700_000_003_000.0,
        "version": 10,
        "servers": {"p1": PREFILL, "d1": DECODE},
        "learned": LEARNED,
    }


def test_the_command_exports_the_state_of_an_earlier_release() -> None:
    exported = CliRunner().invoke(main, ["state", "export", str(STORED)])
    assert exported.exit_code == 0
    assert msgspec.json.decode(exported.output) == {
        "heard_at": 1_700_000_003_000.0,
        "version": 10,
        "servers": {"p1": PREFILL, "d1": DECODE},
        "learned": LEARNED,
    }
