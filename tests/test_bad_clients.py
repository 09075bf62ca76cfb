"""Clients that send invalid requests, or nothing: they get an error or a close, and nothing is forwarded."""

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
    """A platform or chat request with the head lines `more`, which have to include its length."""
    headers = chat_headers() if chat else platform_headers("q1", "consulta", **changes)
    lines = [
        f"POST {PATH} HTTP/1.1",
        "Host: x",
        "Connection: close",
        *(f"{k}: {v}" for k, v in headers),
        *more,
    ]
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
def test_an_invalid_request_gets_an_error_and_is_not_forwarded(
    chat: bool, lines: tuple[str, ...], body: bytes, status: int, capfd: pytest.CaptureFixture[str]
) -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        address = on.chat if chat else on.platform
        answer = await raw(address, request(*lines, body=body, chat=chat))
        assert answer.startswith(f"HTTP/1.1 {status} ".encode())
        assert answer.count(b"HTTP/1.1") == 1
        assert not prefill_host.received_ids

    play(prefill_host, decode_host, story=story)
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
def test_invalid_request_ids_and_deadlines_are_rejected(changes: dict[str, str]) -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta", **changes)).status == 400
        assert not prefill_host.received_ids

    play(prefill_host, decode_host, story=story)


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
def test_invalid_advisory_headers_do_not_reject_a_request(changes: dict[str, str]) -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta", **changes)).status == 200
        assert prefill_host.received_ids

    play(prefill_host, decode_host, story=story)


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
def test_the_expected_answer_time_is_read_in_microseconds(text: str, milliseconds: float | None) -> None:
    headers = {"req-id": "q1", "req-kind": "ask", "req-cost": text}
    message = SettingsMessage(classes=[ClassMessage(aim=1000.0, give_up=4000.0, name="ask")])
    inbound = HttpRequest("POST", "/v1/chat/completions", headers, memoryview(b"{}"))
    assert RequestReader(message).read(inbound).expected_answer_ms == milliseconds


@pytest.mark.parametrize(
    ("extra", "prompt"),
    [("prompt_len=40", 40.0), ("", 25.0), ("prompt_len=many", 25.0), ("prompt_len=101", 25.0)],
)
def test_an_impossible_prompt_length_is_estimated_from_the_body(extra: str, prompt: float) -> None:
    headers = {"req-id": "q1", "req-kind": "ask", "req-extra": extra}
    message = SettingsMessage(classes=[ClassMessage(aim=1000.0, give_up=4000.0, name="ask")])
    body = memoryview(b'{"x":"%s"}' % (b"y" * 92))
    assert len(body) == 100
    inbound = HttpRequest("POST", "/v1/chat/completions", headers, body)
    assert RequestReader(message).read(inbound).prompt_tokens == prompt


def test_a_call_meant_for_hosts_is_not_forwarded() -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        sent = request(LENGTH).replace(PATH.encode(), b"/state/q1")
        assert (await raw(on.platform, sent)).startswith(b"HTTP/1.1 404")
        assert not prefill_host.calls + decode_host.calls + prefill_host.received_ids

    play(prefill_host, decode_host, story=story)


@pytest.mark.parametrize(("sent", "expected"), [(b"", b""), (b"POST / HTTP/1.1\r\nHost", b"HTTP/1.1 408")])
@pytest.mark.parametrize("chat", [False, True], ids=["platform", "chat"])
def test_silent_connections_and_partial_requests_time_out(
    chat: bool, sent: bytes, expected: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_reader, "REQUEST_TIMEOUT_S", 0.05)

    async def story(on: Stage) -> None:
        answer = await raw(on.chat if chat else on.platform, sent)
        assert answer.startswith(expected) and bool(answer) == bool(expected)

    play(*pair(), story=story)


async def open_connections(address: Address, count: int) -> list[trio.SocketStream]:
    return [await trio.open_tcp_stream(*address) for _ in range(count)]


def test_silent_connections_make_room_for_a_client_with_a_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_table, "MIN_SILENCE_S", 0.0)

    async def story(on: Stage) -> None:
        silent = await open_connections(on.platform, 40)
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"
        assert len(on.daemon.listeners[0].table.connections) <= on.daemon.listeners[0].table.max_connections
        for stream in silent:
            await stream.aclose()

    play(*pair(), story=story, sockets=64)


