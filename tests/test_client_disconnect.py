"""After a client disconnects no attempt starts for it; only one that a host already executes continues."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from tests.process_time import wait_until
from tests.race_helpers import LIMITS, DelayedConnects, send_request
from tests.router_harness import SETTINGS as POLICY_SETTINGS
from tests.test_chat import with_idempotency_store
from tests.test_core import CoreHarness
from tests.test_stories import pair, play
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.policy_api import (
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    FailRequest,
    SendAttempt,
)
from violetstack.rehearsal.clients import chat_body, chat_headers, connect, platform_headers
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import SETTINGS, Stage

KEYED = {**SETTINGS["classes"][1], "idempotency": "idempotency_key", "group": "all", "window": 5000.0}
KEYED_SETTINGS = {
    "classes": [SETTINGS["classes"][0], KEYED],
    "family_info": {**SETTINGS["family_info"], "ahead": False},
}
LARGE_BODY = b'{"messages":[{"role":"user","content":"' + b"x" * 200_000 + b'"}]}'


# --- the core, in virtual time ---


def test_a_request_that_outlives_its_client_is_not_retried_after_its_attempt() -> None:
    """A keyed request was retried within its window although its client had disconnected long before."""
    harness = CoreHarness(classes=(POLICY_SETTINGS.classes[0],) * 2)
    harness.request.survives_disconnect = True
    attempt = harness.send("w1")
    attempt.request_written = True
    harness.core.client_disconnected(harness.now, harness.request)
    harness.run(after_ms=100.0)
    assert not attempt.finished  # a running attempt may finish, so that the client's retry finds its result
    harness.core.attempt_finished(harness.now, attempt, AttemptStatus.RESET)
    finished = [event for event in harness.core.pending_events if isinstance(event, AttemptFinished)]
    assert [event.request_finished for event in finished] == [True]  # the policy need not retry
    harness.run(SendAttempt("q", "w2", 0.0))
    assert harness.ports.attempts == [attempt]
    assert harness.ports.answers == ["failed True"]
    assert not harness.core.open_requests


def test_a_further_attempt_is_rejected_while_one_outlives_its_client() -> None:
    harness = CoreHarness(hedging_allowed=True, classes=(POLICY_SETTINGS.classes[0],) * 2)
    harness.request.survives_disconnect = True
    running = harness.send("w1")
    running.request_written = True
    connecting = harness.send("w2")
    harness.core.client_disconnected(harness.now, harness.request)
    harness.run(SendAttempt("q", "w2", 0.0))
    assert harness.ports.aborted == [connecting]
    assert not harness.core.may_send(harness.now, connecting)
    assert harness.ports.attempts == [running, connecting]
    harness.core.attempt_finished(harness.now, running, AttemptStatus.OK)
    assert harness.ports.answers == ["finished"]


def test_a_connecting_attempt_does_not_keep_a_request_open_after_a_disconnect() -> None:
    harness = CoreHarness()
    harness.request.survives_disconnect = True
    attempt = harness.send("w1")
    harness.core.client_disconnected(harness.now, harness.request)
    harness.run()
    assert harness.ports.aborted == [attempt]
    assert harness.ports.answers == ["failed False"]  # its idempotency record says that nothing ran
    assert ClientDisconnected("q") in harness.ports.events


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("event", ["client left", "final answer"])
def test_an_unwritten_attempt_is_aborted_when_its_request_ends(event: str, cancel: bool) -> None:
    """If the settings forbid cancellation, it still connected and was written."""
    harness = CoreHarness(cancellation_allowed=cancel)
    attempt = harness.send("w1")
    if event == "client left":
        harness.core.client_disconnected(harness.now, harness.request)
        harness.run()
    else:
        harness.run(FailRequest("q"))
    assert harness.ports.aborted == [attempt]
    assert harness.ports.statuses == [AttemptStatus.ALREADY_FINISHED]
    assert not harness.core.open_requests


def test_an_unwritten_attempt_is_aborted_once_another_streams() -> None:
    """Nothing more is sent for a request once its client has received the first event."""
    harness = CoreHarness(hedging_allowed=True, classes=(POLICY_SETTINGS.classes[0],) * 2)
    streaming = harness.send("w1")
    streaming.request_written = True
    connecting = harness.send("w2")
    assert harness.core.stream_started(harness.now, streaming)
    assert not harness.core.may_send(harness.now, connecting)
    harness.run()
    assert harness.ports.aborted == [connecting]
    assert not streaming.finished


# --- whole dispatchers, on sockets ---


def test_a_chat_request_is_not_retried_after_its_client_disconnected(tmp_path: Path) -> None:
    """The host reset the attempt later (here after 0.2 s), and another one started without a client."""
    gate = trio.Event()
    prefill_host, decode_host = pair(Act(before=gate, events=0, breaks=True))

    async def story(on: Stage) -> None:
        core = on.daemon.core
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body("giro-orden"))
        await wait_until(lambda: len(decode_host.received_ids) == 1)
        await call.stream.aclose()
        await wait_until(lambda: any(request.client_disconnected for request in core.open_requests.values()))
        await trio.sleep(0.2)
        assert core.open_requests  # it continues, so that a retry finds its result
        gate.set()
        await wait_until(lambda: not core.open_requests)
        assert (len(prefill_host.received_ids), len(decode_host.received_ids)) == (1, 1)

    play(
        prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path), settings=KEYED_SETTINGS
    )


def test_a_chat_request_is_not_sent_if_its_client_disconnects_during_the_connect(
    tmp_path: Path,
) -> None:
    """An attempt that was still connecting counted as possibly executed."""
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        core = on.daemon.core
        connects = DelayedConnects(on, "w")
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body("giro-orden"))
        await connects.requested.wait()
        await call.stream.aclose()
        await wait_until(lambda: not core.open_requests)
        connects.may_complete.set()
        await trio.testing.wait_all_tasks_blocked()
        assert (len(prefill_host.received_ids), decode_host.received_ids) == (1, [])

    play(
        prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path), settings=KEYED_SETTINGS
    )


class LateReadingHost(ModelHost):
    """Has a full receive window on its first connection, and reads the rest there once `may_read` is set.

    On later connections it serves requests.
    """

    def __init__(self, name: str, kind: str) -> None:
        super().__init__(name, kind)
        self.request_begun = trio.Event()
        self.may_read = trio.Event()
        self.received = 0

    async def _connection(self, raw: trio.SocketStream) -> None:
        if self.request_begun.is_set():
            await super()._connection(raw)
            return
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.received += len(await raw.receive_some(100))
        self.request_begun.set()
        await self.may_read.wait()
        try:
            while data := await raw.receive_some(64 * 1024):
                self.received += len(data)
        except trio.BrokenResourceError:
            pass


@pytest.mark.parametrize(
    ("send_buffer", "cancel"),
    [(4096, True), (4096, False), (0, True), (0, False)],
    ids=[
        "small buffer",
        "small buffer, no cancellation",
        "system's buffer",
        "system's buffer, no cancellation",
    ],
)
def test_the_rest_of_a_large_request_is_not_sent_after_its_client_disconnected(
    send_buffer: int, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The host starts a request on its last byte, however early its first byte arrived.

    With a small send buffer the rest stays in the process; a large one takes all of it, most of it unsent.
    """
    prefill_host, decode_host = LateReadingHost("r", "prefill"), ModelHost("w", "decode")
    original_init = UpstreamConnection.__init__

    def init_with_small_buffer(self: UpstreamConnection, raw: Any, *args: Any) -> None:
        if send_buffer:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
        original_init(self, raw, *args)

    monkeypatch.setattr(UpstreamConnection, "__init__", init_with_small_buffer)

    async def story(on: Stage) -> None:
        core = on.daemon.core
        prefill_host._sockets[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), LARGE_BODY)
        await prefill_host.request_begun.wait()
        await trio.testing.wait_all_tasks_blocked()
        await call.stream.aclose()
        await wait_until(lambda: all(request.done for request in core.open_requests.values()))
        await trio.testing.wait_all_tasks_blocked()
        prefill_host.may_read.set()
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert prefill_host.received < len(LARGE_BODY)

    play(prefill_host, decode_host, story=story, settings={"limits": {**LIMITS, "cancel": cancel}})


