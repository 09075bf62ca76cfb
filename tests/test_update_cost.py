"""The cost of endpoint updates: a change costs time for its own entries, however large the fleet is."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from tests.executed_lines import count_lines
from tests.router_harness import SETTINGS, make_endpoint
from tests.test_core import RecordingPorts
from tests.test_lease_node import CheckedNode
from violetstack.core.dispatcher import Dispatcher
from violetstack.policy.router import Router
from violetstack.policy_api import Endpoint, EndpointState, EndpointUpdate, UpdateScope

NOW = 1000.0
SMALL_FLEET = 100
LARGE_FLEET = 3200


def fleet(size: int) -> tuple[Endpoint, ...]:
    return tuple(make_endpoint(f"s{n}", n % 2) for n in range(size))


def changes_of(endpoint: Endpoint) -> list[EndpointUpdate]:
    """Returns the updates with which one host is replaced by another."""
    successor = replace(endpoint, server="successor", started_ms=NOW)
    leaving = replace(endpoint, state=EndpointState.DRAINING)
    left = replace(endpoint, state=EndpointState.REMOVED)
    return [
        EndpointUpdate(UpdateScope.DELTA, (entry,), version)
        for version, entry in enumerate((successor, leaving, left), start=2)
    ]


def lines_of_changes(fleet_size: int) -> int:
    """Returns the work of a dispatcher to replace one host of its list."""
    ports = RecordingPorts()
    dispatcher = Dispatcher(SETTINGS, Router(SETTINGS), ports, 250.0)
    endpoints = fleet(fleet_size)
    dispatcher.update_endpoints(NOW, EndpointUpdate(UpdateScope.SNAPSHOT, endpoints, 1))
    dispatcher.run(NOW)

    def replace_one() -> None:
        for update in changes_of(endpoints[0]):
            dispatcher.update_endpoints(NOW, update)
            dispatcher.run(NOW)

    lines = count_lines(replace_one)
    listed = {endpoint.server for endpoint in endpoints[1:]} | {"successor"}
    assert set(dispatcher.endpoints) == listed
    assert not ports.logged
    return lines


# Guards against a process that stands still while the hosts of a large fleet are replaced one by one.
def test_a_change_of_one_host_is_as_much_work_in_a_large_fleet_as_in_a_small_one() -> None:
    assert lines_of_changes(LARGE_FLEET) == lines_of_changes(SMALL_FLEET)


@pytest.mark.parametrize("suspecting", [set(), {0}])
def test_outlier_checks_follow_a_change_with_as_much_work_in_any_fleet(suspecting: set[int]) -> None:
    def lines(fleet_size: int) -> int:
        checks = CheckedNode(0.0, 0, 4, random.Random(1), suspecting).checks
        endpoints = (*fleet(fleet_size), make_endpoint("h", 0))
        checks.endpoints_updated(NOW, EndpointUpdate(UpdateScope.SNAPSHOT, endpoints, 1))
        checks.tick(NOW)

        def replace_one() -> None:
            for update in changes_of(endpoints[0]):
                checks.endpoints_updated(NOW, update)

        return count_lines(replace_one)

    assert lines(LARGE_FLEET) == lines(SMALL_FLEET)
