"""The outcomes of a host's responses, and time-outs that are due while the process stands still."""

from __future__ import annotations

import socket
import time

import pytest
import trio
import trio.testing

from tests.test_core import CoreHarness
from violetstack.core.records import Attempt
from violetstack.fronts.reply import Payload
from violetstack.net.upstream import response_reader
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.response_reader import ResponseReader
from violetstack.policy_api import AttemptStatus
from violetstack.protocol.http_client import InvalidResponseError

EVENT = b"data: x\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
TIMEOUT_S = 0.05


class ReaderHarness:
    """A response reader on one end of a socket pair; the test plays the host on the other."""

    def __init__(self, server: str = "w1") -> None:
        self.core = CoreHarness()
        ours, self.host = socket.socketpair()
        ours.setblocking(False)
        self.connection = UpstreamConnection(ours, server)
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
        except InvalidResponseError:
            self.status = AttemptStatus.RESET


class PauseInIoWait(trio.abc.Instrument):
    """The process stands still, once, for longer than the time-out, while its host sends.

    As after SIGSTOP, the wait for I/O that this falls into ends without having seen the input.
    """

    def __init__(self, host: socket.socket, sent: bytes) -> None:
        self._host = host
        self._sent = sent
        self._over = False

    def after_io_wait(self, timeout: float) -> None:  # noqa: ARG002 - trio's interface
        if not self._over:
            self._over = True
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
def test_what_came_while_the_process_stood_still_is_read_though_the_time_is_over(
    before: bytes, during: bytes, status: AttemptStatus, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The expired timer cancelled every further read: the stream never ended, and the loop did not rest."""
    monkeypatch.setattr(response_reader, "EVENT_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(response_reader, "PARTIAL_TIMEOUT_S", TIMEOUT_S)

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


DONE = b"data: [DONE]\n\n"
DONE_CHUNK = b"%x\r\n%s\r\n" % (len(DONE), DONE)


def sized(length: int, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, body)


def short(status: int, header: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n%s\r\n{}" % (status, header)


DECLINED = b"Srv-Declined: 1\r\n"
RESPONSES = {
    "chunks to the last": ("w1", HEAD + CHUNK + DONE_CHUNK + END, AttemptStatus.OK),
    "chunks to the last, without [DONE]": ("w1", HEAD + CHUNK + END, AttemptStatus.OK),
    "no last chunk": ("w1", HEAD + CHUNK + DONE_CHUNK, AttemptStatus.RESET),
    "no event": ("w1", HEAD + END, AttemptStatus.RESET),
    "ended by the connection": ("w1", b"HTTP/1.1 200 OK\r\n\r\n" + EVENT + DONE, AttemptStatus.RESET),
    "HTTP/1.0": ("w1", b"HTTP/1.0 200 OK\r\n\r\n" + EVENT + DONE, AttemptStatus.RESET),
    "a whole length": ("w1", sized(len(EVENT + DONE), EVENT + DONE), AttemptStatus.OK),
    "a length inside an event": ("w1", sized(5, EVENT + DONE), AttemptStatus.RESET),
    "a length between events": ("w1", sized(len(EVENT), EVENT + DONE), AttemptStatus.RESET),
    "a length too long": ("w1", sized(99, EVENT + DONE), AttemptStatus.RESET),
    "an interim response": ("w1", b"HTTP/1.1 103 X\r\n\r\n" + HEAD + CHUNK + END, AttemptStatus.OK),
    "a second response behind": ("w1", HEAD + CHUNK + END + short(202), AttemptStatus.OK),
    "read by a prefill host": ("r1", short(202), AttemptStatus.PREFILLED),
    "read by a decode host": ("w1", short(202), AttemptStatus.ERROR),
    "state gone": ("w1", short(410, DECLINED), AttemptStatus.REJECTED),
    "gone": ("w1", short(410), AttemptStatus.ERROR),
    "full": ("w1", short(503, DECLINED), AttemptStatus.REJECTED),
    "unavailable": ("w1", short(503), AttemptStatus.ERROR),
    "over": ("w1", short(504, DECLINED), AttemptStatus.REJECTED),
    "failed": ("w1", short(500), AttemptStatus.ERROR),
    "failed, and declined": ("w1", short(500, DECLINED), AttemptStatus.ERROR),
}


@pytest.mark.parametrize(("server", "response", "status"), RESPONSES.values(), ids=RESPONSES.keys())
def test_the_outcome_of_a_response_that_its_host_ends(
    server: str, response: bytes, status: AttemptStatus
) -> None:
    """A stream is complete only if its host said so: the end of a connection may as well be a break."""

    async def main() -> None:
        harness = ReaderHarness(server)
        with harness.host, trio.fail_after(2.0):
            harness.host.sendall(response)
            harness.host.shutdown(socket.SHUT_WR)
            await harness.read()
        assert harness.status is status
        harness.connection.close()

    trio.run(main)
