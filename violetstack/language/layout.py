"""The one way to write a file.

Two files that mean the same in the same order of definitions come out the same: spacing, units, the order
of settings in a block, quotes that a name does not need, brackets that change nothing and the order in a
set are all settled here. Comments stay with what they belong to: one on a line of its own with what
follows, one behind something with that. What can't be read is not touched; `layout` raises then.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from decimal import Decimal

from violetstack.language.schema import BLOCKS, Field, Form
from violetstack.language.source import Problem, Source
from violetstack.language.syntax import (
    Block,
    Comment,
    Comparison,
    Const,
    Constant,
    Group,
    Include,
    Item,
    Junction,
    Name,
    Negation,
    Quantity,
    Range,
    Sequence,
    String,
    Tree,
    Value,
    parse,
)
from violetstack.language.units import TOKENS, UNITS, base, canonical, number, plain

WIDTH = 100
KEYWORDS = frozenset({"and", "or", "not", "in", "include", "const"})
PLAIN = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*(\.[A-Za-z0-9_-]+)*")
FLIPPED = {"==": "!=", "!=": "==", "<": ">=", ">=": "<", "<=": ">", ">": "<="}


class CantLayOut(Exception):
    """The text has syntax errors; `problems` are they."""

    def __init__(self, source: Source, problems: list[Problem]) -> None:
        super().__init__(problems[0].message)
        self.source = source
        self.problems = problems


def layout(text: str, name: str = "text") -> str:
    source = Source(name, text)
    tree = parse(source)
    if tree.problems:
        raise CantLayOut(source, tree.problems)
    return _Writer(tree).file()


@dataclass
class _Kept:
    """Comments around one item."""

    before: list[str] = field(default_factory=list)
    gap: bool = False  # a blank line between them and the item
    behind: list[str] = field(default_factory=list)


class _Writer:
    def __init__(self, tree: Tree) -> None:
        self.source = tree.source
        self.items = tree.items
        self.comments = sorted(tree.comments, key=lambda c: c.span.start)
        self.next = 0  # comments before this one are placed

    # --- comments ---

    def _until(self, at: int) -> list[Comment]:
        start = self.next
        while self.next < len(self.comments) and self.comments[self.next].span.start < at:
            self.next += 1
        return self.comments[start : self.next]

    def _behind(self, end: int) -> list[str]:
        """Comments on the line on which something ends."""
        newline = self.source.text.find("\n", end)
        line_end = len(self.source.text) if newline < 0 else newline
        nearest = self.comments[self.next] if self.next < len(self.comments) else None
        if nearest is None or nearest.span.start > line_end:
            return []
        if self.source.text[end : nearest.span.start].strip(" \t,"):
            return []  # something else stands between: the comment is that one's
        return [c.text for c in self._until(line_end)]

    def _kept(self, item: Item) -> _Kept:
        before = self._until(item.span.start)
        gap = bool(before) and self.source.text[before[-1].span.end : item.span.start].count("\n") > 1
        rows: list[str] = []
        for n, comment in enumerate(before):
            apart = n and self.source.text[before[n - 1].span.end : comment.span.start].count("\n") > 1
            rows.extend(["", comment.text] if apart else [comment.text])
        return _Kept(rows, gap)

    # --- definitions ---

    def file(self) -> str:
        rows: list[str] = []
        last = ""
        for item in self.items:
            kept = self._kept(item)
            body = self._item(item, kept)
            kind = type(item).__name__ if isinstance(item, Include | Const) else ""
            if rows and (kind != last or not kind or kept.before):
                rows.append("")
            last = kind
            rows.extend(kept.before)
            rows.extend([""] if kept.gap else [])
            rows.extend(body)
        rest = self._until(len(self.source.text) + 1)
        if rest:
            rows.extend([""] if rows else [])
            rows.extend(c.text for c in rest)
        return "".join(f"{row}\n" for row in rows)

    def _item(self, item: Item, kept: _Kept) -> list[str]:
        match item:
            case Include():
                rows = [f"include {_quoted(item.pattern.text)}"]
            case Const():
                rows = self._assigned(f"const {item.name.text}", item.value, None, 0, kept)
            case Block():
                return self._block(item, kept)
            case _:
                rows = self._assigned(item.name.text, item.value, None, 0, kept)
        return _with(rows, [*kept.behind, *self._behind(item.span.end)])

    def _block(self, block: Block, kept: _Kept) -> list[str]:
        label = "" if block.label is None else f" {_named(block.label.text)}"
        kept.before.extend(c.text for c in self._until(block.body))
        head = f"{block.kind.text}{label} {{"
        spec = BLOCKS.get(block.kind.text)
        closing = block.span.end - 1
        if not block.items:
            inside = [c.text for c in self._until(closing)]
            after = self._behind(block.span.end)
            if not inside:
                return _with([f"{head}}}"], after)
            return [head, *(f"  {text}" for text in inside), *_with(["}"], after)]
        first = block.items[0].span.start
        opening = (
            self._behind(block.body + 1)
            if self.source.place(first)[0] > self.source.place(block.body)[0]
            else []
        )
        written: list[tuple[int, list[str]]] = []
        order = {name: n for n, name in enumerate(spec.by_name)} if spec is not None else {}
        for item in block.items:
            theirs = self._kept(item)
            if isinstance(item, Block | Include | Const):
                rows = self._item(item, theirs)
                rank = len(order)
            else:
                wanted = spec.by_name.get(item.name.text) if spec is not None else None
                rows = self._assigned(item.name.text, item.value, wanted, 1, theirs)
                rows = _with(rows, [*theirs.behind, *self._behind(item.span.end)])
                rank = order.get(item.name.text, len(order))
            blank = [""] if theirs.gap else []
            written.append((rank, [*theirs.before, *blank, *rows]))
        rest = [c.text for c in self._until(closing)]
        written.sort(key=lambda row: row[0])
        lines = [line for _, rows in written for line in rows] + rest
        body = [f"  {line}" if line else "" for line in lines]
        return [*_with([head], opening), *body, *_with(["}"], self._behind(block.span.end))]

    # --- values ---

    def _assigned(self, name: str, value: Value, wanted: Field | None, depth: int, kept: _Kept) -> list[str]:
        """`name = value` on one line, or broken where it is too long or holds comments."""
        value = _bare(value)
        inner = [c for c in self.comments[self.next :] if c.span.start < value.span.end]
        if isinstance(value, Sequence) and inner:
            return self._commented(name, value, wanted, kept)
        kept.before.extend(c.text for c in self._until(value.span.end))
        text = show(value, wanted)
        room = WIDTH - 2 * depth - len(name) - 3
        if len(text) <= room:
            return [f"{name} = {text}"]
        if isinstance(value, Sequence):
            opening, closing = "{}" if value.is_set else "[]"
            parts = _parts(value, wanted)
            return [f"{name} = {opening}", *(f"  {part}," for part in parts), closing]
        joined = _junction(value)
        if joined is not None:
            word, parts = joined
            return [f"{name} = {parts[0]}", *(f"  {word} {part}" for part in parts[1:])]
        return [f"{name} = {text}"]

    def _commented(self, name: str, value: Sequence, wanted: Field | None, kept: _Kept) -> list[str]:
        kept.before.extend(c.text for c in self._until(value.span.start))
        opening, closing = "{}" if value.is_set else "[]"
        rows: list[tuple[str, list[str]]] = []
        lines = [f"{name} = {opening}"]
        lines = _with(lines, self._behind(value.span.start + 1)) if self._first_below(value) else lines
        for part in value.parts:
            before = [c.text for c in self._until(part.span.start)]
            inside = [c.text for c in self._until(part.span.end)]
            text = show(part, wanted)
            rows.append((text, [*before, *inside, *_with([f"{text},"], self._behind(part.span.end))]))
        if value.is_set:
            rows.sort(key=lambda row: row[0])
        rest = [c.text for c in self._until(value.span.end)]
        return [
            *lines,
            *(f"  {line}" for _, part in rows for line in part),
            *(f"  {t}" for t in rest),
            closing,
        ]

    def _first_below(self, value: Sequence) -> bool:
        if not value.parts:
            return False
        return self.source.place(value.parts[0].span.start)[0] > self.source.place(value.span.start)[0]


def _with(rows: list[str], comments: list[str]) -> list[str]:
    """Comments behind the last row."""
    return [*rows[:-1], "  ".join([rows[-1], *comments])] if comments else rows


def _bare(value: Value) -> Value:
    while isinstance(value, Group):
        value = value.inner
    return value


def _quoted(text: str) -> str:
    for char, escape in (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\t", "\\t")):
        text = text.replace(char, escape)
    return f'"{text}"'


def _named(text: str) -> str:
    return text if PLAIN.fullmatch(text) and text not in KEYWORDS else _quoted(text)


NAMES = (Form.REFERENCE, Form.REFERENCES, Form.TEXTS, Form.REQUESTS, Form.HOSTS)


def show(value: Value, wanted: Field | None = None) -> str:
    """One value on one line. `wanted` tells where a text may as well be a name."""
    value = _bare(value)
    match value:
        case Name():
            return value.text
        case Constant():
            return f"${value.text}"
        case String():
            as_name = wanted is not None and wanted.form in NAMES
            return _named(value.text) if as_name else _quoted(value.text)
        case Quantity():
            return _quantity(value)
        case Sequence():
            opening, closing = "{}" if value.is_set else "[]"
            return f"{opening}{', '.join(_parts(value, wanted))}{closing}"
        case Range():
            return f"{show(value.low)} .. {show(value.high)}"
        case Comparison():
            return _comparison(value)
        case Negation():
            return _negation(value)
        case Junction():
            word, parts = _junction(value) or ("", [])
            return f" {word} ".join(parts)
        case _:
            raise AssertionError(value)


def _parts(value: Sequence, wanted: Field | None) -> list[str]:
    parts = [show(part, wanted) for part in value.parts]
    return sorted(dict.fromkeys(parts)) if value.is_set else parts


def _quantity(value: Quantity) -> str:
    told = number(value.number)
    if told is None:
        return f"{value.number}{value.unit}"
    if not value.unit:
        return plain(told)
    if value.unit not in UNITS:
        return f"{plain(told)}{value.unit}"
    return canonical(told, value.unit)


def _comparison(value: Comparison) -> str:
    """Names compare without quotes; a set of one is `==`; whole tokens compare by < and >= alone."""
    left = _bare(value.left)
    right = _bare(value.right)
    operator = value.operator
    names = Field("", Form.REQUESTS, "")
    if operator == "in" and isinstance(right, Sequence) and right.is_set:
        parts = _parts(right, names)
        if len(parts) == 1:
            return f"{show(left)} == {parts[0]}"
    if operator in ("<=", ">") and isinstance(right, Quantity) and right.unit in TOKENS.units:
        told = number(right.number)
        if told is not None:
            whole = base(told, right.unit) + 1
            if whole == whole.to_integral_value() and whole > 0:
                sign = "<" if operator == "<=" else ">="
                return f"{show(left)} {sign} {canonical(Decimal(int(whole)), 'tok')}"
    return f"{show(left, names)} {operator} {show(right, names)}"


def _negation(value: Negation) -> str:
    inner: Value = value.part
    negated = True
    while isinstance(inner := _bare(inner), Negation):
        inner = inner.part
        negated = not negated
    if not negated:
        return show(inner)
    if isinstance(inner, Comparison) and inner.operator in ("==", "!=") and not _is_prompt(inner):
        return _comparison(Comparison(inner.span, inner.left, FLIPPED[inner.operator], inner.right))
    if isinstance(inner, Comparison) and inner.operator == "in":
        return _not_in(inner)
    if isinstance(inner, Comparison) and _is_prompt(inner) and inner.operator in FLIPPED:
        return _comparison(Comparison(inner.span, inner.left, FLIPPED[inner.operator], inner.right))
    return f"not ({show(inner)})" if isinstance(inner, Junction) else f"not {show(inner)}"


def _not_in(inner: Comparison) -> str:
    right = _bare(inner.right)
    if isinstance(right, Sequence) and right.is_set:
        parts = _parts(right, Field("", Form.REQUESTS, ""))
        if len(parts) == 1:
            return f"{show(inner.left)} != {parts[0]}"
    return f"not {_comparison(inner)}"


def _is_prompt(value: Comparison) -> bool:
    left = _bare(value.left)
    return isinstance(left, Name) and left.text == "prompt"


def _junction(value: Value) -> tuple[str, list[str]] | None:
    """The parts of a junction, junctions of the same word inside it taken apart; None if it is none."""
    value = _bare(value)
    if not isinstance(value, Junction):
        return None
    parts: list[str] = []
    for part in value.parts:
        inner = _bare(part)
        if isinstance(inner, Negation):
            inner = _peeled(inner)
        if isinstance(inner, Junction):
            word, theirs = _junction(inner) or ("", [])
            if word == value.word:
                parts.extend(theirs)
            else:
                parts.append(f"({f' {word} '.join(theirs)})")
        else:
            parts.append(show(inner))
    return value.word, parts


def _peeled(value: Negation) -> Value:
    """Without pairs of `not`."""
    inner: Value = value
    while isinstance(inner, Negation) and isinstance(second := _bare(inner.part), Negation):
        inner = _bare(second.part)
    return inner
