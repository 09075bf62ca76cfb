"""What is kept over an end: whole or not at all, whatever happens to the files."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from tests.front import Front
from violetstack.commands.main import main
from violetstack.handover.learned import learned
from violetstack.net.state_writer import Disk, Keeper
from violetstack.protocol.discovery import WServer
from violetstack.state import snapshot as kept
from violetstack.state.frames import frame
from violetstack.state.snapshot import Content
from violetstack.state.store import LEAST_LOG, Store, recover


class Stopped(Exception):
    """The machine ends here."""


class Memory:
    """Files that end before the n-th step; what was not synced is lost, in part or whole."""

    def __init__(self, stop_at: int = 10**9, seed: int = 0) -> None:
        self.files: dict[str, bytes] = {}
        self.steps, self.stop_at, self.random = 0, stop_at, random.Random(seed)

    def _step(self) -> bool:
        self.steps += 1
        return self.steps == self.stop_at

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name]

    def write(self, name: str, data: bytes) -> None:
        torn = self._step()
        self.files[name] = data[: self.random.randrange(len(data))] if torn else data
        if torn:
            raise Stopped

    def append(self, name: str, data: bytes) -> None:
        torn = self._step()
        self.files[name] += data[: self.random.randrange(len(data))] if torn else data
        if torn:
            raise Stopped

    def rename(self, old: str, new: str) -> None:
        if self._step():
            raise Stopped
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        if self._step():
            raise Stopped
        del self.files[name]


def news(n: int) -> kept.Told:
    return kept.Told(1000.0 * n, n, (WServer(f"h{n}", f"127.0.0.1:{n}", "z", "prefill"),))


def live(files: Memory, rounds: int) -> int:
    """Writes so many changes, one group each; returns how many were through before the end."""
    content = Content()
    done = 0
    try:
        store = Store(files, recover(files))
        for n in range(1, rounds + 1):
            change = news(n)
            kept.apply(content, change, full=False)
            group = kept.told(change, full=False) + frame(99, bytes(LEAST_LOG // 4))  # a later version's
            if store.due(len(group)):
                store.begin(content.whole())
            else:
                store.append(group)
            done = n
    except Stopped:
        pass
    return done


def test_an_end_at_any_step_loses_nothing_that_was_through() -> None:
    steps = Memory()
    assert live(steps, 12) == 12 and steps.steps > 15  # with new generations, renames and removals
    for stop_at in range(1, steps.steps + 1):
        files = Memory(stop_at, seed=stop_at)
        done = live(files, 12)
        found = recover(files)
        assert len(found.content.servers) in (done, done + 1), stop_at
        files.stop_at = 10**9
        store = Store(files, found)  # and a further life begins after it
        store.begin(found.content.whole())
        assert recover(files).content.servers == found.content.servers


def written() -> tuple[Memory, Content]:
    files = Memory()
    content = Content()
    front = Front()
    front.serve()
    store = Store(files, recover(files))
    for n in (1, 2, 3):
        kept.apply(content, news(n), full=n == 1)
        if n == 2:
            content.learned = learned(front.router, front.now)
            store.append(kept.known(content.learned) + kept.told(news(2), full=False))
        elif n == 1:
            store.begin(content.whole())
        else:
            store.append(kept.told(news(3), full=False))
    return files, content


def test_a_file_cut_at_any_byte_gives_what_came_before_the_cut() -> None:
    files, content = written()
    assert recover(files).content == content
    (log,) = [name for name in files.files if name.endswith(".log")]
    whole = files.files[log]
    seen = set[int]()
    firsts = list[int]()
    for size in range(len(whole)):
        files.files[log] = whole[:size]
        found = recover(files)
        seen.add(len(found.content.servers))
        firsts += [size] if len(found.content.servers) == 2 else []
        assert list(found.content.servers) == [f"h{n + 1}" for n in range(len(found.content.servers))]
    assert seen == {1, 2}
    assert firsts == list(range(firsts[0], len(whole)))  # all that is whole before the cut counts


def test_a_flipped_bit_is_never_believed() -> None:
    files, content = written()
    good = dict(files.files)
    for name, data in good.items():
        for at in range(0, len(data), 3):
            spoilt = bytearray(data)
            spoilt[at] ^= 1 << at % 8
            files.files = {**good, name: bytes(spoilt)}
            found = recover(files)
            assert found.notes
            rows = found.content.servers
            assert all(content.servers[key] == row for key, row in rows.items())


def test_a_disk_that_fails_delays_nothing_and_is_tried_again(tmp_path: Path) -> None:
    folder = tmp_path / "state"

    async def life() -> None:
        keeper = Keeper(str(folder), 1)
        await keeper.begin()
        kept.apply(keeper.content, news(1), full=True)
        keeper.note(kept.told(news(1), full=True))
        await keeper.flush()
        folder.rename(tmp_path / "gone")
        folder.write_text("no folder any more")
        kept.apply(keeper.content, news(2), full=False)
        keeper.note(kept.told(news(2), full=False))
        with pytest.raises(OSError, match=r"."):
            await keeper.flush()
        folder.unlink()
        await keeper.flush()

    trio.run(life)
    assert set(recover(Disk(str(folder))).content.servers) == {"h1", "h2"}


def test_the_commands_tell_what_is_kept_and_what_is_spoilt(tmp_path: Path) -> None:
    files, _ = written()
    for name, data in files.files.items():
        (tmp_path / name).write_bytes(data)
    ask = CliRunner().invoke
    shown = ask(main, ["state", "show", str(tmp_path)]).output
    assert "h3  prefill  127.0.0.1:3  active" in shown and "learned of" in shown
    assert ask(main, ["state", "verify", str(tmp_path)]).exit_code == 0
    assert '"h3"' in ask(main, ["state", "export", str(tmp_path)]).output
    (log,) = [name for name in files.files if name.endswith(".log")]
    (tmp_path / log).write_bytes(files.files[log][:-1])
    assert ask(main, ["state", "verify", str(tmp_path)]).exit_code == 1
    (tmp_path / "state.part").write_bytes(b"x")
    assert "removed state.part" in ask(main, ["state", "prune", str(tmp_path)]).output
