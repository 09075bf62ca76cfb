"""The routes of one generation: an ordered list, and an index that finds the first match.

A route's condition is a union of boxes. The index is a trie over the categorical attributes: a box is stored
under each name that it requires or, where it requires none, in the node's `rest`. A lookup follows both
branches and takes the lower rank. So each box is stored once for each name, and a lookup visits at most 32
leaves, usually two or three. A leaf finds the prompt length by bisection.

A box that excludes names (`tenant != a`) is stored in `rest` as well, and each excluded name has a copy of
`rest` without that box. Where these copies would become too large, the box is `unindexed`: it is compared one
by one when its rank could be the lowest. `find_linear` scans the list and is the reference for tests and the
benchmark.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from violetstack.routing.conditions import (
    ALWAYS,
    CATEGORICAL_ATTRIBUTES,
    CLOSED_NAMES,
    PROMPT,
    UNBOUNDED,
    Box,
    Condition,
    Values,
    explain_mismatch,
    holds,
    to_boxes,
)

MAX_WORK = 50_000  # entries of one node stored for excluded names; beyond it, boxes are left unindexed
NO_MATCH = 1 << 60  # the rank where no route matches
ClosedNames = Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """The attributes of a request that routes match on. `model` is empty on the platform front."""

    cls: str
    tenant: str
    model: str
    front: str
    prompt_tokens: int
    is_retry: bool

    @property
    def categorical(self) -> tuple[str, ...]:
        """Values in the order of CATEGORICAL_ATTRIBUTES."""
        return self.cls, self.tenant, self.model, self.front, "yes" if self.is_retry else "no"

    @property
    def values(self) -> Values:
        """Values by attribute name, as `holds` takes them."""
        return {
            **dict(zip(CATEGORICAL_ATTRIBUTES, self.categorical, strict=True)),
            PROMPT: self.prompt_tokens,
        }


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the operator's file."""

    name: str
    condition: Condition = ALWAYS
    pool: str = ""  # empty: all hosts
    policy: str = ""  # empty: the settings' own limits
    location: str = field(default="", compare=False)  # file:line


@dataclass(frozen=True, slots=True)
class Leaf:
    """A node for one combination of names.

    Attributes:
        starts: prompt lengths at which intervals start, ascending.
        winners: the lowest rank in each of these intervals.
        unindexed: ranks and boxes that are to be compared one by one.
    """

    starts: tuple[int, ...]
    winners: tuple[int, ...]
    unindexed: tuple[tuple[int, Box], ...] = ()


@dataclass(frozen=True, slots=True)
class Branch:
    """A node that branches by the value of one attribute.

    Attributes:
        level: index of the attribute.
        by_name: boxes that require the name.
        rest: boxes that require no name.
        rest_excluding: for an excluded name, `rest` without the boxes that exclude it.
    """

    level: int
    by_name: dict[str, Node]
    rest: Node | None
    rest_excluding: dict[str, Node | None]


Node = Leaf | Branch
Entry = tuple[int, Box, bool]  # rank, box, unindexed


def build_index(entries: list[Entry], level: int = 0) -> Node | None:
    """Builds the index of these entries, which are in the order of their ranks, from this level on."""
    for index, (_, box, unindexed) in enumerate(entries):
        if not unindexed and box.matches_all_from(level):
            entries = entries[: index + 1]
            break
    if not entries:
        return None
    while level < len(CATEGORICAL_ATTRIBUTES) and all(
        box.name_sets[level].is_universal for _, box, _ in entries
    ):
        level += 1
    if level == len(CATEGORICAL_ATTRIBUTES):
        return _leaf(entries)
    by_name: dict[str, list[Entry]] = {}
    others: list[Entry] = []
    excluded_names: set[str] = set()
    for entry in entries:
        name_set = entry[1].name_sets[level]
        if name_set.excluded:
            others.append(entry)
            excluded_names |= name_set.names
        for name in () if name_set.excluded else name_set.names:
            by_name.setdefault(name, []).append(entry)
    if len(excluded_names) * len(others) > MAX_WORK:
        others = [
            (rank, box, unindexed or bool(box.name_sets[level].names)) for rank, box, unindexed in others
        ]
        excluded_names = set()
    return Branch(
        level,
        {name: node for name, row in by_name.items() if (node := build_index(row, level + 1)) is not None},
        build_index(others, level + 1),
        {
            name: build_index(
                [entry for entry in others if name not in entry[1].name_sets[level].names], level + 1
            )
            for name in excluded_names
        },
    )


