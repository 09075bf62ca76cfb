"""Regression tests of the faults that the campaign found, each on a real dispatcher process.

The time limits are wide: a correct process needs a tenth of them.
"""

from __future__ import annotations

import errno
import signal

import trio

from violetstack.rehearsal.clients import BODY, connect, platform_headers
from violetstack.rehearsal.fleet.dispatcher_process import DispatcherProcess, dispatcher_process
from violetstack.rehearsal.fleet.fault_shim import ProcessFaults, SystemCall, build_shim
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import SETTINGS

LARGE_DRAIN_GRACE = {"rules": {**SETTINGS["rules"], "stop_sending_within": 1000.0}}


class RecordingHost(ModelHost):
    """A model host that records the `Req-Deadline` of each attempt, in milliseconds."""

    def __init__(self, name: str, kind: str, *acts: Act) -> None:
        super().__init__(name, kind, *acts)
        self.deadlines_ms: list[int] = []

    async def handle(self, inbound, connection) -> None:  # type: ignore[no-untyped-def]
        if deadline := inbound.headers.get("req-deadline"):
            self.deadlines_ms.append(int(deadline[:-1]))
        await super().handle(inbound, connection)


async def _request_bytes(process: DispatcherProcess, request: str, **headers: str) -> bytes:
    header_lines = [
        ("Host", "app.svc"),
        *platform_headers(request, "consulta", **headers),
        ("Content-Length", str(len(BODY))),
    ]
    head = "POST /v1/chat/completions HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in header_lines
    )
    return head.encode() + b"\r\n" + BODY


def test_a_stream_continues_after_a_stop_longer_than_its_timeout() -> None:
    """Guards against the dispatcher never reading the stream again while it used a whole processor."""

    async def scenario() -> None:
        may_end = trio.Event()
        decode = ModelHost("w0", "decode", Act(events=3, pause=may_end))
        async with dispatcher_process(ModelHost("r0", "prefill"), decode) as process:
            call = await process.send_request("q1")
            await call.receive(events=1)
            process.program.send(signal.SIGSTOP)
            await trio.sleep(1.0)
            may_end.set()
            await trio.sleep(3.7)
            process.program.send(signal.SIGCONT)
            with trio.fail_after(3.0):
                answer = await call.receive()
        assert answer.outcome == "served"

    trio.run(scenario)


def test_a_request_that_arrived_during_a_stop_is_answered() -> None:
    """Guards against closing its connection unread because the time limit for a first request had passed."""

    async def scenario() -> None:
        async with dispatcher_process(ModelHost("r0", "prefill"), ModelHost("w0", "decode")) as process:
            call = await connect(process.address)
            await trio.sleep(0.3)
            process.program.send(signal.SIGSTOP)
            await trio.sleep(0.1)
            await call.send("POST", "/v1/chat/completions", platform_headers("q1", "consulta"), BODY)
            await trio.sleep(2.3)
            process.program.send(signal.SIGCONT)
            with trio.fail_after(3.0):
                answer = await call.receive()
        assert answer.outcome == "served"

    trio.run(scenario)


def test_a_request_whose_rest_arrived_during_a_stop_is_served() -> None:
    """Guards against an answer 408 although all of the request was in the socket's receive buffer."""

    async def scenario() -> None:
        async with dispatcher_process(ModelHost("r0", "prefill"), ModelHost("w0", "decode")) as process:
            data = await _request_bytes(process, "q1")
            call = await connect(process.address)
            await call.stream.send_all(data[:40])
            await trio.sleep(0.3)
            process.program.send(signal.SIGSTOP)
            await trio.sleep(0.1)
            await call.stream.send_all(data[40:])
            await trio.sleep(2.3)
            process.program.send(signal.SIGCONT)
            with trio.fail_after(3.0):
                response = await call.stream.receive_some(64)
        assert response.startswith(b"HTTP/1.1 200")

    trio.run(scenario)


def test_a_request_that_arrived_during_a_stop_is_forwarded_with_the_remaining_deadline() -> None:
    """Guards against ignoring stops of under 1 s when the drain grace is 1 s."""

    async def scenario() -> None:
        prefill = RecordingHost("r0", "prefill")
        decode = RecordingHost("w0", "decode")
        async with dispatcher_process(prefill, decode, settings=LARGE_DRAIN_GRACE) as process:
            process.program.send(signal.SIGSTOP)
            await trio.sleep(0.1)
            call = await process.send_request("q1", Req_Deadline="1000m")
            await trio.sleep(0.8)
            process.program.send(signal.SIGCONT)
            with trio.fail_after(3.0):
                await call.receive()
        assert all(deadline_ms <= 350 for deadline_ms in prefill.deadlines_ms + decode.deadlines_ms)

    trio.run(scenario)


