"""Connections survive sends and reads that fail temporarily, for example for lack of memory."""

from __future__ import annotations

import errno
import os
import signal
import socket
from collections.abc import Callable
from typing import Any

import pytest
import trio

from tests.test_stories import pair, play
from violetstack.rehearsal.clients import ask_platform
from violetstack.rehearsal.fleet.dispatcher_process import dispatcher_process
from violetstack.rehearsal.fleet.fault_shim import ProcessFaults, SystemCall, build_shim
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import Stage

PERIOD = 3
REQUESTS = 8


def fail_periodically(call: Callable[..., Any], error_number: int) -> Callable[..., Any]:
    """Returns a wrapper of `call` that fails every third time with this error number."""
    call_count = 0

    async def failing(*arguments: Any) -> Any:
        nonlocal call_count
        call_count += 1
        if call_count % PERIOD == 0:
            raise OSError(error_number, os.strerror(error_number))
        return await call(*arguments)

    return failing


def only_for_accepted_sockets(
    call: Callable[..., Any], failing: Callable[..., Any], ports: set[int]
) -> Callable[..., Any]:
    """Uses `failing` for sockets accepted at these ports, and `call` for all others of this process."""

    async def choose(sock: trio.socket.SocketType, *arguments: Any) -> Any:
        accepted = sock.fileno() >= 0 and sock.getsockname()[1] in ports
        return await (failing if accepted else call)(sock, *arguments)

    return choose


@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("name", ["send", "recv"])
def test_a_client_connection_survives_a_transient_error(
    name: str, error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: the connection was treated as broken, and its request was lost."""

    async def story(on: Stage) -> None:
        sockets = type(trio.socket.from_stdlib_socket(socket.socket()))
        call = getattr(sockets, name)
        failing = fail_periodically(call, error_number)
        monkeypatch.setattr(sockets, name, only_for_accepted_sockets(call, failing, {on.platform[1]}))
        answers = [await ask_platform(on.platform, f"q{n}", "consulta") for n in range(REQUESTS)]
        assert [answer.outcome for answer in answers] == ["served"] * REQUESTS

    play(*pair(*[Act()] * REQUESTS), story=story)


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_does_not_end_the_process_while_recv_lacks_memory(signal_number: signal.Signals) -> None:
    """Regression: the loop's wake-up socket could not be read, which ended the process with its requests."""
    faults = ProcessFaults()
    gate = trio.Event()

    def prepare(program: Program) -> None:
        program.preload = {"LD_PRELOAD": str(build_shim()), "SOAK_FAULTS_FD": str(faults.descriptor)}
        program.shared = (faults.descriptor,)

    async def main() -> None:
        prefill = ModelHost("r", "prefill", Act(before=gate))
        async with dispatcher_process(prefill, ModelHost("w", "decode"), prepare=prepare) as dispatcher:
            call = await dispatcher.send_request("q1")
            await prefill.until(lambda: prefill.received_ids == ["q1"])
            faults.fail(SystemCall.RECV, errno.ENOMEM, 1)
            dispatcher.program.send(signal_number)
            await trio.sleep(0.2)
            faults.stop_failing(SystemCall.RECV)
            gate.set()
            with trio.fail_after(5.0):
                assert (await call.receive()).outcome == "served"

    trio.run(main)
    faults.close()
