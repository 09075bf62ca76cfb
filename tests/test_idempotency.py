"""Tests of the idempotency store: owners, leases and retention, with simulated clocks."""

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
from violetstack.lease.liveness import MAX_OBSERVED_OWNERS, LivenessMonitor

REQUEST = KeyedRequest("acme", "k1", "body", "digest")
RETRY = KeyedRequest("acme", "k2", "body", "digest")


class Clock:
    """A simulated monotonic clock of one machine."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class TwoStores(NamedTuple):
    """The stores of two dispatchers that share a file, and their clocks."""

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
    assert a.claim(REQUEST) == (ClaimStatus.ACQUIRED, b"")
    assert b.claim(RETRY) == (ClaimStatus.RUNNING, b"")
    assert a.record_outcome(REQUEST, Outcome.COMPLETED, b"response")
    assert b.claim(RETRY) == (ClaimStatus.COMPLETED, b"response")


@pytest.mark.parametrize("offset_s", [0.0, -3_600.0, 86_400.0])
def test_owner_is_alive_while_its_heartbeat_changes_whatever_its_clock_shows(
    tmp_path: Path, offset_s: float
) -> None:
    """Clocks of two machines are not compared, and the heartbeat changes even if a clock hardly advances."""
    a, b, clock_a, clock_b = two_stores(tmp_path)
    clock_a.now = offset_s
    a.renew_lease()
    a.claim(REQUEST)
    for second in range(0, 40, 5):
        clock_b.now = float(second)
        clock_a.now = offset_s + second / 1000.0
        a.renew_lease()
        b.renew_lease()
        assert b.claim(RETRY) == (ClaimStatus.RUNNING, b"")
    clock_b.now += 10.0
    assert b.claim(RETRY) == (ClaimStatus.RUNNING, b"")  # within the margin for clock drift of 1%
    clock_b.now += 0.3
    assert b.claim(RETRY) == (ClaimStatus.FAILED, b"")


def test_lease_ends_for_its_owner_before_another_owner_declares_its_requests_failed(tmp_path: Path) -> None:
    """Otherwise a paused process could send a request that another process has declared failed."""
    rng = random.Random(4)
    for case in range(12):
        folder = tmp_path / str(case)
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
                a.renew_lease()
                a.claim(REQUEST)
            if rng.random() < 0.5:
                failed = failed or b.claim(RETRY)[0] is ClaimStatus.FAILED
            assert not (failed and a.holds_lease())
        assert failed


def test_slow_read_of_a_heartbeat_does_not_make_the_owner_expire() -> None:
    monitor = LivenessMonitor(10.0)
    assert not monitor.is_expired(0.0, 6.0, "a", 1)  # the read took 6 s
    assert not monitor.is_expired(11.0, 11.0, "a", 1)
    assert monitor.is_expired(16.3, 16.3, "a", 1)
    assert not monitor.is_expired(16.3, 16.3, "a", 2)
    assert not monitor.is_expired(17.0, 17.0, "b", None)
    assert monitor.is_expired(30.0, 30.0, "b", None)
    for n in range(MAX_OBSERVED_OWNERS + 10):
        monitor.is_expired(40.0, 40.0, f"x{n}", 0)
    assert monitor.observed_owners == MAX_OBSERVED_OWNERS


def test_owner_that_lost_its_lease_cannot_change_a_record(tmp_path: Path) -> None:
    """Otherwise a paused dispatcher could release a request, which would then be executed again."""
    a, b, _, clock_b = two_stores(tmp_path)
    a.claim(REQUEST)
    assert b.claim(RETRY) == (ClaimStatus.RUNNING, b"")
    clock_b.now = 20.0
    assert b.claim(RETRY) == (ClaimStatus.FAILED, b"")
    assert not a.record_outcome(REQUEST, Outcome.RELEASED, b"")
    assert b.claim(RETRY) == (ClaimStatus.FAILED, b"")


def test_released_request_can_be_claimed_by_one_owner(tmp_path: Path) -> None:
    a, b, _, _ = two_stores(tmp_path)
    a.claim(REQUEST)
    a.record_outcome(REQUEST, Outcome.RELEASED, b"")
    assert b.claim(REQUEST) == (ClaimStatus.ACQUIRED, b"")
    assert a.claim(REQUEST) == (ClaimStatus.RUNNING, b"")


def test_finished_records_are_deleted_after_the_retention_and_running_ones_are_kept(tmp_path: Path) -> None:
    a, _, clock, _ = two_stores(tmp_path)
    running = KeyedRequest("acme", "k3", "other", "running")
    a.claim(REQUEST)
    a.claim(running)
    clock.now = 1.0
    a.record_outcome(REQUEST, Outcome.COMPLETED, b"response")
    clock.now = 100.0
    a.renew_lease()
    assert a.claim(REQUEST) == (ClaimStatus.COMPLETED, b"response")
    clock.now = 102.0
    a.renew_lease()
    assert a.claim(REQUEST) == (ClaimStatus.ACQUIRED, b"")
    assert a.claim(running) == (ClaimStatus.RUNNING, b"")


def test_retention_is_measured_across_restarts_and_time_is_not_counted_twice(tmp_path: Path) -> None:
    """Two processes run at the same time; a third one starts after both have ended."""
    a, b, clock_a, clock_b = two_stores(tmp_path)
    a.claim(REQUEST)
    a.record_outcome(REQUEST, Outcome.COMPLETED, b"response")
    for second in range(0, 61, 5):
        clock_a.now = float(second)
        clock_b.now = 5_000.0 + second
        a.renew_lease()
        b.renew_lease()
    assert b.claim(RETRY) == (ClaimStatus.COMPLETED, b"response")
    clock_c = Clock()
    c = IdempotencyStore(tmp_path / "orders.sqlite", "c", 100.0, 10.0, clock_c)
    c.renew_lease()
    clock_c.now = 39.0
    c.renew_lease()
    assert c.claim(RETRY) == (ClaimStatus.COMPLETED, b"response")
    clock_c.now = 42.0
    c.renew_lease()
    assert c.claim(RETRY) == (ClaimStatus.ACQUIRED, b"")


def test_key_can_be_used_with_one_body_only_within_a_tenant(tmp_path: Path) -> None:
    a = two_stores(tmp_path).a
    a.claim(REQUEST)
    assert a.claim(KeyedRequest("acme", "k1", "other", "else"))[0] is ClaimStatus.KEY_REUSED
    assert a.claim(KeyedRequest("else", "k1", "other", "else"))[0] is ClaimStatus.ACQUIRED


def test_claim_raises_if_the_file_cannot_be_opened(tmp_path: Path) -> None:
    with pytest.raises(IdempotencyStoreError):
        IdempotencyStore(tmp_path / "missing" / "orders.sqlite", "a", 1.0, 1.0).claim(REQUEST)
