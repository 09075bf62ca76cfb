"""Tests that the deadline sent to a host never exceeds the client's remaining time, even after delays."""

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


class DeadlineRecordingHost(ModelHost):
    """A model host that records the deadlines of its requests, in milliseconds."""

    def __init__(self, name: str, kind: str) -> None:
        super().__init__(name, kind)
        self.received_deadlines_ms: list[float] = []

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if "req-deadline" in inbound.headers:
            self.received_deadlines_ms.append(duration_ms(inbound.headers["req-deadline"]))
        await super().handle(inbound, connection)


def simulate_waiting_requests(front: Front) -> None:
    """Makes each request of the front look as if it had waited on its connection for 1.5 s."""
    handle = front.handle

    def handle_delayed(inbound: HttpRequest, reply: Reply) -> None:
        handle(replace(inbound, waited_ms=1500.0), reply)

    front.handle = handle_delayed  # type: ignore[method-assign]


@pytest.mark.parametrize("chat", [False, True])
def test_time_waited_on_the_connection_is_subtracted_from_the_deadline_sent_to_the_host(chat: bool) -> None:
    """A pipelined request may be complete long before it is handled, which is after the previous response."""
    prefill_host, decode_host = DeadlineRecordingHost("r", "prefill"), ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        for listener in on.daemon.listeners:
            simulate_waiting_requests(listener.front)
        call = await connect(on.chat if chat else on.platform)
        headers = chat_headers(Req_Deadline="2000m") if chat else platform_headers("q1", "consulta")
        if not chat:
            headers = platform_headers("q1", "consulta", Req_Deadline="2000m")
        body = chat_body("giro-consulta") if chat else b'{"messages":[]}'
        await call.send("POST", "/v1/chat/completions", headers, body)
        await wait_until(lambda: len(prefill_host.received_deadlines_ms) == 1)
        assert 0.0 < prefill_host.received_deadlines_ms[0] <= 500.0

    play(prefill_host, decode_host, story=story)


def test_request_that_expired_before_it_was_handled_is_shed() -> None:
    harness = CoreHarness()
    request: Request = replace(harness.request.policy_request, id="q2", expires_in_ms=300.0)
    shed = harness.core.admit(harness.now, request, 300.0)
    assert shed is not None
    assert shed.reason == "unread"


def test_deadline_sent_to_the_host_is_computed_after_connecting() -> None:
    prefill_host, decode_host = DeadlineRecordingHost("r", "prefill"), ModelHost("w", "decode")

    async def story(on: Stage) -> None:
        delayed_connects = DelayedConnects(on, "r")
        call = await send_request(on, "q1", Req_Deadline="1000m")
        await delayed_connects.requested.wait()
        await trio.sleep(0.2)
        delayed_connects.may_complete.set()
        await wait_until(lambda: len(prefill_host.received_deadlines_ms) == 1)
        assert prefill_host.received_deadlines_ms[0] <= 800.0
        await call.stream.aclose()

    play(prefill_host, decode_host, story=story)


def test_rest_of_a_request_is_withheld_once_the_deadline_sent_with_it_is_out_of_date(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that reads a large request slowly would begin it with a deadline that was sent long before."""
    slow_prefill_host, decode_host = LateReadingHost("r", "prefill"), ModelHost("w", "decode")
    original_init = UpstreamConnection.__init__

    def init_with_small_buffer(self: UpstreamConnection, raw: Any, *args: Any) -> None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original_init(self, raw, *args)

    monkeypatch.setattr(UpstreamConnection, "__init__", init_with_small_buffer)

    async def story(on: Stage) -> None:
        slow_prefill_host._sockets[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        async def resume_reading() -> None:
            await slow_prefill_host.request_begun.wait()
            await trio.sleep(0.2)
            slow_prefill_host.may_read.set()

        on.nursery.start_soon(resume_reading)
        text = LARGE_BODY[40:-4].decode()
        answer = await ask_platform(on.platform, "q1", "orden", text=text)
        await slow_prefill_host.may_read.wait()
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert slow_prefill_host.received < len(text)
        assert (answer.outcome, slow_prefill_host.received_ids) == ("served", ["q1"])

    play(slow_prefill_host, decode_host, story=story)


def test_deadline_of_an_attempt_is_never_after_that_of_its_request() -> None:
    harness = CoreHarness()
    assert harness.send("w1", timeout_ms=9000.0).deadline == harness.request.deadline


SHORT_OBJECTIVES = {"aim": 150.0, "give_up": 300.0}


@pytest.mark.parametrize(
    ("idempotency", "role", "cancel"),
    [
        ("read_like", "r", False),
        ("read_like", "w", True),
        ("idempotency_key", "w", False),
        ("non_idempotent", "w", False),
    ],
)
def test_class_with_a_client_timeout_of_300_ms_gets_its_response_in_time_if_hosts_hang(
    idempotency: str, role: str, cancel: bool
) -> None:
    """Guards against margins and timeouts of a fixed length that exceed the remaining time."""
    hanging = Act(silent=True)
    prefill_host, decode_host = pair(*[hanging] * 5, prefill_acts=() if role == "w" else (hanging,) * 5)
    spec = {
        **SETTINGS["classes"][1],
        **SHORT_OBJECTIVES,
        "idempotency": idempotency,
        "group": "all",
        "window": 60.0,
    }
    settings = {
        "classes": [SETTINGS["classes"][0], spec],
        "limits": {**LIMITS, "cancel": cancel, "idle_close": 1000.0},
        "rules": {**SETTINGS["rules"], "stop_sending_within": 1000.0},
    }

    async def story(on: Stage) -> None:
        call = await send_request(on, "q1", Req_Deadline="")
        timer = ProcessTimer()
        answers: list[Answer] = []

        async def receive() -> None:
            answers.append(await call.receive())

        on.nursery.start_soon(receive)
        while not answers:
            assert timer.sample() < 0.45
            await trio.sleep(0.005)
        assert answers[0].status in (500, 503)
        assert decode_host.runs.total() == 0
        assert len(decode_host.received_ids) <= 1 or idempotency != "non_idempotent"

    play(prefill_host, decode_host, story=story, settings=settings)
