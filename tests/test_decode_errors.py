"""JSON for which the decoder raises errors other than its own: nested too deeply, or not UTF-8."""

from __future__ import annotations

import pytest

from tests.test_stories import pair, play
from violetstack.net.upstream.stream_trailer import StreamTrailer, cached_tokens_of
from violetstack.protocol.answer_events import EventKind, read_event
from violetstack.protocol.headers import check_is_json_object
from violetstack.protocol.http_server import InvalidRequestError
from violetstack.rehearsal.clients import connect, platform_headers
from violetstack.rehearsal.hosts import Act
from violetstack.rehearsal.stage import Stage

DEPTH = 20_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
NOT_UTF8 = b'"\xff\xfe"'


@pytest.mark.parametrize("value", [DEEP, NOT_UTF8], ids=["deep", "not UTF-8"])
def test_a_hosts_usage_that_cannot_be_decoded_is_ignored(value: bytes) -> None:
    event = read_event(memoryview(b'data: {"usage":' + value + b"}\n\n"))
    trailer = StreamTrailer(())
    trailer.read(event)
    assert trailer.cached_tokens == 0
    assert cached_tokens_of(b'{"cached_tokens":' + value + b"}") == 0


@pytest.mark.parametrize("value", [DEEP, NOT_UTF8], ids=["deep", "not UTF-8"])
def test_an_error_event_that_cannot_be_decoded_is_not_an_error(value: bytes) -> None:
    event = read_event(memoryview(b'data: {"error":' + value + b"}\n\n"))
    assert event.kind is EventKind.UNREADABLE


def test_a_deep_body_is_an_invalid_request() -> None:
    with pytest.raises(InvalidRequestError):
        check_is_json_object(memoryview(b'{"a":' + DEEP + b"}"))


def test_a_client_with_a_deep_body_gets_an_answer() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        body = b'{"messages":' + DEEP + b"}"
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), body)
        answer = await call.receive()
        assert (answer.status, answer.whole) == (400, True)

    play(prefill_host, decode_host, story=story)


def test_a_stream_with_a_deep_usage_reaches_its_client_complete() -> None:
    events = b'data: {"choices":[],"usage":' + DEEP + b"}\n\n" + b"data: [DONE]\n\n"
    ending = b"%x\r\n" % len(events) + events + b"\r\n0\r\n\r\n"
    prefill_host, decode_host = pair(Act(events=2, raw=ending))

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        await call.send(
            "POST", "/v1/chat/completions", platform_headers("q1", "consulta"), b'{"messages":[]}'
        )
        answer = await call.receive()
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body.endswith(events)

    play(prefill_host, decode_host, story=story)
