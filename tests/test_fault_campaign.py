"""Tests of the fault campaign: the drawing of cases from seeds, and one short case on real sockets."""

from __future__ import annotations

from collections.abc import Callable
from itertools import product
from typing import Any

import click
import h11
import pytest
import trio
import trio.testing

from violetstack.commands.faults import parse_seeds
from violetstack.policy_api import Idempotency, Role
from violetstack.rehearsal.fleet.campaign import play_case
from violetstack.rehearsal.fleet.campaign_client import (
    MAX_STREAM_DURATION_S,
    ClientCall,
    ClientConnection,
    ClientMessage,
)
from violetstack.rehearsal.fleet.campaign_faults import (
    CLIENT_DISCONNECTS,
    ClientBehaviour,
    ClientDisconnect,
    EnvironmentFault,
    HostFault,
    RequestScript,
    ScriptSource,
    draw_environment,
)
from violetstack.rehearsal.fleet.campaign_host import STREAM_HEAD, peer_ends
from violetstack.rehearsal.fleet.campaign_result import CaseResult
from violetstack.rehearsal.fleet.campaign_settings import Deployment, draw_deployment
from violetstack.rehearsal.fleet.socket_audit import ClientExchange

SEEDS = range(1, 201)
SHORT_CASE = 63
"""Discovery sends complete lists and a dispatcher is killed; no dispatcher is stopped by SIGSTOP."""
MAX_RUNS = 4


def setting(section: str, name: str) -> Callable[[Deployment], Any]:
    return lambda deployment: deployment.message[section][name]


