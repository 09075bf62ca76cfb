"""What an event of a host's stream means for the answer."""

from __future__ import annotations

import pytest

from violetstack.protocol.answer_events import EventKind, read_event

EVENTS = {
    b'data: {"choices":[{"index":0,"delta":{"content":"x"}}]}\n\n': EventKind.CONTENT,
    b'data: {"choices": [{"delta": {"content": "x"}}]}\r\n\r\n': EventKind.CONTENT,
    b'event: message\ndata: {"choices":[\ndata: {"delta":{"content":"x"}}]}\n\n': EventKind.CONTENT,
    b'data: {"choices":[{"delta":{"content":"\\""}}]}\n\n': EventKind.CONTENT,
    b'data: {"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}\n\n': EventKind.CONTENT,
    b'data: {"choices":[{"delta":{"reasoning_content":"x"}}]}\n\n': EventKind.CONTENT,
    b'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n': EventKind.CONTENT,
    b'data: {"choices":[{"text":"x"}]}\n\n': EventKind.CONTENT,
    b'data: {"choices":[{"delta":{"content":""}},{"delta":{"content":"x"}}]}\n\n': EventKind.CONTENT,
    b'data: {"choices":[],"usage":{"prompt_tokens":5}}\n\n': EventKind.USAGE,
    b"data: [DONE]\n\n": EventKind.DONE,
    b"data:[DONE]\r\n\r\n": EventKind.DONE,
    b'data: {"choices":[{"delta":{"content":""},"finish_reason":null}]}\n\n': EventKind.EMPTY,
    b'data: {"choices":[{"delta":{"role":"assistant","content":""}}]}\n\n': EventKind.EMPTY,
    b'data: {"choices":[],"usage":null}\n\n': EventKind.EMPTY,
    b'data: {"note":"\\"content\\":\\"x"}\n\n': EventKind.UNREADABLE,
    b'data: {"choices":5}\n\n': EventKind.UNREADABLE,
    b"data: not JSON [DONE]\n\n": EventKind.UNREADABLE,
    b'data: {"choices":[{"delta":{"content":"x"\n\n': EventKind.UNREADABLE,
    b'data: {"choices":[{"delta":{"content":5}}]}\n\n': EventKind.UNREADABLE,
    b'data: {"error":{"message":"x"}}\n\n': EventKind.ERROR,
    b'event: error\ndata: {"message":"x"}\n\n': EventKind.ERROR,
    b'data: {"error":null,"choices":[]}\n\n': EventKind.EMPTY,
    b'event: ping\ndata: {"type":"ping"}\n\n': EventKind.EMPTY,
    b': "content":"x"\n\n': EventKind.COMMENT,
    b"data:\n\n": EventKind.COMMENT,
    b"retry: 1000\n\n": EventKind.COMMENT,
    b"id: 7\n\n": EventKind.COMMENT,
}


@pytest.mark.parametrize(("event", "kind"), EVENTS.items(), ids=[repr(event)[2:60] for event in EVENTS])
def test_an_event_is_classified_by_what_it_adds_to_the_answer(event: bytes, kind: EventKind) -> None:
    assert read_event(memoryview(event)).kind is kind


STREAM_GOES_ON = {
    b'data: {"choices":[{"delta":{"content":"x"},"logprobs":NaN}]}\n\n': True,
    b'data: {"choices":[{"delta":{"content":[{"text":"x"}]}}]}\n\n': True,
    b'data: {"choices":[{"delta":{"content":"x"\n\n': True,
    b"data: not JSON\n\n": False,
    b'data: {"choices":5}\n\n': False,
    b'data: {"note":"\\"content\\":\\"x"}\n\n': False,
}


@pytest.mark.parametrize(("event", "goes_on"), STREAM_GOES_ON.items(), ids=[repr(e) for e in STREAM_GOES_ON])
def test_a_stream_goes_on_with_text_that_cannot_be_read(event: bytes, goes_on: bool) -> None:
    """A host whose JSON is not strict is forwarded unchanged on the platform's front, and not cut."""
    unreadable = read_event(memoryview(event))
    assert (unreadable.kind, unreadable.continues_answer) == (EventKind.UNREADABLE, goes_on)
    assert unreadable.fault
