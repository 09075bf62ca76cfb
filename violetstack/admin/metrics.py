"""Composes the metrics that operators read.

Each is counted where its event happens: the request counters by the core as it accepts and finishes a request
(`violetstack.core.metrics`), `relayed` as the last byte of an attempt is written, `registry_entries` from the
core's endpoint list, `out_of_rotation` by the policy.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from violetstack.admin.responses import OperationCounts, StatsResponse
from violetstack.core.metrics import RequestMetrics
from violetstack.policy_api import Endpoint, EndpointState


def stats_response(
    metrics: RequestMetrics, class_names: Sequence[str], *, listed_endpoints: int, avoided_endpoints: int
) -> StatsResponse:
    """Composes the response; each class of the settings has its counters from the start."""
    operations = {
        name: OperationCounts(row.fulfilled, row.throttled, row.faulted)
        for name, row in zip(class_names, metrics.classes, strict=True)
    }
    return StatsResponse(
        operations, metrics.requests_written, metrics.open, listed_endpoints, avoided_endpoints
    )


def kinds_without_healthy_endpoint(endpoints: Iterable[Endpoint], kind_names: Sequence[str]) -> list[str]:
    """Returns the kinds whose listed endpoints are all not healthy: requests that need one are rejected."""
    states: dict[int, set[EndpointState]] = {}
    for endpoint in endpoints:
        states.setdefault(endpoint.kind, set()).add(endpoint.state)
    missing = [kind for kind, seen in states.items() if EndpointState.HEALTHY not in seen]
    return [kind_names[kind] for kind in missing if kind < len(kind_names)]
