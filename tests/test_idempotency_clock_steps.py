"""Records of non-idempotent requests outlive steps of the wall clock, in one process and across restarts."""

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
RENEWALS_S = 0.25
"""Long enough for several renewals of the lease, which delete expired records."""


async def serve(path: Path, story: Callable[[IdempotencyService], Awaitable[None]]) -> None:
    """The life of one process: its store on `path`, until the story's end."""
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
    await trio.sleep(RENEWALS_S)
    assert await service.claim(REQUEST) == (ClaimStatus.COMPLETED, b"response")


def step_wall_clock(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    true_time = time.time
    monkeypatch.setattr(time, "time", lambda: true_time() + seconds)


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S], ids=["forward", "back"])
def test_a_completed_request_stays_recorded_over_a_step_of_the_wall_clock(
    step_s: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a step forward, the next heartbeat deleted the record, and a retry ran the request again."""

    async def story(service: IdempotencyService) -> None:
        await complete(service)
        await trio.sleep(RENEWALS_S)
        step_wall_clock(monkeypatch, step_s)
        await expect_completed(service)

    trio.run(serve, tmp_path / "orders.sqlite", story)


@pytest.mark.parametrize("step_s", [STEP_S, -STEP_S], ids=["forward", "back"])
def test_a_completed_request_stays_recorded_if_the_clock_steps_between_two_processes(
    step_s: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    trio.run(serve, tmp_path / "orders.sqlite", complete)
    step_wall_clock(monkeypatch, step_s)
    trio.run(serve, tmp_path / "orders.sqlite", expect_completed)
