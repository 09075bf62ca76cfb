"""The idempotency store: owners, leases and retention, with times that the tests set."""

from __future__ import annotations

import random
from pathlib import Path
from typing import NamedTuple

import pytest

from violetstack.idempotency.store import (
    ClaimStatus,
    IdempotencyStore,
    IdempotencyStoreError,
    KeyedRequest,
    Outcome,
)
from violetstack.lease.liveness import MAX_OWNERS, LivenessMonitor

REQUEST = KeyedRequest("acme", "k1", "body", "digest")
RETRY = KeyedRequest("acme", "k2", "body", "digest")


class Clock:
    """The monotonic clock of one machine."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class TwoStores(NamedTuple):
    """Two dispatchers that share a file, and the clock of each."""

    a: IdempotencyStore
    b: IdempotencyStore
    clock_a: Clock
    clock_b: Clock


def two_stores(tmp_path: Path) -> TwoStores:
    path = tmp_path / "orders.sqlite"
    clock_a = Clock()
    clock_b = Clock()
    return TwoStores(
        IdempotencyStore(path, "a", retention_s=100.0, lease_s=10.0, monotonic=clock_a),
        IdempotencyStore(path, "b", retention_s=100.0, lease_s=10.0, monotonic=clock_b),
        clock_a,
        clock_b,
    )


def test_dispatchers_that_share_the_file_see_each_others_records(tmp_path: Path) -> None:
    a, b, _, _ = two_stores(tmp_path)
    assert a.claim(REQUEST, 0.0) == (ClaimStatus.ACQUIRED, b"")
    assert b.claim(RETRY, 1.0) == (ClaimStatus.RUNNING, b"")
    assert a.record_outcome(REQUEST, Outcome.COMPLETED, b"response", 2.0)
    assert b.claim(RETRY, 3.0) == (ClaimStatus.COMPLETED, b"response")


@pytest.mark.parametrize("behind", [0.0, -3_600.0, 86_400.0])
def test_an_owner_is_alive_while_its_heartbeat_changes_whatever_its_clock_shows(
    tmp_path: Path, behind: float
) -> None:
    """Unix clocks of two machines are not compared."""
    a, b, _, clock_b = two_stores(tmp_path)
    a.renew_lease(behind)
    a.claim(REQUEST, behind)
    for second in range(0, 40, 5):
        clock_b.now = float(second)
        a.renew_lease(behind + second / 1000.0)
        b.renew_lease(float(second))
        assert b.claim(RETRY, float(second)) == (ClaimStatus.RUNNING, b"")
    clock_b.now += 10.0
    assert b.claim(RETRY, 0.0) == (ClaimStatus.RUNNING, b"")  # the margin for clocks that drift by 1%
    clock_b.now += 0.3
    assert b.claim(RETRY, 0.0) == (ClaimStatus.FAILED, b"")


def test_a_lease_ends_at_its_holder_before_another_declares_its_requests_failed(tmp_path: Path) -> None:
    """Otherwise a process that was paused would send a request that another has declared failed."""
    rng = random.Random(4)
    for round_ in range(12):
        folder = tmp_path / str(round_)
        folder.mkdir()
        a, b, clock_a, clock_b = two_stores(folder)
        rate_a = rng.uniform(0.991, 1.009)
        rate_b = rng.uniform(0.991, 1.009)
        at = 0.0
        paused_at = rng.uniform(1.0, 12.0)
        assert not a.holds_lease()  # before the first heartbeat
        failed = False
        for _ in range(80):
            at += rng.uniform(0.1, 0.6)
            clock_a.now = at * rate_a
            clock_b.now = 500.0 + at * rate_b
            if at < paused_at:
                a.renew_lease(at)
                a.claim(REQUEST, at)
            if rng.random() < 0.5:
                failed = failed or b.claim(RETRY, at)[0] is ClaimStatus.FAILED
            assert not (failed and a.holds_lease())
        assert failed


def test_a_slow_read_of_a_heartbeat_is_no_proof_of_silence() -> None:
    monitor = LivenessMonitor(10.0)
    assert not monitor.is_expired(0.0, 6.0, "a", 1)  # read up to 6 s after it was asked for
    assert not monitor.is_expired(11.0, 11.0, "a", 1)
    assert monitor.is_expired(16.3, 16.3, "a", 1)
    assert not monitor.is_expired(16.3, 16.3, "a", 2)
    assert not monitor.is_expired(17.0, 17.0, "b", None)
    assert monitor.is_expired(30.0, 30.0, "b", None)
    for n in range(MAX_OWNERS + 10):
        monitor.is_expired(40.0, 40.0, f"x{n}", 0)
    assert monitor.observed_owners == MAX_OWNERS


def test_an_owner_that_lost_its_lease_cannot_change_a_record(tmp_path: Path) -> None:
    """Otherwise a dispatcher that was paused could release a request, and it would run again."""
    a, b, _, clock_b = two_stores(tmp_path)
    a.claim(REQUEST, 0.0)
    assert b.claim(RETRY, 0.0) == (ClaimStatus.RUNNING, b"")
    clock_b.now = 20.0
    assert b.claim(RETRY, 20.0) == (ClaimStatus.FAILED, b"")
    assert not a.record_outcome(REQUEST, Outcome.RELEASED, b"", 21.0)
    assert b.claim(RETRY, 22.0) == (ClaimStatus.FAILED, b"")


def test_a_released_request_can_be_claimed_once(tmp_path: Path) -> None:
    a, b, _, _ = two_stores(tmp_path)
    a.claim(REQUEST, 0.0)
    a.record_outcome(REQUEST, Outcome.RELEASED, b"", 1.0)
    assert b.claim(REQUEST, 2.0) == (ClaimStatus.ACQUIRED, b"")
    assert a.claim(REQUEST, 3.0) == (ClaimStatus.RUNNING, b"")


def test_ended_records_are_deleted_after_the_retention_and_running_ones_are_kept(tmp_path: Path) -> None:
    a = two_stores(tmp_path).a
    running = KeyedRequest("acme", "k3", "other", "running")
    a.claim(REQUEST, 0.0)
    a.claim(running, 0.0)
    a.record_outcome(REQUEST, Outcome.COMPLETED, b"response", 1.0)
    a.renew_lease(100.0)
    assert a.claim(REQUEST, 100.0) == (ClaimStatus.COMPLETED, b"response")
    a.renew_lease(102.0)
    assert a.claim(REQUEST, 103.0) == (ClaimStatus.ACQUIRED, b"")
    assert a.claim(running, 103.0) == (ClaimStatus.RUNNING, b"")


def test_a_key_belongs_to_one_body_within_its_tenant(tmp_path: Path) -> None:
    a = two_stores(tmp_path).a
    a.claim(REQUEST, 0.0)
    assert a.claim(KeyedRequest("acme", "k1", "other", "else"), 1.0)[0] is ClaimStatus.KEY_REUSED
    assert a.claim(KeyedRequest("else", "k1", "other", "else"), 1.0)[0] is ClaimStatus.ACQUIRED


def test_a_file_that_cannot_be_opened_raises(tmp_path: Path) -> None:
    with pytest.raises(IdempotencyStoreError):
        IdempotencyStore(tmp_path / "missing" / "orders.sqlite", "a", 1.0, 1.0).claim(REQUEST, 0.0)
