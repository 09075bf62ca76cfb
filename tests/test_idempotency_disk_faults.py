"""The disk of the idempotency records fails for a while: requests are answered, outcomes recorded later."""

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
BOUND_S = 2.0


class FaultyStore(IdempotencyStore):
    """A store whose disk is full while `full` is set, and whose claims wait while `unlocked` is not."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "a", 600.0, LEASE_S)
        self.full = False
        self.unlocked = threading.Event()
        self.unlocked.set()

    def claim(self, request: KeyedRequest) -> ClaimResult:
        self.unlocked.wait()
        return super().claim(request)

    def record_outcome(self, request: KeyedRequest, outcome: Outcome, response: bytes) -> bool:
        if self.full:
            raise IdempotencyStoreError("database or disk is full")
        return super().record_outcome(request, outcome, response)


Story = Callable[[IdempotencyService, FaultyStore], Awaitable[None]]


@pytest.fixture
def play(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[Story], None]:
    monkeypatch.setattr(service_module, "RETRY_DELAY_S", 0.02)

    async def main(story: Story) -> None:
        store = FaultyStore(tmp_path / "orders.sqlite")
        service = IdempotencyService(store, LEASE_S)
        with trio.fail_after(BOUND_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(service.run)
                try:
                    await story(service, store)
                finally:
                    store.unlocked.set()
                    store.full = False
                while service.pending_calls:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        store.close()

    return lambda story: trio.run(main, story)


def test_an_outcome_that_can_not_be_recorded_holds_up_no_other_request(play: Callable[[Story], None]) -> None:
    """Its retries held the store's one thread: no other claim was answered before the disk had room."""

    async def story(service: IdempotencyService, store: FaultyStore) -> None:
        assert (await service.claim(REQUEST, BOUND_S)).status is ClaimStatus.ACQUIRED
        store.full = True
        service.record_outcome(REQUEST, Outcome.COMPLETED, b"response")
        assert (await service.claim(OTHER, BOUND_S)).status is ClaimStatus.ACQUIRED
        assert (await service.claim(REQUEST, BOUND_S)).status is ClaimStatus.RUNNING
        assert service.pending_calls  # a shutdown waits for the outcome
        store.full = False
        while service.pending_calls:
            await trio.sleep(0.01)
        assert await service.claim(REQUEST, BOUND_S) == (ClaimStatus.COMPLETED, b"response")

    play(story)


def test_a_claim_is_given_up_in_time_and_released_if_it_was_committed_after_that(
    play: Callable[[Story], None],
) -> None:
    """Behind a locked file a client waited for longer than it had; its retry would find a running request."""

    async def story(service: IdempotencyService, store: FaultyStore) -> None:
        store.unlocked.clear()
        with pytest.raises(IdempotencyStoreError):
            await service.claim(REQUEST, 0.1)
        store.unlocked.set()
        while service.pending_calls:
            await trio.sleep(0.01)
        assert (await service.claim(REQUEST, BOUND_S)).status is ClaimStatus.ACQUIRED

    play(story)


def test_an_unexpected_error_ends_no_service(
    play: Callable[[Story], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The shutdown waited for ever for the call that had ended."""

    async def story(service: IdempotencyService, store: FaultyStore) -> None:
        def fail(*_: object) -> bool:
            raise OSError("input/output error")

        monkeypatch.setattr(store, "claim", fail)
        with pytest.raises(IdempotencyStoreError):
            await service.claim(REQUEST, BOUND_S)
        while service.pending_calls:
            await trio.sleep(0.01)
        monkeypatch.undo()
        assert (await service.claim(REQUEST, BOUND_S)).status is ClaimStatus.ACQUIRED

    play(story)
