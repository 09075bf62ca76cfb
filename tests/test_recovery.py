"""Coming back: which remembered hosts count, and the phases of a start."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from tests.front import SETTINGS
from violetstack import log
from violetstack.config import Config, WConfig
from violetstack.daemon.daemon import Daemon
from violetstack.net.startup_recovery import Comeback
from violetstack.protocol.discovery import WServer
from violetstack.protocol.server_side import Inbound
from violetstack.recovery.panic_threshold import Doubt
from violetstack.recovery.phases import Phase, Start
from violetstack.recovery.sources import Entry, Source, Trust, merged
from violetstack.rehearsal.clients import ask_platform
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import ModelHost
from violetstack.rehearsal.peer import Break, PeerConnection
from violetstack.rehearsal.stage import Stage, stage

NOW = 1e9
COLD = 14_000.0
KEEP = 3_600_000.0


def row(name: str, port: int, state: str = "active", started_ms: float = 0.0) -> WServer:
    return WServer(name, f"127.0.0.1:{port}", "z", "prefill", 0, state, 1.0, started_ms)


def judged(*sources: Source) -> dict[str, Entry]:
    return {entry.server.id: entry for entry in merged(sources, NOW, COLD, KEEP)}


def disk(age_ms: float, *rows: WServer) -> Source:
    return Source("disk", NOW - age_ms, 7, rows)


def known(*rows: WServer) -> Source:
    return Source("known", None, 3, rows)


@pytest.mark.parametrize(
    ("age", "trust", "started"),
    [
        (1_000.0, Trust.REMEMBERED, 0.0),
        (60_000.0, Trust.DOUBTFUL, NOW),  # it may have started anew: cold from now on
        (2 * KEEP, Trust.REFUSED, 0.0),
        (-86_400_000.0, Trust.DOUBTFUL, NOW),  # the clock was set back by a day
    ],
)
def test_a_remembered_host_counts_by_the_age_of_its_list(age: float, trust: Trust, started: float) -> None:
    entry = judged(disk(age, row("a", 1)))["a"]
    assert (entry.trust, entry.server.started_ms) == (trust, started)


def test_the_later_word_counts_entry_by_entry() -> None:
    found = judged(known(row("a", 1), row("b", 2)), disk(5_000.0, row("a", 1, "leaving")))
    assert (found["a"].trust, found["a"].server.state) == (Trust.REMEMBERED, "leaving")
    assert found["b"].trust is Trust.REFUSED and "newer list" in found["b"].why
    alone = judged(known(row("a", 1)), disk(5_000.0))
    assert alone["a"].trust is Trust.DOUBTFUL  # the disk has no list at all


def test_an_address_that_two_have_had_belongs_to_the_later_start() -> None:
    found = judged(disk(1_000.0, row("old", 1, started_ms=5.0), row("new", 1, started_ms=9.0), row("c", 2)))
    assert found["old"].trust is Trust.REFUSED and "new" in found["old"].why
    assert found["new"].trust is found["c"].trust is Trust.REMEMBERED


def test_a_start_goes_through_its_phases_and_back_when_the_list_is_lost() -> None:
    start = Start(0.0, 10_000.0)
    assert start.recalled(1.0, 0) is None and start.phase is Phase.UNKNOWN
    steps = [start.recalled(1.0, 3), start.told(50.0, 4), start.told(60.0, 5), start.tick(9_000.0)]
    steps += [start.tick(10_050.0), start.told(20_000.0, 0), start.told(21_000.0, 4), start.learned(21_001.0)]
    assert [step and step.new.value for step in steps] == [
        "recalled",
        "filling",
        None,
        None,
        "full",
        "unknown",
        "filling",
        "full",
    ]
    assert start.tick(99_000.0) is None and start.due() is None


class Silent(Discovery):
    """An agent that has nothing to tell."""

    async def handle(self, inbound: Inbound, connection: PeerConnection) -> None:
        await connection.until_closed()
        raise Break


def test_a_dispatcher_that_was_killed_serves_by_what_it_kept_while_discovery_is_silent(
    tmp_path: Path,
) -> None:
    """Nothing else tells it of any host: its configuration knows none."""
    state: dict[str, Any] = {"state": {"folder": str(tmp_path / "state")}}
    lines: list[dict[str, Any]] = []
    note = lines.append
    log.observers.append(note)

    async def first(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"
        assert on.daemon.kept is not None and on.daemon.watch is not None
        await on.daemon.watch.heard.wait()
        on.daemon.kept.learn()
        await on.daemon.kept.flush()  # the group is on the disk; then it is killed, without a drain

    async def second(on: Stage) -> None:
        assert (await ask_platform(on.platform, "q2", "orden")).outcome == "served"
        assert {e.started_ms for e in on.daemon.core.endpoints.values()} == {None}  # told a moment ago

    async def both() -> None:
        reader = ModelHost("reader", "prefill")
        writer = ModelHost("writer", "decode")
        async with stage(reader, writer, chat=state) as on:
            await first(on)
            silent = Silent()
            await on.nursery.start(silent.serve)
            told = {**on.told, "known": {"version": 0, "full": True, "servers": []}}
            told |= {"discovery": silent.address, "mgmt": ""}
            on.daemon.nursery.cancel_scope.cancel()
            daemon = Daemon(Config(msgspec.convert(told, WConfig), on.chat_file))
            serving = await on.nursery.start(daemon.serve)
            await second(replace(on, daemon=daemon, platform=serving.platform))

    try:
        trio.run(both)
    finally:
        log.observers.remove(note)
    phases = [(row["old"], row["new"]) for row in lines if row["event"] == "recovery_phase_changed"]
    assert phases[-1] == ("unknown", "recalled")
    assert [row["remembered"] for row in lines if row["event"] == "endpoints_recovered"] == [0, 2]
    assert [row["servers"] for row in lines if row["event"] == "estimates_restored"] == [2]


def test_a_list_that_loses_most_hosts_at_once_is_doubted_for_a_while_and_a_drain_never_is() -> None:
    before = {name: row(name, n) for n, name in enumerate("abcd")}
    doubt = Doubt(0.5, 30_000.0)
    assert doubt.whole(NOW, before, [row("a", 0), row("b", 1), row("c", 2)]) is None  # one of four may go
    found = doubt.whole(NOW, before, [row("b", 1, "leaving")])
    assert found is not None and found.until == NOW + 30_000.0
    assert {(s.id, s.started_ms) for s in found.kept} == {("a", NOW), ("c", NOW), ("d", NOW)}
    assert doubt.whole(NOW + 29_000.0, before, []) is not None
    assert doubt.whole(NOW + 30_000.0, before, []) is None  # said again: it counts
    assert Doubt(float("inf"), 1.0).whole(NOW, before, []) is None  # the platform's way


def test_a_discovery_that_lost_its_memory_does_not_end_the_service_where_that_is_doubted(
    tmp_path: Path,
) -> None:
    """And a host that it remembered, which is not there, gets nothing."""
    state: dict[str, Any] = {"state": {"folder": str(tmp_path / "state"), "doubt": 0.5}}
    lines: list[dict[str, Any]] = []
    note = lines.append
    log.observers.append(note)

    async def story() -> None:
        reader = ModelHost("reader", "prefill")
        writer = ModelHost("writer", "decode")
        async with stage(reader, writer, chat=state) as on:
            assert on.daemon.watch is not None
            await on.daemon.watch.heard.wait()
            on.discovery.changes = []
            on.discovery.version = 9
            on.daemon.watch.ask_again()
            while not any(line["event"] == "endpoint_list_loss_suspected" for line in lines):
                await trio.sleep(0.01)
            answers = [await ask_platform(on.platform, f"q{n}", "consulta") for n in range(2)]
            assert "served" in [answer.outcome for answer in answers]
            on.daemon.endpoints.remove_unreachable(WServer("reader"))
            assert set(on.daemon.core.endpoints) == {"writer"}

    try:
        trio.run(story)
    finally:
        log.observers.remove(note)


def test_clients_are_sent_back_at_times_of_their_own_until_discovery_has_told() -> None:
    async def times() -> list[float]:
        async with trio.open_nursery() as nursery:
            comeback = Comeback(nursery, None, SETTINGS)
            found = [comeback.advice_ms(400.0) for _ in range(50)]
            comeback.told((), 1, full=True, listed=2)
            found.append(comeback.advice_ms(400.0))
            nursery.cancel_scope.cancel()
        return found

    found = trio.run(times)
    unknown = found[:50]
    assert min(unknown) >= 500.0 and max(unknown) <= 1000.0 and len(set(unknown)) == 50
    assert found[-1] == 400.0
