"""The deadline that a host is told is at most what the client has left, however late a request goes out."""

from __future__ import annotations

import socket
from typing import Any

import pytest
import trio
import trio.testing
from msgspec.structs import replace

from tests.process_time import ProcessTimer, wait_until
from tests.race_helpers import LIMITS, DelayedConnects, send_request
from tests.test_client_disconnect import LARGE_BODY, LateReadingHost
from tests.test_core import CoreHarness
from tests.test_stories import pair, play
from violetstack.fronts.reply import Front, Reply
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.policy_api import Request
from violetstack.protocol.headers import duration_ms
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import (
    Answer,
    ask_platform,
    chat_body,
    chat_headers,
    connect,
    platform_headers,
)
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import SETTINGS, Stage


class NotesDeadlines(ModelHost):
    """Notes the deadlines that it is told, in milliseconds."""

    def __init__(self, name: str, kind: str) -> None:
        super().__init__(name, kind)
        self.told_ms: list[float] = []

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if "req-deadline" in inbound.headers:
            self.told_ms.append(duration_ms(inbound.headers["req-deadline"]))
        await super().handle(inbound, connection)


def handle_late(front: Front) -> None:
    """Its requests come as if they had lain on their connection for 1.5 s."""
    handle = front.handle

    def handle_waited(inbound: HttpRequest, reply: Reply) -> None:
        handle(replace(inbound, waited_ms=1500.0), reply)

    front.handle = handle_waited  # type: ignore[method-assign]


@pytest.mark.parametrize("chat", [False, True])
def test_the_time_that_a_request_waited_on_its_connection_is_not_told_as_left(chat: bool) -> None:
    """As behind another answer: its bytes are complete long before it is taken up."""
    reader, writer = NotesDeadlines("r", "prefill"), ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        for listener in on.daemon.listeners:
            handle_late(listener.front)
        call = await connect(on.chat if chat else on.platform)
        headers = chat_headers(Req_Deadline="2000m") if chat else platform_headers("q1", "consulta")
        if not chat:
            headers = platform_headers("q1", "consulta", Req_Deadline="2000m")
        body = chat_body("giro-consulta") if chat else b'{"messages":[]}'
        await call.send("POST", "/v1/chat/completions", headers, body)
        await wait_until(lambda: len(reader.told_ms) == 1)
        assert 0.0 < reader.told_ms[0] <= 500.0

    play(reader, writer, story=story)


def test_a_request_whose_time_was_over_before_it_was_taken_up_is_not_forwarded() -> None:
    harness = CoreHarness()
    request: Request = replace(harness.request.policy_request, id="q2", expires_in_ms=300.0)
    shed = harness.core.admit(harness.now, request, 300.0)
    assert shed is not None
    assert shed.reason == "unread"


def test_what_is_told_is_counted_when_the_connection_is_up() -> None:
    reader, writer = NotesDeadlines("r", "prefill"), ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        late = DelayedConnects(on, "r")
        call = await send_request(on, "q1", Req_Deadline="1000m")
        await late.requested.wait()
        await trio.sleep(0.2)
        late.may_complete.set()
        await wait_until(lambda: len(reader.told_ms) == 1)
        assert reader.told_ms[0] <= 800.0
        await call.stream.aclose()

    play(reader, writer, story=story)


def test_the_rest_of_a_request_is_withheld_once_what_was_told_is_out_of_date(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that takes a large request slowly begins it with a deadline told long before."""
    slow, writer = LateReadingHost("r", "prefill"), ModelHost("w", "decode")
    begin = UpstreamConnection.__init__

    def limited(self: UpstreamConnection, raw: Any, *args: Any) -> None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        begin(self, raw, *args)

    monkeypatch.setattr(UpstreamConnection, "__init__", limited)

    async def story(on: Stage) -> None:
        slow._sockets[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        async def read_late() -> None:
            await slow.request_begun.wait()
            await trio.sleep(0.2)
            slow.may_read.set()

        on.nursery.start_soon(read_late)
        text = LARGE_BODY[40:-4].decode()
        answer = await ask_platform(on.platform, "q1", "orden", text=text)
        await slow.may_read.wait()
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert slow.received < len(text)
        assert (answer.outcome, slow.begun) == ("served", ["q1"])

    play(slow, writer, story=story)


def test_an_attempts_deadline_is_never_after_its_requests() -> None:
    harness = CoreHarness()
    assert harness.send("w1", timeout_ms=9000.0).deadline == harness.request.deadline


SHORT = {"aim": 150.0, "give_up": 300.0}


@pytest.mark.parametrize(
    ("idempotency", "role", "cancel"),
    [
        ("read_like", "r", False),
        ("read_like", "w", True),
        ("idempotency_key", "w", False),
        ("non_idempotent", "w", False),
    ],
)
def test_a_class_that_waits_300_ms_gets_its_final_answer_from_hosts_that_hang(
    idempotency: str, role: str, cancel: bool
) -> None:
    """No margin or time-out of a fixed length is longer than what is left."""
    silent = Act(silent=True)
    reader, writer = pair(*[silent] * 5, reads=() if role == "w" else (silent,) * 5)
    spec = {**SETTINGS["classes"][1], **SHORT, "idempotency": idempotency, "group": "all", "window": 60.0}
    settings = {
        "classes": [SETTINGS["classes"][0], spec],
        "limits": {**LIMITS, "cancel": cancel, "idle_close": 1000.0},
        "rules": {**SETTINGS["rules"], "stop_sending_within": 1000.0},
    }

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1", Req_Deadline="")
        time = ProcessTimer()
        answers: list[Answer] = []

        async def receive() -> None:
            answers.append(await call.receive())

        on.nursery.start_soon(receive)
        while not answers:
            assert time.sample() < 0.45
            await trio.sleep(0.005)
        assert answers[0].status in (500, 503)
        assert writer.runs.total() == 0
        assert len(writer.begun) <= 1 or idempotency != "non_idempotent"

    play(reader, writer, story=story, settings=settings)
