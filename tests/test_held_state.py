"""What is held for a request is released in time while a host begins nothing (incident of 2026-12-02).

Real processes by the deploy file's `run`, real sockets.
"""

from __future__ import annotations

from typing import Any

import pytest
import trio

from tests.crossings import DispatcherProcess, dispatcher_process
from tests.frozen_hosts import FreezingHost, Reservation, held_s
from tests.test_shutdown_streams import run_within
from violetstack.rehearsal.stage import SETTINGS

RETENTION_S = 0.3
LIMIT_S = RETENTION_S + 0.35
"""The rule allows 50 ms more on every limit, and 300 ms more on this one."""


def settings(retention_s: float = RETENTION_S, **limits: Any) -> dict[str, Any]:
    """The plain settings with another retention time, and other limits."""
    return {
        "family_info": {**SETTINGS["family_info"], "release": retention_s * 1000.0},
        "limits": {**SETTINGS["limits"], **limits},
    }


@pytest.mark.parametrize("answer", [Reservation.UNCERTAIN, Reservation.NO_ANSWER])
@pytest.mark.parametrize("kind", ["consulta", "orden"])
def test_a_slot_is_released_while_the_prefill_host_begins_nothing(kind: str, answer: Reservation) -> None:
    """The slot stayed until the prefill attempt's time-out, which grows with the class's objective."""
    prefill = FreezingHost("r", "prefill")
    decode = FreezingHost("w", "decode")
    decode.on_reservation = lambda _: answer
    prefill.freeze()

    async def play(dispatcher: DispatcherProcess) -> None:
        call = await dispatcher.send_request("q1", kind)
        await decode.until(lambda: ("POST", "q1") in decode.calls)
        with trio.move_on_after(3.0):
            await decode.until(lambda: ("DELETE", "q1") in decode.calls)
        await call.stream.aclose()

    async def main() -> None:
        async with dispatcher_process(prefill, decode, settings=settings()) as dispatcher:
            await play(dispatcher)
        assert held_s([decode], "q1") <= LIMIT_S

    run_within(main)
