"""Faults that the campaign found, each alone on a real dispatcher process.

The limits are wide: a process that does what it should needs a tenth of them.
"""

from __future__ import annotations

import errno
import signal

import trio

from tests.race_helpers import DispatcherProcess, dispatcher_process
from violetstack.rehearsal.clients import BODY, connect, platform_headers
from violetstack.rehearsal.fleet.fault_shim import ProcessFaults, SystemCall, build_shim
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import SETTINGS

LARGE_DRAIN_GRACE = {"rules": {**SETTINGS["rules"], "stop_sending_within": 1000.0}}


class RecordingHost(ModelHost):
    """Keeps the deadline that each attempt was given, in milliseconds."""

    def __init__(self, name: str, kind: str, *acts: Act) -> None:
        super().__init__(name, kind, *acts)
        self.deadlines_ms: list[int] = []

    async def handle(self, inbound, connection) -> None:  # type: ignore[no-untyped-def]
        if deadline := inbound.headers.get("req-deadline"):
            self.deadlines_ms.append(int(deadline[:-1]))
        await super().handle(inbound, connection)


async def _request_bytes(process: DispatcherProcess, request: str, **more: str) -> bytes:
    rows = [
        ("Host", "app.svc"),
        *platform_headers(request, "consulta", **more),
        ("Content-Length", str(len(BODY))),
    ]
    head = "POST /v1/chat/completions HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in rows)
    return head.encode() + b"\r\n" + BODY


def test_a_stream_goes_on_after_a_stop_that_is_longer_than_its_timeout() -> None:
    """It was never read again, and the process spun."""

    async def story() -> None:
        ended = trio.Event()
        decode = ModelHost("w0", "decode", Act(events=3, pause=ended))
        async with dispatcher_process(ModelHost("r0", "prefill"), decode) as process:
            call = await process.send_request("q1")
            await call.receive(events=1)
            process.program.send(signal.SIGSTOP)
            await trio.sleep(1.0)
            ended.set()
            await trio.sleep(3.7)
            process.program.send(signal.SIGCONT)
            with trio.fail_after(3.0):
                answer = await call.receive()
        assert answer.outcome == "served"

    trio.run(story)


def test_a_request_that_came_during_a_stop_is_answered() -> None:
    """Its connection was closed unread, as the time for a first request was over."""

    async def story() -> None:
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

    trio.run(story)


def test_a_request_whose_rest_came_during_a_stop_is_served() -> None:
    """It was answered 408, although all of it lay in the socket."""

    async def story() -> None:
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
                told = await call.stream.receive_some(64)
        assert told.startswith(b"HTTP/1.1 200")

    trio.run(story)


def test_the_deadline_of_a_request_that_came_during_a_stop_is_what_is_left() -> None:
    """With a drain grace of 1 s no stop of under 1 s counted."""

    async def story() -> None:
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
        assert all(each <= 350 for each in prefill.deadlines_ms + decode.deadlines_ms)

    trio.run(story)


def test_a_request_whose_time_passed_during_a_stop_is_not_forwarded() -> None:
    """It was forwarded as if it had just come."""

    async def story() -> None:
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

    trio.run(story)


def test_a_pipelined_request_is_served_and_the_process_ends() -> None:
    """It was never taken up, and the process did not end after SIGTERM."""

    async def story() -> None:
        begin = trio.Event()
        prefill = ModelHost("r0", "prefill", Act(status=202, before=begin))
        async with dispatcher_process(prefill, ModelHost("w0", "decode")) as process:
            call = await process.send_request("q1")
            await prefill.until(lambda: prefill.received_ids == ["q1"])
            await call.stream.send_all(await _request_bytes(process, "q2"))
            await trio.sleep(0.2)
            begin.set()
            with trio.fail_after(3.0):
                await prefill.until(lambda: "q2" in prefill.received_ids)
                received = b""
                while received.count(b"0\r\n\r\n") < 1 or b"[DONE]" not in received:
                    received += await call.stream.receive_some(4096)
            process.program.send(signal.SIGTERM)
            assert await process.ended_within(3.0)

    trio.run(story)


def test_a_request_that_came_behind_a_stream_during_a_stop_is_as_old_as_it_is_when_its_turn_comes() -> None:
    """It counted from the moment at which it was read: its host was told what had passed before."""

    async def story() -> None:
        ended = trio.Event()
        prefill = RecordingHost("r0", "prefill")
        decode = ModelHost("w0", "decode", Act(events=2, pause=ended))
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
            ended.set()
            with trio.fail_after(3.0):
                await prefill.until(lambda: prefill.received_ids == ["q1", "q2"])
            left_ms = 1800.0 - (trio.current_time() - sent_at) * 1000.0
        assert prefill.deadlines_ms[1] <= left_ms + 150.0

    trio.run(story)


def test_a_request_that_came_long_after_sigterm_in_the_same_stop_is_refused() -> None:
    """It was read and forwarded before the shutdown had begun: its stream would be cut by SIGKILL."""

    async def story() -> None:
        ended = trio.Event()
        decode = ModelHost("w0", "decode", Act(), Act(events=2, pause=ended))
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
                told = await call.stream.receive_some(64)
        assert told.startswith(b"HTTP/1.1 503")
        assert decode.received_ids == ["q1"]

    trio.run(story)


def test_a_request_that_came_during_a_stop_is_as_old_though_the_first_read_after_it_fails() -> None:
    """The read that failed for a moment was made again when the stop no longer showed."""
    faults = ProcessFaults()

    def prepare(program: Program) -> None:
        program.preload = {"LD_PRELOAD": str(build_shim()), "SOAK_FAULTS_FD": str(faults.descriptor)}
        program.shared = (faults.descriptor,)

    async def story() -> None:
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

    trio.run(story)
    faults.close()
