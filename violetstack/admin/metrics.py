"""The figures as the operators read them. Each is counted where its event happens:

`fulfilled`, `throttled`, `faulted`, `open_requests`: core/tally.py, at the request's taking and its settling;
`relayed`: the driver, in the step that writes an attempt's last byte (Dispatcher.relayed);
`registry_entries`: the core's list; `out_of_rotation`: the decision module (Router.avoided).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from violetstack.core.metrics import RequestMetrics
from violetstack.policy_api import Endpoint, EndpointState


def figures(tally: RequestMetrics, classes: tuple[str, ...], listed: int, avoided: int) -> dict[str, Any]:
    """Every class of the settings stands there from the start, with zeros."""
    operations = {
        name: {"fulfilled": row.fulfilled, "throttled": row.throttled, "faulted": row.faulted}
        for name, row in zip(classes, tally.classes, strict=True)
    }
    return {
        "operations": operations,
        "relayed": tally.requests_written,
        "open_requests": tally.open,
        "registry_entries": listed,
        "out_of_rotation": avoided,
    }


def kinds_without(listed: Iterable[Endpoint], kinds: tuple[str, ...]) -> list[str]:
    """Kinds of which no listed host is to be chosen: requests are refused at once while there is one."""
    states: dict[int, set[EndpointState]] = {}
    for entry in listed:
        states.setdefault(entry.kind, set()).add(entry.state)
    without = [n for n, seen in states.items() if EndpointState.HEALTHY not in seen]
    return [kinds[n] for n in without if n < len(kinds)]
