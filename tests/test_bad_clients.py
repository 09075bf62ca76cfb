"""Stories of clients that send what can't be taken, or nothing: an error or a close, no host hears of it."""

from __future__ import annotations

import errno
from itertools import product

import pytest
import trio
import trio.testing

from tests.test_stories import pair, play
from violetstack import log
from violetstack.config import Address
from violetstack.net.admin_server import MAX_CONNECTIONS
from violetstack.net.downstream import connection_reader, connection_table, listener
from violetstack.net.downstream.connection import DownstreamConnection
from violetstack.net.downstream.connection_reader import ConnectionReader
from violetstack.net.downstream.listener import (
    MAX_ACCEPT_RETRY_S,
    MAX_CONNECTION_ERRORS,
    AcceptFailures,
)
from violetstack.net.resource_limits import (
    ADMIN_API_DESCRIPTORS,
    MIN_CONNECTIONS,
    RESERVED_DESCRIPTORS,
    divide_limits,
)
from violetstack.protocol.headers import MAX_WAIT_MS, RequestReader
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import BODY, ask_platform, chat_headers, connect, platform_headers, raw
from violetstack.rehearsal.stage import Stage
from violetstack.settings import ClassMessage, SettingsMessage

PATH = "/v1/chat/completions"


def request(*more: str, body: bytes = BODY, chat: bool = False, **changes: str) -> bytes:
    """A platform request, or a chat one, with further head lines and without a length of its own."""
    told = chat_headers() if chat else platform_headers("q1", "consulta", **changes)
    lines = [f"POST {PATH} HTTP/1.1", "Host: x", "Connection: close", *(f"{k}: {v}" for k, v in told), *more]
    return "\r\n".join([*lines, "", ""]).encode() + body


HIDDEN = b"0\r\n\r\n" + request(f"Content-Length: {len(BODY)}", Req_Id="hidden")
LENGTH = f"Content-Length: {len(BODY)}"


@pytest.mark.parametrize("chat", [False, True], ids=["platform", "chat"])
@pytest.mark.parametrize(
    ("lines", "body", "status"),
    [
        ((LENGTH, "Transfer-Encoding: chunked"), HIDDEN, 400),
        (("Content-Length: -5",), BODY, 400),
        (("Content-Length: 7", "Content-Length: 8"), BODY, 400),
        (("Content-Length: 60000000",), BODY, 413),
        (("Content-Length: " + "9" * 4000,), BODY, 400),
        (("Content-Length: 0",), b"", 400),
        (("Content-Length: 9",), b"not JSON!", 400),
        (("Transfer-Encoding: chunked",), b"zz\r\n", 400),
        (("a line with no colon",), BODY, 400),
        (("X-Long: " + "x" * 40_000,), b"", 431),
    ],
    ids=["both", "negative", "two", "60MB", "digits", "empty", "no json", "chunk", "no colon", "long head"],
)
def test_what_no_host_would_take_gets_an_error_and_no_host_hears_of_it(
    chat: bool, lines: tuple[str, ...], body: bytes, status: int, capfd: pytest.CaptureFixture[str]
) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        at = on.chat if chat else on.platform
        answer = await raw(at, request(*lines, body=body, chat=chat))
        assert answer.startswith(f"HTTP/1.1 {status} ".encode())
        assert answer.count(b"HTTP/1.1") == 1
        assert not reader.begun

    play(reader, writer, story=story)
    out = capfd.readouterr().out
    assert 'rejected"' in out and "connection_failed" not in out


@pytest.mark.parametrize(
    "changes",
    [
        {"Req_Id": "two words"},
        {"Req_Id": "q1?x"},
        {"Req_Deadline": "-5m"},
        {"Req_Deadline": "9" * 5000 + "m"},
    ],
    ids=["id of two words", "id with a query", "negative", "digits"],
)
def test_ids_and_numbers_that_are_none_are_refused(changes: dict[str, str]) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta", **changes)).status == 400
        assert not reader.begun

    play(reader, writer, story=story)


