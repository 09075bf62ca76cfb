"""The simulator adapter: each line of input gets one line of output; errors name the invalid field."""

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
    prefilled = {
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
    slot_reserved = {
        "op": "answer_ahead",
        "i": "front/0",
        "handle": "h1",
        "n": 0,
        "engine": "engine.r",
        "topic": 1,
    }
    without_events, on_arrival, on_prefill = run_batches(
        [], [LIST_DEFINED, INSTANCE_STARTED, LIST_ANNOUNCED, REQUEST_ARRIVED], [slot_reserved, prefilled]
    )
    assert without_events == []
    assert [action["op"] for action in on_arrival] == ["remind", "remind", "assign", "pre_pair"]
    assert [(action["op"], action["engine"]) for action in on_prefill] == [("assign", "engine.w")]


def test_redefining_a_list_in_a_batch_applies_to_later_announcements_only() -> None:
    redefined = {**LIST_DEFINED, "nodes_list": [{**NODES[0], "engine": "engine.x"}, NODES[1]]}
    second_instance = {**INSTANCE_STARTED, "i": "front/1"}
    actions = run_batches(
        [
            LIST_DEFINED,
            INSTANCE_STARTED,
            LIST_ANNOUNCED,
            redefined,
            second_instance,
            {**LIST_ANNOUNCED, "i": "front/1"},
            REQUEST_ARRIVED,
            {**REQUEST_ARRIVED, "i": "front/1"},
        ]
    )[0]
    first_hosts = {action["i"]: action["engine"] for action in actions if action["op"] == "assign"}
    assert first_hosts == {"front/0": "engine.r", "front/1": "engine.x"}


def test_a_killed_instance_can_start_again_in_the_same_batch() -> None:
    killed = {"op": "killed", "i": "front/0"}
    client_left = {"op": "left", "i": "front/0", "handle": "h1"}
    _, after_restart, after_kill = run_batches(
        [LIST_DEFINED, INSTANCE_STARTED, LIST_ANNOUNCED, REQUEST_ARRIVED],
        [killed, INSTANCE_STARTED, LIST_ANNOUNCED, {**REQUEST_ARRIVED, "handle": "h2"}],
        [killed, client_left],
    )
    assert {action.get("handle") for action in after_restart if action["op"] == "assign"} == {"h2"}
    assert after_kill == []


def test_the_endpoint_list_is_watched_again_after_a_failure_of_discovery() -> None:
    started_with_watch = {**INSTANCE_STARTED, "facts": {**SETTINGS_MESSAGE, "membership_mode": "subscribe"}}
    at_start, after_failure, after_timer = run_batches(
        [started_with_watch],
        [{**LIST_ANNOUNCED, "scope": "lost"}],
        [{"op": "elapsed", "i": "front/0", "token": "watch"}],
    )
    assert [action["op"] for action in at_start] == ["stream_changes"]
    assert [action["op"] for action in after_failure] == ["remind"]
    assert [action["op"] for action in after_timer] == ["stream_changes"]


def test_an_exception_of_the_policy_is_reported_as_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_error(self: object, now: float, events: list[Event]) -> list[Action]:
        raise ValueError("no such thing")

    monkeypatch.setattr(Router, "handle", raise_error)
    (actions,) = run_batches([LIST_DEFINED, INSTANCE_STARTED, LIST_ANNOUNCED])
    assert [(action["op"], action["msg"]) for action in actions] == [("fault", "ValueError: no such thing")]


@pytest.mark.parametrize(
    ("line", "named_in_error"),
    [
        (b"{not json", "line 1"),
        (b'{"now":1,"turn":1,"arrivals":[{"op":"nonsense"}]}', "nonsense"),
        (b'{"now":1,"turn":1,"arrivals":[{"op":"left","i":"front/0"}]}', "handle"),
        (b'{"now":"x","turn":1,"arrivals":[]}', "now"),
    ],
)
def test_malformed_input_gives_one_line_on_stderr_and_a_non_zero_exit(
    line: bytes, named_in_error: str
) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "violetstack.simulator_adapter"],
        input=line + b"\n",
        capture_output=True,
        check=False,
    )
    assert process.returncode != 0
    message = process.stderr.decode()
    assert named_in_error in message
    assert len(message.splitlines()) == 1


def test_an_announcement_of_an_undefined_list_is_rejected() -> None:
    with pytest.raises(MessageError, match="page 9"):
        run_batches([INSTANCE_STARTED, {**LIST_ANNOUNCED, "page": 9}])
