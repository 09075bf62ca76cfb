"""The cost of a decision in a large fleet: what is the same for all hosts is computed once."""

from __future__ import annotations

import pytest

from tests.executed_lines import count_lines
from tests.router_harness import RouterHarness, make_endpoint
from violetstack.estimation.statistics import FleetStatistics
from violetstack.policy.placement import Placement
from violetstack.policy_api import Endpoint

SMALL_FLEET = 100
LARGE_FLEET = 3200


def fleet(size: int, started_ms: float | None = None) -> tuple[Endpoint, ...]:
    return tuple(make_endpoint(f"s{n}", n % 2, started_ms=started_ms) for n in range(size))


# Guards against requests that are late or refused while most hosts of a large fleet warm up.
def test_the_usual_rate_of_a_stage_is_computed_once_for_all_hosts_that_warm_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls: list[bool] = []
    requests_per_ms = FleetStatistics.requests_per_ms

    def counted(statistics: FleetStatistics, now: float, *, is_prefill: bool) -> float:
        calls.append(is_prefill)
        return requests_per_ms(statistics, now, is_prefill=is_prefill)

    monkeypatch.setattr(FleetStatistics, "requests_per_ms", counted)

    def calls_of_a_request(fleet_size: int) -> list[bool]:
        calls.clear()
        RouterHarness(*fleet(fleet_size, started_ms=1000.0)).submit()
        return list(calls)

    assert calls_of_a_request(LARGE_FLEET) == calls_of_a_request(SMALL_FLEET)
    assert calls


def test_whether_any_host_can_decode_is_known_at_the_first_one() -> None:
    def lines(fleet_size: int) -> int:
        harness = RouterHarness(*fleet(fleet_size))
        request = harness.state.requests[harness.submit()]
        router = harness.router
        placement = Placement(router.state, router.freeness, router.admission)
        return count_lines(lambda: placement.has_candidate(request, is_prefill=False))

    assert lines(LARGE_FLEET) == lines(SMALL_FLEET)
