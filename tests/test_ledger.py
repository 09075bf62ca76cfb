"""The ledger by itself: owners, leases, retention. Times are handed in."""

from __future__ import annotations

from pathlib import Path

import pytest

from violetstack.ledger import Claim, Ledger, LedgerError, Order

ORDER = Order("acme", "k1", "body", "digest")
AGAIN = Order("acme", "k2", "body", "digest")


def owners(tmp_path: Path) -> tuple[Ledger, Ledger]:
    file = tmp_path / "orders.sqlite"
    return Ledger(file, "a", 100.0, 10.0), Ledger(file, "b", 100.0, 10.0)


def test_dispatchers_that_share_the_file_see_each_others_orders(tmp_path: Path) -> None:
    a, b = owners(tmp_path)
    assert a.claim(ORDER, 0.0) == (Claim.MINE, b"")
    assert b.claim(AGAIN, 1.0) == (Claim.RUNNING, b"")
    assert a.settle(ORDER, Claim.FINISHED, b"told", 2.0)
    assert b.claim(AGAIN, 3.0) == (Claim.FINISHED, b"told")


def test_a_running_order_outlasts_its_lease_only_while_its_owner_beats(tmp_path: Path) -> None:
    a, b = owners(tmp_path)
    a.claim(ORDER, 0.0)
    a.beat(8.0)
    assert b.claim(AGAIN, 17.0) == (Claim.RUNNING, b"")
    assert b.claim(AGAIN, 19.0) == (Claim.FAILED, b"")


def test_an_owner_that_was_given_up_cant_change_the_verdict(tmp_path: Path) -> None:
    """Else a paused dispatcher that wakes could free an order, and it would run again."""
    a, b = owners(tmp_path)
    a.claim(ORDER, 0.0)
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
