"""What a whole table covers: routes that never match, requests that none takes, what a new table moves.

`Partition` cuts all requests into regions, each with the one route that has it. It is for the checker and
for `config diff`; its size can grow with routes times names, so it has a budget, past which a part is left
undecided. Serving uses `Table`, which does not multiply anything out.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass

from violetstack.routing.conditions import FINITE, NEVER_ENDS, Box
from violetstack.routing.table import NONE, Route, Table, Universe, paint

MAX_WORK = 4_000_000  # entries placed while a partition is built


@dataclass(frozen=True, slots=True)
class Leaf:
    """`winners[i]` has the prompts from `starts[i]` up to the next start; None where no route matches."""

    starts: tuple[int, ...]
    winners: tuple[int | None, ...]


@dataclass(frozen=True, slots=True)
class Plain:
    """Too entangled for the budget: not decided."""

    level: int
    entries: tuple[tuple[int, Box], ...]


@dataclass(frozen=True, slots=True)
class Branch:
    level: int
    children: dict[str, Node]
    rest: Node | None  # values that no route here names; None where there can be none


Node = Leaf | Branch | Plain


class _Builder:
    def __init__(self, found: list[tuple[int, Box]], universe: Universe) -> None:
        self.found = found
        self.universe = universe
        self.work = 0
        self.known: dict[tuple[int, tuple[int, ...]], Node] = {}

    def build(self, level: int, ids: list[int]) -> Node:
        for n, i in enumerate(ids):
            if self.found[i][1].whole_from(level):
                ids = ids[: n + 1]
                break
        while level < len(FINITE) and all(self.found[i][1].choices[level].whole for i in ids):
            level += 1
        key = (level, tuple(ids))
        if key not in self.known:
            self.known[key] = self._leaf(ids) if level == len(FINITE) else self._branch(level, ids)
        return self.known[key]

    def _branch(self, level: int, ids: list[int]) -> Node:
        choices = [self.found[i][1].choices[level] for i in ids]
        named = dict.fromkeys(name for choice in choices for name in sorted(choice.names))
        rows: dict[str, list[int]] = {name: [] for name in named}
        others: list[int] = []
        for i, choice in zip(ids, choices, strict=True):
            if not choice.out:
                for name in choice.names:
                    rows[name].append(i)
                self.work += len(choice.names)
                continue
            others.append(i)
            self.work += len(rows)
            if self.work > MAX_WORK:
                return Plain(level, tuple(self.found[n] for n in ids))
            for name, row in rows.items():
                if name not in choice.names:
                    row.append(i)
        children = {name: self.build(level + 1, row) for name, row in rows.items()}
        told = self.universe.get(FINITE[level])
        rest = None if told is not None and told <= set(rows) else self.build(level + 1, others)
        return Branch(level, children, rest)

    def _leaf(self, ids: list[int]) -> Leaf:
        starts, winners = paint([self.found[i] for i in ids])
        return Leaf(starts, tuple(None if rank == NONE else rank for rank in winners))


class Partition:
    """All regions of a table's routes. `universe` tells the closed sets of names."""

    def __init__(self, table: Table) -> None:
        self.table = table
        self.routes = table.routes
        self.universe = table.universe
        self.boxes = table.boxes
        found = [(rank, box) for rank, row in enumerate(self.boxes) for box in row]
        self.root = _Builder(found, self.universe).build(0, list(range(len(found))))

    def _nodes(self) -> Iterator[Node]:
        seen: set[int] = set()
        ahead: list[Node] = [self.root]
        while ahead:
            node = ahead.pop()
            if id(node) in seen:
                continue
            seen.add(id(node))
            yield node
            if isinstance(node, Branch):
                ahead.extend(node.children.values())
                ahead.extend([node.rest] if node.rest is not None else [])

    def covered(self) -> dict[int, list[int]]:
        """The routes that can never match, each with the earlier ones that take what it asks for."""
        won: set[int | None] = set()
        for node in self._nodes():
            if isinstance(node, Leaf):
                won.update(node.winners)
            elif isinstance(node, Plain):
                won.update(rank for rank, _ in node.entries)
        lost = [n for n in range(len(self.routes)) if n not in won]
        return {n: [m for m in range(n) if self._meets(m, n)] for n in lost}

    def _meets(self, m: int, n: int) -> bool:
        return any(a.meet(b) is not None for a in self.boxes[m] for b in self.boxes[n])

    def gap(self) -> str | None:
        """Requests that no route matches, as a condition; None if there are none."""
        seen: set[int] = set()

        def search(node: Node, path: tuple[str, ...]) -> str | None:
            if id(node) in seen:
                return None
            seen.add(id(node))
            if isinstance(node, Leaf):
                for n, winner in enumerate(node.winners):
                    if winner is None:
                        return " and ".join([*path, *_stretch(node, n)]) or "all requests"
                return None
            if isinstance(node, Plain):
                return None
            name = FINITE[node.level]
            for value, child in node.children.items():
                if (found := search(child, (*path, f"{name} == {value}"))) is not None:
                    return found
            if node.rest is None:
                return None
            return search(node.rest, (*path, _others(self, node.level, list(node.children))))

        return search(self.root, ())


