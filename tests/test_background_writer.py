"""A process that writes state records to a hanging disk can still end."""

from __future__ import annotations

import threading
from pathlib import Path
from random import Random

import pytest
import trio

from violetstack.net import background_writer
from violetstack.net.background_writer import BackgroundWriter
from violetstack.net.state_directory import StateDirectory

BOUND_S = 1.0


class HangingDirectory(StateDirectory):
    """A directory on a disk that completes no write before `released` is set."""

    def __init__(self, folder: Path) -> None:
        super().__init__(str(folder))
        self.write_started = threading.Event()
        self.released = threading.Event()

    def write(self, name: str, data: bytes) -> None:
        self.write_started.set()
        self.released.wait()
        super().write(name, data)


@pytest.mark.parametrize("in_background", [True, False], ids=["in a background write", "in the last write"])
def test_a_process_ends_while_its_disk_hangs(
    in_background: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: the timeout of the last write had no effect, since the thread could not be abandoned."""
    monkeypatch.setattr(background_writer, "COMMIT_INTERVAL_S", 0.01)
    directory = HangingDirectory(tmp_path)

    async def main() -> None:
        writer = BackgroundWriter(directory, Random(1))
        writer.append(b"record")
        async with trio.open_nursery() as nursery:
            if in_background:
                nursery.start_soon(writer.run)
            else:
                nursery.start_soon(writer.flush)
            while not directory.write_started.is_set():
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    release = threading.Timer(3 * BOUND_S, directory.released.set)
    release.start()
    trio.run(main)
    assert not directory.released.is_set()
    release.cancel()
    directory.released.set()
