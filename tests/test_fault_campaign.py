"""The fault campaign: what is drawn from a seed, and one short case on real sockets."""

from __future__ import annotations

from collections.abc import Callable
from itertools import product
from typing import Any

import click
import pytest

from violetstack.commands.faults import parse_seeds
from violetstack.policy_api import Idempotency, Role
from violetstack.rehearsal.fleet.campaign import play_case
from violetstack.rehearsal.fleet.campaign_faults import (
    CLIENT_DISCONNECTS,
    ClientDisconnect,
    EnvironmentFault,
    HostFault,
    ScriptSource,
    draw_environment,
)
from violetstack.rehearsal.fleet.campaign_result import CaseResult
from violetstack.rehearsal.fleet.campaign_settings import Deployment, draw_deployment

SEEDS = range(1, 201)
SHORT_CASE = 63
"""Complete lists from discovery, and a dispatcher that is killed: no dispatcher is stopped."""
PLAYS = 4


def switches(part: str, name: str) -> Callable[[Deployment], Any]:
    return lambda deployment: deployment.message[part][name]


@pytest.mark.parametrize(
    ("value", "values"),
    [
        (switches("limits", "cancel"), {True, False}),
        (switches("limits", "may_duplicate"), {True, False}),
        (switches("limits", "probes"), {True, False}),
        (switches("limits", "peers"), {True, False}),
        (switches("limits", "retry_after"), {True, False}),
        (switches("limits", "max_attempts"), {1, 2, 3, 4, 5, 6}),
        (switches("family_info", "ahead"), {True, False}),
        (switches("family_info", "resume"), {True, False}),
        (switches("family_info", "local_read"), {True, False}),
        (switches("rules", "stop_sending_within"), {250.0, 1000.0}),
        (lambda deployment: deployment.message["report"] is None, {True, False}),
        (lambda deployment: len(deployment.zones), {1, 2, 3}),
        (lambda deployment: len(deployment.tenants), {0, 1, 3}),
        (lambda deployment: deployment.dispatcher_count, {2, 3, 4}),
        (
            lambda deployment: frozenset(host.role for host in deployment.hosts),
            {
                frozenset({Role.PREFILL, Role.DECODE}),
                frozenset({Role.MIXED}),
                frozenset({Role.PREFILL, Role.DECODE, Role.MIXED}),
            },
        ),
    ],
)
def test_deployments_cover_the_settings(value: Callable[[Deployment], Any], values: set[Any]) -> None:
    assert {value(draw_deployment(seed)) for seed in SEEDS} == values


def test_each_deployment_has_a_class_of_each_effect_and_windows_shorter_than_an_attempt() -> None:
    shorter = 0
    for seed in SEEDS:
        classes = draw_deployment(seed).settings.classes
        assert {each.idempotency for each in classes} == set(Idempotency)
        keyed = next(each for each in classes if each.idempotency is Idempotency.IDEMPOTENCY_KEY)
        shorter += keyed.deduplication_window_ms < keyed.latency_objective_ms
    assert shorter > len(SEEDS) / 4
    timeouts = {timeout_s for seed in SEEDS for timeout_s in draw_deployment(seed).timeouts_s}
    assert min(timeouts) == 0.3
    assert max(timeouts) == 15.0


def test_a_seed_draws_the_same_case_again() -> None:
    assert draw_deployment(7) == draw_deployment(7)
    assert draw_environment(7, 4.0, 3, 5) == draw_environment(7, 4.0, 3, 5)
    first = ScriptSource(7)
    second = ScriptSource(7)
    for _ in range(50):
        one = first.draw()
        other = second.draw()
        assert (one.client_disconnect, one.behaviour, one.host_faults) == (
            other.client_disconnect,
            other.behaviour,
            other.host_faults,
        )


def test_scripts_pair_each_end_of_a_client_with_each_fault_of_a_host() -> None:
    drawn: set[tuple[ClientDisconnect, HostFault]] = set()
    for seed in SEEDS:
        source = ScriptSource(seed)
        for script in (source.draw() for _ in range(60)):
            drawn.update(
                (script.client_disconnect, fault) for fault in script.host_faults if script.client_disconnect
            )
    faults = [fault for fault in HostFault if fault is not HostFault.NONE]
    assert drawn >= set(product(CLIENT_DISCONNECTS, faults))


def test_environments_bring_every_fault_in_time() -> None:
    drawn = [event for seed in SEEDS for event in draw_environment(seed, 4.0, 3, 5)]
    assert {event.fault for event in drawn} == set(EnvironmentFault)
    assert all(0.0 < event.at < 4.0 for event in drawn)


def test_seeds_are_read_as_numbers_and_ranges() -> None:
    assert parse_seeds("7") == [7]
    assert parse_seeds("1,5-7") == [1, 5, 6, 7]
    with pytest.raises(click.UsageError, match="'x' is no number"):
        parse_seeds("1,x")


def judged_case(seed: int) -> CaseResult:
    """The first play that is not void, as one is on a machine without processor time."""
    for _ in range(PLAYS):
        result = play_case(seed, duration_s=1.5)
        if not result.void:
            return result
    pytest.fail(
        f"void: observers {result.lag_s} s late, a dispatcher {result.starved_s} s without a processor"
    )


def test_a_short_case_breaks_no_rule() -> None:
    result = judged_case(SHORT_CASE)
    assert [each.text for each in result.violations] + result.crashed == []
    assert result.requests >= 20
    assert result.statuses["served"] >= 5
    assert result.attempts >= 20
    assert result.pairs