def _others(table: Table | Partition, level: int, named: list[str]) -> str:
    """The values that are not named, as a condition; by name where there are few."""
    name = FINITE[level]
    left = sorted(table.universe.get(name, frozenset()) - set(named))
    if len(left) == 1:
        return f"{name} == {left[0]}"
    return f"{name} in {{{', '.join(left)}}}" if 0 < len(left) <= 5 else f"any other {name}"


def _stretch(leaf: Leaf, n: int) -> list[str]:
    return _interval(leaf.starts[n], leaf.starts[n + 1] if n + 1 < len(leaf.starts) else NEVER_ENDS)


def _interval(low: int, high: int) -> list[str]:
    above = [f"prompt >= {low} tok"] if low else []
    return above + ([f"prompt < {high} tok"] if high < NEVER_ENDS else [])


# --- what a new table changes ---


@dataclass(frozen=True, slots=True)
class Moved:
    """Requests that `when` describes went to `old` and now go to `new`; None where no route matches."""

    when: str
    old: Route | None
    new: Route | None


MAX_MOVED = 200


def moved(before: Table, after: Table) -> list[Moved]:
    """What goes elsewhere, from the two partitions alone: equal regions compare equal however written."""
    old = Partition(before)
    new = Partition(after)
    found: list[Moved] = []
    same: set[tuple[int, int]] = set()

    def goes(table: Partition, rank: int | None) -> Route | None:
        return None if rank is None else table.routes[rank]

    def compare(a: Node | None, b: Node | None, path: tuple[str, ...]) -> None:
        if a is None or b is None or (id(a), id(b)) in same or len(found) >= MAX_MOVED:
            return  # a value that one side takes for impossible: a class or tenant that is gone or new
        before = len(found)
        if isinstance(a, Leaf) and isinstance(b, Leaf):
            _leaves(a, b, path)
        elif isinstance(a, Plain) or isinstance(b, Plain):
            found.append(Moved(" and ".join([*path, "not decided: too many cases"]), None, None))
        else:
            _branches(a, b, path)
        if len(found) == before:
            same.add((id(a), id(b)))

    def _branches(a: Node, b: Node, path: tuple[str, ...]) -> None:
        level = min(n.level for n in (a, b) if isinstance(n, Branch))
        left = a if isinstance(a, Branch) and a.level == level else None
        right = b if isinstance(b, Branch) and b.level == level else None
        names = dict.fromkeys([*(left.children if left else ()), *(right.children if right else ())])
        groups: dict[tuple[int, int], tuple[Node | None, Node | None, list[str]]] = {}
        for name in names:
            x = left.children.get(name, left.rest) if left else a
            y = right.children.get(name, right.rest) if right else b
            groups.setdefault((id(x), id(y)), (x, y, []))[2].append(name)
        attribute = FINITE[level]
        for x, y, values in groups.values():
            is_one = f"{attribute} == {values[0]}"
            told = is_one if len(values) == 1 else f"{attribute} in {{{', '.join(sorted(values))}}}"
            compare(x, y, (*path, told))
        others = _others(new, level, list(names))
        compare(left.rest if left else a, right.rest if right else b, (*path, others))

    def _leaves(a: Leaf, b: Leaf, path: tuple[str, ...]) -> None:
        edges = sorted({*a.starts, *b.starts})
        for n, low in enumerate(edges):
            x = goes(old, a.winners[bisect_right(a.starts, low) - 1])
            y = goes(new, b.winners[bisect_right(b.starts, low) - 1])
            if _target(x) != _target(y):
                high = edges[n + 1] if n + 1 < len(edges) else NEVER_ENDS
                found.append(Moved(" and ".join([*path, *_interval(low, high)]) or "all requests", x, y))

    compare(old.root, new.root, ())
    return found


def _target(route: Route | None) -> tuple[str, str, str] | None:
    return None if route is None else (route.name, route.pool, route.policy)