@pytest.mark.parametrize(
    "changes",
    [
        {"Req_Extra": "prompt_len=-40"},
        {"Req_Extra": "prompt_len=999999999"},
        {"Req_Extra": "prompt_len=many"},
        {"Req_Extra": "prefix_len=,max_out=x,prefix=,=,,"},
        {"Req_Extra": ""},
        {"Req_Cost": "184000"},
        {"Req_Cost": "184000u"},
        {"Req_Cost": "184m"},
        {"Req_Cost": "soon"},
        {"Req_Cost": "-5"},
        {"Req_Cost": "9" * 5000},
        {"Req_Cost": ""},
        {"Req_Retry": "maybe"},
    ],
    ids=str,
)
def test_advisory_headers_never_turn_a_request_away(changes: dict[str, str]) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta", **changes)).status == 200
        assert reader.begun

    play(reader, writer, story=story)


@pytest.mark.parametrize(
    ("text", "milliseconds"),
    [
        ("184000", 184.0),
        ("184000u", 184.0),
        ("184m", 184.0),
        ("", None),
        ("u", None),
        ("-5", None),
        ("1.5", None),
        ("9" * 13, None),
        ("9" * 12, MAX_WAIT_MS),
    ],
)
def test_the_answer_hint_is_read_in_microseconds(text: str, milliseconds: float | None) -> None:
    headers = {"req-id": "q1", "req-kind": "ask", "req-cost": text}
    message = SettingsMessage(classes=[ClassMessage(aim=1000.0, give_up=4000.0, name="ask")])
    inbound = HttpRequest("POST", "/v1/chat/completions", headers, memoryview(b"{}"))
    assert RequestReader(message).read(inbound).expected_answer_ms == milliseconds


@pytest.mark.parametrize(
    ("extra", "prompt"),
    [("prompt_len=40", 40.0), ("", 25.0), ("prompt_len=many", 25.0), ("prompt_len=101", 25.0)],
)
def test_a_prompt_length_that_cannot_be_is_estimated_from_the_body(extra: str, prompt: float) -> None:
    headers = {"req-id": "q1", "req-kind": "ask", "req-extra": extra}
    message = SettingsMessage(classes=[ClassMessage(aim=1000.0, give_up=4000.0, name="ask")])
    body = memoryview(b'{"x":"%s"}' % (b"y" * 92))
    assert len(body) == 100
    inbound = HttpRequest("POST", "/v1/chat/completions", headers, body)
    assert RequestReader(message).read(inbound).prompt_tokens == prompt


def test_a_call_meant_for_hosts_is_not_passed_on() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        sent = request(LENGTH).replace(PATH.encode(), b"/state/q1")
        assert (await raw(on.platform, sent)).startswith(b"HTTP/1.1 404")
        assert not reader.calls + writer.calls + reader.begun

    play(reader, writer, story=story)


@pytest.mark.parametrize(("sent", "told"), [(b"", b""), (b"POST / HTTP/1.1\r\nHost", b"HTTP/1.1 408")])
@pytest.mark.parametrize("chat", [False, True], ids=["platform", "chat"])
def test_silence_and_half_requests_are_ended(
    chat: bool, sent: bytes, told: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_reader, "REQUEST_TIMEOUT_S", 0.05)

    async def story(on: Stage) -> None:
        answer = await raw(on.chat if chat else on.platform, sent)
        assert answer.startswith(told) and bool(answer) == bool(told)

    play(*pair(), story=story)


async def crowd(at: Address, count: int) -> list[trio.SocketStream]:
    return [await trio.open_tcp_stream(*at) for _ in range(count)]


def test_silent_connections_make_room_for_a_client_that_asks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_table, "MIN_SILENCE_S", 0.0)

    async def story(on: Stage) -> None:
        silent = await crowd(on.platform, 40)
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"
        assert len(on.daemon.listeners[0].table.connections) <= on.daemon.listeners[0].table.max_connections
        for stream in silent:
            await stream.aclose()

    play(*pair(), story=story, sockets=64)


