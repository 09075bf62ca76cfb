"""Cordons: single calls, their limit, and random calls, lists and merges compared with a model."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.router_harness import DECODE_HOSTS, PREFILL_HOSTS
from violetstack.admin.cordons import MAX_CORDONS, Cordons
from violetstack.admin.errors import TooManyCordonsError, UnknownEndpointError
from violetstack.policy_api import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    UpdateScope,
)

LISTED = PREFILL_HOSTS + DECODE_HOSTS
IDS = [entry.server for entry in LISTED]


def snapshot(*entries: Endpoint) -> EndpointUpdate:
    return EndpointUpdate(UpdateScope.SNAPSHOT, entries, 1)


def test_an_endpoint_cordoned_twice_is_uncordoned_once_and_then_gets_a_slow_start() -> None:
    cordons = Cordons()
    cordons.apply(snapshot(*LISTED))
    for now in (5_000.0, 6_000.0):
        assert [e.state for e in cordons.cordon(now, IDS[0]).endpoints] == [EndpointState.DRAINING]
    uncordoned = cordons.uncordon(9_000.0, IDS[0]).endpoints[0]
    assert (uncordoned.state, uncordoned.started_ms) == (EndpointState.HEALTHY, 9_000.0)
    restarted = replace(LISTED[0], started_ms=7_000.0)
    assert (
        cordons.apply(EndpointUpdate(UpdateScope.DELTA, (restarted,), 2)).endpoints[0].started_ms == 7_000.0
    )


def test_unknown_endpoints_are_rejected_and_uncordoning_without_a_cordon_changes_nothing() -> None:
    cordons = Cordons()
    cordons.apply(snapshot(*LISTED[1:]))
    for call in (cordons.cordon, cordons.uncordon):
        with pytest.raises(UnknownEndpointError):
            call(1.0, IDS[0])
    assert cordons.uncordon(1.0, IDS[1]).endpoints == (LISTED[1],)
    assert cordons.records == {}


def test_the_number_of_cordons_is_limited_and_ended_ones_are_evicted_first() -> None:
    cordons = Cordons()
    endpoints = (Endpoint(f"h{n}", 0, 1.0, 0, EndpointState.HEALTHY, 0, None) for n in range(MAX_CORDONS + 1))
    cordons.apply(snapshot(*endpoints))
    for n in range(MAX_CORDONS):
        cordons.cordon(float(n), f"h{n}")
    with pytest.raises(TooManyCordonsError):
        cordons.cordon(5000.0, f"h{MAX_CORDONS}")
    cordons.uncordon(6000.0, "h7")
    cordons.cordon(7000.0, f"h{MAX_CORDONS}")
    assert len(cordons.records) == MAX_CORDONS
    assert "h7" not in cordons.records


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cordon", "uncordon", "list", "leave", "merge"]),
        st.sampled_from(IDS[:3]),
        st.integers(0, 1),
    ),
    max_size=40,
)


class Processes:
    """Two processes of one dispatcher, each with its own endpoint list; `cordoned` is the model."""

    def __init__(self) -> None:
        self.cordons = [Cordons(), Cordons()]
        self.published: list[dict[str, Endpoint]] = [{}, {}]
        self.cordoned: set[str] = set()

    def publish(self, process: int, update: EndpointUpdate | None) -> None:
        if update is None:
            return
        if update.scope is not UpdateScope.DELTA:
            self.published[process] = {}
        self.published[process].update({endpoint.server: endpoint for endpoint in update.endpoints})

    def call(self, name: str, process: int, endpoint_id: str, now: float) -> None:
        """Cordons or uncordons at one process; the other process merges the records at once."""
        endpoint = self.published[process].get(endpoint_id, LISTED[0])
        if endpoint_id not in self.cordoned and endpoint.state is EndpointState.REMOVED:
            return
        cordons = self.cordons[process]
        if name == "cordon":
            self.publish(process, cordons.cordon(now, endpoint_id))
            self.cordoned.add(endpoint_id)
        else:
            self.publish(process, cordons.uncordon(now, endpoint_id))
            self.cordoned.discard(endpoint_id)
        self.merge(1 - process)

    def list_all(self, process: int) -> None:
        self.publish(process, self.cordons[process].apply(snapshot(*LISTED[:3])))

    def remove(self, process: int, endpoint_id: str) -> None:
        removed = Endpoint(endpoint_id, 0, 1.0, 0, EndpointState.REMOVED, 0, None)
        self.publish(process, self.cordons[process].apply(EndpointUpdate(UpdateScope.DELTA, (removed,), 2)))

    def merge(self, process: int) -> None:
        self.publish(process, self.cordons[process].merge(self.cordons[1 - process].records))

    def check(self) -> None:
        for endpoints in self.published:
            states = {id_: e.state for id_, e in endpoints.items() if e.state is not EndpointState.REMOVED}
            draining = {id_ for id_, state in states.items() if state is EndpointState.DRAINING}
            assert draining == self.cordoned & set(states)


@given(STEPS)
def test_the_latest_call_applies_in_any_order_of_calls_lists_and_merges(
    steps: list[tuple[str, str, int]],
) -> None:
    processes = Processes()
    for process in (0, 1):
        processes.list_all(process)
    for n, (step, endpoint_id, process) in enumerate(steps):
        match step:
            case "list":
                processes.list_all(process)
            case "leave":
                processes.remove(process, endpoint_id)
            case "merge":
                processes.merge(process)
            case _:
                processes.call(step, process, endpoint_id, 1000.0 + n)
        processes.check()


def test_a_cordon_replaces_an_earlier_ended_one_after_the_clock_was_set_back() -> None:
    """Regression: the record of the ended cordon, merged from another process, undid the operator's call."""
    cordons = Cordons()
    cordons.apply(snapshot(*LISTED))
    cordons.cordon(3_600_000.0, IDS[0])
    cordons.uncordon(3_601_000.0, IDS[0])
    ended = dict(cordons.records)
    cordons.cordon(5_000.0, IDS[0])
    assert cordons.merge(ended) is None
    assert cordons.active == [IDS[0]]