# --- clients that repeat a request while its stream is running ---


def test_a_request_repeated_during_its_stream_gets_a_complete_stream_of_one_host() -> None:
    """The new request has its own id; the old stream continues until its host or its client ends it."""
    gate = trio.Event()
    prefill_host, decode_host = pair(Act(pause=gate))

    async def story(on: Stage) -> None:
        first = await send_request(on, "q1", "consulta")
        await first.receive(events=2)
        second = await send_request(on, "q2", "consulta", Req_Retry="again")
        answer = await second.receive()
        assert (answer.outcome, decode_host.received_ids) == ("served", ["q1", "q2"])
        assert not first.answer.whole
        gate.set()
        assert (await first.receive()).body == answer.body  # each stream comes from its own call

    play(prefill_host, decode_host, story=story)


def test_a_stream_abandoned_for_a_repeated_request_is_ended_at_its_host() -> None:
    gate = trio.Event()
    prefill_host, decode_host = pair(Act(pause=gate))

    async def story(on: Stage) -> None:
        core = on.daemon.core
        first = await send_request(on, "q1", "consulta")
        await first.receive(events=2)
        second = await send_request(on, "q2", "consulta", Req_Retry="again")
        await first.stream.aclose()
        assert (await second.receive()).outcome == "served"
        await wait_until(lambda: not core.open_requests)
        # the first request is not retried
        assert [len(prefill_host.received_ids), len(decode_host.received_ids)] == [2, 2]
        gate.set()

    play(prefill_host, decode_host, story=story)
