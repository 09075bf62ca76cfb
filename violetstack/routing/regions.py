"""Analysis of whole tables: routes that never match, requests without a route, differences of two tables.

`Partition` divides all requests into regions, each with the one route that matches there. The checker and
`config diff` use it. Its size can grow with the number of routes times the number of names, so its
construction has a limit, beyond which a part is left undecided. Requests are routed by `Table`, which does
not expand the combinations.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass

from violetstack.routing.conditions import CATEGORICAL_ATTRIBUTES, UNBOUNDED, Box
from violetstack.routing.table import NO_MATCH, ClosedNames, Route, Table, lowest_rank_intervals

MAX_WORK = 4_000_000  # entries stored while a partition is built


@dataclass(frozen=True, slots=True)
class Leaf:
    """Prompt lengths from `starts[i]` up to the next start go to route `winners[i]`; None if none matches."""

    starts: tuple[int, ...]
    winners: tuple[int | None, ...]


@dataclass(frozen=True, slots=True)
class Undecided:
    """A part that would exceed MAX_WORK: these ranks and boxes are not compared."""

    level: int
    entries: tuple[tuple[int, Box], ...]


@dataclass(frozen=True, slots=True)
class Branch:
    """A node that branches by the value of the attribute with the index `level`."""

    level: int
    children: dict[str, Node]
    rest: Node | None  # all other values; None if there are none


Node = Leaf | Branch | Undecided


class _Builder:
    """Builds the tree of a partition; equal subtrees are built once."""

    def __init__(self, entries: list[tuple[int, Box]], closed_names: ClosedNames) -> None:
        self.entries = entries
        self.closed_names = closed_names
        self.work = 0
        self.nodes: dict[tuple[int, tuple[int, ...]], Node] = {}

    def build(self, level: int, ids: list[int]) -> Node:
        for n, i in enumerate(ids):
            if self.entries[i][1].matches_all_from(level):
                ids = ids[: n + 1]
                break
        while level < len(CATEGORICAL_ATTRIBUTES) and all(
            self.entries[i][1].name_sets[level].is_universal for i in ids
        ):
            level += 1
        key = (level, tuple(ids))
        if key not in self.nodes:
            self.nodes[key] = (
                self._leaf(ids) if level == len(CATEGORICAL_ATTRIBUTES) else self._branch(level, ids)
            )
        return self.nodes[key]

    def _branch(self, level: int, ids: list[int]) -> Node:
        name_sets = [self.entries[i][1].name_sets[level] for i in ids]
        names = dict.fromkeys(name for name_set in name_sets for name in sorted(name_set.names))
        rows: dict[str, list[int]] = {name: [] for name in names}
        unnamed: list[int] = []
        for i, name_set in zip(ids, name_sets, strict=True):
            if not name_set.excluded:
                for name in name_set.names:
                    rows[name].append(i)
                self.work += len(name_set.names)
                continue
            unnamed.append(i)
            self.work += len(rows)
            if self.work > MAX_WORK:
                return Undecided(level, tuple(self.entries[n] for n in ids))
            for name, row in rows.items():
                if name not in name_set.names:
                    row.append(i)
        children = {name: self.build(level + 1, row) for name, row in rows.items()}
        closed = self.closed_names.get(CATEGORICAL_ATTRIBUTES[level])
        rest = None if closed is not None and closed <= set(rows) else self.build(level + 1, unnamed)
        return Branch(level, children, rest)

    def _leaf(self, ids: list[int]) -> Leaf:
        starts, winners = lowest_rank_intervals([self.entries[i] for i in ids])
        return Leaf(starts, tuple(None if rank == NO_MATCH else rank for rank in winners))


class Partition:
    """The regions of a table's routes."""

    def __init__(self, table: Table) -> None:
        self.table = table
        self.routes = table.routes
        self.closed_names = table.closed_names
        self.boxes = table.boxes
        entries = [(rank, box) for rank, row in enumerate(self.boxes) for box in row]
        self.root = _Builder(entries, self.closed_names).build(0, list(range(len(entries))))

    def _nodes(self) -> Iterator[Node]:
        visited: set[int] = set()
        pending: list[Node] = [self.root]
        while pending:
            node = pending.pop()
            if id(node) in visited:
                continue
            visited.add(id(node))
            yield node
            if isinstance(node, Branch):
                pending.extend(node.children.values())
                pending.extend([node.rest] if node.rest is not None else [])

    def unreachable_routes(self) -> dict[int, list[int]]:
        """Returns the indices of routes that never match, each with the earlier routes that overlap it."""
        matching: set[int | None] = set()
        for node in self._nodes():
            if isinstance(node, Leaf):
                matching.update(node.winners)
            elif isinstance(node, Undecided):
                matching.update(rank for rank, _ in node.entries)
        unreachable = [index for index in range(len(self.routes)) if index not in matching]
        return {
            index: [earlier for earlier in range(index) if self._overlap(earlier, index)]
            for index in unreachable
        }

    def _overlap(self, first: int, second: int) -> bool:
        return any(a.intersect(b) is not None for a in self.boxes[first] for b in self.boxes[second])

    def find_gap(self) -> str | None:
        """Returns a condition on requests that no route matches, or None if every request has a route."""
        visited: set[int] = set()

        def search(node: Node, path: tuple[str, ...]) -> str | None:
            if id(node) in visited:
                return None
            visited.add(id(node))
            if isinstance(node, Leaf):
                for index, winner in enumerate(node.winners):
                    if winner is None:
                        return " and ".join([*path, *_leaf_interval(node, index)]) or "all requests"
                return None
            if isinstance(node, Undecided):
                return None
            name = CATEGORICAL_ATTRIBUTES[node.level]
            for value, child in node.children.items():
                if (gap := search(child, (*path, f"{name} == {value}"))) is not None:
                    return gap
            if node.rest is None:
                return None
            return search(node.rest, (*path, _other_names_condition(self, node.level, list(node.children))))

        return search(self.root, ())