def test_a_slowly_sending_client_is_kept_longer_than_silent_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """The oldest connection without a complete request was closed, however much of it had arrived."""
    monkeypatch.setattr(connection_table, "MIN_SILENCE_S", 0.0)
    whole = request(LENGTH)

    async def story(on: Stage) -> None:
        listener_under_test = on.daemon.listeners[0]
        received = b""
        slow = await trio.open_tcp_stream(*on.platform)
        silent = []
        for start in range(0, len(whole), 40):
            await slow.send_all(whole[start : start + 40])
            silent += await open_connections(on.platform, listener_under_test.table.max_connections // 2)
            assert (await ask_platform(on.platform, f"a{start}", "consulta")).outcome == "served"
        while not received.endswith(b"0\r\n\r\n"):
            data = await slow.receive_some(4096)
            assert data, received
            received += data
        assert received.startswith(b"HTTP/1.1 200 ")
        for stream in (slow, *silent):
            await stream.aclose()

    play(*pair(), story=story, sockets=96)


@pytest.mark.parametrize("sockets", [48, 64, 256, 1024])
def test_all_descriptor_shares_fit_the_limit_for_one_and_two_processes(
    sockets: int,
) -> None:
    for admin_api, processes, fronts in product((False, True), (1, 2), (1, 2, 3)):
        share = divide_limits(sockets, 192.0, fronts=fronts, admin_api=admin_api, processes=processes)
        assert share.upstream >= MIN_CONNECTIONS
        assert share.clients >= 1
        if sockets // processes >= 96:
            reserved = (
                RESERVED_DESCRIPTORS
                + listener.MAX_CONCURRENT_REJECTIONS
                + (ADMIN_API_DESCRIPTORS if admin_api else 0)
            )
            assert processes * (reserved + share.upstream + fronts * share.clients) <= sockets
    assert ADMIN_API_DESCRIPTORS == MAX_CONNECTIONS + 1


def test_a_failure_to_make_room_rejects_only_one_client() -> None:
    async def story(on: Stage) -> None:
        listener_under_test = on.daemon.listeners[0]
        has_room = listener_under_test.table.has_room

        def broken() -> bool:
            listener_under_test.table.has_room = has_room  # type: ignore[method-assign]
            raise ValueError("file descriptor cannot be a negative integer")

        listener_under_test.table.has_room = broken  # type: ignore[method-assign]
        assert (await ask_platform(on.platform, "q1", "consulta")).status == 503
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"

    play(*pair(), story=story)


def test_a_client_over_the_connection_limit_is_rejected_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Such a client was left waiting in the kernel's accept queue."""
    monkeypatch.setattr(connection_table, "MIN_SILENCE_S", 60.0)

    async def story(on: Stage) -> None:
        silent = await open_connections(on.platform, on.daemon.listeners[0].table.max_connections)
        answer = await ask_platform(on.platform, "q1", "consulta")
        assert (answer.outcome, answer.headers["connection"]) == ("refused", "close")
        for stream in silent:
            await stream.aclose()

    play(*pair(), story=story, sockets=64)


def test_reads_from_a_client_with_only_invalid_requests_are_delayed(monkeypatch: pytest.MonkeyPatch) -> None:
    delays = []

    async def record_delay(self: ConnectionReader, _connection: DownstreamConnection) -> None:
        delays.append(self.consecutive_rejections)

    monkeypatch.setattr(ConnectionReader, "_delay_after_rejections", record_delay)

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        for n in range(4):
            name = "consulta" if n == 2 else "nobody"
            await call.send("POST", PATH, platform_headers(f"q{n}", name), BODY)
            assert (await call.receive()).status == (200 if n == 2 else 400)
            assert call.http.reuse()
        await trio.testing.wait_all_tasks_blocked()
        assert delays == [2]
        await call.stream.aclose()

    play(*pair(), story=story)


def test_log_lines_that_clients_can_cause_are_limited(capfd: pytest.CaptureFixture[str]) -> None:
    now = [5.0]
    rate_limited = log.RateLimitedLog(lambda: now[0])
    for _ in range(100):
        rate_limited("client_rejected", reason="x" * 5000)
    now[0] = 6.0
    rate_limited("client_rejected", reason="y")
    lines = capfd.readouterr().out.splitlines()
    assert len(lines) == log.MAX_LINES_PER_SECOND + 1
    assert max(map(len, lines)) < 400
    assert '"unlogged":80' in lines[-1]


def test_the_pause_after_a_failed_accept_is_short_at_first_and_bounded() -> None:
    """With pauses of 0.1 s each, ten consecutive failures delayed all new connections by a second."""
    failures = AcceptFailures()
    no_buffers = OSError(errno.ENOBUFS, "")
    pauses = [failures.pause_s(no_buffers) for _ in range(8)]
    assert pauses[0] <= 0.005
    assert sum(pauses[:4]) < 0.1
    assert max(pauses) == MAX_ACCEPT_RETRY_S
    failures.accepted()
    assert failures.pause_s(no_buffers) == pauses[0]


@pytest.mark.parametrize("error_number", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH])
def test_an_accept_error_of_one_connection_does_not_delay_others(error_number: int) -> None:
    failures = AcceptFailures()
    aborted = OSError(error_number, "")
    assert [failures.pause_s(aborted) for _ in range(MAX_CONNECTION_ERRORS)] == [0.0] * MAX_CONNECTION_ERRORS
    assert failures.pause_s(aborted) > 0.0
