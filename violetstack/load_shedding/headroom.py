"""The headroom of the hosts, a signal for load shedding. It does not affect routing decisions."""

from __future__ import annotations

from typing import NamedTuple

from violetstack.policy.router import Router


class Headroom(NamedTuple):
    """Freeness of the best host of each stage; None if the stage has no host."""

    prefill: float | None
    decode: float | None


def headroom(router: Router, now: float) -> Headroom:
    """Returns the freeness of the best hosts for an empty prompt of the class with the shortest objective."""
    state = router.state
    prefill = []
    for host in state.endpoints.prefill_hosts:
        budget = state.shortest_objective_ms * state.load.prefill_speed(host, now)
        if budget > 0.0:
            cost = sum(attempt.prefill_cost for attempt in host.in_flight.values())
            prefill.append(1.0 - cost / budget - host.statistics.penalty.value_at(now))
    decode = router.freeness.of_decode_hosts(state.endpoints.decode_hosts, now)
    return Headroom(max(prefill, default=None), max(decode.values(), default=None))
