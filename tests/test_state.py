"""Stored state: after a crash, a truncation or a flipped bit, recovery yields a state that was written."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from tests.router_harness import RouterHarness
from violetstack.commands.main import main
from violetstack.handover.learned_state import capture_learned_state
from violetstack.net import background_writer
from violetstack.net.background_writer import BackgroundWriter
from violetstack.net.state_directory import StateDirectory
from violetstack.protocol.discovery import ListedEndpoint
from violetstack.state.errors import (
    StateFileError,
    TruncatedHeaderError,
    UnknownFormatError,
    UnsupportedVersionError,
)
from violetstack.state.records import decode_file, encode_header, encode_record
from violetstack.state.snapshot import EndpointMessage, StateSnapshot, encode_endpoints, encode_learned
from violetstack.state.store import MIN_LOG_BYTES, SnapshotStore, recover

UNKNOWN_KIND = 99  # a kind of record that a later release might write


class CrashError(Exception):
    """Simulates that the machine crashes."""


class CrashingDirectory:
    """A directory in memory that crashes at operation `crash_at`, which is then partly done or not at all."""

    def __init__(self, crash_at: int = 10**9, seed: int = 0) -> None:
        self.files: dict[str, bytes] = {}
        self.operations = 0
        self.crash_at = crash_at
        self.rng = random.Random(seed)

    def _crashes(self) -> bool:
        self.operations += 1
        return self.operations == self.crash_at

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def write(self, name: str, data: bytes) -> None:
        torn = self._crashes()
        self.files[name] = data[: self.rng.randrange(len(data))] if torn else data
        if torn:
            raise CrashError

    def append(self, name: str, data: bytes) -> None:
        torn = self._crashes()
        self.files[name] += data[: self.rng.randrange(len(data))] if torn else data
        if torn:
            raise CrashError

    def rename(self, old: str, new: str) -> None:
        if self._crashes():
            raise CrashError
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        if self._crashes():
            raise CrashError
        del self.files[name]


def message(n: int) -> EndpointMessage:
    """Returns the n-th message of service discovery, with one endpoint."""
    return EndpointMessage(1000.0 * n, n, (ListedEndpoint(f"h{n}", f"127.0.0.1:{n}", "z", "prefill"),))


def write_until_crash(directory: CrashingDirectory, count: int) -> int:
    """Writes `count` changes, each in a group of its own; returns how many were written before the crash."""
    snapshot = StateSnapshot()
    written = 0
    try:
        store = SnapshotStore(directory, recover(directory))
        for n in range(1, count + 1):
            change = message(n)
            snapshot.apply_endpoints(change, complete=False)
            group = encode_endpoints(change, complete=False)
            group += encode_record(UNKNOWN_KIND, bytes(MIN_LOG_BYTES // 4))
            if store.snapshot_due(len(group)):
                store.write_snapshot(snapshot.encode())
            else:
                store.append(group)
            written = n
    except CrashError:
        pass
    return written


def test_after_a_crash_at_any_operation_all_written_changes_are_recovered() -> None:
    without_crash = CrashingDirectory()
    assert write_until_crash(without_crash, 12) == 12
    assert without_crash.operations > 15  # including new generations, renames and removals
    for crash_at in range(1, without_crash.operations + 1):
        directory = CrashingDirectory(crash_at, seed=crash_at)
        written = write_until_crash(directory, 12)
        recovered = recover(directory)
        assert len(recovered.snapshot.endpoints) in (written, written + 1), crash_at
        directory.crash_at = 10**9
        store = SnapshotStore(directory, recovered)  # as in the next process
        store.write_snapshot(recovered.snapshot.encode())
        assert recover(directory).snapshot.endpoints == recovered.snapshot.endpoints


def stored_state() -> tuple[CrashingDirectory, StateSnapshot]:
    """Returns a directory with a snapshot and a log, and the state that they hold."""
    directory = CrashingDirectory()
    snapshot = StateSnapshot()
    harness = RouterHarness()
    harness.complete_request()
    store = SnapshotStore(directory, recover(directory))
    snapshot.apply_endpoints(message(1), complete=True)
    store.write_snapshot(snapshot.encode())
    snapshot.apply_endpoints(message(2), complete=False)
    snapshot.learned = capture_learned_state(harness.state, harness.now)
    store.append(encode_learned(snapshot.learned) + encode_endpoints(message(2), complete=False))
    snapshot.apply_endpoints(message(3), complete=False)
    store.append(encode_endpoints(message(3), complete=False))
    return directory, snapshot


def test_a_log_truncated_at_any_byte_is_recovered_up_to_the_last_complete_record() -> None:
    directory, snapshot = stored_state()
    assert recover(directory).snapshot == snapshot
    (log,) = [name for name in directory.files if name.endswith(".log")]
    complete = directory.files[log]
    recovered_counts = set[int]()
    sizes_with_two_endpoints = list[int]()
    for size in range(len(complete)):
        directory.files[log] = complete[:size]
        endpoints = recover(directory).snapshot.endpoints
        recovered_counts.add(len(endpoints))
        sizes_with_two_endpoints += [size] if len(endpoints) == 2 else []
        assert list(endpoints) == [f"h{n + 1}" for n in range(len(endpoints))]
    assert recovered_counts == {1, 2}
    # No size in between is missing: each complete record is recovered.
    assert sizes_with_two_endpoints == list(range(sizes_with_two_endpoints[0], len(complete)))


def test_any_flipped_bit_is_detected_and_no_wrong_state_is_recovered() -> None:
    directory, snapshot = stored_state()
    intact = dict(directory.files)
    for name, data in intact.items():
        for position in range(0, len(data), 3):
            corrupted = bytearray(data)
            corrupted[position] ^= 1 << position % 8
            directory.files = {**intact, name: bytes(corrupted)}
            recovered = recover(directory)
            assert recovered.problems
            endpoints = recovered.snapshot.endpoints
            assert all(snapshot.endpoints[key] == endpoint for key, endpoint in endpoints.items())


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (encode_header(1)[:-1], TruncatedHeaderError),
        (b"sqli" + encode_header(1)[4:], UnknownFormatError),
        (encode_header(1)[:4] + b"\0\2" + encode_header(1)[6:], UnsupportedVersionError),
    ],
)
def test_a_file_with_an_invalid_header_is_rejected(data: bytes, error: type[StateFileError]) -> None:
    with pytest.raises(error):
        decode_file(data)


def test_a_snapshot_with_the_name_of_another_generation_or_without_records_is_not_used() -> None:
    directory, _ = stored_state()
    directory.files["state-7.snapshot"] = directory.files["state-1.snapshot"]
    directory.files["state-9.snapshot"] = encode_header(9)
    recovered = recover(directory)
    assert recovered.generation == 1
    assert recovered.problems == [
        "state-9.snapshot: no record",
        "state-7.snapshot: header of generation 1, expected 7",
    ]


def test_after_a_failed_write_a_snapshot_is_written_at_the_next_flush(tmp_path: Path) -> None:
    folder = tmp_path / "state"

    def store(writer: BackgroundWriter, n: int, *, complete: bool) -> None:
        writer.snapshot.apply_endpoints(message(n), complete=complete)
        writer.append(encode_endpoints(message(n), complete=complete))

    async def write() -> None:
        writer = BackgroundWriter(StateDirectory(str(folder)), random.Random(1))
        await writer.recover()
        store(writer, 1, complete=True)
        await writer.flush()
        folder.rename(tmp_path / "gone")
        folder.write_text("no longer a folder")
        store(writer, 2, complete=False)
        with pytest.raises(OSError, match=r"."):
            await writer.flush()
        folder.unlink()
        await writer.flush()

    trio.run(write)
    assert set(recover(StateDirectory(str(folder))).snapshot.endpoints) == {"h1", "h2"}


def test_pending_records_beyond_the_limit_are_replaced_by_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(background_writer, "MAX_PENDING_BYTES", 200)

    async def write() -> int:
        writer = BackgroundWriter(StateDirectory(str(tmp_path)), random.Random(1))
        await writer.recover()
        for n in range(1, 12):
            writer.snapshot.apply_endpoints(message(n), complete=False)
            writer.append(encode_endpoints(message(n), complete=False))
        await writer.flush()
        return len(writer.snapshot.endpoints)

    assert trio.run(write) == 11
    assert len(recover(StateDirectory(str(tmp_path))).snapshot.endpoints) == 11


def test_the_state_commands_show_stored_state_and_report_corruption(tmp_path: Path) -> None:
    directory, _ = stored_state()
    for name, data in directory.files.items():
        (tmp_path / name).write_bytes(data)
    run = CliRunner().invoke
    output = run(main, ["state", "show", str(tmp_path)]).output
    assert "h3  prefill  127.0.0.1:3  active" in output
    assert "learned state of" in output
    assert run(main, ["state", "verify", str(tmp_path)]).exit_code == 0
    assert '"h3"' in run(main, ["state", "export", str(tmp_path)]).output
    (log,) = [name for name in directory.files if name.endswith(".log")]
    (tmp_path / log).write_bytes(directory.files[log][:-1])
    assert run(main, ["state", "verify", str(tmp_path)]).exit_code == 1
    (tmp_path / "state.part").write_bytes(b"x")
    assert "removed state.part" in run(main, ["state", "prune", str(tmp_path)]).output