@pytest.mark.parametrize(
    ("value", "values"),
    [
        (setting("limits", "cancel"), {True, False}),
        (setting("limits", "may_duplicate"), {True, False}),
        (setting("limits", "probes"), {True, False}),
        (setting("limits", "peers"), {True, False}),
        (setting("limits", "retry_after"), {True, False}),
        (setting("limits", "max_attempts"), {1, 2, 3, 4, 5, 6}),
        (setting("family_info", "ahead"), {True, False}),
        (setting("family_info", "resume"), {True, False}),
        (setting("family_info", "local_read"), {True, False}),
        (setting("rules", "stop_sending_within"), {250.0, 1000.0}),
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
def test_drawn_deployments_cover_all_values_of_the_settings(
    value: Callable[[Deployment], Any], values: set[Any]
) -> None:
    assert {value(draw_deployment(seed)) for seed in SEEDS} == values


def test_each_deployment_has_all_idempotency_kinds_and_some_have_short_deduplication_windows() -> None:
    short_windows = 0
    for seed in SEEDS:
        classes = draw_deployment(seed).settings.classes
        assert {request_class.idempotency for request_class in classes} == set(Idempotency)
        keyed = next(
            request_class
            for request_class in classes
            if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        )
        short_windows += keyed.deduplication_window_ms < keyed.latency_objective_ms
    assert short_windows > len(SEEDS) / 4
    timeouts = {timeout_s for seed in SEEDS for timeout_s in draw_deployment(seed).timeouts_s}
    assert min(timeouts) == 0.3
    assert max(timeouts) == 15.0


def test_a_seed_always_draws_the_same_case() -> None:
    assert draw_deployment(7) == draw_deployment(7)
    assert draw_environment(7, 4.0, 3, 5) == draw_environment(7, 4.0, 3, 5)
    first = ScriptSource(7)
    second = ScriptSource(7)
    for _ in range(50):
        script = first.draw()
        repeated = second.draw()
        assert (script.client_disconnect, script.behaviour, script.host_faults) == (
            repeated.client_disconnect,
            repeated.behaviour,
            repeated.host_faults,
        )


def test_scripts_pair_each_client_disconnect_with_each_host_fault() -> None:
    drawn: set[tuple[ClientDisconnect, HostFault]] = set()
    for seed in SEEDS:
        source = ScriptSource(seed)
        for script in (source.draw() for _ in range(60)):
            drawn.update(
                (script.client_disconnect, fault) for fault in script.host_faults if script.client_disconnect
            )
    faults = [fault for fault in HostFault if fault is not HostFault.NONE]
    assert drawn >= set(product(CLIENT_DISCONNECTS, faults))


def test_every_environment_fault_is_drawn_within_the_duration() -> None:
    drawn = [event for seed in SEEDS for event in draw_environment(seed, 4.0, 3, 5)]
    assert {event.fault for event in drawn} == set(EnvironmentFault)
    assert all(0.0 < event.at < 4.0 for event in drawn)


def test_seeds_are_parsed_as_numbers_and_ranges() -> None:
    assert parse_seeds("7") == [7]
    assert parse_seeds("1,5-7") == [1, 5, 6, 7]
    with pytest.raises(click.UsageError, match="'x' is neither a number nor a range"):
        parse_seeds("1,x")


def run_until_not_void(seed: int) -> CaseResult:
    """Returns the first result that is not void; results are void if the machine has no processor time."""
    for _ in range(MAX_RUNS):
        result = play_case(seed, duration_s=1.5)
        if not result.void:
            return result
    pytest.fail(
        f"all runs void: lag {result.lag_s} s, dispatchers waited {result.starved_s} s for a processor"
    )


def test_a_short_case_violates_no_rule() -> None:
    result = run_until_not_void(SHORT_CASE)
    assert [violation.text for violation in result.violations] + result.crashed == []
    assert result.requests >= 20
    assert result.statuses["served"] >= 5
    assert result.attempts >= 20
    assert result.pairs


def test_a_host_may_watch_connections_that_its_responses_have_closed() -> None:
    """Guards against a BusyResourceError in soaks beside other work: trio kept the first wait registered."""

    async def main() -> None:
        for _ in range(2):
            closed = trio.socket.socket()
            closed.close()
            assert await peer_ends(closed)

    trio.run(main)


class PromptStream:
    """A connection from which a complete response can be read at once."""

    def __init__(self, response: bytes) -> None:
        self._rest = response

    async def receive_some(self, max_bytes: int) -> bytes:
        await trio.lowlevel.checkpoint()
        data = self._rest[:max_bytes]
        self._rest = self._rest[max_bytes:]
        return data


def read_slowly(stream: PromptStream) -> ClientExchange:
    """Reads a response as a slow reader, in virtual time; returns the record of it."""
    script = RequestScript(None, ClientBehaviour.PLAIN, (), 0.0, reads_slowly=True)
    exchange = ClientExchange("q1", 0, 0, 2.0, reads_slowly=True)
    connection = ClientConnection(stream, h11.Connection(h11.CLIENT))  # type: ignore[arg-type]
    message = ClientMessage(h11.Request(method="GET", target="/", headers=[("Host", "x")]), b"")

    async def main() -> None:
        exchange.sent_at = trio.current_time()
        call = ClientCall(connection, exchange, script, message, trio.current_time)
        connection.http.send(message.request)
        connection.http.send(h11.EndOfMessage())
        await call._read_answer()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return exchange


@pytest.mark.parametrize("pause_factor", [1.0, 4.0], ids=["in time", "late"])
def test_a_slow_reader_whose_process_runs_late_reads_its_stream_to_the_end(
    pause_factor: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against soak seed 6001 beside other work: the reader gave up, and its stream counted as cut."""
    sleep = trio.sleep
    monkeypatch.setattr(trio, "sleep", lambda seconds: sleep(seconds * pause_factor))
    body = b"x" * 147_000
    chunk = b"%x\r\n%s\r\n" % (len(body), body)
    exchange = read_slowly(PromptStream(STREAM_HEAD + chunk + b"0\r\n\r\n"))
    assert exchange.complete
    assert exchange.body == body


def test_a_slow_reader_stops_waiting_for_a_stalled_stream() -> None:
    """A stall must not count as a delay of the reader."""

    class StalledStream(PromptStream):
        async def receive_some(self, max_bytes: int) -> bytes:
            return await super().receive_some(max_bytes) or await trio.sleep_forever()

    exchange = read_slowly(StalledStream(STREAM_HEAD + b"5\r\nevent\r\n"))
    assert exchange.first_byte_at is not None
    assert exchange.waited_until < exchange.first_byte_at + MAX_STREAM_DURATION_S + 0.1
    assert not exchange.complete
