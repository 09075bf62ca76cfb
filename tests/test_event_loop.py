"""The event loop tells which events took the time when a run of the core was long."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from tests.test_stories import pair, play
from violetstack.daemon.event_loop import SLOW_RUN_MS
from violetstack.policy_api import EndpointUpdate, Request, UpdateScope
from violetstack.rehearsal.clients import ask_platform
from violetstack.rehearsal.stage import Stage


def slow_runs(output: str) -> list[dict[str, Any]]:
    lines = [json.loads(line) for line in output.splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == "event_loop_slow"]


def use_processor(cpu_ms: float) -> None:
    until_s = time.thread_time() + cpu_ms / 1000.0
    while time.thread_time() < until_s:
        pass


@pytest.mark.parametrize("kind", [Request, EndpointUpdate])
def test_a_long_run_is_logged_with_the_events_that_it_handled(
    kind: type[Request | EndpointUpdate], capfd: pytest.CaptureFixture[str]
) -> None:
    # Guards against a process that stands still without a sign of what it does: updates or requests.
    async def story(on: Stage) -> None:
        core = on.daemon.core
        run = core.run
        delayed: list[bool] = []

        def run_slowly(now: float) -> None:
            if not delayed and any(isinstance(event, kind) for event in core.pending_events):
                delayed.append(True)
                use_processor(SLOW_RUN_MS)
            run(now)

        core.run = run_slowly  # type: ignore[method-assign]
        if kind is EndpointUpdate:
            entries = tuple(core.endpoints.values())
            on.daemon.publish(EndpointUpdate(UpdateScope.DELTA, entries, 2), {})
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"
        assert delayed

    play(*pair(), story=story)
    lines = slow_runs(capfd.readouterr().out)
    field = "requests" if kind is Request else "endpoint_updates"
    line = next(line for line in lines if line[field])
    assert line["cpu_ms"] >= SLOW_RUN_MS
    assert line["listed_endpoints"] == 2
    assert line["updated_endpoints"] == 2 * line["endpoint_updates"]
