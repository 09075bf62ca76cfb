"""The ledger by itself: owners, leases, retention. Times are handed in."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from violetstack.idempotency.store import Claim, Ledger, LedgerError, Order
from violetstack.lease.liveness import MAX_OWNERS, LivenessMonitor

ORDER = Order("acme", "k1", "body", "digest")
AGAIN = Order("acme", "k2", "body", "digest")


class Clock:
    """Of one machine: a monotonic one that the test moves."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def owners(tmp_path: Path) -> tuple[Ledger, Ledger]:
    a, b, _, _ = clocked(tmp_path)
    return a, b


def clocked(tmp_path: Path) -> tuple[Ledger, Ledger, Clock, Clock]:
    file = tmp_path / "orders.sqlite"
    mine = Clock()
    theirs = Clock()
    return Ledger(file, "a", 100.0, 10.0, mine), Ledger(file, "b", 100.0, 10.0, theirs), mine, theirs


def test_dispatchers_that_share_the_file_see_each_others_orders(tmp_path: Path) -> None:
    a, b = owners(tmp_path)
    assert a.claim(ORDER, 0.0) == (Claim.MINE, b"")
    assert b.claim(AGAIN, 1.0) == (Claim.RUNNING, b"")
    assert a.settle(ORDER, Claim.FINISHED, b"told", 2.0)
    assert b.claim(AGAIN, 3.0) == (Claim.FINISHED, b"told")


@pytest.mark.parametrize("behind", [0.0, -3_600.0, 86_400.0])
def test_an_owner_lives_while_its_mark_changes_whatever_its_clock_is(tmp_path: Path, behind: float) -> None:
    """Unix clocks of two machines were compared: an owner an hour behind was dead to the others."""
    a, b, _, theirs = clocked(tmp_path)
    a.beat(behind)
    a.claim(ORDER, behind)
    for second in range(0, 40, 5):
        theirs.now = float(second)
        a.beat(behind + second / 1000.0)
        b.beat(float(second))
        assert b.claim(AGAIN, float(second)) == (Claim.RUNNING, b"")
    theirs.now += 10.0
    assert b.claim(AGAIN, 0.0) == (Claim.RUNNING, b"")  # its clock may run 1% slow, ours fast
    theirs.now += 0.3
    assert b.claim(AGAIN, 0.0) == (Claim.FAILED, b"")


def test_an_owner_stops_sending_before_anybody_may_call_its_orders_failed(tmp_path: Path) -> None:
    """One that was stopped after its claim sent it once it woke, after another had told that it failed."""
    rng = random.Random(4)
    for round_ in range(12):
        folder = tmp_path / str(round_)
        folder.mkdir()
        a, b, mine, theirs = clocked(folder)
        rate_a = rng.uniform(0.991, 1.009)
        rate_b = rng.uniform(0.991, 1.009)
        at = 0.0
        fell = rng.uniform(1.0, 12.0)
        assert not a.holds()  # nothing is sent before the first mark
        failed = False
        for _ in range(80):
            at += rng.uniform(0.1, 0.6)
            mine.now = at * rate_a
            theirs.now = 500.0 + at * rate_b
            if at < fell:
                a.beat(at)
                a.claim(ORDER, at)
            if rng.random() < 0.5:
                failed = failed or b.claim(AGAIN, at)[0] is Claim.FAILED
            assert not (failed and a.holds())
        assert failed


def test_a_look_that_took_long_is_no_proof_of_silence(tmp_path: Path) -> None:
    monitor = LivenessMonitor(10.0)
    assert not monitor.is_expired(0.0, 6.0, "a", 1)  # read up to 6 s after it was asked for
    assert not monitor.is_expired(11.0, 11.0, "a", 1)
    assert monitor.is_expired(16.3, 16.3, "a", 1) and not monitor.is_expired(16.3, 16.3, "a", 2)
    assert not monitor.is_expired(17.0, 17.0, "b", None) and monitor.is_expired(30.0, 30.0, "b", None)
    for n in range(MAX_OWNERS + 10):
        monitor.is_expired(40.0, 40.0, f"x{n}", 0)
    assert monitor.observed_owners == MAX_OWNERS


def test_an_owner_that_was_given_up_cant_change_the_verdict(tmp_path: Path) -> None:
    """Else a paused dispatcher that wakes could free an order, and it would run again."""
    a, b, _, theirs = clocked(tmp_path)
    a.claim(ORDER, 0.0)
    assert b.claim(AGAIN, 0.0) == (Claim.RUNNING, b"")
    theirs.now = 20.0
    assert b.claim(AGAIN, 20.0) == (Claim.FAILED, b"")
    assert not a.settle(ORDER, None, b"", 21.0)
    assert b.claim(AGAIN, 22.0) == (Claim.FAILED, b"")


def test_an_order_freed_goes_to_one_claimant(tmp_path: Path) -> None:
    a, b = owners(tmp_path)
    a.claim(ORDER, 0.0)
    a.settle(ORDER, None, b"", 1.0)
    assert b.claim(ORDER, 2.0) == (Claim.MINE, b"")
    assert a.claim(ORDER, 3.0) == (Claim.RUNNING, b"")


def test_records_are_kept_for_their_time_and_running_ones_longer(tmp_path: Path) -> None:
    a, _ = owners(tmp_path)
    running = Order("acme", "k3", "other", "running")
    a.claim(ORDER, 0.0)
    a.claim(running, 0.0)
    a.settle(ORDER, Claim.FINISHED, b"told", 1.0)
    a.beat(100.0)
    assert a.claim(ORDER, 100.0) == (Claim.FINISHED, b"told")
    a.beat(102.0)
    assert a.claim(ORDER, 103.0) == (Claim.MINE, b"")
    assert a.claim(running, 103.0) == (Claim.RUNNING, b"")


def test_a_key_stands_for_one_body_and_only_within_its_tenant(tmp_path: Path) -> None:
    a, _ = owners(tmp_path)
    a.claim(ORDER, 0.0)
    assert a.claim(Order("acme", "k1", "other", "else"), 1.0)[0] is Claim.OTHER_BODY
    assert a.claim(Order("else", "k1", "other", "else"), 1.0)[0] is Claim.MINE


def test_a_file_that_cant_be_opened_is_said_so(tmp_path: Path) -> None:
    with pytest.raises(LedgerError):
        Ledger(tmp_path / "missing" / "orders.sqlite", "a", 1.0, 1.0).claim(ORDER, 0.0)
