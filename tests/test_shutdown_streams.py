"""Streams that end while a dispatcher shuts down reach their clients whole, whatever these send meanwhile.

A real process by the deploy file's `run`, real sockets, SIGTERM (the incident of 2026-12-02).
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
from tests.race_helpers import DispatcherProcess, dispatcher_process
from violetstack.config import Address
from violetstack.rehearsal.fleet.fault_shim import Call, ProcessFaults, build_shim
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.peer import PeerConnection

FIRST = b"data: first\n\n"
DONE = b"data: [DONE]\n\n"
STREAMS = 40
POLL_S = 0.02
"""The shutdown looks for idle connections this often: ends are spread over as much."""
SMALL_BUFFER = 4096
READ_SIZE = 1000
READ_PAUSE_S = 0.05
TAIL_BYTES = 20_000
"""So much fits into the buffers of the kernel: the dispatcher has written all, the client has not got it."""
NETWORK_DELAY_S = 0.005
LAST_CHUNK_DELAY_S = 0.007
"""Behind [DONE]: longer than the way to the client, shorter than the way there and back."""
TEST_TIMEOUT_S = 30.0
CROSSING_S = 0.06
"""A next request that is written this soon after its stream's end has crossed nothing."""


class HeldStreams(ModelHost):
    """A decode host whose streams go on until `end` is set, then end one after the other within POLL_S."""

    def __init__(self, name: str, tail: bytes = b"") -> None:
        super().__init__(name, "decode")
        self.end = trio.Event()
        self.ended: dict[str, float] = {}
        self._tail = tail
        self._rng = random.Random(7)

    async def stream(self, act: Act, body: memoryview, connection: PeerConnection) -> None:
        await connection.start(200, [("Content-Type", "text/event-stream")])
        await connection.data(FIRST)
        await self.end.wait()
        await trio.sleep(self._rng.random() * POLL_S)
        if self._tail:
            await connection.data(self._tail)
        await connection.data(DONE)
        await trio.sleep(LAST_CHUNK_DELAY_S)
        await connection.end()


def run_within(main: Callable[[], Awaitable[None]]) -> None:
    """Runs a test that fails, and does not hang, where a connection is left open."""

    async def bounded() -> None:
        with trio.fail_after(TEST_TIMEOUT_S):
            await main()

    trio.run(bounded)


def hosts(tail: bytes = b"") -> tuple[ModelHost, HeldStreams]:
    return ModelHost("r", "prefill"), HeldStreams("w", tail)


async def begin_stream(address: Address, number: int, buffer: int | None = None) -> PipeliningClient:
    client = await PipeliningClient.open(address, buffer)
    await client.send(f"q{number}")
    await client.read_until(FIRST)
    return client


@pytest.mark.parametrize("begun", ["before SIGTERM", "after SIGTERM"])
def test_a_stream_reaches_a_client_that_reads_slowly_and_sends_again(begun: str) -> None:
    """The next request met a closed socket, or lay unread at the close: the reset destroyed the end."""
    prefill, decode = hosts(b"data: " + b"x" * TAIL_BYTES + b"\n\n")

    async def play(dispatcher: DispatcherProcess) -> PipeliningClient:
        if begun == "after SIGTERM":
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.1)
        client = await begin_stream(dispatcher.address, 1, SMALL_BUFFER)
        if begun == "before SIGTERM":
            dispatcher.program.send(signal.SIGTERM)
        await trio.sleep(0.6)
        decode.end.set()
        await trio.sleep(0.3)  # all of the stream is in the kernel, and most of it on the dispatcher's side
        await client.send("next")
        await client.read_all(READ_SIZE, pause_s=READ_PAUSE_S)
        return client

    async def main() -> None:
        async with dispatcher_process(prefill, decode) as dispatcher:
            client = await play(dispatcher)
            assert client.responses[0].whole, "cut by a reset" if client.reset else "cut"
            client.close()

    run_within(main)


def test_no_stream_is_overtaken_by_a_reset_when_its_client_sends_again_at_once() -> None:
    """A request that was written at [DONE] met the closed socket: the relay gave up what it still held."""
    prefill, decode = hosts()

    async def send_again(client: PipeliningClient, number: int) -> None:
        await client.read_until(DONE)
        with suppress(trio.BrokenResourceError):
            await client.send(f"next{number}", pause_s=0.001)
        await client.read_all()

    async def main() -> None:
        async with (
            dispatcher_process(prefill, decode, sockets=400) as dispatcher,
            relay(dispatcher.address, NETWORK_DELAY_S) as address,
        ):
            clients = [await begin_stream(address, number) for number in range(STREAMS)]
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.7)
            async with trio.open_nursery() as nursery:
                for number, client in enumerate(clients):
                    nursery.start_soon(send_again, client, number)
                decode.end.set()
        cut = sum(not client.responses[0].whole for client in clients)
        reset = sum(client.reset for client in clients)
        assert (cut, reset) == (0, 0)

    run_within(main)


def test_a_request_right_behind_the_end_of_a_stream_is_answered() -> None:
    """The connection was closed within 20 ms of a stream's end: the next request got no answer."""
    prefill, decode = hosts()
    late = 0
    unanswered = 0

    async def send_again(address: Address, client: PipeliningClient, number: int) -> None:
        nonlocal late, unanswered
        while not client.responses[0].whole:
            assert await client.read()
        ended_at = trio.current_time()
        await trio.sleep(number % 4 * 0.005)
        try:
            await client.send(f"next{number}")
        except trio.BrokenResourceError:
            unanswered += 1
            return
        if trio.current_time() - ended_at > CROSSING_S:
            late += 1  # this machine was slow: the end may have been on its way
            return
        await client.read_all()
        unanswered += len(client.responses) < 2

    async def main() -> None:
        async with dispatcher_process(prefill, decode, sockets=400) as dispatcher:
            clients = [await begin_stream(dispatcher.address, number) for number in range(STREAMS)]
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.7)
            async with trio.open_nursery() as nursery:
                for number, client in enumerate(clients):
                    nursery.start_soon(send_again, dispatcher.address, client, number)
                decode.end.set()
            for client in clients:
                client.close()
        assert late < STREAMS // 2, "this machine is too slow for a verdict"
        assert unanswered == 0

    run_within(main)


def test_a_shutdown_outlasts_a_system_that_cannot_tell_what_waits_in_its_sockets() -> None:
    """poll(2) may fail for lack of memory: the shutdown ended with it, and every stream."""
    prefill, decode = hosts()
    faults = ProcessFaults()

    def prepare(program: Program) -> None:
        program.preload = {"LD_PRELOAD": str(build_shim()), "SOAK_FAULTS_FD": str(faults.descriptor)}
        program.shared = (faults.descriptor,)

    async def main() -> None:
        async with dispatcher_process(prefill, decode, prepare=prepare) as dispatcher:
            idle = await begin_stream(dispatcher.address, 1)
            streaming = await begin_stream(dispatcher.address, 2)
            faults.fail(Call.POLL, errno.ENOMEM, 2)
            dispatcher.program.send(signal.SIGTERM)
            await trio.sleep(0.7)
            decode.end.set()
            await trio.sleep(0.5)
            failed = faults.failed(Call.POLL)
            faults.stop_failing(Call.POLL)  # in doubt nothing is closed, so the end waits for this
            for client in (idle, streaming):
                await client.read_all()
                client.close()
                assert client.responses[0].whole
            assert await dispatcher.ended_within(3.0)
            assert dispatcher.program.process is not None
            assert dispatcher.program.process.returncode == 0
            assert failed

    run_within(main)
    faults.close()
