"""Streams that end during a shutdown reach their clients completely, even if the clients send new requests.

The tests run a real process with the deploy file's `run` command, real sockets and SIGTERM (incident of
2026-12-02: docs/incidents/2026-12-02-stream-cut-in-shutdown.md).
"""

from __future__ import annotations

import errno
import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
import trio

from tests.pipelining import PipeliningClient, relay
from violetstack.config import Address
from violetstack.rehearsal.fleet.dispatcher_process import DispatcherProcess, dispatcher_process
from violetstack.rehearsal.fleet.fault_shim import ProcessFaults, SystemCall, build_shim
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection

FIRST_EVENT = b"data: first\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
STREAMS = 40
POLL_S = 0.02
"""The interval of the shutdown's search for idle connections; the ends of the streams are spread over it."""
SMALL_BUFFER = 4096
READ_SIZE = 1000
READ_PAUSE_S = 0.05
TAIL_BYTES = 20_000
"""Fits into the buffers of the kernel: the dispatcher has written all, but the client has not received it."""
NETWORK_DELAY_S = 0.005
LAST_CHUNK_DELAY_S = 0.007
"""After [DONE]: longer than the delay to the client, shorter than the round trip."""
TEST_TIMEOUT_S = 30.0
MAX_RESEND_DELAY_S = 0.06
"""A request sent within this time of its stream's end cannot have crossed the end of the connection."""


class HeldStreams(ModelHost):
    """A decode host whose streams stay open until `end` is set and then end at random times within POLL_S."""

    def __init__(self, name: str, tail: bytes = b"") -> None:
        super().__init__(name, "decode")
        self.end = trio.Event()
        self.ended: dict[str, float] = {}
        self._tail = tail
        self._rng = random.Random(7)

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [("Content-Type", "text/event-stream")])
        await connection.data(FIRST_EVENT)
        await self.end.wait()
        await trio.sleep(self._rng.random() * POLL_S)
        if self._tail:
            await connection.data(self._tail)
        await connection.data(DONE_EVENT)
        await trio.sleep(LAST_CHUNK_DELAY_S)
        await connection.end()


def run_within(main: Callable[[], Awaitable[None]]) -> None:
    """Runs `main`, and fails after TEST_TIMEOUT_S, since a connection that stays open would block it."""

    async def bounded() -> None:
        with trio.fail_after(TEST_TIMEOUT_S):
            await main()

    trio.run(bounded)


def stream_hosts(tail: bytes = b"") -> tuple[ModelHost, HeldStreams]:
    return ModelHost("r", "prefill"), HeldStreams("w", tail)


async def begin_stream(address: Address, number: int, buffer: int | None = None) -> PipeliningClient:
    client = await PipeliningClient.open(address, buffer)
    await client.send(f"q{number}")
    await client.read_until(FIRST_EVENT)
    return client


@pytest.mark.parametrize("begun_when", ["before SIGTERM", "after SIGTERM"])
def test_a_stream_reaches_a_client_that_reads_slowly_and_sends_another_request(begun_when: str) -> None:
    """The next request met a closed socket or was unread at the close; the reset cut off the stream's end."""
    prefill_host, decode_host = stream_hosts(b"data: " + b"x" * TAIL_BYTES + b"\n\n")

    async def run_stream(dispatcher: DispatcherProcess) -> PipeliningClient:
        if begun_when == "after SIGTERM":
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.1)
        client = await begin_stream(dispatcher.address, 1, SMALL_BUFFER)
        if begun_when == "before SIGTERM":
            dispatcher.program.send(signal.SIGTERM)
        await trio.sleep(0.6)
        decode_host.end.set()
        await trio.sleep(0.3)  # the kernel holds the whole stream, most of it in the dispatcher's buffers
        await client.send("next")
        await client.read_all(READ_SIZE, pause_s=READ_PAUSE_S)
        return client

    async def main() -> None:
        async with dispatcher_process(prefill_host, decode_host) as dispatcher:
            client = await run_stream(dispatcher)
            assert client.responses[0].whole, "cut by a reset" if client.reset else "cut"
            client.close()

    run_within(main)


