"""Starts of hosts, where discovery's wall clock and this process's were stepped apart."""

from __future__ import annotations

from tests.router_harness import SETTINGS, make_endpoint
from violetstack.estimation.slow_start import capacity_fraction
from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from violetstack.recovery.start_times import MAX_RESTART_NOTICE_MS, StartTimes

NOW = 1_700_000_000_000.0
HOUR_MS = 3_600_000.0


def told(starts: StartTimes, now: float, *entries: Endpoint, complete: bool = False) -> list[float | None]:
    scope = UpdateScope.SNAPSHOT if complete else UpdateScope.DELTA
    return [each.started_ms for each in starts.translate(now, EndpointUpdate(scope, entries, 1)).endpoints]


def test_starts_stay_as_they_are_told_where_the_clocks_agree() -> None:
    starts = StartTimes()
    first = make_endpoint("a", 0, started_ms=NOW - 3_000.0)
    assert told(starts, NOW, first, make_endpoint("b", 0), complete=True) == [NOW - 3_000.0, None]
    restarted = make_endpoint("a", 0, started_ms=NOW + 9_000.0)
    assert told(starts, NOW + 12_000.0, restarted) == [NOW + 9_000.0]


def test_a_start_in_the_future_took_place_by_now_and_stays_there() -> None:
    """The host had the least share of its capacity for an hour."""
    starts = StartTimes()
    ahead = make_endpoint("a", 0, started_ms=NOW + HOUR_MS)
    assert told(starts, NOW, ahead, complete=True) == [NOW]
    assert told(starts, NOW + 20_000.0, ahead) == [NOW]
    assert capacity_fraction(NOW, SETTINGS, NOW + SETTINGS.slow_start_ms) == 1.0


def test_a_restart_that_is_dated_long_ago_took_place_a_moment_ago() -> None:
    """The cold host counted as warm: the sum of all dispatchers' requests pushed it over."""
    starts = StartTimes()
    told(starts, NOW, make_endpoint("a", 0, started_ms=NOW - 2.0 * HOUR_MS), complete=True)
    restarted = make_endpoint("a", 0, started_ms=NOW - HOUR_MS)
    assert told(starts, NOW + 500.0, restarted) == [NOW + 500.0 - MAX_RESTART_NOTICE_MS]
    assert told(starts, NOW + 5_000.0, restarted, complete=True) == [NOW + 500.0 - MAX_RESTART_NOTICE_MS]


def test_a_removed_host_is_forgotten() -> None:
    starts = StartTimes()
    told(starts, NOW, make_endpoint("a", 0, started_ms=NOW), complete=True)
    told(starts, NOW, make_endpoint("a", 0, started_ms=NOW, state=EndpointState.REMOVED))
    assert told(starts, NOW + 1.0, make_endpoint("a", 0, started_ms=NOW - HOUR_MS)) == [NOW - HOUR_MS]
    told(starts, NOW + 2.0, make_endpoint("b", 0), complete=True)
    assert told(starts, NOW + 3.0, make_endpoint("a", 0, started_ms=NOW - 2.0)) == [NOW - 2.0]