def _other_names_condition(table: Table | Partition, level: int, names: list[str]) -> str:
    """Returns the condition for all values but these; lists the others if they are known and few."""
    name = CATEGORICAL_ATTRIBUTES[level]
    left = sorted(table.closed_names.get(name, frozenset()) - set(names))
    if len(left) == 1:
        return f"{name} == {left[0]}"
    return f"{name} in {{{', '.join(left)}}}" if 0 < len(left) <= 5 else f"any other {name}"


def _leaf_interval(leaf: Leaf, index: int) -> list[str]:
    return _interval(
        leaf.starts[index], leaf.starts[index + 1] if index + 1 < len(leaf.starts) else UNBOUNDED
    )


def _interval(low: int, high: int) -> list[str]:
    above = [f"prompt >= {low} tok"] if low else []
    return above + ([f"prompt < {high} tok"] if high < UNBOUNDED else [])


# --- differences between two tables ---


@dataclass(frozen=True, slots=True)
class RoutingChange:
    """Requests for which `condition` holds went to `old` and now go to `new`; None if no route matches."""

    condition: str
    old: Route | None
    new: Route | None


MAX_CHANGES = 200


def routing_changes(before: Table, after: Table) -> list[RoutingChange]:
    """Returns the requests that go elsewhere.

    Regions are compared, so that a different wording of the same condition is no change.
    """
    old = Partition(before)
    new = Partition(after)
    changes: list[RoutingChange] = []
    unchanged: set[tuple[int, int]] = set()

    def route_of(table: Partition, rank: int | None) -> Route | None:
        return None if rank is None else table.routes[rank]

    def compare(old_node: Node | None, new_node: Node | None, path: tuple[str, ...]) -> None:
        if (
            old_node is None
            or new_node is None
            or (id(old_node), id(new_node)) in unchanged
            or len(changes) >= MAX_CHANGES
        ):
            return  # one side has no such value: a class or tenant that was removed or added
        count_before = len(changes)
        if isinstance(old_node, Leaf) and isinstance(new_node, Leaf):
            _compare_leaves(old_node, new_node, path)
        elif isinstance(old_node, Undecided) or isinstance(new_node, Undecided):
            changes.append(RoutingChange(" and ".join([*path, "not decided: too many cases"]), None, None))
        else:
            _compare_branches(old_node, new_node, path)
        if len(changes) == count_before:
            unchanged.add((id(old_node), id(new_node)))

    def _compare_branches(old_node: Node, new_node: Node, path: tuple[str, ...]) -> None:
        level = min(node.level for node in (old_node, new_node) if isinstance(node, Branch))
        old_branch = old_node if isinstance(old_node, Branch) and old_node.level == level else None
        new_branch = new_node if isinstance(new_node, Branch) and new_node.level == level else None
        names = dict.fromkeys(
            [*(old_branch.children if old_branch else ()), *(new_branch.children if new_branch else ())]
        )
        groups: dict[tuple[int, int], tuple[Node | None, Node | None, list[str]]] = {}
        for name in names:
            old_child = old_branch.children.get(name, old_branch.rest) if old_branch else old_node
            new_child = new_branch.children.get(name, new_branch.rest) if new_branch else new_node
            groups.setdefault((id(old_child), id(new_child)), (old_child, new_child, []))[2].append(name)
        attribute = CATEGORICAL_ATTRIBUTES[level]
        for old_child, new_child, values in groups.values():
            one_value = f"{attribute} == {values[0]}"
            condition = one_value if len(values) == 1 else f"{attribute} in {{{', '.join(sorted(values))}}}"
            compare(old_child, new_child, (*path, condition))
        others = _other_names_condition(new, level, list(names))
        compare(
            old_branch.rest if old_branch else old_node,
            new_branch.rest if new_branch else new_node,
            (*path, others),
        )

    def _compare_leaves(old_node: Leaf, new_node: Leaf, path: tuple[str, ...]) -> None:
        boundaries = sorted({*old_node.starts, *new_node.starts})
        for index, low in enumerate(boundaries):
            old_route = route_of(old, old_node.winners[bisect_right(old_node.starts, low) - 1])
            new_route = route_of(new, new_node.winners[bisect_right(new_node.starts, low) - 1])
            if _target(old_route) != _target(new_route):
                high = boundaries[index + 1] if index + 1 < len(boundaries) else UNBOUNDED
                changes.append(
                    RoutingChange(
                        " and ".join([*path, *_interval(low, high)]) or "all requests", old_route, new_route
                    )
                )

    compare(old.root, new.root, ())
    return changes


def _target(route: Route | None) -> tuple[str, str, str] | None:
    return None if route is None else (route.name, route.pool, route.policy)
