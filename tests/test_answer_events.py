"""What an event of a host's stream means for the answer."""

from __future__ import annotations

import pytest

from violetstack.net.upstream.answer_events import EventKind, classify_event

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
    b'data: {"note":"\\"content\\":\\"x"}\n\n': EventKind.EMPTY,
    b'data: {"choices":5}\n\n': EventKind.EMPTY,
    b"data: not JSON [DONE]\n\n": EventKind.EMPTY,
    b'event: ping\ndata: {"type":"ping"}\n\n': EventKind.EMPTY,
    b': "content":"x"\n\n': EventKind.COMMENT,
    b"data:\n\n": EventKind.COMMENT,
    b"retry: 1000\n\n": EventKind.COMMENT,
    b"id: 7\n\n": EventKind.COMMENT,
}


@pytest.mark.parametrize(("event", "kind"), EVENTS.items(), ids=[repr(event)[2:60] for event in EVENTS])
def test_an_event_is_classified_by_what_it_adds_to_the_answer(event: bytes, kind: EventKind) -> None:
    assert classify_event(memoryview(event)) is kind
