"""Who a request is at its hosts: lost answers and repeated requests, through real dispatcher processes.

Incident of 2026-12-06: docs/incidents/2026-12-06-keys-of-orders.md. `rehearse chat` plays all cells.
"""

from __future__ import annotations

import pytest

from violetstack.protocol.host_keys import derive_host_key
from violetstack.rehearsal.chat_event_cells import HostApi
from violetstack.rehearsal.repeat_cells import Effect, Loss, core_cells
from violetstack.rehearsal.repeat_matrix import play_core_retries

BEFORE_EVENTS = (Loss.NO_HEAD, Loss.PART_OF_HEAD, Loss.SERVER_ERROR, Loss.NO_EVENT)


# Guards against orders that run twice since their hosts get no key by which they could know a repeat.
@pytest.mark.parametrize("host_api", HostApi, ids=lambda api: api.name.lower())
def test_hosts_know_each_attempt_of_a_keyed_order(host_api: HostApi) -> None:
    cells = [cell for cell in core_cells(host_api, BEFORE_EVENTS) if cell.effect is Effect.KEYED_ALL]
    result = play_core_retries(host_api, cells)
    assert not result.broken
    assert any(len(order.attempts) > 1 for order in result.orders)
    assert {order.status for order in result.orders if len(order.attempts) > 1} == {200}


def test_the_key_at_hosts_tells_apart_whoever_writes_the_same_key() -> None:
    """A host takes no two requests of other tenants, classes, fronts or API keys for one."""
    parts = ("chat", "acme", "orden", "api-key", "digest")
    keys = {derive_host_key(*parts)}
    for place in range(len(parts)):
        keys.add(derive_host_key(*parts[:place], f"{parts[place]}x", *parts[place + 1 :]))
    keys.add(derive_host_key("chat", "acmeorden", "", "api-key", "digest"))
    assert len(keys) == len(parts) + 2
    assert derive_host_key(*parts) in keys
