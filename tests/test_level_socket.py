"""The socket of `violetstack level`: its requests and replies, and the command."""

from __future__ import annotations

import os
import stat
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from click.testing import CliRunner, Result

from tests.levels import journal_bytes, load_shedder
from violetstack.commands.main import main
from violetstack.load_shedding.journal import (
    JournalRecord,
    RestoredLevel,
    decode_journal,
)
from violetstack.load_shedding.levels import NORMAL
from violetstack.load_shedding.signals import EndpointCounts
from violetstack.load_shedding.status import LevelStatus
from violetstack.net.level_socket import LevelSocket


class FakeOperations:
    """A load shedder at level strained, and a journal of two records."""

    def __init__(self) -> None:
        self.shedder, _ = load_shedder()
        self.shedder.start(0.0, 1_000.0, RestoredLevel(1, 990.0, True, ""))
        self.has_journal = True

    def status(self) -> LevelStatus:
        return self.shedder.status(10_000.0, 1_010.0)

    def recent_changes(self, limit: int) -> list[JournalRecord] | None:
        return (
            list(decode_journal(journal_bytes("strained", "crisis")).records)[:limit]
            if self.has_journal
            else None
        )

    def pin(self, level: str, duration_ms: float, by: str) -> None:
        self.shedder.pin(10_000.0, 1_010.0, level, duration_ms, by)

    def unpin(self) -> None:
        self.shedder.unpin()


def reply_to(operations: FakeOperations, **request: object) -> dict[str, Any]:
    reply: dict[str, Any] = msgspec.to_builtins(
        LevelSocket(operations).reply_to(msgspec.json.encode(request))
    )
    return reply


def test_the_reply_to_show_has_the_documented_names() -> None:
    operations = FakeOperations()
    operations.shedder.tick(9_000.0, 1_009.0, {"lag": 5.0}, EndpointCounts(4, 1), [])
    assert reply_to(operations, do="show") == {
        "level": "strained",
        "levels": [NORMAL, "strained", "crisis"],
        "since": 990.0,
        "for_s": 20.0,
        "pin": None,
        "cautious_for_s": 0.0,
        "shed": 0,
        "signals": {
            "lateness": {"value": None, "count": 0, "age_s": 0.0},
            "refused": {"value": None, "count": 0, "age_s": 0.0},
            "failed": {"value": None, "count": 0, "age_s": 0.0},
            "lag": {"value": 5.0, "count": 1, "age_s": 0.0},
            "gone": {"value": 0.0, "count": 1, "age_s": 0.0},
            "cold": {"value": 0.25, "count": 1, "age_s": 0.0},
        },
        "outlook": [
            {
                "level": "strained",
                "would": "leave",
                "if": "lateness < 100%",
                "holds": None,
                "for_s": None,
                "signals": {"lateness": {"value": None, "bound": 1.0}},
            },
            {
                "level": "crisis",
                "would": "enter",
                "if": "lateness >= 300%",
                "holds": None,
                "for_s": None,
                "signals": {"lateness": {"value": None, "bound": 3.0}},
            },
        ],
    }


def test_a_level_is_pinned_and_unpinned_over_the_socket() -> None:
    operations = FakeOperations()
    pinned = reply_to(operations, do="pin", level="crisis", for_ms=60_000, by="ana")
    assert (pinned["level"], pinned["pin"]) == ("crisis", {"by": "ana", "for_s": 60})
    assert reply_to(operations, do="unpin")["pin"] is None


def test_the_reply_to_history_has_the_documented_names() -> None:
    operations = FakeOperations()
    newest = reply_to(operations, do="history")["changes"][0]
    assert newest == {
        "level": "strained",
        "at": 1_000.0,
        "since": 1_000.0,
        "old": "",
        "cause": "lateness >= 150%",
        "still": False,
        "readings": {},
    }
    operations.has_journal = False
    assert reply_to(operations, do="history") == {"error": "no journal is configured"}


@pytest.mark.parametrize(
    ("request_fields", "error"),
    [
        ({}, "ask one of show, history, pin, unpin"),
        ({"do": "dance"}, "ask one of show, history, pin, unpin"),
        ({"do": ["show"]}, "ask one of show, history, pin, unpin"),
        ({"do": "pin"}, "a pin needs a level and a time"),
        ({"do": "pin", "level": "crisis", "for_ms": "1"}, "a pin needs a level and a time"),
        ({"do": "pin", "level": "crisis", "for_ms": -1}, "a pin needs a level and a time"),
        ({"do": "pin", "level": "none", "for_ms": 1}, "there is no level 'none'"),
    ],
)
def test_an_invalid_request_gets_an_error(request_fields: dict[str, object], error: str) -> None:
    assert reply_to(FakeOperations(), **request_fields) == {"error": error}


def test_the_level_command_uses_the_socket(tmp_path: Path) -> None:
    path = str(tmp_path / "level")
    operations = FakeOperations()
    outputs: list[Result] = []

    async def invoke(*arguments: str) -> None:
        command = ["level", *arguments, "--socket", path]
        outputs.append(await trio.to_thread.run_sync(partial(CliRunner().invoke, main, command)))

    async def story() -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(LevelSocket(operations).serve, path)
            assert stat.S_IMODE(os.stat(path).st_mode) == 0o600
            await invoke("show")
            await invoke("pin", "crisis", "--for", "2")
            await invoke("history")
            await invoke("unpin")
            await invoke("pin", "nothing")
            nursery.cancel_scope.cancel()

    trio.run(story)
    show, pin, history, unpin, unknown = outputs
    assert show.output.startswith("strained for 20 s, of normal, strained, crisis; 0 shed\n")
    assert "for another 120 s" in pin.output
    assert " -> strained: lateness >= 150%" in history.output
    assert "pinned by" not in unpin.output
    assert (unknown.exit_code, unknown.output) == (2, "there is no level 'nothing'\n")
    assert not Path(path).exists()