def lowest_rank_intervals(entries: Sequence[tuple[int, Box]]) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Returns the starts of intervals of prompt lengths, and the lowest rank in each.

    The entries are in the order of their ranks. `next_free_index` is a union-find structure: it leads from an
    interval to the next one without a rank.
    """
    boundaries = sorted({0, *(boundary for _, box in entries for boundary in (box.low, box.high))})
    index_of_boundary = {boundary: index for index, boundary in enumerate(boundaries)}
    next_free_index = list(range(len(boundaries) + 1))

    def next_free(index: int) -> int:
        while next_free_index[index] != index:
            next_free_index[index] = next_free_index[next_free_index[index]]
            index = next_free_index[index]
        return index

    ranks = [NO_MATCH] * len(boundaries)
    for rank, box in entries:
        index = next_free(index_of_boundary[box.low])
        while index < index_of_boundary[box.high]:
            ranks[index] = rank
            next_free_index[index] = index + 1
            index = next_free(index)
    starts: list[int] = []
    winners: list[int] = []
    for boundary, winner in zip(boundaries, ranks, strict=True):
        if boundary < UNBOUNDED and (not winners or winners[-1] != winner):
            starts.append(boundary)
            winners.append(winner)
    return tuple(starts), tuple(winners)


def _leaf(entries: list[Entry]) -> Leaf:
    starts, winners = lowest_rank_intervals(
        [(rank, box) for rank, box, unindexed in entries if not unindexed]
    )
    return Leaf(starts, winners, tuple((rank, box) for rank, box, unindexed in entries if unindexed))


class Table:
    """The routes in order and their index; immutable.

    Attributes:
        routes: the routes; the first that matches is taken.
        closed_names: all possible names of an attribute; an attribute that is not in it may have any name.
        boxes: the boxes of each route.
        root: the root of the index.
    """

    def __init__(
        self,
        routes: Sequence[Route],
        closed_names: ClosedNames | None = None,
        known_boxes: list[list[Box]] | None = None,
    ) -> None:
        """Builds the index; `known_boxes` are the boxes of the routes, if the caller has computed them."""
        self.routes = tuple(routes)
        self.closed_names: ClosedNames = {**CLOSED_NAMES, **(closed_names or {})}
        self.boxes = known_boxes or [to_boxes(route.condition) for route in self.routes]
        self.root = build_index([(rank, box, False) for rank, row in enumerate(self.boxes) for box in row])

    def find(self, attributes: RequestAttributes) -> Route | None:
        """Returns the first route that matches, by the index."""
        categorical = attributes.categorical
        prompt_tokens = attributes.prompt_tokens
        best = NO_MATCH
        pending = [self.root]
        while pending:
            node = pending.pop()
            if isinstance(node, Branch):
                name = categorical[node.level]
                pending.append(node.rest_excluding.get(name, node.rest))
                pending.append(node.by_name.get(name))
            elif node is not None:
                rank = node.winners[bisect_right(node.starts, prompt_tokens) - 1]
                for unindexed_rank, box in node.unindexed:
                    if unindexed_rank >= rank or unindexed_rank >= best:
                        break
                    if box.contains(categorical, prompt_tokens):
                        rank = unindexed_rank
                        break
                best = min(best, rank)
        return None if best == NO_MATCH else self.routes[best]

    def find_linear(self, attributes: RequestAttributes) -> Route | None:
        """Returns the first route whose condition holds, by scanning the list."""
        values = attributes.values
        return next((route for route in self.routes if holds(route.condition, values)), None)

    def explain(self, attributes: RequestAttributes) -> tuple[Route | None, list[tuple[Route, list[str]]]]:
        """Returns the first route that matches, and why each route before it does not."""
        mismatched: list[tuple[Route, list[str]]] = []
        for route in self.routes:
            reasons = explain_mismatch(route.condition, attributes.values)
            if not reasons:
                return route, mismatched
            mismatched.append((route, reasons))
        return None, mismatched
