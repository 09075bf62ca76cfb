"""Tests of temporary disk failures: requests are still answered, and their outcomes are recorded later."""

from __future__ import annotations

import threading
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

from violetstack.idempotency import service as service_module
from violetstack.idempotency.service import IdempotencyService
from violetstack.idempotency.store import (
    ClaimResult,
    ClaimStatus,
    IdempotencyStore,
    IdempotencyStoreError,
    KeyedRequest,
    Outcome,
)

REQUEST = KeyedRequest("acme", "k1", "body", "digest")
OTHER = KeyedRequest("acme", "k2", "body", "other")
LEASE_S = 100.0
TEST_TIMEOUT_S = 2.0


class FaultyStore(IdempotencyStore):
    """A store whose disk is full while `disk_full` is set; claims wait until `unlocked` is set."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "a", 600.0, LEASE_S)
        self.disk_full = False
        self.unlocked = threading.Event()
        self.unlocked.set()

    def claim(self, request: KeyedRequest) -> ClaimResult:
        self.unlocked.wait()
        return super().claim(request)

    def record_outcome(self, request: KeyedRequest, outcome: Outcome, response: bytes) -> bool:
        if self.disk_full:
            raise IdempotencyStoreError("database or disk is full")
        return super().record_outcome(request, outcome, response)


Story = Callable[[IdempotencyService, FaultyStore], Awaitable[None]]


@pytest.fixture
def play(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[Story], None]:
    monkeypatch.setattr(service_module, "RETRY_DELAY_S", 0.02)

    async def main(story: Story) -> None:
        store = FaultyStore(tmp_path / "orders.sqlite")
        service = IdempotencyService(store, LEASE_S)
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(service.run)
                try:
                    await story(service, store)
                finally:
                    store.unlocked.set()
                    store.disk_full = False
                while service.pending_calls:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        store.close()

    return lambda story: trio.run(main, story)


def test_outcome_that_cannot_be_recorded_does_not_block_other_requests(play: Callable[[Story], None]) -> None:
    """Guards against retries that block the store's only thread and so all claims until the disk has room."""

    async def story(service: IdempotencyService, store: FaultyStore) -> None:
        assert (await service.claim(REQUEST, TEST_TIMEOUT_S)).status is ClaimStatus.ACQUIRED
        store.disk_full = True
        service.record_outcome(REQUEST, Outcome.COMPLETED, b"response")
        assert (await service.claim(OTHER, TEST_TIMEOUT_S)).status is ClaimStatus.ACQUIRED
        assert (await service.claim(REQUEST, TEST_TIMEOUT_S)).status is ClaimStatus.RUNNING
        assert service.pending_calls  # the shutdown waits for the outcome
        store.disk_full = False
        while service.pending_calls:
            await trio.sleep(0.01)
        assert await service.claim(REQUEST, TEST_TIMEOUT_S) == (ClaimStatus.COMPLETED, b"response")

    play(story)


def test_claim_times_out_and_is_released_if_it_is_committed_later(
    play: Callable[[Story], None],
) -> None:
    """Guards against a client that waits for a locked file beyond its deadline.

    Without the release, its retry would find the request running.
    """

    async def story(service: IdempotencyService, store: FaultyStore) -> None:
        store.unlocked.clear()
        with pytest.raises(IdempotencyStoreError):
            await service.claim(REQUEST, 0.1)
        store.unlocked.set()
        while service.pending_calls:
            await trio.sleep(0.01)
        assert (await service.claim(REQUEST, TEST_TIMEOUT_S)).status is ClaimStatus.ACQUIRED

    play(story)


def test_unexpected_error_does_not_end_the_service(
    play: Callable[[Story], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a shutdown that waits forever for the failed call."""

    async def story(service: IdempotencyService, store: FaultyStore) -> None:
        def fail(*_: object) -> bool:
            raise OSError("input/output error")

        monkeypatch.setattr(store, "claim", fail)
        with pytest.raises(IdempotencyStoreError):
            await service.claim(REQUEST, TEST_TIMEOUT_S)
        while service.pending_calls:
            await trio.sleep(0.01)
        monkeypatch.undo()
        assert (await service.claim(REQUEST, TEST_TIMEOUT_S)).status is ClaimStatus.ACQUIRED

    play(story)
