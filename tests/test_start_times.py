"""Start times of hosts if the clocks of service discovery and of this process differ after a step."""

from __future__ import annotations

from tests.router_harness import SETTINGS, make_endpoint
from violetstack.estimation.slow_start import capacity_fraction
from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from violetstack.recovery.start_times import MAX_RESTART_NOTICE_MS, StartTimes

NOW = 1_700_000_000_000.0
HOUR_MS = 3_600_000.0


def translated_starts(
    starts: StartTimes, now: float, *entries: Endpoint, complete: bool = False
) -> list[float | None]:
    scope = UpdateScope.SNAPSHOT if complete else UpdateScope.DELTA
    return [
        endpoint.started_ms for endpoint in starts.translate(now, EndpointUpdate(scope, entries, 1)).endpoints
    ]


def test_start_times_are_unchanged_if_the_clocks_agree() -> None:
    starts = StartTimes()
    first = make_endpoint("a", 0, started_ms=NOW - 3_000.0)
    assert translated_starts(starts, NOW, first, make_endpoint("b", 0), complete=True) == [
        NOW - 3_000.0,
        None,
    ]
    restarted = make_endpoint("a", 0, started_ms=NOW + 9_000.0)
    assert translated_starts(starts, NOW + 12_000.0, restarted) == [NOW + 9_000.0]


def test_a_start_time_in_the_future_becomes_now_and_is_then_kept() -> None:
    """Regression: for an hour the host got only the smallest share of its capacity."""
    starts = StartTimes()
    future = make_endpoint("a", 0, started_ms=NOW + HOUR_MS)
    assert translated_starts(starts, NOW, future, complete=True) == [NOW]
    assert translated_starts(starts, NOW + 20_000.0, future) == [NOW]
    assert capacity_fraction(NOW, SETTINGS, NOW + SETTINGS.slow_start_ms) == 1.0


def test_a_restart_dated_long_ago_counts_as_recent() -> None:
    """Regression: the cold host was treated as warm, and the requests of all dispatchers overloaded it."""
    starts = StartTimes()
    translated_starts(starts, NOW, make_endpoint("a", 0, started_ms=NOW - 2.0 * HOUR_MS), complete=True)
    restarted = make_endpoint("a", 0, started_ms=NOW - HOUR_MS)
    assert translated_starts(starts, NOW + 500.0, restarted) == [NOW + 500.0 - MAX_RESTART_NOTICE_MS]
    assert translated_starts(starts, NOW + 5_000.0, restarted, complete=True) == [
        NOW + 500.0 - MAX_RESTART_NOTICE_MS
    ]


def test_the_translation_for_a_removed_or_unlisted_host_is_dropped() -> None:
    starts = StartTimes()
    translated_starts(starts, NOW, make_endpoint("a", 0, started_ms=NOW), complete=True)
    translated_starts(starts, NOW, make_endpoint("a", 0, started_ms=NOW, state=EndpointState.REMOVED))
    assert translated_starts(starts, NOW + 1.0, make_endpoint("a", 0, started_ms=NOW - HOUR_MS)) == [
        NOW - HOUR_MS
    ]
    translated_starts(starts, NOW + 2.0, make_endpoint("b", 0), complete=True)
    assert translated_starts(starts, NOW + 3.0, make_endpoint("a", 0, started_ms=NOW - 2.0)) == [NOW - 2.0]
