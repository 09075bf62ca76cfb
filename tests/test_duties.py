"""Duties among dispatcher processes that are stopped, killed and cut off, and what decides them."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
import pytest
import trio
from click.testing import CliRunner

from tests.front import Front, entry
from violetstack.commands.main import main
from violetstack.config import BadConfig, Config, WConfig
from violetstack.lease.messages import BadDatagram, Ballot, Item, Kind, duty_of, encode
from violetstack.lease.node import EVERYONE, Budget, Effect, Member
from violetstack.lease.outlier_checks import PATIENCE_MS, TRYING, WELL, Trials, name_of
from violetstack.lease.restart_permits import ASKED_MS, Leave
from violetstack.operators import OperatorFile
from violetstack.policy_api import OutlierCheckResult, SendAttempt
from violetstack.rehearsal.fleet.plan import Plan, Trouble
from violetstack.rehearsal.fleet.report import Result
from violetstack.rehearsal.fleet.runner import DOOR, Ground
from violetstack.rehearsal.stage import SETTINGS

# --- processes ---


STRIKES = [
    Trouble(3.0, "stop", "holder", 2.2),
    Trouble(7.0, "kill", "holder"),
    Trouble(10.5, "network", "holder", 2.0, "deaf"),
]
HANDED_ON = Plan(
    seed=7,
    dispatchers=5,
    readers=4,
    rate=30,
    warm=1,
    seconds=13.5,
    notice=4,
    file='duties { lease = 600ms trials = true keys = ["of the tier"] }',
    trouble=[Trouble(0.1, "fail", "r0"), *STRIKES],
)
ENDED = Plan(
    seed=8,
    dispatchers=4,
    rate=20,
    warm=1,
    seconds=12,
    door=True,
    file="duties { lease = 500ms leave = 1 leave_wait = 20s }",
    trouble=[Trouble(2.0, "term", "0-2", 25.0), Trouble(2.0, "network", "all", 6.0, "loss")],
)
ROLLED = Plan(
    seed=9,
    dispatchers=3,
    rate=10,
    warm=1,
    seconds=14,
    door=True,
    supervised=True,
    file="duties { lease = 500ms leave = 1 }",
    trouble=[Trouble(0.2, "network", "2", 60.0, "cut")],
)


class Played:
    """Three tiers at once, on addresses of their own: their waits are most of their time."""

    def __init__(self) -> None:
        self.handed_on: Result
        self.ended: Result
        self.told: list[tuple[int, str]] = []
        self.rolled = Ground(ROLLED)
        self.doors = [":".join(map(str, self.rolled.address(n, DOOR))) for n in range(3)]
        trio.run(self.run)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.roll)
            nursery.start_soon(self.play, "handed_on", HANDED_ON)
            nursery.start_soon(self.play, "ended", ENDED)

    async def play(self, name: str, plan: Plan) -> None:
        setattr(self, name, await Ground(plan).run())

    async def ask(self, *words: str) -> None:
        result = await trio.to_thread.run_sync(partial(CliRunner().invoke, main, ["fleet", *words]))
        self.told.append((result.exit_code, result.output))

    async def roll(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.rolled.run)
            while "relay" not in vars(self.rolled) or 2 not in self.rolled.relay.how:
                await trio.sleep(0.05)
            doors = self.doors
            await self.ask("roll", "--dry-run", *doors)
            await self.ask("roll", "--within", "9", *doors[:2])
            await self.ask("roll", "--within", "1.5", doors[2], doors[0])
            await self.ask("who", *doors[:2])
            await self.ask("resign", doors[0], "leave:0")
            nursery.cancel_scope.cancel()


@pytest.fixture(scope="module")
def played() -> Played:
    return Played()


def test_a_duty_passes_on_safely_when_its_holder_is_stopped_killed_and_cut_off(played: Played) -> None:
    """The observer at the relay sees each effect; breaches would be two holders, or a number going down."""
    result = played.handed_on
    assert (result.breaches, result.crashed) == ([], [])
    assert result.answers["served"] > 300 and "failed" not in result.answers
    numbers = [fence for *_, fence in result.holders]
    assert numbers == sorted(set(numbers)) and len(numbers) >= 4
    for strike in STRIKES:  # whoever had it then is followed by another, after a lease and not much later
        held = [row for row in result.holders if row[0] <= strike.at]
        after = [row for row in result.holders if row[0] > strike.at]
        assert held and after and after[0][2] != held[-1][2]
        assert after[0][0] - strike.at < 3.0


def test_at_most_one_leaves_at_a_time_and_each_gets_its_turn(played: Played) -> None:
    result = played.ended
    assert (result.breaches, result.crashed) == ([], [])
    assert result.events["leave"] == 3 and result.events["started"] == 7
    assert sorted(who for *_, who in result.ends) == [0, 1, 2]
    for (_, ended, _), (began, _, _) in zip(result.ends, result.ends[1:], strict=False):
        assert began > ended


def test_the_tier_is_rolled_by_its_doors_and_who_is_cut_off_stops_it(played: Played) -> None:
    (dry, both, cut, who, resigned) = played.told
    doors = played.doors
    assert dry == (0, "".join(f"{n + 1}. {door}: serves\n" for n, door in enumerate(doors)))
    assert both == (0, f"1. {doors[0]}: back\n2. {doors[1]}: back\n")
    assert cut[0] == 1 and "no majority" in cut[1] and f"not restarted: {doors[0]}" in cut[1]
    assert who[0] == 0 and f"{doors[1]}: dispatcher 1, " in who[1]
    assert resigned[0] == 1 and "is not held here" in resigned[1]


# --- virtual time ---


class Tier:
    """Members that hear each other at once, but for those that are cut off."""

    def __init__(self, size: int, **more: Any) -> None:
        self.now, self.cut = 0.0, set[int]()
        luck = random.Random(5)
        self.members = [
            Member(0.0, n, size, n + 1, 1_000.0, luck=luck, fresh=False, **more) for n in range(size)
        ]

    def run(self, ms: float, each: Callable[[], object] = lambda: None) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += 5.0
            each()
            for member in self.members:
                for to, data in member.tick(self.now):
                    for other in self.members if to == EVERYONE else [self.members[to]]:
                        if other is not member and not {other.number, member.number} & self.cut:
                            other.hear(self.now, member.number, data)

    def holders(self, name: str) -> list[int]:
        return [m.number for m in self.members if m.holds(self.now, name)]


def test_places_to_leave_are_counted_and_withdrawn() -> None:
    tier = Tier(5)
    leaves = [Leave(member, 2) for member in tier.members]
    for leave in leaves[:4]:
        leave.ask(tier.now)
    tier.run(3_000.0, lambda: [leave.held(tier.now) for leave in leaves])
    gone = [n for n, leave in enumerate(leaves) if leave.held(tier.now)]
    assert len(gone) == 2
    waiting = next(n for n in range(4) if n not in gone)
    assert "is held by" in leaves[waiting].why_not(tier.now)
    leaves[gone[0]].going = True  # the other one never uses its place

    def asking() -> None:
        leaves[waiting].ask(tier.now)
        for leave in leaves:
            leave.tick(tier.now)
            leave.held(tier.now)

    tier.run(ASKED_MS, asking)
    assert sorted((gone[0], waiting)) == [n for n, leave in enumerate(leaves) if leave.held(tier.now)]


def test_a_duty_taken_away_goes_to_another_and_its_old_effects_are_refused() -> None:
    tier = Tier(5)
    heard: list[Effect] = []
    for member in tier.members:
        member.want("d")
        member.applied = lambda now, effect: heard.append(effect)
    tier.run(500.0)
    (old,) = tier.holders("d")
    first = tier.members[old]
    assert first.effect(tier.now, "d", 7) and not first.effect(tier.now, "unknown", 7)
    tier.run(20.0)
    assert [effect.value for effect in heard] == [7] * 4
    stale = encode([Item(Kind.EFFECT, duty_of("d"), Ballot(1, first.me), 1, 9, first.me)], 0)
    assert first.give_up(tier.now, "d") and not first.give_up(tier.now, "d")
    tier.run(600.0)
    (new,) = tier.holders("d")
    assert new != old and first.tenures(tier.now)[0].why == "resigned"
    assert tier.members[new].effect(tier.now, "d", 8)
    tier.run(20.0)
    before = len(heard)
    for member in tier.members:
        if member is not first:
            member.hear(tier.now, old, stale)
            member.hear(tier.now, (old + 1) % 5, stale)  # and in another's name
    assert len(heard) == before and tier.holders("d") == [new]
    tier.run(3_000.0)
    assert tier.holders("d") == [new]  # the first is back in line, and takes nothing


def test_what_is_forged_flipped_or_told_by_another_counts_for_nothing() -> None:
    tier = Tier(3, keys=(b"new", b"old"))
    item = Item(Kind.PREPARE, duty_of("d"), Ballot(9, 1 << 12 | 1), 0, 0, None)
    member = tier.members[0]
    good = encode([item], 5, 1, b"old")  # the key may change while both count
    for bad in (encode([item], 5, 1), encode([item], 5, 1, b"other"), encode([item], 5, 2, b"new")):
        with pytest.raises(BadDatagram):
            member.hear(0.0, 1, bad)
    for n in range(len(good) * 8):
        flipped = bytearray(good)
        flipped[n // 8] ^= 1 << n % 8
        with pytest.raises(BadDatagram):
            member.hear(0.0, 1, bytes(flipped))
    elector = member.elector
    assert elector is not None and not elector.duties and elector.floor < 1
    member.hear(0.0, 1, good)
    assert elector.floor >= 5 and len(elector.duties) == 1
    assert len(good) <= 256 and len(good) % 3 == 1


def test_what_is_sent_is_bounded_and_many_duties_are_spread_evenly() -> None:
    budget = Budget(20.0)
    assert sum(budget.take(now) for now in [0.0] * 50 + [1_000.0] * 50) == 10 + 10
    names = [f"d{n}" for n in range(100)]
    for per_s, all_held, least in ((300.0, True, 8), (50.0, False, 3)):
        tier = Tier(5, per_s=per_s)
        for member in tier.members:
            for name in names:
                member.want(name)
        tier.run(6_000.0)
        held = [sum(m.holds(tier.now, name) for name in names) for m in tier.members]
        assert (sum(held) == 100) is all_held
        assert min(held) >= least and sum(held) > 25  # too little for all is enough for some, without end
        assert all(m.sent <= per_s / 2.0 + per_s * 6.0 for m in tier.members)


def test_one_tries_a_suspect_host_and_its_finding_is_everybodys() -> None:
    tier = Tier(4)
    bad = {0, 1, 2}
    told: list[list[OutlierCheckResult]] = [[] for _ in tier.members]
    trials = []
    for n, member in enumerate(tier.members):
        each = Trials(member, lambda host, n=n: host == "h" and n in bad, told[n].append)  # type: ignore[misc]
        member.applied = each.heard
        each.endpoints_listed(0.0, ["h", "g"])
        trials.append(each)

    def turn() -> None:
        for each in trials:
            each.tick(tier.now)

    tier.run(2_000.0, turn)
    (holder,) = tier.holders(name_of("h"))
    assert holder in bad
    for n, rows in enumerate(told):
        assert OutlierCheckResult("h", 0.0 if n == holder else 1_000.0, False) in rows
    tier.run(PATIENCE_MS, turn)  # without any outcome, another's turn
    (second,) = tier.holders(name_of("h"))
    assert second != holder
    bad.clear()
    trials[second].attempt_observed(tier.now, "h", True)
    tier.run(50.0, turn)
    assert tier.holders(name_of("h")) == [] and not any(each.suspects for each in trials)
    assert all(rows[-1] == OutlierCheckResult("h", 0.0, True) for n, rows in enumerate(told) if n != second)
    bad |= {0}
    tier.run(500.0, turn)
    trials[0].endpoints_listed(tier.now, ["g"])  # it is gone
    assert not trials[0].suspects and tier.holders(name_of("h")) == []
    trials[0].heard(tier.now, Effect(duty_of(name_of("h")), 1, 99, WELL))  # of a host that nobody knows
    trials[1].heard(tier.now, Effect(duty_of("else"), 1, 99, TRYING))


def test_the_module_leaves_a_suspect_to_the_one_that_tries_it_and_not_for_a_word_alone() -> None:
    front = Front(entry("r0", 0), entry("r1", 0), entry("w0", 1))
    front.feed(OutlierCheckResult("r0", 2_000.0, False), OutlierCheckResult("nobody", 2_000.0, False))
    server = front.router.fleet.servers["r0"]
    assert server.away_until == 0.0 and not front.router.suspected("r0")
    for at in (front.now, front.now + 1.0):
        server.blame(at, 0.0)
    assert front.router.suspected("r0")
    server.left.total = 0.0  # its failures no longer cost anything
    front.feed(OutlierCheckResult("r0", 2_000.0, False), after=2.0)
    sent = []
    for _ in range(6):
        front.ask()
        sent.append(front.all(SendAttempt)[-1].server)
    assert set(sent) == {"r1"}
    front.feed(OutlierCheckResult("r0", 0.0, True))
    assert not front.router.suspected("r0") and server.away_until == 0.0


def test_duties_want_every_peer_named() -> None:
    def config(size: int, leave: int, **told: Any) -> Config:
        file = msgspec.convert({"duties": {"leave": leave}}, OperatorFile)
        settings = {**SETTINGS, "fleet_size": size, "me": 0}
        return Config(msgspec.convert({"settings": settings, **told}, WConfig), file)

    peers = ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"]
    assert config(3, 1, peer_listen=peers[0], peers=peers).operator is not None
    for size, leave, told in ((3, 1, {}), (4, 1, {"peers": peers}), (3, 3, {"peers": peers})):
        with pytest.raises(BadConfig, match="duties"):
            config(size, leave, peer_listen=peers[0], **told)