def test_who_writes_slowly_outlives_a_crowd_that_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The oldest unfinished connection made room, however much of its request had come."""
    monkeypatch.setattr(connection_table, "MIN_SILENCE_S", 0.0)
    whole = request(LENGTH)

    async def story(on: Stage) -> None:
        front = on.daemon.listeners[0]
        heard = b""
        slow = await trio.open_tcp_stream(*on.platform)
        silent = []
        for at in range(0, len(whole), 40):
            await slow.send_all(whole[at : at + 40])
            silent += await crowd(on.platform, front.table.max_connections // 2)
            assert (await ask_platform(on.platform, f"a{at}", "consulta")).outcome == "served"
        while not heard.endswith(b"0\r\n\r\n"):
            data = await slow.receive_some(4096)
            assert data, heard
            heard += data
        assert heard.startswith(b"HTTP/1.1 200 ")
        for stream in (slow, *silent):
            await stream.aclose()

    play(*pair(), story=story, sockets=96)


@pytest.mark.parametrize("sockets", [48, 64, 256, 1024])
def test_clients_hosts_admin_api_and_the_rest_fit_the_limit_for_one_and_for_two_processes(
    sockets: int,
) -> None:
    for admin_api, processes, fronts in product((False, True), (1, 2), (1, 2, 3)):
        share = divide_limits(sockets, 192.0, fronts=fronts, admin_api=admin_api, processes=processes)
        assert share.upstream >= MIN_CONNECTIONS
        assert share.clients >= 1
        if sockets // processes >= 96:
            own = (
                RESERVED_DESCRIPTORS
                + listener.MAX_CONCURRENT_REJECTIONS
                + (ADMIN_API_DESCRIPTORS if admin_api else 0)
            )
            assert processes * (own + share.upstream + fronts * share.clients) <= sockets
    assert ADMIN_API_DESCRIPTORS == MAX_CONNECTIONS + 1


def test_a_failure_to_make_room_turns_one_client_away_and_ends_nothing() -> None:
    async def story(on: Stage) -> None:
        front = on.daemon.listeners[0]
        has_room = front.table.has_room

        def broken() -> bool:
            front.table.has_room = has_room  # type: ignore[method-assign]
            raise ValueError("file descriptor cannot be a negative integer")

        front.table.has_room = broken  # type: ignore[method-assign]
        assert (await ask_platform(on.platform, "q1", "consulta")).status == 503
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"

    play(*pair(), story=story)


def test_a_client_that_finds_no_room_is_told_so_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """It waited unseen in the kernel's queue before."""
    monkeypatch.setattr(connection_table, "MIN_SILENCE_S", 60.0)

    async def story(on: Stage) -> None:
        silent = await crowd(on.platform, on.daemon.listeners[0].table.max_connections)
        answer = await ask_platform(on.platform, "q1", "consulta")
        assert (answer.outcome, answer.headers["connection"]) == ("refused", "close")
        for stream in silent:
            await stream.aclose()

    play(*pair(), story=story, sockets=64)


def test_who_sends_only_what_cannot_be_taken_is_read_less_often(monkeypatch: pytest.MonkeyPatch) -> None:
    rested = []

    async def rest(self: ConnectionReader, _connection: DownstreamConnection) -> None:
        rested.append(self.consecutive_rejections)

    monkeypatch.setattr(ConnectionReader, "_delay_after_rejections", rest)

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        for n in range(4):
            name = "consulta" if n == 2 else "nobody"
            await call.send("POST", PATH, platform_headers(f"q{n}", name), BODY)
            assert (await call.receive()).status == (200 if n == 2 else 400)
            assert call.http.reuse()
        await trio.testing.wait_all_tasks_blocked()
        assert rested == [2]
        await call.stream.aclose()

    play(*pair(), story=story)


def test_lines_that_outsiders_cause_are_bounded(capfd: pytest.CaptureFixture[str]) -> None:
    now = [5.0]
    bounded = log.RateLimitedLog(lambda: now[0])
    for _ in range(100):
        bounded("client_rejected", reason="x" * 5000)
    now[0] = 6.0
    bounded("client_rejected", reason="y")
    lines = capfd.readouterr().out.splitlines()
    assert len(lines) == log.LINES_PER_SECOND + 1
    assert max(map(len, lines)) < 400
    assert '"unlogged":80' in lines[-1]


def test_the_pause_after_a_failed_accept_is_short_at_first_and_bounded() -> None:
    """A tenth of a second each: ten failures in a row held up all new connections for a second."""
    failures = AcceptFailures()
    no_buffers = OSError(errno.ENOBUFS, "")
    pauses = [failures.pause_s(no_buffers) for _ in range(8)]
    assert pauses[0] <= 0.005
    assert sum(pauses[:4]) < 0.1
    assert max(pauses) == MAX_ACCEPT_RETRY_S
    failures.accepted()
    assert failures.pause_s(no_buffers) == pauses[0]


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH])
def test_the_error_of_one_connection_delays_no_other(number: int) -> None:
    failures = AcceptFailures()
    aborted = OSError(number, "")
    assert [failures.pause_s(aborted) for _ in range(MAX_CONNECTION_ERRORS)] == [0.0] * MAX_CONNECTION_ERRORS
    assert failures.pause_s(aborted) > 0.0
