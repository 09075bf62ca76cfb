"""A tier's leases under faults, with an observer that sees each effect of the duty."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import count

from violetstack.lease.candidate import electors
from violetstack.lease.messages import duty_of
from violetstack.lease.node import EVERYONE, Member

LENGTH_MS = 2_000.0
NAME = "tickets r0"
KEYS = (b"new", b"old")
DUTY = duty_of(NAME)


class Process:
    """One dispatcher's part in the duty. Its clock runs at a rate of its own."""

    def __init__(self, world: World, number: int, born: int, *, fresh: bool) -> None:
        self.world = world
        self.number = number
        self.born = born
        luck = random.Random(f"{world.seed} {number} {born}")
        self.rate, self.offset = 1.0 + luck.uniform(-0.009, 0.009), luck.uniform(0.0, 1e6)
        self.stopped_until = 0.0
        self.planned: tuple[int, int] | None = None  # an effect between its check and its sending
        self.member = Member(
            self.now(), number, world.size, born, LENGTH_MS, luck=luck, fresh=fresh, keys=KEYS
        )
        self.member.want(NAME)
        self.candidate = self.member._mine[DUTY]

    def now(self) -> float:
        return self.offset + self.world.time * self.rate


class World:
    """`size` dispatchers that all want one duty; times are milliseconds of the world.

    `troubles`: every second and a half one is stopped, restarted, cut off, or hands the duty on; now and then
    all electors are restarted at once. A tenth of the datagrams come twice, one in a hundred 5 s late.
    """

    def __init__(self, seed: int, size: int, loss: float, troubles: bool = True) -> None:
        self.seed, self.random, self.loss, self.time = seed, random.Random(seed), loss, 0.0
        self.size, self.electors = size, electors(size)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.cut: set[tuple[int, int]] = set()
        self.processes = [Process(self, n, 1, fresh=False) for n in range(size)]
        self.fences: list[tuple[int, int]] = []  # of the effects that were applied: fence, who
        self.breaches: list[str] = []
        self.held_ms = 0.0
        self.changes = 0
        self._last: int | None = None
        self.forgotten = False
        for n in range(size):
            self.at(self.random.uniform(0.0, 20.0), lambda n=n: self.turn(n))  # type: ignore[misc]
        if troubles:
            self.at(1_000.0, self.trouble)

    def at(self, after: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.time + after, next(self.order), act))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.time, _, act = heapq.heappop(self.queue)
            act()
        self.time = until

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        for to in range(self.size) if receiver == EVERYONE else [receiver]:
            for _ in range(1 + (self.random.random() < 0.1)):  # some come twice
                if to != sender and self.random.random() >= self.loss and (sender, to) not in self.cut:
                    late = 5_000.0 if self.random.random() < 0.01 else self.random.uniform(2.0, 33.0)
                    self.at(late, partial(self.deliver, sender, to, data))

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        process = self.processes[to]
        if self.time >= process.stopped_until:  # what lies unread over a stop is dropped at the waking
            process.member.hear(process.now(), sender, data)
            self.flush(process)

    def flush(self, process: Process) -> None:
        for to, data in process.member.tick(process.now()):
            self.send(process.number, to, data)

    def turn(self, number: int) -> None:
        """Every 20 ms a process does what is due, and perhaps an effect of its duty."""
        self.at(20.0, lambda: self.turn(number))
        process = self.processes[number]
        if self.time < process.stopped_until:
            return
        if process.planned is not None:  # it was stopped between its check and its effect
            self.effect(*process.planned, late=True)
            process.planned = None
        self.flush(process)
        mine = process.candidate
        if mine.holds(process.now()):
            self.held_ms += 20.0
            others = [p for p in self.processes if p.candidate is not mine and p.candidate.holds(p.now())]
            if others:
                self.breaches.append(f"{self.time:.0f}: two hold it")
            self.effect(mine.fence, mine.me, late=False)
            if self.random.random() < 0.02:
                process.planned = (mine.fence, mine.me)  # the next effect is checked, and not yet sent

    def effect(self, fence: int, by: int, late: bool) -> None:
        """The one who applies refuses an older number than it has seen, and one that another has."""
        highest = max(self.fences, default=(0, by))
        if fence < highest[0] or (fence == highest[0] and by != highest[1]):
            mine = next((p for p in self.processes if p.candidate.me == by), None)
            if mine is not None and not late:
                if not self.forgotten:
                    self.breaches.append(f"{self.time:.0f}: {fence} came after {highest[0]}")
                mine.member._spread(mine.now(), mine.candidate.refused(mine.now(), highest[0]))
            return
        if self._last != by:
            self.changes += 1
            self._last = by
        self.fences.append((fence, by))

    def trouble(self) -> None:
        self.at(self.random.expovariate(1 / 1_500.0), self.trouble)
        number = self.random.randrange(len(self.processes))
        if self.random.random() < 0.4:  # as likely the holder as anybody
            number = next((p.number for p in self.processes if p.candidate.holds(p.now())), number)
        process = self.processes[number]
        match self.random.randrange(5):
            case 0:
                process.stopped_until = self.time + self.random.uniform(100.0, 6_000.0)
            case 1:
                self.restart(number)
            case 2:
                others = self.random.sample(range(len(self.processes)), len(self.processes) // 2)
                links = {(number, to) for to in others}
                links |= {(to, number) for to in others} if self.random.random() < 0.5 else set()
                self.cut |= links
                self.at(self.random.uniform(500.0, 5_000.0), lambda: self.cut.difference_update(links))
            case 3:
                if self.random.random() < 0.2:
                    self.forgotten = True  # nobody but those who apply effects remembers
                    for each in self.electors:
                        self.restart(each)
            case 4:
                successor = self.random.randrange(self.size)
                heir = self.processes[successor].candidate.me if successor != number else None
                process.member.give_up(process.now(), NAME, heir)

    def restart(self, number: int) -> None:
        old = self.processes[number]
        self.processes[number] = Process(self, number, old.born + 1, fresh=True)
