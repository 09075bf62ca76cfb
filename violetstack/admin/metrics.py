"""Composes the metrics of the admin API.

The core counts requests when it accepts and finishes them (`violetstack.core.metrics`), and attempts when
their last byte is written (`relayed`). `registry_entries` is the length of the core's endpoint list, and the
policy provides `out_of_rotation`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from violetstack.admin.responses import OperationCounts, StatsResponse
from violetstack.core.metrics import RequestMetrics
from violetstack.policy_api import Endpoint, EndpointState


def stats_response(
    metrics: RequestMetrics, class_names: Sequence[str], *, listed_endpoints: int, avoided_endpoints: int
) -> StatsResponse:
    """Returns the response; every class of the settings has counters, also before its first request."""
    operations = {
        name: OperationCounts(row.fulfilled, row.throttled, row.faulted)
        for name, row in zip(class_names, metrics.classes, strict=True)
    }
    return StatsResponse(
        operations, metrics.requests_written, metrics.open, listed_endpoints, avoided_endpoints
    )


def kinds_without_healthy_endpoint(endpoints: Iterable[Endpoint], kind_names: Sequence[str]) -> list[str]:
    """Returns the kinds with listed endpoints but no healthy one; requests that need one are rejected."""
    states: dict[int, set[EndpointState]] = {}
    for endpoint in endpoints:
        states.setdefault(endpoint.kind, set()).add(endpoint.state)
    missing = [kind for kind, kind_states in states.items() if EndpointState.HEALTHY not in kind_states]
    return [kind_names[kind] for kind in missing if kind < len(kind_names)]
