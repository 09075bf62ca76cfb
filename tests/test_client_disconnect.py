"""No attempt begins for a client that has gone; only what a host already executes goes on."""

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
    """A keyed request was retried within its window for a client long gone."""
    harness = CoreHarness(classes=(POLICY_SETTINGS.classes[0],) * 2)
    harness.request.survives_disconnect = True
    attempt = harness.send("w1")
    attempt.request_written = True
    harness.core.client_disconnected(harness.now, harness.request)
    harness.run(after=100.0)
    assert not attempt.finished  # what runs may end, for the client's retry to find
    harness.core.attempt_finished(harness.now, attempt, AttemptStatus.RESET)
    finished = [event for event in harness.core.pending_events if isinstance(event, AttemptFinished)]
    assert [event.request_finished for event in finished] == [True]  # the policy need not retry
    harness.run(SendAttempt("q", "w2", 0.0))
    assert harness.ports.attempts == [attempt]
    assert harness.ports.answers == ["failed True"]
    assert not harness.core.open_requests


def test_a_further_attempt_is_refused_while_one_outlives_its_client() -> None:
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


def test_an_attempt_whose_connection_is_not_up_does_not_keep_a_request_without_its_client() -> None:
    harness = CoreHarness()
    harness.request.survives_disconnect = True
    attempt = harness.send("w1")
    harness.core.client_disconnected(harness.now, harness.request)
    harness.run()
    assert harness.ports.aborted == [attempt]
    assert harness.ports.answers == ["failed False"]  # its stored record says that nothing ran
    assert ClientDisconnected("q") in harness.ports.events


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("event", ["client left", "final answer"])
def test_an_unwritten_attempt_is_withdrawn_at_the_requests_end(event: str, cancel: bool) -> None:
    """Where the settings forbid to cancel, it went on connecting and writing."""
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


def test_an_unwritten_attempt_is_withdrawn_once_another_streams() -> None:
    """No more is sent for a request from the first event that its client gets."""
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


def test_no_retry_goes_out_for_a_chat_client_that_left_while_its_request_ran(tmp_path: Path) -> None:
    """Its host reset the attempt later, and another began for nobody: here after 0.2 s."""
    gate = trio.Event()
    reader, writer = pair(Act(before=gate, events=0, breaks=True))

    async def story(on: Stage) -> None:
        core = on.daemon.core
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body("giro-orden"))
        await wait_until(lambda: len(writer.begun) == 1)
        await call.stream.aclose()
        await wait_until(lambda: any(each.client_disconnected for each in core.open_requests.values()))
        await trio.sleep(0.2)
        assert core.open_requests  # it goes on, for a retry to find
        gate.set()
        await wait_until(lambda: not core.open_requests)
        assert (len(reader.begun), len(writer.begun)) == (1, 1)

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path), settings=KEYED_SETTINGS)


def test_a_chat_request_is_not_written_for_a_client_that_left_while_its_connection_came_up(
    tmp_path: Path,
) -> None:
    """An attempt that was still connecting counted as one that may have run."""
    reader, writer = pair()

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
        assert (len(reader.begun), writer.begun) == (1, [])

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path), settings=KEYED_SETTINGS)


class LateReadingHost(ModelHost):
    """Its first connection's receive window is full at once; it reads the rest once `may_read` is set.

    On later connections it serves.
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
def test_the_rest_of_a_large_request_is_not_sent_after_its_client_has_gone(
    send_buffer: int, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The host begins a request with its last byte, however early its first came.

    A small send buffer keeps the rest in the process; a large one takes all of it, with most still unsent.
    """
    reader, writer = LateReadingHost("r", "prefill"), ModelHost("w", "decode")
    begin = UpstreamConnection.__init__

    def limited(self: UpstreamConnection, raw: Any, *args: Any) -> None:
        if send_buffer:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
        begin(self, raw, *args)

    monkeypatch.setattr(UpstreamConnection, "__init__", limited)

    async def story(on: Stage) -> None:
        core = on.daemon.core
        reader._sockets[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        call = await connect(on.platform)
        await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), LARGE_BODY)
        await reader.request_begun.wait()
        await trio.testing.wait_all_tasks_blocked()
        await call.stream.aclose()
        await wait_until(lambda: all(each.done for each in core.open_requests.values()))
        await trio.testing.wait_all_tasks_blocked()
        reader.may_read.set()
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert reader.received < len(LARGE_BODY)

    play(reader, writer, story=story, settings={"limits": {**LIMITS, "cancel": cancel}})


# --- clients that come again while their stream still runs ---


def test_a_client_that_asks_again_before_its_streams_end_gets_one_hosts_whole_stream() -> None:
    """The new request has an id of its own; the old stream goes on until its host or its client ends it."""
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))

    async def story(on: Stage) -> None:
        old = await send_request(on, "q1", "consulta")
        await old.receive(events=2)
        new = await send_request(on, "q2", "consulta", Req_Retry="again")
        whole = await new.receive()
        assert (whole.outcome, writer.begun) == ("served", ["q1", "q2"])
        assert not old.answer.whole
        hold.set()
        assert (await old.receive()).body == whole.body  # each as its own host call made it

    play(reader, writer, story=story)


def test_the_stream_that_a_client_left_to_ask_again_is_ended_at_its_host() -> None:
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))

    async def story(on: Stage) -> None:
        core = on.daemon.core
        old = await send_request(on, "q1", "consulta")
        await old.receive(events=2)
        new = await send_request(on, "q2", "consulta", Req_Retry="again")
        await old.stream.aclose()
        assert (await new.receive()).outcome == "served"
        await wait_until(lambda: not core.open_requests)
        assert [len(reader.begun), len(writer.begun)] == [2, 2]  # nothing is sent again for the first
        hold.set()

    play(reader, writer, story=story)
