"""The routes of one generation: a list in order, and an index that finds the first match.

A route's condition is a union of boxes. The index is a trie over the finite attributes: a box stands under
each name that it asks for, or, where it asks for no name, in the node's `rest`; a lookup follows both and
takes the lower rank. So every box is stored once a name, and a lookup visits 32 leaves at the most, usually
two or three. Prompt lengths are one bisection at a leaf. A box that excludes names (`tenant != a`) stands
in `rest` too; the names excluded have a rest of their own without it, or, where that would multiply, the
box is loose: looked at one by one when its rank could win. `walk` is the plain reading of the list, which
the tests and the benchmark hold the index against.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from violetstack.routing.conditions import (
    ALWAYS,
    CLOSED,
    FINITE,
    NEVER_ENDS,
    PROMPT,
    Box,
    Condition,
    Values,
    boxes,
    holds,
    why_not,
)

MAX_WORK = 50_000  # entries placed for the names that others exclude, in one node; past it they are loose
NONE = 1 << 60  # the rank of no route
Universe = Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class Asked:
    """What a route may look at. `model` is empty on the platform's front."""

    cls: str
    tenant: str
    model: str
    front: str
    prompt: int
    retry: bool

    @property
    def finite(self) -> tuple[str, ...]:
        return self.cls, self.tenant, self.model, self.front, "yes" if self.retry else "no"

    @property
    def values(self) -> Values:
        return {**dict(zip(FINITE, self.finite, strict=True)), PROMPT: self.prompt}


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    when: Condition = ALWAYS
    pool: str = ""  # empty: all hosts
    policy: str = ""  # empty: the settings' own limits
    where: str = field(default="", compare=False)  # file:line


@dataclass(frozen=True, slots=True)
class Leaf:
    """`winners[i]` has the prompts from `starts[i]` up to the next; `loose` has what must be looked at."""

    starts: tuple[int, ...]
    winners: tuple[int, ...]
    loose: tuple[tuple[int, Box], ...] = ()


@dataclass(frozen=True, slots=True)
class Branch:
    """`named`: boxes that ask for the name; `without`: the rest, less the boxes that exclude the name."""

    level: int
    named: dict[str, Node]
    rest: Node | None
    without: dict[str, Node | None]


Node = Leaf | Branch
Entry = tuple[int, Box, bool]  # rank, box, loose


def build(entries: list[Entry], level: int = 0) -> Node | None:
    """Entries in the order of their ranks."""
    for n, (_, box, loose) in enumerate(entries):
        if not loose and box.whole_from(level):
            entries = entries[: n + 1]
            break
    if not entries:
        return None
    while level < len(FINITE) and all(box.choices[level].whole for _, box, _ in entries):
        level += 1
    if level == len(FINITE):
        return _leaf(entries)
    named: dict[str, list[Entry]] = {}
    others: list[Entry] = []
    excluded: set[str] = set()
    for entry in entries:
        choice = entry[1].choices[level]
        if choice.out:
            others.append(entry)
            excluded |= choice.names
        for name in () if choice.out else choice.names:
            named.setdefault(name, []).append(entry)
    if len(excluded) * len(others) > MAX_WORK:
        others = [(rank, box, loose or bool(box.choices[level].names)) for rank, box, loose in others]
        excluded = set()
    return Branch(
        level,
        {name: node for name, row in named.items() if (node := build(row, level + 1)) is not None},
        build(others, level + 1),
        {
            name: build([entry for entry in others if name not in entry[1].choices[level].names], level + 1)
            for name in excluded
        },
    )


def paint(entries: Sequence[tuple[int, Box]]) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Starts of stretches and the lowest rank in each; entries in the order of their ranks."""
    edges = sorted({0, *(edge for _, box in entries for edge in (box.low, box.high))})
    at = {edge: n for n, edge in enumerate(edges)}
    free = list(range(len(edges) + 1))  # the next stretch from here that nobody has

    def next_free(n: int) -> int:
        while free[n] != n:
            free[n] = free[free[n]]
            n = free[n]
        return n

    painted = [NONE] * len(edges)
    for rank, box in entries:
        n = next_free(at[box.low])
        while n < at[box.high]:
            painted[n] = rank
            free[n] = n + 1
            n = next_free(n)
    starts: list[int] = []
    winners: list[int] = []
    for edge, winner in zip(edges, painted, strict=True):
        if edge < NEVER_ENDS and (not winners or winners[-1] != winner):
            starts.append(edge)
            winners.append(winner)
    return tuple(starts), tuple(winners)


def _leaf(entries: list[Entry]) -> Leaf:
    starts, winners = paint([(rank, box) for rank, box, loose in entries if not loose])
    return Leaf(starts, winners, tuple((rank, box) for rank, box, loose in entries if loose))


class Table:
    """Immutable. `universe` tells the closed sets of names; what is not in it may be any name.

    `known`: the routes' boxes, where the caller has them already.
    """

    def __init__(
        self, routes: Sequence[Route], universe: Universe | None = None, known: list[list[Box]] | None = None
    ) -> None:
        self.routes = tuple(routes)
        self.universe: Universe = {**CLOSED, **(universe or {})}
        self.boxes = known or [boxes(route.when) for route in self.routes]
        self.root = build([(rank, box, False) for rank, row in enumerate(self.boxes) for box in row])

    def find(self, asked: Asked) -> Route | None:
        finite = asked.finite
        prompt = asked.prompt
        best = NONE
        ahead = [self.root]
        while ahead:
            node = ahead.pop()
            if isinstance(node, Branch):
                name = finite[node.level]
                ahead.append(node.without.get(name, node.rest))
                ahead.append(node.named.get(name))
            elif node is not None:
                rank = node.winners[bisect_right(node.starts, prompt) - 1]
                for loose, box in node.loose:
                    if loose >= rank or loose >= best:
                        break
                    if box.holds(finite, prompt):
                        rank = loose
                        break
                best = min(best, rank)
        return None if best == NONE else self.routes[best]

    def walk(self, asked: Asked) -> Route | None:
        """The meaning of the list: the first route whose condition holds."""
        values = asked.values
        return next((route for route in self.routes if holds(route.when, values)), None)

    def explain(self, asked: Asked) -> tuple[Route | None, list[tuple[Route, list[str]]]]:
        """The route found, and for each one before it why it did not match."""
        passed: list[tuple[Route, list[str]]] = []
        for route in self.routes:
            reasons = why_not(route.when, asked.values)
            if not reasons:
                return route, passed
            passed.append((route, reasons))
        return None, passed