def test_no_stream_is_cut_by_a_reset_when_its_client_sends_another_request_at_once() -> None:
    """A request sent at [DONE] reached a closed socket, whose reset made the relay discard buffered data."""
    prefill_host, decode_host = stream_hosts()

    async def send_again(client: PipeliningClient, number: int) -> None:
        await client.read_until(DONE_EVENT)
        with suppress(trio.BrokenResourceError):
            await client.send(f"next{number}", pause_s=0.001)
        await client.read_all()

    async def main() -> None:
        async with (
            dispatcher_process(prefill_host, decode_host, sockets=400) as dispatcher,
            relay(dispatcher.address, NETWORK_DELAY_S) as address,
        ):
            clients = [await begin_stream(address, number) for number in range(STREAMS)]
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.7)
            async with trio.open_nursery() as nursery:
                for number, client in enumerate(clients):
                    nursery.start_soon(send_again, client, number)
                decode_host.end.set()
        cut_streams = sum(not client.responses[0].whole for client in clients)
        reset_streams = sum(client.reset for client in clients)
        assert (cut_streams, reset_streams) == (0, 0)

    run_within(main)


def test_a_request_directly_after_the_end_of_a_stream_is_answered() -> None:
    """The connection was closed within 20 ms of the stream's end, so the next request got no response."""
    prefill_host, decode_host = stream_hosts()
    late_sends = 0
    unanswered = 0

    async def send_again(address: Address, client: PipeliningClient, number: int) -> None:
        nonlocal late_sends, unanswered
        while not client.responses[0].whole:
            assert await client.read()
        ended_at = trio.current_time()
        await trio.sleep(number % 4 * 0.005)
        try:
            await client.send(f"next{number}")
        except trio.BrokenResourceError:
            unanswered += 1
            return
        if trio.current_time() - ended_at > MAX_RESEND_DELAY_S:
            late_sends += 1  # slow machine: the end of the connection may have been under way
            return
        await client.read_all()
        unanswered += len(client.responses) < 2

    async def main() -> None:
        async with dispatcher_process(prefill_host, decode_host, sockets=400) as dispatcher:
            clients = [await begin_stream(dispatcher.address, number) for number in range(STREAMS)]
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.7)
            async with trio.open_nursery() as nursery:
                for number, client in enumerate(clients):
                    nursery.start_soon(send_again, dispatcher.address, client, number)
                decode_host.end.set()
            for client in clients:
                client.close()
        assert late_sends < STREAMS // 2, (
            "this machine is too slow: at least half of the requests were sent late"
        )
        assert unanswered == 0

    run_within(main)


def test_streams_are_finished_in_a_shutdown_while_poll_fails() -> None:
    """poll(2) can fail for lack of memory; the failure ended the shutdown and with it every stream."""
    prefill_host, decode_host = stream_hosts()
    faults = ProcessFaults()

    def prepare(program: Program) -> None:
        program.preload = {"LD_PRELOAD": str(build_shim()), "SOAK_FAULTS_FD": str(faults.descriptor)}
        program.shared = (faults.descriptor,)

    async def main() -> None:
        async with dispatcher_process(prefill_host, decode_host, prepare=prepare) as dispatcher:
            idle_client = await begin_stream(dispatcher.address, 1)
            streaming_client = await begin_stream(dispatcher.address, 2)
            faults.fail(SystemCall.POLL, errno.ENOMEM, 2)
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.7)
            decode_host.end.set()
            await trio.sleep(0.5)
            failed_calls = faults.failed(SystemCall.POLL)
            # Connections in an unknown state stay open, so the shutdown waits.
            faults.stop_failing(SystemCall.POLL)
            for client in (idle_client, streaming_client):
                await client.read_all()
                client.close()
                assert client.responses[0].whole
            assert await dispatcher.ended_within(3.0)
            assert dispatcher.program.process is not None
            assert dispatcher.program.process.returncode == 0
            assert failed_calls

    run_within(main)
    faults.close()
