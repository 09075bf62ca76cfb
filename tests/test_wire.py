"""The simulator adapter: one line of output for each line of input, and errors that name the field."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from typing import Any

import pytest

from violetstack.policy.router import Router
from violetstack.policy_api import Action, Event
from violetstack.settings import MessageError
from violetstack.simulator_adapter.adapter import serve

SETTINGS_MESSAGE: dict[str, Any] = {
    "fleet_size": 2,
    "me": 0,
    "zone": 0,
    "kinds": ["a", "b"],
    "unheard_of": {"x": 1},
    "classes": [{"name": "c", "aim": 1000.0, "give_up": 4000.0, "idempotency": "read_like", "value": 1.0}],
    "family_info": {
        "ahead": True,
        "stage_of_kind": ["read", "write"],
        "kv_tokens": [1e5, 1e5],
        "release": 300.0,
    },
    "limits": {"cancel": True, "max_attempts": 4, "retry_after": True, "max_retry_after": 1000.0},
    "rules": {"cold": 10000.0, "cold_share": 0.3, "fall": 2000.0, "fall_multiple": 2.5},
    "report": {"how": "off", "names": []},
    "membership_mode": "automatic",
}
NODES = [
    {"engine": "engine.r", "pod": 0, "heft": 1, "rack_zone": 0, "stage_state": "healthy", "hw": 0},
    {
        "engine": "engine.w",
        "pod": 0,
        "heft": None,
        "rack_zone": 0,
        "stage_state": "healthy",
        "hw": 1,
    },
]
INSTANCE_STARTED = {"op": "up", "i": "front/0", "rng_seed": 7, "facts": SETTINGS_MESSAGE}
LIST_DEFINED = {"op": "define_list", "page": 3, "nodes_list": NODES}
LIST_ANNOUNCED = {"op": "announce", "i": "front/0", "scope": "warm_copy", "page": 3, "seq_no": 1}
REQUEST_ARRIVED = {
    "op": "work_item",
    "i": "front/0",
    "handle": "h1",
    "priority": 0,
    "customer": None,
    "talk": "k",
    "expires_in": 3000.0,
    "weight_hint": None,
    "shared_prefix": None,
    "prompt_tokens": 900,
    "prefix_tokens": 0,
    "n_max": 100,
    "flags": 0,
}


def run_batches(*batches: list[dict[str, Any]]) -> list[list[dict[str, Any]]]:
    lines = [
        json.dumps({"now": 1000.0 + 4 * turn, "turn": turn, "arrivals": events}).encode() + b"\n"
        for turn, events in enumerate(batches)
    ]
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(lines)), sink)
    replies = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert [reply["turn"] for reply in replies] == list(range(len(batches)))
    return [reply["actions"] for reply in replies]


def test_a_request_is_prefilled_and_decoded() -> None:
    read = {
        "op": "resolved",
        "i": "front/0",
        "handle": "h1",
        "n": 0,
        "engine": "engine.r",
        "ending": "ready_to_answer",
        "took": 40.0,
        "settled": False,
        "detail": 0,
        "load": None,
    }
    note = {
        "op": "answer_ahead",
        "i": "front/0",
        "handle": "h1",
        "n": 0,
        "engine": "engine.r",
        "topic": 1,
    }
    empty, first, second = run_batches(
        [], [LIST_DEFINED, INSTANCE_STARTED, LIST_ANNOUNCED, REQUEST_ARRIVED], [note, read]
    )
    assert empty == []
    assert [a["op"] for a in first] == ["remind", "remind", "assign", "pre_pair"]
    assert [(a["op"], a["engine"]) for a in second] == [("assign", "engine.w")]


def test_a_page_that_is_defined_again_in_a_batch_applies_to_later_announcements() -> None:
    newer = {**LIST_DEFINED, "nodes_list": [{**NODES[0], "engine": "engine.x"}, NODES[1]]}
    other = {**INSTANCE_STARTED, "i": "front/1"}
    actions = run_batches(
        [
            LIST_DEFINED,
            INSTANCE_STARTED,
            LIST_ANNOUNCED,
            newer,
            other,
            {**LIST_ANNOUNCED, "i": "front/1"},
            REQUEST_ARRIVED,
            {**REQUEST_ARRIVED, "i": "front/1"},
        ]
    )[0]
    sent = {a["i"]: a["engine"] for a in actions if a["op"] == "assign"}
    assert sent == {"front/0": "engine.r", "front/1": "engine.x"}


def test_a_killed_instance_may_start_again_in_the_same_batch() -> None:
    killed = {"op": "killed", "i": "front/0"}
    late = {"op": "left", "i": "front/0", "handle": "h1"}
    _, again, gone = run_batches(
        [LIST_DEFINED, INSTANCE_STARTED, LIST_ANNOUNCED, REQUEST_ARRIVED],
        [killed, INSTANCE_STARTED, LIST_ANNOUNCED, {**REQUEST_ARRIVED, "handle": "h2"}],
        [killed, late],
    )
    assert {a.get("handle") for a in again if a["op"] == "assign"} == {"h2"}
    assert gone == []


def test_the_list_is_watched_and_again_after_a_failure() -> None:
    asks = {**INSTANCE_STARTED, "facts": {**SETTINGS_MESSAGE, "membership_mode": "subscribe"}}
    first, second, third = run_batches(
        [asks], [{**LIST_ANNOUNCED, "scope": "lost"}], [{"op": "elapsed", "i": "front/0", "token": "watch"}]
    )
    assert [a["op"] for a in first] == ["stream_changes"]
    assert [a["op"] for a in second] == ["remind"]
    assert [a["op"] for a in third] == ["stream_changes"]


def test_an_exception_of_the_policy_is_reported_as_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(self: object, now: float, events: list[Event]) -> list[Action]:
        raise ValueError("no such thing")

    monkeypatch.setattr(Router, "handle", broken)
    (actions,) = run_batches([LIST_DEFINED, INSTANCE_STARTED, LIST_ANNOUNCED])
    assert [(a["op"], a["msg"]) for a in actions] == [("fault", "ValueError: no such thing")]


@pytest.mark.parametrize(
    ("line", "named"),
    [
        (b"{not json", "line 1"),
        (b'{"now":1,"turn":1,"arrivals":[{"op":"nonsense"}]}', "nonsense"),
        (b'{"now":1,"turn":1,"arrivals":[{"op":"left","i":"front/0"}]}', "handle"),
        (b'{"now":"x","turn":1,"arrivals":[]}', "now"),
    ],
)
def test_malformed_input_gives_one_line_on_stderr_and_a_non_zero_exit(line: bytes, named: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "violetstack.simulator_adapter"],
        input=line + b"\n",
        capture_output=True,
        check=False,
    )
    assert done.returncode != 0
    message = done.stderr.decode()
    assert named in message
    assert len(message.splitlines()) == 1


def test_an_announcement_of_an_undefined_page_is_malformed() -> None:
    with pytest.raises(MessageError, match="page 9"):
        run_batches([INSTANCE_STARTED, {**LIST_ANNOUNCED, "page": 9}])
