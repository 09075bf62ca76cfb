"""Who a request is at its hosts: lost answers and repeated requests, through real dispatcher processes.

Incident of 2026-12-06: docs/incidents/2026-12-06-keys-of-orders.md. `rehearse chat` plays all cells.
"""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.router_harness import make_endpoint
from violetstack.policy_api import DeduplicationScope, UpdateScope
from violetstack.policy_api.deduplication import share_deduplication_records
from violetstack.protocol.discovery import EndpointListDecoder, EndpointListMessage, ListedEndpoint
from violetstack.protocol.host_keys import derive_host_key
from violetstack.rehearsal.chat_event_cells import Front, HostApi
from violetstack.rehearsal.repeat_cells import Effect, Loss, Pair, Sender, client_cells, core_cells
from violetstack.rehearsal.repeat_matrix import play_core_retries, play_same_key_pairs
from violetstack.settings import ClassMessage, SettingsMessage

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


# Guards against orders that run twice at hosts of the operator's file, taken for one zone and cell.
def test_hosts_whose_place_is_not_told_share_no_records_of_a_zone_or_cell() -> None:
    host_api = HostApi.OPENAI
    keyed = (Effect.KEYED_ZONE, Effect.KEYED_CELL)
    cells = [cell for cell in core_cells(host_api, BEFORE_EVENTS) if cell.effect in keyed]
    result = play_core_retries(host_api, cells)
    assert not result.broken
    assert all(order.first is not None for order in result.orders)


@pytest.mark.parametrize(
    ("first", "second", "shared"),
    [
        ({}, {"server": "w2"}, True),
        ({"is_zone_known": False}, {"server": "w2"}, False),
        ({}, {"server": "w2", "is_zone_known": False}, False),
        ({"is_zone_known": False}, {"is_zone_known": False}, True),
    ],
)
def test_an_unknown_zone_is_no_common_zone(
    first: dict[str, object], second: dict[str, object], shared: bool
) -> None:
    endpoint = make_endpoint("w1", 1)
    hosts = (replace(endpoint, **first), replace(endpoint, **second))
    assert share_deduplication_records(*hosts, DeduplicationScope.ZONE) is shared
    assert share_deduplication_records(*hosts, DeduplicationScope.ALL)


def test_a_zone_that_the_settings_do_not_name_is_not_known() -> None:
    settings = SettingsMessage(classes=[ClassMessage(aim=1.0, give_up=2.0)], zones=["z1"])
    hosts = [ListedEndpoint("w1", "127.0.0.1:1", "z1"), ListedEndpoint("w2", "127.0.0.1:2", "elsewhere")]
    event = EndpointListDecoder(settings).to_event(EndpointListMessage(1, True, hosts), UpdateScope.SNAPSHOT)
    assert event.update is not None
    assert [endpoint.is_zone_known for endpoint in event.update.endpoints] == [True, False]


# Guards against keyed orders that run again after the window: the ledger forgot that they may have run.
@pytest.mark.parametrize("host_api", HostApi, ids=lambda api: api.name.lower())
def test_a_clients_retry_sends_no_order_again_that_may_have_run(host_api: HostApi) -> None:
    senders = (Sender.SAME_KEY_AFTER_FAILURE, Sender.SAME_KEY_AFTER_WINDOW, Sender.OTHER_KEY)
    cells = [
        cell
        for cell in client_cells(host_api, senders)
        if cell.effect is Effect.KEYED_ALL and cell.loss is Loss.NO_HEAD and cell.front is Front.CHAT
    ]
    result = play_core_retries(host_api, cells)
    assert not result.broken
    assert [order.status for order in result.orders] == [502] * len(senders)
    assert [order.second.status for order in result.orders if order.second] == [502] * len(senders)


# Guards against orders that are refused since another API key of the tenant has written the same key.
@pytest.mark.parametrize("host_api", HostApi, ids=lambda api: api.name.lower())
def test_requests_that_write_the_same_key_are_not_taken_for_one(host_api: HostApi) -> None:
    result = play_same_key_pairs(host_api)
    assert not result.broken
    assert {order.pair for order in result.orders if order.runs} == set(Pair)
