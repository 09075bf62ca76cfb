"""Tests that idempotency records survive steps of the wall clock, within a process and across restarts."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

from violetstack.idempotency.service import IdempotencyService
from violetstack.idempotency.store import ClaimStatus, IdempotencyStore, KeyedRequest, Outcome

REQUEST = KeyedRequest("acme", "k1", "body", "digest")
RETENTION_S = 600.0
LEASE_S = 0.2
STEP_S = 3_600.0
SEVERAL_RENEWALS_S = 0.25
"""Time for several lease renewals, which also delete expired records."""


async def serve(path: Path, story: Callable[[IdempotencyService], Awaitable[None]]) -> None:
    """Runs a store on `path` as one process does, until the story has ended."""
    store = IdempotencyStore(path, f"owner {time.monotonic()}", RETENTION_S, LEASE_S)
    service = IdempotencyService(store, LEASE_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.run)
        await story(service)
        while service.pending_calls:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    store.close()


async def complete(service: IdempotencyService) -> None:
    claimed = await service.claim(REQUEST)
    assert claimed.status is ClaimStatus.ACQUIRED
    service.record_outcome(REQUEST, Outcome.COMPLETED, b"response")


async def expect_completed(service: IdempotencyService) -> None:
    await trio.sleep(SEVERAL_RENEWALS_S)
    assert await service.claim(REQUEST) == (ClaimStatus.COMPLETED, b"response")


def step_wall_clock(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    original_time = time.time
    monkeypatch.setattr(time, "time", lambda: original_time() + seconds)


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S], ids=["forward", "back"])
def test_completed_request_stays_recorded_after_a_step_of_the_wall_clock(
    step_s: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a heartbeat that deletes the record after a step forward, so a retry is executed."""

    async def story(service: IdempotencyService) -> None:
        await complete(service)
        await trio.sleep(SEVERAL_RENEWALS_S)
        step_wall_clock(monkeypatch, step_s)
        await expect_completed(service)

    trio.run(serve, tmp_path / "orders.sqlite", story)


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S], ids=["forward", "back"])
def test_completed_request_stays_recorded_if_the_clock_steps_between_two_processes(
    step_s: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    trio.run(serve, tmp_path / "orders.sqlite", complete)
    step_wall_clock(monkeypatch, step_s)
    trio.run(serve, tmp_path / "orders.sqlite", expect_completed)
