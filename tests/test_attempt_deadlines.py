"""The deadline that a host is told is at most what the client has left, however late a request goes out."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from msgspec.structs import replace

from tests.crossings import SlowConnects, send_request
from tests.steady import until
from tests.test_core import CoreHarness
from tests.test_stories import play
from violetstack.policy_api import Request
from violetstack.protocol.headers import duration_ms
from violetstack.protocol.http_server import HttpRequest, HttpServerConnection
from violetstack.rehearsal.clients import chat_body, chat_headers, connect, platform_headers
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import Stage


class NotesDeadlines(ModelHost):
    """Notes the deadlines that it is told, in milliseconds."""

    def __init__(self, name: str, kind: str) -> None:
        super().__init__(name, kind)
        self.told_ms: list[float] = []

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if "req-deadline" in inbound.headers:
            self.told_ms.append(duration_ms(inbound.headers["req-deadline"]))
        await super().handle(inbound, connection)


@pytest.mark.parametrize("chat", [False, True])
def test_the_time_that_a_request_waited_on_its_connection_is_not_told_as_left(
    chat: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As behind another answer: its bytes are complete long before it is taken up."""
    reader, writer = NotesDeadlines("r", "prefill"), ModelHost("w", "decode")
    take = HttpServerConnection.next_request

    def take_late(self: HttpServerConnection) -> HttpRequest | None:
        inbound = take(self)
        return None if inbound is None else replace(inbound, waited_ms=1500.0)

    async def story(on: Stage) -> None:
        monkeypatch.setattr(HttpServerConnection, "next_request", take_late)
        call = await connect(on.chat if chat else on.platform)
        headers = chat_headers(Req_Deadline="2000m") if chat else platform_headers("q1", "consulta")
        if not chat:
            headers = platform_headers("q1", "consulta", Req_Deadline="2000m")
        body = chat_body("giro-consulta") if chat else b'{"messages":[]}'
        await call.send("POST", "/v1/chat/completions", headers, body)
        await until(lambda: len(reader.told_ms) == 1)
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
        late = SlowConnects(on, "r")
        call = await send_request(on, "q1", Req_Deadline="1000m")
        await late.asked.wait()
        await trio.sleep(0.2)
        late.up.set()
        await until(lambda: len(reader.told_ms) == 1)
        assert reader.told_ms[0] <= 800.0
        await call.stream.aclose()

    play(reader, writer, story=story)


def test_an_attempts_deadline_is_never_after_its_requests() -> None:
    harness = CoreHarness()
    assert harness.send("w1", stop_after=9000.0).deadline == harness.request.deadline
