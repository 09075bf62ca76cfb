"""The statuses of host responses, and timeouts that expire while the process is paused."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

import pytest
import trio
import trio.testing

from tests.test_core import CoreHarness
from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt
from violetstack.fronts.reply import Payload
from violetstack.net.upstream import stream_progress
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.response_errors import StalledResponseError
from violetstack.net.upstream.response_reader import ResponseReader
from violetstack.net.upstream.stream_progress import StreamPosition
from violetstack.policy_api import AttemptStatus
from violetstack.protocol.http_client import HttpClientConnection, InvalidResponseError
from violetstack.protocol.sse import InvalidEventError

EVENT = b"data: x\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CONTENT = b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'
CONTENT_CHUNK = b"%x\r\n%s\r\n" % (len(CONTENT), CONTENT)
DONE = b"data: [DONE]\n\n"
DONE_CHUNK = b"%x\r\n%s\r\n" % (len(DONE), DONE)
END = DONE_CHUNK + b"0\r\n\r\n"
TIMEOUT_S = 0.05


class ReaderHarness:
    """A response reader on one end of a socket pair; the test acts as the host on the other."""

    def __init__(self, server: str = "w1") -> None:
        self.core = CoreHarness()
        dispatcher_side, self.host = socket.socketpair()
        dispatcher_side.setblocking(False)
        self.connection = UpstreamConnection(dispatcher_side, server)
        self.connection.http.request("POST", "/", [("Host", "x")])
        self.attempt: Attempt = self.core.send(server)
        self.attempt.request.payload = Payload("POST", "/", "", memoryview(b""), trio.lowlevel.checkpoint)
        self.reader = ResponseReader(
            self.core.core,
            self.attempt,
            self.connection,
            report_fields=(),
            openai_api=False,
            current_migration=lambda: None,
            set_receive_scope=lambda scope: None,
        )
        self.status: AttemptStatus | None = None

    async def read(self) -> None:
        try:
            self.status = (await self.reader.read()).status
        except (InvalidResponseError, InvalidEventError):
            self.status = AttemptStatus.RESET


class PauseInIoWait(trio.abc.Instrument):
    """Pauses the process once, for longer than the timeout, while its host sends.

    As after SIGSTOP, the interrupted wait for I/O ends without having seen the input.
    """

    def __init__(self, host: socket.socket, sent: bytes) -> None:
        self._host = host
        self._sent = sent
        self._paused = False

    def after_io_wait(self, timeout: float) -> None:  # noqa: ARG002 - trio's interface
        if not self._paused:
            self._paused = True
            self._host.sendall(self._sent)
            time.sleep(2.0 * TIMEOUT_S)


@pytest.mark.parametrize(
    ("before", "during", "status"),
    [
        (HEAD + CHUNK, CHUNK + END, AttemptStatus.OK),
        (HEAD + CHUNK + CHUNK[:5], CHUNK[5:] + END, AttemptStatus.OK),
        (HEAD, CHUNK + END, AttemptStatus.OK),
        (HEAD + CHUNK + CHUNK[:5], CHUNK[5:7], AttemptStatus.RESET),
        (HEAD + CHUNK, b"", AttemptStatus.RESET),
    ],
    ids=["between events", "inside an event", "before the first event", "still incomplete", "silent"],
)
def test_input_that_arrived_during_a_pause_is_read_after_the_time_limit(
    before: bytes, during: bytes, status: AttemptStatus, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The expired timer cancelled every further read: the stream did not end, and the loop never waited."""
    monkeypatch.setattr(stream_progress, "EVENT_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(stream_progress, "PARTIAL_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(Dispatcher, "may_retry", lambda core, attempt: True)

    async def main() -> None:
        harness = ReaderHarness()
        with harness.host, trio.fail_after(2.0):
            async with trio.open_nursery() as nursery:
                harness.host.sendall(before)
                nursery.start_soon(harness.read)
                await trio.testing.wait_all_tasks_blocked()
                trio.lowlevel.add_instrument(PauseInIoWait(harness.host, during))
        assert harness.status is status
        harness.connection.close()

    trio.run(main)


LAST_CHUNK = b"0\r\n\r\n"


def response_with_length(length: int, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, body)


def response_without_events(status: int, header: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n%s\r\n{}" % (status, header)


DECLINED = b"Srv-Declined: 1\r\n"
RESPONSES = {
    "all chunks": ("w1", HEAD + CHUNK + END, AttemptStatus.OK),
    "all chunks, without [DONE]": ("w1", HEAD + CHUNK + LAST_CHUNK, AttemptStatus.RESET),
    "[DONE] without its blank line": (
        "w1",
        HEAD + CHUNK + b"d\r\n" + DONE[:-1] + b"\r\n" + LAST_CHUNK,
        AttemptStatus.OK,
    ),
    "a comment without its blank line": (
        "w1",
        HEAD + CHUNK + DONE_CHUNK + b"2\r\n:x\r\n" + LAST_CHUNK,
        AttemptStatus.OK,
    ),
    "an incomplete event behind [DONE]": (
        "w1",
        HEAD + CHUNK + DONE_CHUNK + b"7\r\ndata: x\r\n" + LAST_CHUNK,
        AttemptStatus.RESET,
    ),
    "no last chunk": ("w1", HEAD + CHUNK + DONE_CHUNK, AttemptStatus.RESET),
    "no event": ("w1", HEAD + LAST_CHUNK, AttemptStatus.RESET),
    "ended by the close of the connection": (
        "w1",
        b"HTTP/1.1 200 OK\r\n\r\n" + EVENT + DONE,
        AttemptStatus.RESET,
    ),
    "HTTP/1.0": ("w1", b"HTTP/1.0 200 OK\r\n\r\n" + EVENT + DONE, AttemptStatus.RESET),
    "correct Content-Length": ("w1", response_with_length(len(EVENT + DONE), EVENT + DONE), AttemptStatus.OK),
    "Content-Length inside an event": ("w1", response_with_length(5, EVENT + DONE), AttemptStatus.RESET),
    "Content-Length between events": (
        "w1",
        response_with_length(len(EVENT), EVENT + DONE),
        AttemptStatus.RESET,
    ),
    "Content-Length too long": ("w1", response_with_length(99, EVENT + DONE), AttemptStatus.RESET),
    "Content-Length and chunks": (
        "w1",
        HEAD[:-2] + b"Content-Length: 5\r\n\r\n" + CHUNK + END,
        AttemptStatus.RESET,
    ),
    "an interim response": ("w1", b"HTTP/1.1 103 X\r\n\r\n" + HEAD + CHUNK + END, AttemptStatus.OK),
    "a second response after it": ("w1", HEAD + CHUNK + END + response_without_events(202), AttemptStatus.OK),
    "202 of a prefill host": ("r1", response_without_events(202), AttemptStatus.PREFILLED),
    "202 of a decode host": ("w1", response_without_events(202), AttemptStatus.ERROR),
    "410 and declined": ("w1", response_without_events(410, DECLINED), AttemptStatus.REJECTED),
    "410": ("w1", response_without_events(410), AttemptStatus.ERROR),
    "503 and declined": ("w1", response_without_events(503, DECLINED), AttemptStatus.REJECTED),
    "503": ("w1", response_without_events(503), AttemptStatus.ERROR),
    "504 and declined": ("w1", response_without_events(504, DECLINED), AttemptStatus.REJECTED),
    "500": ("w1", response_without_events(500), AttemptStatus.ERROR),
    "500 and declined": ("w1", response_without_events(500, DECLINED), AttemptStatus.ERROR),
}


@pytest.mark.parametrize(("server", "response", "status"), RESPONSES.values(), ids=RESPONSES.keys())
def test_the_status_of_a_complete_or_broken_response(
    server: str, response: bytes, status: AttemptStatus
) -> None:
    """A stream is complete only if both its framing and its events say so."""

    async def main() -> None:
        harness = ReaderHarness(server)
        with harness.host, trio.fail_after(2.0):
            harness.host.sendall(response)
            harness.host.shutdown(socket.SHUT_WR)
            await harness.read()
        assert harness.status is status
        harness.connection.close()

    trio.run(main)


@pytest.mark.parametrize(
    "received",
    [
        b"noise",
        b"\x16\x03\x01",
        b"HTTQ",
        b"HTTP/9.9 204 X\r\n\r\n",
        b"HTTP/1.1 204 X\r\n" + b"a: 0123456789\r\n" * 2000 + b"\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 262145\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
    ],
    ids=["noise", "binary", "another protocol", "another version", "many fields", "a byte too long", "3 GB"],
)
def test_a_head_that_cannot_be_valid_is_an_error_while_its_host_goes_on(received: bytes) -> None:
    connection = HttpClientConnection()
    connection.request("POST", "/", [("Host", "x")])
    with pytest.raises(InvalidResponseError):
        connection.feed(received)


def test_events_behind_done_do_not_keep_a_migrated_stream_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_progress, "EVENT_TIMEOUT_S", TIMEOUT_S)

    async def main() -> None:
        harness = ReaderHarness()
        harness.connection.http = HttpClientConnection.resumed()
        harness.core.core.stream_started(0.0, harness.attempt)
        with harness.host, trio.fail_after(2.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(write_events, harness.host)
                with pytest.raises(StalledResponseError):
                    await harness.reader.resume(StreamPosition(0, True, 0.0))
                nursery.cancel_scope.cancel()
        harness.connection.close()

    async def write_events(host: socket.socket) -> None:
        while True:
            host.sendall(CONTENT_CHUNK)
            await trio.sleep(TIMEOUT_S / 5)

    trio.run(main)


def test_the_size_of_a_response_does_not_count_for_the_next_one_on_its_connection() -> None:
    connection = HttpClientConnection()
    for _ in range(2):
        connection.request("POST", "/", [("Host", "x")])
        connection.feed(response_with_length(200_000, b"x" * 200_000))
        assert connection.reuse()
        assert not connection.partial


@pytest.mark.parametrize("part", [b"zz", b"\r\n50\r\ndata: ", b"datx", b"data: x\n50\r"])
def test_bytes_that_belong_to_no_event_break_a_stream_before_the_event_is_complete(part: bytes) -> None:
    async def main() -> None:
        harness = ReaderHarness()
        with harness.host, trio.fail_after(1.0):
            harness.host.sendall(HEAD + CHUNK + b"%x\r\n%s\r\n" % (len(part), part))
            await harness.read()
        assert harness.status is AttemptStatus.RESET
        harness.connection.close()

    trio.run(main)


@pytest.mark.parametrize(
    ("done_before", "rest", "status"),
    [
        (True, LAST_CHUNK, AttemptStatus.OK),
        (False, LAST_CHUNK, AttemptStatus.RESET),
        (False, END, AttemptStatus.OK),
        (None, LAST_CHUNK, AttemptStatus.OK),
    ],
    ids=["migrated after [DONE]", "ended early", "complete", "migrated by an older release"],
)
def test_a_migrated_stream_is_complete_only_with_its_done_event(
    done_before: bool | None, rest: bytes, status: AttemptStatus
) -> None:
    async def main() -> None:
        harness = ReaderHarness()
        harness.connection.http = HttpClientConnection.resumed()
        harness.attempt.stream_started = True
        with harness.host, trio.fail_after(2.0):
            harness.host.sendall(rest)
            harness.host.shutdown(socket.SHUT_WR)
            with suppress(InvalidResponseError):
                harness.status = (await harness.reader.resume(StreamPosition(0, done_before))).status
        assert (harness.status or AttemptStatus.RESET) is status
        harness.connection.close()

    trio.run(main)


FRAMINGS = {
    "chunked": HEAD + CHUNK + END,
    "Content-Length": response_with_length(len(EVENT + DONE), EVENT + DONE),
}


@pytest.mark.parametrize("response", FRAMINGS.values(), ids=FRAMINGS.keys())
def test_a_response_cut_at_any_byte_is_not_complete(response: bytes) -> None:
    async def read_cut_response(length: int) -> AttemptStatus | None:
        harness = ReaderHarness()
        with harness.host, trio.fail_after(2.0):
            harness.host.sendall(response[:length])
            harness.host.shutdown(socket.SHUT_WR)
            await harness.read()
        harness.connection.close()
        return harness.status

    async def main() -> None:
        for length in range(len(response)):
            assert await read_cut_response(length) is AttemptStatus.RESET, response[:length]
        assert await read_cut_response(len(response)) is AttemptStatus.OK

    trio.run(main)
