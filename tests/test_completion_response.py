"""The collected chat answer: assembled from chunks, recorded, and read again."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from violetstack.fronts.completion_response import Completion
from violetstack.protocol.answer_events import EventKind, InvalidChunkError, read_event


def collect(*deltas: dict[str, Any]) -> Completion:
    completion = Completion("c", "m", 1)
    for delta in deltas:
        event = read_event(memoryview(b"data: " + orjson.dumps({"choices": [{"delta": delta}]}) + b"\n\n"))
        assert event.kind in (EventKind.CONTENT, EventKind.EMPTY), event.fault
        completion.add(event)
    return completion


def message_of(completion: Completion) -> Any:
    return completion.complete()["choices"][0]["message"]


@pytest.mark.parametrize("first", [None, ""], ids=["null", "empty"])
def test_the_pieces_of_a_tool_call_are_joined(first: str | None) -> None:
    function = {"name": "book", "arguments": first}
    completion = collect(
        {
            "content": None,
            "tool_calls": [{"index": None, "id": "a", "type": "function", "function": function}],
        },
        {"tool_calls": [{"index": 0, "function": {"name": None, "arguments": '{"to":'}}, None]},
        {"tool_calls": [{"index": 0, "id": None, "function": {"arguments": '"Ana"}'}}]},
        {"tool_calls": [{"index": 1, "id": "b", "function": None}]},
    )
    arguments = '{"to":"Ana"}'
    calls = [
        {"id": "a", "type": "function", "function": {"name": "book", "arguments": arguments}},
        {"id": "b"},
    ]
    assert message_of(completion)["tool_calls"] == calls
    assert message_of(Completion.from_record(completion.record()))["tool_calls"] == calls


def test_the_pieces_of_a_function_call_are_joined() -> None:
    completion = collect(
        {"function_call": {"name": "book", "arguments": None}}, {"function_call": {"arguments": "{}"}}
    )
    assert message_of(completion)["function_call"] == {"name": "book", "arguments": "{}"}


def test_a_record_of_an_earlier_release_that_cannot_be_read_is_not_sent() -> None:
    """Earlier releases recorded what they could not assemble, and then answered nothing."""
    stored = {"id": "c", "model": "m", "created": 1, "usage": None}
    spoilt = {"index": 0, "delta": {"tool_calls": [{"index": "a"}]}, "finish_reason": None}
    with pytest.raises(InvalidChunkError):
        Completion.from_record(orjson.dumps({**stored, "choices": [spoilt]}))
