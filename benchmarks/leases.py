"""What a duty costs and how fast it is handed on, in virtual time; the program's own leases on a lossy net.

    python -m benchmarks.leases [--plays N]

For fleets of 5, 40 and 200 at losses of 0, 10 and 30%: time to a first holder, to the next one after the
holder was killed, stopped or cut off (middle and longest of N plays; a lease is 2 s, and its elector's 2%
longer), false changes of holder in so many minutes without trouble. Then what duties cost: datagrams and
bytes a second of the whole fleet for 1, 100 and 1,000 duties, and the processor time of a renewal.
"""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Callable
from statistics import median

from violetstack.lease.node import EVERYONE, Member
from violetstack.simulation.leases import LENGTH_MS, Process, World

STEP_MS = 10.0
MOST_MS = 60_000.0
QUIET_MS = 6_000.0  # a world's own start, before its holder is struck


def until_held(world: World, but: Process | None = None) -> float:
    """Milliseconds until somebody else than `but` holds the duty."""
    began = world.time
    while not any(p.candidate.holds(p.now()) for p in world.processes if p is not but):
        if world.time - began > MOST_MS:
            return MOST_MS
        world.run(world.time + STEP_MS)
    return world.time - began


def killed(world: World, holder: Process) -> None:
    holder.stopped_until = float("inf")


def cut(world: World, holder: Process) -> None:
    world.cut |= {(holder.number, n) for n in range(world.size)}
    world.cut |= {(n, holder.number) for n in range(world.size)}


def deaf(world: World, holder: Process) -> None:
    world.cut |= {(n, holder.number) for n in range(world.size)}


def next_ms(seed: int, size: int, loss: float, strike: Callable[[World, Process], None]) -> float:
    world = World(seed, size, loss, troubles=False)
    world.run(QUIET_MS)
    until_held(world)
    holder = next(p for p in world.processes if p.candidate.holds(p.now()))
    strike(world, holder)
    return until_held(world, holder)


def handing_on(plays: int) -> None:
    print("size loss  first: middle longest | next after a kill | a cut | one way deaf  (ms)", flush=True)
    for size in (5, 40, 200):
        for loss in (0.0, 0.1, 0.3):
            first = sorted(until_held(World(s, size, loss, troubles=False)) for s in range(plays))
            row = f"{size:4d} {loss:4.0%}  {median(first):6.0f} {first[-1]:7.0f}"
            for strike in (killed, cut, deaf):
                took = sorted(next_ms(seed, size, loss, strike) for seed in range(plays))
                row += f" | {median(took):6.0f} {took[-1]:6.0f}"
            print(row, flush=True)


def false_changes(minutes: float) -> None:
    for size, loss in ((5, 0.3), (40, 0.3)):
        world = World(1, size, loss, troubles=False)
        world.run(minutes * 60_000.0)
        held = world.held_ms / (minutes * 60_000.0)
        print(
            f"{size} dispatchers, {loss:.0%} loss, {minutes:.0f} min: {world.changes - 1} false changes, "
            f"held {held:.1%} of the time, breaches {len(world.breaches)}",
            flush=True,
        )


def cost(size: int, duties: int, seconds: float, per_s: float) -> None:
    """A fleet without loss, each datagram there 3 ms later."""
    members = [
        Member(0.0, n, size, 1, LENGTH_MS, luck=random.Random(n), per_s=per_s, fresh=False)
        for n in range(size)
    ]
    for member in members:
        for duty in range(duties):
            member.want(f"d{duty}")
    now = 0.0
    waiting = list[tuple[float, int, int, bytes]]()
    taken = 0.0
    settle = 20_000.0
    base = 0
    sent_bytes = 0
    while now < settle + seconds * 1000.0:
        now += 3.0
        began = time.process_time()
        due = waiting
        waiting = []
        for _, sender, to, data in due:
            for number in range(size) if to == EVERYONE else (to,):
                if number != sender:
                    members[number].hear(now, sender, data)
        for member in members:
            if member.due(now) <= now:
                waiting += [(now, member.number, to, data) for to, data in member.tick(now)]
        if now >= settle:
            taken += time.process_time() - began
        else:
            base = sum(m.sent for m in members)
            sent_bytes = sum(m.sent_bytes for m in members)
    sent = sum(m.sent for m in members) - base
    size_b = sum(m.sent_bytes for m in members) - sent_bytes
    holders = [sum(m.holds(now, f"d{d}") for d in range(duties)) for m in members]
    renewals = duties * seconds * 1000.0 / (LENGTH_MS * 0.3)
    print(
        f"{size} dispatchers, {duties} duties: {sent / seconds:.0f} datagrams and "
        f"{size_b / seconds:.0f} bytes a second in all, held {sum(holders)}, at one {min(holders)} to "
        f"{max(holders)}, {1e6 * taken / renewals:.0f} us of CPU a renewal at all dispatchers together",
        flush=True,
    )


def main() -> None:
    asked = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    asked.add_argument("--plays", type=int, default=20)
    asked.add_argument("--minutes", type=float, default=60.0)
    given = asked.parse_args()
    handing_on(given.plays)
    false_changes(given.minutes)
    one = ((5, 1, 30.0), (40, 1, 30.0), (200, 1, 10.0))
    for size, duties, seconds in (*one, (40, 100, 10.0), (40, 1000, 6.0)):
        cost(size, duties, seconds, 1_000.0)


if __name__ == "__main__":
    main()