def test_a_request_whose_deadline_passed_during_a_stop_is_not_forwarded() -> None:
    """Guards against forwarding it as if it had just arrived."""

    async def scenario() -> None:
        prefill = ModelHost("r0", "prefill")
        async with dispatcher_process(prefill, ModelHost("w0", "decode")) as process:
            process.program.send(signal.SIGSTOP)
            await trio.sleep(0.1)
            call = await process.send_request("q1", Req_Deadline="500m")
            await trio.sleep(0.9)
            process.program.send(signal.SIGCONT)
            with trio.fail_after(3.0):
                answer = await call.receive()
        assert answer.status in (429, 503)
        assert prefill.received_ids == []

    trio.run(scenario)


def test_a_pipelined_request_is_served_and_the_process_ends() -> None:
    """Guards against never processing the request, which also kept the process alive after SIGTERM."""

    async def scenario() -> None:
        may_answer = trio.Event()
        prefill = ModelHost("r0", "prefill", Act(status=202, before=may_answer))
        async with dispatcher_process(prefill, ModelHost("w0", "decode")) as process:
            call = await process.send_request("q1")
            await prefill.until(lambda: prefill.received_ids == ["q1"])
            await call.stream.send_all(await _request_bytes(process, "q2"))
            await trio.sleep(0.2)
            may_answer.set()
            with trio.fail_after(3.0):
                await prefill.until(lambda: "q2" in prefill.received_ids)
                received = b""
                while received.count(b"0\r\n\r\n") < 1 or b"[DONE]" not in received:
                    received += await call.stream.receive_some(4096)
            process.program.send(signal.SIGTERM)
            assert await process.ended_within(3.0)

    trio.run(scenario)


def test_the_age_of_a_pipelined_request_that_arrived_during_a_stop_includes_the_stop() -> None:
    """Guards against counting from the time of reading, which gave the host a deadline that was too long."""

    async def scenario() -> None:
        may_end = trio.Event()
        prefill = RecordingHost("r0", "prefill")
        decode = ModelHost("w0", "decode", Act(events=2, pause=may_end))
        async with dispatcher_process(prefill, decode) as process:
            call = await process.send_request("q1", Req_Deadline="5000m")
            await call.receive(events=1)
            process.program.send(signal.SIGSTOP)
            await trio.sleep(0.1)
            sent_at = trio.current_time()
            await call.stream.send_all(await _request_bytes(process, "q2", Req_Deadline="1800m"))
            await trio.sleep(0.8)
            process.program.send(signal.SIGCONT)
            await trio.sleep(0.5)
            may_end.set()
            with trio.fail_after(3.0):
                await prefill.until(lambda: prefill.received_ids == ["q1", "q2"])
            left_ms = 1800.0 - (trio.current_time() - sent_at) * 1000.0
        assert prefill.deadlines_ms[1] <= left_ms + 150.0

    trio.run(scenario)


def test_a_request_that_arrived_long_after_sigterm_in_the_same_stop_is_rejected() -> None:
    """Guards against forwarding it before the shutdown begins: SIGKILL would cut its stream."""

    async def scenario() -> None:
        may_end = trio.Event()
        decode = ModelHost("w0", "decode", Act(), Act(events=2, pause=may_end))
        async with dispatcher_process(ModelHost("r0", "prefill"), decode) as process:
            call = await process.send_request("q1")
            assert (await call.receive()).outcome == "served"
            process.program.send(signal.SIGSTOP)
            await trio.sleep(0.1)
            process.program.send(signal.SIGTERM)
            await trio.sleep(0.8)
            await call.stream.send_all(await _request_bytes(process, "q2"))
            await trio.sleep(0.1)
            process.program.send(signal.SIGCONT)
            with trio.fail_after(2.0):
                response = await call.stream.receive_some(64)
        assert response.startswith(b"HTTP/1.1 503")
        assert decode.received_ids == ["q1"]

    trio.run(scenario)


def test_the_age_of_a_request_that_arrived_during_a_stop_includes_the_stop_if_the_first_read_fails() -> None:
    """Guards against a repeated read, after a transient error, that no longer takes the stop into account."""
    faults = ProcessFaults()

    def prepare(program: Program) -> None:
        program.preload = {"LD_PRELOAD": str(build_shim()), "SOAK_FAULTS_FD": str(faults.descriptor)}
        program.shared = (faults.descriptor,)

    async def scenario() -> None:
        prefill = RecordingHost("r0", "prefill")
        async with dispatcher_process(prefill, ModelHost("w0", "decode"), prepare=prepare) as process:
            call = await process.send_request("q1", Req_Deadline="5000m")
            assert (await call.receive()).outcome == "served"
            process.program.send(signal.SIGSTOP)
            await trio.sleep(0.1)
            sent_at = trio.current_time()
            await call.stream.send_all(await _request_bytes(process, "q2", Req_Deadline="1400m"))
            await trio.sleep(0.9)
            faults.fail(SystemCall.RECV, errno.ENOMEM, 1)
            process.program.send(signal.SIGCONT)
            await trio.sleep(0.1)
            faults.stop_failing(SystemCall.RECV)
            with trio.fail_after(3.0):
                await prefill.until(lambda: prefill.received_ids == ["q1", "q2"])
            left_ms = 1400.0 - (trio.current_time() - sent_at) * 1000.0
        assert prefill.deadlines_ms[1] <= left_ms + 150.0

    trio.run(scenario)
    faults.close()
