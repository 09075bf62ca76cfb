"""Model hosts whose responses are malformed, or have surplus data around them."""

from __future__ import annotations

from math import isnan

import pytest
import trio
import trio.testing

from tests.test_stories import pair, play
from violetstack.net.upstream import stream_progress
from violetstack.protocol.headers import parse_load_report
from violetstack.rehearsal.clients import ask_chat, ask_platform, chat_body, chat_headers
from violetstack.rehearsal.hosts import MALFORMED_RESPONSES, MALFORMED_STREAMS, Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import Stage


@pytest.fixture(autouse=True)
def _short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_progress, "PARTIAL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(stream_progress, "EVENT_TIMEOUT_S", 0.05)


@pytest.mark.parametrize("act", MALFORMED_RESPONSES.values(), ids=MALFORMED_RESPONSES)
def test_a_malformed_response_before_the_first_event_may_have_run(act: Act) -> None:
    prefill_host, decode_host = pair(act, act, act)

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "orden")).status == 500
        chat = await ask_chat(on.chat, chat_body("giro-consulta"), chat_headers())
        assert chat.outcome == "served"  # a consulta may be retried
        again = await ask_platform(on.platform, "q2", "consulta")
        assert (again.outcome, again.events[-1]) == ("served", b"[DONE]")
        assert decode_host.received_ids.count("q1") == 1
        assert decode_host.opened >= 3  # a connection with a malformed response is not reused

    play(prefill_host, decode_host, story=story)


@pytest.mark.parametrize("act", MALFORMED_STREAMS.values(), ids=MALFORMED_STREAMS)
def test_a_stream_that_breaks_later_ends_without_the_last_chunk(act: Act) -> None:
    """The break was detected but reported only when more bytes arrived, up to 14 s later."""
    prefill_host, decode_host = pair(act, act)

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "orden")
        assert (answer.outcome, answer.whole) == ("cut", False)
        assert len(answer.body) < 4000 and b"\r\n" not in answer.body  # only events were forwarded
        chat = await ask_chat(on.chat, chat_body("giro-consulta"), chat_headers())
        assert b"stream_broken" in chat.events[-1]
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"

    play(prefill_host, decode_host, story=story)


def test_a_stream_that_stops_between_two_events_is_cut() -> None:
    """When hosts stopped sending, clients were left waiting on their streams."""
    prefill_host, decode_host = pair(Act(events=2, pause=trio.Event()))

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "orden")
        assert (answer.outcome, len(answer.events)) == ("cut", 2)

    play(prefill_host, decode_host, story=story)


SECOND_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n" + b'{"cached_tokens":99}'


@pytest.mark.parametrize(
    "act",
    [
        Act(ahead=b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        Act(report=b"TEXT rif=nan, x0=-inf, q=many"),
        Act(report=b"\xff\xfe{{"),
        Act(behind=SECOND_RESPONSE),
    ],
    ids=["1xx", "numbers", "noise", "second response"],
)
def test_surplus_data_around_a_response_does_no_harm(act: Act) -> None:
    prefill_host, decode_host = pair(act, act, prefill_acts=(act, act))

    async def story(on: Stage) -> None:
        for n in range(4):
            answer = await ask_platform(on.platform, f"q{n}", "orden")
            assert answer.outcome == "served" and b"data: [DONE]" in answer.body
        assert prefill_host.received_ids == decode_host.received_ids == ["q0", "q1", "q2", "q3"]
        endpoints = on.daemon.router.state.endpoints.by_name.values()
        shares = [endpoint.statistics.memory.share for endpoint in endpoints]
        assert shares == [None, None]

    play(prefill_host, decode_host, story=story)


def test_numbers_of_a_report_are_finite_and_not_negative() -> None:
    names = ("rif", "x0")
    assert parse_load_report("TEXT rif=nan, x0=0.5", names) == (None, 0.5)
    assert parse_load_report("TEXT rif=-1, x0=inf", names) is None
    assert not any(isnan(value or 0.0) for value in parse_load_report("TEXT rif=2, x0=1e999", names) or ())


def test_a_request_rejected_as_invalid_by_a_host_is_not_retried() -> None:
    prefill_host, decode_host = pair(prefill_acts=(Act(status=400),))

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta")).status == 500
        assert prefill_host.received_ids == ["q1"]
        endpoint = on.daemon.router.state.endpoints.by_name["r"]
        assert endpoint.statistics.consecutive_failures == 0
        await trio.testing.wait_all_tasks_blocked()
        assert not on.daemon.core.open_requests

    play(prefill_host, decode_host, story=story)


class CommentingHost(ModelHost):
    """A decode host that goes on with comments after two events of its answer."""

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [("Content-Type", "text/event-stream")])
        for _ in range(2):
            await connection.data(
                b'data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}\n\n'
            )
        while True:
            await trio.sleep(0.01)
            await connection.data(b": ping\n\n")


def test_a_stream_that_goes_on_with_comments_is_cut_on_both_fronts() -> None:
    """Each comment counted as a part of the answer, so the stream never ended."""

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "cut"
        chat = await ask_chat(on.chat, chat_body("giro-consulta"), chat_headers())
        assert b"stream_broken" in chat.events[-1]
        whole = await ask_chat(on.chat, chat_body("giro-consulta", stream=False), chat_headers())
        assert whole.status >= 500

    play(ModelHost("r", "prefill"), CommentingHost("w", "decode"), story=story)
