"""Time-outs of a host's response that are due while this process does not run."""

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

    def __init__(self) -> None:
        self.core = CoreHarness()
        ours, self.host = socket.socketpair()
        ours.setblocking(False)
        self.connection = UpstreamConnection(ours, "w1")
        self.connection.http.request("POST", "/", [("Host", "x")])
        self.attempt: Attempt = self.core.send("w1")
        self.attempt.request.payload = Payload("POST", "/", "", memoryview(b""), trio.lowlevel.checkpoint)
        self.reader = ResponseReader(
            self.core.core,
            self.attempt,
            self.connection,
            report_fields=(),
            openai_api=False,
            migration=lambda: None,
            waiting=lambda scope: None,
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
